// Status updates of model servers, sent by the lease holder to the other hosts. Updates of one
// moment share a datagram: the number of datagrams grows with time and hosts, not with orders.
#include "process/heartbeat.h"

namespace apricot {

namespace {

constexpr Millis batchDelay = {8}; // ms that an update waits for others
constexpr std::size_t maxUpdatesPerDatagram = 16;
constexpr Millis longestSleep = {10'000};

ServerStatus decodeStatusUpdate(const wire::NoticeEntryT &update)
{
    ServerStatus status;
    status.m_startUnixMs = update.born;
    status.m_sequence = update.sequence;
    status.m_busy = update.busy;
    for (const auto &entry : update.models) {
        LoadedModel loaded;
        loaded.m_name.m_text = entry->model;
        for (const std::string &adapter : entry->adapters)
            loaded.m_adapters.push_back({adapter});
        status.m_models.push_back(std::move(loaded));
    }
    return status;
}

std::unique_ptr<wire::NoticeEntryT> encodeStatusUpdate(const InstanceId &server,
                                                       const ServerStatus &status)
{
    auto update = std::make_unique<wire::NoticeEntryT>();
    update->server = server.m_text;
    update->born = status.m_startUnixMs;
    update->sequence = status.m_sequence;
    update->busy = status.m_busy;
    for (const LoadedModel &loaded : status.m_models) {
        auto entry = std::make_unique<wire::LoadedEntryT>();
        entry->model = loaded.m_name.m_text;
        for (const AdapterName &adapter : loaded.m_adapters)
            entry->adapters.push_back(adapter.m_text);
        update->models.push_back(std::move(entry));
    }
    return update;
}

/// Moves as many unsent updates as fit into a heartbeat.
wire::BeatT takeUnsentUpdates(Gateway &gateway)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    auto &unsent = gateway.m_unsentStatus;
    while (!unsent.empty() && heartbeat.notices.size() < maxUpdatesPerDatagram) {
        heartbeat.notices.push_back(
            encodeStatusUpdate(unsent.begin()->first, unsent.begin()->second));
        unsent.erase(unsent.begin());
    }
    return heartbeat;
}

} // namespace

void applyStatusUpdates(Gateway &gateway, const wire::BeatT &heartbeat)
{
    for (const auto &update : heartbeat.notices) {
        const ServerStatus status = decodeStatusUpdate(*update);
        if (applyStatusUpdate(gateway.m_serverTable, {update->server}, status, now(gateway)))
            wakeWaitingFor(gateway, status);
    }
}

void broadcastStatusUpdate(Gateway &gateway, const InstanceId &server, const ServerStatus &status)
{
    applyStatusUpdate(gateway.m_serverTable, server, status, now(gateway));
    wakeWaitingFor(gateway, status);
    gateway.m_unsentStatus[server] = status;
    wake(*gateway.m_statusTrigger);
}

void sendDueStatusUpdates(Gateway &gateway)
{
    while (!gateway.m_unsentStatus.empty())
        sendToAllPeers(gateway, takeUnsentUpdates(gateway));
}

asio::awaitable<void> sendStatusUpdates(Gateway &gateway)
{
    while (true) {
        co_await sleepUntilWoken(*gateway.m_statusTrigger, longestSleep);
        co_await pauseFor(gateway, batchDelay);
        sendDueStatusUpdates(gateway);
    }
}

} // namespace apricot
