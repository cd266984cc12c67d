// Plans the loads and unloads of a cell: load priority, placement, eviction. A pure function, so
// that the replay tool and the tests run the same code as the daemon.
#include "apricot.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis noRoomRetryAfter = {2'000}; // Retry-After if no server can take a model
constexpr Millis useReportLag = {1'500};     // lag of a home's report, sent about once per second
constexpr Millis minIdleBeforeEviction = {500}; // for eviction in favour of another model

/// State of one planning pass. m_plan.m_next is the record with the loads and unloads planned so
/// far.
struct Planner
{
    const PlanInput *m_input = nullptr;
    Millis m_time;
    Plan m_plan;
    int m_loadsLeft = 0;           // model loads that may still start in this pass
    int m_adaptersLeft = 0;        // adapter loads that may still start in this pass
    std::uint64_t m_nextOrder = 0; // number of the next order
};

const Configuration &configurationOf(const Planner &planner)
{
    return *planner.m_input->m_configuration;
}

const ModelSpec *specOf(const Planner &planner, const ModelName &model)
{
    return findModel(configurationOf(planner), model);
}

OrderId nextOrderId(Planner &planner)
{
    return {planner.m_input->m_firstOrder.m_sender, planner.m_nextOrder++};
}

const ServerReport *reportOf(const PlanInput &input, const ServerName &server)
{
    for (const ServerReport &report : input.m_reports) {
        if (report.m_server == server)
            return &report;
    }
    return nullptr;
}

Locality localityOf(const ServerReport &report, const ModelName &model)
{
    for (const CachedModel &cached : report.m_cached) {
        if (cached.m_model == model)
            return cached.m_locality;
    }
    return Locality::Remote;
}

SlotUse slotUseOf(const PlanInput &input, std::uint64_t slot)
{
    for (const SlotUse &use : input.m_uses) {
        if (use.m_slot == slot)
            return use;
    }
    return {slot, {}, 0};
}

bool isAvoided(const PlanInput &input, const ModelName &model, const ServerName &server,
               Millis time)
{
    return std::any_of(input.m_failures.begin(), input.m_failures.end(),
                       [&](const FailedLoad &failed) {
                           return failed.m_model == model && failed.m_server == server
                               && failed.m_avoidUntil > time;
                       });
}

/// An accelerator on which a model could be placed.
struct Candidate
{
    Locality m_locality = Locality::Remote;
    Megabytes m_free;
    const ServerSpec *m_server = nullptr;
    int m_accelerator = 0;
};

bool betterThan(const Candidate &a, const Candidate &b)
{
    if (a.m_locality != b.m_locality)
        return a.m_locality < b.m_locality;
    return a.m_free > b.m_free;
}

bool isLeaving(const Planner &planner, const ServerName &name)
{
    const ServerReport *report = reportOf(*planner.m_input, name);
    const ServerSpec *server = findServer(configurationOf(planner), name);
    return isLeaving(server, {}) || (report && report->m_leaving);
}

/// True if a load of the model may be ordered on the server: it is reachable, not leaving and had
/// no recent failed load of the model.
bool canPlace(const Planner &planner, const ServerSpec &server, const ModelName &model)
{
    const ServerReport *report = reportOf(*planner.m_input, server.m_name);
    if (!report || !report->m_reachable || isLeaving(planner, server.m_name))
        return false;
    return !isAvoided(*planner.m_input, model, server.m_name, planner.m_time);
}

std::vector<Candidate> candidatesFor(const Planner &planner, const ModelName &model)
{
    std::vector<Candidate> candidates;
    for (const ServerSpec &server : configurationOf(planner).m_servers) {
        if (server.m_cell != planner.m_plan.m_next.m_cell || !canPlace(planner, server, model))
            continue;
        const ServerReport *report = reportOf(*planner.m_input, server.m_name);
        for (std::size_t i = 0; i < server.m_accelerators.size(); ++i) {
            const int accelerator = static_cast<int>(i);
            candidates.push_back({localityOf(*report, model),
                                  freeMemory(planner.m_plan.m_next, server, accelerator), &server,
                                  accelerator});
        }
    }
    std::sort(candidates.begin(), candidates.end(), betterThan);
    return candidates;
}

/// The best candidates as "server/accelerator:free MiB", for the log.
std::string describeCandidates(const std::vector<Candidate> &candidates)
{
    constexpr std::size_t maxListed = 6;
    std::string text;
    for (std::size_t i = 0; i < candidates.size() && i < maxListed; ++i) {
        const Candidate &candidate = candidates[i];
        text += (i > 0 ? "," : "") + candidate.m_server->m_name.m_text + "/"
            + std::to_string(candidate.m_accelerator) + ":"
            + std::to_string(candidate.m_free.m_count);
    }
    return text;
}

/// Plans a load, unless it would break an invariant of the record.
void planLoad(Planner &planner, const LoadRequest &request, const ServerSpec &server,
              std::string reason)
{
    if (ok(reserveLoad(planner.m_plan.m_next, request, server)))
        planner.m_plan.m_loads.push_back({request, std::move(reason)});
}

/// Plans an unload, unless the slot or one of its adapters' slots isn't loaded or has an unresolved
/// order.
void planUnload(Planner &planner, std::uint64_t slot, std::string reason)
{
    const OrderId order = nextOrderId(planner);
    if (ok(recordUnload(planner.m_plan.m_next, slot, order)))
        planner.m_plan.m_unloads.push_back({slot, order, std::move(reason)});
}

void planAdapter(Planner &planner, const ModelSpec &model, const AdapterName &name,
                 const ServerSpec &server, int accelerator)
{
    const AdapterSpec *adapter = findAdapter(model, name);
    if (!adapter || planner.m_adaptersLeft <= 0)
        return;
    --planner.m_adaptersLeft;
    const LoadRequest request
        = {model.m_name,  name,        adapter->m_version,  adapter->m_memory, 1,
           server.m_name, accelerator, nextOrderId(planner)};
    planLoad(planner, request, server, "adapter_of=" + model.m_name.m_text);
}

/// The model slots of one accelerator that may be evicted, idle longest first.
std::vector<std::uint64_t> evictableSlots(const Planner &planner, const Candidate &candidate)
{
    std::vector<SlotUse> idle;
    for (const Slot &slot : planner.m_plan.m_next.m_slots) {
        const bool onAccelerator = slot.m_server == candidate.m_server->m_name
            && slot.m_accelerator == candidate.m_accelerator;
        const bool loaded = slot.m_phase == SlotPhase::Loaded && slot.m_attempts.empty();
        if (!onAccelerator || !loaded || !slot.m_adapter.m_text.empty())
            continue;
        const SlotUse use = slotUseOf(*planner.m_input, slot.m_id);
        if (use.m_active == 0 && planner.m_time - use.m_lastUsed >= minIdleBeforeEviction)
            idle.push_back(use);
    }
    std::sort(idle.begin(), idle.end(),
              [](const SlotUse &a, const SlotUse &b) { return a.m_lastUsed < b.m_lastUsed; });
    std::vector<std::uint64_t> slots;
    slots.reserve(idle.size());
    for (const SlotUse &use : idle)
        slots.push_back(use.m_slot);
    return slots;
}

/// Memory of a model's slot and of the slots of its adapters on the same server.
Megabytes memoryWithAdapters(const CellRecord &record, std::uint64_t slotId)
{
    Megabytes memory;
    for (const Slot &slot : record.m_slots) {
        if (slot.m_id != slotId)
            continue;
        for (const Slot &other : record.m_slots) {
            if (other.m_server == slot.m_server && other.m_model == slot.m_model)
                memory = memory + other.m_memory;
        }
    }
    return memory;
}

bool anyAcceleratorLargeEnough(const std::vector<Candidate> &candidates, Megabytes needed)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        const auto index = static_cast<std::size_t>(candidate.m_accelerator);
        return candidate.m_server->m_accelerators[index] >= needed;
    });
}

