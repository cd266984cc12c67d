// The owner of a cell: plans, records, then orders.
#include "process/celldriver.h"
#include "process/log.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis planPeriod = {100};   // without anything to wake it
constexpr Millis reportLife = {3'000}; // then the engine counts as unreachable
constexpr Millis demandLife = {1'500}; // unless the home repeats it
constexpr Millis useLife = {5'000};    // of a home's word on what it has running
constexpr Millis refusalLife = {300};
constexpr Millis failureRest = {2'000};   // a server isn't tried again for a model
constexpr Millis writeDelay = {1'000};    // resolutions wait this long to share a write
constexpr Millis dispatchLimit = {2'000}; // an order decided longer ago isn't sent: we slept
constexpr Millis platformPause = {200};
constexpr Millis orderTimeoutBase = {30'000};
constexpr std::int64_t orderTimeoutLoads = 4; // plus this many expected load times
constexpr Millis adapterWait = {20};          // between looks for the adapter's model
constexpr double msPerSecond = 1'000;

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
        view.m_report.m_leaving = isLeaving(findServer(configuration, server), machines);
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
    const auto read = co_await readObject(platformOf(node), cellKey(cell->m_cell), 0, {});
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
    const ObjectWrite write = co_await writeObject(platformOf(node), cellKey(cell->m_cell),
                                                   writeCellRecord(next), over);
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

} // namespace

std::string cellKey(const CellName &cell)
{
    return "cells/" + cell.m_text;
}

IoThread &ownThread(Node &node)
{
    return *node.m_threads.front();
}

PlatformClient platformOf(Node &node)
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

} // namespace apricot
