// Other hosts: the register in the store, beats between hosts, and address answers for callers.
//
// Beats are datagrams that may be lost. Each says what its sender believes now, so the next one
// repairs what a lost one left open.
#include "generated/beat_generated.h"
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/json.hpp>
#include <cmath>

namespace apricot {

namespace {

using udp = asio::ip::udp;
constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);

constexpr Millis beatPeriod = {400};
constexpr Millis tellPeriod = {300};      // to the lease holder, while there is something to tell
constexpr Millis tellPause = {4};         // between two tellings
constexpr Millis silentAfter = {1'500};   // a host unheard for so long gets no new callers
constexpr Millis goneAfter = {6'000};     // a silent host leaves the register
constexpr Millis clearPeriod = {2'000};   // between looks at the register
constexpr Millis strangerTime = {10'000}; // after a stranger was heard nothing is promised
constexpr int beatTargets = 8;            // hosts that hear each periodic beat
constexpr std::size_t datagramLimit = 60'000; // bytes

bool heardLately(const Gateway &gateway, const Peer &peer)
{
    return now(gateway) - peer.m_heard < silentAfter;
}

std::string packBeat(const wire::BeatT &beat)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Beat::Pack(builder, &beat));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

wire::BeatT makeBeat(const Gateway &gateway)
{
    wire::BeatT beat;
    beat.host = gateway.m_settings.m_host.m_text;
    beat.run = gateway.m_run;
    beat.ready = isReady(gateway);
    beat.fence = holdsLease(gateway) ? gateway.m_lease.m_fence : 0;
    if (beat.fence > 0) {
        beat.lease_revision = gateway.m_lease.m_revision;
        const Millis left = gateway.m_lease.m_validUntil - now(gateway);
        beat.lease_left = static_cast<std::int32_t>(left.m_count);
    }
    beat.routes = gateway.m_routes ? gateway.m_routes->m_version : 0;
    beat.servers_digest = digestOf(gateway.m_roster);
    beat.servers_revision = gateway.m_roster.m_revision;
    return beat;
}

void sendTo(Gateway &gateway, const Endpoint &endpoint, const std::string &bytes)
{
    boost::system::error_code error;
    const udp::endpoint at(asio::ip::make_address(endpoint.m_ip), endpoint.m_port);
    gateway.m_udp->send_to(asio::buffer(bytes), at, 0, error);
    // A datagram that can't go now is one that got lost: the next beat says the same.
}

void sendToAll(Gateway &gateway, const wire::BeatT &beat)
{
    const std::string bytes = packBeat(beat);
    for (const auto &[host, peer] : gateway.m_peers)
        sendTo(gateway, peer.m_entry.m_peer, bytes);
}

ModelDemand demandOf(const wire::WantEntryT &entry)
{
    ModelDemand demand;
    demand.m_model = {entry.model};
    demand.m_adapter = {entry.adapter};
    demand.m_waiting = entry.waiting;
    demand.m_oldest = {entry.oldest_ms};
    demand.m_hopeful = entry.hopeful;
    demand.m_slack = {entry.slack_ms};
    demand.m_rate = entry.rate;
    demand.m_running = entry.running;
    return demand;
}

ServerWord wordOf(const wire::NoticeEntryT &notice)
{
    ServerWord word;
    word.m_born = notice.born;
    word.m_sequence = notice.sequence;
    word.m_busy = notice.busy;
    for (const auto &entry : notice.models) {
        LoadedModel loaded;
        loaded.m_name.m_text = entry->model;
        for (const std::string &adapter : entry->adapters)
            loaded.m_adapters.push_back({adapter});
        word.m_models.push_back(std::move(loaded));
    }
    return word;
}

/// A host that the register didn't show us was heard: it could not be asked.
bool strangerLately(const Gateway &gateway)
{
    return std::any_of(
        gateway.m_strangers.begin(), gateway.m_strangers.end(),
        [&](const auto &stranger) { return now(gateway) - stranger.second < strangerTime; });
}

/// The holder tells how long its record is good for, so that a successor need not wait for that
/// from its first look at the store.
void takeHolderBeat(Gateway &gateway, const Peer &peer, const wire::BeatT &beat)
{
    const HostName host = {beat.host};
    const Millis time = now(gateway);
    if (gateway.m_holder != host)
        logEvent("holder_heard", {{"of", beat.host}, {"fence", std::to_string(beat.fence)}});
    gateway.m_holder = host;
    gateway.m_holderHeard = time;
    const LeaseRecord record = {machineOf(host, peer.m_entry.m_peer), beat.run, beat.fence};
    const Millis since = time + Millis{beat.lease_left} - gateway.m_leaseTiming.m_length;
    seeLease(gateway.m_lease, record, beat.lease_revision, since);
}

/// Grants the holder more time, if it asked all the hosts that we know.
void answerAsk(Gateway &gateway, const Peer &peer, const wire::BeatT &beat)
{
    const std::set<std::string> asked(beat.ask_hosts.begin(), beat.ask_hosts.end());
    bool all = asked.contains(gateway.m_settings.m_host.m_text) && !strangerLately(gateway);
    for (const auto &[host, other] : gateway.m_peers)
        all = all && (host.m_text == beat.host || asked.contains(host.m_text));
    if (!all || !promiseLease(gateway.m_lease, beat.fence, now(gateway)))
        return;
    wire::BeatT promise = makeBeat(gateway);
    promise.promise = beat.ask;
    sendTo(gateway, peer.m_entry.m_peer, packBeat(promise));
}

void takePromise(Gateway &gateway, const HostName &host, std::uint64_t number)
{
    LeaseAsk &ask = gateway.m_leaseAsk;
    if (number != ask.m_number || ask.m_open.erase(host) == 0 || !ask.m_open.empty())
        return;
    if (gateway.m_lease.m_fence == 0 || strangerLately(gateway))
        return;
    extendLease(gateway.m_lease, gateway.m_leaseTiming, ask.m_asked);
    const bool first = !std::exchange(ask.m_extended, true);
    if (first)
        logEvent("lease_extended",
                 {{"fence", std::to_string(gateway.m_lease.m_fence)},
                  {"hosts", std::to_string(gateway.m_peers.size())}});
}

void takeBeat(Gateway &gateway, const wire::BeatT &beat)
{
    const HostName host = {beat.host};
    const auto found = gateway.m_peers.find(host);
    if (found == gateway.m_peers.end()) {
        // A host that isn't ready takes no lease: it is starting or stopping.
        if (host != gateway.m_settings.m_host && beat.ready)
            gateway.m_strangers[host] = now(gateway);
        return; // not registered, or not yet known to be
    }
    Peer &peer = found->second;
    const Millis time = now(gateway);
    if (peer.m_ready != beat.ready)
        logEvent("host_heard", {{"of", beat.host}, {"ready", beat.ready ? "yes" : "no"}});
    peer.m_heard = time;
    peer.m_ready = beat.ready;
    peer.m_fence = beat.fence;
    if (beat.fence > 0)
        takeHolderBeat(gateway, peer, beat);
    if (beat.released > 0) {
        seeRelease(gateway.m_lease, beat.run, beat.released, time);
        gateway.m_holder = {};
    }
    if (beat.ask > 0)
        answerAsk(gateway, peer, beat);
    if (beat.promise > 0)
        takePromise(gateway, host, beat.promise);
    if (beat.audited)
        gateway.m_auditHeard = time;
    catchUp(gateway, beat.routes, beat.servers_digest, beat.servers_revision);
    if (beat.tells_use) {
        peer.m_wants.clear();
        peer.m_uses.clear();
        peer.m_usesHeard = time;
        for (const auto &entry : beat.wants) {
            const WantKey key = {{entry->service}, {entry->model}, {entry->adapter}};
            peer.m_wants[key] = demandOf(*entry);
        }
        for (const auto &entry : beat.uses)
            peer.m_uses[{{entry->server}, {entry->model}}] = entry->running;
        wake(*gateway.m_planNow);
    }
    bool changed = false;
    for (const auto &notice : beat.notices)
        changed |= takeNotice(gateway.m_roster, {notice->server}, wordOf(*notice), time);
    if (changed)
        wakeWaiting(gateway);
}

void addWants(const Gateway &gateway, wire::BeatT &beat)
{
    const Millis time = now(gateway);
    for (const auto &[key, want] : gateway.m_wants) {
        if (isIdle(want, time))
            continue;
        const ModelDemand demand = demandOf(key, want, time);
        auto entry = std::make_unique<wire::WantEntryT>();
        entry->service = key.m_service.m_text;
        entry->model = key.m_model.m_text;
        entry->adapter = key.m_adapter.m_text;
        entry->waiting = demand.m_waiting;
        entry->oldest_ms = demand.m_oldest.m_count;
        entry->hopeful = demand.m_hopeful;
        entry->slack_ms = demand.m_slack.m_count;
        entry->rate = static_cast<float>(demand.m_rate);
        entry->running = demand.m_running;
        beat.wants.push_back(std::move(entry));
    }
    for (const auto &[id, known] : gateway.m_roster.m_servers) {
        for (const auto &[model, running] : known.m_running) {
            if (running == 0)
                continue;
            auto entry = std::make_unique<wire::UseEntryT>();
            entry->server = id.m_text;
            entry->model = model.m_text;
            entry->running = running;
            beat.uses.push_back(std::move(entry));
        }
    }
}

boost::json::value writeHostEntry(const Gateway &gateway)
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

std::optional<HostEntry> readHostEntry(const StoredObject &object)
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

/// Creates or replaces our entry; false if the store didn't take it.
asio::awaitable<bool> writeOwnEntry(Gateway &gateway)
{
    const std::string &name = gateway.m_settings.m_host.m_text;
    const boost::json::value content = writeHostEntry(gateway);
    HttpRequest create = gateway.m_protocol->createObject(ObjectKind::Hosts, name, content);
    StoreReply reply = co_await changeStore(gateway, "register", std::move(create));
    if (reply.m_outcome == StoreOutcome::Conflict && reply.m_object) {
        HttpRequest replace = gateway.m_protocol->replaceObject(
            ObjectKind::Hosts, name, reply.m_object->m_revision, content);
        reply = co_await changeStore(gateway, "register", std::move(replace));
    }
    if (reply.m_outcome != StoreOutcome::Done)
        co_return false;
    gateway.m_hostRevision = reply.m_object ? reply.m_object->m_revision : 1;
    // The holder learns of us only now: what we saw of its record before doesn't count.
    gateway.m_lease.m_seenSince = std::max(gateway.m_lease.m_seenSince, now(gateway));
    co_return true;
}

} // namespace

asio::awaitable<void> registerHost(Gateway &gateway)
{
    Millis pause = {100};
    constexpr Millis longest = {2'000};
    while (!gateway.m_stopping && !co_await writeOwnEntry(gateway)) {
        co_await backOff(gateway, pause, longest);
    }
    logEvent("registered", {{"revision", std::to_string(gateway.m_hostRevision)}});
}

asio::awaitable<void> unregisterHost(Gateway &gateway)
{
    HttpRequest request = gateway.m_protocol->deleteObject(
        ObjectKind::Hosts, gateway.m_settings.m_host.m_text, gateway.m_hostRevision);
    gateway.m_hostRevision = 0;
    const StoreReply reply = co_await changeStore(gateway, "unregister", std::move(request));
    if (reply.m_outcome != StoreOutcome::Done)
        logWarning("unregister_failed", {{"why", reply.m_detail}});
}

asio::awaitable<bool> isRegistered(Gateway &gateway)
{
    HttpRequest request
        = gateway.m_protocol->getObject(ObjectKind::Hosts, gateway.m_settings.m_host.m_text);
    const StoreReply reply = co_await changeStore(gateway, "register", std::move(request));
    if (reply.m_outcome == StoreOutcome::Missing && !gateway.m_stopping) {
        gateway.m_hostRevision = 0;
        co_await registerHost(gateway);
    }
    co_return reply.m_outcome == StoreOutcome::Done;
}

asio::awaitable<void> clearRegister(Gateway &gateway)
{
    while (true) {
        co_await pauseFor(gateway, jittered(gateway, clearPeriod));
        if (!holdsLease(gateway) || gateway.m_storeHealth.m_away)
            continue;
        std::vector<HostEntry> silent;
        for (const auto &[host, peer] : gateway.m_peers) {
            if (now(gateway) - std::max(peer.m_heard, peer.m_known) > goneAfter)
                silent.push_back(peer.m_entry);
        }
        for (const HostEntry &entry : silent) {
            HttpRequest request = gateway.m_protocol->deleteObject(
                ObjectKind::Hosts, entry.m_host.m_text, entry.m_revision);
            const StoreReply reply = co_await changeStore(gateway, "clear", std::move(request));
            logEvent("host_cleared", {{"of", entry.m_host.m_text}, {"outcome", reply.m_detail}});
        }
    }
}

void takeHostEntry(Gateway &gateway, const StoredObject &object)
{
    const HostName host = {object.m_name};
    if (host == gateway.m_settings.m_host) {
        const bool lost = object.m_deleted && object.m_revision > gateway.m_hostRevision
            && gateway.m_hostRevision > 0 && !gateway.m_stopping;
        if (lost) {
            logWarning("register_lost", {{"revision", std::to_string(object.m_revision)}});
            gateway.m_hostRevision = 0;
            begin(gateway, "register", registerHost(gateway));
        }
        return;
    }
    if (object.m_deleted) {
        gateway.m_peers.erase(host);
        logEvent("host_gone", {{"of", object.m_name}});
        return;
    }
    const auto entry = readHostEntry(object);
    if (!entry) {
        logWarning("host_unreadable", {{"of", object.m_name}});
        return;
    }
    gateway.m_strangers.erase(host);
    Peer &peer = gateway.m_peers[host];
    if (peer.m_entry.m_run != entry->m_run) {
        peer = Peer();
        peer.m_known = now(gateway);
        logEvent("host_known", {{"of", object.m_name}, {"at", toText(entry->m_caller)}});
    }
    peer.m_entry = *entry;
}

asio::awaitable<void> hearBeats(Gateway &gateway)
{
    std::string bytes(datagramLimit, '\0');
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
        wire::BeatT beat;
        flatbuffers::GetRoot<wire::Beat>(data)->UnPackTo(&beat);
        takeBeat(gateway, beat);
    }
}

void beatNow(Gateway &gateway, bool audited)
{
    wire::BeatT beat = makeBeat(gateway);
    beat.audited = audited;
    sendToAll(gateway, beat);
}

void askForLease(Gateway &gateway)
{
    LeaseAsk &ask = gateway.m_leaseAsk;
    ask.m_number += 1;
    ask.m_asked = now(gateway);
    ask.m_open.clear();
    wire::BeatT beat = makeBeat(gateway);
    beat.ask = ask.m_number;
    beat.ask_hosts.push_back(gateway.m_settings.m_host.m_text);
    for (const auto &[host, peer] : gateway.m_peers) {
        ask.m_open.insert(host);
        beat.ask_hosts.push_back(host.m_text);
    }
    sendToAll(gateway, beat);
}

void tellRelease(Gateway &gateway, std::uint64_t revision)
{
    wire::BeatT beat = makeBeat(gateway);
    beat.released = revision;
    sendToAll(gateway, beat);
}

int hostRank(const Gateway &gateway)
{
    const HostName &self = gateway.m_settings.m_host;
    if (gateway.m_holder == self)
        return 0;
    int rank = 0;
    for (const auto &[host, peer] : gateway.m_peers) {
        const bool heard = peer.m_ready && heardLately(gateway, peer);
        if (heard && (host < self || host == gateway.m_holder))
            ++rank;
    }
    return rank;
}

asio::awaitable<void> sendBeats(Gateway &gateway)
{
    std::size_t turn = gateway.m_random();
    while (true) {
        const std::string bytes = packBeat(makeBeat(gateway));
        const std::size_t peers = gateway.m_peers.size();
        const std::size_t targets = std::min<std::size_t>(peers, beatTargets);
        for (std::size_t sent = 0; sent < targets; ++sent) {
            const auto at
                = std::next(gateway.m_peers.begin(), static_cast<std::ptrdiff_t>(turn++ % peers));
            sendTo(gateway, at->second.m_entry.m_peer, bytes);
        }
        dropMissing(gateway.m_roster, now(gateway));
        std::erase_if(gateway.m_wants,
                      [&](const auto &want) { return isIdle(want.second, now(gateway)); });
        co_await pauseFor(gateway, jittered(gateway, beatPeriod));
    }
}

asio::awaitable<void> tellHolder(Gateway &gateway)
{
    bool told = false; // something, the last time
    while (true) {
        co_await sleepUntilWoken(*gateway.m_tellNow, tellPeriod);
        co_await pauseFor(gateway, tellPause);
        if (holdsLease(gateway)) {
            wake(*gateway.m_planNow);
            continue;
        }
        const auto holder = gateway.m_peers.find(gateway.m_holder);
        if (holder == gateway.m_peers.end())
            continue;
        wire::BeatT beat = makeBeat(gateway);
        beat.tells_use = true;
        addWants(gateway, beat);
        const bool something = !beat.wants.empty() || !beat.uses.empty();
        if (something || told)
            sendTo(gateway, holder->second.m_entry.m_peer, packBeat(beat));
        told = something;
    }
}

void announce(Gateway &gateway, const InstanceId &server, const ServerWord &word)
{
    takeNotice(gateway.m_roster, server, word, now(gateway));
    wakeWaiting(gateway);
    wire::BeatT beat = makeBeat(gateway);
    auto notice = std::make_unique<wire::NoticeEntryT>();
    notice->server = server.m_text;
    notice->born = word.m_born;
    notice->sequence = word.m_sequence;
    notice->busy = word.m_busy;
    for (const LoadedModel &loaded : word.m_models) {
        auto entry = std::make_unique<wire::LoadedEntryT>();
        entry->model = loaded.m_name.m_text;
        for (const AdapterName &adapter : loaded.m_adapters)
            entry->adapters.push_back(adapter.m_text);
        notice->models.push_back(std::move(entry));
    }
    beat.notices.push_back(std::move(notice));
    sendToAll(gateway, beat);
}

std::vector<Endpoint> callerAddresses(const Gateway &gateway)
{
    std::vector<Endpoint> addresses;
    std::vector<Endpoint> unheard;
    if (isReady(gateway))
        addresses.push_back(gateway.m_settings.m_caller);
    for (const auto &[host, peer] : gateway.m_peers) {
        const bool heard = heardLately(gateway, peer);
        if (heard && peer.m_ready)
            addresses.push_back(peer.m_entry.m_caller);
        else if (!heard)
            unheard.push_back(peer.m_entry.m_caller);
    }
    return addresses.empty() ? unheard : addresses;
}

int hostCount(const Gateway &gateway)
{
    return static_cast<int>(gateway.m_peers.size()) + 1;
}

} // namespace apricot
