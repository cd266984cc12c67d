// What HTTP and the protocol between hosts share: a TCP listener on several io_contexts, checks for
// dead peers, and reuse of idle connections.
#pragma once

#include "apricot.h"

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>

namespace apricot {

namespace asio = boost::asio;

struct TcpListener;
using TcpHandler
    = std::function<asio::awaitable<void>(std::shared_ptr<TcpListener>, asio::ip::tcp::socket)>;

/// Accepts connections and assigns them to its io_contexts round-robin. Each connection holds a
/// shared pointer to the listener, since the listener owns the handler that serves them all.
struct TcpListener
{
    TcpListener(asio::ip::tcp::acceptor acceptor, std::vector<asio::io_context *> ios,
                TcpHandler handler)
        : m_acceptor(std::move(acceptor)), m_ios(std::move(ios)), m_handler(std::move(handler))
    {
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::io_context *> m_ios; // at least one
    TcpHandler m_handler;
    std::size_t m_next = 0; // counts connections; modulo m_ios.size(): index for the next one
    bool m_stopped = false; // accepts no more connections
    /// HTTP requests of which a byte was read and whose answer isn't complete.
    std::atomic<std::size_t> m_openRequests = 0;
};

/// Listens and serves each connection with the handler. Failure if the port is taken.
Result<std::shared_ptr<TcpListener>> listenTcp(const std::vector<asio::io_context *> &ios,
                                               const Endpoint &endpoint, TcpHandler handler);

/// Accepts no more connections. An open HTTP connection closes after its current or next request;
/// connections between hosts stay open.
void stopListening(TcpListener &listener);

/// Negative times become 0.
std::chrono::milliseconds toChrono(Millis time);
asio::ip::tcp::endpoint toTcpEndpoint(const Endpoint &endpoint);

/// Makes a connection fail when its peer no longer responds: data sent stays unacknowledged for
/// `ackTimeout`, or the keep-alive probes of an idle connection are not answered for some seconds.
void enableDeadPeerDetection(asio::ip::tcp::socket &socket, Millis ackTimeout);

/// Whether an idle connection can be reused. One with something to read can't: either the peer
/// closed it, or it holds bytes that belong to no response.
bool isReusable(asio::ip::tcp::socket &socket);

/// Removes from the pool the most recently used connection to an endpoint that can be reused and
/// for which `mayUse` returns true; null if there is none.
template<typename Connection, typename Condition>
std::shared_ptr<Connection>
takeIdleConnection(std::map<Endpoint, std::vector<std::shared_ptr<Connection>>> &all,
                   const Endpoint &endpoint, const Condition &mayUse)
{
    auto &idle = all[endpoint];
    for (std::size_t at = idle.size(); at-- > 0;) {
        if (!mayUse(*idle[at]))
            continue;
        std::shared_ptr<Connection> connection = std::move(idle[at]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
        if (!isReusable(connection->m_stream.socket()))
            continue;
        connection->m_pooled = true;
        return connection;
    }
    return nullptr;
}

} // namespace apricot
