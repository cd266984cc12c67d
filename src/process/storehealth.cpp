// Whether the platform's store answers this host.
//
// A single call that fails says little: a watch may be cut off, and a connection may go silent,
// while the store answers everything else. So a failed call is followed by a probe on a connection
// of its own, and only if that isn't answered either the store counts as unavailable. From then on
// the probe is repeated until any call is answered, so that the end of the outage is noticed at
// once, however rarely this host calls the store.
#include "process/gatewaystate.h"
#include "process/log.h"

namespace apricot {

namespace {

/// Time for the answer to a probe. A store that needs longer counts as unavailable, and so does one
/// that has answered nothing for as long.
constexpr Millis probeTimeout = {500};
constexpr Millis firstProbePause = {60}; // while the store is unavailable
constexpr Millis longestProbePause = {500};

void beginOutage(Gateway &gateway, const char *call, const std::string &why)
{
    StoreHealth &health = gateway.m_storeHealth;
    if (std::exchange(health.m_unavailable, true))
        return;
    logWarning("store_lost", {{"call", call}, {"why", why}});
}

void endOutage(Gateway &gateway, const char *call)
{
    StoreHealth &health = gateway.m_storeHealth;
    if (!std::exchange(health.m_unavailable, false))
        return;
    health.m_recoveredAt = now(gateway);
    logEvent("store_back", {{"call", call}});
}

/// Sends a small request on a new connection. Returns whether the store answered it in time.
asio::awaitable<bool> probeStore(Gateway &gateway)
{
    HttpPool pool;
    pool.m_io = &gateway.m_io;
    pool.m_ackTimeout = gateway.m_store.m_ackTimeout;
    HttpRequest request = gateway.m_protocol->getObject(ObjectKind::Lease, leaseObjectName);
    const auto response
        = co_await fetchHttp(pool, gateway.m_settings.m_platform, std::move(request), probeTimeout);
    bool answered = false;
    if (ok(response)) {
        const StoreReply reply = gateway.m_protocol->readReply(std::get<HttpResponse>(response));
        answered = reply.m_outcome != StoreOutcome::Refused;
    }
    countPlatformCall(gateway.m_metrics, "probe", answered);
    co_return answered;
}

/// Probes the store after a call has failed, until it answers.
asio::awaitable<void> checkStore(Gateway &gateway, const char *call, std::string why)
{
    Millis pause = firstProbePause;
    const Millis began = now(gateway);
    bool answered = co_await probeStore(gateway);
    if (answered && !gateway.m_storeHealth.m_unavailable)
        logEvent("store_call_failed",
                 {{"call", call},
                  {"why", why},
                  {"probe_ms", std::to_string((now(gateway) - began).m_count)}});
    while (!answered) {
        beginOutage(gateway, call, why);
        co_await backOff(gateway, pause, longestProbePause);
        answered = co_await probeStore(gateway);
    }
    endOutage(gateway, "probe");
    gateway.m_storeHealth.m_checking = false;
}

} // namespace

void recordStoreAnswer(Gateway &gateway, const char *call)
{
    countPlatformCall(gateway.m_metrics, call, true);
    endOutage(gateway, call);
}

void recordStoreFailure(Gateway &gateway, const char *call, const std::string &why, Millis silent)
{
    StoreHealth &health = gateway.m_storeHealth;
    countPlatformCall(gateway.m_metrics, call, false);
    if (silent >= probeTimeout)
        beginOutage(gateway, call, why);
    if (!std::exchange(health.m_checking, true))
        begin(gateway, "check_store", checkStore(gateway, call, why));
}

Millis silenceOf(const Gateway &gateway, Millis callBegan)
{
    const bool answeredSince = gateway.m_storeHealth.m_answeredCallBegan > callBegan;
    return answeredSince ? Millis{0} : now(gateway) - callBegan;
}

} // namespace apricot
