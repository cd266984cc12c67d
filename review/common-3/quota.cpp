// One client account sends many times its usual, while the machine that decides on its limit stands
// still for moments. See the claim.txt of the case.
#include "plainserver.h"

using namespace trial;

namespace {

constexpr int gatewayCount = 3;
constexpr int serverCount = 3;
constexpr std::int64_t windowMs = 8'000; // quota_window_s
constexpr double over = 0.1;             // quota_over
constexpr double slack = 11'000;         // quota_slack, tokens
constexpr double ratePerSecond = 60'000; // of the account, tokens
constexpr double burst = 60'000;         // of the account, tokens
constexpr double tokensOfRequest = 1'460 + 172;
constexpr std::int64_t settleMs = 13'000;  // from the first lease to the traffic
constexpr std::int64_t trafficMs = 11'000; // of the account
constexpr std::int64_t freezeMs = 300;     // for which the machine stands still
constexpr std::int64_t freezeEachMs = 1'000;
constexpr int freezes = 8;
constexpr int clientCount = 32;
constexpr std::int64_t pauseMs = 210; // of a client between two requests

std::string configuration()
{
    return R"({"version":3,
"routes":[{"name":"sum","host":"desk.example","path_prefix":"/sum/","kind":"idempotent",
"timeout_ms":8000,"target_latency_ms":600,"priority":2,"service":"desk","max_attempts":2}],
"services":[{"name":"desk","health_path":"/health","max_conns":540}],
"tenants":[{"name":"college","api_keys":["key-college"],"priority":1,"unit":"tokens",
"plain_tokens":200,"rate_per_s":60000,"burst":60000}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}})";
}

/// The name of the gateway that last wrote the lease to the store; empty: none yet.
std::string holderOf(Store &store)
{
    const std::lock_guard lock(store.m_mutex);
    const auto found = store.m_objects["apricot-leases"].find("orders");
    if (found == store.m_objects["apricot-leases"].end())
        return {};
    const std::string &spec = found->second.m_spec;
    const std::size_t at = spec.find("front-");
    return at == std::string::npos ? std::string() : spec.substr(at, 7);
}

struct Sent
{
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_at; // by id
    std::map<int, int> m_statuses;
};

void runClient(const std::vector<const Gateway *> &gateways, int number, Sent &sent,
               std::int64_t end)
{
    sleepMs(number * pauseMs / clientCount);
    for (std::size_t count = static_cast<std::size_t>(number); sinceStart() < end; ++count) {
        const Gateway &gateway = *gateways[count % gateways.size()];
        const std::string id = newId();
        const std::int64_t at = sinceStart();
        {
            const std::lock_guard lock(sent.m_mutex);
            sent.m_at[id] = at;
        }
        const std::string request
            = requestText("POST", "/sum/a",
                          "Host: desk.example\r\nApricotdyke-Request-Id: " + id
                              + "\r\nAuthorization: Bearer key-college\r\n"
                                "Apricotdyke-Token-Count: 1460,172\r\n"
                                "Apricotdyke-Deadline-Ms: 8000\r\n",
                          "a lecture");
        const Answer answer = ask(gateway.m_front, request, 8'000);
        {
            const std::lock_guard lock(sent.m_mutex);
            sent.m_statuses[answer.m_status] += 1;
        }
        note("request %s to %s, sent at %.3f: status %d", id.c_str(), gateway.m_name.c_str(),
             static_cast<double>(at) / 1000, answer.m_status);
        sleepMs(at + pauseMs - sinceStart());
    }
}

/// The most tokens of requests that were sent and arrived within one window.
double mostInWindow(const std::vector<Run> &runs, Sent &sent)
{
    std::vector<std::pair<std::int64_t, std::int64_t>> times; // sent, arrived
    for (const Run &run : runs) {
        if (!run.m_turnedAway && sent.m_at.contains(run.m_id))
            times.emplace_back(sent.m_at[run.m_id], run.m_at);
    }
    double most = 0;
    for (const auto &[from, ignored] : times) {
        double sum = 0;
        for (const auto &[sentAt, arrivedAt] : times)
            sum += sentAt >= from && arrivedAt <= from + windowMs ? tokensOfRequest : 0;
        most = std::max(most, sum);
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
    store.put("config", "main", configuration());
    Books books;
    std::vector<PlainServer> servers(serverCount);
    for (int number = 0; number < serverCount; ++number) {
        PlainServer &server = servers[static_cast<std::size_t>(number)];
        server.start("i-" + std::to_string(number + 1), network + std::to_string(31 + number),
                     "desk", books);
        store.put("servers", server.m_id, server.entry());
    }
    std::vector<Gateway> gateways(gatewayCount);
    for (int number = 0; number < gatewayCount; ++number) {
        Gateway &gateway = gateways[static_cast<std::size_t>(number)];
        gateway.prepare("front-" + std::to_string(number + 1),
                        network + std::to_string(11 + number));
        gateway.m_environment = {{"APRICOTGW_KEY_CHECK_WITHIN_MS", "5000"},
                                 {"APRICOTGW_ACCOUNT_LIMIT_SLACK", "11000"},
                                 {"APRICOTGW_MEMORY_MB", "260"},
                                 {"APRICOTGW_MAX_DESCRIPTORS", "4100"}};
        gateway.start(store.m_address);
    }
    for (const Gateway &gateway : gateways) {
        if (!waitUntil([&] { return isReady(gateway); }, 10'000))
            giveUp(gateways, gateway.m_name + " isn't ready before traffic starts");
    }
    if (!waitUntil([&] { return !holderOf(store).empty(); }, 12'000))
        giveUp(gateways, "no gateway takes the lease");
    sleepMs(settleMs);
    const std::string holder = holderOf(store);
    note("%s holds the lease", holder.c_str());
    const Gateway *frozen = nullptr;
    std::vector<const Gateway *> others;
    for (const Gateway &gateway : gateways) {
        if (gateway.m_name == holder)
            frozen = &gateway;
        else
            others.push_back(&gateway);
    }
    if (!frozen)
        giveUp(gateways, "the holder isn't known");
    Sent sent;
    const std::int64_t end = sinceStart() + trafficMs;
    std::vector<std::thread> clients;
    for (int number = 0; number < clientCount; ++number)
        clients.emplace_back(runClient, std::cref(others), number, std::ref(sent), end);
    for (int count = 0; count < freezes && hasTrouble(); ++count) {
        sleepMs(freezeEachMs - freezeMs);
        frozen->signal(SIGSTOP);
        note("%s stands still", frozen->m_name.c_str());
        sleepMs(freezeMs);
        frozen->signal(SIGCONT);
        note("%s goes on", frozen->m_name.c_str());
    }
    for (std::thread &client : clients)
        client.join();
    sleepMs(500);
    if (holderOf(store) != holder)
        note("the lease went to %s", holderOf(store).c_str());
    const double allowed = (ratePerSecond * windowMs / 1000 + burst) * (1 + over) + slack;
    const double most = mostInWindow(books.all(), sent);
    for (const auto &[status, count] : sent.m_statuses)
        note("%d answers with status %d", count, status);
    if (sent.m_statuses[200] == 0)
        giveUp(gateways, "no request was served");
    finish(gateways, most > allowed,
           "QUOTA: " + std::to_string(static_cast<long long>(most))
               + " tokens were sent and ran within 8 s, "
               + std::to_string(static_cast<long long>(allowed)) + " are allowed");
}
