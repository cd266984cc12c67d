// Limits that servers name for the requests of all hosts together (distributed rate limiting).
//
// A server in need names in its answers how many requests a second it takes. Hosts tell each other
// such limits. Before a host sends a request to a server with a limit, it gets a permit from
// another host, which schedules them by the generic cell rate algorithm. Two hosts give permits for
// a server: the primary, which rendezvous hashing ranks first among all registered hosts, and the
// deputy, which it ranks second, so that no host has to be told which ones they are. The deputy is
// asked while the primary doesn't reply. Neither can know whether the other one gives permits at
// the same moment, since a host that doesn't reply may only stand still, or be cut off from some.
// So each has a rate of its own, whatever the other one does, and both together keep to what a
// server bears.
//
// Index
//   1. Limits   what a host knows of a server's limit
//   2. Permits  when the next request may be sent
//   3. Givers   which hosts give permits, and which part
//
// Times are Millis on the machine's monotonic clock. The functions do no I/O.
#pragma once

#include "gateway.h"

namespace apricot {

// ---------------------------------------------------------------------------------------------
// 1. Limits
// ---------------------------------------------------------------------------------------------

constexpr double lowestLimit = 0.05;       // requests a second; a server that named less gets these
constexpr double highestLimit = 1'000'000; // requests a second
/// A limit ends with an answer that doesn't name it, but not so soon after it was named last: some
/// servers name it in some of their answers only.
constexpr Millis limitHoldTime = {5'000};

/// What an answer told about the limit of its server.
struct LimitStatement
{
    std::optional<double> m_rate; // requests a second; empty: the answer named no limit
    Millis m_requestSentAt;
};

/// Takes over what an answer told. Returns true if the server had no limit so far, as known here,
/// or one that differed by more than a tenth.
bool recordLimit(KnownServer &known, const LimitStatement &statement, Millis time);

/// As above, for a limit that another host was told at `namedAt`.
bool mergeLimit(KnownServer &known, double rate, Millis namedAt, Millis time);

// ---------------------------------------------------------------------------------------------
// 2. Permits
// ---------------------------------------------------------------------------------------------

/// Which part of a server's permits a host may give. Ordered: a later one is the larger part.
enum class PermitRole : std::uint8_t { None, Deputy, Primary };

/// What a role may give. In any time, at most its share of what the limit allows and its burst.
struct PermitPart
{
    double m_share = 0; // of the limit
    double m_burst = 0; // requests that may be sent at once after a time without any
};

/// Primary and deputy together stay under one and a half times the limit and 5 requests in any 4 s,
/// which a server bears, with a tenth of the limit to spare for permits that are used a little
/// late.
constexpr PermitPart primaryPart = {1, 4};
constexpr PermitPart deputyPart = {0.4, 1};

/// Schedule of the permits for one server.
struct PermitSchedule
{
    double m_nextAt = 0; // ms; when the next permit is due, if no burst is allowed
    PermitRole m_role = PermitRole::Primary;
};

/// The schedule starts without a burst: another host may have given permits just before.
PermitSchedule startSchedule(PermitRole role, double rate, Millis time);

/// Empty: a request may be sent now, and the permit is counted. Else the time until the next one.
/// `role`: of this host at present, not None. A schedule whose role has risen starts anew.
std::optional<Millis> takePermit(PermitSchedule &schedule, PermitRole role, double rate,
                                 Millis time);

// ---------------------------------------------------------------------------------------------
// 3. Givers
// ---------------------------------------------------------------------------------------------

/// Hosts in the order in which they are asked for permits for the server.
std::vector<HostName> permitHosts(const InstanceId &server, const std::vector<HostName> &hosts);

/// Time within which all hosts that are in touch know of a change in the register of hosts. A host
/// whose part grows by a change gives the larger part only after that, since others may not know of
/// the change, and a smaller one at once.
constexpr Millis registerSettleTime = {3'000};

/// A host that stood still, or heard no other host, for longer than this may have been removed from
/// the register, so that others give its part. Shorter than removalAfterSilence.
constexpr Millis longestStandstill = {5'000};

/// What a host knows of its own standing among the hosts that give permits.
struct PermitStanding
{
    std::optional<Millis> m_inTouchAt; // when it last ran and heard other hosts; empty: not yet
    Millis m_givesFrom;                // before that it gives no permits
    std::map<HostName, Millis> m_left; // hosts that left the register a moment ago: when they did
};

/// To be called often. `hearsOthers`: another host was heard a moment ago, or there is none.
/// Returns true if this host stood still or was cut off for too long, and is in touch again: it
/// then gives no permits at first.
bool noteStanding(PermitStanding &standing, bool hearsOthers, Millis time);

/// To be called when this host read the register for the first time: hosts that have read it before
/// it was in there give permits without regard to it.
void startStanding(PermitStanding &standing, Millis time);

/// To be called when a host left the register.
void noteHostLeft(PermitStanding &standing, const HostName &host, Millis time);

/// The part that this host may give now. `hosts`: all that may be registered, as known here, with
/// this one.
PermitRole permitRole(const PermitStanding &standing, const InstanceId &server,
                      const HostName &self, std::vector<HostName> hosts, Millis time);

} // namespace apricot
