// Homes asking a cell's owner for replicas of a model: their asks are its demand.
#include "process/celldriver.h"

#include <algorithm>

namespace apricot {

namespace {

void noteDemand(Node &node, OwnedCell &cell, const wire::WantAskT &ask)
{
    const DemandKey key = {{ask.model}, {ask.adapter}};
    const HostName home = {ask.host};
    const Millis time = now(node);
    for (const auto &use : ask.uses) {
        cell.m_active[use->slot][ask.host + "/" + ask.adapter] = {use->active, time};
        cell.m_lastUsed[use->slot] = time; // homes name only slots used since they last asked
    }
    if (ask.waiting <= 0)
        return;
    const auto [entry, added] = cell.m_demands[key].try_emplace(home);
    HomeDemand &demand = entry->second;
    if (added)
        demand.m_demand.m_firstAsked = time;
    demand.m_heard = time;
    demand.m_demand.m_model = key.m_model;
    demand.m_demand.m_adapter = key.m_adapter;
    demand.m_demand.m_waiting = ask.waiting;
    demand.m_demand.m_urgency = static_cast<Urgency>(std::min<std::uint8_t>(ask.urgency, 2));
    demand.m_demand.m_lastDeadline = time + Millis{ask.left_ms};
}

bool isUsable(const OwnedCell &cell, const Slot &slot)
{
    const bool stopping = slot.m_phase == SlotPhase::Unloading
        || cell.m_stopping.contains(slot.m_id)
        || std::any_of(slot.m_copies.begin(), slot.m_copies.end(),
                       [](const OrderCopy &copy) { return copy.m_kind == OrderKind::Unload; });
    if (stopping)
        return false;
    const EngineEntry *entry = entryOf(cell, slot);
    return slot.m_phase == SlotPhase::Loaded || (entry && entry->m_ready);
}

std::unique_ptr<wire::ReplicaEntryT> packReplica(const OwnedCell &cell, const Slot &slot)
{
    auto replica = std::make_unique<wire::ReplicaEntryT>();
    replica->server = slot.m_server.m_text;
    replica->slot = slot.m_id;
    const EngineEntry *entry = entryOf(cell, slot);
    replica->running = entry ? entry->m_running : 0;
    for (const Slot &other : cell.m_record.m_slots) {
        const bool adapterOfIt = other.m_server == slot.m_server && other.m_model == slot.m_model
            && !other.m_adapter.m_text.empty();
        if (adapterOfIt && isUsable(cell, other))
            replica->adapters.push_back(other.m_adapter.m_text);
    }
    return replica;
}

/// Until a replica should be up: the rest of a load under way, else a whole one.
Millis readyIn(const OwnedCell &cell, const ModelSpec &model, Millis time)
{
    for (const Slot &slot : cell.m_record.m_slots) {
        const auto began = cell.m_loadBegan.find(slot.m_id);
        const bool itself = slot.m_model == model.m_name && slot.m_adapter.m_text.empty();
        if (itself && slot.m_phase == SlotPhase::Loading && began != cell.m_loadBegan.end())
            return std::max(Millis{}, began->second + model.m_loadTime - time);
    }
    return model.m_loadTime;
}

/// What can be told now; true if it is an answer rather than "wait".
bool tellWant(Node &node, OwnedCell &cell, const wire::WantAskT &ask, wire::WantTellT &tell)
{
    const auto configuration = configurationOf(node);
    const ModelSpec *model = configuration ? findModel(*configuration, {ask.model}) : nullptr;
    const MachineList machines = machinesOf(node);
    bool complete = false;
    tell = {};
    for (const Slot &slot : cell.m_record.m_slots) {
        const bool wanted = slot.m_model.m_text == ask.model && slot.m_adapter.m_text.empty()
            && model && slot.m_version == model->m_version;
        if (!wanted || !isUsable(cell, slot))
            continue;
        if (isLeaving(findServer(*configuration, slot.m_server), machines))
            continue;
        auto replica = packReplica(cell, slot);
        const auto &adapters = replica->adapters;
        complete = complete || ask.adapter.empty()
            || std::count(adapters.begin(), adapters.end(), ask.adapter) > 0;
        tell.replicas.push_back(std::move(replica));
    }
    if (complete)
        return true;
    if (model)
        tell.ready_in_ms = readyIn(cell, *model, now(node)).m_count;
    const auto refusal = cell.m_refusals.find({{ask.model}, {ask.adapter}});
    if (refusal == cell.m_refusals.end())
        return ask.waiting <= 0;
    const Failure &failure = refusal->second.m_failure;
    tell.error = static_cast<std::uint8_t>(failure.m_kind);
    tell.detail = failure.m_detail;
    tell.retry_after_ms = failure.m_retryAfter.m_count;
    return true;
}

wire::WantTellT notOwner()
{
    wire::WantTellT tell;
    tell.error = static_cast<std::uint8_t>(ErrorKind::NotReady);
    tell.detail = "not the owner";
    return tell;
}

} // namespace

asio::awaitable<wire::WantTellT> answerWant(Node &node, IoThread &thread, const wire::WantAskT &ask)
{
    const CellPtr cell = ownedCell(node, {ask.cell});
    const Millis until = now(node) + Millis{ask.wait_ms};
    wire::WantTellT tell;
    while (true) {
        auto waiter = std::make_shared<Waiter>(thread.m_io);
        {
            if (!cell)
                co_return notOwner();
            const std::lock_guard lock(cell->m_mutex);
            if (!cell->m_owned)
                co_return notOwner();
            noteDemand(node, *cell, ask);
            if (tellWant(node, *cell, ask, tell))
                co_return tell;
            cell->m_waiters.push_back(waiter);
            wakeLoop(*cell);
        }
        const Millis left = until - now(node);
        if (left <= Millis{} || !co_await waitFor(waiter, left))
            co_return tell;
    }
}

} // namespace apricot
