// Heartbeats between the hosts of the gateway, and what hosts conclude from them: who is alive, who
// holds the lease, and which addresses callers are given.
//
// Heartbeats are UDP datagrams and may be lost. Each carries the sender's current state, not a
// change of it, so the next one makes up for a lost one. All messages between hosts are heartbeats,
// some with further parts: demand (demandreports.cpp), status updates (statusupdates.cpp), lease
// extension requests and grants, or the release of the lease. Demand and extension requests are
// sent again at short intervals; if a status update is lost, the server's entry in the store makes
// up for it later.
#include "process/accountgate.h"
#include "process/heartbeat.h"
#include "process/log.h"

namespace apricot {

namespace {

using udp = asio::ip::udp;
constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);

constexpr Millis peerHeartbeatInterval = {400};
/// Without a heartbeat for longer than this a host counts as silent, and callers aren't given its
/// address.
constexpr Millis hostSilenceLimit = {1'500};
/// Without a heartbeat of the lease holder for longer than this, nothing is asked of it.
constexpr Millis holderTimeout = {2'500};
/// No lease extension is granted or accepted for this long after a heartbeat of an unregistered
/// host.
constexpr Millis unregisteredHostWindow = {10'000};
/// An extension request is repeated to the hosts that haven't granted it at this interval.
constexpr Millis extensionRepeatInterval = {200};
constexpr int heartbeatFanout = 8; // hosts that each periodic heartbeat goes to
constexpr std::size_t maxDatagramBytes = 60'000;

/// Whether a ready host that isn't in the register, as known here, has sent a heartbeat recently.
/// An extension needs the grant of every host that could take the lease over, and such a host
/// doesn't get the extension request.
bool hasUnregisteredHost(const Gateway &gateway)
{
    return std::any_of(
        gateway.m_unregisteredHosts.begin(), gateway.m_unregisteredHosts.end(),
        [&](const auto &host) { return now(gateway) - host.second < unregisteredHostWindow; });
}

/// Whether the other host comes before this one where one host does something for all: larger ones
/// first, then by name.
bool ranksBefore(const Gateway &gateway, const HostName &host, const Peer &peer)
{
    const HostCapacity &own = gateway.m_settings.m_capacity;
    const HostCapacity &other = peer.m_entry.m_capacity;
    if (isLarger(other, own))
        return true;
    return !isLarger(own, other) && host < gateway.m_settings.m_host;
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
    const LeaseRecord record = {machineIdentity(host, peer.m_entry.m_peer), heartbeat.run,
                                heartbeat.fence, storeEra(heartbeat.lease_revision)};
    const Millis since
        = time + Millis{heartbeat.lease_left} - gateway.m_leaseTiming.m_leaseDuration;
    observeLease(gateway.m_lease, record, heartbeat.lease_revision, since);
}

/// Grants the holder an extension if its request went to all hosts that this host knows. A host
/// that didn't get the request could take the lease over during the extension.
void handleExtensionRequest(Gateway &gateway, const Peer &peer, const wire::BeatT &heartbeat)
{
    const std::set<std::uint64_t> recipients(heartbeat.ask_host_hashes.begin(),
                                             heartbeat.ask_host_hashes.end());
    const auto received
        = [&](const HostName &host) { return recipients.contains(stableHash(host.m_text)); };
    bool sentToAll = received(gateway.m_settings.m_host) && !hasUnregisteredHost(gateway);
    for (const auto &[host, other] : gateway.m_peers)
        sentToAll = sentToAll && (host.m_text == heartbeat.host || received(host));
    if (!sentToAll || !grantExtension(gateway.m_lease, heartbeat.fence, now(gateway)))
        return;
    wire::BeatT grant = makeHeartbeat(gateway);
    grant.promise = heartbeat.ask;
    sendDatagram(gateway, MessageKind::Lease, peer.m_entry.m_peer, encodeHeartbeat(grant));
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

/// The release of the lease that the heartbeat tells of. A host of an older build states only its
/// position.
std::optional<LeaseRelease> releaseIn(const wire::BeatT &heartbeat)
{
    if (heartbeat.release)
        return LeaseRelease{heartbeat.run, heartbeat.release->position, heartbeat.release->fence};
    if (heartbeat.released > 0)
        return LeaseRelease{heartbeat.run, heartbeat.released};
    return std::nullopt;
}

/// Handles the release of the lease, also by a host that has left the register meanwhile: a
/// stopping holder removes its entry at the same time.
void handleRelease(Gateway &gateway, const std::string &host, const LeaseRelease &release)
{
    logEvent("release_heard",
             {{"peer", host},
              {"fence", std::to_string(release.m_fencingToken)},
              {"revision", positionText(release.m_position)},
              {"known_fence", std::to_string(gateway.m_lease.m_lastSeenRecord.m_fencingToken)},
              {"known_revision", positionText(gateway.m_lease.m_revision)}});
    observeRelease(gateway.m_lease, release, now(gateway));
    if (gateway.m_holder.m_text == host)
        gateway.m_holder = {};
}

/// Replaces the last extension request by a new one, which all hosts have to grant.
void beginExtensionRequest(Gateway &gateway)
{
    ExtensionRequest &request = gateway.m_extensionRequest;
    request.m_number += 1;
    request.m_requestedAt = now(gateway);
    request.m_hosts.clear();
    for (const auto &[host, peer] : gateway.m_peers)
        request.m_hosts.insert(host);
    request.m_open = request.m_hosts;
}

wire::BeatT extensionRequestMessage(const Gateway &gateway)
{
    const ExtensionRequest &request = gateway.m_extensionRequest;
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    heartbeat.ask = request.m_number;
    heartbeat.ask_host_hashes.push_back(stableHash(gateway.m_settings.m_host.m_text));
    for (const HostName &host : request.m_hosts)
        heartbeat.ask_host_hashes.push_back(stableHash(host.m_text));
    return heartbeat;
}

void handlePeerHeartbeat(Gateway &gateway, const wire::BeatT &heartbeat, const Endpoint &from)
{
    const HostName host = {heartbeat.host};
    hearVersion(gateway, heartbeat.routes);
    if (const auto release = releaseIn(heartbeat))
        handleRelease(gateway, heartbeat.host, *release);
    const auto found = gateway.m_peers.find(host);
    if (found == gateway.m_peers.end()) {
        // Only a ready host counts: one that is starting or stopping never takes the lease over.
        if (host != gateway.m_settings.m_host && heartbeat.ready)
            gateway.m_unregisteredHosts[host] = now(gateway);
        applyMessagesOfUnregistered(gateway, heartbeat, from);
        return; // not in the register, or its entry hasn't arrived here yet
    }
    Peer &peer = found->second;
    if (heartbeat.reply_wanted)
        sendDatagram(gateway, MessageKind::Heartbeat, peer.m_entry.m_peer,
                     encodeHeartbeat(makeHeartbeat(gateway)));
    applyUnreachableServices(peer, heartbeat);
    if (heartbeat.brief) {
        applyCrashNews(gateway, heartbeat);
        applyPermits(gateway, peer, heartbeat);
        applyOrigins(gateway, peer, heartbeat);
        applyAccountMessages(gateway, peer.m_entry, heartbeat);
        return;
    }
    const Millis time = now(gateway);
    if (peer.m_ready != heartbeat.ready) {
        HostChanges &changes = gateway.m_hostChanges;
        countHostChange(changes, heartbeat.ready ? changes.m_ready : changes.m_notReady, host);
    }
    peer.m_receivedAt = time;
    peer.m_probes = 0;
    peer.m_ready = heartbeat.ready;
    peer.m_checksKeys = heartbeat.checks_keys;
    peer.m_fencingToken = heartbeat.fence;
    if (heartbeat.fence > 0)
        handleHolderHeartbeat(gateway, peer, heartbeat);
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
    applyDemandReport(gateway, peer, heartbeat);
    applyStatusUpdates(gateway, heartbeat);
    applyCrashNews(gateway, heartbeat);
    applyPermits(gateway, peer, heartbeat);
    applyLeavingServers(gateway, heartbeat);
}

} // namespace

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
    heartbeat.checks_keys = gateway.m_routes && gateway.m_routes->m_accounts.m_required;
    heartbeat.fence = holdsLease(gateway) ? gateway.m_lease.m_fencingToken : 0;
    if (heartbeat.fence > 0) {
        heartbeat.lease_revision = gateway.m_lease.m_revision;
        const Millis left = gateway.m_lease.m_validUntil - now(gateway);
        heartbeat.lease_left = static_cast<std::int32_t>(left.m_count);
    }
    heartbeat.routes = gateway.m_routes ? gateway.m_routes->m_version : 0;
    heartbeat.servers_digest = digestOf(gateway.m_serverTable);
    heartbeat.servers_revision = gateway.m_serverTable.m_revision;
    addUnreachableServices(gateway, heartbeat);
    return heartbeat;
}

wire::BeatT makeBriefHeartbeat(const Gateway &gateway)
{
    wire::BeatT heartbeat;
    heartbeat.host = gateway.m_settings.m_host.m_text;
    heartbeat.ready = isReady(gateway);
    heartbeat.brief = true;
    return heartbeat;
}

void sendDatagram(Gateway &gateway, MessageKind kind, const Endpoint &endpoint,
                  const std::string &bytes)
{
    boost::system::error_code error;
    const udp::endpoint target(asio::ip::make_address(endpoint.m_ip), endpoint.m_port);
    gateway.m_udp->send_to(asio::buffer(bytes), target, 0, error);
    gateway.m_peerTraffic.m_sentBytes += bytes.size();
    gateway.m_peerTraffic.m_sent += 1;
    gateway.m_peerTraffic.m_sentOfKind[kind] += bytes.size();
    countSentMessage(gateway.m_metrics, kind, bytes.size());
    // A datagram that can't be sent counts as lost: the next heartbeat carries the same state.
}

void sendToAllPeers(Gateway &gateway, MessageKind kind, const std::string &bytes)
{
    for (const auto &[host, peer] : gateway.m_peers)
        sendDatagram(gateway, kind, peer.m_entry.m_peer, bytes);
}

bool takeBytes(ByteBudget &budget, Millis time, double bytes)
{
    const double seconds = static_cast<double>((time - budget.m_at).m_count) / 1'000;
    budget.m_left = std::min(budget.m_left + seconds * budget.m_perSecond, budget.m_burst);
    budget.m_at = time;
    if (bytes > budget.m_left)
        return false;
    budget.m_left -= bytes;
    return true;
}

bool isPeerAlive(const Gateway &gateway, const Peer &peer)
{
    return now(gateway) - peer.m_receivedAt < hostSilenceLimit;
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
        gateway.m_peerTraffic.m_receivedBytes += size;
        gateway.m_peerTraffic.m_received += 1;
        countReceivedMessage(gateway.m_metrics, size);
        const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
        flatbuffers::Verifier verifier(data, size);
        if (!verifier.VerifyBuffer<wire::Beat>())
            continue;
        wire::BeatT heartbeat;
        flatbuffers::GetRoot<wire::Beat>(data)->UnPackTo(&heartbeat);
        handlePeerHeartbeat(gateway, heartbeat, {from.address().to_string(), from.port()});
    }
}

void probeHost(Gateway &gateway, Peer &peer)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    heartbeat.reply_wanted = true;
    sendDatagram(gateway, MessageKind::Heartbeat, peer.m_entry.m_peer, encodeHeartbeat(heartbeat));
}

void broadcastHeartbeat(Gateway &gateway, bool resynchronized)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    heartbeat.audited = resynchronized;
    sendToAllPeers(gateway, MessageKind::Heartbeat, encodeHeartbeat(heartbeat));
}

