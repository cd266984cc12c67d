// Matches a request to its route, and picks one of the route's services by weight.
#include "gateway.h"

#include <algorithm>
#include <cassert>

namespace apricot {

namespace {

/// Orders routes by host, then the longest path prefix first: the first match is the most specific.
bool precedes(const Route &a, const Route &b)
{
    if (a.m_host != b.m_host)
        return a.m_host < b.m_host;
    return a.m_pathPrefix.size() > b.m_pathPrefix.size();
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

void sortRoutes(RouteTable &table)
{
    std::stable_sort(table.m_routes.begin(), table.m_routes.end(), precedes);
}

const Route *matchRoute(const RouteTable &table, std::string_view host, std::string_view target)
{
    const std::string_view name = withoutPort(host);
    const std::string_view path = target.substr(0, target.find('?'));
    auto route = std::lower_bound(
        table.m_routes.begin(), table.m_routes.end(), name,
        [](const Route &other, std::string_view wanted) { return other.m_host < wanted; });
    for (; route != table.m_routes.end() && route->m_host == name; ++route) {
        if (path.starts_with(route->m_pathPrefix))
            return &*route;
    }
    return nullptr;
}

const EngineLimits *engineOf(const RouteTable &table, const ServiceName &service)
{
    const auto found = table.m_services.find(service);
    if (found == table.m_services.end() || !found->second.m_engine)
        return nullptr;
    return &*found->second.m_engine;
}

ServiceName pickService(const Route &route, std::string_view key)
{
    assert(!route.m_services.empty()
           && "routes without services must be rejected when they are read");
    std::uint64_t totalWeight = 0;
    for (const WeightedService &share : route.m_services)
        totalWeight += static_cast<std::uint64_t>(share.m_weight);
    if (totalWeight == 0)
        return route.m_services.front().m_service;
    std::uint64_t position = stableHash(key) % totalWeight;
    for (const WeightedService &share : route.m_services) {
        const auto weight = static_cast<std::uint64_t>(share.m_weight);
        if (position < weight)
            return share.m_service;
        position -= weight;
    }
    return route.m_services.back().m_service;
}

} // namespace apricot
