// Callers' requests: addresses, tickets, calls. docs/CALLERS.md is the page for callers.
#include "request/call.h"

#include "process/log.h"

#include <algorithm>
#include <boost/json.hpp>

namespace apricot {

namespace json = boost::json;

namespace {

constexpr std::size_t addressesGiven = 4;
constexpr std::size_t quietHomes = 1;
constexpr std::int64_t msPerSecond = 1'000;
constexpr std::size_t longestRequestId = 128;       // characters
constexpr std::int64_t longestDeadline = 3'600'000; // ms

HttpResponse jsonAnswer(unsigned status, const json::value &body)
{
    HttpResponse response;
    response.m_head = {status, {{"Content-Type", "application/json"}}};
    response.m_body = json::serialize(body) + "\n";
    return response;
}

bool isGoodId(const std::string &id)
{
    const bool goodLetters = std::all_of(id.begin(), id.end(), [](unsigned char letter) {
        return std::isalnum(letter) || letter == '-' || letter == '_' || letter == '.';
    });
    return goodLetters && !id.empty() && id.size() <= longestRequestId;
}

std::string freshId(Node &node)
{
    return node.m_settings.m_host.m_text + "-" + toHex(node.m_incarnation.m_value) + "-"
        + std::to_string(node.m_nextRequest++);
}

CallEnd badRequest(std::string detail)
{
    return makeFailure(ErrorKind::BadRequest, std::move(detail));
}

/// Deadline-Ms: milliseconds from now; without it the work's own.
CallEnd readDeadline(Call &call)
{
    call.m_deadline = call.m_began + call.m_work.m_deadline;
    const std::string text = fieldOf(call.m_request.m_fields, "Deadline-Ms");
    if (text.empty())
        return {};
    const bool digits = std::all_of(text.begin(), text.end(),
                                    [](unsigned char letter) { return std::isdigit(letter); });
    constexpr std::size_t mostDigits = 9;
    if (!digits || text.size() > mostDigits)
        return badRequest("Deadline-Ms must be milliseconds from now");
    const std::int64_t time = std::stoll(text);
    if (time <= 0 || time > longestDeadline)
        return badRequest("Deadline-Ms must be from 1 to 3600000");
    call.m_deadline = call.m_began + Millis{time};
    return {};
}

CallEnd readId(Call &call)
{
    call.m_id = fieldOf(call.m_request.m_fields, "Request-Id");
    if (call.m_id.empty())
        call.m_id = freshId(*call.m_node);
    if (isGoodId(call.m_id))
        return {};
    call.m_id = freshId(*call.m_node);
    return badRequest("Request-Id must be letters, digits, '-', '_' or '.'");
}

CallEnd readTicket(Call &call)
{
    const std::string text = fieldOf(call.m_request.m_fields, "Ticket");
    if (text.empty())
        return {};
    call.m_ticket = parseTicket(text);
    if (!call.m_ticket)
        return badRequest("the ticket is malformed");
    return {};
}

CallEnd readModel(Call &call, const Target &target)
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

/// POST /v1/services/SERVICE/WORK?model=M&adapter=A
CallEnd readCall(Call &call)
{
    CallEnd end = readId(call);
    if (end)
        return end;
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
    end = readDeadline(call);
    if (!end)
        end = readTicket(call);
    if (!end)
        end = readModel(call, *target);
    return end;
}

std::string homeKey(const ModelName &model)
{
    return "model:" + model.m_text;
}

/// The home to send a call to; nothing if this host should run it.
std::optional<Member> otherHome(const Call &call)
{
    Node &node = *call.m_node;
    const bool stays = call.m_forwarded || call.m_ticket || !call.m_work.m_idempotent
        || call.m_model.m_text.empty();
    if (stays)
        return {};
    const std::vector<Member> ranked = rankMembers(liveMembersOf(node), homeKey(call.m_model));
    if (ranked.empty() || ranked.front().m_host == node.m_settings.m_host)
        return {};
    return ranked.front();
}

void logEnd(const Call &call, const CallEnd &end)
{
    const char *kind = end ? answerFor(end->m_kind).m_name : "none";
    logEvent("answer",
             {{"request", call.m_id},
              {"service", call.m_service ? call.m_service->m_name.m_text : ""},
              {"work", call.m_work.m_name.m_text},
              {"model", call.m_model.m_text},
              {"error", kind},
              {"detail", end ? end->m_detail : ""},
              {"run", toText(end ? end->m_run : RunState::Ran)},
              {"ms", std::to_string((now(*call.m_node) - call.m_began).m_count)}});
}

/// A stream that can't be finished says so before it is cut.
asio::awaitable<void> breakAnswer(Call &call, const Failure &failure)
{
    const json::object body = {{"error", answerFor(failure.m_kind).m_name},
                               {"detail", failure.m_detail},
                               {"run", toText(failure.m_run)},
                               {"request_id", call.m_id}};
    co_await call.m_answer.m_write("event: broken\ndata: " + json::serialize(body) + "\n\n");
    call.m_answer.m_breakOff();
}

asio::awaitable<void> finishCall(Call &call, CallEnd end)
{
    if (call.m_relayed) {
        logEvent("relayed", {{"request", call.m_id}, {"status", std::to_string(call.m_status)}});
        co_return;
    }
    countAnswer(call.m_node->m_metrics, end ? end->m_kind : ErrorKind::None);
    observe(call.m_node->m_metrics, Span::Whole, now(*call.m_node) - call.m_began);
    logEnd(call, end);
    if (!end)
        co_return;
    if (call.m_answer.m_begun) {
        co_await breakAnswer(call, *end);
        co_return;
    }
    const HttpResponse refusal = refusalOf(call, *end);
    co_await call.m_answer.m_whole(refusal);
}

asio::awaitable<void> serveCall(Call &call)
{
    CallEnd end = readCall(call);
    if (!end) {
        ++call.m_node->m_inFlight;
        if (call.m_ticket)
            end = co_await runWithTicket(call);
        else
            end = co_await runCall(call);
        co_await finishCall(call, end);
        --call.m_node->m_inFlight;
        co_return;
    }
    settleEarlyRefusal(call, end);
    co_await finishCall(call, end);
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

/// GET /v1/address?service=S&work=W&model=M&data-centre=D
HttpResponse answerAddress(Node &node, const Target &target)
{
    const std::string model = fieldOf(target.m_query, "model");
    const std::string key
        = model.empty() ? "service:" + fieldOf(target.m_query, "service") : homeKey({model});
    std::vector<Member> live = liveMembersOf(node);
    std::vector<Member> order = addressOrder(
        live, key, quietHomes, {fieldOf(target.m_query, "data-centre")}, addressesGiven);
    json::object body;
    const bool ticket = needsTicket(node, target) && !node.m_stopping;
    if (ticket) {
        // Only this run honours the ticket, so this host comes first.
        body["ticket"] = toText(issueTicket(node));
        std::stable_partition(order.begin(), order.end(), [&](const Member &member) {
            return member.m_host == node.m_settings.m_host;
        });
        const auto self = memberOf(node, node.m_settings.m_host);
        if (order.empty() || order.front().m_host != node.m_settings.m_host)
            order.insert(order.begin(), *self);
    }
    json::array addresses;
    for (const Member &member : order)
        addresses.push_back(describeMember(member));
    body["addresses"] = std::move(addresses);
    body["keep_ms"] = node.m_settings.m_addressKeep.m_count;
    return jsonAnswer(200, body);
}

HttpResponse notFound()
{
    return jsonAnswer(404,
                      {{"error", "bad_request"}, {"detail", "no such path"}, {"run", "not-run"}});
}

HttpResponse answerTicketRequest(Node &node)
{
    if (node.m_stopping)
        return jsonAnswer(503, {{"error", "stopping"}, {"run", "not-run"}});
    return jsonAnswer(
        200,
        {{"ticket", toText(issueTicket(node))}, {"keep_ms", node.m_settings.m_ticketLife.m_count}});
}

/// What is answered without touching a backend server; nothing for a call.
std::optional<HttpResponse> answerSimple(Node &node, const HttpRequest &request)
{
    const auto target = parseTarget(request.m_target);
    if (!target || target->m_path.size() < 2 || target->m_path[0] != "v1")
        return notFound();
    const std::string &what = target->m_path[1];
    if (request.m_method == "GET" && what == "address")
        return answerAddress(node, *target);
    if (request.m_method == "POST" && what == "tickets")
        return answerTicketRequest(node);
    if (request.m_method == "GET" && what == "tickets" && target->m_path.size() == 3)
        return describeTicket(node, target->m_path[2]);
    if (request.m_method == "POST" && what == "services")
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
    call.m_began = now(node);
    call.m_deadline = call.m_began;
    return call;
}

Answer answerOn(Node &node, HttpExchange &exchange)
{
    Answer answer;
    answer.m_whole = [&](const HttpResponse &response) {
        exchange.m_lastOne = node.m_stopping;
        return sendWhole(exchange, response);
    };
    answer.m_begin = [&](const HttpHead &head) {
        exchange.m_lastOne = node.m_stopping;
        return beginStream(exchange, head);
    };
    answer.m_write = [&](std::string_view bytes) { return writeChunk(exchange, bytes); };
    answer.m_end = [&] { return endStream(exchange); };
    answer.m_breakOff = [&] { breakOff(exchange); };
    return answer;
}

void callerLeft(Call &call)
{
    call.m_callerGone = true;
    if (call.m_onCallerGone)
        call.m_onCallerGone();
}

asio::awaitable<CallEnd> runWhereItBelongs(Call &call)
{
    constexpr double retryShare = 0.1;
    constexpr double retryMost = 50;
    {
        RetryBudget &budget = call.m_node->m_retries;
        const std::lock_guard lock(budget.m_mutex);
        budget.m_tokens = std::min(retryMost, budget.m_tokens + retryShare);
    }
    const auto home = otherHome(call);
    if (home) {
        countForward(call.m_node->m_metrics);
        CallEnd end = co_await runOnHost(call, *home);
        const bool mayRunHere = end && !call.m_answer.m_begun && !call.m_callerGone
            && end->m_kind == ErrorKind::NotReady;
        if (!mayRunHere)
            co_return end;
    }
    if (call.m_service->m_kind == ServiceKind::Plain)
        co_return co_await runOnPlain(call);
    co_return co_await runOnModel(call);
}

} // namespace

Millis leftOf(const Call &call)
{
    return call.m_deadline - now(*call.m_node);
}

bool takeRetry(Node &node)
{
    const std::lock_guard lock(node.m_retries.m_mutex);
    if (node.m_retries.m_tokens < 1)
        return false;
    node.m_retries.m_tokens -= 1;
    countRetry(node.m_metrics);
    return true;
}

HttpResponse refusalOf(const Call &call, const Failure &failure)
{
    const ErrorAnswer &row = answerFor(failure.m_kind);
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
    if (row.m_comeBack) {
        const Millis wait = std::max(Millis{1}, failure.m_retryAfter);
        const std::int64_t seconds = (wait.m_count + msPerSecond - 1) / msPerSecond;
        body["retry_after_ms"] = wait.m_count;
        response.m_head.m_fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.m_body = json::serialize(body) + "\n";
    return response;
}

asio::awaitable<CallEnd> answerWhole(Call &call, HttpResponse response)
{
    std::vector<HttpField> &fields = response.m_head.m_fields;
    addField(fields, "Request-Id", call.m_id);
    addField(fields, "Run-State", toText(call.m_run));
    addField(fields, "Served-By", call.m_node->m_settings.m_host.m_text);
    call.m_status = response.m_head.m_status;
    call.m_keptBody = response.m_body;
    call.m_answer.m_begun = true;
    if (!co_await call.m_answer.m_whole(response))
        co_return makeFailure(ErrorKind::CallerGone, "", call.m_run);
    co_return std::nullopt;
}

void noteAttempt(Call &call, const Failure &failure)
{
    call.m_mayHaveRun = call.m_mayHaveRun || failure.m_run != RunState::NotRun;
}

asio::awaitable<CallEnd> runCall(Call &call)
{
    CallEnd end = co_await runWhereItBelongs(call);
    const bool claimsTooMuch = end && end->m_run == RunState::NotRun && call.m_mayHaveRun;
    if (claimsTooMuch)
        end->m_run = RunState::Unknown;
    co_return end;
}

asio::awaitable<void> serveCaller(Node &node, IoThread &thread, HttpExchange &exchange)
{
    const auto simple = answerSimple(node, exchange.m_request);
    if (simple) {
        co_await sendWhole(exchange, *simple);
        co_return;
    }
    Call call = makeCall(node, thread, exchange.m_request);
    call.m_answer = answerOn(node, exchange);
    exchange.m_onCallerGone = [&call] { callerLeft(call); };
    if (exchange.m_callerGone)
        callerLeft(call);
    co_await serveCall(call);
    exchange.m_onCallerGone = nullptr;
}

asio::awaitable<bool> serveForward(Node &node, IoThread &thread, PeerConnectionPtr connection,
                                   wire::FrameT &frame)
{
    const auto *ask = frame.body.AsForwardAsk();
    HttpRequest request;
    request.m_method = ask->method;
    request.m_target = ask->target;
    request.m_body.assign(ask->body.begin(), ask->body.end());
    for (const auto &field : ask->fields)
        addField(request.m_fields, field->name, field->value);
    Call call = makeCall(node, thread, std::move(request));
    call.m_forwarded = true;
    bool whole = false;
    call.m_answer = answerOnPeer(connection, frame.id, whole);
    const auto watch = watchPeer(connection, [&call] { callerLeft(call); });
    co_await serveCall(call);
    co_return whole;
}

} // namespace apricot
