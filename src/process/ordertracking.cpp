// Sends the lease holder's orders, tracks each until it is complete, and broadcasts the new server
// status to the other hosts.
//
// Every order carries the number of orders that the server had accepted when the plan was made. The
// server executes an order only if that number still matches, so an order that arrives late or
// twice can neither exceed the server's memory nor undo a newer order.
//
// Answers to orders and reports have no request id, and a server may send an answer once more,
// late, where the next one on the connection is due. So each order and each series of reports has
// connections of its own.
#include "process/ordertracking.h"
#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis orderTimeout = {900};       // ms for each step of sending an order
constexpr Millis reportTimeout = {700};      // ms to fetch a report
constexpr Millis reportPollInterval = {120}; // ms between reports of a busy server
constexpr Millis orderTimeLimit = {20'000};  // ms; an order that takes longer is no longer tracked
constexpr Millis adapterLoadTime = {14};     // ms to load an adapter
constexpr Millis resendInterval = {50};      // ms between repetitions of the same order
constexpr Millis expectedUnloadTime = {60};  // ms to unload a model without running requests
constexpr Millis unloadTimeLimit = {4'000};  // ms for an unload that waits for running requests
constexpr Millis resendTimeLimit = {2'000};  // ms beyond the expected load time; then use reports

/// An order, and connections that are used only to send and repeat it. A late copy of an answer to
/// the same order does no harm: after 409 or 202 the order is sent again, and 200 stays true.
struct SentOrder
{
    EngineCommand m_command;
    Endpoint m_endpoint;
    HttpPool m_connections;
};

SentOrder makeOrder(Gateway &gateway, EngineCommand command, const Endpoint &endpoint)
{
    return {std::move(command), endpoint, makeConnectionPool(gateway)};
}

/// Finds a tracked server for work that began under the lease with that fencing token. Returns null
/// also if this host has lost that lease since, as the placement state then belongs to another
/// lease.
TrackedServer *findTracked(Gateway &gateway, const InstanceId &id, std::uint64_t fencingToken)
{
    return gateway.m_lease.m_fencingToken == fencingToken ? findTracked(gateway, id) : nullptr;
}

asio::awaitable<Result<ServerStatus>> fetchServerStatus(Gateway &gateway, HttpPool &connections,
                                                        Endpoint endpoint)
{
    HttpRequest request = gateway.m_protocol->makeReportRequest();
    const auto response
        = co_await fetchHttp(connections, endpoint, std::move(request), reportTimeout);
    if (!ok(response))
        co_return std::get<Failure>(response);
    co_return gateway.m_protocol->readReport(std::get<HttpResponse>(response));
}

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
              {"model", adapterKey(command.m_model, command.m_adapter)},
              {"sequence", std::to_string(command.m_sequence)},
              {"fence", std::to_string(gateway.m_lease.m_fencingToken)},
              {"why", command.m_reason},
              {"from_store", command.m_loadsFromStore ? "yes" : "no"},
              {"outcome", toText(outcome)}});
}

/// Sends an order once. The outcome is Refused also if the order was not sent, because no
/// connection could be opened or the lease has expired.
asio::awaitable<CommandOutcome> sendOrder(Gateway &gateway, SentOrder &order)
{
    HttpRequest request = gateway.m_protocol->writeCommand(
        order.m_command, gateway.m_settings.m_host, gateway.m_lease.m_fencingToken);
    auto opened
        = co_await openHttpConnection(order.m_connections, order.m_endpoint, orderTimeout, false);
    // While the connection was opened, the lease may have expired, or this machine may have been
    // suspended.
    if (!ok(opened) || !holdsLease(gateway))
        co_return CommandOutcome::Refused;
    const HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    if (co_await sendRequest(*connection, order.m_endpoint, request, orderTimeout))
        co_return CommandOutcome::Unknown;
    const auto head = co_await readHead(*connection, orderTimeout);
    if (!ok(head)) {
        logEvent("order_unanswered",
                 {{"server", order.m_command.m_server.m_text},
                  {"why", std::get<Failure>(head).m_detail}});
        co_return CommandOutcome::Unknown;
    }
    constexpr std::size_t maxAnswerBytes = 1 << 20;
    auto body = co_await readBody(*connection, orderTimeout, maxAnswerBytes);
    HttpResponse response;
    response.m_head = std::get<HttpHead>(head);
    if (ok(body)) {
        response.m_body = std::get<std::string>(std::move(body));
        releaseHttpConnection(order.m_connections, order.m_endpoint, connection);
    }
    co_return gateway.m_protocol->readCommandReply(response);
}

