// Serves the requests of callers in apricotd: address lookups, tickets and calls to services.
// Parses a call, runs it on this host or on the home of its model, and writes the response or the
// error. docs/CALLERS.md describes this interface for callers.
#include "request/call.h"

#include "process/log.h"

#include <algorithm>
#include <boost/json.hpp>

namespace apricot {

namespace json = boost::json;

namespace {

constexpr std::size_t maxAddresses = 4; // in an address response
constexpr std::size_t homesPerKey = 1;  // hosts that an address response ranks as homes
constexpr std::int64_t msPerSecond = 1'000;
constexpr std::size_t maxRequestIdLength = 128;   // characters
constexpr std::int64_t maxDeadlineMs = 3'600'000; // an hour

HttpResponse jsonResponse(unsigned status, const json::value &body)
{
    HttpResponse response;
    response.m_head = {status, {{"Content-Type", "application/json"}}};
    response.m_body = json::serialize(body) + "\n";
    return response;
}

bool isValidRequestId(const std::string &id)
{
    const bool validLetters = std::all_of(id.begin(), id.end(), [](unsigned char letter) {
        return std::isalnum(letter) || letter == '-' || letter == '_' || letter == '.';
    });
    return validLetters && !id.empty() && id.size() <= maxRequestIdLength;
}

std::string makeRequestId(Node &node)
{
    return node.m_settings.m_host.m_text + "-" + toHex(node.m_incarnation.m_value) + "-"
        + std::to_string(node.m_nextRequest++);
}

CallError badRequest(std::string detail)
{
    return makeFailure(ErrorKind::BadRequest, std::move(detail));
}

/// Sets the deadline from the Deadline-Ms field, milliseconds from now, or from the default of the
/// kind of work.
CallError readDeadline(Call &call)
{
    call.m_deadline = call.m_startedAt + call.m_work.m_deadline;
    const std::string text = fieldOf(call.m_request.m_fields, "Deadline-Ms");
    if (text.empty())
        return {};
    const bool digits = std::all_of(text.begin(), text.end(),
                                    [](unsigned char letter) { return std::isdigit(letter); });
    constexpr std::size_t maxDigits = 9; // so that std::stoll() can't overflow
    if (!digits || text.size() > maxDigits)
        return badRequest("Deadline-Ms must be a whole number of milliseconds from now");
    const std::int64_t time = std::stoll(text);
    if (time <= 0 || time > maxDeadlineMs)
        return badRequest("Deadline-Ms must be from 1 to 3600000");
    call.m_deadline = call.m_startedAt + Millis{time};
    return {};
}

CallError readId(Call &call)
{
    call.m_id = fieldOf(call.m_request.m_fields, "Request-Id");
    if (call.m_id.empty())
        call.m_id = makeRequestId(*call.m_node);
    if (isValidRequestId(call.m_id))
        return {};
    call.m_id = makeRequestId(*call.m_node);
    return badRequest("Request-Id must be 1 to 128 letters, digits, '-', '_' or '.'");
}

CallError readTicket(Call &call)
{
    const std::string text = fieldOf(call.m_request.m_fields, "Ticket");
    if (text.empty())
        return {};
    call.m_ticket = parseTicket(text);
    if (!call.m_ticket)
        return badRequest("the ticket is malformed");
    return {};
}

CallError readModel(Call &call, const Target &target)
{
    call.m_model.m_text = fieldOf(target.m_query, "model");
    call.m_adapter.m_text = fieldOf(target.m_query, "adapter");
    if (call.m_service->m_kind == ServiceKind::Plain) {
        if (!call.m_model.m_text.empty())
            return badRequest("a plain service has no models");
        return {};
    }
    if (call.m_model.m_text.empty() && call.m_service->m_models.size() == 1)
        call.m_model = call.m_service->m_models.front().m_name;
    const ModelSpec *model = findModel(*call.m_service, call.m_model);
    if (!model)
        return makeFailure(ErrorKind::UnknownModel, "'" + call.m_model.m_text + "'");
    if (!call.m_adapter.m_text.empty() && !findAdapter(*model, call.m_adapter))
        return makeFailure(ErrorKind::UnknownAdapter, "'" + call.m_adapter.m_text + "'");
    return {};
}

/// Parses a call: POST /v1/services/SERVICE/WORK?model=M&adapter=A
CallError readCall(Call &call)
{
    CallError error = readId(call);
    if (error)
        return error;
    const auto target = parseTarget(call.m_request.m_target);
    constexpr std::size_t segments = 4;
    if (!target || target->m_path.size() != segments || target->m_path[1] != "services")
        return badRequest("the path must be /v1/services/SERVICE/WORK");
    if (!call.m_configuration)
        return makeFailure(ErrorKind::NotReady, "nothing is published yet", {msPerSecond});
    call.m_service = findService(*call.m_configuration, {target->m_path[2]});
    if (!call.m_service)
        return makeFailure(ErrorKind::UnknownService, "'" + target->m_path[2] + "'");
    const WorkKind *work = findWork(*call.m_service, {target->m_path[3]});
    if (!work)
        return makeFailure(ErrorKind::UnknownWork, "'" + target->m_path[3] + "'");
    call.m_work = *work;
    error = readDeadline(call);
    if (!error)
        error = readTicket(call);
    if (!error)
        error = readModel(call, *target);
    return error;
}

/// The key for the rendezvous hashing that ranks the hosts as homes of a model.
std::string placementKey(const ModelName &model)
{
    return "model:" + model.m_text;
}

/// The home of the call's model, if that is another host that should run the call. Nothing if this
/// host runs it: it is the home, the call was forwarded already, it has a ticket or must not be
/// repeated, or it goes to a plain service.
std::optional<Member> findRemoteHome(const Call &call)
{
    Node &node = *call.m_node;
    const bool runsHere = call.m_fromPeer || call.m_ticket || !call.m_work.m_idempotent
        || call.m_model.m_text.empty();
    if (runsHere)
        return {};
    const std::vector<Member> ranked = rankMembers(liveMembersOf(node), placementKey(call.m_model));
    if (ranked.empty() || ranked.front().m_host == node.m_settings.m_host)
        return {};
    return ranked.front();
}

void logOutcome(const Call &call, const CallError &error)
{
    const char *kind = error ? errorResponseFor(error->m_kind).m_name : "none";
    logEvent("answer",
             {{"request", call.m_id},
              {"service", call.m_service ? call.m_service->m_name.m_text : ""},
              {"work", call.m_work.m_name.m_text},
              {"model", call.m_model.m_text},
              {"error", kind},
              {"detail", error ? error->m_detail : ""},
              {"run", toText(error ? error->m_run : RunState::Ran)},
              {"ms", std::to_string((now(*call.m_node) - call.m_startedAt).m_count)}});
}

/// Ends a stream that can't be completed: sends an event that says why, then aborts the response.
asio::awaitable<void> abortStream(Call &call, const Failure &failure)
{
    const json::object body = {{"error", errorResponseFor(failure.m_kind).m_name},
                               {"detail", failure.m_detail},
                               {"run", toText(failure.m_run)},
                               {"request_id", call.m_id}};
    co_await call.m_responseWriter.m_write("event: broken\ndata: " + json::serialize(body)
                                           + "\n\n");
    call.m_responseWriter.m_abort();
}

/// Logs and counts the result of a call. After a failure sends the error response, or aborts the
/// response if it was started.
asio::awaitable<void> finishCall(Call &call, CallError error)
{
    if (call.m_answeredByPeer) {
        logEvent("relayed", {{"request", call.m_id}, {"status", std::to_string(call.m_status)}});
        co_return;
    }
    countAnswer(call.m_node->m_metrics, error ? error->m_kind : ErrorKind::None);
    observe(call.m_node->m_metrics, LatencyKind::Whole, now(*call.m_node) - call.m_startedAt);
    logOutcome(call, error);
    if (!error)
        co_return;
    if (call.m_responseWriter.m_responseStarted) {
        co_await abortStream(call, *error);
        co_return;
    }
    const HttpResponse refusal = makeErrorResponse(call, *error);
    co_await call.m_responseWriter.m_send(refusal);
}

asio::awaitable<void> serveCall(Call &call)
{
    CallError error = readCall(call);
    if (!error) {
        ++call.m_node->m_inFlight;
        if (call.m_ticket)
            error = co_await runWithTicket(call);
        else
            error = co_await runCall(call);
        co_await finishCall(call, error);
        --call.m_node->m_inFlight;
        co_return;
    }
    recordEarlyRefusal(call, error);
    co_await finishCall(call, error);
}

json::value describeMember(const Member &member)
{
    return {{"host", member.m_host.m_text},
            {"address", toText(member.m_caller)},
            {"data_centre", member.m_dataCentre.m_text}};
}

bool needsTicket(Node &node, const Target &target)
{
    const auto configuration = configurationOf(node);
    if (!configuration)
        return false;
    const ServiceSpec *service = findService(*configuration, {fieldOf(target.m_query, "service")});
    const WorkKind *work
        = service ? findWork(*service, {fieldOf(target.m_query, "work")}) : nullptr;
    return work && !work->m_idempotent;
}

/// Answers an address lookup: GET /v1/address?service=S&work=W&model=M&data-centre=D. If the work
/// must run at most once, the answer has a ticket.
HttpResponse makeAddressResponse(Node &node, const Target &target)
{
    const std::string model = fieldOf(target.m_query, "model");
    const std::string key
        = model.empty() ? "service:" + fieldOf(target.m_query, "service") : placementKey({model});
    std::vector<Member> live = liveMembersOf(node);
    std::vector<Member> ranked = addressOrder(
        live, key, homesPerKey, {fieldOf(target.m_query, "data-centre")}, maxAddresses);
    json::object body;
    const bool ticket = needsTicket(node, target) && !node.m_stopping;
    if (ticket) {
        // Only this process instance accepts its tickets, so its address comes first.
        body["ticket"] = toText(issueTicket(node));
        std::stable_partition(ranked.begin(), ranked.end(), [&](const Member &member) {
            return member.m_host == node.m_settings.m_host;
        });
        const auto self = memberOf(node, node.m_settings.m_host);
        if (ranked.empty() || ranked.front().m_host != node.m_settings.m_host)
            ranked.insert(ranked.begin(), *self);
    }
    json::array addresses;
    for (const Member &member : ranked)
        addresses.push_back(describeMember(member));
    body["addresses"] = std::move(addresses);
    body["keep_ms"] = node.m_settings.m_addressLifetime.m_count;
    return jsonResponse(200, body);
}

HttpResponse notFound()
{
    return jsonResponse(404,
                        {{"error", "bad_request"}, {"detail", "no such path"}, {"run", "not-run"}});
}

HttpResponse makeTicketResponse(Node &node)
{
    if (node.m_stopping)
        return jsonResponse(503, {{"error", "stopping"}, {"run", "not-run"}});
    return jsonResponse(200,
                        {{"ticket", toText(issueTicket(node))},
                         {"keep_ms", node.m_settings.m_ticketLifetime.m_count}});
}

/// Answers requests that need no backend server. Nothing if the request is a call to a service.
std::optional<HttpResponse> answerLocally(Node &node, const HttpRequest &request)
{
    const auto target = parseTarget(request.m_target);
    if (!target || target->m_path.size() < 2 || target->m_path[0] != "v1")
        return notFound();
    const std::string &resource = target->m_path[1];
    if (request.m_method == "GET" && resource == "address")
        return makeAddressResponse(node, *target);
    if (request.m_method == "POST" && resource == "tickets")
        return makeTicketResponse(node);
    if (request.m_method == "GET" && resource == "tickets" && target->m_path.size() == 3)
        return describeTicket(node, target->m_path[2]);
    if (request.m_method == "POST" && resource == "services")
        return {};
    return notFound();
}

Call makeCall(Node &node, IoThread &thread, HttpRequest request)
{
    Call call;
    call.m_node = &node;
    call.m_thread = &thread;
    call.m_request = std::move(request);
    call.m_configuration = configurationOf(node);
    call.m_startedAt = now(node);
    call.m_deadline = call.m_startedAt;
    return call;
}

ResponseWriter makeCallerResponseWriter(Node &node, HttpExchange &exchange)
{
    ResponseWriter writer;
    writer.m_send = [&](const HttpResponse &response) {
        exchange.m_closeAfter = node.m_stopping;
        return sendResponse(exchange, response);
    };
    writer.m_begin = [&](const HttpHead &head) {
        exchange.m_closeAfter = node.m_stopping;
        return beginStream(exchange, head);
    };
    writer.m_write = [&](std::string_view bytes) { return writeChunk(exchange, bytes); };
    writer.m_end = [&] { return endStream(exchange); };
    writer.m_abort = [&] { abortResponse(exchange); };
    return writer;
}

void notifyCallerDisconnect(Call &call)
{
    call.m_callerDisconnected = true;
    if (call.m_onCallerDisconnect)
        call.m_onCallerDisconnect();
}

/// Lets the home of the model run the call. If the home can't be reached, or fails in a way that
/// allows a retry, this host runs the call. Each call adds to the retry budget.
asio::awaitable<CallError> runOnHomeOrHere(Call &call)
{
    constexpr double retryTokensPerCall = 0.1; // about one retry for ten calls
    constexpr double maxRetryTokens = 50;      // that can accumulate
    {
        RetryBudget &budget = call.m_node->m_retries;
        const std::lock_guard lock(budget.m_mutex);
        budget.m_tokens = std::min(maxRetryTokens, budget.m_tokens + retryTokensPerCall);
    }
    const auto home = findRemoteHome(call);
    if (home) {
        countForward(call.m_node->m_metrics);
        CallError error = co_await forwardToHost(call, *home);
        const bool mayRunHere = error && !call.m_responseWriter.m_responseStarted
            && !call.m_callerDisconnected && error->m_kind == ErrorKind::NotReady;
        if (!mayRunHere)
            co_return error;
    }
    if (call.m_service->m_kind == ServiceKind::Plain)
        co_return co_await runOnPlainService(call);
    co_return co_await runOnReplica(call);
}

} // namespace

Millis timeLeft(const Call &call)
{
    return call.m_deadline - now(*call.m_node);
}

bool consumeRetryToken(Node &node)
{
    const std::lock_guard lock(node.m_retries.m_mutex);
    if (node.m_retries.m_tokens < 1)
        return false;
    node.m_retries.m_tokens -= 1;
    countRetry(node.m_metrics);
    return true;
}

HttpResponse makeErrorResponse(const Call &call, const Failure &failure)
{
    const ErrorResponse &row = errorResponseFor(failure.m_kind);
    json::object body = {{"error", row.m_name},
                         {"text", row.m_text},
                         {"detail", failure.m_detail},
                         {"run", toText(failure.m_run)},
                         {"request_id", call.m_id}};
    HttpResponse response;
    response.m_head = {row.m_status,
                       {{"Content-Type", "application/json"},
                        {"Request-Id", call.m_id},
                        {"Run-State", toText(failure.m_run)},
                        {"Served-By", call.m_node->m_settings.m_host.m_text}}};
    if (row.m_sendsRetryAfter) {
        const Millis wait = std::max(Millis{1}, failure.m_retryAfter);
        const std::int64_t seconds = (wait.m_count + msPerSecond - 1) / msPerSecond;
        body["retry_after_ms"] = wait.m_count;
        response.m_head.m_fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.m_body = json::serialize(body) + "\n";
    return response;
}

asio::awaitable<CallError> sendCompleteResponse(Call &call, HttpResponse response)
{
    std::vector<HttpField> &fields = response.m_head.m_fields;
    addField(fields, "Request-Id", call.m_id);
    addField(fields, "Run-State", toText(call.m_run));
    addField(fields, "Served-By", call.m_node->m_settings.m_host.m_text);
    call.m_status = response.m_head.m_status;
    call.m_replayBody = response.m_body;
    call.m_responseWriter.m_responseStarted = true;
    if (!co_await call.m_responseWriter.m_send(response))
        co_return makeFailure(ErrorKind::CallerGone, "", call.m_run);
    co_return std::nullopt;
}

void recordFailedAttempt(Call &call, const Failure &failure)
{
    call.m_mayHaveRun = call.m_mayHaveRun || failure.m_run != RunState::NotRun;
}

asio::awaitable<CallError> runCall(Call &call)
{
    CallError error = co_await runOnHomeOrHere(call);
    const bool wronglyNotRun = error && error->m_run == RunState::NotRun && call.m_mayHaveRun;
    if (wronglyNotRun)
        error->m_run = RunState::Unknown;
    co_return error;
}

asio::awaitable<void> serveCaller(Node &node, IoThread &thread, HttpExchange &exchange)
{
    const auto localResponse = answerLocally(node, exchange.m_request);
    if (localResponse) {
        co_await sendResponse(exchange, *localResponse);
        co_return;
    }
    Call call = makeCall(node, thread, exchange.m_request);
    call.m_responseWriter = makeCallerResponseWriter(node, exchange);
    exchange.m_onCallerDisconnect = [&call] { notifyCallerDisconnect(call); };
    if (exchange.m_callerDisconnected)
        notifyCallerDisconnect(call);
    co_await serveCall(call);
    exchange.m_onCallerDisconnect = nullptr;
}

asio::awaitable<bool> serveForward(Node &node, IoThread &thread, PeerConnectionPtr connection,
                                   wire::FrameT &frame)
{
    const auto *forwarded = frame.body.AsForwardAsk();
    HttpRequest request;
    request.m_method = forwarded->method;
    request.m_target = forwarded->target;
    request.m_body.assign(forwarded->body.begin(), forwarded->body.end());
    for (const auto &field : forwarded->fields)
        addField(request.m_fields, field->name, field->value);
    Call call = makeCall(node, thread, std::move(request));
    call.m_fromPeer = true;
    bool complete = false;
    call.m_responseWriter = makePeerResponseWriter(connection, frame.id, complete);
    const auto disconnectWatch
        = watchPeerDisconnect(connection, [&call] { notifyCallerDisconnect(call); });
    co_await serveCall(call);
    co_return complete;
}

} // namespace apricot
