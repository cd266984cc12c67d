// Measures the load of the event loop (the delay of its timers and the time that plans take) and
// the traffic with other hosts.
#include "process/gatewaystate.h"
#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis measureInterval = {200};
constexpr Millis logInterval = {1'000}; // period of one measurement, and at most one line for it
/// A delay from here on is logged. An answer of the store takes tens of turns of the loop to read,
/// and each of them may be as late.
constexpr Millis lateDelay = {50};

void logIfLate(Gateway &gateway, Millis time)
{
    LoopLoad &load = gateway.m_loopLoad;
    const Millis period = time - load.m_since;
    if (period < logInterval)
        return;
    if (load.m_longestDelay >= lateDelay)
        logWarning("loop_late",
                   {{"delay_ms", std::to_string(load.m_longestDelay.m_count)},
                    {"plans_ms", std::to_string(load.m_planTime.m_count)},
                    {"period_ms", std::to_string(period.m_count)},
                    {"in_flight", std::to_string(gateway.m_relays.size())},
                    {"holder", holdsLease(gateway) ? "yes" : "no"}});
    load = {};
    load.m_since = time;
}

constexpr Millis trafficLogInterval = {5'000};
constexpr std::size_t muchTraffic = 100'000; // bytes a second in one direction

void logTraffic(Gateway &gateway, Millis time)
{
    const PeerTraffic &traffic = gateway.m_peerTraffic;
    const auto ms
        = static_cast<std::size_t>(std::max<std::int64_t>((time - traffic.m_since).m_count, 1));
    const std::size_t sent = traffic.m_sentBytes * 1'000 / ms;
    const std::size_t received = traffic.m_receivedBytes * 1'000 / ms;
    if (!holdsLease(gateway) && std::max(sent, received) < muchTraffic)
        return;
    std::string ofKind; // bytes a second, by kind
    for (const auto &[kind, bytes] : traffic.m_sentOfKind) {
        ofKind += (ofKind.empty() ? "" : " ") + std::string(nameOf(kind)) + ":";
        ofKind += std::to_string(bytes * 1'000 / ms);
    }
    logEvent("peer_traffic",
             {{"sent_bytes_per_s", std::to_string(sent)},
              {"sent_of_kind", ofKind},
              {"received_bytes_per_s", std::to_string(received)},
              {"sent", std::to_string(traffic.m_sent)},
              {"received", std::to_string(traffic.m_received)},
              {"period_ms", std::to_string(ms)},
              {"holder", holdsLease(gateway) ? "yes" : "no"}});
}

} // namespace

asio::awaitable<void> watchPeerTraffic(Gateway &gateway)
{
    gateway.m_peerTraffic.m_since = now(gateway);
    while (true) {
        co_await pauseFor(gateway, trafficLogInterval);
        const Millis time = now(gateway);
        logTraffic(gateway, time);
        gateway.m_peerTraffic = {};
        gateway.m_peerTraffic.m_since = time;
    }
}

asio::awaitable<void> watchLoop(Gateway &gateway)
{
    gateway.m_loopLoad.m_since = now(gateway);
    while (true) {
        const Millis due = now(gateway) + measureInterval;
        co_await pauseFor(gateway, measureInterval);
        const Millis time = now(gateway);
        const Millis delay = std::max(time - due, Millis{0});
        observe(gateway.m_metrics, LatencyKind::LoopDelay, delay);
        gateway.m_loopLoad.m_longestDelay = std::max(gateway.m_loopLoad.m_longestDelay, delay);
        logIfLate(gateway, time);
    }
}

void recordPlanTime(Gateway &gateway, Millis took)
{
    observe(gateway.m_metrics, LatencyKind::Plan, took);
    gateway.m_loopLoad.m_planTime = gateway.m_loopLoad.m_planTime + took;
}

} // namespace apricot
