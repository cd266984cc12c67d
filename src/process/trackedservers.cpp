// What the lease holder knows of the model servers that it sends orders to, from their reports and
// their entries in the store. An entry may be some seconds older than a report.
#include "process/ordertracking.h"

namespace apricot {

namespace {

constexpr Millis recentLoadPeriod = {700}; // after a load until all hosts have reported its use
constexpr Millis pendingModelTimeout = {10'000}; // for which freed memory is reserved for its model

std::set<ModelName> modelNames(const ServerStatus &status)
{
    std::set<ModelName> names;
    for (const LoadedModel &loaded : status.m_models)
        names.insert(loaded.m_name);
    return names;
}

/// Whether a recent entry of the server lists other models than this host's orders account for. The
/// server has then executed an order of an earlier holder, or one that arrived late.
bool hasUnexpectedModels(const TrackedServer &server, const KnownServer &known)
{
    const ServerStatus &entry = known.m_server.m_serverStatus;
    const bool recent = known.m_entryUpdatedAt > server.m_confirmedAt + reportLag;
    const bool ofThisProcess = entry.m_startUnixMs == server.m_serverStatus.m_startUnixMs;
    return recent && ofThisProcess && modelNames(server.m_serverStatus) != modelNames(entry);
}

/// Discards what is known of an earlier process if an entry shows another start than before. An
/// entry that hasn't changed says nothing new: a report may have shown a later start meanwhile.
void applyEntryStart(TrackedServer &server, std::int64_t startUnixMs)
{
    if (server.m_entryStartUnixMs == startUnixMs)
        return;
    if (server.m_serverStatus.m_startUnixMs != startUnixMs)
        server = TrackedServer();
    server.m_serverStatus.m_startUnixMs = startUnixMs;
    server.m_entryStartUnixMs = startUnixMs;
}

} // namespace

void updateTrackedServers(Gateway &gateway, const ServiceName &service)
{
    auto &servers = gateway.m_placement.m_servers;
    for (auto &[id, known] : gateway.m_serverTable.m_servers) {
        if (known.m_server.m_service != service)
            continue;
        TrackedServer &server = servers[id];
        if (!server.m_taskRunning)
            applyEntryStart(server, known.m_server.m_serverStatus.m_startUnixMs);
        if (!server.m_taskRunning && hasUnexpectedModels(server, known))
            server.m_sequenceKnown = false;
        if (!server.m_sequenceKnown && !server.m_taskRunning) {
            server.m_taskRunning = true;
            begin(gateway, "report",
                  confirmServerStatus(gateway, id, known.m_server.m_endpoint, {0}));
        }
        if (now(gateway) - server.m_pendingSince > pendingModelTimeout && !server.m_taskRunning)
            server.m_pendingModel = {};
        std::erase_if(server.m_loadedAt, [&](const auto &loaded) {
            return now(gateway) - loaded.second >= recentLoadPeriod;
        });
    }
    std::erase_if(servers, [&](const auto &entry) {
        return !gateway.m_serverTable.m_servers.contains(entry.first);
    });
}

bool applyReport(Gateway &gateway, const InstanceId &id, TrackedServer &server,
                 const ServerStatus &status)
{
    const bool restarted = status.m_startUnixMs != server.m_serverStatus.m_startUnixMs;
    const bool current = restarted || status.m_sequence >= server.m_serverStatus.m_sequence;
    if (!current || status.m_busy)
        return false;
    server.m_serverStatus = status;
    server.m_sequenceKnown = true;
    server.m_confirmedAt = now(gateway);
    server.m_loadingAdapters.clear();
    if (restarted)
        server.m_pendingModel = {};
    broadcastStatusUpdate(gateway, id, status);
    return true;
}

TrackedServer *findTracked(Gateway &gateway, const InstanceId &id)
{
    const auto found = gateway.m_placement.m_servers.find(id);
    return found == gateway.m_placement.m_servers.end() ? nullptr : &found->second;
}

} // namespace apricot
