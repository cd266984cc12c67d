// HTTP client for model engines: sends orders as JSON and parses reports.
#include "process/engineclient.h"

#include <boost/json.hpp>

namespace apricot {

namespace json = boost::json;

namespace {

// For connecting, for sending the order, and for the body of the reply. How long the engine may
// take to execute the order before it begins its reply is up to the caller of sendEngineOrder().
constexpr Millis transferTimeout = {1'000};
constexpr std::size_t maxReplySize = 64UL * 1024; // bytes

std::string serializeOrder(const EngineOrder &order)
{
    json::object object;
    object["kind"] = order.m_kind;
    object["order"]
        = toHex(order.m_id.m_sender.m_value) + "-" + std::to_string(order.m_id.m_number);
    object["epoch"] = order.m_epoch.m_value;
    object["model"] = order.m_slot.m_model.m_text;
    object["adapter"] = order.m_slot.m_adapter.m_text;
    object["version"] = order.m_slot.m_version;
    object["accelerator"] = order.m_slot.m_accelerator;
    object["memory_mb"] = order.m_slot.m_memory.m_count;
    return json::serialize(object);
}

OrderReply parseReply(const std::string &body)
{
    OrderReply reply;
    reply.m_delivery = OrderDelivery::Answered;
    try {
        const json::value value = json::parse(body);
        const auto state = json::value_to<std::string>(value.at("state"));
        if (state == "loaded")
            reply.m_reportedState = ReportedState::Loaded;
        if (state == "absent")
            reply.m_reportedState = ReportedState::Absent;
        reply.m_fenced = state == "fenced";
        if (value.as_object().contains("error"))
            reply.m_detail = json::value_to<std::string>(value.at("error"));
    } catch (const std::exception &error) {
        reply.m_detail = error.what();
    }
    return reply;
}

EngineEntry parseEntry(const json::value &value)
{
    EngineEntry entry;
    entry.m_model.m_text = json::value_to<std::string>(value.at("model"));
    entry.m_adapter.m_text = json::value_to<std::string>(value.at("adapter"));
    entry.m_version = value.at("version").to_number<int>();
    entry.m_ready = value.at("ready").as_bool();
    entry.m_running = value.at("running").to_number<int>();
    return entry;
}

void parseCached(const json::object &report, ServerReport &serverReport)
{
    if (!report.contains("cached"))
        return;
    for (const json::value &value : report.at("cached").as_array()) {
        const auto where = json::value_to<std::string>(value.at("where"));
        CachedModel cached;
        cached.m_model.m_text = json::value_to<std::string>(value.at("model"));
        cached.m_locality = where == "memory" ? Locality::Memory : Locality::Disk;
        serverReport.m_cached.push_back(std::move(cached));
    }
}

} // namespace

asio::awaitable<OrderReply> sendEngineOrder(HttpPool &pool, Endpoint engine, EngineOrder order,
                                            Millis timeout)
{
    OrderReply reply;
    const auto opened = co_await openHttpConnection(pool, engine, transferTimeout, true);
    if (!ok(opened)) {
        reply.m_detail = std::get<Failure>(opened).m_detail;
        co_return reply;
    }
    const HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/orders";
    request.m_body = serializeOrder(order);
    const auto sendFailure = co_await sendRequest(*connection, engine, request, transferTimeout);
    reply.m_delivery = OrderDelivery::Broken; // from here on, part of the order may have been sent
    if (sendFailure) {
        reply.m_detail = sendFailure->m_detail;
        co_return reply;
    }
    const auto head = co_await readHead(*connection, timeout);
    if (!ok(head)) {
        reply.m_detail = std::get<Failure>(head).m_detail;
        closeHttpConnection(*connection);
        co_return reply;
    }
    const auto body = co_await readBody(*connection, transferTimeout, maxReplySize);
    closeHttpConnection(*connection);
    if (ok(body))
        co_return parseReply(std::get<std::string>(body));
    reply.m_detail = std::get<Failure>(body).m_detail;
    co_return reply;
}

asio::awaitable<std::optional<EngineView>> fetchReport(HttpPool &pool, ServerSpec server,
                                                       Millis requestedAt, Millis timeout)
{
    HttpRequest request;
    request.m_target = "/report";
    const auto response = co_await fetchHttp(pool, server.m_endpoint, request, timeout);
    if (!ok(response))
        co_return std::nullopt;
    try {
        const json::object report
            = json::parse(std::get<HttpResponse>(response).m_body).as_object();
        EngineView view;
        view.m_requestedAt = requestedAt;
        view.m_report.m_server = server.m_name;
        view.m_report.m_reachable = true;
        view.m_report.m_running = report.at("running").to_number<int>();
        for (const json::value &entry : report.at("loaded").as_array())
            view.m_entries.push_back(parseEntry(entry));
        parseCached(report, view.m_report);
        co_return view;
    } catch (const std::exception &) {
        co_return std::nullopt;
    }
}

} // namespace apricot