/// Plans the unloads that free the needed memory on the best candidate on which that is possible.
/// Plans none if unloads in progress will free enough on that candidate.
void planEvictions(Planner &planner, const std::vector<Candidate> &candidates, Megabytes needed)
{
    for (const Candidate &candidate : candidates) {
        Megabytes available = candidate.m_free;
        for (const Slot &slot : planner.m_plan.m_next.m_slots) {
            const bool onAccelerator = slot.m_server == candidate.m_server->m_name
                && slot.m_accelerator == candidate.m_accelerator;
            if (onAccelerator && slot.m_phase == SlotPhase::Unloading)
                available = available + slot.m_memory;
        }
        if (available >= needed)
            return;
        std::vector<std::uint64_t> chosen;
        for (const std::uint64_t slot : evictableSlots(planner, candidate)) {
            if (available >= needed)
                break;
            available = available + memoryWithAdapters(planner.m_plan.m_next, slot);
            chosen.push_back(slot);
        }
        if (available < needed)
            continue;
        for (const std::uint64_t slot : chosen)
            planUnload(planner, slot, "for=room idle=longest");
        return;
    }
}

void refuse(Planner &planner, const Demand &demand, ErrorKind kind, std::string detail,
            Millis retryAfter)
{
    planner.m_plan.m_refusals.push_back(
        {demand.m_model, demand.m_adapter, makeFailure(kind, std::move(detail), retryAfter)});
}

