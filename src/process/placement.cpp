// Placement: decides which orders the model servers get next. First come loads for which an earlier
// unload has made room, then adapters (which load in milliseconds) and models that requests wait
// for, the most urgent first, then further replicas of busy models.
//
// The plan is computed from the known state each time, without memory of earlier plans. An unload
// that makes room names the model it is for, so that the next plan doesn't make room for that model
// a second time.
#include "process/planindex.h"

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
constexpr double minWorthwhileEviction
    = 4'500;                            // ms; even for one caller: a model with few requests
constexpr Millis minSwapTime = {1'200}; // shortest time for an unload and a load from disk
constexpr double unloadCost = 350;      // ms, duration of an unload
constexpr double infiniteCost = std::numeric_limits<double>::infinity(); // the step can't start now

/// A model that may be evicted from a server.
struct Victim
{
    ModelName m_model;
    double m_cost = infiniteCost;
    double m_memoryMb = 0; // that its eviction frees, with its adapters
};

/// Models whose eviction makes room for another one.
struct Eviction
{
    ModelName m_first; // to evict now; empty: the memory is sufficient, or can't be made so
    double m_cost = infiniteCost; // of all of them
};

/// A plan in progress.
struct Planner
{
    const PlacementInput *m_input = nullptr;
    PlanIndex m_index;
    std::vector<std::vector<Victim>> m_victims; // by server, the cheapest first
    std::vector<bool> m_ordered;                // by server: it already has an order in this plan
    std::vector<EngineCommand> m_commands;
    bool m_storeLoadAllowed = false; // one more load from the weight store is within the rate limit
};

const PlanServer &serverAt(const Planner &planner, std::size_t at)
{
    return planner.m_input->m_servers[at];
}

const EngineModel *modelOf(const Planner &planner, const ModelName &name)
{
    const ModelIndex *model = findModel(planner.m_index, name);
    return model ? model->m_published : nullptr;
}

/// Whether the server can get an order in this plan.
bool isFree(const Planner &planner, std::size_t at)
{
    const PlanServer &server = serverAt(planner, at);
    return server.m_usable && server.m_sequenceKnown && !server.m_serverStatus.m_busy
        && !planner.m_ordered[at];
}

/// Which servers a demand can be met at: those of one software version, or any if it is empty.
using VersionFilter = std::optional<SoftwareId>;

bool passes(const VersionFilter &filter, const PlanServer &server)
{
    return !filter || server.m_software == *filter;
}

int runningOf(const PlanServer &server, const ModelName &model)
{
    const auto found = server.m_running.find(model);
    return found == server.m_running.end() ? 0 : found->second;
}

/// Number of servers that have the model loaded, are loading it, or are making room for it.
int replicasOf(const Planner &planner, const ModelName &model)
{
    const ModelIndex *found = findModel(planner.m_index, model);
    return found ? found->m_replicas : 0;
}

/// Number of adapters that are loaded or being loaded on a server.
int adaptersOn(const ServerStatus &status)
{
    std::size_t count = 0;
    for (const LoadedModel &loaded : status.m_models)
        count += loaded.m_adapters.size();
    return static_cast<int>(count) + status.m_loadingAdapterCount;
}

void addOrder(Planner &planner, EngineCommand order, std::size_t at)
{
    const PlanServer &server = serverAt(planner, at);
    order.m_server = server.m_id;
    order.m_sequence = server.m_serverStatus.m_sequence;
    planner.m_ordered[at] = true;
    planner.m_commands.push_back(std::move(order));
}

/// Orders a load. A load from the weight store uses up the one that the rate limit allows.
void loadModel(Planner &planner, std::size_t at, const ModelName &model, const char *reason)
{
    EngineCommand order;
    order.m_model = model;
    order.m_loadsFromStore = !hasLocalCopy(serverAt(planner, at).m_serverStatus, model);
    order.m_reason = reason;
    if (order.m_loadsFromStore)
        planner.m_storeLoadAllowed = false;
    addOrder(planner, order, at);
}

/// MB that the server lacks to load the model; 0 or less: it fits.
double lackingMemory(const Planner &planner, std::size_t at, const EngineModel &model)
{
    return planner.m_index.m_memoryUsed[at] + model.m_weightsMb
        - planner.m_input->m_limits->m_weightsMb;
}

bool fits(const Planner &planner, std::size_t at, const EngineModel &model)
{
    return lackingMemory(planner, at, model) <= 0;
}

/// Cost, in ms of waiting, of evicting a model from a server.
double evictionCost(const Planner &planner, const PlanServer &server, const ModelName &name)
{
    const ModelIndex *model = findModel(planner.m_index, name); // the server has it loaded
    const ModelDemand *demand = model->m_demand;
    const int replicas = model->m_replicas;
    double cost = unloadCost;
    if (runningOf(server, name) > 0)
        cost += runningModelCost;
    if (replicas == 1)
        cost += lastReplicaCost;
    if (demand)
        cost += requestRateCost * demand->m_rate / replicas;
    if (demand && demand->m_waiting > 0 && replicas == 1)
        return infiniteCost;
    return cost;
}

/// Returns the models that may be evicted, the cheapest first. Recently loaded models are exempt,
/// since the requests that wait for them may not have arrived at the server yet.
std::vector<Victim> possibleVictims(const Planner &planner, const PlanServer &server)
{
    std::vector<Victim> victims;
    for (const LoadedModel &loaded : server.m_serverStatus.m_models) {
        if (server.m_recentlyLoaded.contains(loaded.m_name))
            continue;
        const double cost = evictionCost(planner, server, loaded.m_name);
        if (cost == infiniteCost)
            continue;
        const EngineModel *model = modelOf(planner, loaded.m_name);
        const double adapters = static_cast<double>(loaded.m_adapters.size());
        // The memory of a model that isn't published any more isn't known; the server counts as
        // full.
        const double memory = model ? model->m_weightsMb + model->m_adapterMb * adapters
                                    : planner.m_input->m_limits->m_weightsMb;
        victims.push_back({loaded.m_name, cost, memory});
    }
    std::sort(victims.begin(), victims.end(),
              [](const Victim &a, const Victim &b) { return a.m_cost < b.m_cost; });
    return victims;
}

/// Returns the cheapest eviction of one model that frees so many MB.
Eviction evictionOfOne(const std::vector<Victim> &victims, double lackingMb)
{
    const auto found = std::find_if(victims.begin(), victims.end(), [&](const Victim &victim) {
        return victim.m_memoryMb >= lackingMb;
    });
    return found == victims.end() ? Eviction() : Eviction{found->m_model, found->m_cost};
}

/// Returns the eviction of the cheapest models that together free so many MB.
Eviction evictionOfSeveral(const std::vector<Victim> &victims, double lackingMb)
{
    double cost = 0;
    double freed = 0;
    for (const Victim &victim : victims) {
        cost += victim.m_cost;
        freed += victim.m_memoryMb;
        if (freed >= lackingMb)
            return {victims.front().m_model, cost};
    }
    return {};
}

Eviction cheapestEviction(const Planner &planner, std::size_t at, const EngineModel &model)
{
    const double lackingMb = lackingMemory(planner, at, model);
    const Eviction one = evictionOfOne(planner.m_victims[at], lackingMb);
    const Eviction several = evictionOfSeveral(planner.m_victims[at], lackingMb);
    return one.m_cost <= several.m_cost ? one : several;
}

/// Orders the next unload that makes room for the model on the server.
void makeRoom(Planner &planner, std::size_t at, const ModelName &victim, const ModelName &model,
              const char *reason)
{
    EngineCommand order;
    order.m_kind = CommandKind::Unload;
    order.m_model = victim;
    order.m_makeRoomFor = model;
    order.m_reason = reason;
    addOrder(planner, order, at);
}

/// What a further replica of a model may cost others.
struct ReplicaLimits
{
    double m_maxCost = infiniteCost;         // of the load and of the eviction that it needs
    double m_maxEvictionCost = infiniteCost; // of the eviction alone
};

/// A possible placement of a further replica of a model.
struct ReplicaOption
{
    std::optional<std::size_t> m_server; // empty: no server can load the model
    ModelName m_victim;                  // model to evict first; empty: the memory is sufficient
    double m_cost = infiniteCost;
};

/// Replaces the best option if a load on that server, which takes `duration`, costs less.
void considerServer(const Planner &planner, const EngineModel &model, std::size_t at,
                    Millis duration, double maxEvictionCost, ReplicaOption &best)
{
    const PlanServer &server = serverAt(planner, at);
    double cost = static_cast<double>(duration.m_count);
    if (cost >= best.m_cost || !isFree(planner, at) || !server.m_pendingModel.m_text.empty())
        return;
    Eviction eviction;
    if (!fits(planner, at, model)) {
        eviction = cheapestEviction(planner, at, model);
        if (eviction.m_cost > maxEvictionCost)
            return;
        cost += eviction.m_cost;
    }
    if (cost >= best.m_cost || holdsModel(server.m_serverStatus, model.m_name, {}))
        return;
    best = {at, eviction.m_first, cost};
}

ReplicaOption cheapestOption(const Planner &planner, const EngineModel &model,
                             double maxEvictionCost, const VersionFilter &filter)
{
    ReplicaOption best;
    const ModelIndex *index = findModel(planner.m_index, model.m_name);
    for (const std::size_t at : index->m_copiesOn) {
        const PlanServer &server = serverAt(planner, at);
        if (passes(filter, server))
            considerServer(planner, model, at, loadTime(model, server.m_serverStatus),
                           maxEvictionCost, best);
    }
    if (!planner.m_storeLoadAllowed)
        return best;
    auto copy = index->m_copiesOn.begin(); // skips the servers considered above
    for (std::size_t at = 0; at < planner.m_input->m_servers.size(); ++at) {
        if (copy != index->m_copiesOn.end() && *copy == at)
            ++copy;
        else if (passes(filter, serverAt(planner, at)))
            considerServer(planner, model, at, model.m_storeLoadTime, maxEvictionCost, best);
    }
    return best;
}

/// Orders the first step of the cheapest placement of a further replica within the limits, if there
/// is any: the load, or the unload that makes room for it.
void addReplica(Planner &planner, const EngineModel &model, const char *reason,
                const ReplicaLimits &limits, const VersionFilter &filter)
{
    const ReplicaOption option = cheapestOption(planner, model, limits.m_maxEvictionCost, filter);
    if (!option.m_server || option.m_cost > limits.m_maxCost)
        return;
    if (option.m_victim.m_text.empty()) {
        loadModel(planner, *option.m_server, model.m_name, reason);
        return;
    }
    makeRoom(planner, *option.m_server, option.m_victim, model.m_name, reason);
}

/// What an eviction for the model may cost. Its callers gain what those of the evicted models lose,
/// so that a busy model isn't evicted for a few callers of a rare one.
double worthwhileEviction(const ModelDemand &demand)
{
    return minWorthwhileEviction + requestRateCost * (demand.m_waiting + demand.m_rate);
}

/// Continues swaps: where an unload has made room for a model, orders the load of that model, or
/// the next unload if the room isn't enough yet.
void finishSwaps(Planner &planner)
{
    for (std::size_t at = 0; at < planner.m_input->m_servers.size(); ++at) {
        const PlanServer &server = serverAt(planner, at);
        if (server.m_pendingModel.m_text.empty() || !isFree(planner, at))
            continue;
        const EngineModel *model = modelOf(planner, server.m_pendingModel);
        if (!model || holdsModel(server.m_serverStatus, model->m_name, {}))
            continue;
        const bool mayLoad
            = planner.m_storeLoadAllowed || hasLocalCopy(server.m_serverStatus, model->m_name);
        if (!fits(planner, at, *model)) {
            const ModelIndex *index = findModel(planner.m_index, model->m_name);
            const double worthwhile
                = index->m_demand ? worthwhileEviction(*index->m_demand) : minWorthwhileEviction;
            const Eviction eviction = cheapestEviction(planner, at, *model);
            if (!eviction.m_first.m_text.empty() && eviction.m_cost <= worthwhile)
                makeRoom(planner, at, eviction.m_first, model->m_name, "more_room");
        } else if (mayLoad) {
            loadModel(planner, at, model->m_name, "room_made");
        }
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
        if (!planner.m_index.m_usedAdapters.contains(adapterKey(loaded.m_name, adapter)))
            return adapter;
    }
    return {};
}

/// Orders the unload of one unused adapter, to make room for another. Does nothing if every adapter
/// on the server is in use.
void unloadUnusedAdapter(Planner &planner, std::size_t at)
{
    for (const LoadedModel &loaded : serverAt(planner, at).m_serverStatus.m_models) {
        const AdapterName adapter = unusedAdapter(planner, loaded);
        if (adapter.m_text.empty())
            continue;
        EngineCommand order;
        order.m_kind = CommandKind::Unload;
        order.m_model = loaded.m_name;
        order.m_adapter = adapter;
        order.m_reason = "room_for_adapter";
        addOrder(planner, order, at);
        return;
    }
}

/// Orders the load of an adapter on a server that has its model, or an unload that makes room for
/// it.
void loadAdapter(Planner &planner, const ModelDemand &demand, const ModelIndex &index,
                 const VersionFilter &filter)
{
    constexpr int maxLoadingAdapters = 4; // adapters that one server loads at the same time
    const EngineLimits &limits = *planner.m_input->m_limits;
    std::optional<std::size_t> best;
    for (const std::size_t at : index.m_loadedOn) {
        const PlanServer &server = serverAt(planner, at);
        if (!passes(filter, server))
            continue;
        const std::string key
            = server.m_id.m_text + " " + adapterKey(demand.m_model, demand.m_adapter);
        if (planner.m_input->m_loadingAdapterKeys.contains(key))
            return; // already being loaded
        if (!isFree(planner, at)
            || server.m_serverStatus.m_loadingAdapterCount >= maxLoadingAdapters)
            continue;
        if (!best
            || adaptersOn(server.m_serverStatus)
                < adaptersOn(serverAt(planner, *best).m_serverStatus))
            best = at;
    }
    if (!best || !index.m_published)
        return;
    const bool room = adaptersOn(serverAt(planner, *best).m_serverStatus) < limits.m_adapterSlots
        && planner.m_index.m_memoryUsed[*best] + index.m_published->m_adapterMb
            <= limits.m_weightsMb;
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

/// Whether a usable server that passes the filter has the adapter of the model loaded, or with an
/// empty one the model.
bool isLoaded(const Planner &planner, const ModelDemand &demand, const AdapterName &adapter,
              const ModelIndex &index, const VersionFilter &filter)
{
    return std::any_of(index.m_loadedOn.begin(), index.m_loadedOn.end(), [&](std::size_t at) {
        const PlanServer &server = serverAt(planner, at);
        return server.m_usable && passes(filter, server)
            && holdsModel(server.m_serverStatus, demand.m_model, adapter);
    });
}

/// Whether a server that passes the filter loads the model or makes room for it.
bool isPending(const Planner &planner, const ModelIndex &index, const VersionFilter &filter)
{
    return std::any_of(index.m_pendingOn.begin(), index.m_pendingOn.end(),
                       [&](std::size_t at) { return passes(filter, serverAt(planner, at)); });
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
    for (const auto &[software, waiting] : demand.m_waitingFor)
        sum.m_waitingFor[software] += waiting;
}

Millis pauseBeforePlan(Millis lastPlanTook)
{
    constexpr Millis minPause = {12};
    constexpr std::int64_t pausePerPlanTime = 4; // planning uses at most a fifth of the event loop
    return std::max(minPause, lastPlanTook * pausePerPlanTime);
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

double largestAdapterMb(const EngineLimits &limits)
{
    double largest = 0;
    for (const auto &[name, model] : limits.m_models)
        largest = std::max(largest, model.m_adapterMb);
    return largest;
}

double memoryUsed(const EngineLimits &limits, const ServerStatus &status)
{
    const double largestAdapter = status.m_loadingAdapterCount > 0 ? largestAdapterMb(limits) : 0;
    return memoryUsed(limits, status, largestAdapter);
}

double memoryUsed(const EngineLimits &limits, const ServerStatus &status, double largestAdapter)
{
    double used = 0;
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

namespace {

/// Orders what a waiting demand needs at servers that pass the filter: its model, or its adapter
/// where the model is loaded.
void serveWaitingAt(Planner &planner, const ModelDemand &demand, const ModelIndex &index,
                    const VersionFilter &filter)
{
    const bool modelLoaded = isLoaded(planner, demand, {}, index, filter);
    const bool adapterOnly = !demand.m_adapter.m_text.empty() && modelLoaded;
    if (adapterOnly) {
        if (!isLoaded(planner, demand, demand.m_adapter, index, filter))
            loadAdapter(planner, demand, index, filter);
    } else if (!modelLoaded && !isPending(planner, index, filter)) {
        addReplica(planner, *index.m_published, "callers_wait",
                   {infiniteCost, worthwhileEviction(demand)}, filter);
    }
}

/// As above, for all that wait: those that take up streams need servers of their versions.
void serveWaiting(Planner &planner, const ModelDemand &demand)
{
    const ModelIndex *index = findModel(planner.m_index, demand.m_model);
    if (!index->m_published)
        return;
    int anyVersion = demand.m_waiting;
    for (const auto &[software, waiting] : demand.m_waitingFor)
        anyVersion -= waiting;
    if (anyVersion > 0)
        serveWaitingAt(planner, demand, *index, {});
    for (const auto &[software, waiting] : demand.m_waitingFor) {
        if (waiting > 0)
            serveWaitingAt(planner, demand, *index, software);
    }
}

Planner makePlanner(const PlacementInput &input)
{
    Planner planner;
    planner.m_input = &input;
    planner.m_index = makePlanIndex(input);
    planner.m_ordered.resize(input.m_servers.size(), false);
    planner.m_storeLoadAllowed = input.m_storeLoadAllowed;
    for (const PlanServer &server : input.m_servers)
        planner.m_victims.push_back(possibleVictims(planner, server));
    return planner;
}

} // namespace

std::vector<EngineCommand> planPlacement(const PlacementInput &input)
{
    Planner planner = makePlanner(input);
    finishSwaps(planner);
    std::vector<const ModelDemand *> waiting;
    for (const ModelDemand &demand : input.m_demands) {
        if (demand.m_waiting > 0)
            waiting.push_back(&demand);
    }
    std::stable_sort(waiting.begin(), waiting.end(), moreUrgent);
    for (const ModelDemand *demand : waiting)
        serveWaiting(planner, *demand);
    for (const ModelDemand &demand : input.m_demands) {
        const EngineModel *model = modelOf(planner, demand.m_model);
        if (!model || !demand.m_adapter.m_text.empty())
            continue;
        const int replicas = replicasOf(planner, demand.m_model);
        if (replicas > 0 && replicas < replicasNeeded(planner, demand))
            addReplica(planner, *model, "high_load", {maxExtraReplicaCost, infiniteCost}, {});
    }
    return planner.m_commands;
}

} // namespace apricot
