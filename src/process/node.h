// One host's running state, and how it starts and stops.
//
// State is in shards, each under its own lock, and no lock is held across I/O. I/O threads run
// one io_context each; a connection, and what it asks of others, stays on the thread that
// accepted it.
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

struct IoThread
{
    asio::io_context m_io{1};
    HttpPool m_http;
    PeerPool m_peers;
};

/// A coroutine waiting to be woken, maybe from another thread.
struct Waiter
{
    explicit Waiter(asio::io_context &io) : m_timer(io) { }

    asio::steady_timer m_timer;
    std::atomic<bool> m_woken = false;
};
using WaiterPtr = std::shared_ptr<Waiter>;

/// Any thread; at most the first call counts.
void wake(const WaiterPtr &waiter);

/// On the waiter's own thread; false if the time ran out first.
asio::awaitable<bool> waitFor(WaiterPtr waiter, Millis time);

/// Starts a coroutine on an io_context, never inside the call: the caller may hold a lock. What it
/// throws is logged.
void spawn(asio::io_context &io, asio::awaitable<void> work);

/// Sleeps on the current thread.
asio::awaitable<void> sleepFor(Millis time);

// --- what is published ---

enum class DocumentKind : std::uint8_t { Configuration, MachineList };

struct PublishedState
{
    std::mutex m_mutex;
    std::shared_ptr<const Configuration> m_configuration; // null until the first is known
    std::string m_configurationText;                      // as the platform holds it
    MachineList m_machines;
    std::string m_machinesText;
};

// --- membership ---

struct MembershipState
{
    std::mutex m_mutex;
    Membership m_membership;
};

// --- orders sent by this run ---

enum class OrderProgress : std::uint8_t { NeverSent, Decided, Sent, Answered, Broken };

struct OrderState
{
    OrderProgress m_progress = OrderProgress::NeverSent;
    EngineSays m_says = EngineSays::Nothing; // valid if Answered
    Millis m_brokenAt;                       // valid if Broken
};

/// Invariant: an order goes out only after its entry became Sent, and an entry that is NeverSent
/// stays so: that is what a new owner is promised when it asks.
struct OrderTable
{
    std::mutex m_mutex;
    std::map<std::uint64_t, OrderState> m_orders;
    std::uint64_t m_next = 1;
};

// --- cells owned by this host ---

struct DemandKey
{
    ModelName m_model;
    AdapterName m_adapter;

    auto operator<=>(const DemandKey &) const = default;
};

/// What one home last said of one model.
struct HomeDemand
{
    Demand m_demand;
    Millis m_heard;
};

/// What one home last said it has running on a slot.
struct HomeUse
{
    int m_active = 0; // requests
    Millis m_heard;
};

/// An engine's report as it came, with what it says is loaded.
struct EngineEntry
{
    ModelName m_model;
    AdapterName m_adapter;
    int m_version = 1;
    bool m_ready = false;
    int m_running = 0; // lags
};

struct EngineView
{
    ServerReport m_report;
    std::vector<EngineEntry> m_entries;
    Millis m_asked;   // when the report was asked for
    Epoch m_fencedAt; // largest fence the engine is known to hold
};

/// What became of an earlier owner's order.
struct ForeignFate
{
    bool m_resolved = false;
    EngineSays m_says = EngineSays::Nothing;
};

struct OwnedCell
{
    std::mutex m_mutex;
    CellName m_cell;
    bool m_owned = false;       // false: another host took it, or we left it
    bool m_handingOver = false; // no new decisions
    CellRecord m_record;
    std::uint64_t m_version = 0; // of the platform's object that m_record equals or extends
    bool m_unwritten = false;    // m_record has resolutions that the platform lacks
    Millis m_unwrittenSince;
    std::map<DemandKey, std::map<HostName, HomeDemand>> m_demands;
    std::map<DemandKey, Refusal> m_refusals;
    std::map<DemandKey, Millis> m_refusedAt;
    std::map<ServerName, EngineView> m_engines;
    std::map<std::uint64_t, std::map<std::string, HomeUse>> m_active; // by slot, by home
    std::map<std::uint64_t, Millis> m_loadBegan;                      // by slot
    Millis m_idleCounted;                        // up to when idle time was added
    std::map<std::uint64_t, Millis> m_lastUsed;  // by slot
    std::map<std::uint64_t, Millis> m_changedAt; // by slot: older reports don't settle it
    std::set<std::uint64_t> m_stopping;          // slots about to be unloaded: no new work
    std::vector<FailedLoad> m_failures;
    std::map<OrderId, ForeignFate> m_fates;
    std::map<Incarnation, Millis> m_goneSince; // earlier senders whose run is over
    int m_loadsInFlight = 0;
    double m_loadTokens = 1;
    Millis m_tokensAt;
    bool m_platformAway = false;
    std::vector<WaiterPtr> m_waiters; // homes' asks
    WaiterPtr m_loop;                 // the planning loop, while it waits
};

