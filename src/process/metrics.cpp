// The metrics of one process, in a registry of prometheus-cpp. The admin port serves their text.
#include "process/metrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace apricot {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

constexpr std::size_t latencyKindCount = 8;
constexpr std::array<std::string_view, 9> messageKindNames
    = {"heartbeat", "demand", "status_for_demand", "status_for_all", "crash", "permit", "origin",
       "lease",     "account"};
constexpr double msPerSecond = 1000;

struct MetricsRegistry
{
    std::shared_ptr<Registry> m_all = std::make_shared<Registry>();
    std::vector<Counter *> m_answers;                           // by ErrorKind
    std::array<Histogram *, latencyKindCount> m_latencies = {}; // by LatencyKind
    Family<Counter> *m_orders = nullptr;
    Family<Counter> *m_platform = nullptr;
    Family<Counter> *m_pathProbes = nullptr;
    Family<Counter> *m_quotaDecisions = nullptr;
    Gauge *m_confirmationAge = nullptr;
    Gauge *m_clientBytes = nullptr;
    Gauge *m_clientConnections = nullptr;
    Gauge *m_clientsRefused = nullptr;
    Gauge *m_clientsClosed = nullptr;
    Counter *m_retries = nullptr;
    Counter *m_forwards = nullptr;
    Counter *m_idle = nullptr;
    Counter *m_connectFailures = nullptr;
    Counter *m_serverCrashes = nullptr;
    Gauge *m_quarantinedParts = nullptr;
    Gauge *m_quarantinedRequests = nullptr;
    Gauge *m_serversLeaving = nullptr;
    Gauge *m_serversPaused = nullptr;
    Gauge *m_serversLimited = nullptr;
    std::array<Counter *, messageKindNames.size()> m_peerBytesSent = {}; // by MessageKind
    Counter *m_peerBytesReceived = nullptr;
};

