// Calls to plain services: bookings, stock adjustments, lookups.
#include "request/call.h"

#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis connectTimeout = {500};
constexpr std::size_t answerLimit = 8UL * 1024 * 1024; // bytes
constexpr int mostAttempts = 3;

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

/// The answer, whole and checked to be this request's.
asio::awaitable<Result<HttpResponse>> readAnswer(const Call &call, HttpConnection &connection)
{
    auto head = co_await readHead(connection, leftOf(call));
    if (!ok(head))
        co_return std::get<Failure>(head);
    HttpResponse response;
    response.m_head = std::get<HttpHead>(std::move(head));
    auto body = co_await readBody(connection, leftOf(call), answerLimit);
    if (!ok(body))
        co_return std::get<Failure>(body);
    response.m_body = std::get<std::string>(std::move(body));
    const std::string answered = fieldOf(response.m_head.m_fields, "Request-Id");
    if (answered != call.m_id)
        co_return makeFailure(ErrorKind::CrossedAnswer, "it answered '" + answered + "'");
    co_return response;
}

HttpResponse passOn(const HttpResponse &answer)
{
    HttpResponse response;
    response.m_head.m_status = answer.m_head.m_status;
    const std::string type = fieldOf(answer.m_head.m_fields, "Content-Type");
    if (!type.empty())
        response.m_head.m_fields.push_back({"Content-Type", type});
    response.m_body = answer.m_body;
    return response;
}

/// One attempt. Writing its first byte is the point of no return.
asio::awaitable<Result<HttpResponse>> attempt(Call &call, ServerSpec server)
{
    HttpPool &pool = call.m_thread->m_http;
    const bool fresh = !call.m_work.m_idempotent;
    const auto opened = co_await openHttp(pool, server.m_endpoint, connectTimeout, fresh);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    if (call.m_callerGone)
        co_return makeFailure(ErrorKind::CallerGone, "", RunState::NotRun);
    const auto notSent
        = co_await sendRequest(*connection, server.m_endpoint, makeRequest(call), leftOf(call));
    if (notSent)
        co_return *notSent;
    auto answer = co_await readAnswer(call, *connection);
    if (ok(answer))
        releaseHttp(pool, server.m_endpoint, std::move(connection));
    else
        closeHttp(*connection);
    co_return answer;
}

void logRoute(const Call &call, const ServerSpec &server, std::size_t candidates, int tries)
{
    logEvent("route",
             {{"request", call.m_id},
              {"service", call.m_service->m_name.m_text},
              {"server", server.m_name.m_text},
              {"candidates", std::to_string(candidates)},
              {"attempt", std::to_string(tries)}});
}

bool mayRepeat(const Call &call, const Failure &failure)
{
    const bool harmless = failure.m_run == RunState::NotRun || call.m_work.m_idempotent;
    return harmless && failure.m_kind != ErrorKind::CallerGone && leftOf(call) > Millis{};
}

} // namespace

asio::awaitable<CallEnd> runOnPlain(Call &call)
{
    Node &node = *call.m_node;
    std::vector<ServerSpec> servers = plainServerOrder(
        *call.m_configuration, call.m_service->m_name, node.m_settings.m_dataCentre, call.m_id);
    const MachineList machines = machinesOf(node);
    std::erase_if(servers, [&](const ServerSpec &server) { return isLeaving(&server, machines); });
    Failure last
        = makeFailure(ErrorKind::NoBackendServer, "none is published or all are leaving", {1'000});
    for (int tries = 0; tries < mostAttempts && !servers.empty(); ++tries) {
        const ServerSpec server = servers[static_cast<std::size_t>(tries) % servers.size()];
        if (tries > 0 && !takeRetry(node))
            break;
        logRoute(call, server, servers.size(), tries);
        auto answer = co_await attempt(call, server);
        if (ok(answer)) {
            const HttpResponse &response = std::get<HttpResponse>(answer);
            const bool unrun = fieldOf(response.m_head.m_fields, "Run-State") == "not-run";
            call.m_run = unrun ? RunState::NotRun : RunState::Ran;
            co_return co_await answerWhole(call, passOn(response));
        }
        last = std::get<Failure>(answer);
        noteAttempt(call, last);
        if (!mayRepeat(call, last))
            break;
    }
    co_return last;
}

} // namespace apricot
