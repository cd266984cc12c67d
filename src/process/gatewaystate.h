// Runtime state of one gateway process, and the functions that its source files provide.
//
// A gateway process runs on a single thread: the hosts that it is made for have one core, and a
// single thread needs no locks.
#pragma once

#include "gateway.h"
#include "process/metrics.h"
#include "quarantine.h"
#include "serverlimits.h"
#include "streamorigins.h"

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace apricot {

/// Timer on which one coroutine sleeps until a time limit or until another coroutine wakes it.
struct WakeableTimer
{
    explicit WakeableTimer(asio::io_context &io) : m_timer(io) { }

    asio::steady_timer m_timer;
    bool m_woken = false;
};

/// Returns false if the time limit was reached first. A wake-up that came before the call is kept
/// and ends the sleep at once.
asio::awaitable<bool> sleepUntilWoken(WakeableTimer &timer, Millis atMost);
void wake(WakeableTimer &timer);

constexpr Millis maxDemandAge = {1'500}; // ms; older demand of another host is ignored

/// Identifies the model or adapter that demand is recorded for; an empty adapter means the model.
struct ModelDemandKey
{
    ServiceName m_service;
    ModelName m_model;
    AdapterName m_adapter;

    auto operator<=>(const ModelDemandKey &) const = default;
};

/// A request that waits for its model or adapter to be loaded.
struct WaitingCall
{
    WakeableTimer *m_wakeTimer = nullptr;
    Millis m_arrivedAt;
    Millis m_target;                           // target latency, counted from the arrival
    std::optional<SoftwareId> m_software = {}; // only a server of this version can serve it
};

/// Demand of this host's callers for one model or adapter.
struct LocalDemand
{
    std::list<WaitingCall> m_waitingCalls;
    int m_running = 0;      // requests sent to servers and not yet answered
    double m_rate = 0;      // requests per second, decays exponentially
    Millis m_rateUpdatedAt; // time for which m_rate was calculated
};

/// Request rate per second, decayed from the last arrival up to `time`.
double decayedRate(const LocalDemand &demand, Millis time);

/// Counts one arrived request in the request rate.
void recordArrival(LocalDemand &demand, Millis time);

/// Converts the demand to the form in which it is sent to the lease holder.
ModelDemand demandOf(const ModelDemandKey &key, const LocalDemand &demand, Millis time);

/// Whether no request waits or runs and none arrived recently, so that the entry can be removed.
bool isIdle(const LocalDemand &demand, Millis time);

/// Another host, as listed in the register of hosts and described by its last heartbeat.
struct Peer
{
    HostEntry m_entry;
    Millis m_entrySeenAt; // when the entry of its process instance was first seen
    Millis m_receivedAt;  // when its last heartbeat was received; 0: never
    int m_probes = 0;     // see HostSilence; used by the lease holder
    Millis m_probedAt;
    bool m_ready = false;             // accepts callers' requests
    std::uint64_t m_fencingToken = 0; // above 0: it states that it holds the lease
    std::map<ModelDemandKey, ModelDemand> m_modelDemands;   // demand of its callers
    std::map<std::pair<InstanceId, ModelName>, int> m_uses; // its running requests
    Millis m_demandReceivedAt; // when the demand and uses above were received
    std::set<std::uint64_t>
        m_unreachableServices; // by serviceHash(): it reaches no server of these
    bool m_checksKeys = false; // keeps API keys from servers; builds before client accounts don't
    int m_forwarded = 0;       // requests of this host that are sent through it now
    Millis m_notAskedUntil;    // it took no connection: no request is sent through it until then
};

/// This host's paths to servers, beside what KnownServer holds of each.
struct PathWatch
{
    int m_probing = 0;                              // probes in progress
    int m_suspicions = 0;                           // see PathSurvey
    Millis m_heardAt;                               // when any server was last heard of
    std::map<ServiceName, Millis> m_serviceHeardAt; // the same by service
    Millis m_lastLossAt;                            // when a path was newly lost
    /// Services of which this host reaches no server, though others may, with the time of the last
    /// loss.
    std::map<ServiceName, Millis> m_unreachable;
    int m_lost = 0; // since the last log line: paths newly lost
    int m_regained = 0;
    std::string m_some; // names of the first few servers
    Millis m_loggedAt;
};

/// Changes among the other hosts that were not logged yet: in a large fleet a line for each one
/// would be most of the log.
struct HostChanges
{
    int m_known = 0; // process instances
    int m_gone = 0;
    int m_ready = 0;
    int m_notReady = 0;
    std::string m_some; // names of the first few
    Millis m_loggedAt;
};

/// A model server as tracked by the lease holder, which is the only host that sends orders to it.
struct TrackedServer
{
    ServerStatus m_serverStatus; // as last reported, plus the effects of orders sent since
    std::optional<ServerStatus> m_broadcast; // last status sent to the other hosts; empty: none
    std::int64_t m_entryStartUnixMs = 0;     // start of the process in the entry last taken over
    bool m_sequenceKnown = false;            // false: no order may be sent before a report was read
    bool m_taskRunning = false;              // a coroutine handles an order or reads reports of it
    ModelName m_pendingModel;                // see PlanServer
    Millis m_pendingSince;                   // when the order for m_pendingModel was accepted
    Millis m_confirmedAt;                    // when the server last confirmed m_serverStatus
    std::map<ModelName, Millis> m_loadedAt;  // when recently loaded models were loaded
    std::set<std::string> m_loadingAdapters; // adapters being loaded, as "model/adapter"
};

/// Placement state, used only by the lease holder and discarded with the lease.
struct HolderState
{
    std::map<InstanceId, TrackedServer> m_servers;
    std::deque<Millis> m_recentStoreLoads; // start times of recent loads from the weight store
    int m_storeLoadsRunning = 0;           // loads from the weight store in progress
};

/// Availability of the platform's store, as this host sees it. See process/storehealth.cpp.
struct StoreHealth
{
    bool m_unavailable = false; // a call failed, and nothing was answered since, not even a probe
    bool m_checking = false;    // the store is probed since a call failed
    Millis m_recoveredAt = {-1'000'000};       // when the store last answered again after an outage
    Millis m_answeredCallBegan = {-1'000'000}; // of the calls with a response, the latest begin
    Millis m_slowLoggedAt = {-1'000'000};      // when a slow call was last logged
};

/// Load of the event loop since m_since.
struct LoopLoad
{
    Millis m_longestDelay; // of a timer
    Millis m_planTime;     // total time spent in computing placement plans
    Millis m_since;
};

/// Bytes that messages of one kind may take: a token bucket, full at the start. See takeBytes().
struct ByteBudget
{
    double m_perSecond = 0;
    double m_burst = 0; // most that can be taken at once
    double m_left = 0;  // at the time m_at
    Millis m_at = {};
};

/// Datagrams exchanged with other hosts since m_since.
struct PeerTraffic
{
    std::size_t m_sentBytes = 0;
    std::size_t m_receivedBytes = 0;
    int m_sent = 0; // datagrams
    int m_received = 0;
    std::map<MessageKind, std::size_t> m_sentOfKind; // bytes
    Millis m_since;
};

/// State of the demand reports to the lease holder.
struct DemandReporting
{
    Millis m_completeAt;           // when the next complete report is due
    bool m_reportedDemand = false; // the last complete report wasn't empty
};

/// Status updates of model servers that the lease holder still has to send: see statusupdates.cpp.
struct StatusUpdates
{
    struct Change
    {
        ServerStatus m_status;
        std::uint64_t m_number = 0;
    };

    std::map<InstanceId, Change> m_changed;       // last changes that some host wasn't sent yet
    std::uint64_t m_lastChange = 0;               // number of the last change of any server
    std::map<HostName, std::uint64_t> m_toldUpTo; // changes that the host was sent in its turns
    HostName m_lastTurn;                          // host that had the last turn
    Millis m_nextTurnAt;
    std::map<HostName, std::map<InstanceId, ServerStatus>> m_urgent; // sent without a turn
    ByteBudget m_demandBudget = {100'000, 50'000}; // to hosts whose callers don't wait
};

/// A request whose server ended its connection and may have crashed.
struct PossibleCause
{
    CrashSuspect m_suspect;
    bool m_answered
        = false; // the answer was complete: the causes were served unless the server crashed
};

/// What hosts tell each other of crashes, and crashes that are not yet certain.
struct CrashNews
{
    std::map<InstanceId, std::vector<PossibleCause>> m_uncertain; // servers that may have crashed
    ByteBudget m_budget = {4'000, 100'000}; // of reports to all other hosts together
    CrashCause m_lastSent;                  // last quarantine state sent in rotation
};

/// Answer to a request for a permit.
struct PermitReply
{
    bool m_granted = false;
    Millis m_wait; // if not granted: time until the next permit
};

/// A request for a permit that waits for its reply.
struct PendingPermit
{
    explicit PendingPermit(asio::io_context &io) : m_timer(io) { }

    WakeableTimer m_timer;
    std::optional<PermitReply> m_reply;
};

/// Permits for servers with limits: those that this host gives, and those that it asks for.
struct Permits
{
    std::map<InstanceId, PermitSchedule> m_schedules; // of servers that this host gives permits for
    std::map<std::uint64_t, PendingPermit *> m_pending; // by the number of the request
    std::uint64_t m_lastNumber = 0;
    std::map<HostName, Millis> m_unreachableUntil; // hosts that didn't reply: not asked
    PermitStanding m_standing;                     // of this host among those that give permits
    InstanceId m_lastSent;                         // last limit sent in rotation
    InstanceId m_lastNewSent;                      // the same of limits that are new
};

/// A question for the origin of a stream that waits for replies.
struct PendingOrigin
{
    explicit PendingOrigin(asio::io_context &io) : m_timer(io) { }

    WakeableTimer m_timer;
    int m_asked = 0; // hosts
    OriginReplies m_replies;
};

/// A request that waits until the records of all hosts were read for its stream.
struct OriginLookup
{
    OriginLookup(asio::io_context &io, StreamId stream) : m_stream(stream), m_timer(io) { }

    StreamId m_stream;
    WakeableTimer m_timer;
    bool m_read = false; // by a read that began after the request asked
};

using OriginLookupPtr = std::shared_ptr<OriginLookup>;

/// This host's record of streams in the store. Invariant: nothing is written before m_read, since
/// the record may hold what only an earlier process of this host knew.
struct OriginRecordState
{
    bool m_read = false;    // the records of all hosts were read since this process started
    bool m_removed = false; // at the end of a stop: this host's record was removed, or is kept
    std::uint64_t m_position = 0;         // of this host's record in the store; 0: there is none
    OriginRecord m_written;               // as last written
    std::uint64_t m_wanted = 0;           // counts the origins that the record has to hold
    std::uint64_t m_stored = 0;           // of these, those that it holds
    std::list<WakeableTimer *> m_waiting; // requests that wait for the next write
    std::unique_ptr<WakeableTimer> m_trigger;
    /// Until then records may lack streams: one was written before the store returned from a copy.
    Millis m_incompleteUntil = {-1'000'000};
    std::list<OriginLookupPtr> m_lookups; // requests that wait for the next read to begin
    std::set<StreamId> m_lookedUp;        // streams that the read under way is for
    bool m_lookingUp = false;             // runLookups() runs
    Millis m_lookupBeganAt = {-1'000'000};
};

/// Name of the store's object with the lease.
inline constexpr const char *leaseObjectName = "orders";

struct Relay;       // see request/relay.h
struct AccountGate; // see process/accountgate.h

/// The holder's last request for an extension of its lease, sent to all other hosts, and repeated
/// to those that haven't granted it. Valid if m_number is above 0.
struct ExtensionRequest
{
    std::uint64_t m_number = 0; // identifies the request in the grants
    /// When it was sent first; the extension counts from then.
    Millis m_requestedAt = {-1'000'000};
    Millis m_sentAt;                // when it was sent last
    std::set<HostName> m_hosts;     // all hosts that it was sent to
    std::set<HostName> m_open;      // those that have not granted it yet
    bool m_extendedByHosts = false; // hosts extended the lease after its last renewal in the store
};

/// Everything of one gateway process.
struct Gateway
{
    asio::io_context m_io{1};
    GatewaySettings m_settings;
    std::string m_settingsPath; // read again by reloadSettings()
    const Protocol *m_protocol = nullptr;
    Clock m_clock;
    std::string m_run; // process instance: random, differs after each restart of this host
    Metrics m_metrics;
    std::mt19937_64 m_random;

    HttpPool m_store;   // connections to the platform's store
    HttpPool m_servers; // connections to backend servers, for callers' requests only
    HttpPool m_hosts;   // connections to other hosts
    PathWatch m_paths;
    BodyBudget m_answerBytes; // answers read completely before they are passed on
    StoreHealth m_storeHealth;
    std::optional<std::uint64_t> m_storeEra; // highest that the store stated; empty: no answer yet
    LoopLoad m_loopLoad;
    PeerTraffic m_peerTraffic;

    std::shared_ptr<const RouteTable> m_routes;    // null until the first configuration is known
    std::shared_ptr<AdmissionControl> m_admission; // of callers, also those asking for addresses
    std::uint64_t m_admissionLogged = 0;           // clients refused or closed, as last logged
    std::shared_ptr<HttpServerOptions> m_callerOptions;
    std::shared_ptr<HttpServerOptions> m_hostOptions; // for requests that other hosts send
    ServerTable m_serverTable;
    bool m_serverTableLoaded = false; // the server list was read completely at least once
    std::unique_ptr<WakeableTimer> m_listTrigger; // wakes syncServers()
    std::uint64_t m_routesRevision = 0;           // store revision of the configuration
    bool m_catchingUp = false; // a coroutine reads changes that another host reported first
    Millis m_lastResyncAt;     // when any host last resynchronized with the store
    std::map<ServiceName, RetryBudget> m_retryBudgets;
    HostCounts m_hostCounts;                              // noted with each request
    std::map<std::string, RunTimes> m_runTimes;           // by name of the route
    std::map<ModelDemandKey, LocalDemand> m_modelDemands; // demand of this host's callers

    Millis m_startedAt;               // when the loops were started
    std::map<HostName, Peer> m_peers; // other hosts in the register
    bool m_registerRead = false;      // the register was read completely at least once
    std::unique_ptr<asio::ip::udp::socket> m_udp;
    HostName m_holder;          // host that last stated that it holds the lease; empty: none
    Millis m_holderHeartbeatAt; // when m_holder last stated that
    /// Ready hosts whose heartbeats arrive but that the register, as known here, doesn't list, with
    /// the time of the last heartbeat.
    std::map<HostName, Millis> m_unregisteredHosts;

    std::uint64_t m_hostEntryRevision = 0; // of this host's entry in the register; 0: no entry
    DemandReporting m_demandReporting;
    std::set<ModelDemandKey> m_newDemands; // first call waits since the last demand report
    std::unique_ptr<WakeableTimer> m_demandReportTrigger; // wakes reportDemandToHolder()
    StatusUpdates m_statusUpdates;
    std::unique_ptr<WakeableTimer> m_statusTrigger; // wakes sendStatusUpdates()

    Lease m_lease;
    LeaseTiming m_leaseTiming;
    bool m_renewing = false;  // a renewal was sent to the store and not yet answered
    Millis m_nextTakeoverAt;  // earliest time of the next attempt to take the lease
    Millis m_takeoverBackoff; // grows with each failed attempt
    ExtensionRequest m_extensionRequest;
    HolderState m_placement;                       // valid while this host holds the lease
    std::unique_ptr<WakeableTimer> m_planTrigger;  // wakes runPlacement()
    std::unique_ptr<WakeableTimer> m_leaseTrigger; // wakes maintainLease()

    // Listeners at the addresses of the same names in GatewaySettings.
    std::shared_ptr<TcpListener> m_callers;
    std::shared_ptr<TcpListener> m_directory;
    std::shared_ptr<TcpListener> m_ready;
    std::shared_ptr<TcpListener> m_metricsPort;
    std::shared_ptr<TcpListener> m_hostPort; // at m_peer: requests that other hosts send
    Quarantine m_quarantine;                 // requests and prompt parts that crash servers
    CrashNews m_crashNews;
    Permits m_permits;
    InstanceId m_lastLeavingSent; // last server that leaves sent in rotation
    HostChanges m_hostChanges;
    std::shared_ptr<AccountGate> m_accounts; // keys and limits of client accounts
    StreamOrigins m_streamOrigins;
    ServiceVersions m_serviceVersions;
    OriginRecordState m_originRecord;
    std::map<std::uint64_t, PendingOrigin *> m_pendingOrigins; // by the number of the question
    std::uint64_t m_lastOriginAsk = 0;
    std::optional<Millis> m_candidateSince; // since when this host could take a lease; empty: never
    std::set<Relay *> m_relays;             // callers' requests in progress
    bool m_stopping = false;                // a planned stop has begun
    Millis m_stopStartedAt;                 // when the planned stop began; valid if m_stopping
};

std::unique_ptr<Gateway> makeGateway(const GatewaySettings &settings, std::string settingsPath,
                                     const Protocol &protocol);

/// Returns an empty pool for connections to backend servers or other hosts.
HttpPool makeConnectionPool(Gateway &gateway);

/// Opens all listeners and starts all loops; the caller then runs m_io. Returns a failure if an
/// address is already in use.
std::optional<Failure> startGateway(Gateway &gateway);

/// Performs a planned stop: the host is no longer listed in address answers, requests that still
/// arrive are served, then m_io is stopped.
asio::awaitable<void> stopGateway(Gateway &gateway);

/// Time at which a stopping host ends at the latest. It ends sooner if no request is in progress
/// and callers no longer use its address.
Millis stopDeadline(const Gateway &gateway);

/// Reads the settings file again. A file with faults changes nothing. Addresses, names and the
/// lease handover delay take effect only at the next start.
void reloadSettings(Gateway &gateway);

/// Updates the metrics of admission control, and logs `clients_closed` if clients were refused or
/// closed since the last time.
void reportAdmission(Gateway &gateway);

Millis now(const Gateway &gateway);
/// Whether this host can serve callers: it has a configuration and the server list, and isn't
/// stopping.
bool isReady(const Gateway &gateway);
bool holdsLease(const Gateway &gateway);

/// Starts a coroutine. Exceptions that leave it are logged under that name.
void begin(Gateway &gateway, const char *name, asio::awaitable<void> work);
asio::awaitable<void> pauseFor(Gateway &gateway, Millis time);

/// Waits for about `pause` after a failure and doubles it for the next failure, up to `longest`.
asio::awaitable<void> backOff(Gateway &gateway, Millis &pause, Millis longest);

/// Returns a random time between half and one and a half times the given one, so that hosts don't
/// act in step.
Millis jittered(Gateway &gateway, Millis time);

// --- looplag.cpp: load of the event loop ---

/// Measures how late the event loop runs its timers, and logs `loop_late` when it is well behind.
/// Everything that a host knows is then late by as much: answers of the store, heartbeats,
/// requests.
asio::awaitable<void> watchLoop(Gateway &gateway);

/// Logs `peer_traffic`: bytes exchanged with other hosts in some seconds, on the lease holder and
/// on hosts with much of it. What goes beyond the host's link is lost, heartbeats too.
asio::awaitable<void> watchPeerTraffic(Gateway &gateway);

/// Records the time that the computation of a placement plan took.
void recordPlanTime(Gateway &gateway, Millis took);

// --- relay.cpp: callers' requests ---

/// Handles one request of a caller, up to the end of its answer.
asio::awaitable<void> relayCall(Gateway &gateway, HttpExchange &exchange);

/// Handles a request that another host sends because it reaches none of its servers. It is handled
/// like one of a caller, but never sent to a third host.
asio::awaitable<void> relayForwardedCall(Gateway &gateway, HttpExchange &exchange);

/// Ends the exchanges with servers, and the waits for a model, of the requests with the cause,
/// unless their answers have begun to stream.
void endRequestsWith(Gateway &gateway, CrashCause cause);

/// Wakes all requests that wait for a model, so that they look for a server again.
void wakeWaiting(Gateway &gateway);

/// Wakes the requests that wait for a model that the server has loaded.
void wakeWaitingFor(Gateway &gateway, const ServerStatus &status);

// --- storeclient.cpp: the platform's store ---

/// Sends a request to the store and returns its answer. `what` names the call in logs and metrics.
asio::awaitable<Result<HttpResponse>> callStore(Gateway &gateway, const char *what,
                                                HttpRequest request, Millis timeout);

/// Sends a request for one object to the store and interprets its answer.
asio::awaitable<StoreReply> requestStoreObject(Gateway &gateway, const char *what,
                                               HttpRequest request);

/// Counts a call that the store answered; ends an outage.
void recordStoreAnswer(Gateway &gateway, const char *call);

/// Counts a call that failed or was refused, and finds out whether the store is unavailable.
/// `silent`: time for which the store is known to have answered nothing.
void recordStoreFailure(Gateway &gateway, const char *call, const std::string &why, Millis silent);

/// Time for which the store has answered nothing, if a call that began at `callBegan` fails now.
Millis silenceOf(const Gateway &gateway, Millis callBegan);

/// Reads all objects of a kind once, and retries until the store answers.
asio::awaitable<void> readObjects(Gateway &gateway, ObjectKind kind);

/// The same without retries. Returns false if the store doesn't answer.
asio::awaitable<bool> readObjectsOnce(Gateway &gateway, ObjectKind kind);

/// Keeps this host's state of all objects of a kind up to date by watches, until the process ends.
asio::awaitable<void> syncObjects(Gateway &gateway, ObjectKind kind);

/// Keeps the server table up to date: on the lease holder by watches, on other hosts by reading the
/// list when a heartbeat shows that theirs is out of date.
asio::awaitable<void> syncServers(Gateway &gateway);

/// Reads the configuration anew. Returns whether the store answered.
asio::awaitable<bool> rereadConfiguration(Gateway &gateway);

/// Resynchronizes with the store, since a watch may miss changes without an error. One host at
/// a time, by hostRank(), reads configuration and servers anew; the heartbeat that it then sends
/// shows the other hosts whether they are out of date.
asio::awaitable<void> resyncStore(Gateway &gateway);

/// Compares this host's state with another host's heartbeat, which states its configuration version
/// (`routes`), the digest of its server table and the store revision of that table. If this host is
/// out of date, reads the missing changes, unless they arrive by themselves within a short time.
void catchUp(Gateway &gateway, std::uint64_t routes, std::uint64_t digest, std::uint64_t revision);

// --- hostregister.cpp: the register of hosts in the store ---

/// Writes this host's entry to the register of hosts, and retries until the store accepts it.
asio::awaitable<void> registerHost(Gateway &gateway);

/// Writes the entry again, after a random wait, since the store came back from a copy that may lack
/// it.
asio::awaitable<void> registerAgain(Gateway &gateway);
asio::awaitable<void> unregisterHost(Gateway &gateway);
void applyHostEntry(Gateway &gateway, const StoredObject &object);

/// To be called when another host is no longer in the register.
void removePeer(Gateway &gateway, const HostName &host);

/// Returns whether the store still has this host's entry in the register. If it doesn't, the entry
/// is written again.
asio::awaitable<bool> verifyRegistration(Gateway &gateway);

/// On the lease holder, removes hosts from the register that are gone, since a host that is gone
/// for good would never grant an extension. A host that is still alive detects the removal,
/// registers again, and restarts its wait before it may take the lease.
asio::awaitable<void> removeSilentHosts(Gateway &gateway);

/// One round of the above: probes hosts that are silent, and removes those that are gone.
asio::awaitable<void> checkSilentHosts(Gateway &gateway);

// --- hosts.cpp: other hosts, and address answers ---

asio::awaitable<void> receiveHeartbeats(Gateway &gateway);

/// Sends periodic heartbeats, each to a few hosts in rotation. At the same interval it drops
/// servers whose grace period has ended, and demand entries that are idle.
asio::awaitable<void> sendHeartbeats(Gateway &gateway);

/// Whether a heartbeat of that host was received recently.
bool isPeerAlive(const Gateway &gateway, const Peer &peer);

/// Asks a host for a heartbeat.
void probeHost(Gateway &gateway, Peer &peer);

/// Logs the changes among the other hosts, at most once in a while.
void logHostChanges(Gateway &gateway);

/// Sends a heartbeat to all other hosts at once, besides the periodic ones. `resynchronized`: this
/// host has just read configuration and servers anew.
void broadcastHeartbeat(Gateway &gateway, bool resynchronized = false);

/// Returns this host's position, from 0, among the hosts whose heartbeats arrive; the lease holder
/// comes first, then larger hosts, the others follow by name.
int hostRank(const Gateway &gateway);

/// Whether some host, this one or another, is known to hold the lease, so that loads can be ordered
/// and limits of accounts decided on.
bool isHolderAlive(const Gateway &gateway);

/// Whether a host in the register can carry clearly more than this one.
bool hasLargerHost(const Gateway &gateway);

/// Returns the addresses of hosts that accept requests, for address answers.
std::vector<Endpoint> callerAddresses(const Gateway &gateway);
int hostCount(const Gateway &gateway);

/// Sends a request for an extension of this host's lease to all other hosts, while the store can't
/// renew it. To be called often: does nothing while the last request is recent, and repeats it only
/// to hosts that haven't granted it, since one lost datagram of many would void it otherwise.
void requestExtension(Gateway &gateway);

/// Notifies all other hosts that the lease with that fencing token was released, and of the
/// position of its record in the store. Hosts of older builds don't understand that, and wait for
/// the end of the lease: they would conclude the token from the record that they saw last, which
/// may be older.
void broadcastRelease(Gateway &gateway, std::uint64_t position, std::uint64_t fencingToken);

// --- demandreports.cpp: demand of callers ---

/// Sends the demand of this host's callers and their running requests to the lease holder.
asio::awaitable<void> reportDemandToHolder(Gateway &gateway);

/// Has the demand for a model reported without delay, as the first call now waits for it.
void reportNewDemand(Gateway &gateway, const ModelDemandKey &key);

// --- statusupdates.cpp: status of model servers ---

/// Applies a new status of a model server here at once, and has it sent to all other hosts: at once
/// to those with demand for a model or adapter that it adds or removes, later to the others.
void broadcastStatusUpdate(Gateway &gateway, const InstanceId &server, const ServerStatus &status);

/// Has the status of the servers that hold the model and adapter sent at once to a host whose
/// callers wait for it. Either it was loaded just now, or an earlier update to that host was lost.
void answerDemand(Gateway &gateway, const HostName &host, const ModelDemandKey &key);

/// Sends the status updates that were broadcast since the last time. Of several for one server only
/// the latest is sent.
asio::awaitable<void> sendStatusUpdates(Gateway &gateway);

// --- crashreports.cpp: crashes of servers, and the requests and prompt parts that cause them ---

/// To be called when a server ended its connection before, or at, the end of an answer. Finds out
/// whether the server crashed; if so, reports the request to all hosts as a possible cause.
void reportPossibleCrash(Gateway &gateway, const InstanceId &server, PossibleCause cause);

/// Records that a server survived a request with these causes, and tells other hosts if one of them
/// is suspected.
void recordServedCauses(Gateway &gateway, const std::vector<CrashCause> &causes);

/// Why a request with these causes must not be sent: one of them is in quarantine. Empty: it may be
/// sent, possibly as a trial.
std::optional<Failure> quarantineRefusal(Gateway &gateway, const std::vector<CrashCause> &causes);

/// As above, for a request that is sent now if the result is empty: counts it as a trial of those
/// of its causes that are in quarantine.
std::optional<Failure> admitToServer(Gateway &gateway, const std::vector<CrashCause> &causes);

// --- originexchange.cpp: software versions that began streams ---

/// Records which version began the stream, whose first event this host is about to pass on, here
/// and, if the service has several, at the keepers and in the store.
asio::awaitable<void> announceOrigin(Gateway &gateway, StreamId stream, ServiceName service,
                                     SoftwareId software);

/// Finds out which version began a stream: from other hosts if this one doesn't know, and, if the
/// service has several versions, from the records in the store.
asio::awaitable<OriginReplies> askForOrigin(Gateway &gateway, StreamId stream, ServiceName service);

/// Sends origins to the keepers of their streams, as few datagrams as possible to each.
void sendOriginsToKeepers(Gateway &gateway,
                          const std::vector<std::pair<StreamId, SoftwareId>> &origins);

/// Takes over the versions of the listed servers. To be called often.
void watchVersions(Gateway &gateway);

// --- originrecords.cpp: the same in the store ---

/// Reads the records of all hosts, then keeps this host's record up to date until the process ends.
asio::awaitable<void> keepOriginRecord(Gateway &gateway);

/// Reads what hosts recorded before this process started.
asio::awaitable<void> readOriginRecords(Gateway &gateway);

/// Waits until this host's record holds all streams that it knows now. Returns false if the store
/// hasn't confirmed it within a short time.
asio::awaitable<bool> waitForOriginRecord(Gateway &gateway);

/// Takes over a host's record as it is in the store.
void applyOriginRecord(Gateway &gateway, const StoredObject &object);

/// Takes over a record from a list of all: whole when this host starts, later only the streams
/// that requests look up.
void applyListedOriginRecord(Gateway &gateway, const StoredObject &object);

/// Reads the records of all hosts for a stream that no host was found to know. Requests share
/// reads. Returns false if the records weren't read within the time.
asio::awaitable<bool> lookUpOrigin(Gateway &gateway, StreamId stream, Millis timeout);

/// Removes the record of a host that is gone for good. Its streams stay known to their keepers.
asio::awaitable<void> removeOriginRecord(Gateway &gateway, HostName host);

// --- statements.cpp: what servers say of themselves ---

/// Takes over what an answer told of its server: limit, pause, leaving. `sentAt`: when the request
/// was sent.
void recordStatements(Gateway &gateway, const InstanceId &server, const AnswerMetadata &metadata,
                      Millis sentAt);

// --- pathwatch.cpp: this host's paths to the servers ---

/// Records that a server accepted a connection of this host or sent it bytes.
void recordPathHeard(Gateway &gateway, KnownServer &known);

/// Records that this host could establish no connection to the server.
void recordPathLost(Gateway &gateway, KnownServer &known);

/// Whether a request to the service may be sent on an idle connection.
bool mayReuseConnections(const Gateway &gateway, const ServiceName &service);

/// Identifies a service in heartbeats.
std::uint64_t serviceHash(const ServiceName &service);

/// Whether this host reaches no model server and other hosts may; not before it is sure.
bool isCutFromModelServers(const Gateway &gateway);

/// Begins the probes that are due, and takes over what they showed.
void checkServerPaths(Gateway &gateway);

/// Calls the above in short intervals.
asio::awaitable<void> watchServerPaths(Gateway &gateway);

// --- permits.cpp: servers that name a limit for the requests of all hosts ---

/// Takes over what an answer of the server told of its limit. The other hosts learn of it with the
/// next heartbeats.
void recordServerLimit(Gateway &gateway, KnownServer &known, const LimitStatement &statement);

/// Takes note of whether this host hears others; see noteStanding(). To be called often.
void watchPermitStanding(Gateway &gateway);

/// Whether a request may be sent now to a server with a limit. If not, the server isn't chosen
/// until the next permit is due. Without a reply of the hosts that give permits it may not.
asio::awaitable<bool> requestPermit(Gateway &gateway, InstanceId server);

// --- leasekeeper.cpp: which host may send orders ---

/// Takes the lease when it is free, and renews it while this host holds it.
asio::awaitable<void> maintainLease(Gateway &gateway);

/// One step of the above, as a holder or as a candidate.
asio::awaitable<void> stepLease(Gateway &gateway);

/// Releases the lease in a planned stop. During a store outage no other host could take it over, so
/// the release waits for the store as long as the stop allows.
asio::awaitable<void> releaseLease(Gateway &gateway);

/// Ends this host's lease and discards its placement state; `why` is logged.
void loseLease(Gateway &gateway, const char *why);

/// Identifies a machine in the lease record. It includes the address, since a new machine may get
/// the host name of an old one.
HostName machineIdentity(const HostName &host, const Endpoint &peer);

// --- holder.cpp: orders to model servers ---

/// Plans and executes orders while this host holds the lease.
asio::awaitable<void> runPlacement(Gateway &gateway);

} // namespace apricot
