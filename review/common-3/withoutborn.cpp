// A server has left: its entry is gone, and it said so in its answers. Then another writer puts an
// entry with its name that lacks a field. See the claim.txt of the case.
#include "plainserver.h"

using namespace trial;

namespace {

constexpr int gatewayCount = 3;
constexpr int serverCount = 3;
constexpr std::int64_t drainMs = 2'000;        // drain_ms
constexpr std::int64_t workMs = 60;            // of each request at a server
constexpr std::int64_t deadlineMs = 1'500;     // of each request
constexpr std::int64_t beforeMs = 2'000;       // traffic before the server leaves
constexpr std::int64_t writtenAfterMs = 3'500; // from the removal of the entry to the other one
constexpr std::int64_t servesForMs = 7'000;    // from the removal to the server's exit
constexpr std::int64_t pauseMs = 30;           // of a client between two requests

const char *const configuration = R"({"version":3,
"routes":[{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1}],
"services":[{"name":"desk","health_path":"/health","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}})";

/// The entry of the server as another writer leaves it: without `born`, `cold_ms` and `seq`.
std::string entryWithoutBorn(const PlainServer &server)
{
    return R"({"service":"desk","address":")" + toText(server.m_address)
        + R"(","zone":"north","version":"v1","slots":6,"state":"ready"})";
}

struct Asked
{
    int m_gateway = 0;
    std::int64_t m_at = 0;       // ms, when it was sent
    std::int64_t m_passedAt = 0; // ms, when its answer with Server-Leaving came; 0: none
};

/// All requests of clients, by id.
struct Requests
{
    std::mutex m_mutex;
    std::map<std::string, Asked> m_asked;
};

void runClient(Requests &requests, const Gateway &gateway, int number, std::atomic<bool> &sending)
{
    while (sending) {
        const std::string id = newId();
        Asked asked;
        asked.m_gateway = number;
        asked.m_at = sinceStart();
        const std::string request = requestText(
            "POST", "/book/a",
            "Host: desk.example\r\nApricotdyke-Request-Id: " + id
                + "\r\nApricotdyke-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n",
            "a booking");
        const Answer answer = ask(gateway.m_front, request, deadlineMs);
        const bool leaving = field(answer.m_message, "Server-Leaving") == "1";
        asked.m_passedAt = leaving ? sinceStart() : 0;
        note("request %s to %s, sent at %.3f: status %d%s", id.c_str(), gateway.m_name.c_str(),
             static_cast<double>(asked.m_at) / 1000, answer.m_status,
             leaving ? ", Server-Leaving: 1" : "");
        {
            const std::lock_guard lock(requests.m_mutex);
            requests.m_asked[id] = asked;
        }
        sleepMs(pauseMs);
    }
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
    std::vector<PlainServer> servers(serverCount);
    for (int number = 0; number < serverCount; ++number) {
        PlainServer &server = servers[static_cast<std::size_t>(number)];
        server.m_workMs = workMs;
        server.start("i-" + std::to_string(number + 1), network + std::to_string(31 + number),
                     "desk", books);
        store.put("servers", server.m_id, server.entry());
    }
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
    sleepMs(4'000);
    Requests requests;
    std::atomic<bool> sending = true;
    std::vector<std::thread> clients;
    for (int number = 0; number < gatewayCount; ++number) {
        for (int client = 0; client < 4; ++client)
            clients.emplace_back(runClient, std::ref(requests),
                                 std::cref(gateways[static_cast<std::size_t>(number)]), number,
                                 std::ref(sending));
    }
    sleepMs(beforeMs);
    PlainServer &leaver = servers.front();
    leaver.m_leaving = true;
    const std::int64_t saidAt = sinceStart();
    note("server %s says that it leaves, in all its answers", leaver.m_id.c_str());
    sleepMs(200);
    store.remove("servers", leaver.m_id);
    note("its entry is removed");
    sleepMs(saidAt + writtenAfterMs - sinceStart());
    if (hasTrouble()) {
        store.put("servers", leaver.m_id, entryWithoutBorn(leaver));
        note("another writer puts an entry %s without the field born", leaver.m_id.c_str());
    }
    sleepMs(saidAt + servesForMs - sinceStart());
    sending = false;
    for (std::thread &client : clients)
        client.join();
    leaver.exit();
    note("server %s exits", leaver.m_id.c_str());
    std::map<int, std::int64_t> toldAt; // by gateway, when it first passed on Server-Leaving
    for (const auto &[id, asked] : requests.m_asked) {
        if (asked.m_passedAt > 0
            && (!toldAt.contains(asked.m_gateway) || asked.m_passedAt < toldAt[asked.m_gateway]))
            toldAt[asked.m_gateway] = asked.m_passedAt;
    }
    if (toldAt.empty())
        giveUp(gateways, "no answer with Server-Leaving was passed on");
    int late = 0;
    for (const Run &run : books.all()) {
        const auto found = requests.m_asked.find(run.m_id);
        if (run.m_server != leaver.m_id || run.m_turnedAway || found == requests.m_asked.end())
            continue;
        const Asked &asked = found->second;
        const bool told = toldAt.contains(asked.m_gateway);
        if (!told || asked.m_at <= toldAt[asked.m_gateway] + drainMs)
            continue;
        late += 1;
        note("request %s was sent %.3f s after front-%d had passed on Server-Leaving of %s, and "
             "reached it from there",
             run.m_id.c_str(), static_cast<double>(asked.m_at - toldAt[asked.m_gateway]) / 1000,
             asked.m_gateway + 1, leaver.m_id.c_str());
    }
    finish(gateways, late > 0,
           "DRAIN: " + std::to_string(late)
               + " requests, sent later than drain_ms after their machine had passed on "
                 "Server-Leaving, reached the server");
}
