// The exchange with one server: sends the request, and passes the answer on or records why not.
#include "process/log.h"
#include "request/relay.h"

namespace apricot {

namespace {

constexpr std::size_t maxAnswerBytes = 16UL << 20; // limit for an answer that isn't a stream
constexpr int maxLateCopies = 2;                   // skipped before one answer

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
        if (KnownServer *known = knownServer(m_gateway.m_serverTable, m_server)) {
            if (change > 0)
                recordSending(known->m_path, known->m_inFlight, now(m_gateway));
            known->m_inFlight = std::max(known->m_inFlight + change, 0);
            if (!m_key.m_model.m_text.empty())
                known->m_running[m_key.m_model]
                    = std::max(known->m_running[m_key.m_model] + change, 0);
        }
        if (!m_key.m_model.m_text.empty())
            m_gateway.m_modelDemands[m_key].m_running += change;
    }

    Gateway &m_gateway;
    InstanceId m_server;
    ModelDemandKey m_key;
};

/// Passes a complete answer on to the caller. An error answer to an idempotent request is kept
/// back, as a retry at another server may succeed.
asio::awaitable<SendResult> passCompleteAnswer(Relay &relay, const InstanceId &id,
                                               HttpResponse response)
{
    const unsigned status = response.m_head.m_status;
    const bool mayRetry
        = relay.m_route->m_repeat == Repeat::Idempotent && status >= 500 && !relay.m_headSent;
    removeHopByHopFields(response.m_head.m_fields);
    if (status >= 200 && status < 300)
        recordAnswerEnd(relay, id);
    else
        recordErrorAnswer(relay);
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

/// Binds the stream to the software version of the server that sent its first event.
asio::awaitable<void> recordVersion(Relay &relay)
{
    if (!relay.m_viaHost.m_text.empty()) { // that host has recorded it
        relay.m_streamBegunElsewhere = !relay.m_software;
        co_return;
    }
    if (!relay.m_software)
        relay.m_software = relay.m_serverSoftware;
    co_await announceOrigin(*relay.m_gateway, streamOf(relay), relay.m_service, *relay.m_software);
}

/// Records that the server which the request was sent to answers.
void recordHeardFrom(const Relay &relay)
{
    if (!relay.m_viaHost.m_text.empty())
        return;
    Gateway &gateway = *relay.m_gateway;
    if (KnownServer *known = knownServer(gateway.m_serverTable, relay.m_choice.m_server))
        recordPathHeard(gateway, *known);
}

/// Records the latency of the first event and the longest gap between events.
void recordEvent(Relay &relay)
{
    const Millis time = now(*relay.m_gateway);
    recordHeardFrom(relay);
    if (!relay.m_answer.m_firstEventAt)
        relay.m_answer.m_firstEventAt = time;
    else if (time - *relay.m_answer.m_firstEventAt >= survivalTime)
        recordSurvival(relay);
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
        if (relay.m_firstEvent.m_count == 0)
            co_await recordVersion(relay);
        if (callerDisconnected(relay))
            co_return SendResult{};
        recordEvent(relay);
        if (!co_await writeChunk(*relay.m_exchange, events))
            co_return SendResult{};
    }
    if (!isStreamComplete(relay.m_eventScanner, bodyFramingOf(connection))) {
        Failure failure = makeFailure(ErrorKind::BackendBroken, "the server broke the stream off");
        failure.m_connectionEnded = relay.m_framing == BodyFraming::ConnectionEnd;
        co_return recordSendFailure(relay, id, std::move(failure));
    }
    recordAnswer(relay, id, true);
    recordAnswerEnd(relay, id);
    countAnswer(relay.m_gateway->m_metrics, ErrorKind::None);
    logCall(relay, "streamed", makeFailure(ErrorKind::None, id.m_text, RunState::Ran),
            head.m_status);
    co_await endStream(*relay.m_exchange);
    co_return SendResult{};
}

