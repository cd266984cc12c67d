// Which software version began a stream.
//
// Servers of several software versions may serve side by side in one service. What two versions
// write doesn't fit together, so a stream may go on only at a server of the version that began it.
// The host that passes the first event of a stream on knows that version. A caller that lost its
// connection takes the stream up at any host, so the version is also recorded at a few other hosts,
// the keepers, which rendezvous hashing ranks first for the stream: no host has to be told which
// ones they are. While a service has one version only, nothing is sent.
//
// All hosts may end at the same moment, and keep nothing on disk. So each host also has a record in
// the platform's store: the streams that it began in the last seconds while a service had several
// versions, and the versions that it knows. The first event of a stream waits for its record. A
// host that starts reads the records of all hosts before a stream is taken up there.
//
// A host may end before it has learnt of a second version, and then nobody was told of its streams.
// So a stream that no host and no record knows began at the first version of its service, the one
// that served alone until others came: streams of the others are in a record before their first
// event reaches the caller.
//
// All state is bounded, and dropped after a time in which no stream is taken up any more.
//
// Index
//   1. Origins   the versions of streams that a host knows
//   2. Versions  which versions the servers of a service have
//   3. Keepers   hosts at which a stream's version is recorded
//   4. Records   what the store keeps of origins and versions of each host
//
// Times are Millis on the machine's monotonic clock. The functions do no I/O.
#pragma once

#include "gateway.h"

#include <unordered_map>

namespace apricot {

// ---------------------------------------------------------------------------------------------
// 1. Origins
// ---------------------------------------------------------------------------------------------

constexpr Millis originLifetime = {120'000};
constexpr std::size_t maxOrigins = 32'768; // of one host; the oldest is dropped

/// Identifies a stream by a hash of the id of the attempt that brought its first event.
using StreamId = std::uint64_t;

struct StreamOrigin
{
    SoftwareId m_software; // version of the server that began the stream
    Millis m_recordedAt;
    bool m_own = false; // this host passed events of the stream on
};

/// Invariant: m_oldestFirst lists each stream in m_known once at the time at which it was recorded
/// last, and may list it at earlier times too.
struct StreamOrigins
{
    std::unordered_map<StreamId, StreamOrigin> m_known;
    std::deque<std::pair<Millis, StreamId>> m_oldestFirst;
};

/// Records an origin, and drops those that are too old or too many.
void recordOrigin(StreamOrigins &origins, StreamId stream, const StreamOrigin &origin);

/// The version that began the stream; empty: not known here.
std::optional<SoftwareId> findOrigin(const StreamOrigins &origins, StreamId stream);

// ---------------------------------------------------------------------------------------------
// 2. Versions
// ---------------------------------------------------------------------------------------------

/// Software versions of each service, and when a server of each was listed last.
struct ServiceVersions
{
    std::map<ServiceName, std::map<SoftwareId, Millis>> m_listedAt;
    /// By service, what this host and the records that it read take for the first version.
    std::map<ServiceName, std::set<SoftwareId>> m_first;
};

/// Versions of each service, without times.
using VersionSets = std::map<ServiceName, std::set<SoftwareId>>;

/// Takes over the versions of all listed servers. Returns true if a service has several now that
/// had one before. Versions whose servers left longer than originLifetime ago are dropped.
bool updateVersions(ServiceVersions &versions, const ServerTable &servers, Millis time);

/// Whether streams of the service may have begun at several versions.
bool hasSeveralVersions(const ServiceVersions &versions, const ServiceName &service);

/// The version that served alone until others came. Empty if several served from the start, if it
/// left long ago, or if the records disagree.
std::optional<SoftwareId> firstVersion(const ServiceVersions &versions, const ServiceName &service);

// ---------------------------------------------------------------------------------------------
// 3. Keepers
// ---------------------------------------------------------------------------------------------

/// Hosts that an origin is sent to. With two of three lost it is still known.
constexpr std::size_t originKeepers = 3;
/// Hosts that an origin is sent to if it is in no record, and hosts that are asked for it in the
/// second round: registers may differ for a moment, and so the ranks.
constexpr std::size_t originKeepersWithoutRecord = 8;

/// Where the version of a stream that is taken up is known from.
enum class OriginSource : std::uint8_t { Unknown, Here, Host, Record, FirstVersion };

/// What is known of an origin here, at other hosts and in the records.
struct OriginReplies
{
    std::optional<SoftwareId> m_software;          // the first that was found
    OriginSource m_source = OriginSource::Unknown; // of m_software
    int m_asked = 0;                               // hosts, in all rounds
    int m_received = 0;                            // replies
    bool m_several = false; // one of them knows several versions of the service
};

// ---------------------------------------------------------------------------------------------
// 4. Records
// ---------------------------------------------------------------------------------------------

/// Streams that began longer ago are left out of the record: their callers wait no longer.
constexpr Millis recordedTime = {30'000};

/// Record of one host in the store. It has no times: clocks of hosts differ.
struct OriginRecord
{
    VersionSets m_versions;                                // that the host knows
    std::map<SoftwareId, std::vector<StreamId>> m_streams; // by the version that began them
    std::map<ServiceName, SoftwareId> m_first;             // see firstVersion()
    std::optional<std::uint64_t> m_era = {}; // of the store at the writing; empty: not stated

    bool operator==(const OriginRecord &) const = default;
};

VersionSets versionSetsOf(const ServiceVersions &versions);

/// The record of a host: the versions that it knows, and its own recent streams.
OriginRecord makeOriginRecord(const StreamOrigins &origins, const ServiceVersions &versions,
                              Millis time);

/// Takes over a host's record as if it was of this moment. `own`: it is the record of this host,
/// by an earlier process.
void addOriginRecord(StreamOrigins &origins, ServiceVersions &versions, const OriginRecord &record,
                     bool own, Millis time);

/// Takes over only the wanted streams of another host's record.
void addWantedOrigins(StreamOrigins &origins, const OriginRecord &record,
                      const std::set<StreamId> &wanted, Millis time);

} // namespace apricot
