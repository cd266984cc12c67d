// Parts that the scripts of the review share: a record of what happened, HTTP/1.1 on blocking
// sockets, a stand-in of the platform's store, stand-in servers, clients, and the gateway
// processes. Everything but the gateways runs as threads of one process, on loopback addresses and
// real time.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace trial {

namespace json = boost::json;

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t startedMs = nowMs();

inline std::int64_t sinceStart()
{
    return nowMs() - startedMs;
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(ms, 0)));
}

inline std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// The record of the run, one line for each event.
struct Record
{
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline Record record;

inline void note(const char *format, ...)
{
    char text[2000];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(record.m_mutex);
    char line[2100];
    std::snprintf(line, sizeof line, "%8.3f  %s\n", static_cast<double>(sinceStart()) / 1000, text);
    record.m_file << line << std::flush;
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    note("the case can't run: %s", why.c_str());
    std::cerr << "the case can't run: " << why << "\n";
    std::_Exit(2);
}

// --- sockets ---

struct Address
{
    std::string m_ip;
    int m_port = 0;
};

inline std::string toText(const Address &address)
{
    return address.m_ip + ":" + std::to_string(address.m_port);
}

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result = {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
    inet_pton(AF_INET, address.m_ip.c_str(), &result.sin_addr);
    return result;
}

/// A listening socket; port 0 picks a free port, which `address` gets.
inline int listenAt(Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = socketAddress(address);
    if (bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 || listen(fd, 512) != 0)
        cannotRun("can't listen on " + toText(address));
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr *>(&at), &size);
    address.m_port = ntohs(at.sin_port);
    return fd;
}

/// A port that is free for TCP and UDP on that address at the moment.
inline int freePort(const std::string &ip)
{
    Address address = {ip, 0};
    close(listenAt(address));
    return address.m_port;
}

