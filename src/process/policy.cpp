// Which loads and unloads to order next: wake order, placement, eviction. Pure, so that replay
// and tests run it as the daemon does.
#include "apricot.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis comeBackForRoom = {2'000}; // ms, when no server can take a model
constexpr Millis useReportLag = {1'500};    // ms, homes tell of uses about once a second
constexpr Millis evictionRest = {500}; // ms a slot must have been idle to be evicted for another

/// One pass of planning: the input, and the record as changed so far.
struct Planner
{
    const PlanInput *m_input = nullptr;
    Millis m_time;
    Plan m_plan;
    int m_loadsLeft = 0; // that may start now
    int m_adaptersLeft = 0;
    std::uint64_t m_nextOrder = 0;
};

const Configuration &configurationOf(const Planner &planner)
{
    return *planner.m_input->m_configuration;
}

const ModelSpec *specOf(const Planner &planner, const ModelName &model)
{
    return findModel(configurationOf(planner), model);
}

OrderId takeOrder(Planner &planner)
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

SlotUse useOf(const PlanInput &input, std::uint64_t slot)
{
    for (const SlotUse &use : input.m_uses) {
        if (use.m_slot == slot)
            return use;
    }
    return {slot, {}, 0};
}

bool avoided(const PlanInput &input, const ModelName &model, const ServerName &server, Millis time)
{
    return std::any_of(input.m_failures.begin(), input.m_failures.end(),
                       [&](const FailedLoad &failed) {
                           return failed.m_model == model && failed.m_server == server
                               && failed.m_avoidUntil > time;
                       });
}

/// Where a model could go, better first by operator<.
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

bool mayTake(const Planner &planner, const ServerSpec &server, const ModelName &model)
{
    const ServerReport *report = reportOf(*planner.m_input, server.m_name);
    if (!report || !report->m_reachable || isLeaving(planner, server.m_name))
        return false;
    return !avoided(*planner.m_input, model, server.m_name, planner.m_time);
}

std::vector<Candidate> candidatesFor(const Planner &planner, const ModelName &model)
{
    std::vector<Candidate> candidates;
    for (const ServerSpec &server : configurationOf(planner).m_servers) {
        if (server.m_cell != planner.m_plan.m_next.m_cell || !mayTake(planner, server, model))
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

std::string describe(const std::vector<Candidate> &candidates)
{
    constexpr std::size_t most = 6;
    std::string text;
    for (std::size_t i = 0; i < candidates.size() && i < most; ++i) {
        const Candidate &candidate = candidates[i];
        text += (i > 0 ? "," : "") + candidate.m_server->m_name.m_text + "/"
            + std::to_string(candidate.m_accelerator) + ":"
            + std::to_string(candidate.m_free.m_count);
    }
    return text;
}

void planLoad(Planner &planner, const LoadRequest &request, const ServerSpec &server,
              std::string reason)
{
    if (ok(reserveLoad(planner.m_plan.m_next, request, server)))
        planner.m_plan.m_loads.push_back({request, std::move(reason)});
}

void planUnload(Planner &planner, std::uint64_t slot, std::string reason)
{
    const OrderId order = takeOrder(planner);
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
        = {model.m_name,  name,        adapter->m_version, adapter->m_memory, 1,
           server.m_name, accelerator, takeOrder(planner)};
    planLoad(planner, request, server, "adapter_of=" + model.m_name.m_text);
}

/// The slots of one accelerator that may be unloaded for another model, idle longest first.
std::vector<std::uint64_t> evictable(const Planner &planner, const Candidate &at)
{
    std::vector<SlotUse> idle;
    for (const Slot &slot : planner.m_plan.m_next.m_slots) {
        const bool here
            = slot.m_server == at.m_server->m_name && slot.m_accelerator == at.m_accelerator;
        const bool settled = slot.m_phase == SlotPhase::Loaded && slot.m_copies.empty();
        if (!here || !settled || !slot.m_adapter.m_text.empty())
            continue;
        const SlotUse use = useOf(*planner.m_input, slot.m_id);
        if (use.m_active == 0 && planner.m_time - use.m_lastUsed >= evictionRest)
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

bool anyLargeEnough(const std::vector<Candidate> &candidates, Megabytes needed)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        const auto index = static_cast<std::size_t>(candidate.m_accelerator);
        return candidate.m_server->m_accelerators[index] >= needed;
    });
}

/// Plans unloads where they make room enough, unless some under way will.
void makeRoom(Planner &planner, const std::vector<Candidate> &candidates, Megabytes needed)
{
    for (const Candidate &candidate : candidates) {
        Megabytes room = candidate.m_free;
        for (const Slot &slot : planner.m_plan.m_next.m_slots) {
            const bool here = slot.m_server == candidate.m_server->m_name
                && slot.m_accelerator == candidate.m_accelerator;
            if (here && slot.m_phase == SlotPhase::Unloading)
                room = room + slot.m_memory;
        }
        if (room >= needed)
            return;
        std::vector<std::uint64_t> chosen;
        for (const std::uint64_t slot : evictable(planner, candidate)) {
            if (room >= needed)
                break;
            room = room + memoryWithAdapters(planner.m_plan.m_next, slot);
            chosen.push_back(slot);
        }
        if (room < needed)
            continue;
        for (const std::uint64_t slot : chosen)
            planUnload(planner, slot, "for=room idle=longest");
        return;
    }
}

void refuse(Planner &planner, const Demand &demand, ErrorKind kind, std::string detail,
            Millis comeBack)
{
    planner.m_plan.m_refusals.push_back(
        {demand.m_model, demand.m_adapter, makeFailure(kind, std::move(detail), comeBack)});
}

void wakeModel(Planner &planner, const Demand &demand, const ModelSpec &model)
{
    const bool hopeless = demand.m_lastDeadline < planner.m_time + model.m_loadTime;
    if (hopeless)
        refuse(planner, demand, ErrorKind::DeadlineUnmeetable,
               "a load takes " + std::to_string(model.m_loadTime.m_count) + " ms",
               model.m_loadTime);
    const std::vector<Candidate> candidates = candidatesFor(planner, demand.m_model);
    if (candidates.empty()) {
        refuse(planner, demand, ErrorKind::NoBackendServer, "no server of the cell can take it",
               comeBackForRoom);
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
                                     takeOrder(planner)};
        planLoad(planner, request, *candidate.m_server, "candidates=" + describe(candidates));
        planAdapter(planner, model, demand.m_adapter, *candidate.m_server, candidate.m_accelerator);
        return;
    }
    if (!anyLargeEnough(candidates, model.m_memory))
        refuse(planner, demand, ErrorKind::NoCapacity, "no usable accelerator is large enough",
               comeBackForRoom);
    else if (!hopeless)
        makeRoom(planner, candidates, model.m_memory); // else it waits: a busy model may fall idle
}

void serveDemand(Planner &planner, const Demand &demand)
{
    const ModelSpec *model = specOf(planner, demand.m_model);
    if (!model) {
        refuse(planner, demand, ErrorKind::UnknownModel, demand.m_model.m_text, {});
        return;
    }
    int usable = 0;
    bool adapterThere = demand.m_adapter.m_text.empty();
    std::optional<Slot> base;
    for (const Slot &slot : planner.m_plan.m_next.m_slots) {
        const bool stays
            = slot.m_phase != SlotPhase::Unloading && !isLeaving(planner, slot.m_server);
        if (slot.m_model != demand.m_model || !stays)
            continue;
        if (slot.m_adapter == demand.m_adapter && !demand.m_adapter.m_text.empty())
            adapterThere = true;
        if (!slot.m_adapter.m_text.empty() || slot.m_version != model->m_version)
            continue;
        ++usable;
        base = slot;
    }
    if (usable == 0) {
        wakeModel(planner, demand, *model);
    } else if (!adapterThere) {
        const ServerSpec *server = findServer(configurationOf(planner), base->m_server);
        if (server)
            planAdapter(planner, *model, demand.m_adapter, *server, base->m_accelerator);
    }
}

/// Idle past its keep-alive, of an old version, on a leaving server, or of a model no longer
/// published.
std::string reasonToSleep(const Planner &planner, const Slot &slot)
{
    const SlotUse use = useOf(*planner.m_input, slot.m_id);
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
    if (idle < model->m_keepAlive + useReportLag)
        return {};
    return "for=idle idle_ms=" + std::to_string(idle.m_count);
}

void planSleep(Planner &planner)
{
    const std::vector<Slot> slots = planner.m_plan.m_next.m_slots;
    for (const Slot &slot : slots) {
        if (slot.m_phase != SlotPhase::Loaded || !slot.m_adapter.m_text.empty())
            continue;
        const std::string reason = reasonToSleep(planner, slot);
        if (!reason.empty())
            planUnload(planner, slot.m_id, reason);
    }
}

double waitingPerLoadSecond(const Configuration &configuration, const Demand &demand)
{
    const ModelSpec *model = findModel(configuration, demand.m_model);
    const Millis load = model ? model->m_loadTime : Millis{1};
    return static_cast<double>(demand.m_waiting) / static_cast<double>(load.m_count);
}

void sortByWakeOrder(std::vector<Demand> &demands, const Configuration &configuration)
{
    std::stable_sort(demands.begin(), demands.end(), [&](const Demand &a, const Demand &b) {
        if (a.m_urgency != b.m_urgency)
            return a.m_urgency < b.m_urgency;
        const double worthA = waitingPerLoadSecond(configuration, a);
        const double worthB = waitingPerLoadSecond(configuration, b);
        return worthA != worthB ? worthA > worthB : a.m_firstAsked < b.m_firstAsked;
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
    planner.m_loadsLeft = std::min(store.m_loadsAtOnce - input.m_loadsInFlight,
                                   static_cast<int>(input.m_loadTokens));
    planner.m_adaptersLeft = store.m_adaptersAtOnce;
    std::vector<Demand> demands = input.m_demands;
    sortByWakeOrder(demands, *input.m_configuration);
    for (const Demand &demand : demands)
        serveDemand(planner, demand);
    planSleep(planner);
    return planner.m_plan;
}

} // namespace apricot
