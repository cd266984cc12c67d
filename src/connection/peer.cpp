// FlatBuffers frames between hosts over TCP: connections, pooling, sending and receiving.
#include "connection/peer.h"

#include <boost/asio.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace apricot {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr std::uint32_t frameLimit = 16U << 20U; // bytes
constexpr std::size_t lengthSize = 4;            // bytes; little endian
constexpr Millis idleTimeout = {120'000}; // ms a served connection may wait for its next request
constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);

struct PeerConnection
{
    explicit PeerConnection(tcp::socket socket) : m_stream(std::move(socket)) { }

    beast::tcp_stream m_stream;
    bool m_pooled = false; // was taken from the pool for this exchange
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

/// Serves one connection. The parameter `listener` keeps the listener alive, which owns the
/// handler.
asio::awaitable<void> servePeer(std::shared_ptr<TcpListener> /*listener*/, tcp::socket socket,
                                const PeerHandler &handler)
{
    auto connection = std::make_shared<PeerConnection>(std::move(socket));
    while (true) {
        const FramePtr frame = co_await readFrame(*connection, idleTimeout);
        if (!frame || !co_await handler(connection, *frame))
            break;
    }
    closePeerConnection(*connection);
}

/// Sends a request and reads its response; null if the connection failed, the timeout passed or the
/// response has another id.
asio::awaitable<FramePtr> exchangeFrames(PeerPool &pool, const Endpoint &peer,
                                         const wire::FrameT &request, Millis timeout,
                                         PeerConnectionPtr connection)
{
    if (!co_await sendFrame(*connection, request, timeout))
        co_return nullptr;
    FramePtr response = co_await readFrame(*connection, timeout);
    if (!response || response->id != request.id)
        co_return nullptr;
    releasePeerConnection(pool, peer, std::move(connection));
    co_return response;
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

asio::awaitable<Result<FramePtr>> callPeer(PeerPool &pool, Endpoint peer, FramePtr request,
                                           Millis timeout)
{
    request->id = pool.m_nextId++;
    auto opened = co_await openPeerConnection(pool, peer, timeout, false);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    PeerConnectionPtr connection = std::get<PeerConnectionPtr>(opened);
    FramePtr response = co_await exchangeFrames(pool, peer, *request, timeout, connection);
    if (!response && connection->m_pooled) {
        auto reopened = co_await openPeerConnection(pool, peer, timeout, true);
        if (!ok(reopened))
            co_return std::get<Failure>(reopened);
        connection = std::get<PeerConnectionPtr>(reopened);
        response = co_await exchangeFrames(pool, peer, *request, timeout, connection);
    }
    if (!response)
        co_return makeFailure(ErrorKind::BackendBroken, toText(peer) + " did not respond");
    co_return response;
}

asio::awaitable<bool> refusesConnections(PeerPool &pool, Endpoint peer, Millis timeout)
{
    beast::tcp_stream stream(*pool.m_io);
    stream.expires_after(toChrono(timeout));
    const tcp::endpoint at = toTcpEndpoint(peer);
    const auto [error] = co_await stream.async_connect(at, useAwaitable);
    co_return error == asio::error::connection_refused;
}

asio::awaitable<Result<PeerConnectionPtr>> openPeerConnection(PeerPool &pool, const Endpoint &peer,
                                                              Millis timeout, bool forceNew)
{
    PeerConnectionPtr connection = forceNew
        ? nullptr
        : takeIdleConnection(pool.m_idle, peer, [](const PeerConnection &) { return true; });
    if (connection)
        co_return connection;
    connection = std::make_shared<PeerConnection>(tcp::socket(*pool.m_io));
    connection->m_stream.expires_after(toChrono(timeout));
    const tcp::endpoint at = toTcpEndpoint(peer);
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

void releasePeerConnection(PeerPool &pool, const Endpoint &peer, PeerConnectionPtr connection)
{
    auto &idle = pool.m_idle[peer];
    connection->m_stream.expires_never();
    if (idle.size() < pool.m_maxIdleConnections)
        idle.push_back(std::move(connection));
}

void closePeerConnection(PeerConnection &connection)
{
    connection.m_stream.close();
}

std::shared_ptr<void> watchPeerDisconnect(const PeerConnectionPtr &connection,
                                          std::function<void()> onDisconnect)
{
    auto token = std::make_shared<std::function<void()>>(std::move(onDisconnect));
    const std::weak_ptr<std::function<void()>> weakToken = token;
    connection->m_stream.socket().async_wait(
        tcp::socket::wait_read, [connection, weakToken](const boost::system::error_code &error) {
            const auto watched = weakToken.lock();
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
