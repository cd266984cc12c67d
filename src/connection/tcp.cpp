// TCP listener, socket options that detect dead peers, and the check of idle connections.
#include "connection/tcp.h"

#include <netinet/tcp.h>

namespace apricot {

using tcp = asio::ip::tcp;

namespace {

// Pause after a failed accept, for example when no file descriptor is left.
constexpr Millis acceptRetryDelay = {10};

asio::awaitable<void> acceptLoop(std::shared_ptr<TcpListener> listener)
{
    constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);
    while (!listener->m_stopped) {
        asio::io_context &io = *listener->m_ios[listener->m_next++ % listener->m_ios.size()];
        auto [error, socket] = co_await listener->m_acceptor.async_accept(io, useAwaitable);
        if (!error) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            asio::co_spawn(io, listener->m_handler(listener, std::move(socket)), asio::detached);
            continue;
        }
        asio::steady_timer timer(listener->m_acceptor.get_executor(), toChrono(acceptRetryDelay));
        co_await timer.async_wait(useAwaitable);
    }
}

} // namespace

Result<std::shared_ptr<TcpListener>> listenTcp(const std::vector<asio::io_context *> &ios,
                                               const Endpoint &endpoint, TcpHandler handler)
{
    auto listener
        = std::make_shared<TcpListener>(tcp::acceptor(*ios.front()), ios, std::move(handler));
    const tcp::endpoint at = toTcpEndpoint(endpoint);
    boost::system::error_code error;
    listener->m_acceptor.open(at.protocol(), error);
    if (!error)
        listener->m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        listener->m_acceptor.bind(at, error);
    if (!error)
        listener->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return makeFailure(ErrorKind::Internal,
                           "can't listen on " + toText(endpoint) + ": " + error.message());
    asio::co_spawn(*ios.front(), acceptLoop(listener), asio::detached);
    return listener;
}

void stopListening(TcpListener &listener)
{
    listener.m_stopped = true;
    boost::system::error_code ignored;
    listener.m_acceptor.close(ignored);
}

std::chrono::milliseconds toChrono(Millis time)
{
    return std::chrono::milliseconds(std::max<std::int64_t>(time.m_count, 0));
}

tcp::endpoint toTcpEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.m_ip), endpoint.m_port};
}

void enableDeadPeerDetection(tcp::socket &socket, Millis ackTimeout)
{
    using asio::detail::socket_option::integer;
    constexpr int probeInterval = 1;       // s, also idle time before the first probe
    constexpr int maxUnansweredProbes = 2; // the connection fails after these
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(probeInterval), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(probeInterval), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(maxUnansweredProbes), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(ackTimeout.m_count)),
                      ignored);
}

bool isReusable(tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace apricot
