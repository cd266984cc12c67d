// A host's own paths to the backend servers: whether connections to them can be established. A host
// that loses its path to servers that other hosts reach has its requests sent through one of those
// (request/viahost.cpp), so it has to find the loss out soon and without many probes.
//
// Index
//   ServerPath    what a host knows of its path to one server
//   PathSurvey    what it heard of all servers lately
//   probeReason   when the path is probed, by a connection on which nothing is sent
//
// Times are Millis on the machine's monotonic clock. The functions do no I/O.
#pragma once

#include "apricot.h"

namespace apricot {

constexpr Millis connectTimeout = {400}; // to a server or to another host

/// Path to one process of a server.
struct ServerPath
{
    Millis m_heardAt;               // when it last accepted a connection or sent bytes; 0: never
    Millis m_busySince;             // valid while requests are in flight: when there were none last
    std::optional<Millis> m_lostAt; // since when no connection can be established; empty: it can
    int m_failedProbes = 0;         // in series; 0 unless m_lostAt is set
    Millis m_probedAt;              // when the last probe began; 0: never
    bool m_probing = false;         // a probe is in progress
    bool m_suspected = false;       // an exchange failed in a way that a lost path explains
    /// Other hosts don't reach the server either: until then none is asked for it.
    Millis m_downUntil;
};

/// Whether no connection to the server can be established from this host.
inline bool isLost(const ServerPath &path)
{
    return path.m_lostAt.has_value();
}

/// Whether the path is lost, as far as is known from this host alone.
inline bool isCutOff(const ServerPath &path, Millis time)
{
    return isLost(path) && time >= path.m_downUntil;
}

/// Records that the server accepted a connection or sent bytes. Returns true if the path was lost.
bool recordHeard(ServerPath &path, Millis time);

/// Records that no connection could be established. Returns true if the path wasn't lost before.
bool recordLost(ServerPath &path, Millis time);

/// Records that a request is sent to the server, on which `inFlight` others are in progress.
void recordSending(ServerPath &path, int inFlight, Millis time);

/// What a host heard of its servers lately.
struct PathSurvey
{
    Millis m_anyHeardAt; // when any server was last heard of
    /// Probes of further servers that newly lost paths call for, over all servers.
    int m_suspicions = 0;
};

/// For each path that is newly lost so many others are probed: one that is lost alone costs little,
/// and if all are lost the host knows after a few rounds.
constexpr int suspicionsPerLoss = 4;

enum class ProbeReason : std::uint8_t {
    None,
    Lost,      // it may be there again
    Suspected, // an exchange failed, or other paths were lost just now
    Silent,    // requests are in flight and nothing arrives
};

/// Whether and why the path is to be probed now. `inFlight`: requests of this host at the server.
ProbeReason probeReason(const ServerPath &path, int inFlight, const PathSurvey &survey,
                        Millis time);

} // namespace apricot
