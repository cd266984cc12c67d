// Placement: decides which orders the model servers get next. First come loads for which an earlier
// unload has made room, then adapters (which load in milliseconds) and models that requests wait
// for, the most urgent first, then further replicas of busy models.
//
// The plan is computed from the known state each time, without memory of earlier plans. An unload
// that makes room names the model it is for, so that the next plan doesn't make room for that model
// a second time.
#include "gateway.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace apricot {

namespace {

/// Share of the slots of all replicas in use above which a model gets a further replica.
constexpr double slotUseThreshold = 0.4;

/// Requests per second on one replica above which the model gets a further replica: at a higher
/// rate the processing of prompts delays the tokens of running streams.
constexpr double replicaRequestRate = 5;

// Costs are in ms of waiting, so that load times and the effects of an unload can be compared.
constexpr double maxExtraReplicaCost = 3'000; // ms; limit for a further replica of a loaded model
constexpr double runningModelCost = 3'000;    // ms; an unload waits until the model's requests end
constexpr double lastReplicaCost = 400;       // ms; a request may soon need the only replica again
constexpr double requestRateCost = 4'000;     // ms for each request per second to the evicted model
constexpr Millis minSwapTime = {1'200};       // shortest time for an unload and a load from disk
constexpr double unloadCost = 350;            // ms, duration of an unload
constexpr double infiniteCost = std::numeric_limits<double>::infinity(); // the step can't start now

/// A plan in progress.
struct Planner
{
    const PlacementInput *m_input = nullptr;
    std::set<InstanceId> m_orderedServers; // servers that already have an order in this plan
    std::vector<EngineCommand> m_commands;
    bool m_storeLoadAllowed = false; // one more load from the weight store is within the rate limit
};

const EngineModel *modelOf(const Planner &planner, const ModelName &name)
{
    const auto found = planner.m_input->m_limits->m_models.find(name);
    return found == planner.m_input->m_limits->m_models.end() ? nullptr : &found->second;
}

const ModelDemand *demandFor(const Planner &planner, const ModelName &model)
{
    for (const ModelDemand &demand : planner.m_input->m_demands) {
        if (demand.m_model == model && demand.m_adapter.m_text.empty())
            return &demand;
    }
    return nullptr;
}

/// Whether the server can get an order in this plan.
bool isFree(const Planner &planner, const PlanServer &server)
{
    return server.m_usable && server.m_sequenceKnown && !server.m_serverStatus.m_busy
        && !planner.m_orderedServers.contains(server.m_id);
}

int runningOf(const PlanServer &server, const ModelName &model)
{
    const auto found = server.m_running.find(model);
    return found == server.m_running.end() ? 0 : found->second;
}

/// Number of servers that have the model loaded, are loading it, or are making room for it.
int replicasOf(const Planner &planner, const ModelName &model)
{
    int replicas = 0;
    for (const PlanServer &server : planner.m_input->m_servers) {
        if (holdsModel(server.m_serverStatus, model, {}) || server.m_pendingModel == model)
            ++replicas;
    }
    return replicas;
}

/// Number of adapters that are loaded or being loaded on a server.
int adaptersOn(const ServerStatus &status)
{
    std::size_t count = 0;
    for (const LoadedModel &loaded : status.m_models)
        count += loaded.m_adapters.size();
    return static_cast<int>(count) + status.m_loadingAdapterCount;
}

void addOrder(Planner &planner, EngineCommand order, const PlanServer &server)
{
    order.m_server = server.m_id;
    order.m_sequence = server.m_serverStatus.m_sequence;
    planner.m_orderedServers.insert(server.m_id);
    planner.m_commands.push_back(std::move(order));
}

/// Cost of a load of the model on that server, in ms; infiniteCost if the load can't start now.
double loadCost(const Planner &planner, const PlanServer &server, const EngineModel &model)
{
    if (!planner.m_storeLoadAllowed && !hasLocalCopy(server.m_serverStatus, model.m_name))
        return infiniteCost;
    return static_cast<double>(loadTime(model, server.m_serverStatus).m_count);
}

/// Orders a load. A load from the weight store uses up the one that the rate limit allows.
void loadModel(Planner &planner, const PlanServer &server, const ModelName &model,
               const char *reason)
{
    EngineCommand order;
    order.m_model = model;
    order.m_loadsFromStore = !hasLocalCopy(server.m_serverStatus, model);
    order.m_reason = reason;
    if (order.m_loadsFromStore)
        planner.m_storeLoadAllowed = false;
    addOrder(planner, order, server);
}

bool fits(const Planner &planner, const PlanServer &server, const EngineModel &model)
{
    return fitsModel(*planner.m_input->m_limits, server.m_serverStatus, model.m_name);
}

/// Cost, in ms of waiting, of evicting a model from a server.
double evictionCost(const Planner &planner, const PlanServer &server, const ModelName &model)
{
    const ModelDemand *demand = demandFor(planner, model);
    const int replicas = std::max(replicasOf(planner, model), 1);
    double cost = unloadCost;
    if (runningOf(server, model) > 0)
        cost += runningModelCost;
    if (replicas == 1)
        cost += lastReplicaCost;
    if (demand)
        cost += requestRateCost * demand->m_rate / replicas;
    if (demand && demand->m_waiting > 0 && replicas == 1)
        return infiniteCost;
    return cost;
}

/// Model to evict from a server.
struct Victim
{
    ModelName m_model; // empty: no model can be evicted
    double m_cost = infiniteCost;
};

/// Returns the model whose eviction costs least. Recently loaded models are exempt, since the
/// requests that wait for them may not have arrived at the server yet.
Victim cheapestVictim(const Planner &planner, const PlanServer &server, const ModelName &incoming)
{
    Victim victim;
    for (const LoadedModel &loaded : server.m_serverStatus.m_models) {
        if (loaded.m_name == incoming || server.m_recentlyLoaded.contains(loaded.m_name))
            continue;
        const double cost = evictionCost(planner, server, loaded.m_name);
        if (cost < victim.m_cost)
            victim = {loaded.m_name, cost};
    }
    return victim;
}

/// A possible placement of a further replica of a model.
struct ReplicaOption
{
    const PlanServer *m_server = nullptr;
    ModelName m_victim; // model to evict first; empty: the memory is sufficient
    double m_cost = infiniteCost;
};

ReplicaOption cheapestOption(const Planner &planner, const EngineModel &model)
{
    ReplicaOption best;
    for (const PlanServer &server : planner.m_input->m_servers) {
        if (!isFree(planner, server) || !server.m_pendingModel.m_text.empty())
            continue;
        if (holdsModel(server.m_serverStatus, model.m_name, {}))
            continue;
        double cost = loadCost(planner, server, model);
        ModelName victimModel;
        if (!fits(planner, server, model)) {
            const Victim victim = cheapestVictim(planner, server, model.m_name);
            cost += victim.m_cost;
            victimModel = victim.m_model;
        }
        if (cost < best.m_cost)
            best = {&server, victimModel, cost};
    }
    return best;
}

/// Orders the first step of the cheapest placement of a further replica, if any costs at most
/// `maxCost`: the load, or the unload that makes room for it.
void addReplica(Planner &planner, const EngineModel &model, const char *reason, double maxCost)
{
    const ReplicaOption option = cheapestOption(planner, model);
    if (!option.m_server || option.m_cost > maxCost)
        return;
    if (option.m_victim.m_text.empty()) {
        loadModel(planner, *option.m_server, model.m_name, reason);
        return;
    }
    EngineCommand order;
    order.m_kind = CommandKind::Unload;
    order.m_model = option.m_victim;
    order.m_makeRoomFor = model.m_name;
    order.m_reason = reason;
    addOrder(planner, order, *option.m_server);
}

/// Whether a server is already loading the model or making room for it.
bool isLoadPending(const Planner &planner, const ModelName &model)
{
    return std::any_of(planner.m_input->m_servers.begin(), planner.m_input->m_servers.end(),
                       [&](const PlanServer &server) { return server.m_pendingModel == model; });
}

/// Continues swaps: where an unload has made room for a model, orders the load of that model.
void finishSwaps(Planner &planner)
{
    for (const PlanServer &server : planner.m_input->m_servers) {
        if (server.m_pendingModel.m_text.empty() || !isFree(planner, server))
            continue;
        const EngineModel *model = modelOf(planner, server.m_pendingModel);
        if (!model || holdsModel(server.m_serverStatus, model->m_name, {}))
            continue;
        const bool mayLoad
            = planner.m_storeLoadAllowed || hasLocalCopy(server.m_serverStatus, model->m_name);
        if (fits(planner, server, *model) && mayLoad)
            loadModel(planner, server, model->m_name, "room_made");
    }
}

/// Number of replicas that the request rate and the running requests of a model call for.
int replicasNeeded(const Planner &planner, const ModelDemand &demand)
{
    const double slots = std::max(planner.m_input->m_limits->m_slots, 1);
    const double byRate = demand.m_rate / replicaRequestRate;
    const double byRunning = demand.m_running / (slotUseThreshold * slots);
    return static_cast<int>(std::ceil(std::max(byRate, byRunning)));
}

/// Returns an adapter of a loaded model that no request waits for or uses; empty if there is none.
AdapterName unusedAdapter(const Planner &planner, const LoadedModel &loaded)
{
    for (const AdapterName &adapter : loaded.m_adapters) {
        const auto &demands = planner.m_input->m_demands;
        const bool inUse = std::any_of(demands.begin(), demands.end(), [&](const auto &demand) {
            return demand.m_model == loaded.m_name && demand.m_adapter == adapter
                && (demand.m_waiting > 0 || demand.m_running > 0);
        });
        if (!inUse)
            return adapter;
    }
    return {};
}

/// Orders the unload of one unused adapter, to make room for another. Returns false if every
/// adapter on the server is in use.
bool unloadUnusedAdapter(Planner &planner, const PlanServer &server)
{
    for (const LoadedModel &loaded : server.m_serverStatus.m_models) {
        const AdapterName adapter = unusedAdapter(planner, loaded);
        if (adapter.m_text.empty())
            continue;
        EngineCommand order;
        order.m_kind = CommandKind::Unload;
        order.m_model = loaded.m_name;
        order.m_adapter = adapter;
        order.m_reason = "room_for_adapter";
        addOrder(planner, order, server);
        return true;
    }
    return false;
}

/// Orders the load of an adapter on a server that has its model, or an unload that makes room for
/// it.
void loadAdapter(Planner &planner, const ModelDemand &demand)
{
    constexpr int maxLoadingAdapters = 4; // adapters that one server loads at the same time
    const EngineLimits &limits = *planner.m_input->m_limits;
    const EngineModel *model = modelOf(planner, demand.m_model);
    const PlanServer *best = nullptr;
    for (const PlanServer &server : planner.m_input->m_servers) {
        if (!holdsModel(server.m_serverStatus, demand.m_model, {}))
            continue;
        const std::string key
            = server.m_id.m_text + " " + demand.m_model.m_text + "/" + demand.m_adapter.m_text;
        if (planner.m_input->m_loadingAdapterKeys.contains(key))
            return; // already being loaded
        if (!isFree(planner, server)
            || server.m_serverStatus.m_loadingAdapterCount >= maxLoadingAdapters)
            continue;
        if (!best || adaptersOn(server.m_serverStatus) < adaptersOn(best->m_serverStatus))
            best = &server;
    }
    if (!best || !model)
        return;
    const bool room = adaptersOn(best->m_serverStatus) < limits.m_adapterSlots
        && memoryUsed(limits, best->m_serverStatus) + model->m_adapterMb <= limits.m_weightsMb;
    if (!room) {
        unloadUnusedAdapter(planner, *best);
        return;
    }
    EngineCommand order;
    order.m_model = demand.m_model;
    order.m_adapter = demand.m_adapter;
    order.m_reason = "adapter_wanted";
    addOrder(planner, order, *best);
}

/// Whether a usable server has the model and, if `adapter` isn't empty, that adapter loaded.
bool isLoadedAnywhere(const Planner &planner, const ModelName &model, const AdapterName &adapter)
{
    return std::any_of(planner.m_input->m_servers.begin(), planner.m_input->m_servers.end(),
                       [&](const PlanServer &server) {
                           return server.m_usable
                               && holdsModel(server.m_serverStatus, model, adapter);
                       });
}

/// Orders demands by urgency. Demands that can still meet their target latency come before those
/// that can't, and among them the one with the least slack comes first. In an overload the oldest
/// requests have already missed their target, and to serve them first would make all others miss it
/// too.
bool moreUrgent(const ModelDemand *a, const ModelDemand *b)
{
    const bool feasibleA = a->m_feasible > 0;
    const bool feasibleB = b->m_feasible > 0;
    if (feasibleA != feasibleB)
        return feasibleA;
    return feasibleA ? a->m_slack < b->m_slack : a->m_longestWait > b->m_longestWait;
}

} // namespace

void addWaitingRequest(ModelDemand &demand, Millis waited, Millis target)
{
    demand.m_waiting += 1;
    demand.m_longestWait = std::max(demand.m_longestWait, waited);
    const Millis slack = target - waited;
    if (slack < minSwapTime)
        return;
    demand.m_slack = demand.m_feasible > 0 ? std::min(demand.m_slack, slack) : slack;
    demand.m_feasible += 1;
}

void mergeDemand(ModelDemand &sum, const ModelDemand &demand)
{
    if (demand.m_feasible > 0)
        sum.m_slack = sum.m_feasible > 0 ? std::min(sum.m_slack, demand.m_slack) : demand.m_slack;
    sum.m_feasible += demand.m_feasible;
    sum.m_waiting += demand.m_waiting;
    sum.m_longestWait = std::max(sum.m_longestWait, demand.m_longestWait);
    sum.m_rate += demand.m_rate;
    sum.m_running += demand.m_running;
}

bool hasLocalCopy(const ServerStatus &status, const ModelName &model)
{
    return status.m_inMemory.contains(model) || status.m_onDisk.contains(model);
}

Millis loadTime(const EngineModel &model, const ServerStatus &status)
{
    if (status.m_inMemory.contains(model.m_name))
        return model.m_memoryLoadTime;
    return status.m_onDisk.contains(model.m_name) ? model.m_diskLoadTime : model.m_storeLoadTime;
}

double memoryUsed(const EngineLimits &limits, const ServerStatus &status)
{
    double used = 0;
    double largestAdapter = 0;
    for (const auto &[name, model] : limits.m_models)
        largestAdapter = std::max(largestAdapter, model.m_adapterMb);
    for (const LoadedModel &loaded : status.m_models) {
        const auto model = limits.m_models.find(loaded.m_name);
        if (model == limits.m_models.end())
            return limits.m_weightsMb; // its size is unknown: treat the memory as full
        used += model->second.m_weightsMb
            + model->second.m_adapterMb * static_cast<double>(loaded.m_adapters.size());
    }
    return used + largestAdapter * status.m_loadingAdapterCount;
}

bool fitsModel(const EngineLimits &limits, const ServerStatus &status, const ModelName &model)
{
    const auto found = limits.m_models.find(model);
    return found != limits.m_models.end()
        && memoryUsed(limits, status) + found->second.m_weightsMb <= limits.m_weightsMb;
}

std::vector<EngineCommand> planPlacement(const PlacementInput &input)
{
    Planner planner;
    planner.m_input = &input;
    planner.m_storeLoadAllowed = input.m_storeLoadAllowed;
    finishSwaps(planner);
    std::vector<const ModelDemand *> waiting;
    for (const ModelDemand &demand : input.m_demands) {
        if (demand.m_waiting > 0)
            waiting.push_back(&demand);
    }
    std::stable_sort(waiting.begin(), waiting.end(), moreUrgent);
    for (const ModelDemand *demand : waiting) {
        const EngineModel *model = modelOf(planner, demand->m_model);
        if (!model)
            continue;
        const bool adapterOnly
            = !demand->m_adapter.m_text.empty() && isLoadedAnywhere(planner, demand->m_model, {});
        if (adapterOnly) {
            if (!isLoadedAnywhere(planner, demand->m_model, demand->m_adapter))
                loadAdapter(planner, *demand);
        } else if (!isLoadedAnywhere(planner, demand->m_model, {})
                   && !isLoadPending(planner, model->m_name)) {
            addReplica(planner, *model, "callers_wait", infiniteCost);
        }
    }
    for (const ModelDemand &demand : input.m_demands) {
        const EngineModel *model = modelOf(planner, demand.m_model);
        if (!model || !demand.m_adapter.m_text.empty())
            continue;
        const int replicas = replicasOf(planner, demand.m_model);
        if (replicas > 0 && replicas < replicasNeeded(planner, demand))
            addReplica(planner, *model, "high_load", maxExtraReplicaCost);
    }
    return planner.m_commands;
}

} // namespace apricot
