// An API key is withdrawn, then the platform's store comes back from a copy that is some seconds
// old, and a machine is added before the operator has written again. See the claim.txt of the case.
#include "plainserver.h"

using namespace trial;

namespace {

constexpr int gatewayCount = 3;
constexpr int serverCount = 3;
constexpr std::int64_t revokeMs = 5'000;         // revoke_ms
constexpr std::int64_t copyBeforeMs = 300;       // from the copy to the withdrawal
constexpr std::int64_t awayAfterMs = 3'000;      // from the withdrawal until the store is away
constexpr std::int64_t awayForMs = 1'000;        // the store is away for a moment
constexpr std::int64_t rewrittenAfterMs = 2'000; // from its return until the operator has written
constexpr std::int64_t judgedForMs = 3'000;      // beyond revoke_ms

/// The configuration; its later version lacks the key of the client that left.
std::string configuration(int version)
{
    const std::string keys = version < 20 ? R"(["key-kept","key-withdrawn"])" : R"(["key-kept"])";
    return R"({"version":)" + std::to_string(version) + R"(,
"routes":[{"name":"look","host":"desk.example","path_prefix":"/look/","kind":"idempotent",
"timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2}],
"services":[{"name":"desk","health_path":"/health","max_conns":490}],
"tenants":[{"name":"college","api_keys":)"
        + keys + R"(,"priority":1}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}})";
}

struct Asked
{
    std::string m_id;
    std::string m_gateway;
    std::int64_t m_at = 0; // ms
    int m_status = 0;
};

Asked askWith(const std::string &key, const Gateway &gateway)
{
    Asked asked;
    asked.m_id = newId();
    asked.m_gateway = gateway.m_name;
    asked.m_at = sinceStart();
    const std::string request = requestText("GET", "/look/a",
                                            "Host: desk.example\r\nApricotdyke-Request-Id: "
                                                + asked.m_id + "\r\nAuthorization: Bearer " + key
                                                + "\r\nApricotdyke-Deadline-Ms: 2500\r\n",
                                            "");
    asked.m_status = ask(gateway.m_front, request, 2'500).m_status;
    note("request %s with %s to %s, sent at %.3f: status %d", asked.m_id.c_str(), key.c_str(),
         gateway.m_name.c_str(), static_cast<double>(asked.m_at) / 1000, asked.m_status);
    return asked;
}

void startGateway(Gateway &gateway, int number, const std::string &network, const Store &store)
{
    gateway.prepare("front-" + std::to_string(number), network + std::to_string(10 + number));
    gateway.m_environment = {{"APRICOTGW_KEY_CHECK_WITHIN_MS", std::to_string(revokeMs)},
                             {"APRICOTGW_ACCOUNT_LIMIT_SLACK", "11000"},
                             {"APRICOTGW_MEMORY_MB", "260"},
                             {"APRICOTGW_MAX_DESCRIPTORS", "4100"}};
    gateway.start(store.m_address);
}

} // namespace

int main()
{
    begin();
    const std::string network = networkOfRun();
    Store store;
    store.start(network + "1");
    store.put("config", "main", configuration(11));
    Books books;
    std::vector<PlainServer> servers(serverCount);
    for (int number = 0; number < serverCount; ++number) {
        PlainServer &server = servers[static_cast<std::size_t>(number)];
        server.start("i-" + std::to_string(number + 1), network + std::to_string(31 + number),
                     "desk", books);
        store.put("servers", server.m_id, server.entry());
    }
    std::vector<Gateway> gateways(gatewayCount + 1);
    for (int number = 0; number < gatewayCount; ++number)
        startGateway(gateways[static_cast<std::size_t>(number)], number + 1, network, store);
    for (int number = 0; number < gatewayCount; ++number) {
        const Gateway &gateway = gateways[static_cast<std::size_t>(number)];
        if (!waitUntil([&] { return isReady(gateway); }, 10'000))
            giveUp(gateways, gateway.m_name + " isn't ready before traffic starts");
    }
    sleepMs(2'000);
    for (int number = 0; number < gatewayCount; ++number) {
        if (askWith("key-withdrawn", gateways[static_cast<std::size_t>(number)]).m_status != 200)
            giveUp(gateways, "the key isn't accepted before it is withdrawn");
    }
    store.takeCopy();
    note("a copy of the store is taken");
    sleepMs(copyBeforeMs);
    store.put("config", "main", configuration(20));
    const std::int64_t withdrawnAt = sinceStart();
    note("the store acknowledges version 20, which takes key-withdrawn away");
    sleepMs(awayAfterMs);
    for (int number = 0; number < gatewayCount; ++number)
        askWith("key-withdrawn", gateways[static_cast<std::size_t>(number)]);
    if (hasTrouble()) {
        note("the store is away");
        store.goAway();
        sleepMs(withdrawnAt + awayAfterMs + awayForMs - sinceStart());
        store.returnFromCopy();
        note("the store is back from the copy, in a new era");
    } else {
        sleepMs(withdrawnAt + awayAfterMs + awayForMs - sinceStart());
    }
    const std::int64_t backAt = sinceStart();
    Gateway &added = gateways.back();
    startGateway(added, gatewayCount + 1, network, store);
    note("a machine is added: %s", added.m_name.c_str());
    std::thread operatorThread([&store, backAt] {
        sleepMs(backAt + rewrittenAfterMs - sinceStart());
        store.put("config", "main", configuration(20));
        note("the operator has written version 20 again");
    });
    std::vector<Asked> asked;
    bool ready = false;
    while (sinceStart() < withdrawnAt + revokeMs + judgedForMs) {
        ready = ready || isReady(added);
        asked.push_back(askWith("key-withdrawn", added));
        askWith("key-kept", gateways[asked.size() % gatewayCount]);
        sleepMs(40);
    }
    operatorThread.join();
    if (!ready)
        giveUp(gateways, "the added machine was never ready");
    int late = 0;
    for (const Run &run : books.all()) {
        for (const Asked &request : asked) {
            const bool brokenBy = request.m_id == run.m_id && !run.m_turnedAway
                && request.m_at > withdrawnAt + revokeMs;
            if (!brokenBy)
                continue;
            late += 1;
            note("request %s was sent %.3f s after the withdrawal and ran at %s for %s",
                 run.m_id.c_str(), static_cast<double>(request.m_at - withdrawnAt) / 1000,
                 run.m_server.c_str(), run.m_tenant.c_str());
        }
    }
    finish(gateways, late > 0,
           "CONFIG: " + std::to_string(late)
               + " requests with the withdrawn key, sent later than revoke_ms after the "
                 "acknowledgement, ran");
}
