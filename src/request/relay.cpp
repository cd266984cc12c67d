// Handling of one caller's request: finds its route, selects a backend server, forwards the request
// and passes the answer back.
//
// The route alone determines whether a request may be repeated. A request that may be executed only
// once is never sent again after its first byte was sent, unless the server itself states that it
// didn't execute it. Once a request may have been executed, no answer to the caller claims that it
// was not.
#include "process/gatewaystate.h"
#include "process/log.h"

#include <cmath>

namespace apricot {

namespace {

constexpr Millis connectTimeout = {400};
constexpr Millis refusalRetryDelay = {150}; // ms that a server isn't tried after it refused a model
constexpr Millis minTimeToSend = {20};      // ms; with less time left a request isn't sent
constexpr Millis retryPause = {40};         // ms before servers that refused are tried again
constexpr std::size_t maxAnswerBytes = 16UL << 20; // limit for an answer that isn't a stream
constexpr int maxSends = 5; // limit for one request, also if servers only refuse it
constexpr Millis defaultRetryAfter = {1'000};
constexpr Millis expectedSwapTime = {1'500}; // ms to make room for a model and load it from disk
constexpr Millis shortRetryAfter = {300};
constexpr Millis retryElsewhereAfter = {100}; // another host can take the request at once
/// Without a heartbeat of the lease holder for longer than this, requests don't wait for a load.
constexpr Millis holderTimeout = {2'500};

/// State of one request while this host handles it.
struct Relay
{
    explicit Relay(Gateway &gateway) : m_gateway(&gateway), m_heldBytes(gateway.m_answerBytes) { }

    Gateway *m_gateway = nullptr;
    HttpExchange *m_exchange = nullptr;
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    RequestMetadata m_metadata;
    ServiceName m_service;
    std::vector<HttpField> m_fields; // header fields to forward, without hop-by-hop fields
    Millis m_arrived;
    Millis m_deadline; // the earlier of the caller's and the route's time limit
    int m_sends = 0;   // number of times that it was sent to a server
    int m_runs = 0;    // sends after which it may have been executed
    std::set<InstanceId> m_triedServers;
    std::set<InstanceId> m_refusedBy;        // refused it without executing it; may be tried again
    Millis m_modelWaitTime;                  // total time spent waiting for the model
    ServerChoice m_choice;                   // result of the last server selection
    std::uint64_t m_serverTableRevision = 0; // store revision of the server table used for m_choice
    Millis m_serverTableAge;                 // time from its last confirmation to m_choice
    Millis m_chosenAt;                       // time of m_choice
    Millis m_sendDelay;                      // from m_chosenAt to the first byte sent to the server
    Millis m_firstEvent;      // ms from the arrival to the first event; 0: no event yet
    Millis m_lastEvent;       // when the last event arrived
    Millis m_longestEventGap; // between two successive events
    bool m_headSent = false;  // the caller has received the head of an event stream
    EventScanner m_eventScanner;
    std::optional<BodyFraming> m_framing; // of the last server's answer; empty: no head arrived
    WakeableTimer *m_wakeTimer = nullptr; // set while the request waits for its model
    HttpConnection *m_server = nullptr;   // set while a server handles the request
    /// Error answer of a server. It is passed on to the caller if no retry succeeds.
    std::optional<HttpResponse> m_lastFailedAnswer;
    HeldBytes m_heldBytes; // of all answers read completely for this request
};

/// Outcome of one attempt to have a server handle the request.
enum class SendOutcome : std::uint8_t {
    Done,    // the caller has received its answer or has disconnected
    NotSent, // no byte of the request was sent
    NotRun,  // the server states that it did not execute the request
    Failed,  // the request may have been executed
};

/// Result of one attempt, with the failure that the caller gets if there is no other attempt.
struct SendResult
{
    SendOutcome m_outcome = SendOutcome::Done;
    Failure m_failure; // valid unless m_outcome is Done
};

Millis remainingTime(const Relay &relay)
{
    return relay.m_deadline - now(*relay.m_gateway);
}

/// Whether the caller has disconnected, so that nothing more needs to be done for the request.
bool callerDisconnected(const Relay &relay)
{
    return relay.m_exchange->m_callerDisconnected;
}

/// Makes the error response for a failure. Retry-After is set only if the request was not executed.
HttpResponse errorResponseFor(const Failure &failure)
{
    const ErrorResponse &row = errorResponseFor(failure.m_kind);
    HttpResponse response;
    response.m_head.m_status = row.m_status;
    addField(response.m_head.m_fields, "Content-Type", "text/plain");
    if (row.m_sendsRetryAfter && failure.m_run == RunState::NotRun) {
        const Millis after
            = failure.m_retryAfter.m_count > 0 ? failure.m_retryAfter : defaultRetryAfter;
        const std::int64_t tenths = (after.m_count + 99) / 100;
        addField(response.m_head.m_fields, "Retry-After",
                 std::to_string(tenths / 10) + "." + std::to_string(tenths % 10));
    }
    response.m_body = std::string(row.m_name) + "\n";
    return response;
}

/// Adjusts a failure so that its answer doesn't claim that the request was not executed if it may
/// have been. Status codes that imply this claim are replaced by the one for a broken backend
/// server.
Failure withoutFalseNotRun(const Relay &relay, Failure failure)
{
    if (relay.m_runs == 0)
        return failure;
    failure.m_run = RunState::Unknown;
    const unsigned status = errorResponseFor(failure.m_kind).m_status;
    const bool claimsNotRun = status == 503 || status == 429 || status == 408 || status == 421;
    if (claimsNotRun)
        failure.m_kind = ErrorKind::BackendBroken;
    return failure;
}

/// Formats the expected load of a server in hundredths of its slots. The value is higher by 10,000
/// after a recent failure of the server.
std::string loadText(double load)
{
    return std::to_string(std::lround(load * 100));
}

/// Logs the result of a request, with the data that the choice of the server was based on.
void logCall(const Relay &relay, const char *outcome, const Failure &failure, unsigned status)
{
    const Gateway &gateway = *relay.m_gateway;
    const Millis took = now(gateway) - relay.m_arrived;
    const Millis limit = relay.m_route ? relay.m_deadline - relay.m_arrived : Millis{0};
    logEvent("answered",
             {{"id", relay.m_metadata.m_id},
              {"route", relay.m_route ? relay.m_route->m_name : ""},
              {"model", adapterKey(relay.m_metadata.m_model, relay.m_metadata.m_adapter)},
              {"outcome", outcome},
              {"status", std::to_string(status)},
              {"why", failure.m_detail},
              {"run", toText(failure.m_run)},
              {"server", relay.m_choice.m_server.m_text},
              {"candidates", std::to_string(relay.m_choice.m_candidates)},
              {"load", loadText(relay.m_choice.m_load)},
              {"servers_revision", std::to_string(relay.m_serverTableRevision)},
              {"servers_age_ms", std::to_string(relay.m_serverTableAge.m_count)},
              {"send_ms", std::to_string(relay.m_sendDelay.m_count)},
              {"sends", std::to_string(relay.m_sends)},
              {"waited_ms", std::to_string(relay.m_modelWaitTime.m_count)},
              {"first_ms", std::to_string(relay.m_firstEvent.m_count)},
              {"framing", relay.m_framing ? toText(*relay.m_framing) : ""},
              {"partial_bytes", std::to_string(relay.m_eventScanner.m_partialEvent.size())},
              {"pause_ms", std::to_string(relay.m_longestEventGap.m_count)},
              {"took_ms", std::to_string(took.m_count)},
              {"limit_ms", std::to_string(limit.m_count)},
              {"config", relay.m_routes ? std::to_string(relay.m_routes->m_version) : "none"}});
}

/// Ends a request with an error response, or aborts the connection if the response has already
/// begun.
asio::awaitable<void> refuse(Relay &relay, Failure failure)
{
    failure = withoutFalseNotRun(relay, std::move(failure));
    Gateway &gateway = *relay.m_gateway;
    countAnswer(gateway.m_metrics, failure.m_kind);
    if (callerDisconnected(relay)) {
        logCall(relay, "caller_gone", failure, 0);
        co_return;
    }
    if (relay.m_headSent) {
        abortResponse(*relay.m_exchange);
        logCall(relay, "aborted", failure, 0);
        co_return;
    }
    const HttpResponse response = errorResponseFor(failure);
    logCall(relay, errorResponseFor(failure.m_kind).m_name, failure, response.m_head.m_status);
    co_await sendResponse(*relay.m_exchange, response);
}

// --- server selection ---

ChoiceInput choiceInput(const Relay &relay)
{
    ChoiceInput input;
    input.m_service = relay.m_service;
    input.m_model = relay.m_metadata.m_model;
    input.m_adapter = relay.m_metadata.m_adapter;
    input.m_affinity = relay.m_metadata.m_sharedPrompt;
    input.m_localDataCentre = relay.m_gateway->m_settings.m_dataCentre;
    input.m_triedServers = relay.m_triedServers;
    return input;
}

ModelDemandKey modelDemandKeyOf(const Relay &relay)
{
    return {relay.m_service, relay.m_metadata.m_model, relay.m_metadata.m_adapter};
}

/// Whether some host, this one or another, is known to hold the lease, so that loads can be
/// ordered.
bool isHolderAlive(const Gateway &gateway)
{
    if (holdsLease(gateway))
        return true;
    return !gateway.m_holder.m_text.empty()
        && now(gateway) - gateway.m_holderHeartbeatAt < holderTimeout;
}

/// Retry-After for a request that needs a load while no host may order one: the time until the
/// lease can be taken over and a swap is complete.
Millis timeUntilOrders(const Gateway &gateway)
{
    const Millis at = takeoverAllowedAt(gateway.m_lease, gateway.m_leaseTiming, {});
    return std::max(at - now(gateway), Millis{0}) + expectedSwapTime;
}

/// Waits until a change may have made the model available, or the time limit is reached. Waiting
/// requests are reported to the lease holder as demand, the first one without delay.
asio::awaitable<void> waitForModel(Relay &relay, Millis atMost)
{
    Gateway &gateway = *relay.m_gateway;
    WakeableTimer timer(gateway.m_io);
    const ModelDemandKey key = modelDemandKeyOf(relay);
    LocalDemand &demand = gateway.m_modelDemands[key];
    const auto call = demand.m_waitingCalls.insert(
        demand.m_waitingCalls.end(), {&timer, relay.m_arrived, relay.m_route->m_target});
    relay.m_wakeTimer = &timer;
    if (demand.m_waitingCalls.size() == 1)
        reportNewDemand(gateway, key);
    const Millis began = now(gateway);
    co_await sleepUntilWoken(timer, atMost);
    relay.m_modelWaitTime = relay.m_modelWaitTime + (now(gateway) - began);
    relay.m_wakeTimer = nullptr;
    demand.m_waitingCalls.erase(call);
}

bool modelPublished(const Relay &relay)
{
    const EngineLimits *engine = engineOf(*relay.m_routes, relay.m_service);
    return engine && engine->m_models.contains(relay.m_metadata.m_model);
}

/// Latest time at which a stopping host may still send the request: its answer would be cut if it
/// wasn't complete when the host stops.
Millis lastSendBeforeStop(const Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    const RunTimes &times = gateway.m_runTimes[relay.m_route->m_name];
    return stopDeadline(gateway) - longestRunTime(times, remainingTime(relay), now(gateway));
}

/// Whether a stopping host has to refuse the request. One that may have been executed is carried on
/// with, since its caller may not be able to repeat it.
bool tooLateBeforeStop(const Relay &relay)
{
    const Gateway &gateway = *relay.m_gateway;
    return gateway.m_stopping && relay.m_runs == 0 && now(gateway) > lastSendBeforeStop(relay);
}

/// Time until which the request may wait for its model. A stopping host ends the wait early enough
/// to still have the request executed.
Millis modelWaitEnd(const Relay &relay)
{
    const Gateway &gateway = *relay.m_gateway;
    const Millis allowed = relay.m_deadline - relay.m_arrived;
    const Millis limit = relay.m_arrived + maxModelWait(*relay.m_route, allowed);
    return gateway.m_stopping ? std::min(limit, lastSendBeforeStop(relay)) : limit;
}

/// Finds a server for the request; if none has the model, waits for it to be loaded.
asio::awaitable<Result<InstanceId>> findServer(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    while (true) {
        if (tooLateBeforeStop(relay))
            co_return makeFailure(ErrorKind::Stopping, "the answer would not end before the stop",
                                  retryElsewhereAfter);
        const Millis waitEnd = modelWaitEnd(relay);
        relay.m_chosenAt = now(gateway);
        relay.m_choice = chooseServer(gateway.m_serverTable, choiceInput(relay), relay.m_chosenAt);
        relay.m_serverTableRevision = gateway.m_serverTable.m_revision;
        relay.m_serverTableAge = relay.m_chosenAt - gateway.m_serverTable.m_confirmedAt;
        if (!relay.m_choice.m_server.m_text.empty())
            co_return relay.m_choice.m_server;
        if (!relay.m_refusedBy.empty()) {
            // No untried server is left, but some refused the request without executing it, for
            // example because they were full: try all servers again after a pause.
            relay.m_triedServers = {};
            relay.m_refusedBy = {};
            co_await pauseFor(gateway, retryPause);
        } else if (relay.m_metadata.m_model.m_text.empty() || relay.m_runs > 0) {
            co_return makeFailure(ErrorKind::NoBackendServer, "no server available",
                                  defaultRetryAfter);
        } else if (!modelPublished(relay)) {
            co_return makeFailure(ErrorKind::NoCapacity, "the model isn't published",
                                  defaultRetryAfter);
        } else if (!isHolderAlive(gateway)) {
            co_return makeFailure(ErrorKind::NoCapacity, "no host holds the lease to order a load",
                                  timeUntilOrders(gateway));
        } else {
            const Millis left = waitEnd - now(gateway);
            if (left <= minTimeToSend)
                co_return makeFailure(ErrorKind::DeadlineUnmeetable,
                                      "the model was not loaded in time", defaultRetryAfter);
            co_await waitForModel(relay, left);
        }
        if (callerDisconnected(relay))
            co_return makeFailure(ErrorKind::CallerGone,
                                  "the caller disconnected while the request waited",
                                  RunState::NotRun);
        if (remainingTime(relay) <= minTimeToSend)
            co_return makeFailure(ErrorKind::DeadlineUnmeetable,
                                  "not enough time left before the deadline", shortRetryAfter);
    }
}

// --- the exchange with one server ---

/// Counts a request as running at a server for the lifetime of the object.
struct RunningCount
{
    RunningCount(Relay &relay, const InstanceId &server)
        : m_gateway(*relay.m_gateway), m_server(server), m_key(modelDemandKeyOf(relay))
    {
        add(1);
    }
    ~RunningCount() { add(-1); }
    RunningCount(const RunningCount &) = delete;
    RunningCount &operator=(const RunningCount &) = delete;

    void add(int change)
    {
        const auto found = m_gateway.m_serverTable.m_servers.find(m_server);
        if (found != m_gateway.m_serverTable.m_servers.end()) {
            KnownServer &known = found->second;
            known.m_inFlight = std::max(known.m_inFlight + change, 0);
            if (!m_key.m_model.m_text.empty())
                known.m_running[m_key.m_model]
                    = std::max(known.m_running[m_key.m_model] + change, 0);
        }
        if (!m_key.m_model.m_text.empty())
            m_gateway.m_modelDemands[m_key].m_running += change;
    }

    Gateway &m_gateway;
    InstanceId m_server;
    ModelDemandKey m_key;
};

KnownServer *knownServer(Relay &relay, const InstanceId &id)
{
    auto &servers = relay.m_gateway->m_serverTable.m_servers;
    const auto found = servers.find(id);
    return found == servers.end() ? nullptr : &found->second;
}

void recordResult(Relay &relay, const InstanceId &id, bool good)
{
    if (KnownServer *known = knownServer(relay, id))
        recordServerResult(*known, good, now(*relay.m_gateway));
}

/// Records a complete answer of a server and the time since the request was sent to it.
void recordAnswer(Relay &relay, const InstanceId &id, bool good)
{
    Gateway &gateway = *relay.m_gateway;
    const Millis time = now(gateway);
    recordResult(relay, id, good);
    recordRunTime(gateway.m_runTimes[relay.m_route->m_name], time - relay.m_chosenAt, time);
}

void recordLoad(Relay &relay, const InstanceId &id, const ServerLoad &load)
{
    KnownServer *known = knownServer(relay, id);
    if (!known || load.m_slots == 0)
        return;
    known->m_load = load;
    known->m_loadReportedAt = now(*relay.m_gateway);
    known->m_inFlightAtLoadReport = known->m_inFlight;
}

/// Records that a server refused the request without executing it. The server isn't chosen for the
/// same model for a moment; a misdirected request to a plain service counts as a failure of the
/// server.
void recordRefusal(Relay &relay, const InstanceId &id, const AnswerMetadata &metadata)
{
    KnownServer *known = knownServer(relay, id);
    if (!known)
        return;
    const Millis time = now(*relay.m_gateway);
    const std::string key = adapterKey(relay.m_metadata.m_model, relay.m_metadata.m_adapter);
    if (!relay.m_metadata.m_model.m_text.empty())
        known->m_refusedUntil[key] = time + refusalRetryDelay;
    else if (metadata.m_misdirected)
        recordServerResult(*known, false, time);
}

SendResult recordSendFailure(Relay &relay, const InstanceId &id, Failure failure)
{
    // A disconnect of the caller aborts the exchange, which isn't a failure of the server.
    if (!callerDisconnected(relay))
        recordResult(relay, id, false);
    return {SendOutcome::Failed, std::move(failure)};
}

/// Passes a complete answer on to the caller. An error answer to an idempotent request is kept
/// back, as a retry at another server may succeed.
asio::awaitable<SendResult> passCompleteAnswer(Relay &relay, const InstanceId &id,
                                               HttpResponse response)
{
    const bool mayRetry = relay.m_route->m_repeat == Repeat::Idempotent
        && response.m_head.m_status >= 500 && !relay.m_headSent;
    removeHopByHopFields(response.m_head.m_fields);
    if (mayRetry) {
        relay.m_lastFailedAnswer = std::move(response);
        co_return SendResult{
            SendOutcome::Failed,
            makeFailure(ErrorKind::BackendBroken, "the server answered with an error")};
    }
    const Millis took = now(*relay.m_gateway) - relay.m_arrived;
    observe(relay.m_gateway->m_metrics, LatencyKind::Whole, took);
    countAnswer(relay.m_gateway->m_metrics, ErrorKind::None);
    logCall(relay, "passed_on", makeFailure(ErrorKind::None, id.m_text, RunState::Ran),
            response.m_head.m_status);
    co_await sendResponse(*relay.m_exchange, response);
    co_return SendResult{};
}

/// Records the latency of the first event and the longest gap between events.
void recordEvent(Relay &relay)
{
    const Millis time = now(*relay.m_gateway);
    if (relay.m_firstEvent.m_count == 0) {
        relay.m_firstEvent = std::max(time - relay.m_arrived, Millis{1});
        observe(relay.m_gateway->m_metrics, LatencyKind::FirstToken, relay.m_firstEvent);
    } else {
        relay.m_longestEventGap = std::max(relay.m_longestEventGap, time - relay.m_lastEvent);
    }
    relay.m_lastEvent = time;
}

/// Passes events on as they arrive. Returns Failed if the stream ends prematurely.
asio::awaitable<SendResult> passStream(Relay &relay, const InstanceId &id,
                                       HttpConnection &connection, HttpHead head)
{
    if (!relay.m_headSent) {
        removeHopByHopFields(head.m_fields);
        relay.m_headSent = true;
        if (!co_await beginStream(*relay.m_exchange, head))
            co_return SendResult{};
    }
    beginServerStream(relay.m_eventScanner);
    while (true) {
        const auto bytes = co_await readBodyPart(connection, remainingTime(relay) + deadlineGrace);
        if (callerDisconnected(relay))
            co_return SendResult{};
        if (!ok(bytes))
            co_return recordSendFailure(relay, id, std::get<Failure>(bytes));
        const std::string &text = std::get<std::string>(bytes);
        if (text.empty())
            break;
        const std::string events = scanEvents(relay.m_eventScanner, text);
        if (relay.m_eventScanner.m_partialEvent.size() > maxEventBytes)
            co_return recordSendFailure(
                relay, id,
                makeFailure(ErrorKind::BackendBroken, "an event is over the size limit"));
        if (events.empty())
            continue;
        recordEvent(relay);
        if (!co_await writeChunk(*relay.m_exchange, events))
            co_return SendResult{};
    }
    if (!isStreamComplete(relay.m_eventScanner, bodyFramingOf(connection)))
        co_return recordSendFailure(
            relay, id, makeFailure(ErrorKind::BackendBroken, "the server broke the stream off"));
    recordAnswer(relay, id, true);
    countAnswer(relay.m_gateway->m_metrics, ErrorKind::None);
    logCall(relay, "streamed", makeFailure(ErrorKind::None, id.m_text, RunState::Ran),
            head.m_status);
    co_await endStream(*relay.m_exchange);
    co_return SendResult{};
}

/// Makes the request that is sent to the server.
HttpRequest requestFor(const Relay &relay, const InstanceId &id)
{
    ForwardMetadata metadata;
    metadata.m_server = id;
    metadata.m_timeAllowed = remainingTime(relay);
    if (!relay.m_metadata.m_model.m_text.empty())
        metadata.m_priority = relay.m_route->m_priority;
    if (!relay.m_eventScanner.m_lastEventId.empty())
        metadata.m_resumeAfter = relay.m_eventScanner.m_lastEventId;
    HttpRequest request;
    request.m_method = relay.m_exchange->m_request.m_method;
    request.m_target = relay.m_exchange->m_request.m_target;
    request.m_body = relay.m_exchange->m_request.m_body;
    request.m_fields = relay.m_fields;
    relay.m_gateway->m_protocol->writeForward(request.m_fields, metadata);
    return request;
}

/// Reads the answer of the server that the request was sent to, and passes it on or records why
/// not.
asio::awaitable<SendResult> receiveAnswer(Relay &relay, const InstanceId &id,
                                          const Endpoint &endpoint,
                                          const HttpConnectionPtr &connection)
{
    Gateway &gateway = *relay.m_gateway;
    const Millis headTimeout = answerTimeout(*relay.m_route, relay.m_runs,
                                             relay.m_choice.m_candidates, remainingTime(relay));
    auto head = co_await readHead(*connection, headTimeout);
    if (!ok(head))
        co_return recordSendFailure(relay, id, std::get<Failure>(head));
    relay.m_framing = bodyFramingOf(*connection);
    const HttpHead &got = std::get<HttpHead>(head);
    const AnswerMetadata metadata = gateway.m_protocol->readAnswer(got);
    if (!metadata.m_id.empty() && metadata.m_id != relay.m_metadata.m_id)
        co_return recordSendFailure(
            relay, id,
            makeFailure(ErrorKind::CrossedAnswer, "the server answers request " + metadata.m_id));
    recordLoad(relay, id, metadata.m_load);
    const bool success = got.m_status >= 200 && got.m_status < 300;
    if (success && (!metadata.m_serverStamped || metadata.m_contentEncoded))
        co_return recordSendFailure(
            relay, id,
            makeFailure(ErrorKind::BackendBroken,
                        "the answer lacks the server's stamp or was re-encoded"));
    if (success && metadata.m_events && relay.m_route->m_stream) {
        SendResult result = co_await passStream(relay, id, *connection, got);
        if (result.m_outcome == SendOutcome::Done && !callerDisconnected(relay))
            releaseHttpConnection(gateway.m_servers, endpoint, connection);
        co_return result;
    }
    auto body = co_await readBody(*connection, remainingTime(relay) + deadlineGrace, maxAnswerBytes,
                                  &relay.m_heldBytes);
    if (!ok(body))
        co_return recordSendFailure(relay, id, std::get<Failure>(body));
    HttpResponse response;
    response.m_head = got;
    response.m_body = std::get<std::string>(std::move(body));
    releaseHttpConnection(gateway.m_servers, endpoint, connection);
    if (metadata.m_notRun) {
        recordRefusal(relay, id, metadata);
        relay.m_refusedBy.insert(id);
        co_return SendResult{SendOutcome::NotRun,
                             makeFailure(ErrorKind::BackendRefused,
                                         id.m_text + " refused the request with status "
                                             + std::to_string(got.m_status),
                                         shortRetryAfter)};
    }
    recordAnswer(relay, id, got.m_status < 500);
    if (relay.m_headSent) // the caller has already received the head of an event stream
        co_return SendResult{
            SendOutcome::Failed,
            makeFailure(ErrorKind::BackendBroken, "expected an event stream to resume")};
    co_return co_await passCompleteAnswer(relay, id, std::move(response));
}

/// Sends the request to one server and handles its answer.
asio::awaitable<SendResult> sendTo(Relay &relay, const InstanceId &id)
{
    Gateway &gateway = *relay.m_gateway;
    const KnownServer *known = knownServer(relay, id);
    if (!known)
        co_return SendResult{SendOutcome::NotSent,
                             makeFailure(ErrorKind::NoBackendServer,
                                         "the server is gone from the list", shortRetryAfter)};
    const Endpoint endpoint = known->m_server.m_endpoint;
    const RunningCount runningCount(relay, id);
    const Millis connectBy = std::min(connectTimeout, remainingTime(relay));
    auto opened = co_await openHttpConnection(gateway.m_servers, endpoint, connectBy, false);
    if (!ok(opened)) {
        recordResult(relay, id, false);
        co_return SendResult{SendOutcome::NotSent, std::get<Failure>(opened)};
    }
    if (callerDisconnected(relay) || remainingTime(relay) <= minTimeToSend)
        co_return SendResult{SendOutcome::NotSent,
                             makeFailure(ErrorKind::DeadlineUnmeetable,
                                         "not enough time left before the deadline",
                                         shortRetryAfter)};
    const HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    relay.m_server = connection.get();
    relay.m_sends += 1;
    relay.m_sendDelay = now(gateway) - relay.m_chosenAt;
    SendResult result;
    const HttpRequest request = requestFor(relay, id);
    const auto sendFailure
        = co_await sendRequest(*connection, endpoint, request, remainingTime(relay));
    if (sendFailure)
        result = recordSendFailure(relay, id, *sendFailure);
    else
        result = co_await receiveAnswer(relay, id, endpoint, connection);
    relay.m_server = nullptr;
    if (result.m_outcome == SendOutcome::Failed)
        relay.m_runs += 1;
    if (result.m_outcome != SendOutcome::Done)
        logEvent("send_failed",
                 {{"id", relay.m_metadata.m_id},
                  {"server", id.m_text},
                  {"run",
                   toText(result.m_outcome == SendOutcome::Failed ? RunState::Unknown
                                                                  : RunState::NotRun)},
                  {"why", result.m_failure.m_detail}});
    co_return result;
}

/// Whether the request may be sent once more after that result.
bool mayResend(const Relay &relay, const SendResult &result)
{
    if (relay.m_sends >= maxSends || callerDisconnected(relay)
        || remainingTime(relay) <= minTimeToSend)
        return false;
    if (result.m_outcome != SendOutcome::Failed)
        return true;
    return relay.m_route->m_repeat != Repeat::AtMostOnce
        && relay.m_runs < relay.m_route->m_maxAttempts;
}

RetryBudget &budgetOf(Relay &relay)
{
    return relay.m_gateway->m_retryBudgets[relay.m_service];
}

/// Sends the request to one server after the other until it is answered or no attempt is left.
asio::awaitable<void> relayToServers(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    while (true) {
        const auto found = co_await findServer(relay);
        if (!ok(found)) {
            if (relay.m_lastFailedAnswer)
                break;
            co_return co_await refuse(relay, std::get<Failure>(found));
        }
        const InstanceId id = std::get<InstanceId>(found);
        if (relay.m_sends > 0) {
            if (!takeRetry(budgetOf(relay), now(gateway))) {
                if (relay.m_lastFailedAnswer)
                    break;
                co_return co_await refuse(relay,
                                          makeFailure(ErrorKind::BackendRefused,
                                                      "the retry budget is used up",
                                                      defaultRetryAfter));
            }
            countRetry(gateway.m_metrics);
        }
        relay.m_triedServers.insert(id);
        const SendResult result = co_await sendTo(relay, id);
        if (result.m_outcome == SendOutcome::Done)
            co_return;
        if (!mayResend(relay, result)) {
            if (relay.m_lastFailedAnswer)
                break;
            co_return co_await refuse(relay, result.m_failure);
        }
    }
    logCall(relay, "passed_on",
            makeFailure(ErrorKind::None, "error answer of the server", RunState::Ran),
            relay.m_lastFailedAnswer->m_head.m_status);
    countAnswer(gateway.m_metrics, ErrorKind::BackendRefused);
    co_await sendResponse(*relay.m_exchange, *relay.m_lastFailedAnswer);
}

/// Time allowed for the request: the route's time limit, or the caller's if that is shorter.
Millis timeAllowedFor(const Relay &relay)
{
    const Millis timeout = relay.m_route->m_timeout;
    return relay.m_metadata.m_timeAllowed ? std::min(*relay.m_metadata.m_timeAllowed, timeout)
                                          : timeout;
}

/// Looks up the route of the request, sets its time limit and retry budget, and relays it.
asio::awaitable<void> relayOne(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    const HttpRequest &request = relay.m_exchange->m_request;
    relay.m_metadata = gateway.m_protocol->readCall(request.m_fields);
    relay.m_routes = gateway.m_routes;
    if (!relay.m_routes || !gateway.m_serverTableLoaded)
        co_return co_await refuse(
            relay,
            makeFailure(ErrorKind::NotReady,
                        "configuration or server list not yet read from the store",
                        shortRetryAfter));
    relay.m_route
        = matchRoute(*relay.m_routes, fieldOf(request.m_fields, "Host"), request.m_target);
    if (!relay.m_route)
        co_return co_await refuse(relay, makeFailure(ErrorKind::UnknownRoute, request.m_target));
    relay.m_service = pickService(*relay.m_route, relay.m_metadata.m_id);
    relay.m_deadline = relay.m_arrived + timeAllowedFor(relay);
    relay.m_fields = request.m_fields;
    removeHopByHopFields(relay.m_fields);
    RetryBudget &budget = budgetOf(relay);
    const double hosts = hostCount(gateway);
    budget.m_ratio = gateway.m_settings.m_retryRatio;
    budget.m_slack = gateway.m_settings.m_retrySlack / hosts;
    budget.m_window = gateway.m_settings.m_retryWindow;
    recordRequest(budget, relay.m_arrived);
    if (modelPublished(relay))
        recordArrival(gateway.m_modelDemands[modelDemandKeyOf(relay)], relay.m_arrived);
    co_await relayToServers(relay);
}

void wakeAll(const std::list<WaitingCall> &calls)
{
    for (const WaitingCall &call : calls)
        wake(*call.m_wakeTimer);
}

} // namespace

asio::awaitable<void> relayCall(Gateway &gateway, HttpExchange &exchange)
{
    Relay relay(gateway);
    relay.m_exchange = &exchange;
    relay.m_arrived = now(gateway);
    gateway.m_inFlight += 1;
    exchange.m_closeAfter = gateway.m_stopping;
    exchange.m_onCallerDisconnect = [&relay] {
        if (relay.m_wakeTimer)
            wake(*relay.m_wakeTimer);
        if (relay.m_server)
            closeHttpConnection(*relay.m_server);
    };
    co_await relayOne(relay);
    exchange.m_onCallerDisconnect = nullptr;
    gateway.m_inFlight -= 1;
}

void wakeWaiting(Gateway &gateway)
{
    for (const auto &[key, demand] : gateway.m_modelDemands)
        wakeAll(demand.m_waitingCalls);
}

void wakeWaitingFor(Gateway &gateway, const ServerStatus &status)
{
    for (const auto &[key, demand] : gateway.m_modelDemands) {
        if (!demand.m_waitingCalls.empty() && holdsModel(status, key.m_model, key.m_adapter))
            wakeAll(demand.m_waitingCalls);
    }
}

} // namespace apricot