void dropModel(ServerStatus &status, const ModelName &model)
{
    std::erase_if(status.m_models,
                  [&](const LoadedModel &loaded) { return loaded.m_name == model; });
}

LoadedModel *loadedModel(ServerStatus &status, const ModelName &model)
{
    for (LoadedModel &loaded : status.m_models) {
        if (loaded.m_name == model)
            return &loaded;
    }
    return nullptr;
}

/// Expected duration of an order: the load time of the model, or the poll interval for an unload.
Millis expectedTime(const Gateway &gateway, const EngineCommand &command,
                    const ServerStatus &status, const ServiceName &service)
{
    const EngineLimits *limits = engineOf(*gateway.m_routes, service);
    if (!limits || command.m_kind == CommandKind::Unload)
        return reportPollInterval;
    const auto model = limits->m_models.find(command.m_model);
    return model == limits->m_models.end() ? reportPollInterval : loadTime(model->second, status);
}

/// Updates the known local copies of weights from a report, since a load may evict the copies of
/// other models without an order.
asio::awaitable<void> refreshLocalCopies(Gateway &gateway, InstanceId id, Endpoint endpoint)
{
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    co_await pauseFor(gateway, reportLag);
    HttpPool connections = makeConnectionPool(gateway);
    const auto read = co_await fetchServerStatus(gateway, connections, endpoint);
    TrackedServer *server = findTracked(gateway, id, fencingToken);
    if (!ok(read) || !server)
        co_return;
    const auto &status = std::get<ServerStatus>(read);
    if (status.m_startUnixMs != server->m_serverStatus.m_startUnixMs)
        co_return;
    server->m_serverStatus.m_inMemory = status.m_inMemory;
    server->m_serverStatus.m_onDisk = status.m_onDisk;
}

/// Repeats an order until the server's answer is none of `waitFor`, which detects completion some
/// hundred ms earlier than reports would. Thanks to the sequence number a repetition is never
/// executed as a new order.
asio::awaitable<CommandOutcome> resendOrder(Gateway &gateway, SentOrder &order,
                                            std::set<CommandOutcome> waitFor, Millis atMost)
{
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    const Millis end = now(gateway) + atMost;
    while (holdsLease(gateway) && gateway.m_lease.m_fencingToken == fencingToken
           && now(gateway) < end) {
        const CommandOutcome outcome = co_await sendOrder(gateway, order);
        if (!waitFor.contains(outcome))
            co_return outcome;
        co_await pauseFor(gateway, resendInterval);
    }
    co_return CommandOutcome::Unknown;
}

std::set<CommandOutcome> busyOutcomes()
{
    return {CommandOutcome::Conflict};
}

std::set<CommandOutcome> inProgressOutcomes()
{
    return {CommandOutcome::Conflict, CommandOutcome::Accepted};
}

/// Waits until an accepted load is complete. Returns false if that couldn't be confirmed, so that
/// reports have to be read.
asio::awaitable<bool> awaitLoad(Gateway &gateway, SentOrder &order, Millis expected)
{
    const EngineCommand &command = order.m_command;
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    co_await pauseFor(gateway, expected);
    const CommandOutcome outcome
        = co_await resendOrder(gateway, order, inProgressOutcomes(), resendTimeLimit);
    TrackedServer *server = findTracked(gateway, command.m_server, fencingToken);
    if (outcome != CommandOutcome::Holds || !server)
        co_return false;
    server->m_serverStatus.m_busy = false;
    server->m_serverStatus.m_models.push_back({command.m_model, {}});
    server->m_serverStatus.m_onDisk.insert(command.m_model);
    server->m_confirmedAt = now(gateway);
    server->m_taskRunning = false;
    broadcastStatusUpdate(gateway, command.m_server, server->m_serverStatus);
    begin(gateway, "refresh_local_copies",
          refreshLocalCopies(gateway, command.m_server, order.m_endpoint));
    wake(*gateway.m_planTrigger);
    co_return true;
}