/// A connection, or -1.
inline int connectTo(const Address &address, std::int64_t timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in at = socketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0) {
        pollfd waiting = {fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        const bool ready = poll(&waiting, 1, static_cast<int>(timeoutMs)) == 1;
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (!ready || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Closes a connection with a reset.
inline void resetConnection(int fd)
{
    const linger abort = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close(fd);
}

// --- HTTP ---

struct Message
{
    std::string m_start; // request line or status line
    std::vector<std::pair<std::string, std::string>> m_fields;
    std::string m_body;
};

inline std::string field(const Message &message, const std::string &name)
{
    for (const auto &[known, value] : message.m_fields) {
        if (strcasecmp(known.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

/// Reads messages from one connection.
struct Reader
{
    int m_fd = -1;
    std::string m_buffer;
    std::int64_t m_deadline = 0; // ms; 0: none
    bool m_ended = false;        // the other side closed in order
    bool m_timedOut = false;

    bool more()
    {
        if (m_deadline > 0) {
            pollfd waiting = {m_fd, POLLIN, 0};
            const std::int64_t left = std::max<std::int64_t>(m_deadline - nowMs(), 0);
            if (poll(&waiting, 1, static_cast<int>(left)) != 1) {
                m_timedOut = true;
                return false;
            }
        }
        char bytes[16384];
        const ssize_t got = recv(m_fd, bytes, sizeof bytes, 0);
        m_ended = got == 0;
        if (got <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    bool line(std::string &text)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!more())
                return false;
        }
        text = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool bytes(std::size_t count, std::string &text)
    {
        while (m_buffer.size() < count) {
            if (!more())
                return false;
        }
        text.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool head(Message &message)
    {
        message = {};
        if (!line(message.m_start))
            return false;
        std::string text;
        while (line(text)) {
            if (text.empty())
                return true;
            const std::size_t colon = text.find(':');
            if (colon == std::string::npos)
                return false;
            std::size_t begin = colon + 1;
            while (begin < text.size() && text[begin] == ' ')
                ++begin;
            message.m_fields.emplace_back(text.substr(0, colon), text.substr(begin));
        }
        return false;
    }

    /// One chunk; empty at the last one. False if the connection ended before.
    bool chunk(std::string &text)
    {
        std::string size;
        std::string end;
        text.clear();
        if (!line(size))
            return false;
        return bytes(std::stoul(size, nullptr, 16), text) && line(end);
    }

    bool body(Message &message)
    {
        if (strcasecmp(field(message, "Transfer-Encoding").c_str(), "chunked") == 0) {
            std::string part;
            do {
                if (!chunk(part))
                    return false;
                message.m_body += part;
            } while (!part.empty());
            return true;
        }
        const std::string length = field(message, "Content-Length");
        return length.empty() || bytes(std::stoul(length), message.m_body);
    }
};

inline std::string requestText(const std::string &method, const std::string &target,
                               const std::string &fields, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n" + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline std::string answerText(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections at one address, each with a thread of its own, until it is stopped.
struct Listener
{
    using Handler = std::function<void(int)>;

    void start(Address &address, Handler handler)
    {
        m_fd = listenAt(address);
        m_address = address;
        m_handler = std::move(handler);
        const int listening = m_fd;
        std::thread([this, listening] {
            while (true) {
                const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard lock(m_mutex);
                    m_connections.insert(fd);
                }
                std::thread([this, fd] {
                    m_handler(fd);
                    const std::lock_guard lock(m_mutex);
                    if (m_connections.erase(fd) > 0)
                        close(fd);
                }).detach();
            }
        }).detach();
    }

    /// Refuses connections, and shuts the open ones down.
    void stop()
    {
        shutdown(m_fd, SHUT_RDWR);
        close(m_fd);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_connections)
            shutdown(fd, SHUT_RDWR);
    }

    std::mutex m_mutex;
    int m_fd = -1;
    Address m_address;
    Handler m_handler;
    std::set<int> m_connections;
};

// --- the platform's store ---

/// A store as PROTOCOL.md describes it: lists, watches, single objects, conditional writes.
struct Store
{
    struct Object
    {
        std::uint64_t m_revision = 0;
        std::uint64_t m_createdAt = 0;
        std::string m_spec; // JSON text
    };

    struct Change
    {
        std::uint64_t m_revision = 0;
        std::string m_kind;
        std::string m_text; // of the event, JSON
    };

    using Objects = std::map<std::string, std::map<std::string, Object>>; // by kind and name

    void start(const std::string &ip)
    {
        m_address = {ip, 0};
        open();
    }

    void open()
    {
        m_listener = std::make_shared<Listener>();
        const auto listener = m_listener;
        m_listener->start(m_address, [this, listener](int fd) { serve(fd); });
    }

    /// The store is away: connections are refused and reset, watches end.
    void goAway()
    {
        m_listener->stop();
        const std::lock_guard lock(m_mutex);
        m_life += 1;
        m_changed.notify_all();
    }

    void takeCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_objects;
        m_copyRevision = m_revision;
    }

    /// The store comes back from the copy: later writes are gone, and the era rises.
    void returnFromCopy()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_objects = m_copy;
            m_revision = m_copyRevision;
            m_changes.clear();
            m_historyFrom = m_revision;
            m_era += 1;
        }
        open();
    }

    static std::string objectText(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":\"" + name
            + "\",\"revision\":" + std::to_string(object.m_revision)
            + ",\"created_rev\":" + std::to_string(object.m_createdAt)
            + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.m_spec
            + ",\"status\":{}}";
    }

    /// Writes an object, as the operator and the servers do. Returns its revision.
    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        return putLocked(kind, name, spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        removeLocked(kind, name);
    }

    std::uint64_t putLocked(const std::string &kind, const std::string &name,
                            const std::string &spec)
    {
        Object &object = m_objects[kind][name];
        if (object.m_revision > 0 && object.m_spec == spec)
            return object.m_revision;
        object.m_revision = ++m_revision;
        if (object.m_createdAt == 0)
            object.m_createdAt = m_revision;
        object.m_spec = spec;
        addChange(kind, "{\"object\":" + objectText(name, object) + ",\"deleted\":false}");
        return m_revision;
    }

    void removeLocked(const std::string &kind, const std::string &name)
    {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return;
        Object object = found->second;
        m_objects[kind].erase(found);
        object.m_revision = ++m_revision;
        addChange(kind, "{\"object\":" + objectText(name, object) + ",\"deleted\":true}");
    }

    void addChange(const std::string &kind, std::string text)
    {
        m_changes.push_back({m_revision, kind, std::move(text)});
        m_changed.notify_all();
    }

    static std::uint64_t number(const std::string &target, const std::string &key,
                                std::uint64_t otherwise)
    {
        const std::size_t at = target.find(key + "=");
        if (at == std::string::npos)
            return otherwise;
        return std::strtoull(target.c_str() + at + key.size() + 1, nullptr, 10);
    }

    std::string page(const std::string &kind, const std::string &after)
    {
        std::string items;
        for (const auto &[name, object] : m_objects[kind]) {
            if (name <= after)
                continue;
            items += (items.empty() ? "" : ",") + objectText(name, object);
        }
        return "{\"items\":[" + items + "],\"more\":false,\"as_of\":" + std::to_string(m_revision)
            + "}";
    }

    std::pair<int, std::string> watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                                      std::uint64_t from, std::uint64_t waitMs)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
        const int life = m_life;
        if (from > m_revision || from < m_historyFrom)
            return {410, "{}"};
        while (true) {
            std::string events;
            for (const Change &change : m_changes) {
                if (change.m_kind == kind && change.m_revision > from)
                    events += (events.empty() ? "" : ",") + change.m_text;
            }
            const bool over = std::chrono::steady_clock::now() >= end;
            if (life != m_life)
                return {0, ""};
            if (!events.empty() || over)
                return {200,
                        "{\"events\":[" + events + "],\"as_of\":" + std::to_string(m_revision)
                            + "}"};
            m_changed.wait_until(lock, end);
        }
    }

    std::pair<int, std::string> write(const std::string &method, const std::string &kind,
                                      std::string name, const std::string &body,
                                      const std::string &target)
    {
        std::string spec = "{}";
        std::optional<std::uint64_t> expected;
        if (!body.empty()) {
            boost::system::error_code error;
            const json::value value = json::parse(body, error);
            if (error)
                return {400, "{}"};
            const json::object &fields = value.as_object();
            if (const auto *content = fields.if_contains("spec"))
                spec = json::serialize(*content);
            const json::object &metadata = fields.at("metadata").as_object();
            if (name.empty())
                name = std::string(metadata.at("name").as_string());
            if (const auto *revision = metadata.if_contains("revision"))
                expected = revision->to_number<std::uint64_t>();
        }
        if (target.find("revision=") != std::string::npos)
            expected = number(target, "revision", 0);
        const auto found = m_objects[kind].find(name);
        const bool exists = found != m_objects[kind].end();
        if (method == "POST" && exists)
            return {409, objectText(name, found->second)};
        if (method != "POST" && !exists)
            return {404, "{}"};
        if (exists && expected && *expected != found->second.m_revision)
            return {409, objectText(name, found->second)};
        if (method == "DELETE") {
            removeLocked(kind, name);
            return {200, "{}"};
        }
        putLocked(kind, name, spec);
        return {method == "POST" ? 201 : 200, objectText(name, m_objects[kind][name])};
    }

    std::pair<int, std::string> answer(const std::string &method, const std::string &target,
                                       const std::string &body)
    {
        std::unique_lock lock(m_mutex);
        const std::string prefix = "/v1/objects/";
        const std::string path = target.substr(0, target.find('?'));
        if (path.rfind(prefix, 0) != 0)
            return {404, "{}"};
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        std::string name = rest.find('/') == std::string::npos ? "" : rest.substr(kind.size() + 1);
        if (const std::size_t at = name.find("%40"); at != std::string::npos)
            name.replace(at, 3, "@");
        if (method != "GET")
            return write(method, kind, name, body, target);
        if (!name.empty()) {
            const auto found = m_objects[kind].find(name);
            if (found == m_objects[kind].end())
                return {404, "{}"};
            return {200, objectText(name, found->second)};
        }
        if (target.find("watch=") != std::string::npos)
            return watch(lock, kind, number(target, "watch", 0), number(target, "wait_ms", 0));
        const std::size_t at = target.find("after=");
        return {200, page(kind, at == std::string::npos ? "" : target.substr(at + 6))};
    }

    void serve(int fd)
    {
        Reader reader = {fd, {}};
        Message request;
        while (reader.head(request) && reader.body(request)) {
            std::istringstream line(request.m_start);
            std::string method;
            std::string target;
            line >> method >> target;
            sleepMs(4);
            const auto [status, body] = answer(method, target, request.m_body);
            const std::string fields
                = "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era) + "\r\n";
            if (status == 0 || !sendAll(fd, answerText(status, fields, body)))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Address m_address;
    std::shared_ptr<Listener> m_listener;
    Objects m_objects;
    Objects m_copy;
    std::deque<Change> m_changes;
    std::uint64_t m_revision = 10;
    std::uint64_t m_copyRevision = 0;
    std::uint64_t m_historyFrom = 0;
    std::atomic<std::uint64_t> m_era = 1;
    int m_life = 0; // counts the times that it went away
};

// --- the gateways ---

/// Where things are: the repository, and the folder for the record.
struct Places
{
    std::string m_repository;
    std::string m_temporary;
};

inline Places places;

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// One gateway process, started with the command of the deploy file.
struct Gateway
{
    std::string m_name;
    std::string m_zone = "north";
    std::string m_ip;
    Address m_front;
    Address m_ready;
    Address m_directory;
    int m_peerPort = 0;
    std::map<std::string, std::string> m_environment;
    pid_t m_pid = 0;

    void prepare(const std::string &name, const std::string &ip)
    {
        m_name = name;
        m_ip = ip;
        m_front = {ip, freePort(ip)};
        m_ready = {ip, freePort(ip)};
        m_directory = {ip, freePort(ip)};
        m_peerPort = freePort(ip);
    }

    /// Fills the template of the deploy file as the platform does.
    std::string settings(const Address &store,
                         const std::map<std::string, std::string> &bounds) const
    {
        std::map<std::string, std::string> values = {
            {"node_name", m_name},
            {"zone", m_zone},
            {"ip", m_ip},
            {"listen_addrs.front", toText(m_front)},
            {"listen_addrs.ready", toText(m_ready)},
            {"listen_addrs.directory", toText(m_directory)},
            {"internal_ports.0", std::to_string(m_peerPort)},
            {"platform.address", toText(store)},
            {"bounds.grace_s", "8"},
            {"bounds.lease_ms", "3000"},
            {"bounds.budget_ratio", "0.2"},
            {"bounds.budget_slack", "58"},
            {"bounds.budget_window_s", "10"},
            {"limits.cpu_share", "0.25"},
            {"limits.link_mbps", "1000.0"},
        };
        for (const auto &[key, value] : bounds)
            values[key] = value;
        std::string text = readFile(places.m_repository + "/deploy/settings.yaml");
        for (const auto &[key, value] : values) {
            const std::string placeholder = "{{" + key + "}}";
            for (std::size_t at = text.find(placeholder); at != std::string::npos;
                 at = text.find(placeholder, at))
                text.replace(at, placeholder.size(), value);
        }
        if (text.find("{{") != std::string::npos)
            cannotRun("the template has a placeholder that isn't known here");
        return text;
    }

    void start(const Address &store, const std::map<std::string, std::string> &bounds = {})
    {
        const std::string path = places.m_temporary + "/" + m_name + ".yaml";
        std::ofstream(path) << settings(store, bounds);
        std::string command = readFile(places.m_repository + "/deploy/system.toml");
        command = command.substr(command.find("run = \"") + 7);
        command = command.substr(0, command.find('"'));
        std::vector<std::string> words;
        std::istringstream stream(command);
        for (std::string word; stream >> word;)
            words.push_back(word == "/etc/apricotdyke/settings.toml" ? path : word);
        std::vector<std::string> variables = {"PATH=/usr/bin:/bin", "HOME=/", "LANG=C"};
        for (const auto &[name, value] : m_environment)
            variables.push_back(name + "=" + value);
        const std::string log = places.m_temporary + "/" + m_name + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this program, however that ends
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            std::vector<char *> arguments;
            for (std::string &word : words)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            std::vector<char *> environment;
            for (std::string &variable : variables)
                environment.push_back(variable.data());
            environment.push_back(nullptr);
            if (chdir(places.m_repository.c_str()) == 0)
                execve(words[0].c_str(), arguments.data(), environment.data());
            std::_Exit(127);
        }
        m_pid = pid;
        note("start %s (front %s), process %d", m_name.c_str(), toText(m_front).c_str(),
             static_cast<int>(pid));
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            kill(m_pid, number);
    }

    /// Kills the process and waits for its end.
    void end()
    {
        if (m_pid <= 0)
            return;
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    /// Whether the process has ended by itself; reaps it.
    bool hasEnded()
    {
        if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid == 0;
    }
};

// --- clients ---

struct Answer
{
    int m_status = 0; // 0: no head
    bool m_connected = false;
    bool m_complete = false;
    Message m_message;
    std::int64_t m_tookMs = 0;
};

/// Sends one request on a new connection and reads the whole answer.
inline Answer ask(const Address &address, const std::string &request, std::int64_t timeoutMs)
{
    Answer answer;
    const std::int64_t began = nowMs();
    const int fd = connectTo(address, std::min<std::int64_t>(timeoutMs, 1000));
    if (fd < 0)
        return answer;
    answer.m_connected = true;
    Reader reader = {fd, {}, began + timeoutMs};
    if (sendAll(fd, request) && reader.head(answer.m_message)) {
        if (answer.m_message.m_start.size() > 12)
            answer.m_status = std::atoi(answer.m_message.m_start.c_str() + 9);
        answer.m_complete = reader.body(answer.m_message);
    }
    close(fd);
    answer.m_tookMs = nowMs() - began;
    return answer;
}

inline bool isReady(const Gateway &gateway)
{
    return ask(gateway.m_ready, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 800).m_status
        == 200;
}

inline bool waitUntil(const std::function<bool()> &condition, std::int64_t atMostMs)
{
    const std::int64_t end = nowMs() + atMostMs;
    while (!condition()) {
        if (nowMs() >= end)
            return false;
        sleepMs(50);
    }
    return true;
}

/// A new id of a request, in hexadecimal.
inline std::string newId()
{
    static std::atomic<std::uint64_t> last = static_cast<std::uint64_t>(unixMs()) << 20;
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

// --- the run ---

/// Whether the disruption is played; TROUBLE=0 leaves it out.
inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Prefix of the loopback addresses of this run, so that two runs don't meet.
inline std::string networkOfRun()
{
    const int pid = static_cast<int>(getpid());
    return "127." + std::to_string(40 + pid / 250 % 200) + "." + std::to_string(1 + pid % 250)
        + ".";
}

/// Reads the places from the environment that run.sh sets, and opens the record.
inline void begin()
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *const repository = std::getenv("REPOSITORY");
    const char *const temporary = std::getenv("TEMPORARY");
    const char *const file = std::getenv("RECORD");
    if (!repository || !temporary || !file) {
        std::cerr << "REPOSITORY, TEMPORARY and RECORD must be set; use run.sh\n";
        std::_Exit(2);
    }
    places = {repository, temporary};
    record.m_file.open(file, std::ios::trunc);
    note("trouble: %s", hasTrouble() ? "yes" : "no");
}

/// Ends the run with the verdict: 1 if the rule was broken, 0 if it held.
[[noreturn]] inline void finish(std::vector<Gateway> &gateways, bool broken,
                                const std::string &verdict)
{
    for (Gateway &gateway : gateways)
        gateway.end();
    note("%s: %s", broken ? "BROKEN" : "held", verdict.c_str());
    std::cout << (broken ? "BROKEN: " : "held: ") << verdict << std::endl;
    std::_Exit(broken ? 1 : 0);
}

/// Ends the run as one that could not be judged.
[[noreturn]] inline void giveUp(std::vector<Gateway> &gateways, const std::string &why)
{
    for (Gateway &gateway : gateways)
        gateway.end();
    cannotRun(why);
}

} // namespace trial
