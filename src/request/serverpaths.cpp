// Decisions on a host's paths to servers. The probes are in process/pathwatch.cpp.
#include "serverpaths.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis firstRetry = {250}; // between probes of a lost path, doubled after each
constexpr Millis longestRetry = {1'000};
/// A server with requests in flight is silent after this time; if nothing arrives from any server,
/// sooner.
constexpr Millis silenceLimit = {1'500};
constexpr Millis commonSilenceLimit = {500};
constexpr Millis quietTime = {250}; // nothing from any server for so long
/// A path that proved good isn't probed again for the same reason before this time has passed.
constexpr Millis probeSpacing = {1'000};

bool isSilent(const ServerPath &path, const PathSurvey &survey, Millis time)
{
    const Millis silent = time - std::max(path.m_heardAt, path.m_busySince);
    const bool allQuiet = time - survey.m_anyHeardAt >= quietTime;
    return silent >= (allQuiet ? commonSilenceLimit : silenceLimit);
}

Millis retryInterval(const ServerPath &path)
{
    constexpr int mostDoublings = 4;
    const int doublings = std::clamp(path.m_failedProbes - 1, 0, mostDoublings);
    return std::min(firstRetry * (std::int64_t{1} << doublings), longestRetry);
}

} // namespace

bool recordHeard(ServerPath &path, Millis time)
{
    const bool wasLost = isLost(path);
    path.m_heardAt = time;
    path.m_lostAt.reset();
    path.m_failedProbes = 0;
    path.m_suspected = false;
    path.m_downUntil = {};
    return wasLost;
}

bool recordLost(ServerPath &path, Millis time)
{
    const bool isNews = !isLost(path);
    if (isNews)
        path.m_lostAt = time;
    path.m_failedProbes += 1;
    path.m_suspected = false;
    return isNews;
}

void recordSending(ServerPath &path, int inFlight, Millis time)
{
    if (inFlight == 0)
        path.m_busySince = time;
}

ProbeReason probeReason(const ServerPath &path, int inFlight, const PathSurvey &survey, Millis time)
{
    const Millis sinceProbe = time - path.m_probedAt;
    if (path.m_probing)
        return ProbeReason::None;
    if (isLost(path))
        return sinceProbe >= retryInterval(path) ? ProbeReason::Lost : ProbeReason::None;
    if (path.m_suspected)
        return ProbeReason::Suspected;
    if (sinceProbe < probeSpacing)
        return ProbeReason::None;
    if (survey.m_suspicions > 0 && time - path.m_heardAt >= quietTime)
        return ProbeReason::Suspected;
    if (inFlight > 0 && isSilent(path, survey, time))
        return ProbeReason::Silent;
    return ProbeReason::None;
}

} // namespace apricot
