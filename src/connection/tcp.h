// What both channels need of TCP: listening on several io_contexts, idle connections.
#pragma once

#include "apricot.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>

namespace apricot {

namespace asio = boost::asio;

struct TcpListener;
using TcpHandler
    = std::function<asio::awaitable<void>(std::shared_ptr<TcpListener>, asio::ip::tcp::socket)>;

/// Accepts, giving connections to its io_contexts in turn. Each connection keeps it alive, and with
/// it the handler that serves them all.
struct TcpListener
{
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::io_context *> m_ios; // at least one
    TcpHandler m_handler;
    std::size_t m_next = 0; // of m_ios
    bool m_stopped = false; // no new connections; open ones end after their request
};

/// Listens and serves each connection with the handler. Failure if the port is taken.
Result<std::shared_ptr<TcpListener>> listenTcp(const std::vector<asio::io_context *> &ios,
                                               const Endpoint &endpoint, TcpHandler handler);
void stopListening(TcpListener &listener);

std::chrono::milliseconds toChrono(Millis time);
asio::ip::tcp::endpoint toTcp(const Endpoint &endpoint);

/// Lets a connection fail when its other end is silent: nothing acknowledged for that long, or no
/// answer to the probes of an idle connection for some seconds.
void watchSilence(asio::ip::tcp::socket &socket, Millis deadAfter);

/// Whether an idle connection is still of use: one that is readable was closed, or holds garbage.
bool isQuiet(asio::ip::tcp::socket &socket);

/// The latest idle connection to an endpoint that is still of use; null if there is none.
template<typename Connection>
std::shared_ptr<Connection>
takeIdle(std::map<Endpoint, std::vector<std::shared_ptr<Connection>>> &all,
         const Endpoint &endpoint)
{
    auto &idle = all[endpoint];
    while (!idle.empty()) {
        std::shared_ptr<Connection> connection = std::move(idle.back());
        idle.pop_back();
        if (!isQuiet(connection->m_stream.socket()))
            continue;
        connection->m_pooled = true;
        return connection;
    }
    return nullptr;
}

} // namespace apricot
