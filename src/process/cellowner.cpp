// The planning loop of a cell's owner: plans loads and unloads, writes them to the cell's record in
// the platform, and then sends the orders.
#include "process/celldriver.h"
#include "process/log.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis planPeriod = {100};        // time between planning rounds, unless woken earlier
constexpr Millis reportMaxAge = {3'000};    // an engine with an older report counts as unreachable
constexpr Millis demandMaxAge = {1'500};    // homes repeat a demand while callers wait
constexpr Millis useReportMaxAge = {5'000}; // then a home's count of running requests is ignored
constexpr Millis refusalMaxAge = {300};     // time for which a refusal is given to homes
constexpr Millis failedLoadBackoff = {2'000};    // until the server is tried for the model again
constexpr Millis resolutionWriteDelay = {1'000}; // lets several resolved attempts share a write
constexpr Millis maxDispatchDelay = {2'000}; // older orders aren't sent: this process was paused
constexpr Millis platformRetryDelay = {200};
constexpr Millis orderTimeoutBase = {30'000};
constexpr std::int64_t orderTimeoutLoadTimes = 4; // expected load times added to the base
constexpr Millis baseModelPollPeriod = {20};      // while an adapter's order waits for its model
constexpr double msPerSecond = 1'000;

void dropExpiredEntries(OwnedCell &cell, Millis time)
{
    for (auto &[key, homes] : cell.m_demands) {
        std::erase_if(homes, [&](const auto &entry) {
            return time - entry.second.m_receivedAt > demandMaxAge;
        });
    }
    std::erase_if(cell.m_demands, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(cell.m_refusals, [&](const auto &entry) {
        return time - cell.m_refusedAt[entry.first] > refusalMaxAge;
    });
    std::erase_if(cell.m_failures,
                  [&](const FailedLoad &failed) { return failed.m_avoidUntil <= time; });
}

Demand mergeDemands(const std::map<HostName, HomeDemand> &homes)
{
    Demand joined = homes.begin()->second.m_demand;
    joined.m_waiting = 0;
    for (const auto &[host, home] : homes) {
        joined.m_waiting += home.m_demand.m_waiting;
        joined.m_urgency = std::min(joined.m_urgency, home.m_demand.m_urgency);
        joined.m_waitingSince = std::min(joined.m_waitingSince, home.m_demand.m_waitingSince);
        joined.m_latestDeadline = std::max(joined.m_latestDeadline, home.m_demand.m_latestDeadline);
    }
    return joined;
}

/// Use of each slot, in the order of the record. Running requests are the larger of the homes' sum
/// and the engine's own count, since either may lag.
std::vector<SlotUse> slotUsesOf(const OwnedCell &cell, Millis time)
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
                if (time - homeUse.m_receivedAt <= useReportMaxAge)
                    use.m_active += homeUse.m_active;
            }
        }
        const EngineEntry *entry = engineEntryOf(cell, slot);
        if (entry)
            use.m_active = std::max(use.m_active, entry->m_running);
        uses.push_back(use);
    }
    return uses;
}

/// Token bucket that limits load starts to the rate of the weight store.
void refillLoadTokens(OwnedCell &cell, const StoreLimits &store, Millis time)
{
    const double elapsed
        = static_cast<double>((time - cell.m_tokensUpdatedAt).m_count) / msPerSecond;
    const double maxTokens = std::max(1.0, store.m_loadsPerSecond);
    cell.m_loadTokens = std::min(maxTokens, cell.m_loadTokens + elapsed * store.m_loadsPerSecond);
    cell.m_tokensUpdatedAt = time;
}

PlanInput planInput(Node &node, OwnedCell &cell, const Configuration &configuration)
{
    const Millis time = now(node);
    dropExpiredEntries(cell, time);
    refillLoadTokens(cell, configuration.m_store, time);
    PlanInput input;
    input.m_configuration = &configuration;
    input.m_record = &cell.m_record;
    for (const auto &[key, homes] : cell.m_demands)
        input.m_demands.push_back(mergeDemands(homes));
    const MachineList machines = machinesOf(node);
    for (auto &[server, view] : cell.m_engines) {
        view.m_report.m_reachable
            = view.m_report.m_reachable && time - view.m_requestedAt <= reportMaxAge;
        view.m_report.m_leaving = isLeaving(findServer(configuration, server), machines);
        input.m_reports.push_back(view.m_report);
    }
    input.m_uses = slotUsesOf(cell, time);
    input.m_failures = cell.m_failures;
    input.m_loadsInFlight = cell.m_loadsInFlight;
    input.m_loadTokens = cell.m_loadTokens;
    // Reserves two orders for each demand (its model and its adapter) and at least one unload for
    // each slot. Numbers that the plan doesn't use are skipped.
    const std::uint64_t orderCount
        = 2 * input.m_demands.size() + 2 * cell.m_record.m_slots.size() + 1;
    input.m_firstOrder = {node.m_incarnation, reserveOrderNumbers(node, orderCount)};
    return input;
}

// --- sending orders ---

/// True if the model of an adapter's slot is loaded on the adapter's server. Sets modelMissing if
/// the record has no slot for the model on that server.
bool isBaseModelLoaded(const OwnedCell &cell, const Slot &adapter, bool &modelMissing)
{
    for (const Slot &slot : cell.m_record.m_slots) {
        const bool isBase = slot.m_server == adapter.m_server && slot.m_model == adapter.m_model
            && slot.m_adapter.m_text.empty();
        if (isBase)
            return slot.m_phase == SlotPhase::Loaded;
    }
    modelMissing = true;
    return false;
}

/// Waits until the model of an adapter's slot is loaded. False if the cell is lost or the record
/// has no slot for the model on that server.
asio::awaitable<bool> waitForBaseModel(Node &node, CellPtr cell, Slot adapter)
{
    while (!node.m_stopped) {
        bool modelMissing = false;
        {
            const std::lock_guard lock(cell->m_mutex);
            if (!cell->m_owned)
                co_return false;
            if (isBaseModelLoaded(*cell, adapter, modelMissing))
                co_return true;
        }
        if (modelMissing)
            co_return false;
        co_await sleepFor(baseModelPollPeriod);
    }
    co_return false;
}

/// Time allowed for an engine to execute an order; the slower a model loads, the more.
Millis orderTimeout(Node &node, const ModelName &model)
{
    const auto configuration = configurationOf(node);
    const ModelSpec *spec = configuration ? findModel(*configuration, model) : nullptr;
    const Millis load = spec ? spec->m_loadTime : Millis{};
    return orderTimeoutBase + load * orderTimeoutLoadTimes;
}

/// Updates the load counter, and the slot's last use or the failed loads. A load that wasn't sent
/// or whose result is unknown also counts as failed.
void recordLoadResult(Node &node, OwnedCell &cell, const Slot &slot, const OrderReply &reply,
                      Millis began)
{
    const bool isModel = slot.m_adapter.m_text.empty();
    if (isModel)
        --cell.m_loadsInFlight;
    if (reply.m_reportedState == ReportedState::Loaded) {
        cell.m_lastUsed[slot.m_id] = now(node);
        if (isModel)
            observe(node.m_metrics, LatencyKind::ColdStart, now(node) - began);
    } else {
        cell.m_failures.push_back({slot.m_model, slot.m_server, now(node) + failedLoadBackoff});
    }
}

/// Stores the outcome of an order in the order table and the cell, and wakes the planning loop and
/// the waiting homes to act on it.
void finishOrder(Node &node, const CellPtr &cell, const EngineOrder &order, const OrderReply &reply,
                 Millis began)
{
    const bool load = std::string_view(order.m_kind) == "load";
    OrderState state;
    state.m_reportedState = reply.m_reportedState;
    state.m_brokenAt = now(node);
    if (reply.m_delivery == OrderDelivery::Answered)
        state.m_progress = OrderProgress::Answered;
    if (reply.m_delivery == OrderDelivery::Broken)
        state.m_progress = OrderProgress::Broken;
    setOrderState(node, order.m_id, state);
    const bool done
        = reply.m_reportedState == (load ? ReportedState::Loaded : ReportedState::Absent);
    countOrder(node.m_metrics, load ? OrderKind::Load : OrderKind::Unload, done);
    logEvent("order_end",
             {{"cell", cell->m_cell.m_text},
              {"kind", order.m_kind},
              {"order", std::to_string(order.m_id.m_number)},
              {"model", order.m_slot.m_model.m_text},
              {"adapter", order.m_slot.m_adapter.m_text},
              {"server", order.m_slot.m_server.m_text},
              {"done", done ? "yes" : "no"},
              {"broken", reply.m_delivery == OrderDelivery::Broken ? "yes" : "no"},
              {"detail", reply.m_detail},
              {"ms", std::to_string((now(node) - began).m_count)}});
    const std::lock_guard lock(cell->m_mutex);
    if (load)
        recordLoadResult(node, *cell, order.m_slot, reply, began);
    if (!cell->m_owned)
        return;
    resolveAttempts(node, *cell);
    wakeWaitingHomes(*cell);
    wakePlanLoop(*cell);
}

/// Sends an order that is in the platform's record. The order is not sent if it was cancelled
/// because a new owner requested its outcome, or if more than maxDispatchDelay passed since the
/// decision, for instance because the process was paused. The load of an adapter isn't bound by
/// that limit: it waits for its model to be loaded.
asio::awaitable<void> sendOrder(Node &node, CellPtr cell, EngineOrder order, Endpoint engine,
                                Millis decided)
{
    const bool adapterLoad
        = std::string_view(order.m_kind) == "load" && !order.m_slot.m_adapter.m_text.empty();
    OrderReply reply;
    reply.m_detail = "not sent: outdated, cancelled, or its model is not loaded";
    bool maySend = !adapterLoad || co_await waitForBaseModel(node, cell, order.m_slot);
    if (!adapterLoad)
        maySend = now(node) - decided < maxDispatchDelay;
    if (maySend && beginSend(node, order.m_id)) {
        const Millis timeout = orderTimeout(node, order.m_slot.m_model);
        reply = co_await sendEngineOrder(cellThread(node).m_http, engine, order, timeout);
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
        for (const OrderAttempt &attempt : slot.m_attempts) {
            if (attempt.m_id == order)
                return slot;
        }
    }
    return {};
}

/// Starts sending an order that was written to the record.
void dispatchOrder(Node &node, const CellPtr &cell, const char *kind, OrderId id, Millis decided)
{
    const auto configuration = configurationOf(node);
    const auto slot = slotWithOrder(cell->m_record, id);
    const ServerSpec *server = slot ? findServer(*configuration, slot->m_server) : nullptr;
    if (!server)
        return; // the server is no longer published, so the order is never sent
    const EngineOrder order = {kind, id, cell->m_record.m_epoch, *slot};
    recordDecided(node, id);
    cell->m_loadStartedAt[slot->m_id] = decided;
    spawn(cellThread(node).m_io, sendOrder(node, cell, order, server->m_endpoint, decided));
}

void dispatchPlan(Node &node, const CellPtr &cell, const Plan &plan, Millis decided)
{
    for (const PlannedLoad &load : plan.m_loads) {
        logLoad(cell, load);
        if (load.m_request.m_adapter.m_text.empty()) {
            ++cell->m_loadsInFlight;
            cell->m_loadTokens -= 1;
        }
        dispatchOrder(node, cell, "load", load.m_request.m_order, decided);
    }
    for (const PlannedUnload &unload : plan.m_unloads) {
        logEvent("decide_unload",
                 {{"cell", cell->m_cell.m_text},
                  {"slot", std::to_string(unload.m_slot)},
                  {"order", std::to_string(unload.m_order.m_number)},
                  {"why", unload.m_reason}});
        dispatchOrder(node, cell, "unload", unload.m_order, decided);
    }
}

// --- the record in the platform ---

/// Gives the cell up, since its stored record has another owner or epoch; the cell's loops end.
/// Call with the cell's lock held.
void markCellLost(const CellPtr &cell, const CellRecord &current)
{
    cell->m_owned = false;
    wakeWaitingHomes(*cell);
    logWarning("cell_lost",
               {{"cell", cell->m_cell.m_text},
                {"to", current.m_ownerHost.m_text},
                {"epoch", std::to_string(current.m_epoch.m_value)}});
}

/// Result of writing the record. Unavailable: the platform can't be reached, or an answer was lost
/// and re-reading failed, so the update may have been applied.
enum class RecordWrite : std::uint8_t { Written, NotWritten, Unavailable };

/// Re-reads the record after a conflict or a lost response, and gives the cell up if the record has
/// another owner or epoch. The id of the last update shows whether `update` was applied.
asio::awaitable<RecordWrite> rereadRecord(Node &node, CellPtr cell, std::uint64_t update)
{
    const auto read = co_await readObject(platformClientOf(node), cellKey(cell->m_cell), 0, {});
    if (!ok(read))
        co_return RecordWrite::Unavailable;
    const ObjectRead object = std::get<ObjectRead>(read);
    auto parsed = parseCellRecord(object.m_value);
    if (!ok(parsed))
        co_return RecordWrite::Unavailable;
    const CellRecord found = std::get<CellRecord>(std::move(parsed));
    const std::lock_guard lock(cell->m_mutex);
    if (found.m_owner != node.m_incarnation || found.m_epoch != cell->m_record.m_epoch) {
        markCellLost(cell, found);
        co_return RecordWrite::NotWritten;
    }
    if (object.m_version == cell->m_version)
        co_return RecordWrite::NotWritten;
    // The stored record has a newer version by the same owner and epoch: this update, or an earlier
    // one whose answer was lost. Orders of an earlier update were not sent, and ownOutcome()
    // resolves their attempts as never sent.
    cell->m_version = object.m_version;
    cell->m_record = found;
    markUnwritten(node, *cell);
    co_return found.m_lastUpdate == update ? RecordWrite::Written : RecordWrite::NotWritten;
}

/// Writes the record by an update that is conditional on the version last read or written. The
/// update fails if another host has taken the cell, so orders are sent only after it succeeded.
asio::awaitable<RecordWrite> writeRecord(Node &node, CellPtr cell, CellRecord next)
{
    next.m_lastUpdate = randomId();
    std::uint64_t overVersion = 0;
    {
        const std::lock_guard lock(cell->m_mutex);
        overVersion = cell->m_version;
    }
    const ObjectWrite write = co_await writeObject(platformClientOf(node), cellKey(cell->m_cell),
                                                   writeCellRecord(next), overVersion);
    if (write.m_outcome == WriteOutcome::Refused)
        co_return RecordWrite::Unavailable;
    if (write.m_outcome != WriteOutcome::Written)
        co_return co_await rereadRecord(node, cell, next.m_lastUpdate);
    const std::lock_guard lock(cell->m_mutex);
    cell->m_version = write.m_version;
    cell->m_record = std::move(next);
    cell->m_unwritten = false;
    co_return RecordWrite::Written;
}

/// Keeps the refusals for the homes whose demands can't be met, and wakes the waiting homes.
void storeRefusals(Node &node, OwnedCell &cell, const std::vector<Refusal> &refusals)
{
    for (const Refusal &refusal : refusals) {
        const DemandKey key = {refusal.m_model, refusal.m_adapter};
        cell.m_refusals[key] = refusal;
        cell.m_refusedAt[key] = now(node);
    }
    if (!refusals.empty())
        wakeWaitingHomes(cell);
}

/// Refuses the demands for which loads were planned, since the record wasn't written and the loads
/// can't be ordered.
void refuseUnrecordedLoads(Node &node, OwnedCell &cell, const Plan &plan)
{
    std::vector<Refusal> refusals;
    for (const PlannedLoad &load : plan.m_loads)
        refusals.push_back({load.m_request.m_model, load.m_request.m_adapter,
                            makeFailure(ErrorKind::PlatformUnavailable,
                                        "the cell's record can't be written to the platform",
                                        platformRetryDelay * 5)});
    storeRefusals(node, cell, refusals);
}

/// Adds the time since the last round to the idle time metric, for each loaded model that has no
/// running requests.
void countIdleTime(Node &node, OwnedCell &cell, const std::vector<SlotUse> &uses, Millis time)
{
    const Millis elapsed = time - cell.m_idleCountedUntil;
    const bool firstRound = cell.m_idleCountedUntil == Millis{};
    cell.m_idleCountedUntil = time;
    for (std::size_t i = 0; i < uses.size() && !firstRound; ++i) {
        const Slot &slot = cell.m_record.m_slots[i];
        const bool idle = uses[i].m_active == 0 && slot.m_phase == SlotPhase::Loaded;
        if (idle && slot.m_adapter.m_text.empty())
            addIdleTime(node.m_metrics, elapsed);
    }
}

/// One planning round: resolves order attempts, plans, writes the record, sends the orders. While
/// the cell is being handed over, no loads or unloads are planned.
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
        const bool resolved = resolveAttempts(node, *cell);
        const bool reconciled = reconcileSlots(node, *cell);
        if (resolved || reconciled)
            wakeWaitingHomes(*cell);
        const PlanInput input = planInput(node, *cell, *configuration);
        countIdleTime(node, *cell, input.m_uses, began);
        plan = planCell(input, began);
        if (cell->m_handingOver)
            plan = Plan{cell->m_record, {}, {}, {}};
        for (const PlannedUnload &unload : plan.m_unloads)
            cell->m_stopping.insert(unload.m_slot);
        storeRefusals(node, *cell, plan.m_refusals);
        const bool isWriteDue
            = cell->m_unwritten && began - cell->m_unwrittenSince >= resolutionWriteDelay;
        write = isWriteDue || !plan.m_loads.empty() || !plan.m_unloads.empty();
    }
    if (!write)
        co_return;
    const RecordWrite outcome = co_await writeRecord(node, cell, plan.m_next);
    const std::lock_guard lock(cell->m_mutex);
    cell->m_platformUnavailable = outcome == RecordWrite::Unavailable;
    if (outcome == RecordWrite::Written)
        dispatchPlan(node, cell, plan, began);
    else
        refuseUnrecordedLoads(node, *cell, plan);
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

IoThread &cellThread(Node &node)
{
    return *node.m_threads.front();
}

PlatformClient platformClientOf(Node &node)
{
    return {node.m_settings.m_platform, node.m_settings.m_platformTimeout, &cellThread(node).m_http,
            &node.m_metrics};
}

CellPtr ownedCell(Node &node, const CellName &name)
{
    const std::lock_guard lock(node.m_cells.m_mutex);
    const auto found = node.m_cells.m_cells.find(name);
    return found == node.m_cells.m_cells.end() ? nullptr : found->second;
}

void wakePlanLoop(OwnedCell &cell)
{
    if (cell.m_planWaiter)
        wake(cell.m_planWaiter);
}

void wakeWaitingHomes(OwnedCell &cell)
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
        auto waiter = std::make_shared<Waiter>(cellThread(node).m_io);
        {
            const std::lock_guard lock(cell->m_mutex);
            cell->m_planWaiter = waiter;
        }
        co_await planOnce(node, cell);
        const bool unavailable = cell->m_platformUnavailable;
        co_await waitFor(waiter, unavailable ? platformRetryDelay : planPeriod);
    }
}

} // namespace apricot
