// LOST: a host that stops takes a stream since the last ones were short, and cuts it off before
// the grace time is over.
#include "../common/hosts.h"

using namespace bed;

namespace {

// Figures of the small sites: a step of an engine takes 6.8 ms and more, an event holds 4 tokens,
// a stream has 43 events on average and 150 at most.
constexpr std::int64_t eventMs = 28;
constexpr int usualEvents = 43;
constexpr int mostEvents = 150;

std::atomic<int> nextId = 0;

struct Attempt
{
    std::string m_id;
    std::int64_t m_sentAt = 0;
    std::int64_t m_endedAt = 0;
    int m_status = 0;
    bool m_whole = false;
};

/// Sends a stream request at the host; the number of events is agreed with the server by its id.
Attempt request(const Host &host, int events)
{
    Attempt attempt;
    attempt.m_id = "q" + std::to_string(nextId++) + "-" + std::to_string(events);
    attempt.m_sentAt = nowMs();
    record().line("request " + attempt.m_id + " sent to host " + host.m_name);
    constexpr std::int64_t deadlineMs = 12'000;
    const ConnPtr conn = connectTo(host.m_caller);
    const std::string text = "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n"
                             "Apricotdyke-Request-Id: "
        + attempt.m_id + "\r\nApricotdyke-Model: m0\r\nApricotdyke-Token-Count: 1460,"
        + std::to_string(events * 4) + "\r\nApricotdyke-Prompt-Prefix: 1:350,"
        + std::to_string(nextId + 4'096) + ":1110\r\nApricotdyke-Deadline-Ms: 12000\r\n\r\nhi";
    if (conn && conn->write(text)) {
        auto answer = readHead(*conn, nowMs() + deadlineMs);
        attempt.m_status = answer ? answer->status() : 0;
        attempt.m_whole = answer && readBody(*conn, *answer, nowMs() + deadlineMs);
    }
    attempt.m_endedAt = nowMs();
    record().line("request " + attempt.m_id + " ended: status " + std::to_string(attempt.m_status)
                  + (attempt.m_whole ? ", whole" : ", cut off"));
    return attempt;
}

/// Two clients that send usual streams, one after the other.
void sendUsual(const Host &host, std::atomic<bool> &stopped)
{
    while (!stopped)
        request(host, usualEvents);
}

} // namespace

int main(int, char **argv)
{
    static Bed bed;
    prepare(bed, argv);
    Server *server = addServer(bed, "writer", true);
    if (!server || !addServer(bed, "desk", false) || !addHosts(bed, 3))
        finish(bed, 2, "an address can't be used");
    server->m_eventMs = eventMs;
    for (const auto &host : bed.m_hosts)
        startHost(bed, *host);
    for (const auto &host : bed.m_hosts) {
        if (!waitUntil(10'000, [&] { return isReady(*host); }))
            finish(bed, 2, "host " + host->m_name + " isn't ready");
    }
    Host &stopping = *bed.m_hosts.front();
    static std::atomic<bool> stopped = false;
    for (int client = 0; client < 2; ++client)
        std::thread([&stopping] { sendUsual(stopping, stopped); }).detach();
    sleepMs(20'000);

    // SIGTERM. The clients still have its address, which an answer names for 2 s, and some clients
    // keep it three times as long.
    stopped = true;
    const std::int64_t termAt = nowMs();
    if (bed.m_trouble)
        signalHost(stopping, SIGTERM, "SIGTERM");
    sleepMs(termAt + 3'400 - nowMs());
    const Attempt attempt = request(stopping, mostEvents);
    if (bed.m_trouble)
        awaitEnd(stopping, termAt);
    if (attempt.m_status == 0 && attempt.m_endedAt - attempt.m_sentAt < 200)
        finish(bed, 2, "the request wasn't taken");
    const bool lost = !attempt.m_whole && attempt.m_status == 200;
    finish(bed, lost ? 1 : 0,
           "the stream was sent " + std::to_string(attempt.m_sentAt - termAt)
               + " ms after SIGTERM and ended after "
               + std::to_string(attempt.m_endedAt - attempt.m_sentAt) + " ms, "
               + (attempt.m_whole ? "whole" : "cut off"));
}
