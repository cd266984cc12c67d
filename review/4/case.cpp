// LOST: during a rolling restart a host takes requests while it already ends, passes them on to a
// server, and closes their connections without an answer.
#include "../common/hosts.h"

#include <random>

using namespace bed;

namespace {

std::atomic<int> nextId = 0;

/// What became of one client attempt.
struct Attempt
{
    std::string m_id;
    std::string m_host;
    std::int64_t m_sentAt = 0;
    std::int64_t m_endedAt = 0;
    bool m_answered = false;
    bool m_timedOut = false;
};

std::mutex attemptsMutex;
std::vector<Attempt> attempts;
std::map<std::string, std::int64_t> termAt; // of the SIGTERM that each host got last
std::vector<std::pair<std::string, std::int64_t>> allTerms;

/// A client as PROTOCOL.md describes it: it asks a host where to connect, keeps the answer for its
/// lifetime or three times as long, and longer if it can't obtain a new one. It keeps a connection
/// open for many requests, unless it is told to close it, and doesn't use one to an address that a
/// new answer lacks.
struct Client
{
    Bed *m_bed = nullptr;
    std::mt19937 m_random;
    bool m_patient = false; // keeps answers three times as long
    std::vector<std::string> m_addresses;
    std::int64_t m_expiresAt = 0;
    std::set<std::string> m_failed; // addresses that failed since the last answer
    ConnPtr m_conn;
    std::string m_connectedTo;

    void resolve()
    {
        if (nowMs() < m_expiresAt)
            return;
        std::vector<Host *> hosts;
        for (const auto &host : m_bed->m_hosts)
            hosts.push_back(host.get());
        std::shuffle(hosts.begin(), hosts.end(), m_random);
        for (Host *host : hosts) {
            const ConnPtr conn = connectTo(host->m_directory);
            const auto answer = conn
                ? exchange(*conn,
                           "GET /v1/resolve?name=a.example&region=r&zone=zone-a HTTP/1.1\r\n"
                           "Host: d\r\n\r\n",
                           nowMs() + 1'000)
                : std::nullopt;
            if (answer && answer->status() == 200 && take(answer->m_body))
                return;
        }
    }

    /// Takes an answer over. One without addresses counts as a failure.
    bool take(const std::string &body)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(body, error);
        if (error || parsed.at("addresses").as_array().empty())
            return false;
        m_addresses.clear();
        for (const json::value &address : parsed.at("addresses").as_array())
            m_addresses.push_back(std::string(address.as_string()));
        const auto ttlMs = parsed.at("ttl_s").to_number<std::int64_t>() * 1'000;
        m_expiresAt = nowMs() + ttlMs * (m_patient ? 3 : 1);
        m_failed.clear();
        if (std::find(m_addresses.begin(), m_addresses.end(), m_connectedTo) == m_addresses.end())
            m_conn.reset();
        return true;
    }

    bool connect()
    {
        if (m_conn && !m_conn->closedByPeer())
            return true;
        std::vector<std::string> usable;
        for (const std::string &address : m_addresses) {
            if (!m_failed.contains(address))
                usable.push_back(address);
        }
        if (usable.empty()) { // all have failed: the client starts over
            m_failed.clear();
            usable = m_addresses;
        }
        if (usable.empty())
            return false;
        m_connectedTo = usable[m_random() % usable.size()];
        const std::size_t colon = m_connectedTo.find(':');
        m_conn = connectTo(
            {m_connectedTo.substr(0, colon),
             static_cast<std::uint16_t>(std::atoi(m_connectedTo.substr(colon + 1).c_str()))});
        if (!m_conn)
            m_failed.insert(m_connectedTo);
        return m_conn != nullptr;
    }

    std::string hostName() const
    {
        for (const auto &host : m_bed->m_hosts) {
            if (host->m_caller.text() == m_connectedTo)
                return host->m_name;
        }
        return "?";
    }

