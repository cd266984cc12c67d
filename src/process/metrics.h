// Counters and latency histograms in the Prometheus format, through prometheus-cpp.
#pragma once

#include "admission/admission.h"
#include "apricot.h"

#include <memory>

namespace apricot {

struct MetricsRegistry;

/// Holds the registry. makeMetrics() creates it once at start; before that no function below may
/// be called.
struct Metrics
{
    std::shared_ptr<MetricsRegistry> m_registry;
};

/// The latency histograms, in the order of their metrics in makeMetrics().
enum class LatencyKind : std::uint8_t {
    FirstToken,    // arrival of a request to the first event of its response
    BetweenTokens, // between successive events of a stream
    ColdStart,     // decision on a load to the model being ready
    Queue,         // time that a request waited for a replica
    Whole,         // arrival of a request to the end of its response
    LoopDelay,     // a timer's due time to the time at which the event loop ran it
    Plan,          // computation of one placement plan
    StoreCall      // a call to the platform's store, except watches
};

Metrics makeMetrics();

/// Counts an answered request; ErrorKind::None stands for a complete answer.
void countAnswer(Metrics &metrics, ErrorKind kind);

/// Counts an order to an engine. `done`: the engine reports it as carried out; in the gateway, as
/// accepted.
void countOrder(Metrics &metrics, OrderKind kind, bool done);

/// Counts a call to the platform: "read", "watch" or "write".
void countPlatformCall(Metrics &metrics, std::string_view call, bool answered);
void countRetry(Metrics &metrics);

/// What a message to another host is sent for. All kinds are heartbeats with further parts.
enum class MessageKind : std::uint8_t {
    Heartbeat,       // at intervals, and when this host's state changes
    Demand,          // to the lease holder: demand of this host's callers
    StatusForDemand, // from the lease holder, to a host with demand for what a server has loaded
    StatusForAll,    // from the lease holder, to all hosts
    Crash,           // crashes of servers and quarantine
    Permit,          // requests for permits and their replies
    Origin,          // versions that began streams
    Lease,           // extension and release of the lease
    Account          // limits of client accounts, and confirmations of the configuration
};

/// Name of a kind in logs and metrics.
std::string_view nameOf(MessageKind kind);

/// Counts bytes of a message sent to another host.
void countSentMessage(Metrics &metrics, MessageKind kind, std::size_t bytes);

/// Counts bytes of a message received from another host.
void countReceivedMessage(Metrics &metrics, std::size_t bytes);

/// Counts a decision on a request of a client account with a limit: "granted", "refused" or
/// "unanswered".
void countQuotaDecision(Metrics &metrics, std::string_view outcome);

/// Sets what clients hold of this process, and how many were refused or closed so far.
void setAdmission(Metrics &metrics, const AdmissionTable &table);

/// Sets the age of this host's last confirmation that its configuration is in force.
void setConfirmationAge(Metrics &metrics, Millis age);

/// Counts a request that is sent to another host.
void countForward(Metrics &metrics);

/// Counts a probe of the path to a backend server.
void countPathProbe(Metrics &metrics, bool reached);

/// Counts a connection to a backend server that could not be established.
void countConnectFailure(Metrics &metrics);

/// Counts the crash of a model server with a request of this host that may have caused it.
void countServerCrash(Metrics &metrics);

/// Sets the numbers of prompt parts and of requests in quarantine, as this host knows them.
void setQuarantined(Metrics &metrics, std::size_t parts, std::size_t requests);

/// Numbers of backend servers by what they said of themselves.
struct StatementCounts
{
    std::size_t m_leaving = 0;
    std::size_t m_paused = 0; // want no request from this host now
    std::size_t m_limited = 0;
};

void setStatementCounts(Metrics &metrics, const StatementCounts &counts);
void observe(Metrics &metrics, LatencyKind kind, Millis time);

/// Adds time during which a loaded slot occupied an accelerator without a request.
void addIdleTime(Metrics &metrics, Millis time);

/// All metrics in the Prometheus text format.
std::string renderMetrics(const Metrics &metrics);

} // namespace apricot