/// Returns the load that an unload makes room for, if no further decision is needed: the model
/// fits, and its weights are on the server's disk. A copy that is only in memory isn't enough, as
/// it may be evicted in favour of the unloaded model; the load would then come from the weight
/// store without being counted against its rate limit.
std::optional<EngineCommand> loadAfterUnload(const Gateway &gateway, const EngineCommand &unload,
                                             const ServerStatus &status, const ServiceName &service)
{
    const EngineLimits *limits = engineOf(*gateway.m_routes, service);
    const bool isSwap
        = unload.m_kind == CommandKind::Unload && !unload.m_makeRoomFor.m_text.empty();
    if (!limits || !isSwap || !fitsModel(*limits, status, unload.m_makeRoomFor)
        || !status.m_onDisk.contains(unload.m_makeRoomFor))
        return std::nullopt;
    EngineCommand load;
    load.m_server = unload.m_server;
    load.m_model = unload.m_makeRoomFor;
    load.m_sequence = status.m_sequence;
    load.m_reason = "room_made";
    return load;
}

/// Marks an adapter as loaded after the time that its load takes, without a confirmation by the
/// server.
asio::awaitable<void> completeAdapterLoad(Gateway &gateway, EngineCommand command)
{
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    co_await pauseFor(gateway, adapterLoadTime);
    TrackedServer *server = findTracked(gateway, command.m_server, fencingToken);
    if (!server)
        co_return;
    const std::string key = adapterKey(command.m_model, command.m_adapter);
    if (server->m_loadingAdapters.erase(key) == 0)
        co_return;
    server->m_serverStatus.m_loadingAdapterCount -= 1;
    if (LoadedModel *loaded = loadedModel(server->m_serverStatus, command.m_model))
        loaded->m_adapters.push_back(command.m_adapter);
    broadcastStatusUpdate(gateway, command.m_server, server->m_serverStatus);
    wake(*gateway.m_planTrigger);
}

/// Updates the known status after the server accepted an order for an adapter.
void recordAdapterOrder(Gateway &gateway, TrackedServer &server, const EngineCommand &command)
{
    server.m_serverStatus.m_sequence += 1;
    server.m_taskRunning = false;
    if (command.m_kind == CommandKind::Load) {
        server.m_loadingAdapters.insert(adapterKey(command.m_model, command.m_adapter));
        server.m_serverStatus.m_loadingAdapterCount += 1;
        begin(gateway, "adapter", completeAdapterLoad(gateway, command));
        return;
    }
    if (LoadedModel *loaded = loadedModel(server.m_serverStatus, command.m_model))
        std::erase(loaded->m_adapters, command.m_adapter);
    broadcastStatusUpdate(gateway, command.m_server, server.m_serverStatus);
}

/// Updates the known status after the server accepted an order for a model.
void recordAcceptedOrder(Gateway &gateway, TrackedServer &server, const EngineCommand &command)
{
    server.m_serverStatus.m_sequence += 1;
    server.m_serverStatus.m_busy = true;
    server.m_pendingSince = now(gateway);
    if (command.m_kind == CommandKind::Unload)
        dropModel(server.m_serverStatus, command.m_model);
    broadcastStatusUpdate(gateway, command.m_server, server.m_serverStatus);
}

/// Orders the load of a swap as soon as the server has completed the unload. Returns true if the
/// load was accepted.
asio::awaitable<bool> startSwapLoad(Gateway &gateway, SentOrder &order)
{
    const EngineCommand &load = order.m_command;
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    co_await pauseFor(gateway, expectedUnloadTime);
    const CommandOutcome outcome
        = co_await resendOrder(gateway, order, busyOutcomes(), unloadTimeLimit);
    logOrder(gateway, load, outcome);
    const bool accepted = outcome == CommandOutcome::Accepted;
    countOrder(gateway.m_metrics, OrderKind::Load, accepted);
    TrackedServer *server = findTracked(gateway, load.m_server, fencingToken);
    if (!server)
        co_return false;
    if (accepted)
        recordAcceptedOrder(gateway, *server, load);
    else
        server->m_sequenceKnown = false; // the load may have been executed, or may still be
    co_return accepted;
}

