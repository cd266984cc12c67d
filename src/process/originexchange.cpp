// Exchange between hosts on the software versions that began streams. The decisions are in
// streamorigins.h.
//
// A datagram with an origin may be lost, so it goes to several keepers; one with a question or a
// reply too, so a question is asked in two rounds, the second time of more hosts.
#include "process/heartbeat.h"
#include "process/log.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis replyTimeout = {60};     // for a round; some round trips between data centres
constexpr Millis lookupTimeout = {1'500}; // for a stream that is looked up in the records
constexpr std::size_t maxOriginsInDatagram = 500; // of some 30 bytes each
/// When a further version appears, the origins of streams that began within this time are sent.
constexpr Millis backlogTime = {60'000};

/// Other hosts in the order in which rendezvous hashing ranks them for the stream, `count` at most.
std::vector<HostName> hostsFor(const Gateway &gateway, StreamId stream, std::size_t count)
{
    std::vector<HostName> hosts = {gateway.m_settings.m_host};
    for (const auto &[host, peer] : gateway.m_peers)
        hosts.push_back(host);
    std::vector<HostName> ranked = rankHosts(toHex(stream), hosts);
    ranked.resize(std::min(ranked.size(), count));
    std::erase(ranked, gateway.m_settings.m_host);
    return ranked;
}

void sendTo(Gateway &gateway, const HostName &host, const wire::BeatT &heartbeat)
{
    const auto peer = gateway.m_peers.find(host);
    if (peer != gateway.m_peers.end())
        sendDatagram(gateway, MessageKind::Origin, peer->second.m_entry.m_peer,
                     encodeHeartbeat(heartbeat));
}

void addOrigin(wire::BeatT &heartbeat, StreamId stream, SoftwareId software)
{
    auto entry = std::make_unique<wire::OriginEntryT>();
    entry->stream = stream;
    entry->software = software.m_hash;
    heartbeat.origins.push_back(std::move(entry));
}

/// Sends the origin to the first `count` hosts for the stream.
void sendOrigin(Gateway &gateway, StreamId stream, SoftwareId software, std::size_t count)
{
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    addOrigin(heartbeat, stream, software);
    for (const HostName &host : hostsFor(gateway, stream, count))
        sendTo(gateway, host, heartbeat);
}

/// Sends the keepers the origins of all recent streams of this host, and has them recorded: until
/// now its services had one version each, and nothing was sent.
void sendBacklog(Gateway &gateway)
{
    std::vector<std::pair<StreamId, SoftwareId>> origins;
    for (const auto &[stream, origin] : gateway.m_streamOrigins.m_known) {
        if (origin.m_own && origin.m_recordedAt + backlogTime >= now(gateway))
            origins.emplace_back(stream, origin.m_software);
    }
    sendOriginsToKeepers(gateway, origins);
    gateway.m_originRecord.m_wanted += 1;
    wake(*gateway.m_originRecord.m_trigger);
    logEvent("several_versions",
             {{"known", std::to_string(gateway.m_streamOrigins.m_known.size())},
              {"sent", std::to_string(origins.size())}});
}

/// Asks hosts for an origin and waits until one knows it, all have replied, or the time is over.
asio::awaitable<OriginReplies> askHosts(Gateway &gateway, StreamId stream, ServiceName service,
                                        std::vector<HostName> hosts)
{
    PendingOrigin pending(gateway.m_io);
    pending.m_asked = static_cast<int>(hosts.size());
    const std::uint64_t number = ++gateway.m_lastOriginAsk;
    gateway.m_pendingOrigins[number] = &pending;
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.origin_ask = std::make_unique<wire::OriginAskT>();
    heartbeat.origin_ask->number = number;
    heartbeat.origin_ask->stream = stream;
    heartbeat.origin_ask->service = service.m_text;
    for (const HostName &host : hosts)
        sendTo(gateway, host, heartbeat);
    if (!hosts.empty())
        co_await sleepUntilWoken(pending.m_timer, replyTimeout);
    gateway.m_pendingOrigins.erase(number);
    pending.m_replies.m_asked = pending.m_asked;
    co_return pending.m_replies;
}

/// Finds the origin of a stream that no host was found to know: in the records, or by the rule that
/// such a stream began at the first version. That rule doesn't hold while origins may be in no
/// record because the store was away, or came back from a copy.
asio::awaitable<void> completeFromRecords(Gateway &gateway, StreamId stream, ServiceName service,
                                          OriginReplies &replies)
{
    const bool read = co_await lookUpOrigin(gateway, stream, lookupTimeout);
    if (!read)
        co_return;
    replies.m_software = findOrigin(gateway.m_streamOrigins, stream);
    replies.m_source = OriginSource::Record;
    const StoreHealth &store = gateway.m_storeHealth;
    const Millis time = now(gateway);
    const bool complete = !store.m_unavailable && store.m_recoveredAt + recordedTime < time
        && gateway.m_originRecord.m_incompleteUntil < time;
    if (!replies.m_software && complete) {
        replies.m_software = firstVersion(gateway.m_serviceVersions, service);
        replies.m_source = OriginSource::FirstVersion;
    }
    if (!replies.m_software)
        replies.m_source = OriginSource::Unknown;
}

void replyToAsk(Gateway &gateway, const Peer &peer, const wire::OriginAskT &ask)
{
    const auto software = findOrigin(gateway.m_streamOrigins, ask.stream);
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.origin_reply = std::make_unique<wire::OriginReplyT>();
    heartbeat.origin_reply->number = ask.number;
    heartbeat.origin_reply->known = software.has_value();
    heartbeat.origin_reply->software = software.value_or(SoftwareId{}).m_hash;
    heartbeat.origin_reply->several = hasSeveralVersions(gateway.m_serviceVersions, {ask.service});
    sendDatagram(gateway, MessageKind::Origin, peer.m_entry.m_peer, encodeHeartbeat(heartbeat));
}

void applyReply(Gateway &gateway, const wire::OriginReplyT &reply)
{
    const auto found = gateway.m_pendingOrigins.find(reply.number);
    if (found == gateway.m_pendingOrigins.end())
        return; // it came too late
    PendingOrigin &pending = *found->second;
    OriginReplies &replies = pending.m_replies;
    replies.m_received += 1;
    replies.m_several = replies.m_several || reply.several;
    if (reply.known && !replies.m_software) {
        replies.m_software = SoftwareId{reply.software};
        replies.m_source = OriginSource::Host;
    }
    if (replies.m_software || replies.m_received >= pending.m_asked)
        wake(pending.m_timer);
}

} // namespace

asio::awaitable<void> announceOrigin(Gateway &gateway, StreamId stream, ServiceName service,
                                     SoftwareId software)
{
    recordOrigin(gateway.m_streamOrigins, stream, {software, now(gateway), true});
    watchVersions(gateway); // the stream may be the first one of a new version
    if (!hasSeveralVersions(gateway.m_serviceVersions, service))
        co_return;
    sendOrigin(gateway, stream, software, originKeepers);
    const bool recorded = co_await waitForOriginRecord(gateway);
    if (!recorded)
        sendOrigin(gateway, stream, software, originKeepersWithoutRecord);
}

asio::awaitable<OriginReplies> askForOrigin(Gateway &gateway, StreamId stream, ServiceName service)
{
    OriginReplies replies;
    replies.m_several = hasSeveralVersions(gateway.m_serviceVersions, service);
    replies.m_software = findOrigin(gateway.m_streamOrigins, stream);
    if (replies.m_software)
        replies.m_source = OriginSource::Here;
    for (const std::size_t count : {originKeepers, originKeepersWithoutRecord}) {
        if (replies.m_software)
            break;
        const OriginReplies got
            = co_await askHosts(gateway, stream, service, hostsFor(gateway, stream, count));
        replies.m_software = got.m_software;
        replies.m_source = got.m_source;
        replies.m_several = replies.m_several || got.m_several;
        replies.m_asked += got.m_asked;
        replies.m_received += got.m_received;
    }
    if (!replies.m_software && replies.m_several)
        co_await completeFromRecords(gateway, stream, service, replies);
    co_return replies;
}

void sendOriginsToKeepers(Gateway &gateway,
                          const std::vector<std::pair<StreamId, SoftwareId>> &origins)
{
    std::map<HostName, wire::BeatT> heartbeats;
    for (const auto &[stream, software] : origins) {
        for (const HostName &host : hostsFor(gateway, stream, originKeepers)) {
            wire::BeatT &heartbeat
                = heartbeats.try_emplace(host, makeBriefHeartbeat(gateway)).first->second;
            addOrigin(heartbeat, stream, software);
            if (heartbeat.origins.size() == maxOriginsInDatagram) {
                sendTo(gateway, host, heartbeat);
                heartbeats.erase(host);
            }
        }
    }
    for (const auto &[host, heartbeat] : heartbeats)
        sendTo(gateway, host, heartbeat);
}

void watchVersions(Gateway &gateway)
{
    if (!gateway.m_serverTableLoaded)
        return; // of a part of the list one version could seem to be the only one
    const Millis time = now(gateway);
    if (updateVersions(gateway.m_serviceVersions, gateway.m_serverTable, time))
        sendBacklog(gateway);
    const OriginRecordState &record = gateway.m_originRecord;
    if (versionSetsOf(gateway.m_serviceVersions) != record.m_written.m_versions)
        wake(*record.m_trigger);
}

void applyOrigins(Gateway &gateway, const Peer &peer, const wire::BeatT &heartbeat)
{
    for (const auto &entry : heartbeat.origins)
        recordOrigin(gateway.m_streamOrigins, entry->stream,
                     {{entry->software}, now(gateway), false});
    if (heartbeat.origin_ask)
        replyToAsk(gateway, peer, *heartbeat.origin_ask);
    if (heartbeat.origin_reply)
        applyReply(gateway, *heartbeat.origin_reply);
}

} // namespace apricot
