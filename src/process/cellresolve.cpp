// What is in doubt in a cell, and how it is resolved: own answers, earlier owners' word, fences,
// runs that are over, engines' reports.
#include "process/celldriver.h"
#include "process/log.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis reportPeriod = {400};
constexpr Millis reportTimeout = {1'000};
constexpr Millis fatePeriod = {300};
constexpr Millis fateTimeout = {1'000};

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

} // namespace

void noteUnwritten(Node &node, OwnedCell &cell)
{
    if (!cell.m_unwritten)
        cell.m_unwrittenSince = now(node);
    cell.m_unwritten = true;
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

asio::awaitable<void> fateLoop(Node &node, CellPtr cell)
{
    while (!node.m_stopped && stillOwned(cell)) {
        for (const FormerSender &sender : formerSenders(node, cell))
            co_await askFate(node, cell, sender);
        co_await sleepFor(fatePeriod);
    }
}

} // namespace apricot
