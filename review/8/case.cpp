// Case 8: a machine is killed while a release of a newer software version begins. The streams that
// it began are refused at the other machines. See claim.txt; the day beside it shows the same.
#include "../common-2/servers.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int serversOfVersion = 3;
constexpr int streamCount = 24;       // at the machine that is killed
constexpr long settleMs = 11'000;     // no retries are sent in the first budget window
constexpr long killAfterMs = 1'500;   // from the begin of the streams
constexpr long newerAfterMs = 100;    // from the kill to the entries of the newer servers
constexpr long takeUpAfterMs = 1'000; // from the kill to the first take-up
constexpr long takeUpAgainMs = 1'000; // between two tries of one client
constexpr int tries = 2;
constexpr long deadlineMs = 12'000;

/// Counts of the streams of one kind.
struct Counts
{
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_begun = 0; // at least one event arrived
};

Request streamRequest(const std::string &id, const std::string &ownPart)
{
    Request request = clientRequest("POST", "/draft/x", id, deadlineMs);
    request.m_fields.emplace_back("Apricotdyke-Model", "m0");
    request.m_fields.emplace_back("Apricotdyke-Token-Count", "1460,80");
    request.m_fields.emplace_back("Apricotdyke-Prompt-Prefix", "5c1e07a2:800," + ownPart + ":250");
    request.m_body = "prompt";
    return request;
}

/// Id of the last whole event in the text; empty if there is none.
std::string lastEventId(const std::string &text)
{
    const std::size_t end = text.rfind("\n\n");
    const std::size_t at = end == std::string::npos ? end : text.rfind("id: ", end);
    return at == std::string::npos ? "" : text.substr(at + 4, text.find('\n', at) - at - 4);
}

} // namespace

int main()
{
    const int storePort = freePort();
    Store store(storePort);
    json::array routes = {route("/draft/", "stream", "llm", 2, deadlineMs, 800, true)};
    json::array models = {json::object{{"name", "m0"},
                                       {"weights_mb", 65'000},
                                       {"load_time_s", 6},
                                       {"adapters", 0},
                                       {"adapter_mb", 12}}};
    json::array services = {json::object{{"name", "llm"},
                                         {"engine",
                                          {{"slots", 64},
                                           {"weights_mb", 230'000},
                                           {"adapter_slots", 8},
                                           {"loads_per_s", 4.1},
                                           {"models", models}}}}};
    store.put("config", "main", configuration(3, routes, services));
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (int number = 0; number < 2 * serversOfVersion; ++number) {
        const bool newer = number >= serversOfVersion;
        servers.push_back(std::make_unique<ModelServer>(store, "llm", "i-" + std::to_string(number),
                                                        newer ? "2.0" : "1.0", 64, newer));
        if (!newer)
            servers.back()->start();
    }
    Machines machines(3, storePort);
    for (std::size_t at = 0; at < machines.size(); ++at)
        machines.start(machines.at(at));
    if (!machines.awaitReady(10'000))
        finish(2, "the machines did not become ready");
    sleepMs(settleMs);
    Machine &killed = machines.at(0);
    Counts fresh;
    Counts takenUp;
    std::atomic<int> open = 0;
    std::atomic<bool> brokenOff = false; // the clients' connections to the machine are gone
    for (int number = 0; number < streamCount; ++number) {
        open += 1;
        std::thread([&, number] {
            const std::string id = "s-" + std::to_string(number);
            const std::string ownPart = std::to_string(1'000 + number);
            std::string text;
            {
                const auto connection = connectTo(killed.m_front);
                const Request request = streamRequest(id, ownPart);
                if (connection && connection->send(headOf(request) + request.m_body)) {
                    // Without the kill the client loses its connection at the same time.
                    std::thread closer([&] {
                        while (!brokenOff)
                            sleepMs(5);
                        connection->shutdown();
                    });
                    text = connection->readResponse(deadlineMs).m_body;
                    closer.join();
                }
            }
            const std::string last = lastEventId(text);
            record("stream " + id + " broken off after event " + last);
            sleepMs(takeUpAfterMs);
            for (int attempt = 1; attempt <= tries && !last.empty(); ++attempt) {
                Request request = streamRequest(id + "-" + std::to_string(attempt), ownPart);
                request.m_fields.emplace_back("Resumes", id);
                request.m_fields.emplace_back("Last-Event-Id", last);
                const std::size_t machine = 1 + static_cast<std::size_t>(number + attempt) % 2;
                takenUp.m_sent += 1;
                const Response answer = call(machines.at(machine).m_front, request, deadlineMs);
                record("take-up of " + id + " at " + machines.at(machine).m_name + ": "
                       + std::to_string(answer.m_status));
                if (!lastEventId(answer.m_body).empty()) {
                    takenUp.m_begun += 1;
                    break;
                }
                sleepMs(takeUpAgainMs);
            }
            open -= 1;
        }).detach();
        sleepMs(10);
    }
    sleepMs(killAfterMs);
    if (trouble())
        machines.kill(killed);
    brokenOff = true;
    sleepMs(newerAfterMs);
    record("servers of version 2.0 start");
    for (const auto &server : servers) {
        if (server->entry().m_version == "2.0")
            server->start();
    }
    sleepMs(takeUpAfterMs - newerAfterMs);
    for (int number = 0; open > 0 || number < streamCount; ++number) {
        open += 1;
        std::thread([&, number] {
            const std::string id = "n-" + std::to_string(number);
            fresh.m_sent += 1;
            const Response answer
                = call(machines.at(1 + static_cast<std::size_t>(number) % 2).m_front,
                       streamRequest(id, std::to_string(5'000 + number)), deadlineMs);
            record("new stream " + id + ": " + std::to_string(answer.m_status));
            fresh.m_begun += lastEventId(answer.m_body).empty() ? 0 : 1;
            open -= 1;
        }).detach();
        sleepMs(100);
        if (number >= streamCount) { // only the last ones are awaited now
            while (open > 0)
                sleepMs(20);
        }
    }
    const std::string figures = "of " + std::to_string(takenUp.m_sent)
        + " streams that were taken up " + std::to_string(takenUp.m_begun) + " went on; of "
        + std::to_string(fresh.m_sent) + " new ones " + std::to_string(fresh.m_begun)
        + " began; three servers of their version served";
    if (takenUp.m_sent < 12 || fresh.m_begun == 0)
        finish(2, figures);
    const double share = static_cast<double>(takenUp.m_begun) / takenUp.m_sent;
    const double shareOfNew = static_cast<double>(fresh.m_begun) / fresh.m_sent;
    finish(share < shareOfNew / 2 ? 1 : 0, figures);
}