/// Plans a load of a model that has no replica, on the best candidate with enough free memory. If
/// there is none, plans evictions, and a later pass plans the load.
void planModelLoad(Planner &planner, const Demand &demand, const ModelSpec &model)
{
    const bool deadlineUnmeetable = demand.m_latestDeadline < planner.m_time + model.m_loadTime;
    if (deadlineUnmeetable)
        refuse(planner, demand, ErrorKind::DeadlineUnmeetable,
               "a load of the model takes " + std::to_string(model.m_loadTime.m_count) + " ms",
               model.m_loadTime);
    const std::vector<Candidate> candidates = candidatesFor(planner, demand.m_model);
    if (candidates.empty()) {
        refuse(planner, demand, ErrorKind::NoBackendServer,
               "no server of the cell is reachable, not leaving and without a recent failed load",
               noRoomRetryAfter);
        return;
    }
    if (planner.m_loadsLeft <= 0)
        return;
    for (const Candidate &candidate : candidates) {
        if (candidate.m_free < model.m_memory)
            continue;
        --planner.m_loadsLeft;
        const LoadRequest request = {model.m_name,
                                     {},
                                     model.m_version,
                                     model.m_memory,
                                     model.m_maxReplicas,
                                     candidate.m_server->m_name,
                                     candidate.m_accelerator,
                                     nextOrderId(planner)};
        planLoad(planner, request, *candidate.m_server,
                 "candidates=" + describeCandidates(candidates));
        planAdapter(planner, model, demand.m_adapter, *candidate.m_server, candidate.m_accelerator);
        return;
    }
    if (!anyAcceleratorLargeEnough(candidates, model.m_memory))
        refuse(planner, demand, ErrorKind::NoCapacity,
               "no accelerator of a reachable server has enough memory for the model",
               noRoomRetryAfter);
    else if (!deadlineUnmeetable) // if nothing can be evicted, callers wait for a model to get idle
        planEvictions(planner, candidates, model.m_memory);
}

