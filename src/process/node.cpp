// Start and stop of a host, dispatch of peer messages, and accessors of the shared state.
#include "process/node.h"

#include "process/log.h"

#include <boost/asio.hpp>
#include <random>

namespace apricot {

namespace {

constexpr Millis drainPollInterval = {20};
constexpr Millis leaveSpreadTime = {1'500}; // until gossip told all hosts that this one leaves

/// Frees expired tickets. One that is running is kept until its request ends.
void dropExpiredTickets(Node &node)
{
    for (LockedTicketShard &shard : node.m_tickets) {
        const std::lock_guard lock(shard.m_mutex);
        std::erase_if(shard.m_shard.m_entries, [&](const auto &entry) {
            return entry.second.m_state != TicketState::Running
                && entry.second.m_expires < now(node);
        });
    }
}

/// The number of tickets that a caller may still use or whose request is running.
std::size_t openTickets(Node &node)
{
    std::size_t open = 0;
    for (LockedTicketShard &shard : node.m_tickets) {
        const std::lock_guard lock(shard.m_mutex);
        for (const auto &[number, entry] : shard.m_shard.m_entries) {
            if (entry.m_state != TicketState::Ended && entry.m_expires >= now(node))
                ++open;
        }
    }
    return open;
}

asio::awaitable<void> ticketLoop(Node &node)
{
    constexpr Millis period = {1'000};
    while (!node.m_stopped) {
        dropExpiredTickets(node);
        co_await sleepFor(period);
    }
}

/// Answers one message of another host; false closes the connection.
asio::awaitable<bool> answerPeer(Node &node, IoThread &thread, PeerConnectionPtr connection,
                                 wire::FrameT &frame)
{
    constexpr Millis replyTimeout = {5'000};
    if (frame.body.type == wire::Body::ForwardAsk)
        co_return co_await serveForward(node, thread, connection, frame);
    FramePtr reply;
    if (const auto *snapshotRequest = frame.body.AsSnapshotAsk()) {
        reply = makeFrame(answerSnapshot(node, *snapshotRequest));
    } else if (const auto *documentRequest = frame.body.AsDocumentAsk()) {
        reply = makeFrame(answerDocument(node, *documentRequest));
    } else if (const auto *replicaRequest = frame.body.AsWantAsk()) {
        auto answer = co_await answerReplicaRequest(node, thread, *replicaRequest);
        reply = makeFrame(std::move(answer));
    } else if (const auto *outcomeRequest = frame.body.AsFateAsk()) {
        reply = makeFrame(answerOutcomeRequest(node, *outcomeRequest));
    } else if (const auto *handOver = frame.body.AsHandOver()) {
        asio::io_context &io = node.m_threads.front()->m_io;
        spawn(io, takeCell(node, {handOver->cell}, true));
        reply = makeFrame(wire::DoneT{});
    } else {
        co_return false;
    }
    reply->id = frame.id;
    co_return co_await sendFrame(*connection, *reply, replyTimeout);
}

/// The I/O thread that an executor belongs to.
IoThread &threadOf(Node &node, const asio::any_io_executor &executor)
{
    for (const auto &thread : node.m_threads) {
        if (&asio::query(executor, asio::execution::context)
            == static_cast<asio::execution_context *>(&thread->m_io))
            return *thread;
    }
    return *node.m_threads.front();
}

/// Response to a malformed HTTP request. No handler sees such a request, so it wasn't run.
HttpResponse malformedRequestResponse(const Failure &failure)
{
    const ErrorResponse &row = errorResponseFor(failure.m_kind);
    HttpResponse response;
    response.m_head = {row.m_status, {{"Content-Type", "application/json"}}};
    response.m_body = std::string(R"({"error":")") + row.m_name + R"(","run":"not-run"})" + "\n";
    return response;
}

std::vector<asio::io_context *> contextsOf(Node &node)
{
    std::vector<asio::io_context *> contexts;
    for (const auto &thread : node.m_threads)
        contexts.push_back(&thread->m_io);
    return contexts;
}

std::optional<Failure> listenAll(Node &node)
{
    const auto contexts = contextsOf(node);
    HttpServerOptions options;
    options.m_bodyLimit = node.m_settings.m_bodyLimit;
    options.m_makeErrorResponse = malformedRequestResponse;
    auto callers = listenHttp(
        contexts, node.m_settings.m_caller,
        [&node](HttpExchange &exchange) -> asio::awaitable<void> {
            const auto executor = co_await asio::this_coro::executor;
            co_await serveCaller(node, threadOf(node, executor), exchange);
        },
        options);
    if (!ok(callers))
        return std::get<Failure>(callers);
    node.m_callers = std::get<std::shared_ptr<TcpListener>>(callers);
    auto admin = listenHttp(
        {contexts.front()}, node.m_settings.m_admin,
        [&node](HttpExchange &exchange) { return serveAdmin(node, exchange); }, options);
    if (!ok(admin))
        return std::get<Failure>(admin);
    node.m_admin = std::get<std::shared_ptr<TcpListener>>(admin);
    auto peers = listenPeers(
        contexts, node.m_settings.m_peer,
        [&node](PeerConnectionPtr connection, wire::FrameT &frame) -> asio::awaitable<bool> {
            const auto executor = co_await asio::this_coro::executor;
            co_return co_await answerPeer(node, threadOf(node, executor), connection, frame);
        });
    if (!ok(peers))
        return std::get<Failure>(peers);
    node.m_peers = std::get<std::shared_ptr<TcpListener>>(peers);
    return {};
}

} // namespace

void wake(const WaiterPtr &waiter)
{
    if (waiter->m_woken.exchange(true))
        return;
    asio::post(waiter->m_timer.get_executor(), [waiter] { waiter->m_timer.cancel(); });
}

asio::awaitable<bool> waitFor(WaiterPtr waiter, Millis time)
{
    if (!waiter->m_woken) {
        waiter->m_timer.expires_after(std::chrono::milliseconds(time.m_count));
        co_await waiter->m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return waiter->m_woken;
}

void spawn(asio::io_context &io, asio::awaitable<void> work)
{
    asio::post(io, [&io, work = std::move(work)]() mutable {
        asio::co_spawn(io, std::move(work), [](const std::exception_ptr &error) {
            try {
                if (error)
                    std::rethrow_exception(error);
            } catch (const std::exception &thrown) {
                logWarning("coroutine_failed", {{"detail", thrown.what()}});
            }
        });
    });
}

asio::awaitable<void> sleepFor(Millis time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(time.m_count));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::unique_ptr<Node> makeNode(const Settings &settings, std::uint64_t wallClockMs)
{
    constexpr std::uint64_t randomBits = 20; // tell apart processes started in the same ms
    auto node = std::make_unique<Node>();
    node->m_settings = settings;
    node->m_incarnation.m_value
        = (wallClockMs << randomBits) | (randomId() & ((1ULL << randomBits) - 1));
    node->m_metrics = makeMetrics();
    for (int i = 0; i < settings.m_threads; ++i) {
        auto thread = std::make_unique<IoThread>();
        thread->m_http.m_io = &thread->m_io;
        thread->m_peers.m_io = &thread->m_io;
        node->m_threads.push_back(std::move(thread));
    }
    Member self;
    self.m_host = settings.m_host;
    self.m_incarnation = node->m_incarnation;
    self.m_dataCentre = settings.m_dataCentre;
    self.m_caller = settings.m_caller;
    self.m_peer = settings.m_peer;
    node->m_members.m_membership = makeMembership(self, randomId());
    return node;
}

std::optional<Failure> startNode(Node &node)
{
    auto failure = listenAll(node);
    if (failure)
        return failure;
    asio::io_context &io = node.m_threads.front()->m_io;
    spawn(io, runGossip(node));
    spawn(io, runWatch(node, DocumentKind::Configuration));
    spawn(io, runWatch(node, DocumentKind::MachineList));
    spawn(io, runCatchUp(node));
    spawn(io, runCells(node));
    spawn(io, ticketLoop(node));
    logEvent("started",
             {{"incarnation", toHex(node.m_incarnation.m_value)},
              {"callers", toText(node.m_settings.m_caller)},
              {"peers", toText(node.m_settings.m_peer)},
              {"admin", toText(node.m_settings.m_admin)}});
    return {};
}

asio::awaitable<void> drainNode(Node &node)
{
    node.m_stopping = true;
    const Millis began = now(node);
    logEvent("stopping",
             {{"in_flight", std::to_string(node.m_inFlight)},
              {"open_tickets", std::to_string(openTickets(node))}});
    {
        const std::lock_guard lock(node.m_members.m_mutex);
        Membership &membership = node.m_members.m_membership;
        const Member own = membership.m_members.at(membership.m_self);
        updateSelf(membership, {true, own.m_configNumber, own.m_listNumber});
    }
    co_await handOverCells(node);
    while (now(node) - began < node.m_settings.m_drainTimeout) {
        // Other hosts name this one to callers until the gossip update reaches them, and callers
        // keep an address answer for m_addressLifetime after that.
        const bool addressesExpired
            = now(node) - began >= node.m_settings.m_addressLifetime + leaveSpreadTime;
        if (addressesExpired && node.m_inFlight == 0 && openTickets(node) == 0)
            break;
        co_await sleepFor(drainPollInterval);
    }
    logEvent("stopped",
             {{"in_flight", std::to_string(node.m_inFlight)},
              {"ms", std::to_string((now(node) - began).m_count)}});
}

void stopNode(Node &node)
{
    node.m_stopped = true;
    for (const auto &thread : node.m_threads)
        thread->m_io.stop();
}

Millis now(const Node &node)
{
    return now(node.m_clock);
}

std::shared_ptr<const Configuration> configurationOf(Node &node)
{
    const std::lock_guard lock(node.m_published.m_mutex);
    return node.m_published.m_configuration;
}

MachineList machinesOf(Node &node)
{
    const std::lock_guard lock(node.m_published.m_mutex);
    return node.m_published.m_machines;
}

std::vector<Member> liveMembersOf(Node &node)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    return liveMembers(node.m_members.m_membership);
}

std::optional<Member> memberOf(Node &node, const HostName &host)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    const auto &members = node.m_members.m_membership.m_members;
    const auto found = members.find(host);
    if (found == members.end())
        return {};
    return found->second;
}

std::size_t shardOf(std::string_view key)
{
    return stableHash(key) % shardCount;
}

std::uint64_t randomId()
{
    thread_local std::mt19937_64 random(std::random_device{}());
    return random();
}

} // namespace apricot
