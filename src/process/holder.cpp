// What the lease holder does: plan, order, follow each order to its end, tell the others.
//
// Every order carries the number of orders that the server had accepted when the plan was made.
// The server carries it out only if that still holds, so an order that comes late, or twice, can't
// overfill a server or undo a newer one.
#include "process/gatewaystate.h"
#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis orderTimeout = {900};
constexpr Millis reportTimeout = {700};
constexpr Millis planPause = {12};        // between plans
constexpr Millis planPeriod = {400};      // without a reason to plan earlier
constexpr Millis followPause = {120};     // between reports of a server that is busy
constexpr Millis reportLag = {250};       // a report may be so old
constexpr Millis followLimit = {20'000};  // an order that takes longer is given up
constexpr Millis adapterTime = {14};      // a load of an adapter
constexpr Millis usesFresh = {1'500};     // what hosts told longer ago doesn't count
constexpr Millis repeatPause = {50};      // between two repeats of an order
constexpr Millis unloadTime = {60};       // of a model without requests, about
constexpr Millis unloadLimit = {4'000};   // an unload that waits longer for its requests
constexpr Millis repeatLimit = {2'000};   // longer than expected: reports have to tell
constexpr Millis freshFor = {700};        // hosts have told of its first requests by then
constexpr Millis pendingLimit = {10'000}; // room made for a model is kept for it so long
constexpr Millis storeWindow = {5'000};   // of the weight store's rate
constexpr double storeShare = 0.8;        // of the weight store's rate
constexpr int storeLoadsAtOnce = 4;

std::string keyOf(const ModelName &model, const AdapterName &adapter)
{
    return model.m_text + "/" + adapter.m_text;
}

// --- following servers ---

FollowedServer *followed(Gateway &gateway, const InstanceId &id)
{
    const auto found = gateway.m_placement.m_servers.find(id);
    return found == gateway.m_placement.m_servers.end() ? nullptr : &found->second;
}

/// The same, for work that began under that lease; null if the lease is gone, too.
FollowedServer *followed(Gateway &gateway, const InstanceId &id, std::uint64_t fence)
{
    return gateway.m_lease.m_fence == fence ? followed(gateway, id) : nullptr;
}

asio::awaitable<Result<ServerWord>> fetchWord(Gateway &gateway, Endpoint endpoint)
{
    HttpRequest request = gateway.m_protocol->askReport();
    const auto response
        = co_await fetchHttp(gateway.m_servers, endpoint, std::move(request), reportTimeout);
    if (!ok(response))
        co_return std::get<Failure>(response);
    co_return gateway.m_protocol->readReport(std::get<HttpResponse>(response));
}

/// Reads reports until one is as new as what we know and says that no order runs.
asio::awaitable<void> settleServer(Gateway &gateway, InstanceId id, Endpoint endpoint,
                                   Millis firstWait)
{
    const Millis began = now(gateway);
    const std::uint64_t fence = gateway.m_lease.m_fence;
    bool complained = false;
    co_await pauseFor(gateway, firstWait);
    while (holdsLease(gateway) && gateway.m_lease.m_fence == fence) {
        const auto read = co_await fetchWord(gateway, endpoint);
        FollowedServer *server = followed(gateway, id, fence);
        if (!server)
            co_return;
        if (ok(read)) {
            const auto &word = std::get<ServerWord>(read);
            const bool restarted = word.m_born != server->m_word.m_born;
            const bool current = restarted || word.m_sequence >= server->m_word.m_sequence;
            if (current && !word.m_busy) {
                server->m_word = word;
                server->m_sequenceKnown = true;
                server->m_settledAt = now(gateway);
                server->m_coming.clear();
                if (restarted)
                    server->m_pending = {};
                announce(gateway, id, word);
                break;
            }
        }
        if (!ok(read) && !complained) {
            complained = true;
            logWarning("report_failed",
                       {{"server", id.m_text}, {"why", std::get<Failure>(read).m_detail}});
        }
        if (now(gateway) - began > followLimit) {
            logWarning("order_overdue", {{"server", id.m_text}});
            break;
        }
        co_await pauseFor(gateway, followPause);
    }
    FollowedServer *server = followed(gateway, id, fence);
    if (server)
        server->m_inHand = false;
    wake(*gateway.m_planNow);
}

// --- orders ---

const char *toText(CommandOutcome outcome)
{
    switch (outcome) {
    case CommandOutcome::Accepted:
        return "accepted";
    case CommandOutcome::Holds:
        return "holds";
    case CommandOutcome::Conflict:
        return "conflict";
    case CommandOutcome::Fenced:
        return "fenced";
    case CommandOutcome::Refused:
        return "refused";
    case CommandOutcome::Elsewhere:
        return "elsewhere";
    case CommandOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

void logOrder(const Gateway &gateway, const EngineCommand &command, CommandOutcome outcome)
{
    logEvent("order",
             {{"server", command.m_server.m_text},
              {"do", command.m_kind == CommandKind::Load ? "load" : "unload"},
              {"model", keyOf(command.m_model, command.m_adapter)},
              {"sequence", std::to_string(command.m_sequence)},
              {"fence", std::to_string(gateway.m_lease.m_fence)},
              {"why", command.m_reason},
              {"from_store", command.m_fromStore ? "yes" : "no"},
              {"outcome", toText(outcome)}});
}

asio::awaitable<CommandOutcome> sendCommand(Gateway &gateway, const EngineCommand &command,
                                            Endpoint endpoint)
{
    HttpRequest request = gateway.m_protocol->writeCommand(command, gateway.m_settings.m_host,
                                                           gateway.m_lease.m_fence);
    auto opened = co_await openHttp(gateway.m_servers, endpoint, orderTimeout, false);
    // The lease may have run out, or this host may have slept, while the connection was made.
    if (!ok(opened) || !holdsLease(gateway))
        co_return CommandOutcome::Refused;
    const HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    if (co_await sendRequest(*connection, endpoint, request, orderTimeout))
        co_return CommandOutcome::Unknown;
    const auto head = co_await readHead(*connection, orderTimeout);
    if (!ok(head))
        co_return CommandOutcome::Unknown;
    constexpr std::size_t answerLimit = 1 << 20; // bytes
    auto body = co_await readBody(*connection, orderTimeout, answerLimit);
    HttpResponse response;
    response.m_head = std::get<HttpHead>(head);
    if (ok(body)) {
        response.m_body = std::get<std::string>(std::move(body));
        releaseHttp(gateway.m_servers, endpoint, connection);
    }
    co_return gateway.m_protocol->readCommandReply(response);
}

void dropModel(ServerWord &word, const ModelName &model)
{
    std::erase_if(word.m_models, [&](const LoadedModel &loaded) { return loaded.m_name == model; });
}

LoadedModel *loadedModel(ServerWord &word, const ModelName &model)
{
    for (LoadedModel &loaded : word.m_models) {
        if (loaded.m_name == model)
            return &loaded;
    }
    return nullptr;
}

Millis expectedTime(const Gateway &gateway, const EngineCommand &command, const ServerWord &word,
                    const ServiceName &service)
{
    const EngineLimits *limits = engineOf(*gateway.m_routes, service);
    if (!limits || command.m_kind == CommandKind::Unload)
        return followPause;
    const auto model = limits->m_models.find(command.m_model);
    return model == limits->m_models.end() ? followPause : loadTime(model->second, word);
}

/// What a report says of the copies at hand; they change without an order, by eviction.
asio::awaitable<void> refreshCopies(Gateway &gateway, InstanceId id, Endpoint endpoint)
{
    const std::uint64_t fence = gateway.m_lease.m_fence;
    co_await pauseFor(gateway, reportLag);
    const auto read = co_await fetchWord(gateway, endpoint);
    FollowedServer *server = followed(gateway, id, fence);
    if (!ok(read) || !server)
        co_return;
    const auto &word = std::get<ServerWord>(read);
    if (word.m_born != server->m_word.m_born)
        co_return;
    server->m_word.m_inMemory = word.m_inMemory;
    server->m_word.m_onDisk = word.m_onDisk;
}

/// Gives an order again and again until the server's answer is none of `waitFor`. Reports would
/// tell some hundred ms later. The sequence number keeps a repeat from being a new order.
asio::awaitable<CommandOutcome> repeatCommand(Gateway &gateway, EngineCommand command,
                                              Endpoint endpoint, std::set<CommandOutcome> waitFor,
                                              Millis atMost)
{
    const std::uint64_t fence = gateway.m_lease.m_fence;
    const Millis end = now(gateway) + atMost;
    while (holdsLease(gateway) && gateway.m_lease.m_fence == fence && now(gateway) < end) {
        const CommandOutcome outcome = co_await sendCommand(gateway, command, endpoint);
        if (!waitFor.contains(outcome))
            co_return outcome;
        co_await pauseFor(gateway, repeatPause);
    }
    co_return CommandOutcome::Unknown;
}

std::set<CommandOutcome> busyAnswers()
{
    return {CommandOutcome::Conflict};
}

std::set<CommandOutcome> underWayAnswers()
{
    return {CommandOutcome::Conflict, CommandOutcome::Accepted};
}

/// The load was accepted: waits until the model is there. False: a report has to tell.
asio::awaitable<bool> awaitLoad(Gateway &gateway, EngineCommand command, Endpoint endpoint,
                                Millis expected)
{
    const std::uint64_t fence = gateway.m_lease.m_fence;
    co_await pauseFor(gateway, expected);
    const CommandOutcome outcome
        = co_await repeatCommand(gateway, command, endpoint, underWayAnswers(), repeatLimit);
    FollowedServer *server = followed(gateway, command.m_server, fence);
    if (outcome != CommandOutcome::Holds || !server)
        co_return false;
    server->m_word.m_busy = false;
    server->m_word.m_models.push_back({command.m_model, {}});
    server->m_word.m_onDisk.insert(command.m_model);
    server->m_settledAt = now(gateway);
    server->m_inHand = false;
    announce(gateway, command.m_server, server->m_word);
    begin(gateway, "copies", refreshCopies(gateway, command.m_server, endpoint));
    wake(*gateway.m_planNow);
    co_return true;
}

/// The load that an unload made room for, if nothing else has to be decided first: there is room,
/// and the weights are on the disk. A copy in memory only may give way to the unloaded model, and
/// the load would come from the weight store uncounted.
std::optional<EngineCommand> nextOfSwap(const Gateway &gateway, const EngineCommand &unload,
                                        const ServerWord &word, const ServiceName &service)
{
    const EngineLimits *limits = engineOf(*gateway.m_routes, service);
    const bool isSwap = unload.m_kind == CommandKind::Unload && !unload.m_purpose.m_text.empty();
    if (!limits || !isSwap || !fitsModel(*limits, word, unload.m_purpose)
        || !word.m_onDisk.contains(unload.m_purpose))
        return std::nullopt;
    EngineCommand load;
    load.m_server = unload.m_server;
    load.m_model = unload.m_purpose;
    load.m_sequence = word.m_sequence;
    load.m_reason = "room_made";
    return load;
}

/// An adapter was loaded: it can be used after a moment.
asio::awaitable<void> finishAdapter(Gateway &gateway, EngineCommand command)
{
    const std::uint64_t fence = gateway.m_lease.m_fence;
    co_await pauseFor(gateway, adapterTime);
    FollowedServer *server = followed(gateway, command.m_server, fence);
    if (!server)
        co_return;
    const std::string key = keyOf(command.m_model, command.m_adapter);
    if (server->m_coming.erase(key) == 0)
        co_return;
    server->m_word.m_comingAdapters -= 1;
    if (LoadedModel *loaded = loadedModel(server->m_word, command.m_model))
        loaded->m_adapters.push_back(command.m_adapter);
    announce(gateway, command.m_server, server->m_word);
    wake(*gateway.m_planNow);
}

void adapterOrdered(Gateway &gateway, FollowedServer &server, const EngineCommand &command)
{
    server.m_word.m_sequence += 1;
    server.m_inHand = false;
    if (command.m_kind == CommandKind::Load) {
        server.m_coming.insert(keyOf(command.m_model, command.m_adapter));
        server.m_word.m_comingAdapters += 1;
        begin(gateway, "adapter", finishAdapter(gateway, command));
        return;
    }
    if (LoadedModel *loaded = loadedModel(server.m_word, command.m_model))
        std::erase(loaded->m_adapters, command.m_adapter);
    announce(gateway, command.m_server, server.m_word);
}

/// An order that is being carried out changes what is known of the server.
void noteAccepted(Gateway &gateway, FollowedServer &server, const EngineCommand &command)
{
    server.m_word.m_sequence += 1;
    server.m_word.m_busy = true;
    server.m_pendingSince = now(gateway);
    if (command.m_kind == CommandKind::Unload)
        dropModel(server.m_word, command.m_model);
    announce(gateway, command.m_server, server.m_word);
}

/// Gives the load of a swap as soon as the server is done with the unload; true if it was accepted.
asio::awaitable<bool> beginSwapLoad(Gateway &gateway, EngineCommand load, Endpoint endpoint)
{
    const std::uint64_t fence = gateway.m_lease.m_fence;
    co_await pauseFor(gateway, unloadTime);
    const CommandOutcome outcome
        = co_await repeatCommand(gateway, load, endpoint, busyAnswers(), unloadLimit);
    logOrder(gateway, load, outcome);
    const bool accepted = outcome == CommandOutcome::Accepted;
    countOrder(gateway.m_metrics, OrderKind::Load, accepted);
    FollowedServer *server = followed(gateway, load.m_server, fence);
    if (!server)
        co_return false;
    if (accepted)
        noteAccepted(gateway, *server, load);
    else
        server->m_sequenceKnown = false; // it may have been carried out, or come late
    co_return accepted;
}

/// Follows an order that was accepted to its end, and a swap through its load.
asio::awaitable<void> followAccepted(Gateway &gateway, EngineCommand command, BackendServer target)
{
    const std::uint64_t fence = gateway.m_lease.m_fence;
    const Endpoint endpoint = target.m_endpoint;
    FollowedServer *server = followed(gateway, command.m_server, fence);
    noteAccepted(gateway, *server, command);
    const auto next = nextOfSwap(gateway, command, server->m_word, target.m_service);
    if (next && co_await beginSwapLoad(gateway, *next, endpoint))
        command = *next;
    server = followed(gateway, command.m_server, fence);
    if (!server)
        co_return;
    const bool load = command.m_kind == CommandKind::Load;
    const Millis wait = expectedTime(gateway, command, server->m_word, target.m_service);
    command.m_sequence = server->m_word.m_sequence;
    if (!load || !co_await awaitLoad(gateway, command, endpoint, wait))
        co_await settleServer(gateway, command.m_server, endpoint, load ? Millis{0} : followPause);
    server = followed(gateway, command.m_server, fence);
    if (server && load) {
        server->m_pending = {};
        server->m_loadedAt[command.m_model] = now(gateway);
    }
}

/// Sends one order and follows it until the server can take the next.
asio::awaitable<void> carryOut(Gateway &gateway, EngineCommand command, BackendServer target)
{
    const std::uint64_t fence = gateway.m_lease.m_fence;
    const Endpoint endpoint = target.m_endpoint;
    const CommandOutcome outcome = co_await sendCommand(gateway, command, endpoint);
    logOrder(gateway, command, outcome);
    FollowedServer *server = followed(gateway, command.m_server, fence);
    if (!server)
        co_return;
    const bool adapter = !command.m_adapter.m_text.empty();
    const bool done = outcome == CommandOutcome::Accepted || outcome == CommandOutcome::Holds;
    countOrder(gateway.m_metrics,
               command.m_kind == CommandKind::Load ? OrderKind::Load : OrderKind::Unload, done);
    if (adapter && done) {
        adapterOrdered(gateway, *server, command);
        wake(*gateway.m_planNow);
        co_return;
    }
    if (outcome == CommandOutcome::Accepted) {
        co_await followAccepted(gateway, command, target);
        co_return;
    }
    server->m_sequenceKnown = false;
    if (!adapter)
        server->m_pending = {};
    if (outcome == CommandOutcome::Fenced)
        loseLease(gateway, "fenced");
    co_await settleServer(gateway, command.m_server, endpoint, reportLag);
}

asio::awaitable<void> carryOutStoreLoad(Gateway &gateway, EngineCommand command,
                                        BackendServer target)
{
    const std::uint64_t fence = gateway.m_lease.m_fence;
    gateway.m_placement.m_storeLoads.push_back(now(gateway));
    gateway.m_placement.m_storeLoadsRunning += 1;
    co_await carryOut(gateway, std::move(command), std::move(target));
    if (gateway.m_lease.m_fence == fence)
        gateway.m_placement.m_storeLoadsRunning -= 1;
}

// --- planning ---

void addDemand(std::map<WantKey, ModelDemand> &all, const WantKey &key, const ModelDemand &demand)
{
    ModelDemand &sum = all[key];
    sum.m_model = key.m_model;
    sum.m_adapter = key.m_adapter;
    addDemand(sum, demand);
}

std::map<WantKey, ModelDemand> allDemands(const Gateway &gateway)
{
    std::map<WantKey, ModelDemand> all;
    const Millis time = now(gateway);
    for (const auto &[key, want] : gateway.m_wants)
        addDemand(all, key, demandOf(key, want, time));
    for (const auto &[host, peer] : gateway.m_peers) {
        if (time - peer.m_usesHeard >= usesFresh)
            continue;
        for (const auto &[key, demand] : peer.m_wants)
            addDemand(all, key, demand);
    }
    // Callers of an adapter need its model too.
    std::map<WantKey, ModelDemand> models;
    for (const auto &[key, demand] : all) {
        if (!key.m_adapter.m_text.empty())
            addDemand(models, {key.m_service, key.m_model, {}}, demand);
    }
    for (const auto &[key, demand] : models)
        addDemand(all, key, demand);
    return all;
}

std::map<ModelName, int> runningAt(const Gateway &gateway, const KnownServer &known)
{
    std::map<ModelName, int> running = known.m_running;
    const Millis time = now(gateway);
    for (const auto &[host, peer] : gateway.m_peers) {
        if (time - peer.m_usesHeard >= usesFresh)
            continue;
        for (const auto &[use, count] : peer.m_uses) {
            if (use.first == known.m_server.m_id)
                running[use.second] += count;
        }
    }
    return running;
}

std::set<ModelName> modelNames(const ServerWord &word)
{
    std::set<ModelName> names;
    for (const LoadedModel &loaded : word.m_models)
        names.insert(loaded.m_name);
    return names;
}

/// Whether the server's entry shows models that no order of ours explains: an order that an earlier
/// holder sent, or one that came late, was carried out.
bool changedByOthers(const FollowedServer &server, const KnownServer &known)
{
    const bool fresh = known.m_entryHeard > server.m_settledAt + reportLag;
    return fresh && modelNames(server.m_word) != modelNames(known.m_server.m_word);
}

/// Follows the servers of the list: new ones are asked for a report first.
void updateFollowed(Gateway &gateway, const ServiceName &service)
{
    auto &servers = gateway.m_placement.m_servers;
    for (auto &[id, known] : gateway.m_roster.m_servers) {
        if (known.m_server.m_service != service)
            continue;
        FollowedServer &server = servers[id];
        const bool restarted = server.m_word.m_born != known.m_server.m_word.m_born;
        if (restarted && !server.m_inHand) {
            server = FollowedServer();
            server.m_word.m_born = known.m_server.m_word.m_born;
        }
        if (!server.m_inHand && changedByOthers(server, known))
            server.m_sequenceKnown = false;
        if (!server.m_sequenceKnown && !server.m_inHand) {
            server.m_inHand = true;
            begin(gateway, "report", settleServer(gateway, id, known.m_server.m_endpoint, {0}));
        }
        if (now(gateway) - server.m_pendingSince > pendingLimit && !server.m_inHand)
            server.m_pending = {};
        std::erase_if(server.m_loadedAt,
                      [&](const auto &loaded) { return now(gateway) - loaded.second >= freshFor; });
    }
    std::erase_if(servers, [&](const auto &entry) {
        return !gateway.m_roster.m_servers.contains(entry.first);
    });
}

PlacementInput planInput(Gateway &gateway, const RoutedService &service,
                         const std::map<WantKey, ModelDemand> &demands)
{
    PlacementInput input;
    input.m_limits = &*service.m_engine;
    HolderState &state = gateway.m_placement;
    const Millis time = now(gateway);
    while (!state.m_storeLoads.empty() && time - state.m_storeLoads.front() > storeWindow)
        state.m_storeLoads.pop_front();
    const double allowed = storeShare * input.m_limits->m_loadsPerSecond
        * static_cast<double>(storeWindow.m_count) / 1000;
    input.m_storeLoadDue = state.m_storeLoadsRunning < storeLoadsAtOnce
        && static_cast<double>(state.m_storeLoads.size()) + 1 <= allowed;
    for (const auto &[id, known] : gateway.m_roster.m_servers) {
        if (known.m_server.m_service != service.m_name)
            continue;
        const FollowedServer &server = state.m_servers[id];
        PlanServer plan;
        plan.m_id = id;
        plan.m_word = server.m_word;
        plan.m_usable = !server.m_inHand && !known.m_server.m_leaving && !known.m_missing
            && time >= known.m_avoidUntil;
        plan.m_sequenceKnown = server.m_sequenceKnown;
        plan.m_pending = server.m_pending;
        for (const auto &[model, loadedAt] : server.m_loadedAt) {
            if (time - loadedAt < freshFor)
                plan.m_fresh.insert(model);
        }
        plan.m_running = runningAt(gateway, known);
        for (const std::string &coming : server.m_coming)
            input.m_comingAdapters.insert(id.m_text + " " + coming);
        input.m_servers.push_back(std::move(plan));
    }
    for (const auto &[key, demand] : demands) {
        if (key.m_service == service.m_name)
            input.m_demands.push_back(demand);
    }
    return input;
}

void planOnce(Gateway &gateway)
{
    const auto demands = allDemands(gateway);
    const auto routes = gateway.m_routes;
    for (const auto &[name, service] : routes->m_services) {
        if (!service.m_engine)
            continue;
        updateFollowed(gateway, name);
        const PlacementInput input = planInput(gateway, service, demands);
        for (const EngineCommand &command : planPlacement(input)) {
            const auto known = gateway.m_roster.m_servers.find(command.m_server);
            FollowedServer *server = followed(gateway, command.m_server);
            if (known == gateway.m_roster.m_servers.end() || !server)
                continue;
            server->m_inHand = true;
            if (command.m_adapter.m_text.empty())
                server->m_pending
                    = command.m_kind == CommandKind::Load ? command.m_model : command.m_purpose;
            auto work = command.m_fromStore
                ? carryOutStoreLoad(gateway, command, known->second.m_server)
                : carryOut(gateway, command, known->second.m_server);
            begin(gateway, "order", std::move(work));
        }
    }
}

} // namespace

asio::awaitable<void> runPlacement(Gateway &gateway)
{
    while (true) {
        co_await sleepUntilWoken(*gateway.m_planNow, planPeriod);
        co_await pauseFor(gateway, planPause);
        if (holdsLease(gateway) && gateway.m_routes)
            planOnce(gateway);
    }
}

} // namespace apricot