/// Time from the first event of the server to now, in ms; empty if there was no event.
std::string streamedText(const Relay &relay)
{
    const auto first = relay.m_answer.m_firstEventAt;
    return first ? std::to_string((now(*relay.m_gateway) - *first).m_count) : std::string();
}

/// Makes the request that is sent to the server, without its body.
HttpRequest requestFor(const Relay &relay, const InstanceId &id)
{
    ForwardMetadata metadata;
    metadata.m_server = id;
    metadata.m_timeAllowed = remainingTime(relay);
    if (!relay.m_metadata.m_model.m_text.empty())
        metadata.m_priority = combinedPriority(relay.m_account, relay.m_route->m_priority);
    if (relay.m_routes->m_accounts.m_required)
        metadata.m_account = relay.m_account ? relay.m_account->m_name : AccountName();
    if (!relay.m_eventScanner.m_lastEventId.empty())
        metadata.m_resumeAfter = relay.m_eventScanner.m_lastEventId;
    HttpRequest request;
    request.m_method = relay.m_exchange->m_request.m_method;
    request.m_target = relay.m_exchange->m_request.m_target;
    request.m_fields = relay.m_fields;
    relay.m_gateway->m_protocol->writeForward(request.m_fields, metadata);
    return request;
}

/// Whether the response is the one to the request just sent. Servers repeat the request id; another
/// host answers each request once, and its refusals bear no id.
bool isAnswerToThisSend(const Relay &relay, const AnswerMetadata &metadata)
{
    const bool viaHost = !relay.m_viaHost.m_text.empty();
    return metadata.m_id == relay.m_metadata.m_id || (viaHost && metadata.m_id.empty());
}

/// Result of an answer whose status promises the caller that the request was not executed, though
/// the server doesn't state so. Such an answer isn't passed on.
SendResult failUnstated(Relay &relay, const InstanceId &id, unsigned status)
{
    recordAnswer(relay, id, false);
    recordErrorAnswer(relay);
    return {SendOutcome::Failed,
            makeFailure(ErrorKind::BackendBroken,
                        "status " + std::to_string(status)
                            + " without a statement that the request did not run")};
}

/// Whether the response is a late copy of the one to an earlier request, after which the answer to
/// the request just sent is still to come.
bool isLateCopy(const Relay &relay, const HttpConnection &connection,
                const AnswerMetadata &metadata)
{
    return useOf(connection).m_requests > 1 && wasSentWhole(connection) && !metadata.m_id.empty()
        && metadata.m_id != relay.m_metadata.m_id;
}

/// Reads the head of the next response on the connection that isn't a late copy.
asio::awaitable<Result<HttpHead>> readAnswerHead(Relay &relay, const InstanceId &server,
                                                 HttpConnection &connection, Millis timeout)
{
    Gateway &gateway = *relay.m_gateway;
    const Millis end = now(gateway) + timeout;
    for (int copies = 0;; ++copies) {
        auto head = co_await readHead(connection, std::max(end - now(gateway), Millis{1}));
        if (!ok(head) || copies == maxLateCopies)
            co_return head;
        const auto metadata = gateway.m_protocol->readAnswer(std::get<HttpHead>(head));
        if (!isLateCopy(relay, connection, metadata))
            co_return head;
        logEvent("late_copy",
                 {{"id", relay.m_metadata.m_id},
                  {"server", server.m_text},
                  {"answers", metadata.m_id},
                  {"status", std::to_string(std::get<HttpHead>(head).m_status)},
                  {"connection", connectionText(relay)}});
        const auto body = co_await readBody(connection, std::max(end - now(gateway), Millis{1}),
                                            maxAnswerBytes, &relay.m_heldBytes);
        if (!ok(body))
            co_return std::get<Failure>(body);
    }
}

