// HTTP handler of the admin port: metrics, health, readiness and status of this host.
#include "process/node.h"

#include <boost/json.hpp>

namespace apricot {

namespace json = boost::json;

namespace {

HttpResponse plainResponse(unsigned status, std::string text)
{
    return {{status, {{"Content-Type", "text/plain; charset=utf-8"}}}, std::move(text)};
}

const char *livenessName(const Member &member)
{
    static constexpr std::array<const char *, 3> names = {"alive", "suspect", "dead"};
    return names.at(static_cast<std::size_t>(member.m_liveness));
}

json::array describeMembers(Node &node)
{
    json::array members;
    const std::lock_guard lock(node.m_members.m_mutex);
    for (const auto &[host, member] : node.m_members.m_membership.m_members)
        members.push_back({{"host", host.m_text},
                           {"state", livenessName(member)},
                           {"leaving", member.m_leaving},
                           {"data_centre", member.m_dataCentre.m_text},
                           {"address", toText(member.m_caller)},
                           {"configuration", member.m_configNumber}});
    return members;
}

json::array describeCells(Node &node)
{
    json::array cells;
    const std::lock_guard lock(node.m_cells.m_mutex);
    for (const auto &[name, cell] : node.m_cells.m_cells) {
        const std::lock_guard cellLock(cell->m_mutex);
        if (cell->m_owned)
            cells.push_back({{"cell", name.m_text},
                             {"epoch", cell->m_record.m_epoch.m_value},
                             {"record", json::parse(writeCellRecord(cell->m_record))}});
    }
    return cells;
}

bool isReady(Node &node)
{
    return configurationOf(node) && !node.m_stopping;
}

HttpResponse describeNode(Node &node)
{
    const auto configuration = configurationOf(node);
    const json::object body = {
        {"host", node.m_settings.m_host.m_text},
        {"incarnation", toHex(node.m_incarnation.m_value)},
        {"configuration", configuration ? configuration->m_number : 0},
        {"configuration_id", configuration ? configuration->m_id : ""},
        {"ready", isReady(node)},
        {"stopping", node.m_stopping.load()},
        {"in_flight", node.m_inFlight.load()},
        {"members", describeMembers(node)},
        {"cells", describeCells(node)},
    };
    return {{200, {{"Content-Type", "application/json"}}}, json::serialize(body) + "\n"};
}

} // namespace

asio::awaitable<void> serveAdmin(Node &node, HttpExchange &exchange)
{
    const std::string &target = exchange.m_request.m_target;
    HttpResponse response = plainResponse(404, "paths: /metrics /health /ready /status\n");
    if (target == "/metrics")
        response = plainResponse(200, renderMetrics(node.m_metrics));
    if (target == "/health")
        response = plainResponse(200, "ok\n");
    if (target == "/ready")
        response
            = isReady(node) ? plainResponse(200, "ready\n") : plainResponse(503, "not ready\n");
    if (target == "/status")
        response = describeNode(node);
    co_await sendResponse(exchange, response);
}

} // namespace apricot
