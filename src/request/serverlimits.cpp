// Limits of servers, the schedule of permits, and which hosts give them. Messages between hosts are
// in process/permits.cpp.
#include "serverlimits.h"

#include <algorithm>
#include <cmath>

namespace apricot {

namespace {

constexpr double msPerSecond = 1'000;

double clampRate(double rate)
{
    return std::clamp(rate, lowestLimit, highestLimit);
}

const PermitPart &partOf(PermitRole role)
{
    return role == PermitRole::Primary ? primaryPart : deputyPart;
}

/// Returns true if the server had no limit so far, or a clearly different one.
bool setLimit(KnownServer &known, double rate, Millis namedAt, Millis time)
{
    constexpr double smallChange = 0.1; // of the known limit
    const double clamped = clampRate(rate);
    const auto before = known.m_said.m_limit;
    const bool isNews
        = !before || std::abs(clamped - before->m_rate) > smallChange * before->m_rate;
    known.m_said.m_limit = {clamped, namedAt, isNews ? time : before->m_changedAt};
    return isNews;
}

} // namespace

bool recordLimit(KnownServer &known, const LimitStatement &statement, Millis time)
{
    std::optional<ServerLimit> &limit = known.m_said.m_limit;
    if (!statement.m_rate) {
        // An answer to an earlier request may have been under way when the limit was named.
        const bool outdated = limit && statement.m_requestSentAt <= limit->m_namedAt;
        if (limit && !outdated && time - limit->m_namedAt >= limitHoldTime) {
            known.m_said.m_limitEndedAt = time;
            limit.reset();
        }
        return false;
    }
    return setLimit(known, *statement.m_rate, time, time);
}

bool mergeLimit(KnownServer &known, double rate, Millis namedAt, Millis time)
{
    const bool outdated = namedAt <= known.m_said.m_limitEndedAt
        || (known.m_said.m_limit && namedAt <= known.m_said.m_limit->m_namedAt);
    return std::isfinite(rate) && !outdated && setLimit(known, rate, namedAt, time);
}

PermitSchedule startSchedule(PermitRole role, double rate, Millis time)
{
    const PermitPart &part = partOf(role);
    const double interval = msPerSecond / (rate * part.m_share);
    return {static_cast<double>(time.m_count) + part.m_burst * interval, role};
}

std::optional<Millis> takePermit(PermitSchedule &schedule, PermitRole role, double rate,
                                 Millis time)
{
    if (role > schedule.m_role)
        schedule = startSchedule(role, rate, time);
    schedule.m_role = role;
    const PermitPart &part = partOf(role);
    const double interval = msPerSecond / (rate * part.m_share);
    const auto at = static_cast<double>(time.m_count);
    const double earliest = schedule.m_nextAt - (part.m_burst - 1) * interval;
    if (at < earliest)
        return Millis{static_cast<std::int64_t>(std::ceil(earliest - at))};
    schedule.m_nextAt = std::max(schedule.m_nextAt, at) + interval;
    return {};
}

std::vector<HostName> permitHosts(const InstanceId &server, const std::vector<HostName> &hosts)
{
    return rankHosts(server.m_text, hosts);
}

bool noteStanding(PermitStanding &standing, bool hearsOthers, Millis time)
{
    if (!hearsOthers)
        return false;
    const bool returns = standing.m_inTouchAt && time - *standing.m_inTouchAt > longestStandstill;
    if (returns)
        startStanding(standing, time);
    standing.m_inTouchAt = time;
    return returns;
}

void startStanding(PermitStanding &standing, Millis time)
{
    standing.m_givesFrom = time + registerSettleTime;
}

void noteHostLeft(PermitStanding &standing, const HostName &host, Millis time)
{
    std::erase_if(standing.m_left,
                  [&](const auto &left) { return time - left.second >= registerSettleTime; });
    standing.m_left[host] = time;
}

PermitRole permitRole(const PermitStanding &standing, const InstanceId &server,
                      const HostName &self, std::vector<HostName> hosts, Millis time)
{
    if (time < standing.m_givesFrom)
        return PermitRole::None;
    for (const auto &[host, at] : standing.m_left) {
        const bool isListed = std::find(hosts.begin(), hosts.end(), host) != hosts.end();
        if (time - at < registerSettleTime && !isListed)
            hosts.push_back(host);
    }
    const std::vector<HostName> ranked = permitHosts(server, hosts);
    const auto rank = std::find(ranked.begin(), ranked.end(), self) - ranked.begin();
    const bool isAlone = standing.m_inTouchAt && time - *standing.m_inTouchAt > longestStandstill;
    if (rank == 0 && !isAlone)
        return PermitRole::Primary;
    return rank <= 1 ? PermitRole::Deputy : PermitRole::None;
}

} // namespace apricot
