// The other hosts of the gateway: their entries in the register, the list in the platform's store
// of all hosts that serve callers, and the decisions on who is gone and who comes first. Part of
// gateway.h.
//
// Index
//   HostCapacity, HostEntry  what a host states of itself
//   HostSilence              when the lease holder takes a silent host for gone
//   rankHosts                which hosts do something that only some have to do
//
// Times are Millis on the machine's monotonic clock. The functions do no I/O.
#pragma once

#include "apricot.h"

namespace apricot {

/// What the machine of a host can carry; 0: not stated.
struct HostCapacity
{
    double m_cores = 0;    // of one core, the share that the host may use
    double m_linkMbps = 0; // of the machine's own link
};

/// Whether the first host can carry clearly more than the second one.
bool isLarger(const HostCapacity &a, const HostCapacity &b);

/// Entry of a host in the register, the list in the store of all hosts that serve callers.
struct HostEntry
{
    HostName m_host;
    DataCentre m_dataCentre;
    Endpoint m_caller;            // address for callers' requests
    Endpoint m_peer;              // UDP address for heartbeats
    std::string m_run;            // process instance of the host
    std::uint64_t m_revision = 0; // store revision of the entry
    HostCapacity m_capacity = {};
};

/// What the lease holder knows of a host that it hasn't heard of for a while. A host sends its
/// heartbeats to a few hosts at a time, so in a large fleet silence alone says little: the holder
/// asks for a heartbeat before it takes a host for gone.
struct HostSilence
{
    Millis m_lastHeard;
    int m_probes = 0;  // sent since, none of them answered
    Millis m_probedAt; // valid if m_probes is above 0
};

enum class SilenceStep : std::uint8_t {
    None,
    Probe,  // ask the host for a heartbeat
    Remove, // the host is gone
};

constexpr Millis probeAfterSilence = {5'000};
constexpr Millis probeInterval = {300};
/// With one datagram in ten lost, all probes of a host that lives go unanswered once in half a
/// million times.
constexpr int probesBeforeRemoval = 8;
/// Probes count together if they are at most so far apart: after a longer pause the holder hasn't
/// read what arrived meanwhile.
constexpr Millis maxProbeGap = {1'500};
constexpr Millis removalAfterSilence = {8'000};

SilenceStep nextStep(const HostSilence &silence, Millis time);

/// To be called when a probe is sent.
void recordProbe(HostSilence &silence, Millis time);

/// How long a host waits after a change in the register before it looks for the next ones. Each
/// change is read by each host, so that with many hosts changes have to be read together; but a new
/// host must be known well before its wait for the lease is over.
Millis registerReadInterval(int hosts);

/// Hosts in the order in which rendezvous hashing ranks them for the key.
std::vector<HostName> rankHosts(std::string_view key, const std::vector<HostName> &hosts);

} // namespace apricot
