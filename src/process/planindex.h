// Index of a placement input, made once for each plan. A plan asks the same questions for many
// pairs of a model and a server; with the index each answer takes constant time, so that the cost
// of a plan grows with the number of such pairs only, not with the size of the fleet for each pair.
//
// All pointers and views refer to the input, which must not change while the index is used.
#pragma once

#include "gateway.h"

#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace apricot {

/// A model over all servers of the input.
struct ModelIndex
{
    const EngineModel *m_published = nullptr; // null: not published
    const ModelDemand *m_demand = nullptr;    // for the model without an adapter; null: none
    std::vector<std::size_t> m_loadedOn;      // servers, by position in the input, ascending
    std::vector<std::size_t> m_copiesOn;      // servers with a local copy of the weights, ascending
    std::vector<std::size_t> m_pendingOn;     // servers that load it or make room for it, ascending
    int m_replicas = 0;                       // servers in m_loadedOn or m_pendingOn
};

struct PlanIndex
{
    std::unordered_map<std::string_view, ModelIndex> m_models;
    std::unordered_set<std::string> m_usedAdapters; // waiting or running, as "model/adapter"
    std::vector<double> m_memoryUsed;               // MB, by position of the server in the input
};

PlanIndex makePlanIndex(const PlacementInput &input);

/// Returns the entry of a model; null if no server has it and nothing asks for it.
const ModelIndex *findModel(const PlanIndex &index, const ModelName &model);

} // namespace apricot
