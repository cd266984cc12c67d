// One caller's request: find its route, find a backend server, pass it on, pass the answer back.
//
// What may be repeated follows from the route alone. A request that may run once is never sent
// again after its first byte left, unless the server itself says that it did not run it; from then
// on no answer calls it unrun.
#include "process/gatewaystate.h"
#include "process/log.h"

#include <cmath>

namespace apricot {

namespace {

constexpr Millis connectTimeout = {400};
constexpr Millis refusedFor = {150};            // a model that a server just refused
constexpr Millis leastPatience = {20};          // with less left a request isn't sent
constexpr Millis retryPause = {40};             // before the same servers are asked again
constexpr std::size_t answerLimit = 16UL << 20; // bytes of an answer that is held whole
constexpr int mostSends = 5;                    // of one request, whatever the servers say
constexpr Millis comeBack = {1'000};
constexpr Millis swapTime = {1'500}; // to make room for a model and load it from disk
constexpr Millis comeBackSoon = {300};
constexpr Millis holderKnownFor = {2'500}; // after it was heard last

/// One request on its way through this host.
struct Relay
{
    Gateway *m_gateway = nullptr;
    HttpExchange *m_exchange = nullptr;
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    CallTerms m_terms;
    ServiceName m_service;
    std::vector<HttpField> m_fields; // to pass on, without those of the connection
    Millis m_arrived;
    Millis m_deadline; // of the caller and of the route, the earlier
    int m_sends = 0;   // to servers
    int m_runs = 0;    // sends that may have run
    std::set<InstanceId> m_tried;
    std::set<InstanceId> m_full;        // said not run; may be asked again
    Millis m_waited;                    // for a model
    ServerChoice m_choice;              // the last one
    std::uint64_t m_rosterRevision = 0; // of the store, that m_choice went by
    Millis m_firstEvent;                // from the arrival; 0: none passed on yet
    Millis m_lastEvent;                 // when the last event came
    Millis m_longestPause;              // between two events
    bool m_headSent = false;
    EventScanner m_events;
    Sleeper *m_sleeper = nullptr;       // while the request waits
    HttpConnection *m_server = nullptr; // while one works on it
    std::optional<HttpResponse>
        m_lastAnswer; // a server's failure, passed on if no retry does better
};

enum class SendOutcome : std::uint8_t {
    Done,    // the caller has its answer, or is gone
    NotSent, // no byte left this host
    NotRun,  // the server says so
    Failed,  // it may have run
};

struct SendResult
{
    SendOutcome m_outcome = SendOutcome::Done;
    Failure m_failure; // unless Done
};

Millis leftFor(const Relay &relay)
{
    return relay.m_deadline - now(*relay.m_gateway);
}

/// The request is at an end for the caller: nothing more is to be done for it.
bool callerGone(const Relay &relay)
{
    return relay.m_exchange->m_callerGone;
}

HttpResponse refusalOf(const Failure &failure)
{
    const ErrorAnswer &row = answerFor(failure.m_kind);
    HttpResponse response;
    response.m_head.m_status = row.m_status;
    addField(response.m_head.m_fields, "Content-Type", "text/plain");
    if (row.m_comeBack && failure.m_run == RunState::NotRun) {
        const Millis after = failure.m_retryAfter.m_count > 0 ? failure.m_retryAfter : comeBack;
        const std::int64_t tenths = (after.m_count + 99) / 100;
        addField(response.m_head.m_fields, "Retry-After",
                 std::to_string(tenths / 10) + "." + std::to_string(tenths % 10));
    }
    response.m_body = std::string(row.m_name) + "\n";
    return response;
}

/// A promise that the request never ran must be true: otherwise the answer promises nothing.
Failure honest(const Relay &relay, Failure failure)
{
    if (relay.m_runs == 0)
        return failure;
    failure.m_run = RunState::Unknown;
    const unsigned status = answerFor(failure.m_kind).m_status;
    const bool promises = status == 503 || status == 429 || status == 408 || status == 421;
    if (promises)
        failure.m_kind = ErrorKind::BackendBroken;
    return failure;
}

/// In hundredths of the server's slots; that of an avoided server is 10,000 higher.
std::string loadText(double load)
{
    return std::to_string(std::lround(load * 100));
}

void logCall(const Relay &relay, const char *outcome, const Failure &failure, unsigned status)
{
    const Gateway &gateway = *relay.m_gateway;
    const Millis took = now(gateway) - relay.m_arrived;
    const Millis limit = relay.m_route ? relay.m_deadline - relay.m_arrived : Millis{0};
    logEvent("answered",
             {{"id", relay.m_terms.m_id},
              {"route", relay.m_route ? relay.m_route->m_name : ""},
              {"model", relay.m_terms.m_model.m_text + "/" + relay.m_terms.m_adapter.m_text},
              {"outcome", outcome},
              {"status", std::to_string(status)},
              {"why", failure.m_detail},
              {"run", toText(failure.m_run)},
              {"server", relay.m_choice.m_server.m_text},
              {"of", std::to_string(relay.m_choice.m_candidates)},
              {"load", loadText(relay.m_choice.m_load)},
              {"servers_at", std::to_string(relay.m_rosterRevision)},
              {"sends", std::to_string(relay.m_sends)},
              {"waited_ms", std::to_string(relay.m_waited.m_count)},
              {"first_ms", std::to_string(relay.m_firstEvent.m_count)},
              {"pause_ms", std::to_string(relay.m_longestPause.m_count)},
              {"took_ms", std::to_string(took.m_count)},
              {"limit_ms", std::to_string(limit.m_count)},
              {"config", relay.m_routes ? std::to_string(relay.m_routes->m_version) : "none"}});
}

asio::awaitable<void> refuse(Relay &relay, Failure failure)
{
    failure = honest(relay, std::move(failure));
    Gateway &gateway = *relay.m_gateway;
    countAnswer(gateway.m_metrics, failure.m_kind);
    if (callerGone(relay)) {
        logCall(relay, "caller_gone", failure, 0);
        co_return;
    }
    if (relay.m_headSent) {
        breakOff(*relay.m_exchange);
        logCall(relay, "broken_off", failure, 0);
        co_return;
    }
    const HttpResponse response = refusalOf(failure);
    logCall(relay, answerFor(failure.m_kind).m_name, failure, response.m_head.m_status);
    co_await sendWhole(*relay.m_exchange, response);
}

// --- finding a server ---

ChoiceInput choiceInput(const Relay &relay)
{
    ChoiceInput input;
    input.m_service = relay.m_service;
    input.m_model = relay.m_terms.m_model;
    input.m_adapter = relay.m_terms.m_adapter;
    input.m_affinity = relay.m_terms.m_sharedPrompt;
    input.m_here = relay.m_gateway->m_settings.m_dataCentre;
    input.m_tried = relay.m_tried;
    return input;
}

WantKey wantKey(const Relay &relay)
{
    return {relay.m_service, relay.m_terms.m_model, relay.m_terms.m_adapter};
}

bool holderKnown(const Gateway &gateway)
{
    if (holdsLease(gateway))
        return true;
    return !gateway.m_holder.m_text.empty()
        && now(gateway) - gateway.m_holderHeard < holderKnownFor;
}

/// When a caller should come back that needs a load while no host may order one: the lease is free
/// by then, and a swap is done.
Millis ordersAgainIn(const Gateway &gateway)
{
    const Millis at = takeableAt(gateway.m_lease, gateway.m_leaseTiming, {});
    return std::max(at - now(gateway), Millis{0}) + swapTime;
}

/// Waits until something changed for the model, or the time ran out.
asio::awaitable<void> waitForModel(Relay &relay, Millis atMost)
{
    Gateway &gateway = *relay.m_gateway;
    Sleeper sleeper(gateway.m_io);
    Want &want = gateway.m_wants[wantKey(relay)];
    const auto call = want.m_calls.insert(want.m_calls.end(),
                                          {&sleeper, relay.m_arrived, relay.m_route->m_target});
    relay.m_sleeper = &sleeper;
    if (want.m_calls.size() == 1)
        wake(*gateway.m_tellNow);
    const Millis began = now(gateway);
    co_await sleepUntilWoken(sleeper, atMost);
    relay.m_waited = relay.m_waited + (now(gateway) - began);
    relay.m_sleeper = nullptr;
    want.m_calls.erase(call);
}

bool modelPublished(const Relay &relay)
{
    const EngineLimits *engine = engineOf(*relay.m_routes, relay.m_service);
    return engine && engine->m_models.contains(relay.m_terms.m_model);
}

/// Until when the request may wait for its model. A stopping host answers before it goes.
Millis waitLimit(const Relay &relay)
{
    const Gateway &gateway = *relay.m_gateway;
    const Millis allowed = relay.m_deadline - relay.m_arrived;
    const Millis limit = relay.m_arrived + modelWait(*relay.m_route, allowed);
    return gateway.m_stopping ? std::min(limit, lastWaitAt(gateway)) : limit;
}

/// A server for the request, after a wait for its model if need be.
asio::awaitable<Result<InstanceId>> findServer(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    while (true) {
        const Millis waitEnd = waitLimit(relay);
        relay.m_choice = chooseServer(gateway.m_roster, choiceInput(relay), now(gateway));
        relay.m_rosterRevision = gateway.m_roster.m_revision;
        if (!relay.m_choice.m_server.m_text.empty())
            co_return relay.m_choice.m_server;
        if (!relay.m_full.empty()) {
            // All that can run it were full a moment ago: ask them again.
            relay.m_tried = {};
            relay.m_full = {};
            co_await pauseFor(gateway, retryPause);
        } else if (relay.m_terms.m_model.m_text.empty() || relay.m_runs > 0) {
            co_return makeFailure(ErrorKind::NoBackendServer, "no server left", comeBack);
        } else if (!modelPublished(relay)) {
            co_return makeFailure(ErrorKind::NoCapacity, "the model isn't published", comeBack);
        } else if (!holderKnown(gateway)) {
            co_return makeFailure(ErrorKind::NoCapacity, "no host may order loads",
                                  ordersAgainIn(gateway));
        } else {
            const Millis left = waitEnd - now(gateway);
            if (left <= leastPatience)
                co_return makeFailure(ErrorKind::DeadlineUnmeetable, "the model isn't there",
                                      comeBack);
            co_await waitForModel(relay, left);
        }
        if (callerGone(relay))
            co_return makeFailure(ErrorKind::CallerGone, "while it waited", RunState::NotRun);
        if (leftFor(relay) <= leastPatience)
            co_return makeFailure(ErrorKind::DeadlineUnmeetable, "no time left", comeBackSoon);
    }
}

// --- the exchange with one server ---

/// Counts a request at a server for as long as it is there.
struct Use
{
    Use(Relay &relay, const InstanceId &server)
        : m_gateway(*relay.m_gateway), m_server(server), m_key(wantKey(relay))
    {
        add(1);
    }
    ~Use() { add(-1); }
    Use(const Use &) = delete;
    Use &operator=(const Use &) = delete;

    void add(int change)
    {
        const auto found = m_gateway.m_roster.m_servers.find(m_server);
        if (found != m_gateway.m_roster.m_servers.end()) {
            KnownServer &known = found->second;
            known.m_inFlight = std::max(known.m_inFlight + change, 0);
            if (!m_key.m_model.m_text.empty())
                known.m_running[m_key.m_model]
                    = std::max(known.m_running[m_key.m_model] + change, 0);
        }
        if (!m_key.m_model.m_text.empty())
            m_gateway.m_wants[m_key].m_running += change;
    }

    Gateway &m_gateway;
    InstanceId m_server;
    WantKey m_key;
};

KnownServer *knownServer(Relay &relay, const InstanceId &id)
{
    auto &servers = relay.m_gateway->m_roster.m_servers;
    const auto found = servers.find(id);
    return found == servers.end() ? nullptr : &found->second;
}

void noteServer(Relay &relay, const InstanceId &id, bool good)
{
    if (KnownServer *known = knownServer(relay, id))
        noteUse(*known, good, now(*relay.m_gateway));
}

void noteLoad(Relay &relay, const InstanceId &id, const ServerLoad &load)
{
    KnownServer *known = knownServer(relay, id);
    if (!known || load.m_slots == 0)
        return;
    known->m_load = load;
    known->m_loadHeard = now(*relay.m_gateway);
    known->m_loadInFlight = known->m_inFlight;
}

/// A server said that it didn't run the request.
void noteNotRun(Relay &relay, const InstanceId &id, const AnswerTerms &terms)
{
    KnownServer *known = knownServer(relay, id);
    if (!known)
        return;
    const Millis time = now(*relay.m_gateway);
    const std::string key = relay.m_terms.m_model.m_text + "/" + relay.m_terms.m_adapter.m_text;
    if (!relay.m_terms.m_model.m_text.empty())
        known->m_refusedUntil[key] = time + refusedFor;
    else if (terms.m_misdirected)
        noteUse(*known, false, time);
}

SendResult sendFailed(Relay &relay, const InstanceId &id, Failure failure)
{
    // A caller that left ended the exchange; the server isn't to blame.
    if (!callerGone(relay))
        noteServer(relay, id, false);
    return {SendOutcome::Failed, std::move(failure)};
}

/// Passes a whole answer on. Failures of a server are kept back while another may do better.
asio::awaitable<SendResult> passWhole(Relay &relay, const InstanceId &id, HttpResponse response)
{
    const bool mayRetry = relay.m_route->m_repeat == Repeat::Idempotent
        && response.m_head.m_status >= 500 && !relay.m_headSent;
    dropHopFields(response.m_head.m_fields);
    if (mayRetry) {
        relay.m_lastAnswer = std::move(response);
        co_return SendResult{SendOutcome::Failed,
                             makeFailure(ErrorKind::BackendBroken, "the server's own failure")};
    }
    const Millis took = now(*relay.m_gateway) - relay.m_arrived;
    observe(relay.m_gateway->m_metrics, Span::Whole, took);
    countAnswer(relay.m_gateway->m_metrics, ErrorKind::None);
    logCall(relay, "passed_on", makeFailure(ErrorKind::None, id.m_text, RunState::Ran),
            response.m_head.m_status);
    co_await sendWhole(*relay.m_exchange, response);
    co_return SendResult{};
}

void noteEvent(Relay &relay)
{
    const Millis time = now(*relay.m_gateway);
    if (relay.m_firstEvent.m_count == 0) {
        relay.m_firstEvent = std::max(time - relay.m_arrived, Millis{1});
        observe(relay.m_gateway->m_metrics, Span::FirstToken, relay.m_firstEvent);
    } else {
        relay.m_longestPause = std::max(relay.m_longestPause, time - relay.m_lastEvent);
    }
    relay.m_lastEvent = time;
}

/// Passes events on as they come. A stream whose end doesn't come is Failed.
asio::awaitable<SendResult> passStream(Relay &relay, const InstanceId &id,
                                       HttpConnection &connection, HttpHead head)
{
    if (!relay.m_headSent) {
        dropHopFields(head.m_fields);
        relay.m_headSent = true;
        if (!co_await beginStream(*relay.m_exchange, head))
            co_return SendResult{};
    }
    relay.m_events.m_rest.clear(); // an event that an earlier server left unfinished
    while (true) {
        const auto bytes = co_await readSome(connection, leftFor(relay) + lastWordTime);
        if (callerGone(relay))
            co_return SendResult{};
        if (!ok(bytes))
            co_return sendFailed(relay, id, std::get<Failure>(bytes));
        const std::string &text = std::get<std::string>(bytes);
        if (text.empty())
            break;
        const std::string events = scanEvents(relay.m_events, text);
        if (events.empty())
            continue;
        noteEvent(relay);
        if (!co_await writeChunk(*relay.m_exchange, events))
            co_return SendResult{};
    }
    if (!relay.m_events.m_rest.empty()
        && !co_await writeChunk(*relay.m_exchange, relay.m_events.m_rest))
        co_return SendResult{};
    noteServer(relay, id, true);
    countAnswer(relay.m_gateway->m_metrics, ErrorKind::None);
    logCall(relay, "streamed", makeFailure(ErrorKind::None, id.m_text, RunState::Ran),
            head.m_status);
    co_await endStream(*relay.m_exchange);
    co_return SendResult{};
}

HttpRequest requestFor(const Relay &relay, const InstanceId &id)
{
    ForwardTerms terms;
    terms.m_server = id;
    terms.m_patience = leftFor(relay);
    if (!relay.m_terms.m_model.m_text.empty())
        terms.m_rank = relay.m_route->m_rank;
    if (!relay.m_events.m_lastId.empty())
        terms.m_resumeAfter = relay.m_events.m_lastId;
    HttpRequest request;
    request.m_method = relay.m_exchange->m_request.m_method;
    request.m_target = relay.m_exchange->m_request.m_target;
    request.m_body = relay.m_exchange->m_request.m_body;
    request.m_fields = relay.m_fields;
    relay.m_gateway->m_protocol->writeForward(request.m_fields, terms);
    return request;
}

/// Reads the answer of the server that has the request.
asio::awaitable<SendResult> takeAnswer(Relay &relay, const InstanceId &id, const Endpoint &endpoint,
                                       const HttpConnectionPtr &connection)
{
    Gateway &gateway = *relay.m_gateway;
    const Millis patience
        = answerTimeout(*relay.m_route, relay.m_runs, relay.m_choice.m_candidates, leftFor(relay));
    auto head = co_await readHead(*connection, patience);
    if (!ok(head))
        co_return sendFailed(relay, id, std::get<Failure>(head));
    const HttpHead &got = std::get<HttpHead>(head);
    const AnswerTerms terms = gateway.m_protocol->readAnswer(got);
    if (!terms.m_id.empty() && terms.m_id != relay.m_terms.m_id)
        co_return sendFailed(relay, id,
                             makeFailure(ErrorKind::CrossedAnswer, "answers " + terms.m_id));
    noteLoad(relay, id, terms.m_load);
    const bool success = got.m_status >= 200 && got.m_status < 300;
    if (success && (!terms.m_signed || terms.m_encoded))
        co_return sendFailed(relay, id,
                             makeFailure(ErrorKind::BackendBroken, "not the server's own answer"));
    if (success && terms.m_events && relay.m_route->m_stream) {
        SendResult result = co_await passStream(relay, id, *connection, got);
        if (result.m_outcome == SendOutcome::Done && !callerGone(relay))
            releaseHttp(gateway.m_servers, endpoint, connection);
        co_return result;
    }
    auto body = co_await readBody(*connection, leftFor(relay) + lastWordTime, answerLimit);
    if (!ok(body))
        co_return sendFailed(relay, id, std::get<Failure>(body));
    HttpResponse response;
    response.m_head = got;
    response.m_body = std::get<std::string>(std::move(body));
    releaseHttp(gateway.m_servers, endpoint, connection);
    if (terms.m_notRun) {
        noteNotRun(relay, id, terms);
        relay.m_full.insert(id);
        co_return SendResult{SendOutcome::NotRun,
                             makeFailure(ErrorKind::BackendRefused,
                                         id.m_text + " status " + std::to_string(got.m_status),
                                         comeBackSoon)};
    }
    noteServer(relay, id, got.m_status < 500);
    if (relay.m_headSent) // a resumed stream can't turn into something else
        co_return SendResult{SendOutcome::Failed,
                             makeFailure(ErrorKind::BackendBroken, "not a stream")};
    co_return co_await passWhole(relay, id, std::move(response));
}

asio::awaitable<SendResult> sendTo(Relay &relay, const InstanceId &id)
{
    Gateway &gateway = *relay.m_gateway;
    const KnownServer *known = knownServer(relay, id);
    if (!known)
        co_return SendResult{SendOutcome::NotSent,
                             makeFailure(ErrorKind::NoBackendServer, "gone", comeBackSoon)};
    const Endpoint endpoint = known->m_server.m_endpoint;
    const Use use(relay, id);
    const Millis connectBy = std::min(connectTimeout, leftFor(relay));
    auto opened = co_await openHttp(gateway.m_servers, endpoint, connectBy, false);
    if (!ok(opened)) {
        noteServer(relay, id, false);
        co_return SendResult{SendOutcome::NotSent, std::get<Failure>(opened)};
    }
    if (callerGone(relay) || leftFor(relay) <= leastPatience)
        co_return SendResult{
            SendOutcome::NotSent,
            makeFailure(ErrorKind::DeadlineUnmeetable, "no time left", comeBackSoon)};
    const HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    relay.m_server = connection.get();
    relay.m_sends += 1;
    SendResult result;
    const HttpRequest request = requestFor(relay, id);
    const auto sendFailure = co_await sendRequest(*connection, endpoint, request, leftFor(relay));
    if (sendFailure)
        result = sendFailed(relay, id, *sendFailure);
    else
        result = co_await takeAnswer(relay, id, endpoint, connection);
    relay.m_server = nullptr;
    if (result.m_outcome == SendOutcome::Failed)
        relay.m_runs += 1;
    if (result.m_outcome != SendOutcome::Done)
        logEvent("send_failed",
                 {{"id", relay.m_terms.m_id},
                  {"server", id.m_text},
                  {"run",
                   toText(result.m_outcome == SendOutcome::Failed ? RunState::Unknown
                                                                  : RunState::NotRun)},
                  {"why", result.m_failure.m_detail}});
    co_return result;
}

bool mayRepeat(const Relay &relay, const SendResult &result)
{
    if (relay.m_sends >= mostSends || callerGone(relay) || leftFor(relay) <= leastPatience)
        return false;
    if (result.m_outcome != SendOutcome::Failed)
        return true;
    return relay.m_route->m_repeat != Repeat::AtMostOnce
        && relay.m_runs < relay.m_route->m_maxAttempts;
}

RetryBudget &budgetOf(Relay &relay)
{
    return relay.m_gateway->m_budgets[relay.m_service];
}

/// Sends the request until it is answered, or nothing more can be tried.
asio::awaitable<void> relayToServers(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    while (true) {
        const auto found = co_await findServer(relay);
        if (!ok(found)) {
            if (relay.m_lastAnswer)
                break;
            co_return co_await refuse(relay, std::get<Failure>(found));
        }
        const InstanceId id = std::get<InstanceId>(found);
        if (relay.m_sends > 0) {
            if (!takeRetry(budgetOf(relay), now(gateway))) {
                if (relay.m_lastAnswer)
                    break;
                co_return co_await refuse(
                    relay, makeFailure(ErrorKind::BackendRefused, "no retries left", comeBack));
            }
            countRetry(gateway.m_metrics);
        }
        relay.m_tried.insert(id);
        const SendResult result = co_await sendTo(relay, id);
        if (result.m_outcome == SendOutcome::Done)
            co_return;
        if (!mayRepeat(relay, result)) {
            if (relay.m_lastAnswer)
                break;
            co_return co_await refuse(relay, result.m_failure);
        }
    }
    logCall(relay, "passed_on",
            makeFailure(ErrorKind::None, "a failure of the server", RunState::Ran),
            relay.m_lastAnswer->m_head.m_status);
    countAnswer(gateway.m_metrics, ErrorKind::BackendRefused);
    co_await sendWhole(*relay.m_exchange, *relay.m_lastAnswer);
}

Millis patienceOf(const Relay &relay)
{
    const Millis timeout = relay.m_route->m_timeout;
    return relay.m_terms.m_patience ? std::min(*relay.m_terms.m_patience, timeout) : timeout;
}

asio::awaitable<void> relayOne(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    const HttpRequest &request = relay.m_exchange->m_request;
    relay.m_terms = gateway.m_protocol->readCall(request.m_fields);
    relay.m_routes = gateway.m_routes;
    if (!relay.m_routes || !gateway.m_rosterKnown)
        co_return co_await refuse(
            relay, makeFailure(ErrorKind::NotReady, "no configuration yet", comeBackSoon));
    relay.m_route
        = matchRoute(*relay.m_routes, fieldOf(request.m_fields, "Host"), request.m_target);
    if (!relay.m_route)
        co_return co_await refuse(relay, makeFailure(ErrorKind::UnknownRoute, request.m_target));
    relay.m_service = pickService(*relay.m_route, relay.m_terms.m_id);
    relay.m_deadline = relay.m_arrived + patienceOf(relay);
    relay.m_fields = request.m_fields;
    dropHopFields(relay.m_fields);
    RetryBudget &budget = budgetOf(relay);
    const double hosts = hostCount(gateway);
    budget.m_ratio = gateway.m_settings.m_retryRatio;
    budget.m_slack = gateway.m_settings.m_retrySlack / hosts;
    budget.m_window = gateway.m_settings.m_retryWindow;
    noteRequest(budget, relay.m_arrived);
    if (modelPublished(relay))
        noteArrival(gateway.m_wants[wantKey(relay)], relay.m_arrived);
    co_await relayToServers(relay);
}

} // namespace

asio::awaitable<void> relayCall(Gateway &gateway, HttpExchange &exchange)
{
    Relay relay;
    relay.m_gateway = &gateway;
    relay.m_exchange = &exchange;
    relay.m_arrived = now(gateway);
    gateway.m_inFlight += 1;
    exchange.m_lastOne = gateway.m_stopping;
    exchange.m_onCallerGone = [&relay] {
        if (relay.m_sleeper)
            wake(*relay.m_sleeper);
        if (relay.m_server)
            closeHttp(*relay.m_server);
    };
    co_await relayOne(relay);
    exchange.m_onCallerGone = nullptr;
    gateway.m_inFlight -= 1;
}

void wakeWaiting(Gateway &gateway)
{
    for (auto &[key, want] : gateway.m_wants) {
        for (const WaitingCall &call : want.m_calls)
            wake(*call.m_sleeper);
    }
}

} // namespace apricot
