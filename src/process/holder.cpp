// Planning of the lease holder: collects the demand of all hosts and the state of the model
// servers, makes placement plans, and starts their orders.
#include "process/log.h"
#include "process/ordertracking.h"

namespace apricot {

namespace {

constexpr Millis planPeriod = {400};        // ms between plans if nothing has changed
constexpr Millis storeRateWindow = {5'000}; // ms over which weight store loads are counted
constexpr double storeRateShare = 0.8;      // share of the weight store's rate limit that is used
constexpr int maxConcurrentStoreLoads = 4;

void mergeDemand(std::map<ModelDemandKey, ModelDemand> &all, const ModelDemandKey &key,
                 const ModelDemand &demand)
{
    ModelDemand &sum = all[key];
    sum.m_model = key.m_model;
    sum.m_adapter = key.m_adapter;
    mergeDemand(sum, demand);
}

/// Returns the demand of all hosts. The demand for an adapter also counts as demand for its model.
std::map<ModelDemandKey, ModelDemand> totalDemands(const Gateway &gateway)
{
    std::map<ModelDemandKey, ModelDemand> all;
    const Millis time = now(gateway);
    for (const auto &[key, demand] : gateway.m_modelDemands)
        mergeDemand(all, key, demandOf(key, demand, time));
    for (const auto &[host, peer] : gateway.m_peers) {
        if (time - peer.m_demandReceivedAt >= maxDemandAge)
            continue;
        for (const auto &[key, demand] : peer.m_modelDemands)
            mergeDemand(all, key, demand);
    }
    // A request for an adapter needs the adapter's model too.
    std::map<ModelDemandKey, ModelDemand> models;
    for (const auto &[key, demand] : all) {
        if (!key.m_adapter.m_text.empty())
            mergeDemand(models, {key.m_service, key.m_model, {}}, demand);
    }
    for (const auto &[key, demand] : models)
        mergeDemand(all, key, demand);
    return all;
}

/// Running requests by server and model.
using RunningRequests = std::map<InstanceId, std::map<ModelName, int>>;

/// Returns the running requests of all hosts.
RunningRequests totalRunning(const Gateway &gateway)
{
    RunningRequests running;
    for (const auto &[id, known] : gateway.m_serverTable.m_servers)
        running[id] = known.m_running;
    const Millis time = now(gateway);
    for (const auto &[host, peer] : gateway.m_peers) {
        if (time - peer.m_demandReceivedAt >= maxDemandAge)
            continue;
        for (const auto &[use, count] : peer.m_uses)
            running[use.first][use.second] += count;
    }
    return running;
}

/// Collects the state that the placement of one service is decided on.
PlacementInput makePlacementInput(Gateway &gateway, const RoutedService &service,
                                  const std::map<ModelDemandKey, ModelDemand> &demands,
                                  const RunningRequests &running)
{
    PlacementInput input;
    input.m_limits = &*service.m_engine;
    HolderState &state = gateway.m_placement;
    const Millis time = now(gateway);
    while (!state.m_recentStoreLoads.empty()
           && time - state.m_recentStoreLoads.front() > storeRateWindow)
        state.m_recentStoreLoads.pop_front();
    const double allowed = storeRateShare * input.m_limits->m_loadsPerSecond
        * static_cast<double>(storeRateWindow.m_count) / 1000;
    input.m_storeLoadAllowed = state.m_storeLoadsRunning < maxConcurrentStoreLoads
        && static_cast<double>(state.m_recentStoreLoads.size()) + 1 <= allowed;
    for (const auto &[id, known] : gateway.m_serverTable.m_servers) {
        if (known.m_server.m_service != service.m_name)
            continue;
        const TrackedServer &server = state.m_servers[id];
        PlanServer plan;
        plan.m_id = id;
        plan.m_serverStatus = server.m_serverStatus;
        plan.m_usable = !server.m_taskRunning && !isLeaving(known) && !known.m_missing
            && time >= known.m_avoidUntil;
        plan.m_sequenceKnown = server.m_sequenceKnown;
        plan.m_pendingModel = server.m_pendingModel;
        plan.m_software = softwareIdOf(known.m_server);
        for (const auto &[model, loadedAt] : server.m_loadedAt)
            plan.m_recentlyLoaded.insert(model);
        plan.m_running = running.at(id);
        for (const std::string &adapterKey : server.m_loadingAdapters)
            input.m_loadingAdapterKeys.insert(id.m_text + " " + adapterKey);
        input.m_servers.push_back(std::move(plan));
    }
    for (const auto &[key, demand] : demands) {
        if (key.m_service == service.m_name)
            input.m_demands.push_back(demand);
    }
    return input;
}

/// Makes one plan for each service and starts its orders.
void planOnce(Gateway &gateway)
{
    const auto demands = totalDemands(gateway);
    const RunningRequests running = totalRunning(gateway);
    const auto routes = gateway.m_routes;
    for (const auto &[name, service] : routes->m_services) {
        if (!service.m_engine)
            continue;
        updateTrackedServers(gateway, name);
        const PlacementInput input = makePlacementInput(gateway, service, demands, running);
        for (const EngineCommand &command : planPlacement(input)) {
            const KnownServer *known = knownServer(gateway.m_serverTable, command.m_server);
            TrackedServer *server = findTracked(gateway, command.m_server);
            if (!known || !server)
                continue;
            server->m_taskRunning = true;
            if (command.m_adapter.m_text.empty())
                server->m_pendingModel
                    = command.m_kind == CommandKind::Load ? command.m_model : command.m_makeRoomFor;
            auto work = command.m_loadsFromStore
                ? executeStoreLoad(gateway, command, known->m_server)
                : executeOrder(gateway, command, known->m_server);
            begin(gateway, "order", std::move(work));
        }
    }
}

} // namespace

asio::awaitable<void> runPlacement(Gateway &gateway)
{
    Millis planTook;
    while (true) {
        co_await sleepUntilWoken(*gateway.m_planTrigger, planPeriod);
        co_await pauseFor(gateway, pauseBeforePlan(planTook));
        planTook = {0};
        if (!holdsLease(gateway) || !gateway.m_routes)
            continue;
        const Millis began = now(gateway);
        planOnce(gateway);
        planTook = now(gateway) - began;
        recordPlanTime(gateway, planTook);
    }
}

} // namespace apricot
