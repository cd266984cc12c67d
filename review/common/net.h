// Blocking HTTP/1.1 over loopback sockets for the stand-ins and clients of the review, with full
// control of the bytes. One thread serves one connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace bed {

inline std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start)
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// The file record.txt of a case: what was sent, answered and run, with ms since the start.
struct Record
{
    std::mutex m_mutex;
    std::ofstream m_file;

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " " << text << "\n" << std::flush;
    }
};

inline Record &record()
{
    static Record instance;
    return instance;
}

struct Address
{
    std::string m_ip = "127.0.0.1";
    std::uint16_t m_port = 0;

    std::string text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons(address.m_port);
    inet_pton(AF_INET, address.m_ip.c_str(), &at.sin_addr);
    return at;
}

/// A port that is free for TCP and UDP at the moment.
inline std::uint16_t freePort(const std::string &ip)
{
    for (int attempt = 0; attempt < 50; ++attempt) {
        const int tcp = socket(AF_INET, SOCK_STREAM, 0);
        const int udp = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in at = toSockaddr({ip, 0});
        socklen_t size = sizeof(at);
        bool good = bind(tcp, reinterpret_cast<sockaddr *>(&at), size) == 0
            && getsockname(tcp, reinterpret_cast<sockaddr *>(&at), &size) == 0;
        good = good && bind(udp, reinterpret_cast<sockaddr *>(&at), size) == 0;
        close(tcp);
        close(udp);
        if (good)
            return ntohs(at.sin_port);
    }
    return 0;
}

using Fields = std::map<std::string, std::string>; // names in lowercase

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

inline std::string valueOf(const Fields &fields, const std::string &name)
{
    const auto found = fields.find(lower(name));
    return found == fields.end() ? std::string() : found->second;
}

/// A request or a response, without its framing.
struct Message
{
    std::string m_first; // request line or status line
    Fields m_fields;
    std::string m_body;

    std::string word(int number) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < number; ++i) {
            begin = m_first.find(' ', begin);
            if (begin == std::string::npos)
                return {};
            begin += 1;
        }
        return m_first.substr(begin, m_first.find(' ', begin) - begin);
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// A connected socket with a buffer of bytes that were read ahead.
struct Conn
{
    explicit Conn(int fd) : m_fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Conn()
    {
        if (m_fd >= 0)
            close(m_fd);
    }
    Conn(const Conn &) = delete;
    Conn &operator=(const Conn &) = delete;

    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count
                = send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads more bytes; false at the end of the connection, on an error or after `timeout`.
    bool readMore(std::int64_t timeout)
    {
        pollfd waiting = {m_fd, POLLIN, 0};
        const int ready = poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(timeout, 0)));
        m_timedOut = ready == 0;
        if (ready <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// Whether the other side has closed the connection, or reset it.
    bool closedByPeer() const
    {
        char byte = 0;
        const ssize_t count = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
};

using ConnPtr = std::shared_ptr<Conn>;

inline std::optional<Message> parseHead(const std::string &head)
{
    Message message;
    std::size_t at = head.find("\r\n");
    if (at == std::string::npos)
        return {};
    message.m_first = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
        const std::size_t end = head.find("\r\n", at);
        if (end == std::string::npos || end == at)
            break;
        const std::size_t colon = head.find(':', at);
        if (colon == std::string::npos || colon > end)
            return {};
        std::size_t begin = colon + 1;
        while (begin < end && head[begin] == ' ')
            ++begin;
        message.m_fields[lower(head.substr(at, colon - at))] = head.substr(begin, end - begin);
        at = end + 2;
    }
    return message;
}

/// Reads bytes until the buffer has `count` of them.
inline bool fill(Conn &conn, std::size_t count, std::int64_t until)
{
    while (conn.m_buffer.size() < count) {
        if (!conn.readMore(until - nowMs()))
            return false;
    }
    return true;
}

/// Reads a head; the body follows in the buffer.
inline std::optional<Message> readHead(Conn &conn, std::int64_t until)
{
    std::size_t end = std::string::npos;
    while ((end = conn.m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!conn.readMore(until - nowMs()))
            return {};
    }
    auto message = parseHead(conn.m_buffer.substr(0, end + 2));
    conn.m_buffer.erase(0, end + 4);
    return message;
}

/// Reads the body with a length or in chunks. Returns false if it ends early.
inline bool readBody(Conn &conn, Message &message, std::int64_t until)
{
    if (valueOf(message.m_fields, "Transfer-Encoding") != "chunked") {
        const std::size_t length = static_cast<std::size_t>(
            std::atoll(valueOf(message.m_fields, "Content-Length").c_str()));
        if (!fill(conn, length, until))
            return false;
        message.m_body = conn.m_buffer.substr(0, length);
        conn.m_buffer.erase(0, length);
        return true;
    }
    while (true) {
        std::size_t end = std::string::npos;
        while ((end = conn.m_buffer.find("\r\n")) == std::string::npos) {
            if (!conn.readMore(until - nowMs()))
                return false;
        }
        const std::size_t size = std::strtoul(conn.m_buffer.c_str(), nullptr, 16);
        if (!fill(conn, end + 2 + size + 2, until))
            return false;
        message.m_body += conn.m_buffer.substr(end + 2, size);
        conn.m_buffer.erase(0, end + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

inline std::string responseText(int status, const std::vector<std::string> &fields,
                                const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const std::string &field : fields)
        text += field + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Handles one request; false closes the connection.
using Handler = std::function<bool(Conn &, const Message &)>;

/// Listens and serves each connection on a thread of its own. Returns false if the address is
/// taken.
inline bool serve(const Address &address, Handler handler)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = toSockaddr(address);
    if (bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 || listen(fd, 128) != 0)
        return false;
    std::thread([fd, handler = std::move(handler)] {
        while (true) {
            const int accepted = accept(fd, nullptr, nullptr);
            if (accepted < 0)
                continue;
            std::thread([accepted, handler] {
                Conn conn(accepted);
                constexpr std::int64_t idleMs = 300'000;
                while (true) {
                    auto request = readHead(conn, nowMs() + idleMs);
                    if (!request || !readBody(conn, *request, nowMs() + idleMs)
                        || !handler(conn, *request))
                        return;
                }
            }).detach();
        }
    }).detach();
    return true;
}

/// Connects; null if that fails within a second, as clients allow.
inline ConnPtr connectTo(const Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    timeval limit = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    sockaddr_in at = toSockaddr(address);
    if (connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_shared<Conn>(fd);
}

/// Sends a request and reads its whole response; nothing if the response doesn't arrive whole.
inline std::optional<Message> exchange(Conn &conn, const std::string &request, std::int64_t until)
{
    if (!conn.write(request))
        return {};
    auto response = readHead(conn, until);
    if (!response || !readBody(conn, *response, until))
        return {};
    return response;
}

} // namespace bed
