// Runs calls to plain services, which have no models: bookings, stock adjustments, lookups. The
// backend servers of the service are tried in a rendezvous order of the request id, those of this
// host's data centre first.
#include "request/call.h"

#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis connectTimeout = {500};
constexpr std::size_t responseLimit = 8UL * 1024 * 1024; // bytes
constexpr int maxAttempts = 3;

HttpRequest makeRequest(const Call &call)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/" + call.m_work.m_name.m_text;
    request.m_fields = {{"Request-Id", call.m_id}, {"Content-Type", "application/json"}};
    if (call.m_ticket)
        request.m_fields.push_back({"Idempotency-Key", toText(*call.m_ticket)});
    request.m_body = call.m_request.m_body;
    return request;
}

/// Reads the complete response and checks that it belongs to this request.
asio::awaitable<Result<HttpResponse>> readResponse(const Call &call, HttpConnection &connection)
{
    auto head = co_await readHead(connection, timeLeft(call));
    if (!ok(head))
        co_return std::get<Failure>(head);
    HttpResponse response;
    response.m_head = std::get<HttpHead>(std::move(head));
    auto body = co_await readBody(connection, timeLeft(call), responseLimit);
    if (!ok(body))
        co_return std::get<Failure>(body);
    response.m_body = std::get<std::string>(std::move(body));
    const std::string answeredId = fieldOf(response.m_head.m_fields, "Request-Id");
    if (answeredId != call.m_id)
        co_return makeFailure(ErrorKind::CrossedAnswer,
                              "the response carries the request id '" + answeredId + "'");
    co_return response;
}

/// The response to the caller: status, content type and body of the server's response. No other
/// field is passed on.
HttpResponse makeCallerResponse(const HttpResponse &serverResponse)
{
    HttpResponse response;
    response.m_head.m_status = serverResponse.m_head.m_status;
    const std::string type = fieldOf(serverResponse.m_head.m_fields, "Content-Type");
    if (!type.empty())
        response.m_head.m_fields.push_back({"Content-Type", type});
    response.m_body = serverResponse.m_body;
    return response;
}

/// Runs one attempt. As soon as the first byte of the request is written it may run, so a request
/// that must not be repeated is sent on a new connection: a pooled one may turn out to be closed
/// only after the write.
asio::awaitable<Result<HttpResponse>> attempt(Call &call, ServerSpec server)
{
    HttpPool &pool = call.m_thread->m_http;
    const bool forceNew = !call.m_work.m_idempotent;
    const auto opened
        = co_await openHttpConnection(pool, server.m_endpoint, connectTimeout, forceNew);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    if (call.m_callerDisconnected)
        co_return makeFailure(ErrorKind::CallerGone, "", RunState::NotRun);
    const auto sendFailure
        = co_await sendRequest(*connection, server.m_endpoint, makeRequest(call), timeLeft(call));
    if (sendFailure)
        co_return *sendFailure;
    auto response = co_await readResponse(call, *connection);
    if (ok(response))
        releaseHttpConnection(pool, server.m_endpoint, std::move(connection));
    else
        closeHttpConnection(*connection);
    co_return response;
}

void logRoute(const Call &call, const ServerSpec &server, std::size_t candidates, int attempts)
{
    logEvent("route",
             {{"request", call.m_id},
              {"service", call.m_service->m_name.m_text},
              {"server", server.m_name.m_text},
              {"candidates", std::to_string(candidates)},
              {"attempt", std::to_string(attempts)}});
}

bool mayRepeat(const Call &call, const Failure &failure)
{
    const bool repeatable = failure.m_run == RunState::NotRun || call.m_work.m_idempotent;
    return repeatable && failure.m_kind != ErrorKind::CallerGone && timeLeft(call) > Millis{};
}

} // namespace

asio::awaitable<CallError> runOnPlainService(Call &call)
{
    Node &node = *call.m_node;
    std::vector<ServerSpec> servers = plainServerOrder(
        *call.m_configuration, call.m_service->m_name, node.m_settings.m_dataCentre, call.m_id);
    const MachineList machines = machinesOf(node);
    std::erase_if(servers, [&](const ServerSpec &server) { return isLeaving(&server, machines); });
    Failure last
        = makeFailure(ErrorKind::NoBackendServer,
                      "no server of the service is published, or all are leaving", {1'000});
    for (int attempts = 0; attempts < maxAttempts && !servers.empty(); ++attempts) {
        const ServerSpec server = servers[static_cast<std::size_t>(attempts) % servers.size()];
        if (attempts > 0 && !consumeRetryToken(node))
            break;
        logRoute(call, server, servers.size(), attempts);
        auto result = co_await attempt(call, server);
        if (ok(result)) {
            const HttpResponse &response = std::get<HttpResponse>(result);
            const bool notRun = fieldOf(response.m_head.m_fields, "Run-State") == "not-run";
            call.m_run = notRun ? RunState::NotRun : RunState::Ran;
            co_return co_await sendCompleteResponse(call, makeCallerResponse(response));
        }
        last = std::get<Failure>(result);
        recordFailedAttempt(call, last);
        if (!mayRepeat(call, last))
            break;
    }
    co_return last;
}

} // namespace apricot
