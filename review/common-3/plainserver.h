// A stand-in for a server of a plain service, which several scripts use.
#pragma once

#include "trial.h"

namespace trial {

/// What happened to one request at a server.
struct Run
{
    std::string m_id;
    std::string m_server;
    std::string m_tenant;
    std::string m_from;        // address of the machine that sent it
    std::int64_t m_at = 0;     // ms, when it was read
    bool m_leaving = false;    // its answer said that the server leaves
    bool m_answered = false;   // its answer was sent
    bool m_turnedAway = false; // answered without being run
};

/// The books of all servers.
struct Books
{
    void add(const Run &run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
    }

    std::vector<Run> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// A server that answers each request after its work time.
struct PlainServer
{
    void start(const std::string &id, const std::string &ip, const std::string &service,
               Books &books)
    {
        m_id = id;
        m_service = service;
        m_books = &books;
        m_address = {ip, 0};
        m_listener.start(m_address, [this](int fd) { serve(fd); });
    }

    void serve(int fd)
    {
        sockaddr_in peer = {};
        socklen_t size = sizeof peer;
        getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size);
        char from[32] = "";
        inet_ntop(AF_INET, &peer.sin_addr, from, sizeof from);
        Reader reader = {fd, {}};
        Message request;
        while (reader.head(request) && reader.body(request)) {
            Run run;
            run.m_id = field(request, "Apricotdyke-Request-Id");
            run.m_server = m_id;
            run.m_tenant = field(request, "Apricotdyke-Tenant");
            run.m_from = from;
            run.m_at = sinceStart();
            const std::string expected = field(request, "Apricotdyke-Expect-Instance");
            run.m_turnedAway = !expected.empty() && expected != m_id;
            if (!run.m_turnedAway) {
                m_running += 1;
                sleepMs(m_workMs);
                m_running -= 1;
            }
            run.m_leaving = m_leaving;
            std::string fields = "Apricotdyke-Request-Id: " + run.m_id + "\r\n";
            fields += run.m_turnedAway ? "Apricotdyke-Not-Run: 1\r\n"
                                       : "Apricotdyke-Server-Stamp: s-" + m_id + "\r\n";
            fields += m_extraFields;
            if (run.m_leaving)
                fields += "Server-Leaving: 1\r\n";
            run.m_answered = !m_gone
                && sendAll(fd, answerText(run.m_turnedAway ? 421 : 200, fields, "of " + m_id));
            note("server %s: request %s from %s, read at %.3f%s%s", m_id.c_str(), run.m_id.c_str(),
                 from, static_cast<double>(run.m_at) / 1000, run.m_leaving ? ", says leaving" : "",
                 run.m_answered ? "" : ", broken off");
            m_books->add(run);
        }
    }

    /// The process ends: its connections are closed, and new ones refused.
    void exit()
    {
        m_gone = true;
        m_listener.stop();
    }

    std::string entry(const std::string &state = "ready") const
    {
        return R"({"service":")" + m_service + R"(","address":")" + toText(m_address)
            + R"(","zone":"north","version":"v1","slots":6,"state":")" + state
            + R"(","cold_ms":0,"born":)" + std::to_string(m_born) + R"(,"seq":1})";
    }

    std::string m_id;
    std::string m_service;
    std::string m_extraFields; // of each answer, each line ending with CR LF
    Address m_address;
    std::int64_t m_born = unixMs();
    std::int64_t m_workMs = 20;
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_gone = false;
    Books *m_books = nullptr;
    Listener m_listener;
};

} // namespace trial
