// Resolves the order attempts in a cell's record, so that their memory can be used again, and
// reconciles the slots with the engines' reports. An attempt is resolved once it is certain that it
// can't change the engine any more: its sender has the answer or never sent it, the engine holds a
// newer fencing token, or the sender's process ended and its connections are drained.
#include "process/celldriver.h"
#include "process/log.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis reportPeriod = {400};
constexpr Millis reportTimeout = {1'000};
constexpr Millis outcomeRequestPeriod = {300};
constexpr Millis peerCallTimeout = {1'000};

/// The outcome of an attempt; unresolved unless there is proof that the attempt has ended.
OrderOutcome attemptOutcome(Node &node, OwnedCell &cell, const Slot &slot,
                            const OrderAttempt &attempt)
{
    if (attempt.m_id.m_sender == node.m_incarnation)
        return ownOutcome(node, attempt.m_id.m_number);
    const auto received = cell.m_orderOutcomes.find(attempt.m_id);
    if (received != cell.m_orderOutcomes.end() && received->second.m_resolved)
        return received->second;
    const auto engine = cell.m_engines.find(slot.m_server);
    if (engine != cell.m_engines.end() && engine->second.m_knownFencingToken > attempt.m_epoch)
        return {true, ReportedState::Nothing};
    const auto gone = cell.m_senderGoneSince.find(attempt.m_id.m_sender);
    const bool drained = gone != cell.m_senderGoneSince.end()
        && now(node) - gone->second >= node.m_settings.m_orderDrainTime;
    return {drained, ReportedState::Nothing};
}

struct ResolvedAttempt
{
    OrderId m_order;
    ReportedState m_reportedState = ReportedState::Nothing;
};

/// The state of a slot in the engine's last report; Nothing if that report was requested before the
/// slot last changed, since it may not show the change.
ReportedState reportedStateOf(const OwnedCell &cell, const Slot &slot)
{
    const auto engine = cell.m_engines.find(slot.m_server);
    if (engine == cell.m_engines.end() || !engine->second.m_report.m_reachable)
        return ReportedState::Nothing;
    const auto changed = cell.m_changedAt.find(slot.m_id);
    if (changed != cell.m_changedAt.end() && engine->second.m_requestedAt <= changed->second)
        return ReportedState::Nothing;
    const EngineEntry *entry = engineEntryOf(cell, slot);
    if (!entry)
        return ReportedState::Absent;
    return entry->m_ready ? ReportedState::Loaded : ReportedState::Nothing;
}

/// Fetches the report of one engine. Without a valid one the engine counts as unreachable.
asio::awaitable<void> pollReport(Node &node, CellPtr cell, ServerSpec server)
{
    const Millis requestedAt = now(node);
    auto view = co_await fetchReport(cellThread(node).m_http, server, requestedAt, reportTimeout);
    const std::lock_guard lock(cell->m_mutex);
    EngineView &known = cell->m_engines[server.m_name];
    if (!view) {
        known.m_report.m_server = server.m_name;
        known.m_report.m_reachable = false;
        co_return;
    }
    view->m_knownFencingToken = known.m_knownFencingToken;
    const bool firstReport = known.m_requestedAt == Millis{};
    known = *view;
    if (firstReport)
        wakePlanLoop(*cell);
}

bool needsFencingToken(const OwnedCell &cell, const ServerSpec &server)
{
    const auto engine = cell.m_engines.find(server.m_name);
    const Epoch known
        = engine == cell.m_engines.end() ? Epoch{} : engine->second.m_knownFencingToken;
    return server.m_checksFencingToken && known < cell.m_record.m_epoch;
}

/// Sends the cell's epoch as fencing token to an engine that checks tokens. The engine then refuses
/// all orders of earlier owners, so their attempts are resolved.
asio::awaitable<void> raiseFencingToken(Node &node, CellPtr cell, ServerSpec server)
{
    EngineOrder order;
    {
        const std::lock_guard lock(cell->m_mutex);
        if (!needsFencingToken(*cell, server))
            co_return;
        order.m_epoch = cell->m_record.m_epoch;
    }
    const OrderReply reply = co_await sendEngineOrder(cellThread(node).m_http, server.m_endpoint,
                                                      order, reportTimeout);
    const std::lock_guard lock(cell->m_mutex);
    if (reply.m_delivery == OrderDelivery::Answered && !reply.m_fenced) {
        cell->m_engines[server.m_name].m_knownFencingToken = order.m_epoch;
        wakePlanLoop(*cell);
    }
}

/// Polls one server until the cell is lost or the server is no longer published in the cell.
asio::awaitable<void> watchServer(Node &node, CellPtr cell, ServerName name)
{
    while (!node.m_stopped && stillOwned(cell)) {
        const auto configuration = configurationOf(node);
        const ServerSpec *server = findServer(*configuration, name);
        if (!server || server->m_cell != cell->m_cell)
            break;
        const ServerSpec spec = *server;
        co_await raiseFencingToken(node, cell, spec);
        co_await pollReport(node, cell, spec);
        co_await sleepFor(reportPeriod);
    }
    const std::lock_guard lock(cell->m_mutex);
    cell->m_engines.erase(name);
}

/// The process instance of an earlier owner, and its orders with unresolved attempts.
struct FormerSender
{
    HostName m_host;
    Incarnation m_incarnation;
    std::vector<std::uint64_t> m_orders;
};

/// The earlier owners, also former process instances of this host, that have unresolved attempts in
/// the record.
std::vector<FormerSender> formerSenders(Node &node, const CellPtr &cell)
{
    std::vector<FormerSender> senders;
    const std::lock_guard lock(cell->m_mutex);
    for (const Slot &slot : cell->m_record.m_slots) {
        for (const OrderAttempt &attempt : slot.m_attempts) {
            if (attempt.m_id.m_sender == node.m_incarnation)
                continue;
            auto known = std::find_if(senders.begin(), senders.end(), [&](const auto &sender) {
                return sender.m_incarnation == attempt.m_id.m_sender;
            });
            if (known == senders.end())
                known = senders.insert(senders.end(), {attempt.m_host, attempt.m_id.m_sender, {}});
            known->m_orders.push_back(attempt.m_id.m_number);
        }
    }
    return senders;
}

/// Notes that a sender's process has ended; its attempts are resolved m_orderDrainTime later.
void recordSenderGone(Node &node, const CellPtr &cell, const FormerSender &sender, const char *why)
{
    const std::lock_guard lock(cell->m_mutex);
    const bool added = cell->m_senderGoneSince.try_emplace(sender.m_incarnation, now(node)).second;
    if (added)
        logEvent("sender_gone",
                 {{"cell", cell->m_cell.m_text},
                  {"peer", sender.m_host.m_text},
                  {"incarnation", toHex(sender.m_incarnation.m_value)},
                  {"why", why}});
}

/// Stores the outcomes reported by the sender's host. If a later process of that host answered, the
/// sender's process has ended.
void recordOutcomes(Node &node, const CellPtr &cell, const FormerSender &sender,
                    const wire::FateTellT &answer)
{
    if (answer.incarnation != sender.m_incarnation.m_value) {
        recordSenderGone(node, cell, sender, "restarted");
        return;
    }
    const std::lock_guard lock(cell->m_mutex);
    for (const auto &entry : answer.fates) {
        if (entry->resolved)
            cell->m_orderOutcomes[{sender.m_incarnation, entry->order}]
                = {true, static_cast<ReportedState>(std::min<std::uint8_t>(entry->says, 2))};
    }
    wakePlanLoop(*cell);
}

/// Requests the outcomes of an earlier owner's orders from its host, or finds proof that the
/// earlier owner's process has ended: the platform lists the host as gone, the host refuses
/// connections, or its process has another incarnation.
asio::awaitable<void> requestOutcomes(Node &node, CellPtr cell, FormerSender sender)
{
    if (stateOf(machinesOf(node), sender.m_host.m_text) == ListedState::Gone) {
        recordSenderGone(node, cell, sender, "listed_gone");
        co_return;
    }
    const auto member = memberOf(node, sender.m_host);
    if (!member)
        co_return;
    PeerPool &pool = cellThread(node).m_peers;
    if (co_await refusesConnections(pool, member->m_peer, peerCallTimeout)) {
        recordSenderGone(node, cell, sender, "connection_refused");
        co_return;
    }
    wire::FateAskT request;
    request.cell = cell->m_cell.m_text;
    request.incarnation = sender.m_incarnation.m_value;
    request.orders = sender.m_orders;
    auto answer
        = co_await callPeer(pool, member->m_peer, makeFrame(std::move(request)), peerCallTimeout);
    if (!ok(answer))
        co_return;
    const auto *outcomes = std::get<FramePtr>(answer)->body.AsFateTell();
    if (outcomes)
        recordOutcomes(node, cell, sender, *outcomes);
}

} // namespace

void markUnwritten(Node &node, OwnedCell &cell)
{
    if (!cell.m_unwritten)
        cell.m_unwrittenSince = now(node);
    cell.m_unwritten = true;
}

const EngineEntry *engineEntryOf(const OwnedCell &cell, const Slot &slot)
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

bool resolveAttempts(Node &node, OwnedCell &cell)
{
    std::vector<ResolvedAttempt> resolved;
    for (const Slot &slot : cell.m_record.m_slots) {
        for (const OrderAttempt &attempt : slot.m_attempts) {
            const OrderOutcome outcome = attemptOutcome(node, cell, slot, attempt);
            if (!outcome.m_resolved)
                continue;
            resolved.push_back({attempt.m_id, outcome.m_reportedState});
            cell.m_changedAt[slot.m_id] = now(node);
            cell.m_stopping.erase(slot.m_id);
        }
    }
    for (const ResolvedAttempt &attempt : resolved)
        resolveAttempt(cell.m_record, attempt.m_order, attempt.m_reportedState);
    if (!resolved.empty())
        markUnwritten(node, cell);
    return !resolved.empty();
}

bool reconcileSlots(Node &node, OwnedCell &cell)
{
    bool changed = false;
    const std::vector<Slot> slots = cell.m_record.m_slots;
    for (const Slot &slot : slots) {
        if (!slot.m_attempts.empty())
            continue;
        const ReportedState reported = reportedStateOf(cell, slot);
        const bool differs = reported == ReportedState::Absent
            || (reported == ReportedState::Loaded && slot.m_phase != SlotPhase::Loaded);
        if (!differs)
            continue;
        reconcileSlot(cell.m_record, slot.m_id, reported);
        cell.m_stopping.erase(slot.m_id);
        changed = true;
        logEvent("slot_reconciled",
                 {{"cell", cell.m_cell.m_text},
                  {"slot", std::to_string(slot.m_id)},
                  {"model", slot.m_model.m_text},
                  {"adapter", slot.m_adapter.m_text},
                  {"server", slot.m_server.m_text},
                  {"reported_state", reported == ReportedState::Loaded ? "loaded" : "absent"}});
    }
    if (changed)
        markUnwritten(node, cell);
    return changed;
}

/// Starts polling each server of the cell that isn't polled yet.
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
                spawn(cellThread(node).m_io, watchServer(node, cell, server.m_name));
        }
        co_await sleepFor(reportPeriod);
    }
}

asio::awaitable<void> outcomeRequestLoop(Node &node, CellPtr cell)
{
    while (!node.m_stopped && stillOwned(cell)) {
        for (const FormerSender &sender : formerSenders(node, cell))
            co_await requestOutcomes(node, cell, sender);
        co_await sleepFor(outcomeRequestPeriod);
    }
}

} // namespace apricot
