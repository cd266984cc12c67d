// What servers say of themselves in their answers: that they leave, or want a pause. Their limits
// are in permits.cpp.
//
// Other hosts learn from heartbeats which servers leave, which may be sooner than from the store,
// and while the store can't be reached. A pause concerns only the host that was told.
#include "process/heartbeat.h"
#include "process/log.h"

namespace apricot {

namespace {

/// For this long heartbeats tell that a server leaves.
constexpr Millis leavingNewsTime = {5'000};
constexpr std::size_t leavingPerHeartbeat = 24;
/// Hosts don't return all at once after a pause: up to this share of it is added.
constexpr double pauseSpread = 0.1;
constexpr Millis longestPauseSpread = {2'000};

void recordLeaving(Gateway &gateway, KnownServer &known, const char *why)
{
    if (isLeaving(known))
        return;
    known.m_said.m_leavingSince = now(gateway);
    logEvent("server_leaving", {{"server", known.m_server.m_id.m_text}, {"why", why}});
}

void recordPause(Gateway &gateway, KnownServer &known, Millis pause)
{
    const double share = std::uniform_real_distribution<double>(0, pauseSpread)(gateway.m_random);
    const Millis spread = {static_cast<std::int64_t>(static_cast<double>(pause.m_count) * share)};
    const Millis until = now(gateway) + pause + std::min(spread, longestPauseSpread);
    known.m_said.m_pausedUntil = std::max(known.m_said.m_pausedUntil, until);
    logEvent("server_pause",
             {{"server", known.m_server.m_id.m_text}, {"pause_ms", std::to_string(pause.m_count)}});
}

} // namespace

void recordStatements(Gateway &gateway, const InstanceId &server, const AnswerMetadata &metadata,
                      Millis sentAt)
{
    KnownServer *known = knownServer(gateway.m_serverTable, server);
    if (!known)
        return;
    recordServerLimit(gateway, *known, {metadata.m_limit, sentAt});
    if (metadata.m_leaving)
        recordLeaving(gateway, *known, "answer");
    if (metadata.m_pause && metadata.m_pause->m_count > 0)
        recordPause(gateway, *known, *metadata.m_pause);
}

void addLeavingServers(Gateway &gateway, wire::BeatT &heartbeat)
{
    const Millis time = now(gateway);
    addInTurn(gateway.m_serverTable.m_servers, gateway.m_lastLeavingSent, leavingPerHeartbeat,
              [&](const auto &server) {
                  const auto since = server.second.m_said.m_leavingSince;
                  const bool isNews = since && time - *since < leavingNewsTime;
                  if (isNews)
                      heartbeat.leaving.push_back(processId(server.second));
                  return isNews;
              });
}

void applyLeavingServers(Gateway &gateway, const wire::BeatT &heartbeat)
{
    if (heartbeat.leaving.empty())
        return;
    const std::set<std::uint64_t> leaving(heartbeat.leaving.begin(), heartbeat.leaving.end());
    for (auto &[id, known] : gateway.m_serverTable.m_servers) {
        if (!isLeaving(known) && leaving.contains(processId(known)))
            recordLeaving(gateway, known, "another host");
    }
}

void updateStatementCounts(Gateway &gateway)
{
    const Millis time = now(gateway);
    StatementCounts counts;
    for (const auto &[id, known] : gateway.m_serverTable.m_servers) {
        counts.m_leaving += isLeaving(known) ? 1 : 0;
        counts.m_paused += isPaused(known, time) ? 1 : 0;
        counts.m_limited += known.m_said.m_limit ? 1 : 0;
    }
    setStatementCounts(gateway.m_metrics, counts);
}

} // namespace apricot
