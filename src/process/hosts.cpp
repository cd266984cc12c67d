// Exchange with the other hosts of the gateway: the register of hosts in the store, heartbeats, and
// the addresses that callers are given.
//
// Heartbeats are UDP datagrams and may be lost. Each carries the sender's current state, not a
// change of it, so the next one makes up for a lost one. All messages between hosts are heartbeats,
// some with further parts: demand, status updates, lease extension requests and grants, or the
// release of the lease. Demand and extension requests are sent again at short intervals; if a
// status update is lost, the server's entry in the store makes up for it later.
#include "generated/beat_generated.h"
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/json.hpp>
#include <cmath>

namespace apricot {

namespace {

using udp = asio::ip::udp;
constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);

constexpr Millis peerHeartbeatInterval = {400};
constexpr Millis demandReportInterval = {300}; // longest time between two demand reports
/// Wait before a demand report, so that one report covers a burst of requests.
constexpr Millis demandReportDelay = {4};
/// Without a heartbeat for longer than this a host counts as silent, and callers aren't given its
/// address.
constexpr Millis hostSilenceLimit = {1'500};
/// A host that is silent for longer than this is removed from the register.
constexpr Millis registrationRemovalDelay = {6'000};
constexpr Millis registerCheckInterval = {2'000}; // between two searches for silent hosts
/// No lease extension is granted or accepted for this long after a heartbeat of an unregistered
/// host.
constexpr Millis unregisteredHostWindow = {10'000};
constexpr int heartbeatFanout = 8; // hosts that each periodic heartbeat goes to
constexpr std::size_t maxDatagramBytes = 60'000;

/// Whether a heartbeat of that host was received recently.
bool isPeerAlive(const Gateway &gateway, const Peer &peer)
{
    return now(gateway) - peer.m_receivedAt < hostSilenceLimit;
}

std::string encodeHeartbeat(const wire::BeatT &heartbeat)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Beat::Pack(builder, &heartbeat));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

wire::BeatT makeHeartbeat(const Gateway &gateway)
{
    wire::BeatT heartbeat;
    heartbeat.host = gateway.m_settings.m_host.m_text;
    heartbeat.run = gateway.m_run;
    heartbeat.ready = isReady(gateway);
    heartbeat.fence = holdsLease(gateway) ? gateway.m_lease.m_fencingToken : 0;
    if (heartbeat.fence > 0) {
        heartbeat.lease_revision = gateway.m_lease.m_revision;
        const Millis left = gateway.m_lease.m_validUntil - now(gateway);
        heartbeat.lease_left = static_cast<std::int32_t>(left.m_count);
    }
    heartbeat.routes = gateway.m_routes ? gateway.m_routes->m_version : 0;
    heartbeat.servers_digest = digestOf(gateway.m_serverTable);
    heartbeat.servers_revision = gateway.m_serverTable.m_revision;
    return heartbeat;
}

void sendDatagram(Gateway &gateway, const Endpoint &endpoint, const std::string &bytes)
{
    boost::system::error_code error;
    const udp::endpoint target(asio::ip::make_address(endpoint.m_ip), endpoint.m_port);
    gateway.m_udp->send_to(asio::buffer(bytes), target, 0, error);
    // A datagram that can't be sent counts as lost: the next heartbeat carries the same state.
}

void sendToAllPeers(Gateway &gateway, const wire::BeatT &heartbeat)
{
    const std::string bytes = encodeHeartbeat(heartbeat);
    for (const auto &[host, peer] : gateway.m_peers)
        sendDatagram(gateway, peer.m_entry.m_peer, bytes);
}

ModelDemand demandOf(const wire::WantEntryT &entry)
{
    ModelDemand demand;
    demand.m_model = {entry.model};
    demand.m_adapter = {entry.adapter};
    demand.m_waiting = entry.waiting;
    demand.m_longestWait = {entry.oldest_ms};
    demand.m_feasible = entry.hopeful;
    demand.m_slack = {entry.slack_ms};
    demand.m_rate = entry.rate;
    demand.m_running = entry.running;
    return demand;
}

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

/// Whether a ready host that isn't in the register, as known here, has sent a heartbeat recently.
/// An extension needs the grant of every host that could take the lease over, and such a host
/// doesn't get the extension request.
bool hasUnregisteredHost(const Gateway &gateway)
{
    return std::any_of(
        gateway.m_unregisteredHosts.begin(), gateway.m_unregisteredHosts.end(),
        [&](const auto &host) { return now(gateway) - host.second < unregisteredHostWindow; });
}

/// Handles a heartbeat of the lease holder, which states how long the lease remains valid. A
/// successor counts its waiting time from that, not from the time at which it first read the record
/// in the store.
void handleHolderHeartbeat(Gateway &gateway, const Peer &peer, const wire::BeatT &heartbeat)
{
    const HostName host = {heartbeat.host};
    const Millis time = now(gateway);
    if (gateway.m_holder != host)
        logEvent("holder_heard",
                 {{"peer", heartbeat.host}, {"fence", std::to_string(heartbeat.fence)}});
    gateway.m_holder = host;
    gateway.m_holderHeartbeatAt = time;
    const LeaseRecord record
        = {machineIdentity(host, peer.m_entry.m_peer), heartbeat.run, heartbeat.fence};
    const Millis since
        = time + Millis{heartbeat.lease_left} - gateway.m_leaseTiming.m_leaseDuration;
    observeLease(gateway.m_lease, record, heartbeat.lease_revision, since);
}

/// Grants the holder an extension if its request went to all hosts that this host knows. A host
/// that didn't get the request could take the lease over during the extension.
void handleExtensionRequest(Gateway &gateway, const Peer &peer, const wire::BeatT &heartbeat)
{
    const std::set<std::string> recipients(heartbeat.ask_hosts.begin(), heartbeat.ask_hosts.end());
    bool sentToAll
        = recipients.contains(gateway.m_settings.m_host.m_text) && !hasUnregisteredHost(gateway);
    for (const auto &[host, other] : gateway.m_peers)
        sentToAll
            = sentToAll && (host.m_text == heartbeat.host || recipients.contains(host.m_text));
    if (!sentToAll || !grantExtension(gateway.m_lease, heartbeat.fence, now(gateway)))
        return;
    wire::BeatT grant = makeHeartbeat(gateway);
    grant.promise = heartbeat.ask;
    sendDatagram(gateway, peer.m_entry.m_peer, encodeHeartbeat(grant));
}

/// Counts a host's grant of the extension request with that number. Extends the lease when all
/// hosts have granted the request.
void handleExtensionGrant(Gateway &gateway, const HostName &host, std::uint64_t number)
{
    ExtensionRequest &request = gateway.m_extensionRequest;
    if (number != request.m_number || request.m_open.erase(host) == 0 || !request.m_open.empty())
        return;
    if (gateway.m_lease.m_fencingToken == 0 || hasUnregisteredHost(gateway))
        return;
    extendLease(gateway.m_lease, gateway.m_leaseTiming, request.m_requestedAt);
    const bool firstExtension = !std::exchange(request.m_extendedByHosts, true);
    if (firstExtension)
        logEvent("lease_extended",
                 {{"fence", std::to_string(gateway.m_lease.m_fencingToken)},
                  {"hosts", std::to_string(gateway.m_peers.size())}});
}

void handlePeerHeartbeat(Gateway &gateway, const wire::BeatT &heartbeat)
{
    const HostName host = {heartbeat.host};
    const auto found = gateway.m_peers.find(host);
    if (found == gateway.m_peers.end()) {
        // Only a ready host counts: one that is starting or stopping never takes the lease over.
        if (host != gateway.m_settings.m_host && heartbeat.ready)
            gateway.m_unregisteredHosts[host] = now(gateway);
        return; // not in the register, or its entry hasn't arrived here yet
    }
    Peer &peer = found->second;
    const Millis time = now(gateway);
    if (peer.m_ready != heartbeat.ready)
        logEvent("host_readiness",
                 {{"peer", heartbeat.host}, {"ready", heartbeat.ready ? "yes" : "no"}});
    peer.m_receivedAt = time;
    peer.m_ready = heartbeat.ready;
    peer.m_fencingToken = heartbeat.fence;
    if (heartbeat.fence > 0)
        handleHolderHeartbeat(gateway, peer, heartbeat);
    if (heartbeat.released > 0) {
        observeRelease(gateway.m_lease, heartbeat.run, heartbeat.released, time);
        gateway.m_holder = {};
    }
    if (heartbeat.ask > 0)
        handleExtensionRequest(gateway, peer, heartbeat);
    if (heartbeat.promise > 0)
        handleExtensionGrant(gateway, host, heartbeat.promise);
    if (heartbeat.audited) {
        gateway.m_lastResyncAt = time;
        if (heartbeat.servers_digest == digestOf(gateway.m_serverTable))
            gateway.m_serverTable.m_confirmedAt = time;
    }
    catchUp(gateway, heartbeat.routes, heartbeat.servers_digest, heartbeat.servers_revision);
    if (heartbeat.tells_use) {
        peer.m_modelDemands.clear();
        peer.m_uses.clear();
        peer.m_demandReceivedAt = time;
        for (const auto &entry : heartbeat.wants) {
            const ModelDemandKey key = {{entry->service}, {entry->model}, {entry->adapter}};
            peer.m_modelDemands[key] = demandOf(*entry);
        }
        for (const auto &entry : heartbeat.uses)
            peer.m_uses[{{entry->server}, {entry->model}}] = entry->running;
        wake(*gateway.m_planTrigger);
    }
    bool changed = false;
    for (const auto &update : heartbeat.notices)
        changed |= applyStatusUpdate(gateway.m_serverTable, {update->server},
                                     decodeStatusUpdate(*update), time);
    if (changed)
        wakeWaiting(gateway);
}

void addDemandEntries(const Gateway &gateway, wire::BeatT &heartbeat)
{
    const Millis time = now(gateway);
    for (const auto &[key, demand] : gateway.m_modelDemands) {
        if (isIdle(demand, time))
            continue;
        const ModelDemand modelDemand = demandOf(key, demand, time);
        auto entry = std::make_unique<wire::WantEntryT>();
        entry->service = key.m_service.m_text;
        entry->model = key.m_model.m_text;
        entry->adapter = key.m_adapter.m_text;
        entry->waiting = modelDemand.m_waiting;
        entry->oldest_ms = modelDemand.m_longestWait.m_count;
        entry->hopeful = modelDemand.m_feasible;
        entry->slack_ms = modelDemand.m_slack.m_count;
        entry->rate = static_cast<float>(modelDemand.m_rate);
        entry->running = modelDemand.m_running;
        heartbeat.wants.push_back(std::move(entry));
    }
    for (const auto &[id, known] : gateway.m_serverTable.m_servers) {
        for (const auto &[model, running] : known.m_running) {
            if (running == 0)
                continue;
            auto entry = std::make_unique<wire::UseEntryT>();
            entry->server = id.m_text;
            entry->model = model.m_text;
            entry->running = running;
            heartbeat.uses.push_back(std::move(entry));
        }
    }
}

boost::json::value encodeHostEntry(const Gateway &gateway)
{
    const GatewaySettings &settings = gateway.m_settings;
    return boost::json::object{{"data-centre", settings.m_dataCentre.m_text},
                               {"caller", toText(settings.m_caller)},
                               {"peer", toText(settings.m_peer)},
                               {"run", gateway.m_run}};
}

std::string textAt(const boost::json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::optional<HostEntry> decodeHostEntry(const StoredObject &object)
{
    if (!object.m_content.is_object())
        return {};
    const auto &fields = object.m_content.get_object();
    const auto caller = parseEndpoint(textAt(fields, "caller"));
    const auto peer = parseEndpoint(textAt(fields, "peer"));
    if (!caller || !peer)
        return {};
    return HostEntry{{object.m_name}, {textAt(fields, "data-centre")}, *caller,
                     *peer,           textAt(fields, "run"),           object.m_revision};
}

/// Creates or replaces this host's entry in the register; false if the store didn't confirm it.
asio::awaitable<bool> writeOwnRegistration(Gateway &gateway)
{
    const std::string &name = gateway.m_settings.m_host.m_text;
    const boost::json::value content = encodeHostEntry(gateway);
    HttpRequest create = gateway.m_protocol->createObject(ObjectKind::Hosts, name, content);
    StoreReply reply = co_await requestStoreObject(gateway, "register", std::move(create));
    if (reply.m_outcome == StoreOutcome::Conflict && reply.m_object) {
        HttpRequest replace = gateway.m_protocol->replaceObject(
            ObjectKind::Hosts, name, reply.m_object->m_revision, content);
        reply = co_await requestStoreObject(gateway, "register", std::move(replace));
    }
    if (reply.m_outcome != StoreOutcome::Done)
        co_return false;
    gateway.m_hostEntryRevision = reply.m_object ? reply.m_object->m_revision : 1;
    // The holder sends extension requests to this host only from now on, and the other hosts may
    // have granted one before. So the waiting time before a takeover starts here, not when the
    // record was first seen.
    gateway.m_lease.m_recordSeenSince = std::max(gateway.m_lease.m_recordSeenSince, now(gateway));
    co_return true;
}

} // namespace

asio::awaitable<void> registerHost(Gateway &gateway)
{
    Millis pause = {100};
    constexpr Millis longest = {2'000};
    while (!gateway.m_stopping && !co_await writeOwnRegistration(gateway)) {
        co_await backOff(gateway, pause, longest);
    }
    logEvent("registered", {{"revision", std::to_string(gateway.m_hostEntryRevision)}});
}

asio::awaitable<void> unregisterHost(Gateway &gateway)
{
    HttpRequest request = gateway.m_protocol->deleteObject(
        ObjectKind::Hosts, gateway.m_settings.m_host.m_text, gateway.m_hostEntryRevision);
    gateway.m_hostEntryRevision = 0;
    const StoreReply reply = co_await requestStoreObject(gateway, "unregister", std::move(request));
    if (reply.m_outcome != StoreOutcome::Done)
        logWarning("unregister_failed", {{"why", reply.m_detail}});
}

asio::awaitable<bool> verifyRegistration(Gateway &gateway)
{
    HttpRequest request
        = gateway.m_protocol->getObject(ObjectKind::Hosts, gateway.m_settings.m_host.m_text);
    const StoreReply reply = co_await requestStoreObject(gateway, "register", std::move(request));
    if (reply.m_outcome == StoreOutcome::Missing && !gateway.m_stopping) {
        gateway.m_hostEntryRevision = 0;
        co_await registerHost(gateway);
    }
    co_return reply.m_outcome == StoreOutcome::Done;
}

asio::awaitable<void> removeSilentHosts(Gateway &gateway)
{
    while (true) {
        co_await pauseFor(gateway, jittered(gateway, registerCheckInterval));
        if (!holdsLease(gateway) || gateway.m_storeHealth.m_unavailable)
            continue;
        std::vector<HostEntry> silent;
        for (const auto &[host, peer] : gateway.m_peers) {
            if (now(gateway) - std::max(peer.m_receivedAt, peer.m_entrySeenAt)
                > registrationRemovalDelay)
                silent.push_back(peer.m_entry);
        }
        for (const HostEntry &entry : silent) {
            HttpRequest request = gateway.m_protocol->deleteObject(
                ObjectKind::Hosts, entry.m_host.m_text, entry.m_revision);
            const StoreReply reply
                = co_await requestStoreObject(gateway, "clear", std::move(request));
            logEvent("silent_host_removed",
                     {{"peer", entry.m_host.m_text}, {"outcome", reply.m_detail}});
        }
    }
}

void applyHostEntry(Gateway &gateway, const StoredObject &object)
{
    const HostName host = {object.m_name};
    if (host == gateway.m_settings.m_host) {
        const bool lost = object.m_deleted && object.m_revision > gateway.m_hostEntryRevision
            && gateway.m_hostEntryRevision > 0 && !gateway.m_stopping;
        if (lost) {
            logWarning("registration_lost", {{"revision", std::to_string(object.m_revision)}});
            gateway.m_hostEntryRevision = 0;
            begin(gateway, "register", registerHost(gateway));
        }
        return;
    }
    if (object.m_deleted) {
        gateway.m_peers.erase(host);
        logEvent("host_gone", {{"peer", object.m_name}});
        return;
    }
    const auto entry = decodeHostEntry(object);
    if (!entry) {
        logWarning("host_unreadable", {{"peer", object.m_name}});
        return;
    }
    gateway.m_unregisteredHosts.erase(host);
    Peer &peer = gateway.m_peers[host];
    if (peer.m_entry.m_run != entry->m_run) {
        peer = Peer();
        peer.m_entrySeenAt = now(gateway);
        logEvent("host_known", {{"peer", object.m_name}, {"at", toText(entry->m_caller)}});
    }
    peer.m_entry = *entry;
}

asio::awaitable<void> receiveHeartbeats(Gateway &gateway)
{
    std::string bytes(maxDatagramBytes, '\0');
    udp::endpoint from;
    while (true) {
        const auto [error, size]
            = co_await gateway.m_udp->async_receive_from(asio::buffer(bytes), from, useAwaitable);
        if (error) {
            co_await pauseFor(gateway, {10});
            continue;
        }
        const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
        flatbuffers::Verifier verifier(data, size);
        if (!verifier.VerifyBuffer<wire::Beat>())
            continue;
        wire::BeatT heartbeat;
        flatbuffers::GetRoot<wire::Beat>(data)->UnPackTo(&heartbeat);
        handlePeerHeartbeat(gateway, heartbeat);
    }
}

void broadcastHeartbeat(Gateway &gateway, bool resynchronized)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    heartbeat.audited = resynchronized;
    sendToAllPeers(gateway, heartbeat);
}

void broadcastExtensionRequest(Gateway &gateway)
{
    ExtensionRequest &request = gateway.m_extensionRequest;
    request.m_number += 1;
    request.m_requestedAt = now(gateway);
    request.m_open.clear();
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    heartbeat.ask = request.m_number;
    heartbeat.ask_hosts.push_back(gateway.m_settings.m_host.m_text);
    for (const auto &[host, peer] : gateway.m_peers) {
        request.m_open.insert(host);
        heartbeat.ask_hosts.push_back(host.m_text);
    }
    sendToAllPeers(gateway, heartbeat);
}

void broadcastRelease(Gateway &gateway, std::uint64_t revision)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    heartbeat.released = revision;
    sendToAllPeers(gateway, heartbeat);
}

int hostRank(const Gateway &gateway)
{
    const HostName &self = gateway.m_settings.m_host;
    if (gateway.m_holder == self)
        return 0;
    int rank = 0;
    for (const auto &[host, peer] : gateway.m_peers) {
        const bool ready = peer.m_ready && isPeerAlive(gateway, peer);
        if (ready && (host < self || host == gateway.m_holder))
            ++rank;
    }
    return rank;
}

asio::awaitable<void> sendHeartbeats(Gateway &gateway)
{
    std::size_t nextPeer = gateway.m_random(); // random, so that hosts start with different peers
    while (true) {
        const std::string bytes = encodeHeartbeat(makeHeartbeat(gateway));
        const std::size_t peers = gateway.m_peers.size();
        const std::size_t targets = std::min<std::size_t>(peers, heartbeatFanout);
        for (std::size_t sent = 0; sent < targets; ++sent) {
            const auto peer = std::next(gateway.m_peers.begin(),
                                        static_cast<std::ptrdiff_t>(nextPeer++ % peers));
            sendDatagram(gateway, peer->second.m_entry.m_peer, bytes);
        }
        dropExpiredMissing(gateway.m_serverTable, now(gateway));
        std::erase_if(gateway.m_modelDemands,
                      [&](const auto &demand) { return isIdle(demand.second, now(gateway)); });
        co_await pauseFor(gateway, jittered(gateway, peerHeartbeatInterval));
    }
}

asio::awaitable<void> reportDemandToHolder(Gateway &gateway)
{
    bool reportedDemand = false; // the last report wasn't empty
    while (true) {
        co_await sleepUntilWoken(*gateway.m_demandReportTrigger, demandReportInterval);
        co_await pauseFor(gateway, demandReportDelay);
        if (holdsLease(gateway)) {
            wake(*gateway.m_planTrigger);
            continue;
        }
        const auto holder = gateway.m_peers.find(gateway.m_holder);
        if (holder == gateway.m_peers.end())
            continue;
        wire::BeatT heartbeat = makeHeartbeat(gateway);
        heartbeat.tells_use = true;
        addDemandEntries(gateway, heartbeat);
        const bool hasDemand = !heartbeat.wants.empty() || !heartbeat.uses.empty();
        if (hasDemand || reportedDemand) // one empty report shows the holder that demand ended
            sendDatagram(gateway, holder->second.m_entry.m_peer, encodeHeartbeat(heartbeat));
        reportedDemand = hasDemand;
    }
}

void broadcastStatusUpdate(Gateway &gateway, const InstanceId &server, const ServerStatus &status)
{
    applyStatusUpdate(gateway.m_serverTable, server, status, now(gateway));
    wakeWaiting(gateway);
    wire::BeatT heartbeat = makeHeartbeat(gateway);
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
    heartbeat.notices.push_back(std::move(update));
    sendToAllPeers(gateway, heartbeat);
}

std::vector<Endpoint> callerAddresses(const Gateway &gateway)
{
    std::vector<Endpoint> addresses;
    std::vector<Endpoint> silent;
    if (isReady(gateway))
        addresses.push_back(gateway.m_settings.m_caller);
    for (const auto &[host, peer] : gateway.m_peers) {
        const bool alive = isPeerAlive(gateway, peer);
        if (alive && peer.m_ready)
            addresses.push_back(peer.m_entry.m_caller);
        else if (!alive)
            silent.push_back(peer.m_entry.m_caller);
    }
    // If no host is known to be ready, silent ones are listed: perhaps only heartbeats are lost.
    return addresses.empty() ? silent : addresses;
}

int hostCount(const Gateway &gateway)
{
    return static_cast<int>(gateway.m_peers.size()) + 1;
}

} // namespace apricot
