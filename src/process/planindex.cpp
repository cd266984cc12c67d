// Builds the index of a placement input.
#include "process/planindex.h"

#include <algorithm>

namespace apricot {

namespace {

ModelIndex &entryOf(PlanIndex &index, const PlacementInput &input, const ModelName &model)
{
    const auto [entry, created] = index.m_models.try_emplace(model.m_text);
    if (created) {
        const auto published = input.m_limits->m_models.find(model);
        if (published != input.m_limits->m_models.end())
            entry->second.m_published = &published->second;
    }
    return entry->second;
}

void indexDemands(PlanIndex &index, const PlacementInput &input)
{
    for (const ModelDemand &demand : input.m_demands) {
        ModelIndex &model = entryOf(index, input, demand.m_model);
        if (demand.m_adapter.m_text.empty()) {
            if (!model.m_demand)
                model.m_demand = &demand;
        } else if (demand.m_waiting > 0 || demand.m_running > 0) {
            index.m_usedAdapters.insert(adapterKey(demand.m_model, demand.m_adapter));
        }
    }
}

void indexLoadedModels(PlanIndex &index, const PlacementInput &input, std::size_t at)
{
    const PlanServer &server = input.m_servers[at];
    for (const LoadedModel &loaded : server.m_serverStatus.m_models) {
        ModelIndex &model = entryOf(index, input, loaded.m_name);
        model.m_loadedOn.push_back(at);
        model.m_replicas += 1;
    }
    if (server.m_pendingModel.m_text.empty())
        return;
    ModelIndex &pending = entryOf(index, input, server.m_pendingModel);
    pending.m_pendingOn.push_back(at);
    if (!holdsModel(server.m_serverStatus, server.m_pendingModel, {}))
        pending.m_replicas += 1;
}

/// Records the local copies of the models that already have an entry. No load is ordered for
/// others, and they are most of what the disks hold.
void indexCopies(PlanIndex &index, const PlacementInput &input, std::size_t at)
{
    const ServerStatus &status = input.m_servers[at].m_serverStatus;
    for (const auto *copies : {&status.m_inMemory, &status.m_onDisk}) {
        for (const ModelName &copy : *copies) {
            const auto found = index.m_models.find(copy.m_text);
            if (found == index.m_models.end())
                continue;
            auto &servers = found->second.m_copiesOn;
            if (servers.empty() || servers.back() != at)
                servers.push_back(at);
        }
    }
}

} // namespace

PlanIndex makePlanIndex(const PlacementInput &input)
{
    PlanIndex index;
    const double largestAdapter = largestAdapterMb(*input.m_limits);
    indexDemands(index, input);
    for (std::size_t at = 0; at < input.m_servers.size(); ++at) {
        indexLoadedModels(index, input, at);
        index.m_memoryUsed.push_back(
            memoryUsed(*input.m_limits, input.m_servers[at].m_serverStatus, largestAdapter));
    }
    for (std::size_t at = 0; at < input.m_servers.size(); ++at)
        indexCopies(index, input, at);
    return index;
}

const ModelIndex *findModel(const PlanIndex &index, const ModelName &model)
{
    const auto found = index.m_models.find(model.m_text);
    return found == index.m_models.end() ? nullptr : &found->second;
}

} // namespace apricot
