// Status updates of model servers, sent by the lease holder to the other hosts. A host whose
// callers wait for a model that is loaded or unloaded learns of it at once, and one with other
// demand for it too while a budget lasts. Beside that the hosts get in turn, one at a time, what
// has changed since their last turn. So the bytes grow with the changes that callers wait for, and
// for the rest with time, not with orders times hosts, and nothing is sent in large bursts: what
// exceeds the holder's link is lost, or delays its calls to the store.
#include "process/heartbeat.h"
#include "process/ordertracking.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis batchDelay = {8};             // ms that an update waits for others
constexpr Millis turnInterval = {40};          // between the turns of two hosts, at least
constexpr double turnBytesPerSecond = 250'000; // a fifth of a link of 10 Mbit/s
constexpr std::size_t maxUpdatesPerDatagram = 16;
constexpr Millis longestSleep = {10'000};

ServerStatus decodeStatusUpdate(const wire::NoticeEntryT &update)
{
    ServerStatus status;
    status.m_startUnixMs = update.born;
    status.m_sequence = update.sequence;
    status.m_busy = update.busy;
    for (const auto &entry : update.models) {
        LoadedModel loaded;
        loaded.m_name.m_text = entry->model;
        for (const std::string &adapter : entry->adapters)
            loaded.m_adapters.push_back({adapter});
        status.m_models.push_back(std::move(loaded));
    }
    return status;
}

std::unique_ptr<wire::NoticeEntryT> encodeStatusUpdate(const InstanceId &server,
                                                       const ServerStatus &status)
{
    auto update = std::make_unique<wire::NoticeEntryT>();
    update->server = server.m_text;
    update->born = status.m_startUnixMs;
    update->sequence = status.m_sequence;
    update->busy = status.m_busy;
    for (const LoadedModel &loaded : status.m_models) {
        auto entry = std::make_unique<wire::LoadedEntryT>();
        entry->model = loaded.m_name.m_text;
        for (const AdapterName &adapter : loaded.m_adapters)
            entry->adapters.push_back(adapter.m_text);
        update->models.push_back(std::move(entry));
    }
    return update;
}

/// Sends a host updates, each time with `heartbeat`, as often as they need it. Returns the bytes
/// sent.
std::size_t sendUpdates(Gateway &gateway, MessageKind kind, const Peer &peer,
                        const std::map<InstanceId, ServerStatus> &statuses, wire::BeatT &heartbeat)
{
    std::size_t bytes = 0;
    for (auto next = statuses.begin(); next != statuses.end();) {
        heartbeat.notices.clear();
        for (; next != statuses.end() && heartbeat.notices.size() < maxUpdatesPerDatagram; ++next)
            heartbeat.notices.push_back(encodeStatusUpdate(next->first, next->second));
        const std::string encoded = encodeHeartbeat(heartbeat);
        sendDatagram(gateway, kind, peer.m_entry.m_peer, encoded);
        bytes += encoded.size();
    }
    return bytes;
}

/// What a server has loaded, as keys of demand.
std::set<ModelDemandKey> loadedKeys(const ServiceName &service, const ServerStatus &status)
{
    std::set<ModelDemandKey> keys;
    for (const LoadedModel &loaded : status.m_models) {
        keys.insert({service, loaded.m_name, {}});
        for (const AdapterName &adapter : loaded.m_adapters)
            keys.insert({service, loaded.m_name, adapter});
    }
    return keys;
}

/// Models and adapters that one of the two states has loaded and the other hasn't.
std::vector<ModelDemandKey> changedKeys(const ServiceName &service, const ServerStatus &earlier,
                                        const ServerStatus &later)
{
    const auto before = loadedKeys(service, earlier);
    const auto after = loadedKeys(service, later);
    std::vector<ModelDemandKey> changed;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                  std::back_inserter(changed));
    return changed;
}

/// The status that hosts were last told. It is preferred to the entry, which may be late.
const ServerStatus &lastBroadcast(Gateway &gateway, const KnownServer &known)
{
    const TrackedServer *tracked = findTracked(gateway, known.m_server.m_id);
    return tracked && tracked->m_broadcast ? *tracked->m_broadcast : latestStatus(known);
}

/// What a host's callers want of something that is loaded.
enum class Need : std::uint8_t { None, Demand, Waiting };

/// The need that the host reported for the model; for an adapter's key, for that adapter.
Need needFor(const Peer &peer, const ModelDemandKey &key)
{
    Need need = Need::None;
    // A demand for an adapter needs its model too; the key without adapter sorts before it.
    for (auto next = peer.m_modelDemands.lower_bound(key); next != peer.m_modelDemands.end()
         && next->first.m_service == key.m_service && next->first.m_model == key.m_model;
         ++next) {
        if (!key.m_adapter.m_text.empty() && next->first != key)
            break;
        need = std::max(need, next->second.m_waiting > 0 ? Need::Waiting : Need::Demand);
    }
    return need;
}

Need needForAny(const Peer &peer, const std::vector<ModelDemandKey> &keys)
{
    Need need = Need::None;
    for (const ModelDemandKey &key : keys)
        need = std::max(need, needFor(peer, key));
    return need;
}

/// Size of a heartbeat with this update alone.
double sizeOfUpdate(const Gateway &gateway, const InstanceId &server, const ServerStatus &status)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    heartbeat.notices.push_back(encodeStatusUpdate(server, status));
    return static_cast<double>(encodeHeartbeat(heartbeat).size());
}

