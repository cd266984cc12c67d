// Case 9: the store cuts waiting watches off. A machine takes each for an outage of the store, and
// goes on sending requests to a server whose entry was removed. See claim.txt.
#include "../common-2/servers.h"

using namespace review;

namespace {

constexpr long watchLifeMs = 3'000;
constexpr long warmUpMs = 4'000;
constexpr long deadlineMs = 1'500;
constexpr long quietMs = 2'300; // without requests, from the removal of an entry
constexpr long pauseMs = 2'500; // from a batch of requests to the next removal
constexpr int rounds = 8;       // in each of them one server leaves
constexpr int serverCount = 12;
constexpr int requestsOfBatch = 12; // at each machine

} // namespace

int main()
{
    const int storePort = freePort();
    Store store(storePort);
    json::array routes = {route("/look/", "idempotent", "desk", 2, 1'500, 300)};
    store.put("config", "main", configuration(3, routes, {json::object{{"name", "desk"}}}));
    std::vector<std::unique_ptr<PlainServer>> servers;
    for (int number = 0; number < serverCount; ++number) {
        servers.push_back(std::make_unique<PlainServer>(store, "desk",
                                                        "i-" + std::to_string(number), 4, 16, 150));
        servers.back()->start();
    }
    Machines machines(3, storePort);
    if (trouble())
        store.cutWatchesAfter(watchLifeMs);
    for (std::size_t at = 0; at < machines.size(); ++at)
        machines.start(machines.at(at));
    if (!machines.awaitReady(10'000))
        finish(2, "the machines did not become ready");
    std::atomic<int> served = 0;
    std::atomic<int> open = 0;
    int number = 0;
    const auto send = [&](std::size_t machine) {
        const std::string id = "c-" + std::to_string(number++);
        open += 1;
        std::thread([&, id, machine] {
            const long sentAt = nowMs();
            const Response answer = call(machines.at(machine).m_front,
                                         clientRequest("GET", "/look/x", id, deadlineMs), 2'000);
            served += answer.m_status == 200 ? 1 : 0;
            record("request " + id + " sent at " + std::to_string(sentAt) + " to "
                   + machines.at(machine).m_name + ": " + std::to_string(answer.m_status) + " "
                   + fieldOf(answer.m_fields, "Apricotdyke-Server-Stamp"));
            open -= 1;
        }).detach();
    };
    for (long end = nowMs() + warmUpMs; nowMs() < end; sleepMs(40))
        send(static_cast<std::size_t>(number) % machines.size());
    while (open > 0)
        sleepMs(20);
    int late = 0;
    for (int round = 0; round < rounds; ++round) {
        sleepMs(pauseMs);
        PlainServer &leaving = *servers[static_cast<std::size_t>(round)];
        leaving.leave(true);
        const long gone = nowMs();
        record("the store has removed the entry of " + leaving.id() + ", which serves on");
        sleepMs(quietMs);
        for (std::size_t machine = 0; machine < machines.size(); ++machine) {
            for (int at = 0; at < requestsOfBatch; ++at)
                send(machine);
        }
        while (open > 0)
            sleepMs(20);
        for (const Arrival &arrival : leaving.arrivals()) {
            if (arrival.m_at <= gone + drainMs)
                continue;
            late += 1;
            record("request " + arrival.m_id + " reached " + leaving.id() + " "
                   + std::to_string(arrival.m_at - gone) + " ms after its entry was removed");
        }
    }
    const std::string figures = std::to_string(late) + " requests reached servers later than "
        + std::to_string(drainMs) + " ms after their entries were removed; "
        + std::to_string(served) + " of " + std::to_string(number) + " served";
    if (served == 0)
        finish(2, figures);
    finish(late > 0 ? 1 : 0, figures);
}
