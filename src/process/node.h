// The shared state of one apricotd process, and the functions that start and stop it.
//
// The state is split into shards, each with its own lock, and no lock is held across I/O. Each
// I/O thread runs its own io_context. A connection, and the calls that are made on its behalf,
// stay on the thread that accepted it.
#pragma once

#include "apricot.h"
#include "connection/http.h"
#include "connection/peer.h"
#include "process/metrics.h"

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <set>

namespace apricot {

/// The io_context of one I/O thread, and the connection pools that only this thread uses.
struct IoThread
{
    asio::io_context m_io{1};
    HttpPool m_http;
    PeerPool m_peers;
};

/// A coroutine that waits until any thread wakes it or its time runs out.
struct Waiter
{
    explicit Waiter(asio::io_context &io) : m_timer(io) { }

    asio::steady_timer m_timer;
    std::atomic<bool> m_woken = false;
};
using WaiterPtr = std::shared_ptr<Waiter>;

/// May be called from any thread. Calls after the first have no effect.
void wake(const WaiterPtr &waiter);

/// Must run on the io_context that the waiter was made with. False if the time ran out first.
asio::awaitable<bool> waitFor(WaiterPtr waiter, Millis time);

/// Starts a coroutine on an io_context. It never runs inside this call, so the caller may hold a
/// lock. An exception that leaves the coroutine is logged.
void spawn(asio::io_context &io, asio::awaitable<void> work);

/// Suspends the calling coroutine; its thread goes on with other work.
asio::awaitable<void> sleepFor(Millis time);

// --- published documents ---

enum class DocumentKind : std::uint8_t { Configuration, MachineList };

/// The documents in force on this host, and their texts to pass on to other hosts.
struct PublishedState
{
    std::mutex m_mutex;
    std::shared_ptr<const Configuration> m_configuration; // null until one was received
    std::string m_configurationText;                      // as stored on the platform
    MachineList m_machines;
    std::string m_machinesText;
};

// --- membership ---

struct MembershipState
{
    std::mutex m_mutex;
    Membership m_membership;
};

// --- orders sent by this process ---

/// How far an order got. NeverSent: not sent, and never will be. Decided: in the cell's record on
/// the platform and about to be sent. Broken: sent at least in part, but no answer came, so the
/// engine may or may not have carried it out.
enum class OrderProgress : std::uint8_t { NeverSent, Decided, Sent, Answered, Broken };

struct OrderState
{
    OrderProgress m_progress = OrderProgress::NeverSent;
    ReportedState m_reportedState = ReportedState::Nothing; // valid if Answered
    Millis m_brokenAt;                                      // valid if Broken
};

/// Invariant: an order is sent only after its entry became Sent, and an entry that is NeverSent
/// stays so. A new owner of a cell relies on it: an order that this host reports as never sent
/// can't reach an engine later.
struct OrderTable
{
    std::mutex m_mutex;
    std::map<std::uint64_t, OrderState> m_orders;
    std::uint64_t m_next = 1; // number of the next order
};

// --- cells owned by this host ---

/// A model, or one of its adapters, that requests ask for.
struct DemandKey
{
    ModelName m_model;
    AdapterName m_adapter; // empty: the model itself