namespace {

/// Upper bounds of the histogram buckets, in seconds.
const Histogram::BucketBoundaries &boundaries()
{
    static const Histogram::BucketBoundaries seconds = {
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.046, 0.1, 0.2, 0.5, 1, 1.7, 2.5, 5, 10, 30, 60};
    return seconds;
}

Histogram *makeHistogram(Registry &registry, const char *name, const char *help)
{
    return &BuildHistogram().Name(name).Help(help).Register(registry).Add({}, boundaries());
}

Counter *makeCounter(Registry &registry, const char *name, const char *help)
{
    return &BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

Gauge *makeGauge(Registry &registry, const char *name, const char *help)
{
    return &BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

Metrics makeMetrics()
{
    auto made = std::make_shared<MetricsRegistry>();
    Registry &registry = *made->m_all;
    auto &answers = BuildCounter()
                        .Name("apricot_answers_total")
                        .Help("Requests answered, by error kind; none for a whole answer")
                        .Register(registry);
    for (const ErrorResponse &row : errorTable())
        made->m_answers.push_back(&answers.Add({{"kind", row.m_name}}));
    made->m_latencies = {
        makeHistogram(registry, "apricot_first_token_seconds", "Request to first byte of answer"),
        makeHistogram(registry, "apricot_between_tokens_seconds", "Between pieces of a stream"),
        makeHistogram(registry, "apricot_cold_start_seconds", "Load decided to replica ready"),
        makeHistogram(registry, "apricot_queue_seconds", "Request to replica chosen"),
        makeHistogram(registry, "apricot_whole_seconds", "Request to end of answer"),
        makeHistogram(registry, "apricot_loop_delay_seconds", "Timer due to timer run"),
        makeHistogram(registry, "apricot_plan_seconds", "Computation of one placement plan"),
        makeHistogram(registry, "apricot_store_call_seconds", "Call to the store, no watches"),
    };
    made->m_orders = &BuildCounter()
                          .Name("apricot_orders_total")
                          .Help("Orders to engines, by kind and outcome")
                          .Register(registry);
    made->m_platform = &BuildCounter()
                            .Name("apricot_platform_calls_total")
                            .Help("Calls to the platform, by call and outcome")
                            .Register(registry);
    made->m_pathProbes = &BuildCounter()
                              .Name("apricot_path_probes_total")
                              .Help("Probes of paths to servers, by outcome")
                              .Register(registry);
    made->m_quotaDecisions = &BuildCounter()
                                  .Name("apricot_quota_decisions_total")
                                  .Help("Requests of client accounts with a limit, by outcome")
                                  .Register(registry);
    made->m_confirmationAge
        = makeGauge(registry, "apricot_configuration_confirmation_age_seconds",
                    "Time since the configuration was last known to be the newest");
    made->m_clientBytes
        = makeGauge(registry, "apricot_client_bytes", "Memory that requests of clients hold");
    made->m_clientConnections
        = makeGauge(registry, "apricot_client_connections", "Connections of clients");
    made->m_clientsRefused = makeGauge(registry, "apricot_clients_refused",
                                       "Connections and requests not admitted since the start");
    made->m_clientsClosed = makeGauge(registry, "apricot_clients_closed",
                                      "Connections closed for others since the start");
    made->m_retries = makeCounter(registry, "apricot_retries_total", "Attempts after the first");
    auto &peerBytes = BuildCounter()
                          .Name("apricot_peer_bytes_total")
                          .Help("Bytes of messages between hosts, by direction; sent ones by kind")
                          .Register(registry);
    for (std::size_t kind = 0; kind < messageKindNames.size(); ++kind) {
        const std::string name(messageKindNames.at(kind));
        made->m_peerBytesSent.at(kind) = &peerBytes.Add({{"direction", "sent"}, {"kind", name}});
    }
    made->m_peerBytesReceived = &peerBytes.Add({{"direction", "received"}});
    made->m_forwards
        = makeCounter(registry, "apricot_forwards_total", "Requests sent to another host");
    made->m_idle = makeCounter(registry, "apricot_idle_accelerator_seconds_total",
                               "Time that loaded models of owned cells had no request");
    made->m_connectFailures = makeCounter(registry, "apricot_connect_failures_total",
                                          "Connections to servers that could not be established");
    made->m_serverCrashes
        = makeCounter(registry, "apricot_server_crashes_total",
                      "Crashes of servers with a request here that may be the cause");
    made->m_quarantinedParts
        = makeGauge(registry, "apricot_quarantined_parts", "Prompt parts that this host refuses");
    made->m_quarantinedRequests
        = makeGauge(registry, "apricot_quarantined_requests",
                    "Requests that this host refuses as they crash servers");
    made->m_serversLeaving = makeGauge(registry, "apricot_servers_leaving",
                                       "Backend servers that said that they leave");
    made->m_serversPaused = makeGauge(registry, "apricot_servers_paused",
                                      "Backend servers that want no request of this host now");
    made->m_serversLimited = makeGauge(registry, "apricot_servers_limited",
                                       "Backend servers that named a limit in force now");
    return {made};
}

void countAnswer(Metrics &metrics, ErrorKind kind)
{
    metrics.m_registry->m_answers.at(static_cast<std::size_t>(kind))->Increment();
}

void countOrder(Metrics &metrics, OrderKind kind, bool done)
{
    const char *name = kind == OrderKind::Load ? "load" : "unload";
    const char *outcome = done ? "done" : "failed";
    metrics.m_registry->m_orders->Add({{"kind", name}, {"outcome", outcome}}).Increment();
}

void countPlatformCall(Metrics &metrics, std::string_view call, bool answered)
{
    const char *outcome = answered ? "answered" : "lost";
    metrics.m_registry->m_platform->Add({{"call", std::string(call)}, {"outcome", outcome}})
        .Increment();
}

void countRetry(Metrics &metrics)
{
    metrics.m_registry->m_retries->Increment();
}

std::string_view nameOf(MessageKind kind)
{
    return messageKindNames.at(static_cast<std::size_t>(kind));
}

void countSentMessage(Metrics &metrics, MessageKind kind, std::size_t bytes)
{
    Counter *counter = metrics.m_registry->m_peerBytesSent.at(static_cast<std::size_t>(kind));
    counter->Increment(static_cast<double>(bytes));
}

void countReceivedMessage(Metrics &metrics, std::size_t bytes)
{
    metrics.m_registry->m_peerBytesReceived->Increment(static_cast<double>(bytes));
}

void countQuotaDecision(Metrics &metrics, std::string_view outcome)
{
    metrics.m_registry->m_quotaDecisions->Add({{"outcome", std::string(outcome)}}).Increment();
}

void setAdmission(Metrics &metrics, const AdmissionTable &table)
{
    MetricsRegistry &registry = *metrics.m_registry;
    registry.m_clientBytes->Set(static_cast<double>(table.m_bytes));
    registry.m_clientConnections->Set(static_cast<double>(table.m_connections.size()));
    registry.m_clientsRefused->Set(static_cast<double>(table.m_refused));
    registry.m_clientsClosed->Set(static_cast<double>(table.m_closed));
}

void setConfirmationAge(Metrics &metrics, Millis age)
{
    metrics.m_registry->m_confirmationAge->Set(static_cast<double>(age.m_count) / msPerSecond);
}

void countForward(Metrics &metrics)
{
    metrics.m_registry->m_forwards->Increment();
}

void countPathProbe(Metrics &metrics, bool reached)
{
    metrics.m_registry->m_pathProbes->Add({{"outcome", reached ? "reached" : "lost"}}).Increment();
}

void countConnectFailure(Metrics &metrics)
{
    metrics.m_registry->m_connectFailures->Increment();
}

void countServerCrash(Metrics &metrics)
{
    metrics.m_registry->m_serverCrashes->Increment();
}

void setQuarantined(Metrics &metrics, std::size_t parts, std::size_t requests)
{
    metrics.m_registry->m_quarantinedParts->Set(static_cast<double>(parts));
    metrics.m_registry->m_quarantinedRequests->Set(static_cast<double>(requests));
}

void setStatementCounts(Metrics &metrics, const StatementCounts &counts)
{
    metrics.m_registry->m_serversLeaving->Set(static_cast<double>(counts.m_leaving));
    metrics.m_registry->m_serversPaused->Set(static_cast<double>(counts.m_paused));
    metrics.m_registry->m_serversLimited->Set(static_cast<double>(counts.m_limited));
}

void observe(Metrics &metrics, LatencyKind kind, Millis time)
{
    metrics.m_registry->m_latencies.at(static_cast<std::size_t>(kind))
        ->Observe(static_cast<double>(time.m_count) / msPerSecond);
}

void addIdleTime(Metrics &metrics, Millis time)
{
    metrics.m_registry->m_idle->Increment(static_cast<double>(time.m_count) / msPerSecond);
}

std::string renderMetrics(const Metrics &metrics)
{
    return prometheus::TextSerializer().Serialize(metrics.m_registry->m_all->Collect());
}

} // namespace apricot