    void request()
    {
        resolve();
        if (!connect())
            return;
        constexpr std::int64_t deadlineMs = 1'500;
        const bool mayRepeat = m_random() % 2 == 0;
        Attempt attempt;
        attempt.m_id = "q" + std::to_string(nextId++);
        attempt.m_host = hostName();
        attempt.m_sentAt = nowMs();
        record().line("request " + attempt.m_id + (mayRepeat ? " (look)" : " (book)")
                      + " sent to host " + attempt.m_host);
        const std::string path = mayRepeat ? "GET /look/x" : "POST /book/x";
        const std::string length = mayRepeat ? "" : "Content-Length: 2\r\n";
        const auto answer = exchange(
            *m_conn,
            path + " HTTP/1.1\r\nHost: a.example\r\n" + length + "Apricotdyke-Request-Id: "
                + attempt.m_id + "\r\nApricotdyke-Deadline-Ms: " + std::to_string(deadlineMs)
                + "\r\n\r\n" + (mayRepeat ? "" : "hi"),
            nowMs() + deadlineMs);
        attempt.m_endedAt = nowMs();
        attempt.m_answered = answer.has_value();
        attempt.m_timedOut = !answer && m_conn->m_timedOut;
        record().line("request " + attempt.m_id + " "
                      + (answer                   ? "answered " + std::to_string(answer->status())
                             : attempt.m_timedOut ? "not answered in time"
                                                  : "ended: connection closed without an answer"));
        if (!answer)
            m_failed.insert(m_connectedTo);
        if (!answer || lower(valueOf(answer->m_fields, "Connection")) == "close")
            m_conn.reset();
        const std::lock_guard lock(attemptsMutex);
        attempts.push_back(std::move(attempt));
    }
};

void runClient(Bed &bed, int number)
{
    Client client;
    client.m_bed = &bed;
    client.m_random.seed(static_cast<unsigned>(number));
    client.m_patient = number % 3 == 0;
    while (true) {
        client.request();
        sleepMs(static_cast<std::int64_t>(250 + client.m_random() % 300));
    }
}

/// Whether the attempt falls into the planned stop of its host: until 1 s after the grace time.
bool isInPlannedStop(const Attempt &attempt)
{
    constexpr std::int64_t endMs = 9'000;
    return std::any_of(allTerms.begin(), allTerms.end(), [&](const auto &term) {
        return term.first == attempt.m_host && attempt.m_endedAt >= term.second
            && attempt.m_endedAt <= term.second + endMs;
    });
}

/// Attempts that a host passed on to a server, and whose connection it closed without an answer
/// though the server was at work and neither the deadline nor the route's timeout was reached.
int countLost(Bed &bed)
{
    constexpr std::int64_t routeTimeoutMs = 800;
    std::set<std::string> cut;
    for (const auto &server : bed.m_servers) {
        const std::lock_guard lock(server->m_mutex);
        for (const Run &run : server->m_runs) {
            if (run.m_cut)
                cut.insert(run.m_id);
        }
    }
    int lost = 0;
    const std::lock_guard lock(attemptsMutex);
    for (const Attempt &attempt : attempts) {
        const bool early = attempt.m_endedAt - attempt.m_sentAt < routeTimeoutMs;
        if (attempt.m_answered || attempt.m_timedOut || !early || !cut.contains(attempt.m_id)
            || !isInPlannedStop(attempt))
            continue;
        std::int64_t term = 0;
        for (const auto &[host, at] : allTerms) {
            if (host == attempt.m_host && at <= attempt.m_endedAt)
                term = at;
        }
        // Not counted: a request sent no later than 3 s after SIGTERM that runs into the last
        // sixth of the grace time.
        constexpr std::int64_t lastSixthMs = 6'667;
        if (attempt.m_sentAt - term <= 3'000 && attempt.m_endedAt - term >= lastSixthMs)
            continue;
        lost += 1;
        record().line("LOST: " + attempt.m_id + ", sent to host " + attempt.m_host + " "
                      + std::to_string(attempt.m_sentAt - term) + " ms after its SIGTERM, closed "
                      + std::to_string(attempt.m_endedAt - attempt.m_sentAt) + " ms later");
    }
    return lost;
}

/// Stops the host and starts it again once it has ended.
void restart(Bed &bed, Host &host)
{
    const std::int64_t at = nowMs();
    {
        const std::lock_guard lock(attemptsMutex);
        allTerms.emplace_back(host.m_name, at);
    }
    signalHost(host, SIGTERM, "SIGTERM");
    awaitEnd(host, at);
    startHost(bed, host);
}

} // namespace

int main(int, char **argv)
{
    constexpr int clients = 48;
    constexpr std::int64_t gapMs = 1'000; // of a rolling restart, as in the site files
    constexpr int rolls = 12;
    constexpr std::int64_t rollMs = 8'600;
    static Bed bed;
    prepare(bed, argv);
    // SYSTEM.md: 4 ms an answer, and one way 1.4 ms between zones.
    constexpr std::int64_t storeMs = 7;
    bed.m_store.m_answerMs = storeMs;
    if (!addServer(bed, "desk", false) || !addServer(bed, "desk", false) || !addHosts(bed, 3))
        finish(bed, 2, "an address can't be used");
    for (const auto &host : bed.m_hosts)
        startHost(bed, *host);
    for (const auto &host : bed.m_hosts) {
        if (!waitUntil(10'000, [&] { return isReady(*host); }))
            finish(bed, 2, "host " + host->m_name + " isn't ready");
    }
    for (int number = 0; number < clients; ++number)
        std::thread([number] { runClient(bed, number); }).detach();
    sleepMs(5'000);
    for (int roll = 0; roll < rolls; ++roll) {
        const std::int64_t began = nowMs();
        std::vector<std::thread> restarts;
        for (const auto &host : bed.m_hosts) {
            if (!bed.m_trouble)
                break;
            restarts.emplace_back([&] { restart(bed, *host); });
            sleepMs(gapMs);
        }
        for (std::thread &thread : restarts)
            thread.join();
        sleepMs(std::max<std::int64_t>(began + rollMs - nowMs(), 0));
    }
    sleepMs(1'000);
    const int lost = countLost(bed);
    finish(bed, lost > 0 ? 1 : 0, std::to_string(lost) + " requests lost");
}
