// Runs calls to models in apricotd. A call is sent to the least loaded replica that this host
// knows. If it knows none, the call waits in a queue while a coroutine polls the owner of the
// model's cell, which decides on loads. The stream of the replica is relayed to the caller. After a
// failure the call is retried if the request may be repeated and the stream can continue without a
// gap.
#include "process/engineclient.h"
#include "request/call.h"

#include "process/log.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace apricot {

namespace {

constexpr Millis connectTimeout = {500};
// While no call waits, the owner is polled at this interval to refresh the list of replicas.
constexpr Millis placementRefreshInterval = {1'000};
// An older list of replicas isn't used, unless the owner is unavailable.
constexpr Millis placementMaxAge = {5'000};
// The owner may delay its response by this much, until a replica is ready or the load is refused.
constexpr Millis ownerLongPollTime = {400};
constexpr Millis ownerRequestTimeout = {2'000};
// Pause after a request that the owner didn't answer.
constexpr Millis ownerPollInterval = {100};
// Waiting calls are refused once the owner has been unavailable for this long.
constexpr Millis ownerUnavailableLimit = {6'000};
constexpr Millis retryAfterNoOwner = {2'000};
constexpr Millis retryAfterRefusal = {1'000};
constexpr int maxAttempts = 4;

DemandKey demandKeyOf(const Call &call)
{
    return {call.m_model, call.m_adapter};
}

ModelShard &shardFor(Node &node, const DemandKey &key)
{
    return node.m_models.at(shardOf(key.m_model.m_text));
}

// --- requests to the cell's owner ---

std::optional<CellClaim> claimOf(Node &node, const CellName &cell)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    const auto &claims = node.m_members.m_membership.m_claims;
    const auto found = claims.find(cell);
    if (found == claims.end())
        return {};
    return found->second;
}

Failure ownerUnavailable(std::string detail)
{
    return makeFailure(ErrorKind::NotReady, std::move(detail), retryAfterNoOwner);
}

/// Reports demand and use of a model to the owner of its cell and requests its replicas. The
/// failure is NotReady if no live owner is known or it doesn't answer.
asio::awaitable<Result<wire::WantTellT>> requestReplicas(Node &node, IoThread &thread,
                                                         wire::WantAskT request)
{
    const auto claim = claimOf(node, {request.cell});
    if (!claim)
        co_return ownerUnavailable("the cell has no owner yet");
    if (claim->m_owner == node.m_incarnation)
        co_return co_await answerReplicaRequest(node, thread, request);
    const auto owner = memberOf(node, claim->m_host);
    const bool ownerAlive
        = owner && owner->m_incarnation == claim->m_owner && owner->m_liveness != Liveness::Dead;
    if (!ownerAlive)
        co_return ownerUnavailable("the cell's owner died or was restarted");
    auto result = co_await callPeer(thread.m_peers, owner->m_peer, makeFrame(std::move(request)),
                                    ownerRequestTimeout);
    if (!ok(result))
        co_return ownerUnavailable(std::get<Failure>(result).m_detail);
    const auto *reply = std::get<FramePtr>(result)->body.AsWantTell();
    if (!reply)
        co_return ownerUnavailable("the cell's owner sent a message of another type");
    co_return wire::WantTellT(*reply);
}

/// Reads the replicas of a model from the reports of the servers of its cell. Used while no owner
/// answers, so that loaded models stay in use. Their slot is 0, since only the owner knows the
/// slots.
asio::awaitable<std::vector<ReplicaEntry>> queryServers(Node &node, IoThread &thread, DemandKey key)
{
    std::vector<ReplicaEntry> replicas;
    const auto configuration = configurationOf(node);
    const CellName cell = cellOfModel(*configuration, key.m_model);
    for (const ServerSpec &server : configuration->m_servers) {
        if (server.m_cell != cell)
            continue;
        HttpRequest request;
        request.m_target = "/report";
        const auto report = co_await fetchReport(thread.m_http, server, now(node), connectTimeout);
        if (!report)
            continue;
        ReplicaEntry replica;
        replica.m_server = server.m_name;
        bool loaded = false;
        for (const EngineEntry &entry : report->m_entries) {
            if (entry.m_model != key.m_model || !entry.m_ready)
                continue;
            if (entry.m_adapter.m_text.empty())
                loaded = true;
            else
                replica.m_adapters.push_back(entry.m_adapter);
        }
        if (loaded)
            replicas.push_back(std::move(replica));
    }
    co_return replicas;
}

// --- replicas known to this host, and calls that wait for one ---

bool servesAdapter(const ReplicaEntry &replica, const AdapterName &adapter)
{
    if (adapter.m_text.empty())
        return true;
    return std::count(replica.m_adapters.begin(), replica.m_adapters.end(), adapter) > 0;
}

bool anyReplicaServes(const ModelState &state, const AdapterName &adapter)
{
    return std::any_of(
        state.m_replicas.begin(), state.m_replicas.end(),
        [&](const ReplicaEntry &replica) { return servesAdapter(replica, adapter); });
}

void wakeAllWaiters(ModelState &state)
{
    for (const ModelWaiterPtr &waiter : state.m_waiters)
        wake(waiter->m_waiter);
    state.m_waiters.clear();
}

void refuseAllWaiters(ModelState &state, const Failure &failure)
{
    for (const ModelWaiterPtr &waiter : state.m_waiters)
        waiter->m_failure = failure;
    wakeAllWaiters(state);
}

/// Refuses at once the waiting calls whose deadline is before the time at which a replica is
/// expected to be ready.
void refuseUnmeetableWaiters(ModelState &state, Millis readyIn, Millis time)
{
    const auto unmeetable = [&](const ModelWaiterPtr &waiter) {
        if (waiter->m_deadline >= time + readyIn)
            return false;
        waiter->m_failure
            = makeFailure(ErrorKind::DeadlineUnmeetable,
                          "ready in " + std::to_string(readyIn.m_count) + " ms", readyIn);
        wake(waiter->m_waiter);
        return true;
    };
    std::erase_if(state.m_waiters, unmeetable);
}

std::vector<ReplicaEntry> readReplicas(const wire::WantTellT &reply)
{
    std::vector<ReplicaEntry> replicas;
    for (const auto &entry : reply.replicas) {
        ReplicaEntry replica;
        replica.m_server.m_text = entry->server;
        replica.m_slot = entry->slot;
        replica.m_running = entry->running;
        for (const std::string &adapter : entry->adapters)
            replica.m_adapters.push_back({adapter});
        replicas.push_back(std::move(replica));
    }
    return replicas;
}

/// Stores the replicas that the owner reported, then wakes the waiting calls or refuses them.
void applyOwnerResponse(Node &node, const DemandKey &key, const wire::WantTellT &reply)
{
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[key];
    state.m_replicas = readReplicas(reply);
    state.m_receivedAt = now(node);
    state.m_ownerEverAnswered = true;
    state.m_ownerUnavailableSince = {};
    if (anyReplicaServes(state, key.m_adapter)) {
        wakeAllWaiters(state);
        return;
    }
    const auto kind = static_cast<ErrorKind>(reply.error);
    if (kind != ErrorKind::None)
        refuseAllWaiters(state, makeFailure(kind, reply.detail, {reply.retry_after_ms}));
    else
        refuseUnmeetableWaiters(state, {reply.ready_in_ms}, now(node));
}

/// Uses the replicas that the servers themselves reported, if any. Without a usable one the waiting
/// calls are refused once the owner has been unavailable for ownerUnavailableLimit.
void handleUnavailableOwner(Node &node, const DemandKey &key, std::vector<ReplicaEntry> reported)
{
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[key];
    if (state.m_ownerUnavailableSince == Millis{})
        state.m_ownerUnavailableSince = now(node);
    if (!reported.empty())
        state.m_replicas = std::move(reported);
    if (anyReplicaServes(state, key.m_adapter))
        wakeAllWaiters(state);
    else if (now(node) - state.m_ownerUnavailableSince >= ownerUnavailableLimit)
        refuseAllWaiters(
            state,
            makeFailure(ErrorKind::PlatformUnavailable,
                        "the cell has no owner that answers, so no load can be ordered",
                        retryAfterNoOwner));
}

/// The demand of this host's callers for a model, and its requests in flight at each slot.
wire::WantAskT makeReplicaRequest(Node &node, const DemandKey &key)
{
    const auto configuration = configurationOf(node);
    wire::WantAskT request;
    request.cell = cellOfModel(*configuration, key.m_model).m_text;
    request.host = node.m_settings.m_host.m_text;
    request.model = key.m_model.m_text;
    request.adapter = key.m_adapter.m_text;
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[key];
    request.waiting = static_cast<int>(state.m_waiters.size());
    auto urgency = Urgency::CanWait;
    Millis latestDeadline = now(node);
    for (const ModelWaiterPtr &waiter : state.m_waiters) {
        urgency = std::min(urgency, waiter->m_urgency);
        latestDeadline = std::max(latestDeadline, waiter->m_deadline);
    }
    request.urgency = static_cast<std::uint8_t>(urgency);
    request.left_ms = (latestDeadline - now(node)).m_count;
    request.wait_ms = request.waiting > 0 ? ownerLongPollTime.m_count : 0;
    for (const auto &[slot, active] : state.m_active) {
        auto use = std::make_unique<wire::SlotUseEntryT>();
        use->slot = slot;
        use->active = active;
        request.uses.push_back(std::move(use));
    }
    // A slot without requests in flight is reported once more, since it was in use after the last
    // report. It is then removed: the owner takes each report of a slot as a use of it.
    std::erase_if(state.m_active, [](const auto &entry) { return entry.second <= 0; });
    return request;
}

/// True while calls wait for the model or slots have use to report. Else marks the poller as ended,
/// under the same lock that startPollingOwner() needs, so that a new call starts another one.
bool continuePolling(Node &node, const DemandKey &key)
{
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[key];
    if (!state.m_waiters.empty() || !state.m_active.empty())
        return true;
    state.m_pollingOwner = false;
    return false;
}

bool hasWaiters(Node &node, const DemandKey &key)
{
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    return !shard.m_models[key].m_waiters.empty();
}

/// Polls the owner of the model's cell until no call waits and none is running. The owner learns
/// the demand and the use of replicas from these requests alone.
asio::awaitable<void> pollOwner(Node &node, IoThread &thread, DemandKey key)
{
    do {
        wire::WantAskT request = makeReplicaRequest(node, key);
        const auto result = co_await requestReplicas(node, thread, std::move(request));
        const bool ownerAnswered = ok(result)
            && static_cast<ErrorKind>(std::get<wire::WantTellT>(result).error)
                != ErrorKind::NotReady;
        if (ownerAnswered) {
            applyOwnerResponse(node, key, std::get<wire::WantTellT>(result));
        } else {
            auto reported = co_await queryServers(node, thread, key);
            handleUnavailableOwner(node, key, std::move(reported));
            co_await sleepFor(ownerPollInterval);
        }
        for (Millis slept; slept < placementRefreshInterval && !hasWaiters(node, key);
             slept = slept + ownerPollInterval)
            co_await sleepFor(ownerPollInterval);
    } while (!node.m_stopped && continuePolling(node, key));
}

// --- choosing a replica for one call ---

struct ChosenReplica
{
    ServerSpec m_server;
    std::uint64_t m_slot = 0;
};

RouteChoice chooseAmongReplicas(const Call &call, const ModelState &state)
{
    const MachineList machines = machinesOf(*call.m_node);
    std::vector<ReplicaView> candidates;
    for (const ReplicaEntry &replica : state.m_replicas) {
        const ServerSpec *server = findServer(*call.m_configuration, replica.m_server);
        ReplicaView candidate;
        candidate.m_server = replica.m_server;
        candidate.m_slot = replica.m_slot;
        candidate.m_reportedRunning = replica.m_running;
        candidate.m_sentSinceUpdate = replica.m_sentSinceUpdate;
        candidate.m_adapterLoaded = servesAdapter(replica, call.m_adapter);
        candidate.m_sameDataCentre
            = server && server->m_dataCentre == call.m_node->m_settings.m_dataCentre;
        candidate.m_leaving
            = isLeaving(server, machines) || !servesAdapter(replica, call.m_adapter);
        candidates.push_back(candidate);
    }
    return chooseReplica(candidates);
}

/// Chooses among the known replicas and counts the request as sent to it. Nothing if none is
/// usable, or if the list of replicas is too old while the owner could send a new one.
std::optional<ChosenReplica> chooseKnownReplica(Call &call, ModelState &state)
{
    const bool known = state.m_ownerEverAnswered || !state.m_replicas.empty();
    const bool stale = now(*call.m_node) - state.m_receivedAt > placementMaxAge;
    const bool ownerAnswers = state.m_ownerUnavailableSince == Millis{};
    if (!known || (stale && ownerAnswers))
        return {};
    const RouteChoice choice = chooseAmongReplicas(call, state);
    if (choice.m_index < 0)
        return {};
    ReplicaEntry &replica = state.m_replicas[static_cast<std::size_t>(choice.m_index)];
    ++replica.m_sentSinceUpdate;
    ++state.m_active[replica.m_slot];
    logEvent("route",
             {{"request", call.m_id},
              {"model", call.m_model.m_text},
              {"adapter", call.m_adapter.m_text},
              {"server", replica.m_server.m_text},
              {"scores", choice.m_scores}});
    return ChosenReplica{*findServer(*call.m_configuration, replica.m_server), replica.m_slot};
}

void startPollingOwner(Call &call, ModelState &state)
{
    if (state.m_pollingOwner)
        return;
    state.m_pollingOwner = true;
    spawn(call.m_thread->m_io, pollOwner(*call.m_node, *call.m_thread, demandKeyOf(call)));
}

/// The result of chooseOrEnqueue(); exactly one member is set.
struct QueueEntry
{
    std::optional<ChosenReplica> m_chosen;
    ModelWaiterPtr m_waiter; // the call's place in the queue
    CallError m_refused;     // the queue is full, or the deadline has passed
};

/// Chooses a replica at once, or adds the call to the queue of its model unless admission refuses
/// it.
QueueEntry chooseOrEnqueue(Call &call)
{
    Node &node = *call.m_node;
    ModelShard &shard = shardFor(node, demandKeyOf(call));
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[demandKeyOf(call)];
    QueueEntry entry;
    entry.m_chosen = chooseKnownReplica(call, state);
    if (!entry.m_chosen) {
        AdmissionInput input;
        input.m_queued = static_cast<int>(state.m_waiters.size());
        input.m_queueLimit = node.m_settings.m_queueLimit;
        input.m_expectedReady = now(node);
        input.m_deadline = call.m_deadline;
        entry.m_refused = admit(input, now(node));
        if (entry.m_refused)
            return entry;
        entry.m_waiter = std::make_shared<ModelWaiter>();
        entry.m_waiter->m_waiter = std::make_shared<Waiter>(call.m_thread->m_io);
        entry.m_waiter->m_urgency = call.m_work.m_urgency;
        entry.m_waiter->m_deadline = call.m_deadline;
        state.m_waiters.push_back(entry.m_waiter);
    }
    startPollingOwner(call, state);
    return entry;
}

void leaveQueue(Call &call, const ModelWaiterPtr &waiter)
{
    ModelShard &shard = shardFor(*call.m_node, demandKeyOf(call));
    const std::lock_guard lock(shard.m_mutex);
    std::erase(shard.m_models[demandKeyOf(call)].m_waiters, waiter);
}

/// Chooses a replica for the call. Without a usable one the call waits in the queue of its model
/// until there is one, it is refused, its deadline passes or its caller disconnects.
asio::awaitable<Result<ChosenReplica>> awaitReplica(Call &call)
{
    const Millis queuedAt = now(*call.m_node);
    while (true) {
        QueueEntry entry = chooseOrEnqueue(call);
        if (entry.m_chosen) {
            observe(call.m_node->m_metrics, LatencyKind::Queue, now(*call.m_node) - queuedAt);
            co_return *entry.m_chosen;
        }
        if (entry.m_refused)
            co_return *entry.m_refused;
        const ModelWaiterPtr waiter = entry.m_waiter;
        call.m_onCallerDisconnect = [waiter] { wake(waiter->m_waiter); };
        const bool woken = co_await waitFor(waiter->m_waiter, timeLeft(call));
        call.m_onCallerDisconnect = nullptr;
        leaveQueue(call, waiter);
        if (call.m_callerDisconnected)
            co_return makeFailure(ErrorKind::CallerGone, "", RunState::NotRun);
        if (waiter->m_failure)
            co_return *waiter->m_failure;
        if (!woken)
            co_return makeFailure(ErrorKind::DeadlinePassed,
                                  "no replica was ready before the deadline", RunState::NotRun,
                                  retryAfterRefusal);
    }
}

/// Counts a request as ended. `removeServer` removes the replicas on its server from the list and
/// marks the list as too old, so that the next call waits for a new one, provided that the owner
/// answers.
void releaseReplica(Call &call, const ChosenReplica &chosen, bool removeServer)
{
    ModelShard &shard = shardFor(*call.m_node, demandKeyOf(call));
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[demandKeyOf(call)];
    --state.m_active[chosen.m_slot];
    if (!removeServer)
        return;
    std::erase_if(state.m_replicas, [&](const ReplicaEntry &replica) {
        return replica.m_server == chosen.m_server.m_name;
    });
    state.m_receivedAt = {};
}

// --- one attempt on a replica ---

/// Progress of the stream to the caller, over all attempts.
struct StreamRelay
{
    EventSplitter m_eventSplitter;
    int m_next = 0;       // index of the next token
    bool m_done = false;  // the final event was relayed
    Millis m_lastTokenAt; // when the last event was relayed
};

HttpRequest makeRequest(const Call &call, const StreamRelay &relay)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/generate";
    request.m_fields = {{"Request-Id", call.m_id},
                        {"Model", call.m_model.m_text},
                        {"Adapter", call.m_adapter.m_text},
                        {"Deadline-Ms", std::to_string(timeLeft(call).m_count)}};
    if (relay.m_next > 0)
        request.m_fields.push_back({"Resume-From", std::to_string(relay.m_next)});
    request.m_body = call.m_request.m_body;
    return request;
}

void observeTokenLatency(const Call &call, StreamRelay &relay)
{
    Metrics &metrics = call.m_node->m_metrics;
    const Millis time = now(*call.m_node);
    if (relay.m_next == 0)
        observe(metrics, LatencyKind::FirstToken, time - call.m_startedAt);
    else
        observe(metrics, LatencyKind::BetweenTokens, time - relay.m_lastTokenAt);
    relay.m_lastTokenAt = time;
}

/// Relays the complete events in the bytes, after checking that each belongs to this request and
/// that no token is skipped or repeated.
asio::awaitable<CallError> relayEvents(Call &call, StreamRelay &relay, std::string_view bytes)
{
    std::string output;
    for (const StreamEvent &event : splitEvents(relay.m_eventSplitter, bytes)) {
        if (event.m_request != call.m_id)
            co_return makeFailure(ErrorKind::CrossedAnswer, "an event carries another request id");
        if (event.m_kind == "token" && event.m_index != relay.m_next)
            co_return makeFailure(ErrorKind::BackendBroken, "a token is out of sequence");
        observeTokenLatency(call, relay);
        if (event.m_kind == "token")
            ++relay.m_next;
        relay.m_done = relay.m_done || event.m_kind == "done";
        output += event.m_text;
    }
    if (!output.empty() && !co_await call.m_responseWriter.m_write(output))
        co_return makeFailure(ErrorKind::CallerGone, "");
    co_return std::nullopt;
}

HttpHead makeStreamHead(const Call &call, const HttpHead &engineHead)
{
    HttpHead head;
    head.m_fields = {{"Content-Type", fieldOf(engineHead.m_fields, "Content-Type")},
                     {"Request-Id", call.m_id},
                     {"Served-By", call.m_node->m_settings.m_host.m_text}};
    return head;
}

asio::awaitable<CallError> beginResponse(Call &call, const HttpHead &engineHead)
{
    if (call.m_responseWriter.m_responseStarted)
        co_return std::nullopt;
    const HttpHead head = makeStreamHead(call, engineHead);
    call.m_responseWriter.m_responseStarted = true;
    call.m_status = engineHead.m_status;
    if (!co_await call.m_responseWriter.m_begin(head))
        co_return makeFailure(ErrorKind::CallerGone, "");
    co_return std::nullopt;
}

asio::awaitable<CallError> relayBody(Call &call, StreamRelay &relay, HttpConnection &connection)
{
    while (true) {
        const auto bytes = co_await readBodyPart(connection, timeLeft(call));
        if (call.m_callerDisconnected)
            co_return makeFailure(ErrorKind::CallerGone, "");
        if (!ok(bytes))
            co_return std::get<Failure>(bytes);
        const std::string &text = std::get<std::string>(bytes);
        if (text.empty())
            break;
        CallError error = co_await relayEvents(call, relay, text);
        if (error)
            co_return error;
    }
    if (!relay.m_done)
        co_return makeFailure(ErrorKind::BackendBroken, "the stream ended without its final event");
    call.m_run = RunState::Ran;
    if (!co_await call.m_responseWriter.m_end())
        co_return makeFailure(ErrorKind::CallerGone, "");
    co_return std::nullopt;
}

asio::awaitable<CallError> relayResponse(Call &call, StreamRelay &relay, HttpConnection &connection)
{
    const auto head = co_await readHead(connection, timeLeft(call));
    if (call.m_callerDisconnected)
        co_return makeFailure(ErrorKind::CallerGone, "");
    if (!ok(head))
        co_return std::get<Failure>(head);
    const HttpHead &engineHead = std::get<HttpHead>(head);
    if (fieldOf(engineHead.m_fields, "Request-Id") != call.m_id)
        co_return makeFailure(ErrorKind::CrossedAnswer, "the response carries another request id");
    constexpr unsigned statusOk = 200;
    if (engineHead.m_status != statusOk) {
        const bool notRun = fieldOf(engineHead.m_fields, "Run-State") == "not-run";
        co_return makeFailure(ErrorKind::BackendRefused,
                              "the engine answered with status "
                                  + std::to_string(engineHead.m_status),
                              notRun ? RunState::NotRun : RunState::Unknown, retryAfterRefusal);
    }
    CallError error = co_await beginResponse(call, engineHead);
    if (error)
        co_return error;
    co_return co_await relayBody(call, relay, connection);
}

/// Runs one attempt. As soon as the first byte of the request is written it may run, so a request
/// that must not be repeated can't be retried after that; it is sent on a new connection, since a
/// pooled one may turn out to be closed only after the write.
asio::awaitable<CallError> attempt(Call &call, StreamRelay &relay, const ChosenReplica &chosen)
{
    HttpPool &pool = call.m_thread->m_http;
    const Endpoint engine = chosen.m_server.m_endpoint;
    const auto opened
        = co_await openHttpConnection(pool, engine, connectTimeout, !call.m_work.m_idempotent);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    if (call.m_callerDisconnected)
        co_return makeFailure(ErrorKind::CallerGone, "", RunState::NotRun);
    call.m_onCallerDisconnect = [connection] { closeHttpConnection(*connection); };
    CallError error
        = co_await sendRequest(*connection, engine, makeRequest(call, relay), timeLeft(call));
    if (!error)
        error = co_await relayResponse(call, relay, *connection);
    call.m_onCallerDisconnect = nullptr;
    if (error)
        closeHttpConnection(*connection);
    else
        releaseHttpConnection(pool, engine, std::move(connection));
    co_return error;
}

/// Whether another attempt is allowed. The caller must still be connected and the deadline not have
/// passed. In addition the request either did not run, or it is idempotent and its stream can
/// continue: the caller has no token yet, or the server can resume a stream at a given token.
bool mayRetry(const Call &call, const StreamRelay &relay, const Failure &failure,
              const ChosenReplica &chosen)
{
    if (call.m_callerDisconnected || failure.m_kind == ErrorKind::CallerGone
        || timeLeft(call) <= Millis{})
        return false;
    if (failure.m_run == RunState::NotRun)
        return true;
    if (!call.m_work.m_idempotent)
        return false;
    return relay.m_next == 0 || chosen.m_server.m_resumesStreams;
}

} // namespace

asio::awaitable<CallError> runOnReplica(Call &call)
{
    StreamRelay relay;
    Failure last;
    for (int attempts = 0; attempts < maxAttempts; ++attempts) {
        const auto chosen = co_await awaitReplica(call);
        if (!ok(chosen)) {
            last = attempts == 0 || !call.m_responseWriter.m_responseStarted
                ? std::get<Failure>(chosen)
                : last;
            break;
        }
        const ChosenReplica &replica = std::get<ChosenReplica>(chosen);
        CallError error = co_await attempt(call, relay, replica);
        releaseReplica(call, replica, error && error->m_kind != ErrorKind::CallerGone);
        if (!error)
            co_return error;
        last = *error;
        recordFailedAttempt(call, last);
        relay.m_eventSplitter = {};
        logEvent("attempt_failed",
                 {{"request", call.m_id},
                  {"server", replica.m_server.m_name.m_text},
                  {"error", errorResponseFor(last.m_kind).m_name},
                  {"run", toText(last.m_run)},
                  {"tokens", std::to_string(relay.m_next)},
                  {"detail", last.m_detail}});
        if (!mayRetry(call, relay, last, replica) || !consumeRetryToken(*call.m_node))
            break;
    }
    co_return last;
}

} // namespace apricot
