// Admission control for clients that may exceed every limit: bounds the memory and the connections
// that one process holds for its clients.
//
// The memory of a connection is counted as its bytes arrive, not as they are announced. If it is
// short, the request that holds the most for the longest time without progress is ended, so that
// clients that stop in the middle of large bodies don't keep others out. A part of the memory is
// for small requests only. Requests that were read completely are never ended.
//
// Index
//   AdmissionLimits   limits, by what the machine has
//   AdmissionTable    the open connections and what each holds
//   admitConnection, growTo, setStage, removeConnection   decisions
//
// Times are Millis on the machine's monotonic clock. The functions do no I/O; whoever calls them
// closes the connections that they name.
#pragma once

#include "apricot.h"

namespace apricot {

struct AdmissionLimits
{
    std::size_t m_bytes = 256'000'000;        // of all requests of clients together
    std::size_t m_reservedBytes = 64'000'000; // of these, for small requests only
    std::size_t m_connections = 0;            // of clients; 0: no limit
};

/// A request that holds up to so many bytes may use the reserved ones too.
constexpr std::size_t smallRequestBytes = 64'000;

/// What the machine of this process has; 0: not stated.
struct MachineLimits
{
    double m_memoryMb = 0;
    double m_descriptors = 0;
};

/// The share of the machine that is for requests of clients. What isn't stated has the default.
AdmissionLimits admissionLimitsOf(const MachineLimits &machine);

/// Numbers the connections of one process.
struct ConnectionId
{
    std::uint64_t m_value = 0;

    auto operator<=>(const ConnectionId &) const = default;
};

enum class ConnectionStage : std::uint8_t {
    Idle,     // between two requests
    Reading,  // a request has begun to arrive
    Handling, // a request was read completely, and its answer isn't complete
    Closing,  // it was named to be closed
};

struct AdmittedConnection
{
    ConnectionStage m_stage = ConnectionStage::Idle;
    std::size_t m_bytes = 0; // held; 0 while closing
    Millis m_progressAt;     // when it last received bytes or changed its stage
};

/// Invariants: m_bytes is the sum of the bytes of all connections, m_largeBytes of those that hold
/// more than smallRequestBytes; m_open counts those that aren't closing.
struct AdmissionTable
{
    AdmissionLimits m_limits;
    std::map<ConnectionId, AdmittedConnection> m_connections;
    std::size_t m_bytes = 0;
    std::size_t m_largeBytes = 0;
    std::size_t m_open = 0;
    std::uint64_t m_refused = 0; // connections and requests that weren't admitted
    std::uint64_t m_closed = 0;  // others that were closed for them
};

struct AdmissionDecision
{
    bool m_admitted = true;
    std::vector<ConnectionId> m_close; // to be closed by the caller
};

/// Adds a connection. At the limit the connection that has been without progress for the longest
/// time, and has no complete request, is closed for it.
AdmissionDecision admitConnection(AdmissionTable &table, ConnectionId id, Millis time);

/// Records that the connection received bytes and now holds so many. If the memory is short, names
/// requests that have kept more from others than this one, as many as suffice, to be closed; if
/// they don't suffice, this one isn't admitted. For a large request only large ones are closed.
AdmissionDecision growTo(AdmissionTable &table, ConnectionId id, std::size_t bytes, Millis time);

/// Records a new stage, and what the connection holds in it, which may only be less than before or
/// equal.
void setStage(AdmissionTable &table, ConnectionId id, ConnectionStage stage, std::size_t bytes,
              Millis time);

void removeConnection(AdmissionTable &table, ConnectionId id);

} // namespace apricot
