// Status updates of model servers, sent by the lease holder to the other hosts.
#include "process/heartbeat.h"

namespace apricot {

namespace {

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

} // namespace

void applyStatusUpdates(Gateway &gateway, const wire::BeatT &heartbeat)
{
    bool changed = false;
    for (const auto &update : heartbeat.notices)
        changed |= applyStatusUpdate(gateway.m_serverTable, {update->server},
                                     decodeStatusUpdate(*update), now(gateway));
    if (changed)
        wakeWaiting(gateway);
}

void broadcastStatusUpdate(Gateway &gateway, const InstanceId &server, const ServerStatus &status)
{
    applyStatusUpdate(gateway.m_serverTable, server, status, now(gateway));
    wakeWaiting(gateway);
    wire::BeatT heartbeat = makeHeartbeat(gateway);
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
    heartbeat.notices.push_back(std::move(update));
    sendToAllPeers(gateway, heartbeat);
}

} // namespace apricot
