// A small blocking HTTP/1.1 server and client for the stand-ins of the review, one thread for each
// connection, on loopback addresses only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds on the monotonic clock since the program started.
long nowMs();
void sleepMs(long ms);
/// A TCP port of 127.0.0.1 that is free now, also for UDP.
int freePort();

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Value of the first field with that name, compared without regard to case; empty: none.
std::string fieldOf(const Fields &fields, const std::string &name);

struct Request
{
    std::string m_method = "GET";
    std::string m_target = "/";
    Fields m_fields;
    std::string m_body;
};

struct Response
{
    int m_status = 0; // 0: no head arrived
    Fields m_fields;
    std::string m_body;
    bool m_complete = false; // the body arrived to its end
};

/// One connection, as server or client.
class Connection
{
public:
    explicit Connection(int socket) : m_socket(socket) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    std::optional<Request> readRequest();
    Response readResponse(long timeoutMs);
    bool send(const std::string &bytes);
    /// Sends a whole response with its length.
    bool respond(int status, const Fields &fields, const std::string &body);
    bool beginChunks(int status, const Fields &fields);
    bool sendChunk(const std::string &bytes); // empty: the last one
    /// Whether the other side has closed the connection.
    bool peerClosed() const;
    /// Closes without an answer: with a reset, or in order.
    void reset();
    void shutdown();

private:
    bool fill(long timeoutMs);
    bool readLine(std::string &line, long timeoutMs);
    bool readBytes(std::string &bytes, std::size_t count, long timeoutMs);
    bool readBody(const Fields &fields, bool untilEnd, std::string &body, long timeoutMs);

    int m_socket;
    std::string m_buffer;
};

/// Returns false if the connection is to be closed.
using Handler = std::function<bool(const Request &, Connection &)>;

class Server
{
public:
    Server(int port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Stops listening and resets all connections, as the end of the process would.
    void crash();

private:
    void accept();
    void serve(std::shared_ptr<Connection> connection);

    Handler m_handler;
    int m_listener = -1;
    std::mutex m_mutex;
    bool m_stopped = false;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::thread m_acceptor;
};

/// Connects to 127.0.0.1; null if that fails.
std::unique_ptr<Connection> connectTo(int port, long timeoutMs = 1'000);
/// Sends one request on a new connection.
Response call(int port, const Request &request, long timeoutMs);
std::string headOf(const Request &request);

} // namespace review