    auto operator<=>(const DemandKey &) const = default;
};

/// The demand for one model that one home last reported.
struct HomeDemand
{
    Demand m_demand;
    Millis m_receivedAt; // time of the home's last report
};

/// How many requests one home last reported as running on a slot.
struct HomeUse
{
    int m_active = 0;    // requests
    Millis m_receivedAt; // time of the home's last report
};

/// A model or adapter that an engine's report lists as loaded or loading.
struct EngineEntry
{
    ModelName m_model;
    AdapterName m_adapter;
    int m_version = 1;
    bool m_ready = false;
    int m_running = 0; // requests as of the engine's report, which lags behind
};

/// What the owner of a cell knows of one engine.
struct EngineView
{
    ServerReport m_report;
    std::vector<EngineEntry> m_entries;
    Millis m_requestedAt;      // when the report was requested
    Epoch m_knownFencingToken; // largest that the engine acknowledged
};

/// Outcome of an order, as far as its sender or its engine has reported it.
struct OrderOutcome
{
    bool m_resolved = false; // false: the order may still reach its engine
    ReportedState m_reportedState = ReportedState::Nothing; // valid if m_resolved
};

/// A cell that this host owns or owned.
struct OwnedCell
{
    std::mutex m_mutex;
    CellName m_cell;
    bool m_owned = false;       // false: another host took it, or this host gave it up
    bool m_handingOver = false; // true: no new loads or unloads are planned
    CellRecord m_record;
    std::uint64_t m_version = 0; // of the platform's object that m_record is based on
    bool m_unwritten = false;    // resolved orders in m_record aren't stored on the platform yet
    Millis m_unwrittenSince;
    std::map<DemandKey, std::map<HostName, HomeDemand>> m_demands;
    std::map<DemandKey, Refusal> m_refusals; // demands that recent plans couldn't meet
    std::map<DemandKey, Millis> m_refusedAt;
    std::map<ServerName, EngineView> m_engines;
    std::map<std::uint64_t, std::map<std::string, HomeUse>> m_active; // by slot, by HOME/ADAPTER
    std::map<std::uint64_t, Millis> m_loadStartedAt;                  // by slot
    Millis m_idleCountedUntil;                   // idle time is in the metrics up to here
    std::map<std::uint64_t, Millis> m_lastUsed;  // by slot
    std::map<std::uint64_t, Millis> m_changedAt; // by slot; reports requested before it are ignored
    std::set<std::uint64_t> m_stopping; // slots about to be unloaded, which get no new requests
    std::vector<FailedLoad> m_failures;
    std::map<OrderId, OrderOutcome> m_orderOutcomes; // of earlier owners' orders
    std::map<Incarnation, Millis> m_senderGoneSince; // earlier owners whose process has ended
    int m_loadsInFlight = 0;                         // model loads ordered and not finished
    double m_loadTokens = 1; // token bucket: loads that the store's rate allows now
    Millis m_tokensUpdatedAt;
    bool m_platformUnavailable = false; // the last write of m_record did not complete
    std::vector<WaiterPtr> m_waiters;   // replica requests of homes that wait for an answer
    WaiterPtr m_planWaiter;             // wakes the planning loop; null: it isn't waiting
};

/// All cells that this host owns or owned.
struct OwnedCells
{
    std::mutex m_mutex;
    std::map<CellName, std::shared_ptr<OwnedCell>> m_cells;
    std::map<CellName, Millis> m_ownerlessSince; // cells that no live host owns
};

// --- models, as the router of this host knows them ---

/// A loaded replica of a model, as the cell's owner reported it.
struct ReplicaEntry
{
    ServerName m_server;
    std::uint64_t m_slot = 0;
    int m_running = 0; // requests as of the engine's report, which lags behind
    std::vector<AdapterName> m_adapters;
    int m_sentSinceUpdate = 0; // requests sent by this host since the owner's last answer
};

/// A request that waits for a replica.
struct ModelWaiter
{
    WaiterPtr m_waiter;
    Urgency m_urgency = Urgency::Normal;
    Millis m_deadline;
    std::optional<Failure> m_failure; // set: the request is refused
};
using ModelWaiterPtr = std::shared_ptr<ModelWaiter>;

/// Replicas of one model or adapter, and the requests of this host that need it.
struct ModelState
{
    std::vector<ReplicaEntry> m_replicas;
    Millis m_receivedAt; // when the owner last answered; zero: m_replicas is out of date
    bool m_ownerEverAnswered = false;
    Millis m_ownerUnavailableSince; // since when the owner hasn't answered; zero: it answers
    std::vector<ModelWaiterPtr> m_waiters;
    bool m_pollingOwner = false;           // a coroutine sends replica requests to the owner
    std::map<std::uint64_t, int> m_active; // own requests by slot; 0: ended since last poll
};

constexpr std::size_t shardCount = 16;

struct ModelShard
{
    std::mutex m_mutex;
    std::map<DemandKey, ModelState> m_models;
};

/// Token bucket that limits retries to a tenth of the requests, plus a few, so that retries don't
/// multiply the load during an outage.
struct RetryBudget
{
    std::mutex m_mutex;
    double m_tokens = 10;
};

struct LockedTicketShard
{
    std::mutex m_mutex;
    TicketShard m_shard;
};

/// The whole state of one host.
struct Node
{
    Settings m_settings;
    Clock m_clock;
    Incarnation m_incarnation;
    Metrics m_metrics;
    std::vector<std::unique_ptr<IoThread>> m_threads;
    PublishedState m_published;
    MembershipState m_members;
    OrderTable m_orders;
    OwnedCells m_cells;
    std::array<ModelShard, shardCount> m_models;
    std::array<LockedTicketShard, shardCount> m_tickets;
    RetryBudget m_retries;
    std::atomic<std::uint64_t> m_nextTicket = 1;
    std::atomic<std::uint64_t> m_nextRequest = 1;
    std::atomic<int> m_inFlight = 0;          // requests being handled
    std::atomic<bool> m_stopping = false;     // the host drains and is in no new address answer
    std::atomic<bool> m_stopped = false;      // all loops end
    std::atomic<bool> m_bootstrapped = false; // a seed answered, none is configured, or 3 s passed
    std::shared_ptr<TcpListener> m_callers;   // HTTP requests
    std::shared_ptr<TcpListener> m_admin;     // metrics, health, readiness, status
    std::shared_ptr<TcpListener> m_peers;     // frames of other hosts
};

/// A node that isn't listening yet. Its incarnation begins with the wall-clock time, so that a
/// restarted process gets a larger one.
std::unique_ptr<Node> makeNode(const Settings &settings, std::uint64_t wallClockMs);

/// Opens the listeners and starts all loops on the node's io_contexts. The caller then runs each
/// io_context on a thread of its own. Fails if an address is in use.
std::optional<Failure> startNode(Node &node);

/// A planned stop: takes this host out of address answers and hands its cells over. Then waits, up
/// to the drain timeout, until callers no longer use its address, no request is in flight and no
/// ticket that it issued is open. Completes when the process may exit.
asio::awaitable<void> drainNode(Node &node);

/// Ends all loops and stops the io_contexts. May be called from any thread.
void stopNode(Node &node);

Millis now(const Node &node);
std::shared_ptr<const Configuration> configurationOf(Node &node);
MachineList machinesOf(Node &node);
std::vector<Member> liveMembersOf(Node &node);
std::optional<Member> memberOf(Node &node, const HostName &host);
std::size_t shardOf(std::string_view key);
std::uint64_t randomId();

// --- loops and handlers, by the file that defines them ---

/// gossip.cpp: probes, gossip updates, snapshots.
asio::awaitable<void> runGossip(Node &node);
wire::MemberEntryT packMember(const Member &member);
Member unpackMember(const wire::MemberEntryT &entry);
wire::SnapshotTellT answerSnapshot(Node &node, const wire::SnapshotAskT &request);

/// distribute.cpp: watches on the platform, and documents fetched from other hosts.
asio::awaitable<void> runWatch(Node &node, DocumentKind kind);
asio::awaitable<void> runCatchUp(Node &node);
wire::DocumentTellT answerDocument(Node &node, const wire::DocumentAskT &request);

/// celltakeover.cpp, cellask.cpp, orders.cpp: ownership of cells, a home's request for replicas,
/// and an earlier owner's report on its orders. celldriver.h gives an overview. With `handedOver`,
/// takeCell() takes the cell although its owner is alive, since that owner is leaving.
asio::awaitable<void> runCells(Node &node);
asio::awaitable<wire::WantTellT> answerReplicaRequest(Node &node, IoThread &thread,
                                                      const wire::WantAskT &request);
wire::FateTellT answerOutcomeRequest(Node &node, const wire::FateAskT &request);
asio::awaitable<void> takeCell(Node &node, CellName cell, bool handedOver);
asio::awaitable<void> handOverCells(Node &node);

/// serve.cpp: callers' requests, which come from the caller itself or forwarded by another host.
/// serveForward() returns false if the peer connection must be closed.
asio::awaitable<void> serveCaller(Node &node, IoThread &thread, HttpExchange &exchange);
asio::awaitable<bool> serveForward(Node &node, IoThread &thread, PeerConnectionPtr connection,
                                   wire::FrameT &frame);

/// admin.cpp: metrics, health, readiness, status.
asio::awaitable<void> serveAdmin(Node &node, HttpExchange &exchange);

} // namespace apricot
