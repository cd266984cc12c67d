// Takes cells that have no live owner, and hands cells over when this host stops. Ownership is
// decided by the conditional update of the cell's record alone; membership only tells which host
// should try, so a wrong suspicion can't lead to two owners of the same epoch.
#include "process/celldriver.h"
#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis supervisePeriod = {100};
constexpr Millis ownerlessGrace = {200}; // time without an owner before the best ranked host acts
constexpr Millis rankDelay = {1'500};    // added for each host that is ranked better
constexpr Millis peerCallTimeout = {1'000};

/// Spreads the owner stated in a cell's record by gossip.
void broadcastClaim(Node &node, const CellRecord &record)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    mergeClaim(node.m_members.m_membership,
               {record.m_cell, record.m_epoch, record.m_ownerHost, record.m_owner});
}

/// Starts the loops of a cell whose record was just written with this host as the owner. `before`
/// is the epoch of the previous owner.
void startOwning(Node &node, CellRecord record, std::uint64_t version, Epoch before)
{
    auto cell = std::make_shared<OwnedCell>();
    cell->m_cell = record.m_cell;
    cell->m_owned = true;
    cell->m_version = version;
    cell->m_tokensUpdatedAt = now(node);
    for (const Slot &slot : record.m_slots) {
        cell->m_lastUsed[slot.m_id] = now(node);
        cell->m_changedAt[slot.m_id] = now(node);
    }
    logEvent("cell_taken",
             {{"cell", record.m_cell.m_text},
              {"epoch", std::to_string(record.m_epoch.m_value)},
              {"before", std::to_string(before.m_value)},
              {"slots", std::to_string(record.m_slots.size())}});
    broadcastClaim(node, record);
    cell->m_record = std::move(record);
    {
        const std::lock_guard lock(node.m_cells.m_mutex);
        node.m_cells.m_cells[cell->m_cell] = cell;
    }
    asio::io_context &io = cellThread(node).m_io;
    spawn(io, watchServers(node, cell));
    spawn(io, outcomeRequestLoop(node, cell));
    spawn(io, planLoop(node, cell));
}

struct StoredRecord
{
    CellRecord m_record;         // new and without an owner if there is no object
    std::uint64_t m_version = 0; // of the platform's object; 0: there is none
};

asio::awaitable<Result<StoredRecord>> readRecord(Node &node, CellName cell)
{
    const auto read = co_await readObject(platformClientOf(node), cellKey(cell), 0, {});
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

/// True if this process instance of the host is known, not dead and not leaving.
bool isActive(Node &node, const HostName &host, Incarnation incarnation)
{
    const auto member = memberOf(node, host);
    return member && member->m_incarnation == incarnation && member->m_liveness != Liveness::Dead
        && !member->m_leaving;
}

/// True if the owner by the last claim received through gossip is active.
bool hasLiveOwner(Node &node, const CellName &cell)
{
    CellClaim claim;
    {
        const std::lock_guard lock(node.m_members.m_mutex);
        claim = node.m_members.m_membership.m_claims[cell];
    }
    return claim.m_epoch.m_value > 0 && isActive(node, claim.m_host, claim.m_owner);
}

/// Position of this host in the order in which hosts try to take the cell; 0 is first.
std::size_t takeoverRank(Node &node, const CellName &cell)
{
    const std::vector<Member> ranked = rankMembers(liveMembersOf(node), "cell:" + cell.m_text);
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        if (ranked[i].m_host == node.m_settings.m_host)
            return i;
    }
    return ranked.size();
}

/// True if this host should take the cell now: it had no live owner for the time that applies to
/// this host's rank. Lower ranked hosts wait longer, so that hosts rarely compete for a cell.
bool isTakeoverDue(Node &node, const CellName &cell)
{
    const bool owned = hasLiveOwner(node, cell);
    const std::size_t rank = owned ? 0 : takeoverRank(node, cell);
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

/// Tries to take a cell by writing its record with the next epoch. A live owner keeps the cell
/// unless it is handing the cell over. After a failure the cell stays as it is; runCells() tries
/// again.
asio::awaitable<void> takeCell(Node &node, CellName name, bool handedOver)
{
    auto read = co_await readRecord(node, name);
    if (!ok(read))
        co_return;
    StoredRecord stored = std::get<StoredRecord>(std::move(read));
    const Epoch before = stored.m_record.m_epoch;
    if (!handedOver && before.m_value > 0
        && isActive(node, stored.m_record.m_ownerHost, stored.m_record.m_owner)
        && stored.m_record.m_owner != node.m_incarnation) {
        broadcastClaim(node, stored.m_record); // it has a live owner, whose claim wasn't received
        co_return;
    }
    CellRecord next = stored.m_record;
    takeOver(next, node.m_settings.m_host, node.m_incarnation);
    next.m_lastUpdate = randomId();
    ObjectWrite write = co_await writeObject(platformClientOf(node), cellKey(name),
                                             writeCellRecord(next), stored.m_version);
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
        const std::vector<CellName> cells = configuration && node.m_bootstrapped
            ? cellsOf(*configuration)
            : std::vector<CellName>();
        for (const CellName &cell : cells) {
            const CellPtr owned = ownedCell(node, cell);
            const bool ours = owned && stillOwned(owned);
            if (!ours && !node.m_stopping && isTakeoverDue(node, cell))
                co_await takeCell(node, cell, false);
        }
        co_await sleepFor(supervisePeriod);
    }
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
        co_await callPeer(cellThread(node).m_peers, successors.front().m_peer,
                          makeFrame(std::move(message)), peerCallTimeout);
    }
}

} // namespace apricot