void requestExtension(Gateway &gateway)
{
    ExtensionRequest &request = gateway.m_extensionRequest;
    const Millis time = now(gateway);
    if (time - request.m_requestedAt >= gateway.m_leaseTiming.m_renewInterval)
        beginExtensionRequest(gateway);
    else if (time - request.m_sentAt < extensionRepeatInterval)
        return;
    request.m_sentAt = time;
    const std::string bytes = encodeHeartbeat(extensionRequestMessage(gateway));
    for (const HostName &host : request.m_open) {
        const auto peer = gateway.m_peers.find(host);
        if (peer != gateway.m_peers.end())
            sendDatagram(gateway, MessageKind::Lease, peer->second.m_entry.m_peer, bytes);
    }
}

void broadcastRelease(Gateway &gateway, std::uint64_t position, std::uint64_t fencingToken)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    heartbeat.release = std::make_unique<wire::ReleaseEntryT>();
    heartbeat.release->position = position;
    heartbeat.release->fence = fencingToken;
    sendToAllPeers(gateway, MessageKind::Lease, encodeHeartbeat(heartbeat));
}

bool isHolderAlive(const Gateway &gateway)
{
    if (holdsLease(gateway))
        return true;
    return !gateway.m_holder.m_text.empty()
        && now(gateway) - gateway.m_holderHeartbeatAt < holderTimeout;
}

