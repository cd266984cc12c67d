// Frames between hosts over TCP.
#include "connection/peer.h"

#include <boost/asio.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace apricot {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr std::uint32_t frameLimit = 16U << 20U; // bytes
constexpr std::size_t lengthSize = 4;            // bytes
constexpr Millis idleLimit = {120'000};          // ms between asks
constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);

struct PeerConnection
{
    explicit PeerConnection(tcp::socket socket) : m_stream(std::move(socket)) { }

    beast::tcp_stream m_stream;
    bool m_pooled = false; // was idle in the pool before this use
};

namespace {

std::uint32_t readLength(const std::string &bytes)
{
    std::uint32_t length = 0;
    for (std::size_t i = lengthSize; i-- > 0;)
        length = (length << 8U) | static_cast<std::uint8_t>(bytes[i]);
    return length;
}

std::string writeLength(std::uint32_t length)
{
    std::string bytes;
    for (std::size_t i = 0; i < lengthSize; ++i) {
        bytes.push_back(static_cast<char>(length & 0xFFU));
        length >>= 8U;
    }
    return bytes;
}

/// Holds the listener, which owns the handler.
asio::awaitable<void> servePeer(std::shared_ptr<TcpListener> /*listener*/, tcp::socket socket,
                                const PeerHandler &handler)
{
    auto connection = std::make_shared<PeerConnection>(std::move(socket));
    while (true) {
        const FramePtr frame = co_await readFrame(*connection, idleLimit);
        if (!frame || !co_await handler(connection, *frame))
            break;
    }
    closePeer(*connection);
}

asio::awaitable<FramePtr> askOnce(PeerPool &pool, const Endpoint &peer, const wire::FrameT &ask,
                                  Millis timeout, PeerConnectionPtr connection)
{
    if (!co_await sendFrame(*connection, ask, timeout))
        co_return nullptr;
    FramePtr answer = co_await readFrame(*connection, timeout);
    if (!answer || answer->id != ask.id)
        co_return nullptr;
    releasePeer(pool, peer, std::move(connection));
    co_return answer;
}

} // namespace

std::string packFrame(const wire::FrameT &frame)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Frame::Pack(builder, &frame));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

FramePtr unpackFrame(const void *bytes, std::size_t size)
{
    const auto *data = static_cast<const std::uint8_t *>(bytes);
    flatbuffers::Verifier verifier(data, size);
    if (!verifier.VerifyBuffer<wire::Frame>(nullptr))
        return nullptr;
    return FramePtr(flatbuffers::GetRoot<wire::Frame>(data)->UnPack());
}

asio::awaitable<Result<FramePtr>> callPeer(PeerPool &pool, Endpoint peer, FramePtr ask,
                                           Millis timeout)
{
    ask->id = pool.m_nextId++;
    auto opened = co_await openPeer(pool, peer, timeout, false);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    PeerConnectionPtr connection = std::get<PeerConnectionPtr>(opened);
    FramePtr answer = co_await askOnce(pool, peer, *ask, timeout, connection);
    if (!answer && connection->m_pooled) {
        auto again = co_await openPeer(pool, peer, timeout, true);
        if (!ok(again))
            co_return std::get<Failure>(again);
        connection = std::get<PeerConnectionPtr>(again);
        answer = co_await askOnce(pool, peer, *ask, timeout, connection);
    }
    if (!answer)
        co_return makeFailure(ErrorKind::BackendBroken, toText(peer) + " gave no answer");
    co_return answer;
}

asio::awaitable<bool> provesGone(PeerPool &pool, Endpoint peer, Millis timeout)
{
    beast::tcp_stream stream(*pool.m_io);
    stream.expires_after(toChrono(timeout));
    const tcp::endpoint at = toTcp(peer);
    const auto [error] = co_await stream.async_connect(at, useAwaitable);
    co_return error == asio::error::connection_refused;
}

asio::awaitable<Result<PeerConnectionPtr>> openPeer(PeerPool &pool, const Endpoint &peer,
                                                    Millis timeout, bool fresh)
{
    PeerConnectionPtr connection = fresh ? nullptr : takeIdle(pool.m_idle, peer);
    if (connection)
        co_return connection;
    connection = std::make_shared<PeerConnection>(tcp::socket(*pool.m_io));
    connection->m_stream.expires_after(toChrono(timeout));
    const tcp::endpoint at = toTcp(peer);
    const auto [error] = co_await connection->m_stream.async_connect(at, useAwaitable);
    if (error)
        co_return makeFailure(ErrorKind::NotReady, toText(peer) + ": " + error.message(), {500});
    boost::system::error_code ignored;
    connection->m_stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return connection;
}

asio::awaitable<bool> sendFrame(PeerConnection &connection, const wire::FrameT &frame,
                                Millis timeout)
{
    const std::string bytes = packFrame(frame);
    const std::string length = writeLength(static_cast<std::uint32_t>(bytes.size()));
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(length), asio::buffer(bytes)};
    connection.m_stream.expires_after(toChrono(timeout));
    const auto [error, count]
        = co_await asio::async_write(connection.m_stream, buffers, useAwaitable);
    co_return !error;
}

asio::awaitable<FramePtr> readFrame(PeerConnection &connection, Millis timeout)
{
    connection.m_stream.expires_after(toChrono(timeout));
    std::string length(lengthSize, '\0');
    const auto [lengthError, lengthCount]
        = co_await asio::async_read(connection.m_stream, asio::buffer(length), useAwaitable);
    if (lengthError)
        co_return nullptr;
    const std::uint32_t size = readLength(length);
    if (size > frameLimit)
        co_return nullptr;
    std::string bytes(size, '\0');
    const auto [error, count]
        = co_await asio::async_read(connection.m_stream, asio::buffer(bytes), useAwaitable);
    if (error)
        co_return nullptr;
    co_return unpackFrame(bytes.data(), bytes.size());
}

void releasePeer(PeerPool &pool, const Endpoint &peer, PeerConnectionPtr connection)
{
    auto &idle = pool.m_idle[peer];
    connection->m_stream.expires_never();
    if (idle.size() < pool.m_idleLimit)
        idle.push_back(std::move(connection));
}

void closePeer(PeerConnection &connection)
{
    connection.m_stream.close();
}

std::shared_ptr<void> watchPeer(const PeerConnectionPtr &connection, std::function<void()> gone)
{
    auto token = std::make_shared<std::function<void()>>(std::move(gone));
    const std::weak_ptr<std::function<void()>> weak = token;
    connection->m_stream.socket().async_wait(
        tcp::socket::wait_read, [connection, weak](const boost::system::error_code &error) {
            const auto watched = weak.lock();
            boost::system::error_code ignored;
            if (!watched || (!error && connection->m_stream.socket().available(ignored) > 0))
                return;
            (*watched)();
        });
    return token;
}

Result<std::shared_ptr<TcpListener>> listenPeers(const std::vector<asio::io_context *> &ios,
                                                 const Endpoint &endpoint, PeerHandler handler)
{
    const auto serve = [handler = std::move(handler)](std::shared_ptr<TcpListener> listener,
                                                      tcp::socket socket) {
        return servePeer(std::move(listener), std::move(socket), handler);
    };
    return listenTcp(ios, endpoint, serve);
}

} // namespace apricot
