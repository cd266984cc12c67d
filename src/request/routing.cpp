// Routing and admission for apricotd: the choice of a replica or plain server for a request, and
// the refusal of requests that fit neither their deadline nor the queue.
#include "apricot.h"

#include <algorithm>

namespace apricot {

namespace {

// How much a property of a replica lowers its cost, in running requests.
constexpr int adapterBonus = 4;    // the adapter is loaded
constexpr int prefixBonus = 2;     // the prompt prefix may be cached
constexpr int dataCentreBonus = 1; // in this host's data centre

/// The load of a replica as compared by chooseReplica(); the lowest cost wins.
int costOf(const ReplicaView &view)
{
    int cost = view.m_reportedRunning + view.m_sentSinceUpdate;
    if (view.m_adapterLoaded)
        cost -= adapterBonus;
    if (view.m_prefixHint)
        cost -= prefixBonus;
    if (view.m_sameDataCentre)
        cost -= dataCentreBonus;
    return cost;
}

} // namespace

RouteChoice chooseReplica(const std::vector<ReplicaView> &views)
{
    RouteChoice choice;
    int best = 0;
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (views[i].m_leaving)
            continue;
        const int cost = costOf(views[i]);
        if (!choice.m_scores.empty())
            choice.m_scores += ",";
        choice.m_scores += views[i].m_server.m_text + ":" + std::to_string(cost);
        if (choice.m_index < 0 || cost < best) {
            choice.m_index = static_cast<int>(i);
            best = cost;
        }
    }
    return choice;
}

std::vector<ServerSpec> plainServerOrder(const Configuration &configuration,
                                         const ServiceName &service, const DataCentre &local,
                                         std::string_view key)
{
    std::vector<ServerSpec> servers;
    for (const ServerSpec &server : configuration.m_servers) {
        if (server.m_service == service)
            servers.push_back(server);
    }
    std::sort(servers.begin(), servers.end(), [&](const ServerSpec &a, const ServerSpec &b) {
        const std::uint64_t scoreA = stableHash(std::string(key) + "@" + a.m_name.m_text);
        const std::uint64_t scoreB = stableHash(std::string(key) + "@" + b.m_name.m_text);
        return scoreA > scoreB;
    });
    std::stable_partition(servers.begin(), servers.end(),
                          [&](const ServerSpec &server) { return server.m_dataCentre == local; });
    return servers;
}

std::optional<Failure> admit(const AdmissionInput &input, Millis time)
{
    if (input.m_deadline <= time)
        return makeFailure(ErrorKind::DeadlineUnmeetable, "the deadline has passed already");
    if (input.m_expectedReady > input.m_deadline) {
        const Millis retryAfter = input.m_expectedReady - time;
        return makeFailure(ErrorKind::DeadlineUnmeetable,
                           "ready in " + std::to_string(retryAfter.m_count) + " ms", retryAfter);
    }
    if (input.m_queued >= input.m_queueLimit) {
        const Millis retryAfter = std::max(Millis{1'000}, input.m_expectedReady - time);
        return makeFailure(ErrorKind::QueueFull, std::to_string(input.m_queued) + " requests wait",
                           retryAfter);
    }
    return {};
}

} // namespace apricot
