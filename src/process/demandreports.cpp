// Demand of callers, reported by each host to the lease holder, which plans orders from it.
#include "process/heartbeat.h"

namespace apricot {

namespace {

constexpr Millis demandReportInterval = {300}; // longest time between two demand reports
/// Wait before a demand report, so that one report covers a burst of requests.
constexpr Millis demandReportDelay = {4};

ModelDemand demandOf(const wire::WantEntryT &entry)
{
    ModelDemand demand;
    demand.m_model = {entry.model};
    demand.m_adapter = {entry.adapter};
    demand.m_waiting = entry.waiting;
    demand.m_longestWait = {entry.oldest_ms};
    demand.m_feasible = entry.hopeful;
    demand.m_slack = {entry.slack_ms};
    demand.m_rate = entry.rate;
    demand.m_running = entry.running;
    return demand;
}

void addDemandEntries(const Gateway &gateway, wire::BeatT &heartbeat)
{
    const Millis time = now(gateway);
    for (const auto &[key, demand] : gateway.m_modelDemands) {
        if (isIdle(demand, time))
            continue;
        const ModelDemand modelDemand = demandOf(key, demand, time);
        auto entry = std::make_unique<wire::WantEntryT>();
        entry->service = key.m_service.m_text;
        entry->model = key.m_model.m_text;
        entry->adapter = key.m_adapter.m_text;
        entry->waiting = modelDemand.m_waiting;
        entry->oldest_ms = modelDemand.m_longestWait.m_count;
        entry->hopeful = modelDemand.m_feasible;
        entry->slack_ms = modelDemand.m_slack.m_count;
        entry->rate = static_cast<float>(modelDemand.m_rate);
        entry->running = modelDemand.m_running;
        heartbeat.wants.push_back(std::move(entry));
    }
    for (const auto &[id, known] : gateway.m_serverTable.m_servers) {
        for (const auto &[model, running] : known.m_running) {
            if (running == 0)
                continue;
            auto entry = std::make_unique<wire::UseEntryT>();
            entry->server = id.m_text;
            entry->model = model.m_text;
            entry->running = running;
            heartbeat.uses.push_back(std::move(entry));
        }
    }
}

} // namespace

void applyDemandReport(Gateway &gateway, Peer &peer, const wire::BeatT &heartbeat)
{
    if (!heartbeat.tells_use)
        return;
    peer.m_modelDemands.clear();
    peer.m_uses.clear();
    peer.m_demandReceivedAt = now(gateway);
    for (const auto &entry : heartbeat.wants) {
        const ModelDemandKey key = {{entry->service}, {entry->model}, {entry->adapter}};
        peer.m_modelDemands[key] = demandOf(*entry);
    }
    for (const auto &entry : heartbeat.uses)
        peer.m_uses[{{entry->server}, {entry->model}}] = entry->running;
    wake(*gateway.m_planTrigger);
}

asio::awaitable<void> reportDemandToHolder(Gateway &gateway)
{
    bool reportedDemand = false; // the last report wasn't empty
    while (true) {
        co_await sleepUntilWoken(*gateway.m_demandReportTrigger, demandReportInterval);
        co_await pauseFor(gateway, demandReportDelay);
        if (holdsLease(gateway)) {
            wake(*gateway.m_planTrigger);
            continue;
        }
        const auto holder = gateway.m_peers.find(gateway.m_holder);
        if (holder == gateway.m_peers.end())
            continue;
        wire::BeatT heartbeat = makeHeartbeat(gateway);
        heartbeat.tells_use = true;
        addDemandEntries(gateway, heartbeat);
        const bool hasDemand = !heartbeat.wants.empty() || !heartbeat.uses.empty();
        if (hasDemand || reportedDemand) // one empty report shows the holder that demand ended
            sendDatagram(gateway, holder->second.m_entry.m_peer, encodeHeartbeat(heartbeat));
        reportedDemand = hasDemand;
    }
}

} // namespace apricot
