// Maintains a host's table of backend servers from entries in the store and from status updates of
// the lease holder.
#include "gateway.h"

#include <algorithm>

namespace apricot {

namespace {

/// Time by which an entry may lag behind the orders that its server has executed, since a server
/// updates its entry only with its heartbeats.
constexpr Millis maxEntryLag = {1'500};

/// Whether a status is older than another. The status of an earlier process instance always is.
bool isOlder(const ServerStatus &status, const ServerStatus &than)
{
    if (status.m_startUnixMs != than.m_startUnixMs)
        return status.m_startUnixMs < than.m_startUnixMs;
    return status.m_sequence < than.m_sequence;
}

} // namespace

const ServerStatus &latestStatus(const KnownServer &known)
{
    if (known.m_statusUpdate
        && known.m_entryUpdatedAt <= known.m_statusUpdateReceivedAt + maxEntryLag)
        return *known.m_statusUpdate;
    return known.m_server.m_serverStatus;
}

SoftwareId softwareIdOf(const BackendServer &server)
{
    return {stableHash(server.m_softwareVersion)};
}

KnownServer *knownServer(ServerTable &servers, const InstanceId &id)
{
    const auto found = servers.m_servers.find(id);
    return found == servers.m_servers.end() ? nullptr : &found->second;
}

const KnownServer *knownServer(const ServerTable &servers, const InstanceId &id)
{
    const auto found = servers.m_servers.find(id);
    return found == servers.m_servers.end() ? nullptr : &found->second;
}

bool isLeaving(const KnownServer &known)
{
    return known.m_said.m_leavingSince.has_value();
}

bool isPaused(const KnownServer &known, Millis time)
{
    return time < known.m_said.m_pausedUntil;
}

namespace {

constexpr std::size_t maxFormer = 4'096; // processes; beyond it no further ones are kept

bool saysAnything(const ServerStatements &said, Millis time)
{
    return said.m_limit || said.m_leavingSince || said.m_pausedUntil > time;
}

/// Keeps what the server's process said, if that still matters.
void keepStatements(ServerTable &servers, const KnownServer &known, Millis time)
{
    if (!saysAnything(known.m_said, time) || servers.m_former.size() >= maxFormer)
        return;
    const Millis until = std::max(time + statementsKeptTime, known.m_said.m_pausedUntil);
    servers.m_former[processId(known)] = {known.m_said, until};
}

/// Takes back what the server's process said before its entry was removed.
void restoreStatements(ServerTable &servers, KnownServer &known)
{
    const auto former = servers.m_former.find(processId(known));
    if (former == servers.m_former.end())
        return;
    known.m_said = former->second.m_said;
    servers.m_former.erase(former);
}

/// Discards what was recorded about an earlier process of the server.
void forgetEarlierProcess(KnownServer &known)
{
    known.m_failures = 0;
    known.m_avoidUntil = {};
    known.m_said = {};
    known.m_noPermitUntil = {};
    known.m_refusedUntil.clear();
    known.m_path.m_suspected = true; // it may be there again, or elsewhere
    if (known.m_statusUpdate
        && known.m_statusUpdate->m_startUnixMs != known.m_server.m_serverStatus.m_startUnixMs)
        known.m_statusUpdate.reset();
}

} // namespace

void applyEntry(ServerTable &servers, const BackendServer &server, Millis time)
{
    const bool added = !servers.m_servers.contains(server.m_id);
    KnownServer &known = servers.m_servers[server.m_id];
    const bool restarted = !added
        && known.m_server.m_serverStatus.m_startUnixMs != server.m_serverStatus.m_startUnixMs;
    if (restarted)
        keepStatements(servers, known, time); // the entry may be of another writer
    known.m_server = server;
    known.m_entryUpdatedAt = time;
    known.m_missing = false;
    if (restarted)
        forgetEarlierProcess(known);
    if (added || restarted)
        restoreStatements(servers, known);
    if (server.m_leaving && !isLeaving(known))
        known.m_said.m_leavingSince = time;
}

bool applyStatusUpdate(ServerTable &servers, const InstanceId &server, const ServerStatus &status,
                       Millis time)
{
    const auto found = servers.m_servers.find(server);
    if (found == servers.m_servers.end())
        return false;
    KnownServer &known = found->second;
    if (status.m_startUnixMs != known.m_server.m_serverStatus.m_startUnixMs)
        return false; // the update is of another process instance than the entry
    if (known.m_statusUpdate && isOlder(status, *known.m_statusUpdate))
        return false;
    known.m_statusUpdate = status;
    known.m_statusUpdateReceivedAt = time;
    known.m_refusedUntil.clear();
    return true;
}

bool handleRemovedEntry(ServerTable &servers, const InstanceId &server, Millis keepUntil,
                        Millis time)
{
    const auto found = servers.m_servers.find(server);
    if (found == servers.m_servers.end())
        return false;
    KnownServer &known = found->second;
    if (time >= keepUntil || known.m_server.m_leaving) {
        removeServer(servers, server, time);
        return false;
    }
    known.m_missing = true;
    known.m_missingUntil = keepUntil;
    return true;
}

void removeServer(ServerTable &servers, const InstanceId &server, Millis time)
{
    const auto found = servers.m_servers.find(server);
    if (found == servers.m_servers.end())
        return;
    keepStatements(servers, found->second, time);
    servers.m_servers.erase(found);
}

void dropExpiredMissing(ServerTable &servers, Millis time)
{
    for (auto entry = servers.m_servers.begin(); entry != servers.m_servers.end();) {
        const InstanceId id = entry->first;
        const KnownServer &known = (entry++)->second;
        if (known.m_missing && time >= known.m_missingUntil)
            removeServer(servers, id, time);
    }
    std::erase_if(servers.m_former,
                  [&](const auto &former) { return time >= former.second.m_keptUntil; });
}

std::uint64_t processId(const KnownServer &known)
{
    const BackendServer &server = known.m_server;
    return stableHash(server.m_id.m_text + "/"
                      + std::to_string(server.m_serverStatus.m_startUnixMs));
}

std::uint64_t digestOf(const ServerTable &servers)
{
    std::string text;
    for (const auto &[id, known] : servers.m_servers) {
        if (known.m_missing)
            continue;
        text += id.m_text + " " + std::to_string(known.m_server.m_serverStatus.m_startUnixMs)
            + (known.m_server.m_leaving ? " leaving\n" : "\n");
    }
    return stableHash(text);
}

std::string adapterKey(const ModelName &model, const AdapterName &adapter)
{
    return model.m_text + "/" + adapter.m_text;
}

bool holdsModel(const ServerStatus &status, const ModelName &model, const AdapterName &adapter)
{
    for (const LoadedModel &loaded : status.m_models) {
        if (loaded.m_name != model)
            continue;
        if (adapter.m_text.empty())
            return true;
        const auto &all = loaded.m_adapters;
        return std::find(all.begin(), all.end(), adapter) != all.end();
    }
    return false;
}

bool isLarger(const HostCapacity &a, const HostCapacity &b)
{
    constexpr double clearly = 1.5;
    return b.m_cores > 0 && a.m_cores >= clearly * b.m_cores && a.m_linkMbps >= b.m_linkMbps;
}

Millis registerReadInterval(int hosts)
{
    constexpr Millis perHost = {5};
    constexpr Millis longest = {1'500};
    return std::min(perHost * hosts, longest);
}

SilenceStep nextStep(const HostSilence &silence, Millis time)
{
    const Millis silent = time - silence.m_lastHeard;
    if (silent < probeAfterSilence)
        return SilenceStep::None;
    const Millis sinceProbe = time - silence.m_probedAt;
    if (silence.m_probes > 0 && sinceProbe < probeInterval)
        return SilenceStep::None;
    const bool probed = silence.m_probes >= probesBeforeRemoval && sinceProbe <= maxProbeGap;
    return probed && silent >= removalAfterSilence ? SilenceStep::Remove : SilenceStep::Probe;
}

void recordProbe(HostSilence &silence, Millis time)
{
    const bool continues = silence.m_probes > 0 && time - silence.m_probedAt <= maxProbeGap;
    silence.m_probes = continues ? silence.m_probes + 1 : 1;
    silence.m_probedAt = time;
}

std::vector<HostName> rankHosts(std::string_view key, const std::vector<HostName> &hosts)
{
    std::vector<std::pair<std::uint64_t, HostName>> weighted;
    weighted.reserve(hosts.size());
    for (const HostName &host : hosts)
        weighted.emplace_back(stableHash(std::string(key) + "/" + host.m_text), host);
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<HostName> ordered;
    ordered.reserve(hosts.size());
    for (auto &[weight, host] : weighted)
        ordered.push_back(std::move(host));
    return ordered;
}

} // namespace apricot