/// Plans a load of the demanded model, or only of the adapter if the model is loaded or loading.
void planForDemand(Planner &planner, const Demand &demand)
{
    const ModelSpec *model = specOf(planner, demand.m_model);
    if (!model) {
        refuse(planner, demand, ErrorKind::UnknownModel, demand.m_model.m_text, {});
        return;
    }
    int usable = 0;
    bool hasAdapter = demand.m_adapter.m_text.empty();
    std::optional<Slot> base;
    for (const Slot &slot : planner.m_plan.m_next.m_slots) {
        const bool remainsLoaded
            = slot.m_phase != SlotPhase::Unloading && !isLeaving(planner, slot.m_server);
        if (slot.m_model != demand.m_model || !remainsLoaded)
            continue;
        if (slot.m_adapter == demand.m_adapter && !demand.m_adapter.m_text.empty())
            hasAdapter = true;
        if (!slot.m_adapter.m_text.empty() || slot.m_version != model->m_version)
            continue;
        ++usable;
        base = slot;
    }
    if (usable == 0) {
        planModelLoad(planner, demand, *model);
    } else if (!hasAdapter) {
        const ServerSpec *server = findServer(configurationOf(planner), base->m_server);
        if (server)
            planAdapter(planner, *model, demand.m_adapter, *server, base->m_accelerator);
    }
}

/// Reason for unloading an unused slot, for the log: the model is no longer published, the version
/// is old, the server is leaving, or the slot was idle for longer than the keep-alive time. Empty
/// if the slot stays loaded.
std::string unloadReason(const Planner &planner, const Slot &slot)
{
    const SlotUse use = slotUseOf(*planner.m_input, slot.m_id);
    if (use.m_active > 0)
        return {};
    const ModelSpec *model = specOf(planner, slot.m_model);
    if (!model)
        return "for=unpublished";
    if (model->m_version != slot.m_version)
        return "for=old_version";
    if (isLeaving(planner, slot.m_server))
        return "for=leaving_server";
    const Millis idle = planner.m_time - use.m_lastUsed;
    if (idle < model->m_keepAlive + useReportLag) // a later use may not have been reported yet
        return {};
    return "for=idle idle_ms=" + std::to_string(idle.m_count);
}

void planUnloads(Planner &planner)
{
    const std::vector<Slot> slots = planner.m_plan.m_next.m_slots;
    for (const Slot &slot : slots) {
        if (slot.m_phase != SlotPhase::Loaded || !slot.m_adapter.m_text.empty())
            continue;
        const std::string reason = unloadReason(planner, slot);
        if (!reason.empty())
            planUnload(planner, slot.m_id, reason);
    }
}

/// Waiting callers per ms of load time, by which demands of equal urgency are ordered.
double waitingPerLoadTime(const Configuration &configuration, const Demand &demand)
{
    const ModelSpec *model = findModel(configuration, demand.m_model);
    const Millis load = model ? model->m_loadTime : Millis{1};
    return static_cast<double>(demand.m_waiting) / static_cast<double>(load.m_count);
}

void sortByLoadPriority(std::vector<Demand> &demands, const Configuration &configuration)
{
    std::stable_sort(demands.begin(), demands.end(), [&](const Demand &a, const Demand &b) {
        if (a.m_urgency != b.m_urgency)
            return a.m_urgency < b.m_urgency;
        const double waitingA = waitingPerLoadTime(configuration, a);
        const double waitingB = waitingPerLoadTime(configuration, b);
        return waitingA != waitingB ? waitingA > waitingB : a.m_waitingSince < b.m_waitingSince;
    });
}

} // namespace

Plan planCell(const PlanInput &input, Millis time)
{
    Planner planner;
    planner.m_input = &input;
    planner.m_time = time;
    planner.m_plan.m_next = *input.m_record;
    planner.m_nextOrder = input.m_firstOrder.m_number;
    const StoreLimits &store = input.m_configuration->m_store;
    planner.m_loadsLeft = std::min(store.m_maxConcurrentLoads - input.m_loadsInFlight,
                                   static_cast<int>(input.m_loadTokens));
    planner.m_adaptersLeft = store.m_maxConcurrentAdapterLoads;
    std::vector<Demand> demands = input.m_demands;
    sortByLoadPriority(demands, *input.m_configuration);
    for (const Demand &demand : demands)
        planForDemand(planner, demand);
    planUnloads(planner);
    return planner.m_plan;
}

} // namespace apricot
