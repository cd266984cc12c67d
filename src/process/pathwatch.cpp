// Watches this host's paths to the backend servers: probes those that may be lost, and tells the
// other hosts of services of which this host reaches no server. The decisions are in
// serverpaths.h.
#include "process/heartbeat.h"
#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis checkInterval = {100};
/// Idle connections to the servers of a service aren't used if nothing was heard of it for so long:
/// a request on a connection whose path is lost may be lost too.
constexpr Millis reuseTime = {700};
constexpr int maxProbesAtOnce = 32;
constexpr Millis logInterval = {1'000};
constexpr Millis suspicionTime = {1'000}; // for which a lost path calls for probes of others
/// Several hosts may lose their paths one after the other: only after this time is one that tells
/// of no loss taken at its word.
constexpr Millis cutSettleTime = {1'000};

/// Whether requests would be sent to the server if there was a path.
bool isInUse(const KnownServer &known)
{
    return !isLeaving(known) && !known.m_missing;
}

/// Counts a change for the next log line: a host may lose the paths to hundreds of servers at once.
void countChange(PathWatch &watch, int &counter, const KnownServer &known)
{
    constexpr std::size_t maxLoggedNames = 200; // characters
    counter += 1;
    if (watch.m_some.size() < maxLoggedNames)
        watch.m_some += (watch.m_some.empty() ? "" : " ") + known.m_server.m_id.m_text;
}

void logChanges(Gateway &gateway)
{
    PathWatch &watch = gateway.m_paths;
    const Millis time = now(gateway);
    if (watch.m_lost + watch.m_regained == 0 || time - watch.m_loggedAt < logInterval)
        return;
    const auto &servers = gateway.m_serverTable.m_servers;
    const auto lost = std::count_if(servers.begin(), servers.end(), [](const auto &server) {
        return isLost(server.second.m_path);
    });
    logEvent("server_paths",
             {{"lost", std::to_string(watch.m_lost)},
              {"regained", std::to_string(watch.m_regained)},
              {"some", watch.m_some},
              {"lost_in_all", std::to_string(lost)},
              {"servers", std::to_string(servers.size())}});
    watch.m_lost = 0;
    watch.m_regained = 0;
    watch.m_some.clear();
    watch.m_loggedAt = time;
}

asio::awaitable<void> probe(Gateway &gateway, InstanceId id, Endpoint endpoint)
{
    gateway.m_paths.m_probing += 1;
    const auto opened
        = co_await openHttpConnection(gateway.m_servers, endpoint, connectTimeout, true);
    gateway.m_paths.m_probing -= 1;
    countPathProbe(gateway.m_metrics, ok(opened));
    if (ok(opened))
        closeHttpConnection(*std::get<HttpConnectionPtr>(opened));
    KnownServer *known = knownServer(gateway.m_serverTable, id);
    if (!known || known->m_server.m_endpoint != endpoint)
        co_return;
    known->m_path.m_probing = false;
    if (ok(opened))
        recordPathHeard(gateway, *known);
    else
        recordPathLost(gateway, *known);
}

/// Services of which this host reaches no server, though other hosts may.
std::map<ServiceName, Millis> unreachableServices(const Gateway &gateway)
{
    const Millis time = now(gateway);
    std::map<ServiceName, Millis> since;
    std::set<ServiceName> reachable;
    for (const auto &[id, known] : gateway.m_serverTable.m_servers) {
        if (!isInUse(known))
            continue;
        const ServiceName &service = known.m_server.m_service;
        if (!isCutOff(known.m_path, time))
            reachable.insert(service);
        else
            since[service] = std::max(since[service], *known.m_path.m_lostAt);
    }
    std::erase_if(since, [&](const auto &service) { return reachable.contains(service.first); });
    return since;
}

void logService(const char *event, const ServiceName &service, Millis since, const Gateway &gateway)
{
    logEvent(event,
             {{"service", service.m_text},
              {"since_ms", std::to_string((now(gateway) - since).m_count)}});
}

/// Tells other hosts at once, so that they don't send requests through this one. In a large fleet
/// only some are told: the others learn it from heartbeats, or when they ask this host.
void tellUnreachableServices(Gateway &gateway)
{
    constexpr std::size_t mostTold = 64;
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    addUnreachableServices(gateway, heartbeat);
    const std::string bytes = encodeHeartbeat(heartbeat);
    const std::size_t peers = gateway.m_peers.size();
    std::size_t next = gateway.m_random();
    for (std::size_t told = 0; told < std::min(peers, mostTold); ++told) {
        const auto peer
            = std::next(gateway.m_peers.begin(), static_cast<std::ptrdiff_t>(next++ % peers));
        sendDatagram(gateway, MessageKind::Heartbeat, peer->second.m_entry.m_peer, bytes);
    }
}

/// Takes over the present state of services.
void updateServices(Gateway &gateway)
{
    std::map<ServiceName, Millis> current = unreachableServices(gateway);
    std::map<ServiceName, Millis> &known = gateway.m_paths.m_unreachable;
    bool changed = false;
    for (const auto &[service, since] : current) {
        if (known.try_emplace(service, since).second) {
            changed = true;
            logService("service_unreachable", service, since, gateway);
        }
    }
    for (auto entry = known.begin(); entry != known.end();) {
        if (current.contains(entry->first)) {
            ++entry;
            continue;
        }
        changed = true;
        logService("service_reachable", entry->first, entry->second, gateway);
        entry = known.erase(entry);
    }
    if (changed)
        tellUnreachableServices(gateway);
}

} // namespace

void recordPathHeard(Gateway &gateway, KnownServer &known)
{
    const Millis time = now(gateway);
    gateway.m_paths.m_heardAt = time;
    gateway.m_paths.m_serviceHeardAt[known.m_server.m_service] = time;
    if (!recordHeard(known.m_path, time))
        return;
    // Connections of before may have died in silence.
    gateway.m_servers.m_idle.erase(known.m_server.m_endpoint);
    countChange(gateway.m_paths, gateway.m_paths.m_regained, known);
}

void recordPathLost(Gateway &gateway, KnownServer &known)
{
    if (!recordLost(known.m_path, now(gateway)))
        return;
    gateway.m_paths.m_suspicions += suspicionsPerLoss;
    gateway.m_paths.m_lastLossAt = now(gateway);
    countChange(gateway.m_paths, gateway.m_paths.m_lost, known);
}

bool mayReuseConnections(const Gateway &gateway, const ServiceName &service)
{
    const auto heard = gateway.m_paths.m_serviceHeardAt.find(service);
    return heard != gateway.m_paths.m_serviceHeardAt.end()
        && now(gateway) - heard->second < reuseTime;
}

std::uint64_t serviceHash(const ServiceName &service)
{
    return stableHash(service.m_text);
}

void addUnreachableServices(const Gateway &gateway, wire::BeatT &heartbeat)
{
    heartbeat.tells_paths = true;
    for (const auto &[service, since] : gateway.m_paths.m_unreachable)
        heartbeat.unreachable_services.push_back(serviceHash(service));
}

void applyUnreachableServices(Peer &peer, const wire::BeatT &heartbeat)
{
    const auto &services = heartbeat.unreachable_services;
    if (heartbeat.tells_paths)
        peer.m_unreachableServices = std::set<std::uint64_t>(services.begin(), services.end());
}

bool isCutFromModelServers(const Gateway &gateway)
{
    if (!gateway.m_routes)
        return false;
    const Millis time = now(gateway);
    bool any = false;
    for (const auto &[name, service] : gateway.m_routes->m_services) {
        if (!service.m_engine)
            continue;
        const auto since = gateway.m_paths.m_unreachable.find(name);
        if (since == gateway.m_paths.m_unreachable.end() || time - since->second < cutSettleTime)
            return false;
        any = true;
    }
    return any;
}

void checkServerPaths(Gateway &gateway)
{
    const Millis time = now(gateway);
    PathWatch &watch = gateway.m_paths;
    for (auto &[id, known] : gateway.m_serverTable.m_servers) {
        if (!isInUse(known))
            continue;
        if (watch.m_probing >= maxProbesAtOnce)
            break;
        const PathSurvey survey = {watch.m_heardAt, watch.m_suspicions};
        const ProbeReason reason = probeReason(known.m_path, known.m_inFlight, survey, time);
        if (reason == ProbeReason::None)
            continue;
        if (reason == ProbeReason::Suspected && !known.m_path.m_suspected)
            watch.m_suspicions -= 1;
        known.m_path.m_probing = true;
        known.m_path.m_probedAt = time;
        begin(gateway, "probe_path", probe(gateway, id, known.m_server.m_endpoint));
    }
    if (time - watch.m_lastLossAt >= suspicionTime)
        watch.m_suspicions = 0;
    updateServices(gateway);
    logChanges(gateway);
}

asio::awaitable<void> watchServerPaths(Gateway &gateway)
{
    while (true) {
        co_await pauseFor(gateway, checkInterval);
        checkServerPaths(gateway);
    }
}

} // namespace apricot
