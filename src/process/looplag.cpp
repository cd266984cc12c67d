// Measures the load of the event loop: the delay of its timers and the time that plans take.
#include "process/gatewaystate.h"
#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis measureInterval = {200};
constexpr Millis lateDelay = {150};     // a delay from here on is logged
constexpr Millis logInterval = {1'000}; // at most one line in this time

void logIfLate(Gateway &gateway, Millis time)
{
    LoopLoad &load = gateway.m_loopLoad;
    if (load.m_longestDelay < lateDelay || time - load.m_loggedAt < logInterval)
        return;
    logWarning("loop_late",
               {{"delay_ms", std::to_string(load.m_longestDelay.m_count)},
                {"plan_ms", std::to_string(load.m_longestPlan.m_count)},
                {"in_flight", std::to_string(gateway.m_inFlight)},
                {"holder", holdsLease(gateway) ? "yes" : "no"}});
    load = {};
    load.m_loggedAt = time;
}

} // namespace

asio::awaitable<void> watchLoop(Gateway &gateway)
{
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
    gateway.m_loopLoad.m_longestPlan = std::max(gateway.m_loopLoad.m_longestPlan, took);
}

} // namespace apricot