bool hasLargerHost(const Gateway &gateway)
{
    return std::any_of(gateway.m_peers.begin(), gateway.m_peers.end(), [&](const auto &peer) {
        return isLarger(peer.second.m_entry.m_capacity, gateway.m_settings.m_capacity);
    });
}

int hostRank(const Gateway &gateway)
{
    if (gateway.m_holder == gateway.m_settings.m_host)
        return 0;
    int rank = 0;
    for (const auto &[host, peer] : gateway.m_peers) {
        const bool ready = peer.m_ready && isPeerAlive(gateway, peer);
        if (ready && (host == gateway.m_holder || ranksBefore(gateway, host, peer)))
            ++rank;
    }
    return rank;
}

void sendPeriodicHeartbeat(Gateway &gateway, std::size_t &nextPeer)
{
    watchVersions(gateway);
    watchPermitStanding(gateway);
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    addQuarantineStates(gateway, heartbeat);
    addServerLimits(gateway, heartbeat);
    addLeavingServers(gateway, heartbeat);
    const std::string bytes = encodeHeartbeat(heartbeat);
    const std::size_t peers = gateway.m_peers.size();
    const std::size_t targets = std::min<std::size_t>(peers, heartbeatFanout);
    for (std::size_t sent = 0; sent < targets; ++sent) {
        const auto peer
            = std::next(gateway.m_peers.begin(), static_cast<std::ptrdiff_t>(nextPeer++ % peers));
        sendDatagram(gateway, MessageKind::Heartbeat, peer->second.m_entry.m_peer, bytes);
    }
}

asio::awaitable<void> sendHeartbeats(Gateway &gateway)
{
    std::size_t nextPeer = gateway.m_random(); // random, so that hosts start with different peers
    while (true) {
        sendPeriodicHeartbeat(gateway, nextPeer);
        dropExpiredMissing(gateway.m_serverTable, now(gateway));
        updateStatementCounts(gateway);
        reportAdmission(gateway);
        logHostChanges(gateway);
        std::erase_if(gateway.m_modelDemands,
                      [&](const auto &demand) { return isIdle(demand.second, now(gateway)); });
        co_await pauseFor(gateway, jittered(gateway, peerHeartbeatInterval));
    }
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