/// Reads the answer of the server that the request was sent to, and passes it on or records why
/// not.
asio::awaitable<SendResult> receiveAnswer(Relay &relay, const AnswerSource &source,
                                          const HttpConnectionPtr &connection)
{
    Gateway &gateway = *relay.m_gateway;
    const InstanceId &id = source.m_server;
    HttpPool &pool = relay.m_viaHost.m_text.empty() ? gateway.m_servers : gateway.m_hosts;
    const Millis headTimeout = answerTimeout(*relay.m_route, runsInAll(relay),
                                             relay.m_choice.m_candidates, remainingTime(relay));
    auto head = co_await readAnswerHead(relay, id, *connection, headTimeout);
    if (!ok(head))
        co_return recordSendFailure(relay, id, std::get<Failure>(head));
    relay.m_answer.m_headReceived = true;
    relay.m_answer.m_status = std::get<HttpHead>(head).m_status;
    recordHeardFrom(relay);
    relay.m_framing = bodyFramingOf(*connection);
    const HttpHead &got = std::get<HttpHead>(head);
    const AnswerMetadata metadata = gateway.m_protocol->readAnswer(got);
    relay.m_answer.m_requestId = metadata.m_id;
    if (!isAnswerToThisSend(relay, metadata))
        co_return recordSendFailure(
            relay, id,
            makeFailure(ErrorKind::CrossedAnswer,
                        "the server answers another request: '" + metadata.m_id + "'"));
    relay.m_answer.m_limit = metadata.m_limit;
    if (!metadata.m_misdirected && (metadata.m_serverStamped || metadata.m_notRun))
        recordStatements(gateway, id, metadata, relay.m_chosenAt + relay.m_sendDelay);
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
            releaseHttpConnection(pool, source.m_endpoint, connection);
        co_return result;
    }
    auto body = co_await readBody(*connection, remainingTime(relay) + deadlineGrace, maxAnswerBytes,
                                  &relay.m_heldBytes);
    if (!ok(body))
        co_return recordSendFailure(relay, id, std::get<Failure>(body));
    HttpResponse response;
    response.m_head = got;
    response.m_body = std::get<std::string>(std::move(body));
    releaseHttpConnection(pool, source.m_endpoint, connection);
    const bool viaHost = !relay.m_viaHost.m_text.empty();
    if (viaHost && !relay.m_headSent)
        co_return co_await passHostAnswer(relay, metadata, std::move(response));
    if (isUnstatedPromise(metadata, got.m_status, viaHost))
        co_return failUnstated(relay, id, got.m_status);
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

/// Logs and counts a connection to a server that could not be established. The path or the server
/// may be at fault; a series at all servers tells that it is the path.
void recordConnectFailure(const Relay &relay, const InstanceId &id, const Failure &failure,
                          Millis took)
{
    countConnectFailure(relay.m_gateway->m_metrics);
    logEvent("connect_failed",
             {{"id", relay.m_metadata.m_id},
              {"server", id.m_text},
              {"candidates", std::to_string(relay.m_choice.m_candidates)},
              {"why", failure.m_detail},
              {"took_ms", std::to_string(took.m_count)}});
}

} // namespace