struct OwnedCells
{
    std::mutex m_mutex;
    std::map<CellName, std::shared_ptr<OwnedCell>> m_cells;
    std::map<CellName, Millis> m_ownerlessSince;
};

// --- models, as a router sees them ---

struct ReplicaEntry
{
    ServerName m_server;
    std::uint64_t m_slot = 0;
    int m_running = 0;
    std::vector<AdapterName> m_adapters;
    int m_sentSince = 0; // by this host, since the last answer of the owner
};

struct ModelWaiter
{
    WaiterPtr m_waiter;
    Urgency m_urgency = Urgency::Normal;
    Millis m_deadline;
    std::optional<Failure> m_failure; // set: refused
};
using ModelWaiterPtr = std::shared_ptr<ModelWaiter>;

struct ModelState
{
    std::vector<ReplicaEntry> m_replicas;
    Millis m_heard; // when the owner last answered
    bool m_everHeard = false;
    Millis m_silentSince; // the owner didn't answer since; zero: it does
    std::vector<ModelWaiterPtr> m_waiters;
    bool m_pursued = false;                // a coroutine is asking the owner
    std::map<std::uint64_t, int> m_active; // our requests, by slot; 0: used since the last ask
};

constexpr std::size_t shardCount = 16;

struct ModelShard
{
    std::mutex m_mutex;
    std::map<DemandKey, ModelState> m_models;
};

/// Retries may be a tenth of the requests, and a few more.
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

/// Everything of one host.
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
    std::atomic<int> m_inFlight = 0;        // requests being answered
    std::atomic<bool> m_stopping = false;   // leaving: in no new address answer
    std::atomic<bool> m_stopped = false;    // loops end
    std::atomic<bool> m_seedsHeard = false; // a seed answered, or there is none
    std::shared_ptr<TcpListener> m_callers;
    std::shared_ptr<TcpListener> m_admin;
    std::shared_ptr<TcpListener> m_peers;
};

/// A node that is not yet listening. Incarnations grow with wall-clock time.
std::unique_ptr<Node> makeNode(const Settings &settings, std::uint64_t wallClockMs);

/// Listens and begins all loops on the node's io_contexts, which the caller then runs, one thread
/// each. Failure if an address is taken.
std::optional<Failure> startNode(Node &node);

/// A planned stop: leaves the address answers, hands cells over, waits for requests in flight and
/// for the tickets it issued. Completes when the process may exit.
asio::awaitable<void> drainNode(Node &node);

/// Any thread: ends the loops and the io_contexts' work.
void stopNode(Node &node);

Millis now(const Node &node);
std::shared_ptr<const Configuration> configurationOf(Node &node);
MachineList machinesOf(Node &node);
std::vector<Member> liveMembersOf(Node &node);
std::optional<Member> memberOf(Node &node, const HostName &host);
std::size_t shardOf(std::string_view key);
std::uint64_t randomId();

// --- loops and handlers, each in the file of its name ---

/// gossip.cpp: probes, rumours, snapshots.
asio::awaitable<void> runGossip(Node &node);
wire::MemberEntryT packMember(const Member &member);
Member unpackMember(const wire::MemberEntryT &entry);
wire::SnapshotTellT answerSnapshot(Node &node, const wire::SnapshotAskT &ask);

/// distribute.cpp: watches of the platform, and documents from peers.
asio::awaitable<void> runWatch(Node &node, DocumentKind kind);
asio::awaitable<void> runCatchUp(Node &node);
wire::DocumentTellT answerDocument(Node &node, const wire::DocumentAskT &ask);

/// celltakeover.cpp, cellask.cpp, orders.cpp: see celldriver.h.
asio::awaitable<void> runCells(Node &node);
asio::awaitable<wire::WantTellT> answerWant(Node &node, IoThread &thread,
                                            const wire::WantAskT &ask);
wire::FateTellT answerFate(Node &node, const wire::FateAskT &ask);
asio::awaitable<void> takeCell(Node &node, CellName cell, bool handedOver);
asio::awaitable<void> handOverCells(Node &node);

/// serve.cpp: callers' requests, from their own connections or forwarded.
asio::awaitable<void> serveCaller(Node &node, IoThread &thread, HttpExchange &exchange);
asio::awaitable<bool> serveForward(Node &node, IoThread &thread, PeerConnectionPtr connection,
                                   wire::FrameT &frame);

/// admin.cpp: metrics, health, readiness, status.
asio::awaitable<void> serveAdmin(Node &node, HttpExchange &exchange);

} // namespace apricot
