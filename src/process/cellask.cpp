// Answers replica requests: homes ask a cell's owner for the replicas of a model. The requests also
// report the callers that wait on the home, which are the demand that the owner plans for.
#include "process/celldriver.h"

#include <algorithm>

namespace apricot {

namespace {

/// Stores what a home reports with its request: the callers that wait there, and its use of slots.
void recordDemand(Node &node, OwnedCell &cell, const wire::WantAskT &request)
{
    const DemandKey key = {{request.model}, {request.adapter}};
    const HostName home = {request.host};
    const Millis time = now(node);
    for (const auto &use : request.uses) {
        cell.m_active[use->slot][request.host + "/" + request.adapter] = {use->active, time};
        cell.m_lastUsed[use->slot] = time; // homes list only slots used since their last request
    }
    if (request.waiting <= 0)
        return;
    const auto [entry, added] = cell.m_demands[key].try_emplace(home);
    HomeDemand &demand = entry->second;
    if (added)
        demand.m_demand.m_waitingSince = time;
    demand.m_receivedAt = time;
    demand.m_demand.m_model = key.m_model;
    demand.m_demand.m_adapter = key.m_adapter;
    demand.m_demand.m_waiting = request.waiting;
    demand.m_demand.m_urgency = static_cast<Urgency>(std::min<std::uint8_t>(request.urgency, 2));
    demand.m_demand.m_latestDeadline = time + Millis{request.left_ms};
}

/// True if new requests may be sent to the replica: it is loaded, by the record or by the engine's
/// report, and isn't about to be unloaded.
bool isUsable(const OwnedCell &cell, const Slot &slot)
{
    const bool unloading = slot.m_phase == SlotPhase::Unloading
        || cell.m_stopping.contains(slot.m_id)
        || std::any_of(slot.m_attempts.begin(), slot.m_attempts.end(),
                       [](const OrderAttempt &attempt) {
                           return attempt.m_kind == OrderKind::Unload;
                       });
    if (unloading)
        return false;
    const EngineEntry *entry = engineEntryOf(cell, slot);
    return slot.m_phase == SlotPhase::Loaded || (entry && entry->m_ready);
}

std::unique_ptr<wire::ReplicaEntryT> packReplica(const OwnedCell &cell, const Slot &slot)
{
    auto replica = std::make_unique<wire::ReplicaEntryT>();
    replica->server = slot.m_server.m_text;
    replica->slot = slot.m_id;
    const EngineEntry *entry = engineEntryOf(cell, slot);
    replica->running = entry ? entry->m_running : 0;
    for (const Slot &other : cell.m_record.m_slots) {
        const bool isItsAdapter = other.m_server == slot.m_server && other.m_model == slot.m_model
            && !other.m_adapter.m_text.empty();
        if (isItsAdapter && isUsable(cell, other))
            replica->adapters.push_back(other.m_adapter.m_text);
    }
    return replica;
}

/// Expected time until a replica is ready: the remaining time of a load in progress, else the whole
/// load time.
Millis expectedReadyIn(const OwnedCell &cell, const ModelSpec &model, Millis time)
{
    for (const Slot &slot : cell.m_record.m_slots) {
        const auto began = cell.m_loadStartedAt.find(slot.m_id);
        const bool isModel = slot.m_model == model.m_name && slot.m_adapter.m_text.empty();
        if (isModel && slot.m_phase == SlotPhase::Loading && began != cell.m_loadStartedAt.end())
            return std::max(Millis{}, began->second + model.m_loadTime - time);
    }
    return model.m_loadTime;
}

/// Fills in the answer from the current state: the usable replicas, and, if none serves the
/// request, the expected time until one does or the reason for a refusal. False if the home should
/// wait for a change.
bool fillDemandAnswer(Node &node, OwnedCell &cell, const wire::WantAskT &request,
                      wire::WantTellT &answer)
{
    const auto configuration = configurationOf(node);
    const ModelSpec *model = configuration ? findModel(*configuration, {request.model}) : nullptr;
    const MachineList machines = machinesOf(node);
    bool complete = false;
    answer = {};
    for (const Slot &slot : cell.m_record.m_slots) {
        const bool isRequested = slot.m_model.m_text == request.model
            && slot.m_adapter.m_text.empty() && model && slot.m_version == model->m_version;
        if (!isRequested || !isUsable(cell, slot))
            continue;
        if (isLeaving(findServer(*configuration, slot.m_server), machines))
            continue;
        auto replica = packReplica(cell, slot);
        const auto &adapters = replica->adapters;
        complete = complete || request.adapter.empty()
            || std::count(adapters.begin(), adapters.end(), request.adapter) > 0;
        answer.replicas.push_back(std::move(replica));
    }
    if (complete)
        return true;
    if (model)
        answer.ready_in_ms = expectedReadyIn(cell, *model, now(node)).m_count;
    const auto refusal = cell.m_refusals.find({{request.model}, {request.adapter}});
    if (refusal == cell.m_refusals.end())
        return request.waiting <= 0;
    const Failure &failure = refusal->second.m_failure;
    answer.error = static_cast<std::uint8_t>(failure.m_kind);
    answer.detail = failure.m_detail;
    answer.retry_after_ms = failure.m_retryAfter.m_count;
    return true;
}

wire::WantTellT makeNotOwnerAnswer()
{
    wire::WantTellT answer;
    answer.error = static_cast<std::uint8_t>(ErrorKind::NotReady);
    answer.detail = "this host does not own the cell";
    return answer;
}

} // namespace

asio::awaitable<wire::WantTellT> answerReplicaRequest(Node &node, IoThread &thread,
                                                      const wire::WantAskT &request)
{
    const CellPtr cell = ownedCell(node, {request.cell});
    const Millis waitUntil = now(node) + Millis{request.wait_ms};
    wire::WantTellT answer;
    while (true) {
        auto waiter = std::make_shared<Waiter>(thread.m_io);
        {
            if (!cell)
                co_return makeNotOwnerAnswer();
            const std::lock_guard lock(cell->m_mutex);
            if (!cell->m_owned)
                co_return makeNotOwnerAnswer();
            recordDemand(node, *cell, request);
            if (fillDemandAnswer(node, *cell, request, answer))
                co_return answer;
            cell->m_waiters.push_back(waiter);
            wakePlanLoop(*cell);
        }
        const Millis left = waitUntil - now(node);
        if (left <= Millis{} || !co_await waitFor(waiter, left))
            co_return answer;
    }
}

} // namespace apricot
