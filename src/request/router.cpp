// Calls to models: wait for a replica, choose one, relay its stream, and try again where nothing
// is lost by it.
#include "process/engineclient.h"
#include "request/call.h"

#include "process/log.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace apricot {

namespace {

constexpr Millis connectTimeout = {500};
constexpr Millis placementFresh = {1'000}; // then the owner is asked again in the background
constexpr Millis placementLife = {5'000};  // then it is asked first, if it answers at all
constexpr Millis askWait = {400};          // the owner holds an ask this long for news
constexpr Millis askTimeout = {2'000};
constexpr Millis askPause = {100};         // after an owner gave no answer
constexpr Millis ownerlessLimit = {6'000}; // then waiting callers are refused
constexpr Millis comeBackOwnerless = {2'000};
constexpr Millis comeBackRefused = {1'000};
constexpr int mostAttempts = 4;

DemandKey keyOf(const Call &call)
{
    return {call.m_model, call.m_adapter};
}

ModelShard &shardFor(Node &node, const DemandKey &key)
{
    return node.m_models.at(shardOf(key.m_model.m_text));
}

// --- asking the cell's owner ---

std::optional<CellClaim> claimOf(Node &node, const CellName &cell)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    const auto &claims = node.m_members.m_membership.m_claims;
    const auto found = claims.find(cell);
    if (found == claims.end())
        return {};
    return found->second;
}

Failure ownerSilent(std::string detail)
{
    return makeFailure(ErrorKind::NotReady, std::move(detail), comeBackOwnerless);
}

asio::awaitable<Result<wire::WantTellT>> askOwner(Node &node, IoThread &thread, wire::WantAskT ask)
{
    const auto claim = claimOf(node, {ask.cell});
    if (!claim)
        co_return ownerSilent("the cell has no owner yet");
    if (claim->m_owner == node.m_incarnation)
        co_return co_await answerWant(node, thread, ask);
    const auto owner = memberOf(node, claim->m_host);
    const bool answers
        = owner && owner->m_incarnation == claim->m_owner && owner->m_liveness != Liveness::Dead;
    if (!answers)
        co_return ownerSilent("the cell's owner is gone");
    auto answer
        = co_await callPeer(thread.m_peers, owner->m_peer, makeFrame(std::move(ask)), askTimeout);
    if (!ok(answer))
        co_return ownerSilent(std::get<Failure>(answer).m_detail);
    const auto *tell = std::get<FramePtr>(answer)->body.AsWantTell();
    if (!tell)
        co_return ownerSilent("it gave another answer");
    co_return wire::WantTellT(*tell);
}

/// Without an owner: what the servers of the cell say themselves.
asio::awaitable<std::vector<ReplicaEntry>> askServers(Node &node, IoThread &thread, DemandKey key)
{
    std::vector<ReplicaEntry> replicas;
    const auto configuration = configurationOf(node);
    const CellName cell = cellOfModel(*configuration, key.m_model);
    for (const ServerSpec &server : configuration->m_servers) {
        if (server.m_cell != cell)
            continue;
        HttpRequest request;
        request.m_target = "/report";
        const auto view = co_await fetchReport(thread.m_http, server, now(node), connectTimeout);
        if (!view)
            continue;
        ReplicaEntry replica;
        replica.m_server = server.m_name;
        bool loaded = false;
        for (const EngineEntry &entry : view->m_entries) {
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

// --- what this host knows of a model ---

bool serves(const ReplicaEntry &replica, const AdapterName &adapter)
{
    if (adapter.m_text.empty())
        return true;
    return std::count(replica.m_adapters.begin(), replica.m_adapters.end(), adapter) > 0;
}

bool anyServes(const ModelState &state, const AdapterName &adapter)
{
    return std::any_of(state.m_replicas.begin(), state.m_replicas.end(),
                       [&](const ReplicaEntry &replica) { return serves(replica, adapter); });
}

void wakeAll(ModelState &state)
{
    for (const ModelWaiterPtr &waiter : state.m_waiters)
        wake(waiter->m_waiter);
    state.m_waiters.clear();
}

void refuseAll(ModelState &state, const Failure &failure)
{
    for (const ModelWaiterPtr &waiter : state.m_waiters)
        waiter->m_failure = failure;
    wakeAll(state);
}

/// Refuses at once whoever can't be served in time.
void refuseHopeless(ModelState &state, Millis readyIn, Millis time)
{
    const auto hopeless = [&](const ModelWaiterPtr &waiter) {
        if (waiter->m_deadline >= time + readyIn)
            return false;
        waiter->m_failure
            = makeFailure(ErrorKind::DeadlineUnmeetable,
                          "ready in " + std::to_string(readyIn.m_count) + " ms", readyIn);
        wake(waiter->m_waiter);
        return true;
    };
    std::erase_if(state.m_waiters, hopeless);
}

std::vector<ReplicaEntry> readReplicas(const wire::WantTellT &tell)
{
    std::vector<ReplicaEntry> replicas;
    for (const auto &entry : tell.replicas) {
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

void ownerAnswered(Node &node, const DemandKey &key, const wire::WantTellT &tell)
{
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[key];
    state.m_replicas = readReplicas(tell);
    state.m_heard = now(node);
    state.m_everHeard = true;
    state.m_silentSince = {};
    if (anyServes(state, key.m_adapter)) {
        wakeAll(state);
        return;
    }
    const auto kind = static_cast<ErrorKind>(tell.error);
    if (kind != ErrorKind::None)
        refuseAll(state, makeFailure(kind, tell.detail, {tell.retry_after_ms}));
    else
        refuseHopeless(state, {tell.ready_in_ms}, now(node));
}

void ownerWasSilent(Node &node, const DemandKey &key, std::vector<ReplicaEntry> found)
{
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[key];
    if (state.m_silentSince == Millis{})
        state.m_silentSince = now(node);
    if (!found.empty())
        state.m_replicas = std::move(found);
    if (anyServes(state, key.m_adapter))
        wakeAll(state);
    else if (now(node) - state.m_silentSince >= ownerlessLimit)
        refuseAll(state,
                  makeFailure(ErrorKind::PlatformUnavailable, "nobody can decide on a load",
                              comeBackOwnerless));
}

wire::WantAskT makeAsk(Node &node, const DemandKey &key)
{
    const auto configuration = configurationOf(node);
    wire::WantAskT ask;
    ask.cell = cellOfModel(*configuration, key.m_model).m_text;
    ask.host = node.m_settings.m_host.m_text;
    ask.model = key.m_model.m_text;
    ask.adapter = key.m_adapter.m_text;
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[key];
    ask.waiting = static_cast<int>(state.m_waiters.size());
    auto urgency = Urgency::CanWait;
    Millis last = now(node);
    for (const ModelWaiterPtr &waiter : state.m_waiters) {
        urgency = std::min(urgency, waiter->m_urgency);
        last = std::max(last, waiter->m_deadline);
    }
    ask.urgency = static_cast<std::uint8_t>(urgency);
    ask.left_ms = (last - now(node)).m_count;
    ask.wait_ms = ask.waiting > 0 ? askWait.m_count : 0;
    for (const auto &[slot, active] : state.m_active) {
        auto use = std::make_unique<wire::SlotUseEntryT>();
        use->slot = slot;
        use->active = active;
        ask.uses.push_back(std::move(use));
    }
    // Told once: a slot whose last request has ended is named this time and not again.
    std::erase_if(state.m_active, [](const auto &entry) { return entry.second <= 0; });
    return ask;
}

/// True if somebody still waits or has something running; else the pursuit is over.
bool goOn(Node &node, const DemandKey &key)
{
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[key];
    if (!state.m_waiters.empty() || !state.m_active.empty())
        return true;
    state.m_pursued = false;
    return false;
}

bool someoneWaits(Node &node, const DemandKey &key)
{
    ModelShard &shard = shardFor(node, key);
    const std::lock_guard lock(shard.m_mutex);
    return !shard.m_models[key].m_waiters.empty();
}

/// Asks the owner until nobody waits and nothing runs here: it learns of demand and use by it.
asio::awaitable<void> pursue(Node &node, IoThread &thread, DemandKey key)
{
    do {
        wire::WantAskT ask = makeAsk(node, key);
        const auto answer = co_await askOwner(node, thread, std::move(ask));
        const bool told = ok(answer)
            && static_cast<ErrorKind>(std::get<wire::WantTellT>(answer).error)
                != ErrorKind::NotReady;
        if (told) {
            ownerAnswered(node, key, std::get<wire::WantTellT>(answer));
        } else {
            auto found = co_await askServers(node, thread, key);
            ownerWasSilent(node, key, std::move(found));
            co_await sleepFor(askPause);
        }
        for (Millis slept; slept < placementFresh && !someoneWaits(node, key);
             slept = slept + askPause)
            co_await sleepFor(askPause);
    } while (!node.m_stopped && goOn(node, key));
}

// --- one call ---

struct Chosen
{
    ServerSpec m_server;
    std::uint64_t m_slot = 0;
};

RouteChoice chooseIn(const Call &call, const ModelState &state)
{
    const MachineList machines = machinesOf(*call.m_node);
    std::vector<ReplicaView> views;
    for (const ReplicaEntry &replica : state.m_replicas) {
        const ServerSpec *server = findServer(*call.m_configuration, replica.m_server);
        ReplicaView view;
        view.m_server = replica.m_server;
        view.m_slot = replica.m_slot;
        view.m_reportedRunning = replica.m_running;
        view.m_sentSince = replica.m_sentSince;
        view.m_adapterLoaded = serves(replica, call.m_adapter);
        view.m_sameDataCentre
            = server && server->m_dataCentre == call.m_node->m_settings.m_dataCentre;
        view.m_leaving = isLeaving(server, machines) || !serves(replica, call.m_adapter);
        views.push_back(view);
    }
    return chooseReplica(views);
}

/// A replica known here and fresh enough, counted as sent to.
std::optional<Chosen> chooseNow(Call &call, ModelState &state)
{
    const bool known = state.m_everHeard || !state.m_replicas.empty();
    const bool stale = now(*call.m_node) - state.m_heard > placementLife;
    const bool ownerAnswers = state.m_silentSince == Millis{};
    if (!known || (stale && ownerAnswers))
        return {};
    const RouteChoice choice = chooseIn(call, state);
    if (choice.m_index < 0)
        return {};
    ReplicaEntry &replica = state.m_replicas[static_cast<std::size_t>(choice.m_index)];
    ++replica.m_sentSince;
    ++state.m_active[replica.m_slot];
    logEvent("route",
             {{"request", call.m_id},
              {"model", call.m_model.m_text},
              {"adapter", call.m_adapter.m_text},
              {"server", replica.m_server.m_text},
              {"scores", choice.m_scores}});
    return Chosen{*findServer(*call.m_configuration, replica.m_server), replica.m_slot};
}

void startPursuit(Call &call, ModelState &state)
{
    if (state.m_pursued)
        return;
    state.m_pursued = true;
    spawn(call.m_thread->m_io, pursue(*call.m_node, *call.m_thread, keyOf(call)));
}

/// Chooses at once, or joins the queue; a failure if the call isn't let in.
struct Entry
{
    std::optional<Chosen> m_chosen;
    ModelWaiterPtr m_waiter;
    CallEnd m_refused;
};

Entry enter(Call &call)
{
    Node &node = *call.m_node;
    ModelShard &shard = shardFor(node, keyOf(call));
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[keyOf(call)];
    Entry entry;
    entry.m_chosen = chooseNow(call, state);
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
    startPursuit(call, state);
    return entry;
}

void leaveQueue(Call &call, const ModelWaiterPtr &waiter)
{
    ModelShard &shard = shardFor(*call.m_node, keyOf(call));
    const std::lock_guard lock(shard.m_mutex);
    std::erase(shard.m_models[keyOf(call)].m_waiters, waiter);
}

asio::awaitable<Result<Chosen>> awaitReplica(Call &call)
{
    const Millis began = now(*call.m_node);
    while (true) {
        Entry entry = enter(call);
        if (entry.m_chosen) {
            observe(call.m_node->m_metrics, Span::Queue, now(*call.m_node) - began);
            co_return *entry.m_chosen;
        }
        if (entry.m_refused)
            co_return *entry.m_refused;
        const ModelWaiterPtr waiter = entry.m_waiter;
        call.m_onCallerGone = [waiter] { wake(waiter->m_waiter); };
        const bool woken = co_await waitFor(waiter->m_waiter, leftOf(call));
        call.m_onCallerGone = nullptr;
        leaveQueue(call, waiter);
        if (call.m_callerGone)
            co_return makeFailure(ErrorKind::CallerGone, "", RunState::NotRun);
        if (waiter->m_failure)
            co_return *waiter->m_failure;
        if (!woken)
            co_return makeFailure(ErrorKind::DeadlinePassed, "no replica came up in time",
                                  RunState::NotRun, comeBackRefused);
    }
}

void release(Call &call, const Chosen &chosen, bool forget)
{
    ModelShard &shard = shardFor(*call.m_node, keyOf(call));
    const std::lock_guard lock(shard.m_mutex);
    ModelState &state = shard.m_models[keyOf(call)];
    --state.m_active[chosen.m_slot];
    if (!forget)
        return;
    std::erase_if(state.m_replicas, [&](const ReplicaEntry &replica) {
        return replica.m_server == chosen.m_server.m_name;
    });
    state.m_heard = {};
}

/// How far the stream to the caller has come.
struct Relay
{
    EventCutter m_cutter;
    int m_next = 0; // index of the next token
    bool m_done = false;
    Millis m_lastPiece;
};

HttpRequest makeRequest(const Call &call, const Relay &relay)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/generate";
    request.m_fields = {{"Request-Id", call.m_id},
                        {"Model", call.m_model.m_text},
                        {"Adapter", call.m_adapter.m_text},
                        {"Deadline-Ms", std::to_string(leftOf(call).m_count)}};
    if (relay.m_next > 0)
        request.m_fields.push_back({"Resume-From", std::to_string(relay.m_next)});
    request.m_body = call.m_request.m_body;
    return request;
}

void timePiece(const Call &call, Relay &relay)
{
    Metrics &metrics = call.m_node->m_metrics;
    const Millis time = now(*call.m_node);
    if (relay.m_next == 0)
        observe(metrics, Span::FirstToken, time - call.m_began);
    else
        observe(metrics, Span::BetweenTokens, time - relay.m_lastPiece);
    relay.m_lastPiece = time;
}

/// Checks each event to be the next of this request's, and passes it on.
asio::awaitable<CallEnd> passEvents(Call &call, Relay &relay, std::string_view bytes)
{
    std::string out;
    for (const StreamEvent &event : cutEvents(relay.m_cutter, bytes)) {
        if (event.m_request != call.m_id)
            co_return makeFailure(ErrorKind::CrossedAnswer, "in the stream");
        if (event.m_kind == "token" && event.m_index != relay.m_next)
            co_return makeFailure(ErrorKind::BackendBroken, "a token is missing");
        timePiece(call, relay);
        if (event.m_kind == "token")
            ++relay.m_next;
        relay.m_done = relay.m_done || event.m_kind == "done";
        out += event.m_text;
    }
    if (!out.empty() && !co_await call.m_answer.m_write(out))
        co_return makeFailure(ErrorKind::CallerGone, "");
    co_return std::nullopt;
}

HttpHead streamHead(const Call &call, const HttpHead &theirs)
{
    HttpHead ours;
    ours.m_fields = {{"Content-Type", fieldOf(theirs.m_fields, "Content-Type")},
                     {"Request-Id", call.m_id},
                     {"Served-By", call.m_node->m_settings.m_host.m_text}};
    return ours;
}

asio::awaitable<CallEnd> beginAnswer(Call &call, const HttpHead &theirs)
{
    if (call.m_answer.m_begun)
        co_return std::nullopt;
    const HttpHead ours = streamHead(call, theirs);
    call.m_answer.m_begun = true;
    call.m_status = theirs.m_status;
    if (!co_await call.m_answer.m_begin(ours))
        co_return makeFailure(ErrorKind::CallerGone, "");
    co_return std::nullopt;
}

asio::awaitable<CallEnd> relayBody(Call &call, Relay &relay, HttpConnection &connection)
{
    while (true) {
        const auto bytes = co_await readSome(connection, leftOf(call));
        if (call.m_callerGone)
            co_return makeFailure(ErrorKind::CallerGone, "");
        if (!ok(bytes))
            co_return std::get<Failure>(bytes);
        const std::string &text = std::get<std::string>(bytes);
        if (text.empty())
            break;
        CallEnd end = co_await passEvents(call, relay, text);
        if (end)
            co_return end;
    }
    if (!relay.m_done)
        co_return makeFailure(ErrorKind::BackendBroken, "the stream ended early");
    call.m_run = RunState::Ran;
    if (!co_await call.m_answer.m_end())
        co_return makeFailure(ErrorKind::CallerGone, "");
    co_return std::nullopt;
}

asio::awaitable<CallEnd> relayAnswer(Call &call, Relay &relay, HttpConnection &connection)
{
    const auto head = co_await readHead(connection, leftOf(call));
    if (call.m_callerGone)
        co_return makeFailure(ErrorKind::CallerGone, "");
    if (!ok(head))
        co_return std::get<Failure>(head);
    const HttpHead &theirs = std::get<HttpHead>(head);
    if (fieldOf(theirs.m_fields, "Request-Id") != call.m_id)
        co_return makeFailure(ErrorKind::CrossedAnswer, "in the head");
    constexpr unsigned statusOk = 200;
    if (theirs.m_status != statusOk) {
        const bool unrun = fieldOf(theirs.m_fields, "Run-State") == "not-run";
        co_return makeFailure(ErrorKind::BackendRefused,
                              "status " + std::to_string(theirs.m_status),
                              unrun ? RunState::NotRun : RunState::Unknown, comeBackRefused);
    }
    CallEnd end = co_await beginAnswer(call, theirs);
    if (end)
        co_return end;
    co_return co_await relayBody(call, relay, connection);
}

/// One attempt. Writing its first byte is the point of no return for what may not be repeated.
asio::awaitable<CallEnd> attempt(Call &call, Relay &relay, const Chosen &chosen)
{
    HttpPool &pool = call.m_thread->m_http;
    const Endpoint engine = chosen.m_server.m_endpoint;
    const auto opened = co_await openHttp(pool, engine, connectTimeout, !call.m_work.m_idempotent);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    if (call.m_callerGone)
        co_return makeFailure(ErrorKind::CallerGone, "", RunState::NotRun);
    call.m_onCallerGone = [connection] { closeHttp(*connection); };
    CallEnd end = co_await sendRequest(*connection, engine, makeRequest(call, relay), leftOf(call));
    if (!end)
        end = co_await relayAnswer(call, relay, *connection);
    call.m_onCallerGone = nullptr;
    if (end)
        closeHttp(*connection);
    else
        releaseHttp(pool, engine, std::move(connection));
    co_return end;
}

/// Whether another attempt loses and repeats nothing that may not be.
bool mayTryAgain(const Call &call, const Relay &relay, const Failure &failure, const Chosen &chosen)
{
    if (call.m_callerGone || failure.m_kind == ErrorKind::CallerGone || leftOf(call) <= Millis{})
        return false;
    if (failure.m_run == RunState::NotRun)
        return true;
    if (!call.m_work.m_idempotent)
        return false;
    return relay.m_next == 0 || chosen.m_server.m_resumes;
}

} // namespace

asio::awaitable<CallEnd> runOnModel(Call &call)
{
    Relay relay;
    Failure last;
    for (int tries = 0; tries < mostAttempts; ++tries) {
        const auto chosen = co_await awaitReplica(call);
        if (!ok(chosen)) {
            last = tries == 0 || !call.m_answer.m_begun ? std::get<Failure>(chosen) : last;
            break;
        }
        const Chosen &replica = std::get<Chosen>(chosen);
        CallEnd end = co_await attempt(call, relay, replica);
        release(call, replica, end && end->m_kind != ErrorKind::CallerGone);
        if (!end)
            co_return end;
        last = *end;
        noteAttempt(call, last);
        relay.m_cutter = {};
        logEvent("attempt_failed",
                 {{"request", call.m_id},
                  {"server", replica.m_server.m_name.m_text},
                  {"error", answerFor(last.m_kind).m_name},
                  {"run", toText(last.m_run)},
                  {"tokens", std::to_string(relay.m_next)},
                  {"detail", last.m_detail}});
        if (!mayTryAgain(call, relay, last, replica) || !takeRetry(*call.m_node))
            break;
    }
    co_return last;
}

} // namespace apricot