/// Sends the next host that lacks some what has changed since its last turn.
void sendTurn(Gateway &gateway, wire::BeatT &heartbeat)
{
    StatusUpdates &updates = gateway.m_statusUpdates;
    std::size_t bytes = 0;
    addInTurn(gateway.m_peers, updates.m_lastTurn, 1, [&](const auto &entry) {
        const std::uint64_t told
            = std::exchange(updates.m_toldUpTo[entry.first], updates.m_lastChange);
        std::map<InstanceId, ServerStatus> lacking;
        for (const auto &[server, changed] : updates.m_changed) {
            if (changed.m_number > told)
                lacking[server] = changed.m_status;
        }
        bytes = sendUpdates(gateway, MessageKind::StatusForAll, entry.second, lacking, heartbeat);
        return bytes > 0;
    });
    const Millis pause
        = {static_cast<std::int64_t>(static_cast<double>(bytes) * 1'000 / turnBytesPerSecond)};
    updates.m_nextTurnAt = now(gateway) + std::max(pause, turnInterval);
}

/// Drops the changes that all hosts were sent.
void dropToldChanges(Gateway &gateway)
{
    StatusUpdates &updates = gateway.m_statusUpdates;
    std::erase_if(updates.m_toldUpTo,
                  [&](const auto &told) { return !gateway.m_peers.contains(told.first); });
    std::uint64_t toldAll = updates.m_lastChange;
    for (const auto &[host, peer] : gateway.m_peers)
        toldAll = std::min(toldAll, updates.m_toldUpTo[host]);
    std::erase_if(updates.m_changed,
                  [&](const auto &changed) { return changed.second.m_number <= toldAll; });
}

} // namespace

void applyStatusUpdates(Gateway &gateway, const wire::BeatT &heartbeat)
{
    for (const auto &update : heartbeat.notices) {
        const ServerStatus status = decodeStatusUpdate(*update);
        if (applyStatusUpdate(gateway.m_serverTable, {update->server}, status, now(gateway)))
            wakeWaitingFor(gateway, status);
    }
}

void broadcastStatusUpdate(Gateway &gateway, const InstanceId &server, const ServerStatus &status)
{
    StatusUpdates &updates = gateway.m_statusUpdates;
    if (const KnownServer *known = knownServer(gateway.m_serverTable, server)) {
        const auto changed
            = changedKeys(known->m_server.m_service, lastBroadcast(gateway, *known), status);
        std::optional<double> size; // most updates concern no host's demand
        for (const auto &[host, peer] : gateway.m_peers) {
            const Need need = needForAny(peer, changed);
            if (need == Need::Demand && !size)
                size = sizeOfUpdate(gateway, server, status);
            if (need == Need::Waiting
                || (need == Need::Demand && takeBytes(updates.m_demandBudget, now(gateway), *size)))
                updates.m_urgent[host][server] = status;
        }
    }
    if (TrackedServer *tracked = findTracked(gateway, server))
        tracked->m_broadcast = status;
    applyStatusUpdate(gateway.m_serverTable, server, status, now(gateway));
    wakeWaitingFor(gateway, status);
    updates.m_changed[server] = {status, ++updates.m_lastChange};
    wake(*gateway.m_statusTrigger);
}

void answerDemand(Gateway &gateway, const HostName &host, const ModelDemandKey &key)
{
    if (!holdsLease(gateway))
        return;
    for (const auto &[id, known] : gateway.m_serverTable.m_servers) {
        const bool holds = known.m_server.m_service == key.m_service && known.m_statusUpdate
            && holdsModel(latestStatus(known), key.m_model, key.m_adapter);
        if (holds)
            gateway.m_statusUpdates.m_urgent[host][id] = latestStatus(known);
    }
    if (gateway.m_statusUpdates.m_urgent.contains(host))
        wake(*gateway.m_statusTrigger);
}

void sendDueStatusUpdates(Gateway &gateway)
{
    StatusUpdates &updates = gateway.m_statusUpdates;
    const bool turnIsDue = !updates.m_changed.empty() && now(gateway) >= updates.m_nextTurnAt;
    if (updates.m_urgent.empty() && !turnIsDue)
        return;
    wire::BeatT heartbeat = makeHeartbeat(gateway); // its digest of all servers takes long
    for (const auto &[host, urgent] : std::exchange(updates.m_urgent, {})) {
        const auto peer = gateway.m_peers.find(host);
        if (peer != gateway.m_peers.end())
            sendUpdates(gateway, MessageKind::StatusForDemand, peer->second, urgent, heartbeat);
    }
    if (!turnIsDue)
        return;
    sendTurn(gateway, heartbeat);
    dropToldChanges(gateway);
}

asio::awaitable<void> sendStatusUpdates(Gateway &gateway)
{
    while (true) {
        const StatusUpdates &updates = gateway.m_statusUpdates;
        const Millis sleep
            = updates.m_changed.empty() ? longestSleep : updates.m_nextTurnAt - now(gateway);
        co_await sleepUntilWoken(*gateway.m_statusTrigger, sleep);
        co_await pauseFor(gateway, batchDelay);
        sendDueStatusUpdates(gateway);
    }
}

} // namespace apricot