/// Tracks an accepted order until it is complete; for a swap, that includes the load.
asio::awaitable<void> trackAcceptedOrder(Gateway &gateway, SentOrder order, ServiceName service)
{
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    const InstanceId id = order.m_command.m_server;
    TrackedServer *server = findTracked(gateway, id, fencingToken);
    recordAcceptedOrder(gateway, *server, order.m_command);
    if (auto next = loadAfterUnload(gateway, order.m_command, server->m_serverStatus, service)) {
        SentOrder load = makeOrder(gateway, *std::move(next), order.m_endpoint);
        if (co_await startSwapLoad(gateway, load))
            order = std::move(load);
    }
    server = findTracked(gateway, id, fencingToken);
    if (!server)
        co_return;
    const bool load = order.m_command.m_kind == CommandKind::Load;
    const Millis wait = expectedTime(gateway, order.m_command, server->m_serverStatus, service);
    order.m_command.m_sequence = server->m_serverStatus.m_sequence;
    if (!load || !co_await awaitLoad(gateway, order, wait))
        co_await confirmServerStatus(gateway, id, order.m_endpoint,
                                     load ? Millis{0} : reportPollInterval);
    server = findTracked(gateway, id, fencingToken);
    if (server && load) {
        server->m_pendingModel = {};
        server->m_loadedAt[order.m_command.m_model] = now(gateway);
    }
}

} // namespace

asio::awaitable<void> confirmServerStatus(Gateway &gateway, InstanceId id, Endpoint endpoint,
                                          Millis firstWait)
{
    const Millis began = now(gateway);
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    HttpPool connections = makeConnectionPool(gateway);
    bool warned = false;
    co_await pauseFor(gateway, firstWait);
    while (holdsLease(gateway) && gateway.m_lease.m_fencingToken == fencingToken) {
        const auto read = co_await fetchServerStatus(gateway, connections, endpoint);
        TrackedServer *server = findTracked(gateway, id, fencingToken);
        if (!server)
            co_return;
        if (ok(read)) {
            const auto &status = std::get<ServerStatus>(read);
            if (applyReport(gateway, id, *server, status))
                break;
        }
        if (!ok(read) && !warned) {
            warned = true;
            logWarning("report_failed",
                       {{"server", id.m_text}, {"why", std::get<Failure>(read).m_detail}});
        }
        if (now(gateway) - began > orderTimeLimit) {
            logWarning("order_overdue", {{"server", id.m_text}});
            break;
        }
        co_await pauseFor(gateway, reportPollInterval);
    }
    TrackedServer *server = findTracked(gateway, id, fencingToken);
    if (server)
        server->m_taskRunning = false;
    wake(*gateway.m_planTrigger);
}

asio::awaitable<void> executeOrder(Gateway &gateway, EngineCommand command, BackendServer target)
{
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    SentOrder order = makeOrder(gateway, command, target.m_endpoint);
    const CommandOutcome outcome = co_await sendOrder(gateway, order);
    logOrder(gateway, command, outcome);
    TrackedServer *server = findTracked(gateway, command.m_server, fencingToken);
    if (!server)
        co_return;
    const bool adapter = !command.m_adapter.m_text.empty();
    const bool done = outcome == CommandOutcome::Accepted || outcome == CommandOutcome::Holds;
    countOrder(gateway.m_metrics,
               command.m_kind == CommandKind::Load ? OrderKind::Load : OrderKind::Unload, done);
    if (adapter && done) {
        recordAdapterOrder(gateway, *server, command);
        wake(*gateway.m_planTrigger);
        co_return;
    }
    if (outcome == CommandOutcome::Accepted) {
        co_await trackAcceptedOrder(gateway, std::move(order), target.m_service);
        co_return;
    }
    // The order may have been executed, or the known status is wrong: read a report before the next
    // order.
    server->m_sequenceKnown = false;
    if (!adapter)
        server->m_pendingModel = {};
    if (outcome == CommandOutcome::Fenced)
        loseLease(gateway, "fenced");
    co_await confirmServerStatus(gateway, command.m_server, target.m_endpoint, reportLag);
}

asio::awaitable<void> executeStoreLoad(Gateway &gateway, EngineCommand command,
                                       BackendServer target)
{
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    gateway.m_placement.m_recentStoreLoads.push_back(now(gateway));
    gateway.m_placement.m_storeLoadsRunning += 1;
    co_await executeOrder(gateway, std::move(command), std::move(target));
    if (gateway.m_lease.m_fencingToken == fencingToken)
        gateway.m_placement.m_storeLoadsRunning -= 1;
}

} // namespace apricot
