// Demand of callers, reported by each host to the lease holder, which plans orders from it.
// Complete reports are sent at intervals. Between them a demand that is new is reported at once and
// alone, so that the bytes sent grow with the demands and not with their square.
#include "process/heartbeat.h"

namespace apricot {

namespace {

constexpr Millis demandReportInterval = {300}; // between two complete reports
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
    for (const auto &bound : entry.waiting_for)
        demand.m_waitingFor[{bound->software}] = bound->waiting;
    return demand;
}

void addDemandEntry(const Gateway &gateway, const ModelDemandKey &key, const LocalDemand &demand,
                    wire::BeatT &heartbeat)
{
    const ModelDemand modelDemand = demandOf(key, demand, now(gateway));
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
    for (const auto &[software, waiting] : modelDemand.m_waitingFor) {
        auto bound = std::make_unique<wire::VersionWaitT>();
        bound->software = software.m_hash;
        bound->waiting = waiting;
        entry->waiting_for.push_back(std::move(bound));
    }
    heartbeat.wants.push_back(std::move(entry));
}

void addAllDemands(const Gateway &gateway, wire::BeatT &heartbeat)
{
    heartbeat.tells_use = true;
    for (const auto &[key, demand] : gateway.m_modelDemands) {
        if (!isIdle(demand, now(gateway)))
            addDemandEntry(gateway, key, demand, heartbeat);
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

void addDemands(const Gateway &gateway, const std::set<ModelDemandKey> &keys,
                wire::BeatT &heartbeat)
{
    for (const ModelDemandKey &key : keys) {
        const auto demand = gateway.m_modelDemands.find(key);
        if (demand != gateway.m_modelDemands.end())
            addDemandEntry(gateway, key, demand->second, heartbeat);
    }
}

} // namespace

void applyDemandReport(Gateway &gateway, Peer &peer, const wire::BeatT &heartbeat)
{
    if (!heartbeat.tells_use && heartbeat.wants.empty())
        return;
    const Millis time = now(gateway);
    // A report of new demands only adds to a complete one, which must still be valid itself.
    if (heartbeat.tells_use || time - peer.m_demandReceivedAt >= maxDemandAge) {
        peer.m_modelDemands.clear();
        peer.m_uses.clear();
    }
    peer.m_demandReceivedAt = time;
    for (const auto &entry : heartbeat.wants) {
        const ModelDemandKey key = {{entry->service}, {entry->model}, {entry->adapter}};
        peer.m_modelDemands[key] = demandOf(*entry);
        if (entry->waiting > 0)
            answerDemand(gateway, peer.m_entry.m_host, key);
    }
    for (const auto &entry : heartbeat.uses)
        peer.m_uses[{{entry->server}, {entry->model}}] = entry->running;
    wake(*gateway.m_planTrigger);
}

void reportNewDemand(Gateway &gateway, const ModelDemandKey &key)
{
    gateway.m_newDemands.insert(key);
    wake(*gateway.m_demandReportTrigger);
}

void sendDueDemandReport(Gateway &gateway)
{
    DemandReporting &state = gateway.m_demandReporting;
    const bool complete = now(gateway) >= state.m_completeAt;
    if (complete)
        state.m_completeAt = now(gateway) + demandReportInterval;
    const auto holder = gateway.m_peers.find(gateway.m_holder);
    const std::set<ModelDemandKey> newDemands = std::exchange(gateway.m_newDemands, {});
    if (holdsLease(gateway)) {
        wake(*gateway.m_planTrigger);
        return;
    }
    if (holder == gateway.m_peers.end())
        return;
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    if (complete)
        addAllDemands(gateway, heartbeat);
    else
        addDemands(gateway, newDemands, heartbeat);
    const bool hasDemand = !heartbeat.wants.empty() || !heartbeat.uses.empty();
    // One empty report shows the holder that demand ended.
    if (hasDemand || (complete && state.m_reportedDemand))
        sendDatagram(gateway, MessageKind::Demand, holder->second.m_entry.m_peer,
                     encodeHeartbeat(heartbeat));
    if (complete)
        state.m_reportedDemand = hasDemand;
}

asio::awaitable<void> reportDemandToHolder(Gateway &gateway)
{
    while (true) {
        const Millis due = gateway.m_demandReporting.m_completeAt;
        co_await sleepUntilWoken(*gateway.m_demandReportTrigger, due - now(gateway));
        co_await pauseFor(gateway, demandReportDelay);
        sendDueDemandReport(gateway);
    }
}

} // namespace apricot
