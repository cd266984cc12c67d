// A server names a limit, and the machine that gives the permits for it stands still for moments.
// See the claim.txt of the case.
#define XXH_INLINE_ALL
#include "plainserver.h"

#include <xxhash.h>

using namespace trial;

namespace {

constexpr int gatewayCount = 9;
constexpr double limit = 20;             // requests a second, as the server names it
constexpr std::int64_t windowMs = 4'000; // of the rule
constexpr std::int64_t stableMs = 3'000; // stable_window_ms
constexpr int clientsOfGateway = 3;
constexpr std::int64_t pauseMs = 250; // of a client between two requests
constexpr std::int64_t deadlineMs = 1'500;
constexpr std::int64_t freezeMs = 140;
constexpr std::int64_t freezeEachMs = 1'500;
constexpr int freezes = 14;

const char *const serverId = "i-1";

const char *const configuration = R"({"version":3,
"routes":[{"name":"look","host":"desk.example","path_prefix":"/look/","kind":"idempotent",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}],
"services":[{"name":"desk","health_path":"/health","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}})";

/// The gateway that gives the permits: rendezvous hashing ranks it first for the server.
std::size_t permitGateway(const std::vector<Gateway> &gateways)
{
    std::size_t first = 0;
    std::uint64_t highest = 0;
    for (std::size_t number = 0; number < gateways.size(); ++number) {
        const std::string text = std::string(serverId) + "/" + gateways[number].m_name;
        const std::uint64_t weight = XXH3_64bits(text.data(), text.size());
        if (weight > highest) {
            highest = weight;
            first = number;
        }
    }
    return first;
}

struct Requests
{
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_gateway; // by id
    std::map<std::size_t, std::int64_t> m_toldAt; // when the gateway first passed on the limit
    std::map<int, int> m_statuses;
};

void runClient(Requests &requests, const Gateway &gateway, std::size_t number, int client,
               std::atomic<bool> &sending)
{
    sleepMs(client * pauseMs / clientsOfGateway);
    while (sending) {
        const std::string id = newId();
        const std::int64_t at = sinceStart();
        {
            const std::lock_guard lock(requests.m_mutex);
            requests.m_gateway[id] = number;
        }
        const std::string request = requestText(
            "GET", "/look/a",
            "Host: desk.example\r\nApricotdyke-Request-Id: " + id
                + "\r\nApricotdyke-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n",
            "");
        const Answer answer = ask(gateway.m_front, request, deadlineMs);
        const bool told = !field(answer.m_message, "Server-Limit").empty();
        note("request %s to %s, sent at %.3f: status %d", id.c_str(), gateway.m_name.c_str(),
             static_cast<double>(at) / 1000, answer.m_status);
        {
            const std::lock_guard lock(requests.m_mutex);
            requests.m_statuses[answer.m_status] += 1;
            if (told)
                requests.m_toldAt.try_emplace(number, sinceStart());
        }
        sleepMs(at + pauseMs - sinceStart());
    }
}

/// The most requests in one window, of those that the rule counts.
int mostInWindow(const std::vector<Run> &runs, Requests &requests, std::size_t excused,
                 std::int64_t namedAt)
{
    std::vector<std::int64_t> counted;
    for (const Run &run : runs) {
        const auto gateway = requests.m_gateway.find(run.m_id);
        if (gateway == requests.m_gateway.end() || gateway->second == excused)
            continue;
        const auto told = requests.m_toldAt.find(gateway->second);
        const bool knew = told != requests.m_toldAt.end() && told->second + 500 <= run.m_at;
        if (knew && run.m_at >= namedAt + stableMs)
            counted.push_back(run.m_at);
    }
    std::sort(counted.begin(), counted.end());
    int most = 0;
    for (std::size_t from = 0; from < counted.size(); ++from) {
        std::size_t to = from;
        while (to < counted.size() && counted[to] < counted[from] + windowMs)
            ++to;
        most = std::max(most, static_cast<int>(to - from));
    }
    return most;
}

} // namespace

int main()
{
    begin();
    const std::string network = networkOfRun();
    Store store;
    store.start(network + "1");
    store.put("config", "main", configuration);
    Books books;
    PlainServer server;
    server.m_extraFields = "Server-Limit: 20\r\n";
    server.start(serverId, network + "31", "desk", books);
    store.put("servers", server.m_id, server.entry());
    std::vector<Gateway> gateways(gatewayCount);
    for (int number = 0; number < gatewayCount; ++number) {
        Gateway &gateway = gateways[static_cast<std::size_t>(number)];
        gateway.prepare("front-" + std::to_string(number + 1),
                        network + std::to_string(11 + number));
        gateway.start(store.m_address);
    }
    for (const Gateway &gateway : gateways) {
        if (!waitUntil([&] { return isReady(gateway); }, 10'000))
            giveUp(gateways, gateway.m_name + " isn't ready before traffic starts");
    }
    sleepMs(5'000);
    const std::size_t permits = permitGateway(gateways);
    note("%s gives the permits for %s", gateways[permits].m_name.c_str(), serverId);
    Requests requests;
    std::atomic<bool> sending = true;
    std::vector<std::thread> clients;
    const std::int64_t namedAt = sinceStart();
    for (std::size_t number = 0; number < gateways.size(); ++number) {
        for (int client = 0; client < clientsOfGateway; ++client)
            clients.emplace_back(runClient, std::ref(requests), std::cref(gateways[number]), number,
                                 client, std::ref(sending));
    }
    sleepMs(stableMs + 2'000);
    for (int count = 0; count < freezes; ++count) {
        if (hasTrouble()) {
            gateways[permits].signal(SIGSTOP);
            note("%s stands still", gateways[permits].m_name.c_str());
        }
        sleepMs(freezeMs);
        gateways[permits].signal(SIGCONT);
        sleepMs(freezeEachMs - freezeMs);
    }
    sending = false;
    for (std::thread &client : clients)
        client.join();
    const double allowed = 1.5 * limit * windowMs / 1000 + 5;
    const int most = mostInWindow(books.all(), requests, permits, namedAt);
    for (const auto &[status, count] : requests.m_statuses)
        note("%d answers with status %d", count, status);
    if (requests.m_statuses[200] == 0)
        giveUp(gateways, "no request was served");
    finish(gateways, most > allowed,
           "LIMIT: " + std::to_string(most) + " requests reached the server within 4 s, "
               + std::to_string(static_cast<int>(allowed)) + " are allowed");
}