asio::awaitable<SendResult> sendTo(Relay &relay, const InstanceId &id)
{
    Gateway &gateway = *relay.m_gateway;
    const KnownServer *known = knownServer(gateway.m_serverTable, id);
    if (!known)
        co_return SendResult{SendOutcome::NotSent,
                             makeFailure(ErrorKind::NoBackendServer,
                                         "the server is gone from the list", shortRetryAfter)};
    const Endpoint endpoint = known->m_server.m_endpoint;
    relay.m_triedServers.insert(id);
    relay.m_serverSoftware = softwareIdOf(known->m_server);
    const RunningCount runningCount(relay, id);
    const Millis connectBegan = now(gateway);
    const Millis connectBy = std::min(connectTimeout, remainingTime(relay));
    // Without an id only the first response on a connection is known to be the one to the request.
    const bool forceNew
        = !mayReuseConnections(gateway, relay.m_service) || relay.m_metadata.m_id.empty();
    auto opened = co_await openHttpConnection(gateway.m_servers, endpoint, connectBy, forceNew,
                                              &relay.m_connections);
    if (!ok(opened)) {
        recordResult(relay, id, false);
        if (KnownServer *unreached = knownServer(gateway.m_serverTable, id))
            recordPathLost(gateway, *unreached);
        recordConnectFailure(relay, id, std::get<Failure>(opened), now(gateway) - connectBegan);
        co_return SendResult{SendOutcome::NotSent, std::get<Failure>(opened)};
    }
    if (callerDisconnected(relay) || remainingTime(relay) <= minTimeToSend)
        co_return SendResult{SendOutcome::NotSent,
                             makeFailure(ErrorKind::DeadlineUnmeetable,
                                         "not enough time left before the deadline",
                                         shortRetryAfter)};
    const KnownServer *current = knownServer(gateway.m_serverTable, id);
    if (!current || isLeaving(*current) || isPaused(*current, now(gateway)))
        co_return SendResult{SendOutcome::NotSent,
                             makeFailure(ErrorKind::NoBackendServer, "the server leaves or pauses",
                                         shortRetryAfter)};
    if (auto refusal = admitToServer(gateway, relay.m_causes))
        co_return SendResult{SendOutcome::NotSent, std::move(*refusal)};
    const HttpRequest request = requestFor(relay, id);
    AnswerSource source;
    source.m_server = id;
    source.m_endpoint = endpoint;
    co_return co_await exchangeOn(relay, source, std::get<HttpConnectionPtr>(opened), request);
}

asio::awaitable<SendResult> exchangeOn(Relay &relay, AnswerSource source,
                                       HttpConnectionPtr connection, const HttpRequest &request)
{
    Gateway &gateway = *relay.m_gateway;
    const InstanceId &id = source.m_server;
    relay.m_server = connection.get();
    relay.m_endedByHost = false;
    relay.m_sends += 1;
    relay.m_answer = {};
    relay.m_sendDelay = now(gateway) - relay.m_chosenAt;
    SendResult result;
    const auto sendFailure
        = co_await sendRequest(*connection, source.m_endpoint, request,
                               relay.m_exchange->m_request.m_body, remainingTime(relay));
    relay.m_answer.m_sentOn = useOf(*connection);
    if (relay.m_viaHost.m_text.empty())
        relay.m_connections.insert(relay.m_answer.m_sentOn.m_connection);
    if (sendFailure)
        result = recordSendFailure(relay, id, *sendFailure);
    else
        result = co_await receiveAnswer(relay, source, connection);
    relay.m_server = nullptr;
    if (result.m_outcome == SendOutcome::Failed)
        relay.m_runs += 1;
    if (result.m_outcome != SendOutcome::Done)
        logEvent("send_failed",
                 {{"id", relay.m_metadata.m_id},
                  {"server", id.m_text},
                  {"via", relay.m_viaHost.m_text},
                  {"version", softwareVersionOf(gateway, id)},
                  {"run",
                   toText(result.m_outcome == SendOutcome::Failed ? RunState::Unknown
                                                                  : RunState::NotRun)},
                  {"why", result.m_failure.m_detail},
                  {"head", relay.m_answer.m_headReceived ? "yes" : "no"},
                  {"status",
                   relay.m_answer.m_headReceived ? std::to_string(relay.m_answer.m_status)
                                                 : std::string()},
                  {"answers", relay.m_answer.m_requestId},
                  {"connection", connectionText(relay)},
                  {"streamed_ms", streamedText(relay)},
                  {"fingerprint", toHex(relay.m_fingerprint)},
                  {"parts", toText(relay.m_metadata.m_sharedParts)}});
    co_return result;
}

} // namespace apricot
