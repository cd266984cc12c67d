// The hosts of a case: processes of the deploy file's command, each with an address of its own on
// loopback and settings made from deploy/settings.yaml as the platform makes them.
#pragma once

#include "servers.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <sys/wait.h>

namespace bed {

struct Host
{
    std::string m_name;
    std::string m_ip;
    Address m_caller;
    Address m_ready;
    Address m_directory;
    Address m_store; // at which this host reaches the store
    std::uint16_t m_peerPort = 0;
    std::string m_settings; // path of the file
    std::string m_log;
    std::atomic<pid_t> m_pid = 0; // 0: not running
};

/// A small deployment: hosts, the store, and the servers that a case adds.
struct Bed
{
    Store m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::string m_root;   // of the repository
    std::string m_folder; // temporary: settings and logs
    bool m_trouble = true;

    Host &host(const std::string &name)
    {
        for (const auto &host : m_hosts) {
            if (host->m_name == name)
                return *host;
        }
        return *m_hosts.front();
    }
};

inline void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// Fills in deploy/settings.yaml with the figures of the small sites.
inline bool writeSettings(const Bed &bed, const Host &host)
{
    std::ifstream file(bed.m_root + "/deploy/settings.yaml");
    std::stringstream read;
    read << file.rdbuf();
    std::string text = read.str();
    const std::vector<std::pair<std::string, std::string>> values = {
        {"node_name", host.m_name},
        {"zone", "zone-a"},
        {"ip", host.m_ip},
        {"listen_addrs.front", host.m_caller.text()},
        {"listen_addrs.ready", host.m_ready.text()},
        {"listen_addrs.directory", host.m_directory.text()},
        {"internal_ports.0", std::to_string(host.m_peerPort)},
        {"platform.address", host.m_store.text()},
        {"bounds.grace_s", "8"},
        {"bounds.lease_ms", "3000"},
        {"bounds.budget_ratio", "0.2"},
        {"bounds.budget_slack", "58"},
        {"bounds.budget_window_s", "10"},
        {"limits.cpu_share", "0.25"},
        {"limits.link_mbps", "1000.0"},
    };
    for (const auto &[name, value] : values)
        replaceAll(text, "{{" + name + "}}", value);
    std::ofstream(host.m_settings) << text;
    return text.find("{{") == std::string::npos && !text.empty();
}

/// Starts the host's process with the command of deploy/system.toml.
inline void startHost(const Bed &bed, Host &host)
{
    const std::string program = bed.m_root + "/target/apricotgw";
    const pid_t pid = fork();
    if (pid == 0) {
        const int log = open(host.m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        for (int fd = 3; fd < 4'096; ++fd)
            close(fd);
        execl(program.c_str(), program.c_str(), "--settings", host.m_settings.c_str(), nullptr);
        _exit(127);
    }
    host.m_pid = pid;
    record().line("host " + host.m_name + " started, process " + std::to_string(pid));
}

inline void signalHost(Host &host, int signal, const char *name)
{
    if (host.m_pid > 0) {
        record().line("host " + host.m_name + " gets " + name);
        kill(host.m_pid, signal);
    }
}

/// Whether the process has ended; it is reaped then.
inline bool hasEnded(Host &host)
{
    if (host.m_pid <= 0)
        return true;
    int status = 0;
    if (waitpid(host.m_pid, &status, WNOHANG) != host.m_pid)
        return false;
    record().line("host " + host.m_name + " ended, "
                  + (WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                                       : "signal " + std::to_string(WTERMSIG(status))));
    host.m_pid = 0;
    return true;
}

/// Waits for the end of a host that got SIGTERM; after the grace time of 8 s it gets SIGKILL.
inline void awaitEnd(Host &host, std::int64_t termAt)
{
    constexpr std::int64_t graceMs = 8'000;
    while (!hasEnded(host)) {
        if (nowMs() - termAt > graceMs)
            kill(host.m_pid, SIGKILL);
        sleepMs(20);
    }
}

inline bool isReady(const Host &host)
{
    const ConnPtr conn = connectTo(host.m_ready);
    const auto answer = conn
        ? exchange(*conn, "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n", nowMs() + 1'000)
        : std::nullopt;
    return answer && answer->status() == 200;
}

template<typename Condition>
bool waitUntil(std::int64_t timeout, Condition condition)
{
    const std::int64_t end = nowMs() + timeout;
    while (nowMs() < end) {
        if (condition())
            return true;
        sleepMs(20);
    }
    return condition();
}

/// The host that the lease record in the store names, as a name of a host; empty: none.
inline std::string leaseHolder(Bed &bed)
{
    const json::value spec = bed.m_store.get("apricot-leases", "orders");
    const std::string holder = spec.is_object() ? textAt(spec.get_object(), "holder") : "";
    return holder.substr(0, holder.find('@'));
}

inline json::object routeJson(const std::string &prefix, const std::string &kind,
                              const std::string &service, int timeoutMs, int targetMs)
{
    json::object route;
    route["name"] = prefix;
    route["host"] = "a.example";
    route["path_prefix"] = prefix;
    route["kind"] = kind;
    route["service"] = service;
    route["timeout_ms"] = timeoutMs;
    route["target_latency_ms"] = targetMs;
    route["priority"] = 1;
    route["max_attempts"] = kind == "idempotent" ? 2 : 1;
    route["resumable"] = false;
    return route;
}

/// Routes and figures like those of the small sites: /draft/ streams of a model, /book/ runs at
/// most once, /look/ may be repeated.
inline json::object configurationJson(int modelCount)
{
    json::array routes;
    routes.push_back(routeJson("/draft/", "stream", "writer", 12'000, 800));
    routes.push_back(routeJson("/book/", "non_idempotent", "desk", 800, 300));
    routes.push_back(routeJson("/look/", "idempotent", "desk", 800, 300));
    json::array models;
    for (int number = 0; number < modelCount; ++number) {
        json::object model;
        model["name"] = "m" + std::to_string(number);
        model["weights_mb"] = 100;
        model["load_time_s"] = 0.5;
        model["disk_s"] = 0.15;
        model["warm_s"] = 0.1;
        model["adapters"] = 0;
        model["adapter_mb"] = 1;
        models.push_back(std::move(model));
    }
    json::object engine;
    engine["slots"] = 16;
    engine["weights_mb"] = 220;
    engine["adapter_slots"] = 4;
    engine["loads_per_s"] = 4;
    engine["models"] = std::move(models);
    json::object writer;
    writer["name"] = "writer";
    writer["engine"] = std::move(engine);
    json::object desk;
    desk["name"] = "desk";
    json::array services;
    services.push_back(std::move(writer));
    services.push_back(std::move(desk));
    json::object limits;
    limits["max_header_bytes"] = 16'384;
    limits["max_body_bytes"] = 100'000;
    limits["header_timeout_ms"] = 3'000;
    limits["idle_timeout_ms"] = 15'000;
    json::object configuration;
    configuration["version"] = 1;
    configuration["routes"] = std::move(routes);
    configuration["services"] = std::move(services);
    configuration["limits"] = std::move(limits);
    return configuration;
}

/// Adds a server; returns null if its address can't be used.
inline Server *addServer(Bed &bed, const std::string &service, bool hasModels)
{
    auto server = std::make_unique<Server>();
    server->m_store = &bed.m_store;
    server->m_id = "i-" + std::to_string(bed.m_servers.size());
    server->m_service = service;
    server->m_address = {"127.0.0.1", freePort("127.0.0.1")};
    server->m_hasModels = hasModels;
    if (hasModels)
        server->m_loaded = {"m0", "m1"};
    bed.m_servers.push_back(std::move(server));
    return bed.m_servers.back()->start() ? bed.m_servers.back().get() : nullptr;
}

/// Makes the hosts a, b, c ... at addresses of their own, since the settings fix the port for
/// metrics. Cases that run side by side use others. Returns false if an address can't be used.
inline bool addHosts(Bed &bed, int count)
{
    const int process = getpid();
    const std::string network
        = "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(process % 250);
    for (int number = 0; number < count; ++number) {
        auto host = std::make_unique<Host>();
        host->m_name = std::string(1, static_cast<char>('a' + number));
        host->m_ip = network + "." + std::to_string(number + 1);
        host->m_caller = {host->m_ip, freePort(host->m_ip)};
        host->m_ready = {host->m_ip, freePort(host->m_ip)};
        host->m_directory = {host->m_ip, freePort(host->m_ip)};
        host->m_store = {"127.0.0.1", freePort("127.0.0.1")};
        host->m_peerPort = freePort(host->m_ip);
        host->m_settings = bed.m_folder + "/" + host->m_name + ".yaml";
        host->m_log = bed.m_folder + "/" + host->m_name + ".log";
        if (!writeSettings(bed, *host) || !bed.m_store.serveFor(host->m_store, host->m_name))
            return false;
        bed.m_hosts.push_back(std::move(host));
    }
    return true;
}

inline void endAll(Bed &bed)
{
    for (const auto &host : bed.m_hosts) {
        if (host->m_pid > 0) {
            kill(host->m_pid, SIGKILL);
            waitpid(host->m_pid, nullptr, 0);
            host->m_pid = 0;
        }
    }
}

/// Prepares a case from its arguments: the root of the repository, the folder of the case and a
/// temporary folder. TROUBLE=0 in the environment leaves the disruption out.
inline void prepare(Bed &bed, char **argv, int modelCount = 6)
{
    bed.m_root = argv[1];
    record().m_file.open(std::string(argv[2]) + "/record.txt");
    bed.m_folder = argv[3];
    const char *trouble = std::getenv("TROUBLE");
    bed.m_trouble = !trouble || std::string(trouble) != "0";
    record().line(bed.m_trouble ? "with the disruption" : "without the disruption");
    bed.m_store.put("config", "main", configurationJson(modelCount));
}

/// Ends a case with its exit code, without running destructors: threads still use the bed.
[[noreturn]] inline void finish(Bed &bed, int code, const std::string &why)
{
    endAll(bed);
    record().line("result " + std::to_string(code) + ": " + why);
    std::_Exit(code);
}

} // namespace bed
