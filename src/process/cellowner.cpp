// The owner of a cell: takes it when it has no owner, plans, records, then orders. Names follow
// spec/cell.pml. All of it runs on the first I/O thread; homes' asks come on any.
#include "process/engineclient.h"
#include "process/log.h"
#include "process/platform.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cassert>

namespace apricot {

namespace {

using CellPtr = std::shared_ptr<OwnedCell>;

constexpr Millis supervisePeriod = {100};
constexpr Millis ownerlessGrace = {200}; // the best ranked host takes a cell after this...
constexpr Millis rankDelay = {1'500};    // ...the next one this much later, and so on
constexpr Millis planPeriod = {100};     // without anything to wake it
constexpr Millis reportPeriod = {400};
constexpr Millis reportTimeout = {1'000};
constexpr Millis reportLife = {3'000}; // then the engine counts as unreachable
constexpr Millis demandLife = {1'500}; // unless the home repeats it
constexpr Millis useLife = {5'000};    // of a home's word on what it has running
constexpr Millis refusalLife = {300};
constexpr Millis failureRest = {2'000};   // a server isn't tried again for a model
constexpr Millis writeDelay = {1'000};    // resolutions wait this long to share a write
constexpr Millis dispatchLimit = {2'000}; // an order decided longer ago isn't sent: we slept
constexpr Millis platformPause = {200};
constexpr Millis fatePeriod = {300};
constexpr Millis fateTimeout = {1'000};
constexpr Millis orderTimeoutBase = {30'000};
constexpr std::int64_t orderTimeoutLoads = 4; // plus this many expected load times
constexpr Millis adapterWait = {20};          // between looks for the adapter's model
constexpr double msPerSecond = 1'000;

std::string cellKey(const CellName &cell)
{
    return "cells/" + cell.m_text;
}

IoThread &ownThread(Node &node)
{
    return *node.m_threads.front();
}

PlatformClient clientOf(Node &node)
{
    return {node.m_settings.m_platform, node.m_settings.m_platformTimeout, &ownThread(node).m_http,
            &node.m_metrics};
}

CellPtr ownedCell(Node &node, const CellName &name)
{
    const std::lock_guard lock(node.m_cells.m_mutex);
    const auto found = node.m_cells.m_cells.find(name);
    return found == node.m_cells.m_cells.end() ? nullptr : found->second;
}

void wakeLoop(OwnedCell &cell)
{
    if (cell.m_loop)
        wake(cell.m_loop);
}

void wakeAsks(OwnedCell &cell)
{
    for (const WaiterPtr &waiter : cell.m_waiters)
        wake(waiter);
    cell.m_waiters.clear();
}

// --- the order table ---

/// The order is in the record and about to go out, unless a new owner was told otherwise.
void noteDecided(Node &node, OrderId order)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    const auto [entry, added] = node.m_orders.m_orders.try_emplace(order.m_number);
    if (added)
        entry->second.m_progress = OrderProgress::Decided;
}

/// True if the order may go out now; from then on it counts as sent.
bool beginSend(Node &node, OrderId order)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    OrderState &state = node.m_orders.m_orders[order.m_number];
    if (state.m_progress != OrderProgress::Decided)
        return false;
    state.m_progress = OrderProgress::Sent;
    return true;
}

void setOrder(Node &node, OrderId order, const OrderState &state)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    node.m_orders.m_orders[order.m_number] = state;
}

std::uint64_t reserveOrderNumbers(Node &node, std::uint64_t count)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    const std::uint64_t first = node.m_orders.m_next;
    node.m_orders.m_next += count;
    return first;
}

/// What a copy sent, or not, by this run amounts to now.
ForeignFate ownFate(Node &node, std::uint64_t number)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    const OrderState &state = node.m_orders.m_orders[number]; // unknown: NeverSent from now on
    switch (state.m_progress) {
    case OrderProgress::NeverSent:
        return {true, EngineSays::Nothing};
    case OrderProgress::Decided:
    case OrderProgress::Sent:
        return {false, EngineSays::Nothing};
    case OrderProgress::Answered:
        return {true, state.m_says};
    case OrderProgress::Broken:
        return {now(node) - state.m_brokenAt >= node.m_settings.m_orderDrain, EngineSays::Nothing};
    }
    return {};
}

/// Told to a new owner: an order that hasn't gone out yet never will.
void forbidUnsent(Node &node, std::uint64_t number)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    OrderState &state = node.m_orders.m_orders[number];
    if (state.m_progress == OrderProgress::Decided)
        state.m_progress = OrderProgress::NeverSent;
}

// --- resolving what is in doubt ---

/// The fate of a copy as known here; unresolved if nothing proves anything.
ForeignFate fateOf(Node &node, OwnedCell &cell, const Slot &slot, const OrderCopy &copy)
{
    if (copy.m_id.m_sender == node.m_incarnation)
        return ownFate(node, copy.m_id.m_number);
    const auto told = cell.m_fates.find(copy.m_id);
    if (told != cell.m_fates.end() && told->second.m_resolved)
        return told->second;
    const auto engine = cell.m_engines.find(slot.m_server);
    if (engine != cell.m_engines.end() && engine->second.m_fencedAt > copy.m_epoch)
        return {true, EngineSays::Nothing};
    const auto gone = cell.m_goneSince.find(copy.m_id.m_sender);
    const bool drained = gone != cell.m_goneSince.end()
        && now(node) - gone->second >= node.m_settings.m_orderDrain;
    return {drained, EngineSays::Nothing};
}

struct ResolvedCopy
{
    OrderId m_order;
    EngineSays m_says = EngineSays::Nothing;
};

void noteUnwritten(Node &node, OwnedCell &cell)
{
    if (!cell.m_unwritten)
        cell.m_unwrittenSince = now(node);
    cell.m_unwritten = true;
}

/// resolveCopies: takes off every copy whose fate is known.
bool resolveCopies(Node &node, OwnedCell &cell)
{
    std::vector<ResolvedCopy> resolved;
    for (const Slot &slot : cell.m_record.m_slots) {
        for (const OrderCopy &copy : slot.m_copies) {
            const ForeignFate fate = fateOf(node, cell, slot, copy);
            if (!fate.m_resolved)
                continue;
            resolved.push_back({copy.m_id, fate.m_says});
            cell.m_changedAt[slot.m_id] = now(node);
            cell.m_stopping.erase(slot.m_id);
        }
    }
    for (const ResolvedCopy &copy : resolved)
        resolveCopy(cell.m_record, copy.m_order, copy.m_says);
    if (!resolved.empty())
        noteUnwritten(node, cell);
    return !resolved.empty();
}

const EngineEntry *entryOf(const OwnedCell &cell, const Slot &slot)
{
    const auto engine = cell.m_engines.find(slot.m_server);
    if (engine == cell.m_engines.end() || !engine->second.m_report.m_reachable)
        return nullptr;
    for (const EngineEntry &entry : engine->second.m_entries) {
        if (entry.m_model == slot.m_model && entry.m_adapter == slot.m_adapter)
            return &entry;
    }
    return nullptr;
}

/// What an engine says of a slot, in a report asked for after the slot last changed.
EngineSays latestWord(const OwnedCell &cell, const Slot &slot)
{
    const auto engine = cell.m_engines.find(slot.m_server);
    if (engine == cell.m_engines.end() || !engine->second.m_report.m_reachable)
        return EngineSays::Nothing;
    const auto changed = cell.m_changedAt.find(slot.m_id);
    if (changed != cell.m_changedAt.end() && engine->second.m_asked <= changed->second)
        return EngineSays::Nothing;
    const EngineEntry *entry = entryOf(cell, slot);
    if (!entry)
        return EngineSays::Absent;
    return entry->m_ready ? EngineSays::Loaded : EngineSays::Nothing;
}

/// settleSlots: the engines' own word wins for what is loaded, once nothing is in doubt.
bool settleSlots(Node &node, OwnedCell &cell)
{
    bool changed = false;
    const std::vector<Slot> slots = cell.m_record.m_slots;
    for (const Slot &slot : slots) {
        if (!slot.m_copies.empty())
            continue;
        const EngineSays says = latestWord(cell, slot);
        const bool news = says == EngineSays::Absent
            || (says == EngineSays::Loaded && slot.m_phase != SlotPhase::Loaded);
        if (!news)
            continue;
        settleSlot(cell.m_record, slot.m_id, says);
        cell.m_stopping.erase(slot.m_id);
        changed = true;
        logEvent("settled",
                 {{"cell", cell.m_cell.m_text},
                  {"slot", std::to_string(slot.m_id)},
                  {"model", slot.m_model.m_text},
                  {"adapter", slot.m_adapter.m_text},
                  {"server", slot.m_server.m_text},
                  {"engine_says", says == EngineSays::Loaded ? "loaded" : "absent"}});
    }
    if (changed)
        noteUnwritten(node, cell);
    return changed;
}

// --- planning input ---

void dropOldDemands(OwnedCell &cell, Millis time)
{
    for (auto &[key, homes] : cell.m_demands) {
        std::erase_if(homes,
                      [&](const auto &entry) { return time - entry.second.m_heard > demandLife; });
    }
    std::erase_if(cell.m_demands, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(cell.m_refusals, [&](const auto &entry) {
        return time - cell.m_refusedAt[entry.first] > refusalLife;
    });
    std::erase_if(cell.m_failures,
                  [&](const FailedLoad &failed) { return failed.m_avoidUntil <= time; });
}

Demand joinDemands(const std::map<HostName, HomeDemand> &homes)
{
    Demand joined = homes.begin()->second.m_demand;
    joined.m_waiting = 0;
    for (const auto &[host, home] : homes) {
        joined.m_waiting += home.m_demand.m_waiting;
        joined.m_urgency = std::min(joined.m_urgency, home.m_demand.m_urgency);
        joined.m_firstAsked = std::min(joined.m_firstAsked, home.m_demand.m_firstAsked);
        joined.m_lastDeadline = std::max(joined.m_lastDeadline, home.m_demand.m_lastDeadline);
    }
    return joined;
}

std::vector<SlotUse> usesOf(const OwnedCell &cell, Millis time)
{
    std::vector<SlotUse> uses;
    for (const Slot &slot : cell.m_record.m_slots) {
        SlotUse use;
        use.m_slot = slot.m_id;
        const auto last = cell.m_lastUsed.find(slot.m_id);
        if (last != cell.m_lastUsed.end())
            use.m_lastUsed = last->second;
        const auto active = cell.m_active.find(slot.m_id);
        if (active != cell.m_active.end()) {
            for (const auto &[home, homeUse] : active->second) {
                if (time - homeUse.m_heard <= useLife)
                    use.m_active += homeUse.m_active;
            }
        }
        const EngineEntry *entry = entryOf(cell, slot);
        if (entry)
            use.m_active = std::max(use.m_active, entry->m_running);
        uses.push_back(use);
    }
    return uses;
}

void refillTokens(OwnedCell &cell, const StoreLimits &store, Millis time)
{
    const double elapsed = static_cast<double>((time - cell.m_tokensAt).m_count) / msPerSecond;
    const double most = std::max(1.0, store.m_loadsPerSecond);
    cell.m_loadTokens = std::min(most, cell.m_loadTokens + elapsed * store.m_loadsPerSecond);
    cell.m_tokensAt = time;
}

PlanInput planInput(Node &node, OwnedCell &cell, const Configuration &configuration)
{
    const Millis time = now(node);
    dropOldDemands(cell, time);
    refillTokens(cell, configuration.m_store, time);
    PlanInput input;
    input.m_configuration = &configuration;
    input.m_record = &cell.m_record;
    for (const auto &[key, homes] : cell.m_demands)
        input.m_demands.push_back(joinDemands(homes));
    const MachineList machines = machinesOf(node);
    for (auto &[server, view] : cell.m_engines) {
        view.m_report.m_reachable = view.m_report.m_reachable && time - view.m_asked <= reportLife;
        view.m_report.m_leaving = stateOf(machines, server.m_text) != ListedState::Live;
        input.m_reports.push_back(view.m_report);
    }
    input.m_uses = usesOf(cell, time);
    input.m_failures = cell.m_failures;
    input.m_loadsInFlight = cell.m_loadsInFlight;
    input.m_loadTokens = cell.m_loadTokens;
    // Two orders for each demand and one unload for each slot at the most.
    const std::uint64_t most = 2 * input.m_demands.size() + 2 * cell.m_record.m_slots.size() + 1;
    input.m_firstOrder = {node.m_incarnation, reserveOrderNumbers(node, most)};
    return input;
}

// --- sending orders ---

bool modelReady(const OwnedCell &cell, const Slot &adapter, bool &hopeless)
{
    for (const Slot &slot : cell.m_record.m_slots) {
        const bool base = slot.m_server == adapter.m_server && slot.m_model == adapter.m_model
            && slot.m_adapter.m_text.empty();
        if (base)
            return slot.m_phase == SlotPhase::Loaded;
    }
    hopeless = true;
    return false;
}

/// An adapter's order waits for its model. False if the model won't come.
asio::awaitable<bool> waitForModel(Node &node, CellPtr cell, Slot adapter)
{
    while (!node.m_stopped) {
        bool hopeless = false;
        {
            const std::lock_guard lock(cell->m_mutex);
            if (!cell->m_owned)
                co_return false;
            if (modelReady(*cell, adapter, hopeless))
                co_return true;
        }
        if (hopeless)
            co_return false;
        co_await sleepFor(adapterWait);
    }
    co_return false;
}

Millis orderTimeout(Node &node, const ModelName &model)
{
    const auto configuration = configurationOf(node);
    const ModelSpec *spec = configuration ? findModel(*configuration, model) : nullptr;
    const Millis load = spec ? spec->m_loadTime : Millis{};
    return orderTimeoutBase + load * orderTimeoutLoads;
}

void noteLoadEnd(Node &node, OwnedCell &cell, const Slot &slot, const OrderReply &reply,
                 Millis began)
{
    const bool isModel = slot.m_adapter.m_text.empty();
    if (isModel)
        --cell.m_loadsInFlight;
    if (reply.m_says == EngineSays::Loaded) {
        cell.m_lastUsed[slot.m_id] = now(node);
        if (isModel)
            observe(node.m_metrics, Span::ColdStart, now(node) - began);
    } else {
        cell.m_failures.push_back({slot.m_model, slot.m_server, now(node) + failureRest});
    }
}

void finishOrder(Node &node, const CellPtr &cell, const EngineOrder &order, const OrderReply &reply,
                 Millis began)
{
    const bool load = std::string_view(order.m_kind) == "load";
    OrderState state;
    state.m_says = reply.m_says;
    state.m_brokenAt = now(node);
    if (reply.m_end == OrderEnd::Answered)
        state.m_progress = OrderProgress::Answered;
    if (reply.m_end == OrderEnd::Broken)
        state.m_progress = OrderProgress::Broken;
    setOrder(node, order.m_id, state);
    const bool done = reply.m_says == (load ? EngineSays::Loaded : EngineSays::Absent);
    countOrder(node.m_metrics, load ? OrderKind::Load : OrderKind::Unload, done);
    logEvent("order_end",
             {{"cell", cell->m_cell.m_text},
              {"kind", order.m_kind},
              {"order", std::to_string(order.m_id.m_number)},
              {"model", order.m_slot.m_model.m_text},
              {"adapter", order.m_slot.m_adapter.m_text},
              {"server", order.m_slot.m_server.m_text},
              {"done", done ? "yes" : "no"},
              {"broken", reply.m_end == OrderEnd::Broken ? "yes" : "no"},
              {"detail", reply.m_detail},
              {"ms", std::to_string((now(node) - began).m_count)}});
    const std::lock_guard lock(cell->m_mutex);
    if (load)
        noteLoadEnd(node, *cell, order.m_slot, reply, began);
    if (!cell->m_owned)
        return;
    resolveCopies(node, *cell);
    wakeAsks(*cell);
    wakeLoop(*cell);
}

/// sendOrder: the order is in the platform's record by now. It is not sent if this process slept
/// since, or if a new owner was told that it never will be.
asio::awaitable<void> sendOrder(Node &node, CellPtr cell, EngineOrder order, Endpoint engine,
                                Millis decided)
{
    const bool adapterLoad
        = std::string_view(order.m_kind) == "load" && !order.m_slot.m_adapter.m_text.empty();
    OrderReply reply;
    reply.m_detail = "not sent";
    bool mayGo = !adapterLoad || co_await waitForModel(node, cell, order.m_slot);
    if (!adapterLoad)
        mayGo = now(node) - decided < dispatchLimit;
    if (mayGo && beginSend(node, order.m_id)) {
        const Millis timeout = orderTimeout(node, order.m_slot.m_model);
        reply = co_await sendEngineOrder(ownThread(node).m_http, engine, order, timeout);
    }
    finishOrder(node, cell, order, reply, decided);
}

void logLoad(const CellPtr &cell, const PlannedLoad &load)
{
    logEvent("decide_load",
             {{"cell", cell->m_cell.m_text},
              {"model", load.m_request.m_model.m_text},
              {"adapter", load.m_request.m_adapter.m_text},
              {"server", load.m_request.m_server.m_text},
              {"accelerator", std::to_string(load.m_request.m_accelerator)},
              {"order", std::to_string(load.m_request.m_order.m_number)},
              {"why", load.m_reason}});
}

std::optional<Slot> slotWithOrder(const CellRecord &record, OrderId order)
{
    for (const Slot &slot : record.m_slots) {
        for (const OrderCopy &copy : slot.m_copies) {
            if (copy.m_id == order)
                return slot;
        }
    }
    return {};
}

void dispatch(Node &node, const CellPtr &cell, const char *kind, OrderId id, Millis decided)
{
    const auto configuration = configurationOf(node);
    const auto slot = slotWithOrder(cell->m_record, id);
    const ServerSpec *server = slot ? findServer(*configuration, slot->m_server) : nullptr;
    if (!server)
        return; // the server is no longer published: the order stays unsent
    const EngineOrder order = {kind, id, cell->m_record.m_epoch, *slot};
    noteDecided(node, id);
    cell->m_loadBegan[slot->m_id] = decided;
    spawn(ownThread(node).m_io, sendOrder(node, cell, order, server->m_endpoint, decided));
}

void dispatchAll(Node &node, const CellPtr &cell, const Plan &plan, Millis decided)
{
    for (const PlannedLoad &load : plan.m_loads) {
        logLoad(cell, load);
        if (load.m_request.m_adapter.m_text.empty()) {
            ++cell->m_loadsInFlight;
            cell->m_loadTokens -= 1;
        }
        dispatch(node, cell, "load", load.m_request.m_order, decided);
    }
    for (const PlannedUnload &unload : plan.m_unloads) {
        logEvent("decide_unload",
                 {{"cell", cell->m_cell.m_text},
                  {"slot", std::to_string(unload.m_slot)},
                  {"order", std::to_string(unload.m_order.m_number)},
                  {"why", unload.m_reason}});
        dispatch(node, cell, "unload", unload.m_order, decided);
    }
}

// --- the record in the platform ---

void loseCell(const CellPtr &cell, const CellRecord &now)
{
    cell->m_owned = false;
    wakeAsks(*cell);
    logWarning("cell_lost",
               {{"cell", cell->m_cell.m_text},
                {"to", now.m_ownerHost.m_text},
                {"epoch", std::to_string(now.m_epoch.m_value)}});
}

enum class RecordWrite : std::uint8_t { Written, NotWritten, Lost };

/// After a conflict or a lost answer: what the platform has decides, by the update's id.
asio::awaitable<RecordWrite> rereadRecord(Node &node, CellPtr cell, std::uint64_t update)
{
    const auto read = co_await readObject(clientOf(node), cellKey(cell->m_cell), 0, {});
    if (!ok(read))
        co_return RecordWrite::Lost;
    const ObjectRead object = std::get<ObjectRead>(read);
    auto parsed = parseCellRecord(object.m_value);
    if (!ok(parsed))
        co_return RecordWrite::Lost;
    const CellRecord found = std::get<CellRecord>(std::move(parsed));
    const std::lock_guard lock(cell->m_mutex);
    if (found.m_owner != node.m_incarnation || found.m_epoch != cell->m_record.m_epoch) {
        loseCell(cell, found);
        co_return RecordWrite::NotWritten;
    }
    if (object.m_version == cell->m_version)
        co_return RecordWrite::NotWritten;
    // Our own update, this one or an earlier one whose answer was lost. Orders in it that were
    // not sent are resolved as such, by the order table.
    cell->m_version = object.m_version;
    cell->m_record = found;
    noteUnwritten(node, *cell);
    co_return found.m_lastUpdate == update ? RecordWrite::Written : RecordWrite::NotWritten;
}

/// writeRecord: the conditional update that everything hangs on.
asio::awaitable<RecordWrite> writeRecord(Node &node, CellPtr cell, CellRecord next)
{
    next.m_lastUpdate = randomId();
    std::uint64_t over = 0;
    {
        const std::lock_guard lock(cell->m_mutex);
        over = cell->m_version;
    }
    const ObjectWrite write
        = co_await writeObject(clientOf(node), cellKey(cell->m_cell), writeCellRecord(next), over);
    if (write.m_outcome == WriteOutcome::Refused)
        co_return RecordWrite::Lost;
    if (write.m_outcome != WriteOutcome::Written)
        co_return co_await rereadRecord(node, cell, next.m_lastUpdate);
    const std::lock_guard lock(cell->m_mutex);
    cell->m_version = write.m_version;
    cell->m_record = std::move(next);
    cell->m_unwritten = false;
    co_return RecordWrite::Written;
}

void storeRefusals(Node &node, OwnedCell &cell, const std::vector<Refusal> &refusals)
{
    for (const Refusal &refusal : refusals) {
        const DemandKey key = {refusal.m_model, refusal.m_adapter};
        cell.m_refusals[key] = refusal;
        cell.m_refusedAt[key] = now(node);
    }
    if (!refusals.empty())
        wakeAsks(cell);
}

void refuseAll(Node &node, OwnedCell &cell, const Plan &plan)
{
    std::vector<Refusal> refusals;
    for (const PlannedLoad &load : plan.m_loads)
        refusals.push_back({load.m_request.m_model, load.m_request.m_adapter,
                            makeFailure(ErrorKind::PlatformUnavailable,
                                        "the load can't be recorded", platformPause * 5)});
    storeRefusals(node, cell, refusals);
}

/// Adds the time since the last round for each loaded model that had no request.
void countIdle(Node &node, OwnedCell &cell, const std::vector<SlotUse> &uses, Millis time)
{
    const Millis elapsed = time - cell.m_idleCounted;
    const bool firstRound = cell.m_idleCounted == Millis{};
    cell.m_idleCounted = time;
    for (std::size_t i = 0; i < uses.size() && !firstRound; ++i) {
        const Slot &slot = cell.m_record.m_slots[i];
        const bool idle = uses[i].m_active == 0 && slot.m_phase == SlotPhase::Loaded;
        if (idle && slot.m_adapter.m_text.empty())
            addIdleTime(node.m_metrics, elapsed);
    }
}

/// One round: resolve, plan, record, order.
asio::awaitable<void> planOnce(Node &node, CellPtr cell)
{
    const auto configuration = configurationOf(node);
    if (!configuration)
        co_return;
    Plan plan;
    bool write = false;
    const Millis began = now(node);
    {
        const std::lock_guard lock(cell->m_mutex);
        const bool resolved = resolveCopies(node, *cell);
        const bool settled = settleSlots(node, *cell);
        if (resolved || settled)
            wakeAsks(*cell);
        const PlanInput input = planInput(node, *cell, *configuration);
        countIdle(node, *cell, input.m_uses, began);
        plan = planCell(input, began);
        if (cell->m_handingOver)
            plan = Plan{cell->m_record, {}, {}, {}};
        for (const PlannedUnload &unload : plan.m_unloads)
            cell->m_stopping.insert(unload.m_slot);
        storeRefusals(node, *cell, plan.m_refusals);
        const bool late = cell->m_unwritten && began - cell->m_unwrittenSince >= writeDelay;
        write = late || !plan.m_loads.empty() || !plan.m_unloads.empty();
    }
    if (!write)
        co_return;
    const RecordWrite outcome = co_await writeRecord(node, cell, plan.m_next);
    const std::lock_guard lock(cell->m_mutex);
    cell->m_platformAway = outcome == RecordWrite::Lost;
    if (outcome == RecordWrite::Written)
        dispatchAll(node, cell, plan, began);
    else
        refuseAll(node, *cell, plan);
    if (outcome != RecordWrite::Written) {
        for (const PlannedUnload &unload : plan.m_unloads)
            cell->m_stopping.erase(unload.m_slot);
    }
}

bool stillOwned(const CellPtr &cell)
{
    const std::lock_guard lock(cell->m_mutex);
    return cell->m_owned;
}

asio::awaitable<void> planLoop(Node &node, CellPtr cell)
{
    while (!node.m_stopped && stillOwned(cell)) {
        auto waiter = std::make_shared<Waiter>(ownThread(node).m_io);
        {
            const std::lock_guard lock(cell->m_mutex);
            cell->m_loop = waiter;
        }
        co_await planOnce(node, cell);
        const bool away = cell->m_platformAway;
        co_await waitFor(waiter, away ? platformPause : planPeriod);
    }
}

// --- what the engines and earlier owners say ---

asio::awaitable<void> reportOnce(Node &node, CellPtr cell, ServerSpec server)
{
    const Millis asked = now(node);
    auto view = co_await fetchReport(ownThread(node).m_http, server, asked, reportTimeout);
    const std::lock_guard lock(cell->m_mutex);
    EngineView &known = cell->m_engines[server.m_name];
    if (!view) {
        known.m_report.m_server = server.m_name;
        known.m_report.m_reachable = false;
        co_return;
    }
    view->m_fencedAt = known.m_fencedAt;
    const bool firstReport = known.m_asked == Millis{};
    known = *view;
    if (firstReport)
        wakeLoop(*cell);
}

bool owesFence(const OwnedCell &cell, const ServerSpec &server)
{
    const auto engine = cell.m_engines.find(server.m_name);
    const Epoch known = engine == cell.m_engines.end() ? Epoch{} : engine->second.m_fencedAt;
    return server.m_checksFence && known < cell.m_record.m_epoch;
}

/// raiseFence: an engine that checks will take no order of an earlier owner after this.
asio::awaitable<void> raiseFence(Node &node, CellPtr cell, ServerSpec server)
{
    EngineOrder order;
    {
        const std::lock_guard lock(cell->m_mutex);
        if (!owesFence(*cell, server))
            co_return;
        order.m_epoch = cell->m_record.m_epoch;
    }
    const OrderReply reply
        = co_await sendEngineOrder(ownThread(node).m_http, server.m_endpoint, order, reportTimeout);
    const std::lock_guard lock(cell->m_mutex);
    if (reply.m_end == OrderEnd::Answered && !reply.m_fenced) {
        cell->m_engines[server.m_name].m_fencedAt = order.m_epoch;
        wakeLoop(*cell);
    }
}

asio::awaitable<void> watchServer(Node &node, CellPtr cell, ServerName name)
{
    while (!node.m_stopped && stillOwned(cell)) {
        const auto configuration = configurationOf(node);
        const ServerSpec *server = findServer(*configuration, name);
        if (!server || server->m_cell != cell->m_cell)
            break;
        const ServerSpec spec = *server;
        co_await raiseFence(node, cell, spec);
        co_await reportOnce(node, cell, spec);
        co_await sleepFor(reportPeriod);
    }
    const std::lock_guard lock(cell->m_mutex);
    cell->m_engines.erase(name);
}

/// Starts a watch for each server of the cell that has none.
asio::awaitable<void> watchServers(Node &node, CellPtr cell)
{
    while (!node.m_stopped && stillOwned(cell)) {
        const auto configuration = configurationOf(node);
        for (const ServerSpec &server : configuration->m_servers) {
            if (server.m_cell != cell->m_cell)
                continue;
            const std::lock_guard lock(cell->m_mutex);
            const auto [entry, added] = cell->m_engines.try_emplace(server.m_name);
            if (added)
                spawn(ownThread(node).m_io, watchServer(node, cell, server.m_name));
        }
        co_await sleepFor(reportPeriod);
    }
}

/// An earlier owner's run, and the orders of it that are in doubt.
struct FormerSender
{
    HostName m_host;
    Incarnation m_incarnation;
    std::vector<std::uint64_t> m_orders;
};

std::vector<FormerSender> formerSenders(Node &node, const CellPtr &cell)
{
    std::vector<FormerSender> senders;
    const std::lock_guard lock(cell->m_mutex);
    for (const Slot &slot : cell->m_record.m_slots) {
        for (const OrderCopy &copy : slot.m_copies) {
            if (copy.m_id.m_sender == node.m_incarnation)
                continue;
            auto known = std::find_if(senders.begin(), senders.end(), [&](const auto &sender) {
                return sender.m_incarnation == copy.m_id.m_sender;
            });
            if (known == senders.end())
                known = senders.insert(senders.end(), {copy.m_host, copy.m_id.m_sender, {}});
            known->m_orders.push_back(copy.m_id.m_number);
        }
    }
    return senders;
}

void noteGone(Node &node, const CellPtr &cell, const FormerSender &sender, const char *why)
{
    const std::lock_guard lock(cell->m_mutex);
    const bool added = cell->m_goneSince.try_emplace(sender.m_incarnation, now(node)).second;
    if (added)
        logEvent("sender_gone",
                 {{"cell", cell->m_cell.m_text},
                  {"of", sender.m_host.m_text},
                  {"incarnation", toHex(sender.m_incarnation.m_value)},
                  {"why", why}});
}

void noteFates(Node &node, const CellPtr &cell, const FormerSender &sender,
               const wire::FateTellT &tell)
{
    if (tell.incarnation != sender.m_incarnation.m_value) {
        noteGone(node, cell, sender, "restarted");
        return;
    }
    const std::lock_guard lock(cell->m_mutex);
    for (const auto &fate : tell.fates) {
        if (fate->resolved)
            cell->m_fates[{sender.m_incarnation, fate->order}]
                = {true, static_cast<EngineSays>(std::min<std::uint8_t>(fate->says, 2))};
    }
    wakeLoop(*cell);
}

asio::awaitable<void> askFate(Node &node, CellPtr cell, FormerSender sender)
{
    if (stateOf(machinesOf(node), sender.m_host.m_text) == ListedState::Gone) {
        noteGone(node, cell, sender, "listed_gone");
        co_return;
    }
    const auto member = memberOf(node, sender.m_host);
    if (!member)
        co_return;
    PeerPool &pool = ownThread(node).m_peers;
    if (co_await provesGone(pool, member->m_peer, fateTimeout)) {
        noteGone(node, cell, sender, "connection_refused");
        co_return;
    }
    wire::FateAskT ask;
    ask.cell = cell->m_cell.m_text;
    ask.incarnation = sender.m_incarnation.m_value;
    ask.orders = sender.m_orders;
    auto answer = co_await callPeer(pool, member->m_peer, makeFrame(std::move(ask)), fateTimeout);
    if (!ok(answer))
        co_return;
    const auto *tell = std::get<FramePtr>(answer)->body.AsFateTell();
    if (tell)
        noteFates(node, cell, sender, *tell);
}

asio::awaitable<void> fateLoop(Node &node, CellPtr cell)
{
    while (!node.m_stopped && stillOwned(cell)) {
        for (const FormerSender &sender : formerSenders(node, cell))
            co_await askFate(node, cell, sender);
        co_await sleepFor(fatePeriod);
    }
}

// --- becoming the owner ---

void announceClaim(Node &node, const CellRecord &record)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    mergeClaim(node.m_members.m_membership,
               {record.m_cell, record.m_epoch, record.m_ownerHost, record.m_owner});
}

void startOwning(Node &node, CellRecord record, std::uint64_t version, Epoch before)
{
    auto cell = std::make_shared<OwnedCell>();
    cell->m_cell = record.m_cell;
    cell->m_owned = true;
    cell->m_version = version;
    cell->m_tokensAt = now(node);
    for (const Slot &slot : record.m_slots) {
        cell->m_lastUsed[slot.m_id] = now(node);
        cell->m_changedAt[slot.m_id] = now(node);
    }
    logEvent("cell_taken",
             {{"cell", record.m_cell.m_text},
              {"epoch", std::to_string(record.m_epoch.m_value)},
              {"before", std::to_string(before.m_value)},
              {"slots", std::to_string(record.m_slots.size())}});
    announceClaim(node, record);
    cell->m_record = std::move(record);
    {
        const std::lock_guard lock(node.m_cells.m_mutex);
        node.m_cells.m_cells[cell->m_cell] = cell;
    }
    asio::io_context &io = ownThread(node).m_io;
    spawn(io, watchServers(node, cell));
    spawn(io, fateLoop(node, cell));
    spawn(io, planLoop(node, cell));
}

struct StoredRecord
{
    CellRecord m_record;
    std::uint64_t m_version = 0;
};

asio::awaitable<Result<StoredRecord>> readRecord(Node &node, CellName cell)
{
    const auto read = co_await readObject(clientOf(node), cellKey(cell), 0, {});
    if (!ok(read))
        co_return std::get<Failure>(read);
    const ObjectRead object = std::get<ObjectRead>(read);
    StoredRecord stored;
    stored.m_version = object.m_version;
    stored.m_record.m_cell = cell;
    if (object.m_version == 0)
        co_return stored;
    auto parsed = parseCellRecord(object.m_value);
    if (!ok(parsed))
        co_return std::get<Failure>(parsed);
    stored.m_record = std::get<CellRecord>(std::move(parsed));
    co_return stored;
}

bool answers(Node &node, const HostName &host, Incarnation incarnation)
{
    const auto member = memberOf(node, host);
    return member && member->m_incarnation == incarnation && member->m_liveness != Liveness::Dead
        && !member->m_leaving;
}

bool hasOwner(Node &node, const CellName &cell)
{
    CellClaim claim;
    {
        const std::lock_guard lock(node.m_members.m_mutex);
        claim = node.m_members.m_membership.m_claims[cell];
    }
    return claim.m_epoch.m_value > 0 && answers(node, claim.m_host, claim.m_owner);
}

std::size_t rankFor(Node &node, const CellName &cell)
{
    const std::vector<Member> ranked = rankMembers(liveMembersOf(node), "cell:" + cell.m_text);
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        if (ranked[i].m_host == node.m_settings.m_host)
            return i;
    }
    return ranked.size();
}

/// Ours to take now: nobody owned it for as long as our rank asks.
bool isDue(Node &node, const CellName &cell)
{
    const bool owned = hasOwner(node, cell);
    const std::size_t rank = owned ? 0 : rankFor(node, cell);
    const std::lock_guard lock(node.m_cells.m_mutex);
    if (owned) {
        node.m_cells.m_ownerlessSince.erase(cell);
        return false;
    }
    const auto since = node.m_cells.m_ownerlessSince.try_emplace(cell, now(node)).first->second;
    const Millis wait = ownerlessGrace + rankDelay * static_cast<std::int64_t>(rank);
    return now(node) - since >= wait;
}

} // namespace

asio::awaitable<void> takeCell(Node &node, CellName name, bool handedOver)
{
    auto read = co_await readRecord(node, name);
    if (!ok(read))
        co_return;
    StoredRecord stored = std::get<StoredRecord>(std::move(read));
    const Epoch before = stored.m_record.m_epoch;
    if (!handedOver && before.m_value > 0
        && answers(node, stored.m_record.m_ownerHost, stored.m_record.m_owner)
        && stored.m_record.m_owner != node.m_incarnation) {
        announceClaim(node, stored.m_record); // it has an owner; we had not heard
        co_return;
    }
    CellRecord next = stored.m_record;
    takeOver(next, node.m_settings.m_host, node.m_incarnation);
    next.m_lastUpdate = randomId();
    ObjectWrite write = co_await writeObject(clientOf(node), cellKey(name), writeCellRecord(next),
                                             stored.m_version);
    if (write.m_outcome == WriteOutcome::Lost) {
        const auto again = co_await readRecord(node, name);
        if (!ok(again) || std::get<StoredRecord>(again).m_record.m_lastUpdate != next.m_lastUpdate)
            co_return;
        write = {WriteOutcome::Written, std::get<StoredRecord>(again).m_version};
    }
    if (write.m_outcome == WriteOutcome::Written)
        startOwning(node, std::move(next), write.m_version, before);
}

asio::awaitable<void> runCells(Node &node)
{
    while (!node.m_stopped) {
        const auto configuration = configurationOf(node);
        const std::vector<CellName> cells = configuration && node.m_seedsHeard
            ? cellsOf(*configuration)
            : std::vector<CellName>();
        for (const CellName &cell : cells) {
            const CellPtr owned = ownedCell(node, cell);
            const bool ours = owned && stillOwned(owned);
            if (!ours && !node.m_stopping && isDue(node, cell))
                co_await takeCell(node, cell, false);
        }
        co_await sleepFor(supervisePeriod);
    }
}

// --- homes' asks ---

namespace {

void noteDemand(Node &node, OwnedCell &cell, const wire::WantAskT &ask)
{
    const DemandKey key = {{ask.model}, {ask.adapter}};
    const HostName home = {ask.host};
    const Millis time = now(node);
    for (const auto &use : ask.uses) {
        cell.m_active[use->slot][ask.host + "/" + ask.adapter] = {use->active, time};
        if (use->active > 0)
            cell.m_lastUsed[use->slot] = time;
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
        const ServerSpec *server = findServer(*configuration, slot.m_server);
        const bool leaving = !server || server->m_leaving
            || stateOf(machines, slot.m_server.m_text) != ListedState::Live;
        if (leaving)
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

wire::FateTellT answerFate(Node &node, const wire::FateAskT &ask)
{
    wire::FateTellT tell;
    tell.incarnation = node.m_incarnation.m_value;
    if (ask.incarnation != node.m_incarnation.m_value)
        return tell;
    for (const std::uint64_t order : ask.orders) {
        forbidUnsent(node, order);
        const ForeignFate fate = ownFate(node, order);
        auto entry = std::make_unique<wire::FateEntryT>();
        entry->order = order;
        entry->resolved = fate.m_resolved;
        entry->says = static_cast<std::uint8_t>(fate.m_says);
        tell.fates.push_back(std::move(entry));
    }
    return tell;
}

asio::awaitable<void> handOverCells(Node &node)
{
    std::vector<CellPtr> cells;
    {
        const std::lock_guard lock(node.m_cells.m_mutex);
        for (const auto &[name, cell] : node.m_cells.m_cells)
            cells.push_back(cell);
    }
    for (const CellPtr &cell : cells) {
        wire::HandOverT message;
        {
            const std::lock_guard lock(cell->m_mutex);
            if (!cell->m_owned)
                continue;
            cell->m_handingOver = true;
            message.cell = cell->m_cell.m_text;
            message.epoch = cell->m_record.m_epoch.m_value;
        }
        std::vector<Member> successors = liveMembersOf(node);
        std::erase_if(successors, [&](const Member &member) {
            return member.m_host == node.m_settings.m_host;
        });
        successors = rankMembers(successors, "cell:" + message.cell);
        if (successors.empty())
            continue;
        logEvent("hand_over", {{"cell", message.cell}, {"to", successors.front().m_host.m_text}});
        co_await callPeer(ownThread(node).m_peers, successors.front().m_peer,
                          makeFrame(std::move(message)), fateTimeout);
    }
}

} // namespace apricot
