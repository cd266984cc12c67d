// Exchange between hosts on servers that name a limit for the requests of all hosts together. The
// decisions are in serverlimits.h. A host that gives no permits for a server doesn't reply, also
// because hosts of older builds then ask another one.
#include "process/heartbeat.h"
#include "process/log.h"

#include <cmath>

namespace apricot {

namespace {

constexpr Millis replyTimeout = {60};       // for a permit; some round trips between data centres
constexpr int asksOfOneHost = 2;            // before another host is asked: a datagram may be lost
constexpr std::size_t hostsToAsk = 2;       // primary and deputy
constexpr Millis unreachableTime = {1'000}; // for which a host that didn't reply isn't asked
/// Time since the last heartbeat for which a host counts that isn't in the register, as known here:
/// with the most hosts, each hears each other one so often.
constexpr Millis unregisteredTime = {25'000};
/// Time for which a server isn't chosen if no host replied.
constexpr Millis noReplyPause = {200};
constexpr std::size_t limitsPerHeartbeat = 2;    // in rotation
constexpr std::size_t newLimitsPerHeartbeat = 8; // more only while they are new
constexpr Millis newLimitTime = {3'000};
constexpr std::size_t maxSchedules = 1'024; // more than servers that one host gives permits for

/// The server whose present process has that id; null if this host doesn't know it.
KnownServer *findProcess(Gateway &gateway, std::uint64_t process)
{
    for (auto &[id, known] : gateway.m_serverTable.m_servers) {
        if (processId(known) == process)
            return &known;
    }
    return nullptr;
}

std::unique_ptr<wire::LimitEntryT> encodeLimit(const KnownServer &known, Millis time)
{
    auto entry = std::make_unique<wire::LimitEntryT>();
    entry->process = processId(known);
    entry->rate = static_cast<float>(known.m_said.m_limit->m_rate);
    entry->age_ms = static_cast<std::int32_t>((time - known.m_said.m_limit->m_namedAt).m_count);
    return entry;
}

void logNewLimit(const KnownServer &known, const char *why)
{
    logEvent("server_limit",
             {{"server", known.m_server.m_id.m_text},
              {"rate", std::to_string(known.m_said.m_limit->m_rate)},
              {"why", why}});
}

/// Takes over a limit that another host knows. Returns the server; null if it isn't known here.
KnownServer *applyLimit(Gateway &gateway, const wire::LimitEntryT &entry)
{
    KnownServer *known = findProcess(gateway, entry.process);
    if (!known)
        return nullptr;
    const Millis time = now(gateway);
    const Millis namedAt = time - Millis{std::max(entry.age_ms, 0)};
    if (mergeLimit(*known, entry.rate, namedAt, time))
        logNewLimit(*known, "another host");
    return known;
}

/// This host and the others in the register, as known here.
std::vector<HostName> registeredHosts(const Gateway &gateway)
{
    std::vector<HostName> hosts = {gateway.m_settings.m_host};
    for (const auto &[host, peer] : gateway.m_peers)
        hosts.push_back(host);
    return hosts;
}

/// The part of the server's permits that this host may give now.
PermitRole ownRole(const Gateway &gateway, const InstanceId &server)
{
    if (gateway.m_stopping)
        return PermitRole::None;
    const Millis time = now(gateway);
    std::vector<HostName> hosts = registeredHosts(gateway);
    for (const auto &[host, heardAt] : gateway.m_unregisteredHosts) {
        if (time - heardAt < unregisteredTime && !gateway.m_peers.contains(host))
            hosts.push_back(host);
    }
    return permitRole(gateway.m_permits.m_standing, server, gateway.m_settings.m_host,
                      std::move(hosts), time);
}

/// Gives a permit for the server, or tells when the next one is due. Empty: this host gives none
/// for it.
std::optional<PermitReply> givePermit(Gateway &gateway, const InstanceId &server, double rate)
{
    watchPermitStanding(gateway);
    const PermitRole role = ownRole(gateway, server);
    auto &schedules = gateway.m_permits.m_schedules;
    if (role == PermitRole::None) {
        schedules.erase(server); // a later one starts without a burst
        return {};
    }
    const Millis time = now(gateway);
    auto schedule = schedules.find(server);
    if (schedule == schedules.end()) {
        std::erase_if(schedules, [&](const auto &kept) {
            return !knownServer(gateway.m_serverTable, kept.first);
        });
        if (schedules.size() >= maxSchedules)
            return PermitReply{false, noReplyPause};
        schedule = schedules.emplace(server, startSchedule(role, rate, time)).first;
    }
    const auto wait = takePermit(schedule->second, role, rate, time);
    return PermitReply{!wait, wait.value_or(Millis{})};
}

/// The hosts to ask for permits for the server, in this order: primary and deputy.
std::vector<HostName> hostsToAskFor(const Gateway &gateway, const InstanceId &server)
{
    std::vector<HostName> hosts = permitHosts(server, registeredHosts(gateway));
    hosts.resize(std::min(hosts.size(), hostsToAsk));
    return hosts;
}

bool isUnreachable(const Gateway &gateway, const HostName &host)
{
    const auto &unreachable = gateway.m_permits.m_unreachableUntil;
    const auto until = unreachable.find(host);
    return until != unreachable.end() && now(gateway) < until->second;
}

/// Asks another host for a permit once; empty if no reply came.
asio::awaitable<std::optional<PermitReply>> askHost(Gateway &gateway, HostName host,
                                                    InstanceId server)
{
    Permits &permits = gateway.m_permits;
    const auto peer = gateway.m_peers.find(host);
    const KnownServer *known = knownServer(gateway.m_serverTable, server);
    if (peer == gateway.m_peers.end() || !known || !known->m_said.m_limit)
        co_return std::nullopt;
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.permit_ask = std::make_unique<wire::PermitAskT>();
    heartbeat.permit_ask->number = ++permits.m_lastNumber;
    heartbeat.permit_ask->limit = encodeLimit(*known, now(gateway));
    const std::uint64_t number = permits.m_lastNumber;
    PendingPermit pending(gateway.m_io);
    permits.m_pending[number] = &pending;
    sendDatagram(gateway, MessageKind::Permit, peer->second.m_entry.m_peer,
                 encodeHeartbeat(heartbeat));
    co_await sleepUntilWoken(pending.m_timer, replyTimeout);
    permits.m_pending.erase(number);
    co_return pending.m_reply;
}

/// Asks another host for a permit, again if no reply comes.
asio::awaitable<std::optional<PermitReply>> askOtherHost(Gateway &gateway, HostName host,
                                                         InstanceId server)
{
    for (int time = 0; time < asksOfOneHost; ++time) {
        const auto reply = co_await askHost(gateway, host, server);
        if (reply)
            co_return reply;
    }
    gateway.m_permits.m_unreachableUntil[host] = now(gateway) + unreachableTime;
    logWarning("permit_host_silent", {{"peer", host.m_text}, {"server", server.m_text}});
    co_return std::nullopt;
}

/// Gives a permit to a request of this host. Empty: this host gives none for the server.
std::optional<PermitReply> giveOwnPermit(Gateway &gateway, const InstanceId &server)
{
    const KnownServer *known = knownServer(gateway.m_serverTable, server);
    if (!known || !known->m_said.m_limit)
        return PermitReply{false, noReplyPause};
    return givePermit(gateway, server, known->m_said.m_limit->m_rate);
}

/// Asks the primary of the server, and if it doesn't reply, the deputy.
asio::awaitable<PermitReply> askForPermit(Gateway &gateway, InstanceId server)
{
    for (const HostName &host : hostsToAskFor(gateway, server)) {
        std::optional<PermitReply> reply;
        if (host == gateway.m_settings.m_host)
            reply = giveOwnPermit(gateway, server);
        else if (!isUnreachable(gateway, host))
            reply = co_await askOtherHost(gateway, host, server);
        if (reply)
            co_return *reply;
    }
    co_return PermitReply{false, noReplyPause};
}

void replyToAsk(Gateway &gateway, const Peer &peer, const wire::PermitAskT &ask)
{
    if (!ask.limit || !std::isfinite(ask.limit->rate))
        return;
    const KnownServer *known = applyLimit(gateway, *ask.limit);
    if (!known)
        return; // the asking host turns to another one
    const InstanceId server = known->m_server.m_id;
    // This host may have been told that the limit ended.
    const double named = known->m_said.m_limit ? known->m_said.m_limit->m_rate : ask.limit->rate;
    const double rate = std::clamp(named, lowestLimit, highestLimit);
    const auto reply = givePermit(gateway, server, rate);
    if (!reply)
        return;
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.permit_reply = std::make_unique<wire::PermitReplyT>();
    heartbeat.permit_reply->number = ask.number;
    heartbeat.permit_reply->granted = reply->m_granted;
    heartbeat.permit_reply->wait_ms = static_cast<std::int32_t>(reply->m_wait.m_count);
    sendDatagram(gateway, MessageKind::Permit, peer.m_entry.m_peer, encodeHeartbeat(heartbeat));
}

void applyReply(Gateway &gateway, const wire::PermitReplyT &reply)
{
    const auto pending = gateway.m_permits.m_pending.find(reply.number);
    if (pending == gateway.m_permits.m_pending.end())
        return; // it came too late
    pending->second->m_reply = PermitReply{reply.granted, {std::max(reply.wait_ms, 1)}};
    wake(pending->second->m_timer);
}

} // namespace

void watchPermitStanding(Gateway &gateway)
{
    const auto &peers = gateway.m_peers;
    const bool hearsOthers = peers.empty()
        || std::any_of(peers.begin(), peers.end(),
                       [&](const auto &peer) { return isPeerAlive(gateway, peer.second); });
    Permits &permits = gateway.m_permits;
    if (noteStanding(permits.m_standing, hearsOthers, now(gateway)))
        permits.m_schedules.clear(); // other hosts may have given permits meanwhile
}

void recordServerLimit(Gateway &gateway, KnownServer &known, const LimitStatement &statement)
{
    const bool hadLimit = known.m_said.m_limit.has_value();
    const bool isNews = recordLimit(known, statement, now(gateway));
    if (hadLimit && !known.m_said.m_limit)
        logEvent("server_limit_ended", {{"server", known.m_server.m_id.m_text}});
    if (isNews)
        logNewLimit(known, "answer");
}

asio::awaitable<bool> requestPermit(Gateway &gateway, InstanceId server)
{
    const PermitReply reply = co_await askForPermit(gateway, server);
    KnownServer *known = knownServer(gateway.m_serverTable, server);
    if (!known)
        co_return false; // removed while the reply was under way
    if (!reply.m_granted)
        known->m_noPermitUntil = now(gateway) + reply.m_wait;
    co_return reply.m_granted;
}

void addServerLimits(Gateway &gateway, wire::BeatT &heartbeat)
{
    const Millis time = now(gateway);
    const auto &servers = gateway.m_serverTable.m_servers;
    const auto addIf = [&](const KnownServer &known, bool wanted) {
        if (wanted)
            heartbeat.limits.push_back(encodeLimit(known, time));
        return wanted;
    };
    addInTurn(servers, gateway.m_permits.m_lastNewSent, newLimitsPerHeartbeat,
              [&](const auto &server) {
                  const auto &limit = server.second.m_said.m_limit;
                  return addIf(server.second, limit && time - limit->m_changedAt < newLimitTime);
              });
    const std::size_t added = std::min(heartbeat.limits.size(), limitsPerHeartbeat);
    addInTurn(servers, gateway.m_permits.m_lastSent, limitsPerHeartbeat - added,
              [&](const auto &server) {
                  return addIf(server.second, server.second.m_said.m_limit.has_value());
              });
}

void applyPermits(Gateway &gateway, const Peer &peer, const wire::BeatT &heartbeat)
{
    for (const auto &entry : heartbeat.limits)
        applyLimit(gateway, *entry);
    if (heartbeat.permit_ask)
        replyToAsk(gateway, peer, *heartbeat.permit_ask);
    if (heartbeat.permit_reply)
        applyReply(gateway, *heartbeat.permit_reply);
}

} // namespace apricot
