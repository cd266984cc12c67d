#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr long serverReadTimeoutMs = 60'000;

sockaddr_in loopback(int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string fieldLines(const Fields &fields)
{
    std::string text;
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text;
}

Fields parseFields(const std::vector<std::string> &lines)
{
    Fields fields;
    for (const std::string &line : lines) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        fields.emplace_back(line.substr(0, colon),
                            begin == std::string::npos ? "" : line.substr(begin));
    }
    return fields;
}

} // namespace

long nowMs()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - begin)
        .count();
}

void sleepMs(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int freePort()
{
    // Below the range from which systems take the ports of outgoing connections, and begun
    // anywhere, so that programs that run side by side rarely try the same ones.
    constexpr int first = 10'000;
    constexpr int count = 22'000;
    static int next = static_cast<int>(::getpid() * 97L % count);
    while (true) {
        const int port = first + next;
        next = (next + 1) % count;
        const sockaddr_in address = loopback(port);
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const auto *at = reinterpret_cast<const sockaddr *>(&address);
        const bool free
            = ::bind(tcp, at, sizeof address) == 0 && ::bind(udp, at, sizeof address) == 0;
        ::close(udp);
        ::close(tcp);
        if (free)
            return port;
    }
}

std::string fieldOf(const Fields &fields, const std::string &name)
{
    for (const auto &[known, value] : fields) {
        if (strcasecmp(known.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

Connection::~Connection()
{
    ::close(m_socket);
}

bool Connection::fill(long timeoutMs)
{
    pollfd waiting = {m_socket, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(std::max(timeoutMs, 0L))) <= 0)
        return false;
    char bytes[16'384];
    const ssize_t count = ::recv(m_socket, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readLine(std::string &line, long timeoutMs)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill(timeoutMs))
            return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::string &bytes, std::size_t count, long timeoutMs)
{
    while (m_buffer.size() < count) {
        if (!fill(timeoutMs)) {
            bytes += m_buffer;
            return false;
        }
    }
    bytes += m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Connection::readBody(const Fields &fields, bool untilEnd, std::string &body, long timeoutMs)
{
    const long end = nowMs() + timeoutMs;
    if (strcasecmp(fieldOf(fields, "Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::string line;
            if (!readLine(line, end - nowMs()))
                return false;
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            if (!readBytes(body, size, end - nowMs()) || !readLine(line, end - nowMs()))
                return false;
            if (size == 0)
                return true;
        }
    }
    const std::string length = fieldOf(fields, "Content-Length");
    if (!length.empty())
        return readBytes(body, std::strtoul(length.c_str(), nullptr, 10), end - nowMs());
    while (untilEnd && fill(end - nowMs())) { }
    if (untilEnd)
        body = std::exchange(m_buffer, {});
    return true;
}

std::optional<Request> Connection::readRequest()
{
    std::string line;
    if (!readLine(line, serverReadTimeoutMs))
        return {};
    Request request;
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string::npos || last <= first)
        return {};
    request.m_method = line.substr(0, first);
    request.m_target = line.substr(first + 1, last - first - 1);
    std::vector<std::string> lines;
    while (true) {
        if (!readLine(line, serverReadTimeoutMs))
            return {};
        if (line.empty())
            break;
        lines.push_back(line);
    }
    request.m_fields = parseFields(lines);
    if (!readBody(request.m_fields, false, request.m_body, serverReadTimeoutMs))
        return {};
    return request;
}

Response Connection::readResponse(long timeoutMs)
{
    const long end = nowMs() + timeoutMs;
    Response response;
    std::string line;
    if (!readLine(line, end - nowMs()))
        return response;
    const std::size_t space = line.find(' ');
    const int status = space == std::string::npos ? 0 : std::atoi(line.c_str() + space);
    std::vector<std::string> lines;
    while (true) {
        if (!readLine(line, end - nowMs()))
            return response;
        if (line.empty())
            break;
        lines.push_back(line);
    }
    response.m_status = status;
    response.m_fields = parseFields(lines);
    response.m_complete = readBody(response.m_fields, true, response.m_body, end - nowMs());
    return response;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
            = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::respond(int status, const Fields &fields, const std::string &body)
{
    return send("HTTP/1.1 " + std::to_string(status) + " -\r\n" + fieldLines(fields)
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Connection::beginChunks(int status, const Fields &fields)
{
    return send("HTTP/1.1 " + std::to_string(status) + " -\r\n" + fieldLines(fields)
                + "Transfer-Encoding: chunked\r\n\r\n");
}

bool Connection::sendChunk(const std::string &bytes)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return send(size + bytes + "\r\n");
}

bool Connection::peerClosed() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger now = {1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(m_socket, SHUT_RDWR);
}

void Connection::shutdown()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

Server::Server(int port, Handler handler) : m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = loopback(port);
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(m_listener, 512) != 0) {
        std::fprintf(stderr, "can't listen on port %d\n", port);
        std::_Exit(2);
    }
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    crash();
}

void Server::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped)
            return;
        m_stopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        for (const auto &connection : m_connections)
            connection->reset();
    }
    m_acceptor.join();
    ::close(m_listener);
}

void Server::accept()
{
    while (true) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            if (socket >= 0)
                ::close(socket);
            return;
        }
        if (socket < 0)
            continue;
        const int yes = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        auto connection = std::make_shared<Connection>(socket);
        m_connections.insert(connection);
        std::thread([this, connection] { serve(connection); }).detach();
    }
}

void Server::serve(std::shared_ptr<Connection> connection)
{
    while (auto request = connection->readRequest()) {
        if (!m_handler(*request, *connection))
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
}

std::unique_ptr<Connection> connectTo(int port, long timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit = {timeoutMs / 1'000, (timeoutMs % 1'000) * 1'000};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int yes = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<Connection>(socket);
}

std::string headOf(const Request &request)
{
    return request.m_method + " " + request.m_target + " HTTP/1.1\r\n"
        + fieldLines(request.m_fields) + "Content-Length: " + std::to_string(request.m_body.size())
        + "\r\n\r\n";
}

Response call(int port, const Request &request, long timeoutMs)
{
    const auto connection = connectTo(port);
    if (!connection || !connection->send(headOf(request) + request.m_body))
        return {};
    return connection->readResponse(timeoutMs);
}

} // namespace review
