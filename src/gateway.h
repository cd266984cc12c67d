// Data structures and decisions of the gateway (apricotgw), which forwards callers' requests to
// backend servers. The servers register themselves in the platform's store; hosts keep no state on
// disk. A model server ("engine" in names) is a backend server that loads and unloads models when
// ordered to (an order is a "command" in names). It loads the weights of a model from its own
// memory or disk, or from the weight store, which is slower and has a rate limit over all servers.
//
// Each host accepts callers' requests, selects a backend server for each one, and forwards the
// request and its answer unchanged. One host at a time holds the lease and orders the model servers
// to load and unload models. Everything that has to survive a restart is in the platform's store.
// All decisions are free functions over the plain structs below and take the time as a parameter,
// so that the daemon and the tests run the same code.
//
// Index
//   1. Published        routes, services and models as the operators publish them
//   2. Backend servers  what a server reports, and what each host records about it:
//   backendservers.h, and its paths to them: serverpaths.h
//   3. Requests         request metadata, server selection, retries
//   4. Lease            which host may send orders to model servers
//   5. Placement        which models to load and unload, and where
//   6. Hosts            hosts that serve callers, as registered in the store: hosts.h
//   7. Protocol         translation between external messages and the structs above
//   8. Settings         what a host reads from its settings file
//
// Times are Millis on the machine's monotonic clock, which also counts time in suspend (see Clock),
// unless the comment says otherwise.
#pragma once

#include "accounts/accounts.h"
#include "apricot.h"
#include "backendservers.h"
#include "connection/http.h"
#include "hosts.h"

#include <boost/json/value.hpp>
#include <random>
#include <set>

namespace apricot {

// ---------------------------------------------------------------------------------------------
// 1. Published
// ---------------------------------------------------------------------------------------------

/// Whether a request may be executed more than once.
enum class Repeat : std::uint8_t {
    Idempotent, // may be executed any number of times
    AtMostOnce, // may be executed only once for each request of a caller
    Resumable,  // stream that a second server can continue after the last event delivered
};

struct WeightedService
{
    ServiceName m_service;
    int m_weight = 1; // share of the route's requests, relative to the sum of all weights
};

struct Route
{
    std::string m_name;
    std::string m_host;       // value of the Host header field, without a port
    std::string m_pathPrefix; // begins and ends with a slash
    Repeat m_repeat = Repeat::AtMostOnce;
    bool m_stream = false;       // the answer is a stream of server-sent events
    Millis m_timeout = {30'000}; // time limit, ms, from the arrival to the end of the answer
    Millis m_target = {1'000};   // target latency, ms, from arrival to answer or first event
    int m_priority = 5;          // 0 is the most urgent
    int m_maxAttempts = 1;       // maximum number of servers that may execute the same request
    bool m_public = false;       // needs no API key
    std::vector<WeightedService> m_services; // at least one
};

/// A model as published by the operators.
struct EngineModel
{
    ModelName m_name;
    double m_weightsMb = 0;            // MB of memory on a server
    double m_adapterMb = 0;            // MB of memory for each adapter
    Millis m_storeLoadTime = {10'000}; // ms to load the weights from the weight store
    Millis m_diskLoadTime = {10'000};  // ms to load the weights from the server's disk
    Millis m_memoryLoadTime = {1'000}; // ms to load the weights from the server's memory
};

/// Limits that apply to every model server of a service.
struct EngineLimits
{
    int m_slots = 1;             // concurrent requests on one server
    double m_weightsMb = 0;      // MB of memory for weights and adapters together
    int m_adapterSlots = 0;      // adapters loaded or being loaded on one server
    double m_loadsPerSecond = 1; // rate limit of the weight store, over all servers
    std::map<ModelName, EngineModel> m_models;
};

struct RoutedService
{
    ServiceName m_name;
    std::optional<EngineLimits> m_engine; // empty: a plain service without models
};

/// Size and time limits for callers' requests.
struct CallerLimits
{
    std::size_t m_headBytes = 16 << 10;
    std::size_t m_bodyBytes = 4 << 20;
    Millis m_headTimeout = {3'000};  // ms to receive a complete request head
    Millis m_idleTimeout = {15'000}; // ms that a connection may be idle between requests
};

/// One version of the whole published configuration. Version numbers only increase.
struct RouteTable
{
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes; // by host, then longest prefix first; see sortRoutes()
    std::map<ServiceName, RoutedService> m_services;
    CallerLimits m_limits;
    AccountTable m_accounts; // see accounts/accounts.h
};

/// Sorts the routes into the order that matchRoute() relies on.
void sortRoutes(RouteTable &table);

/// Returns the route of the host whose path prefix is the longest that matches; null if none does.
/// `target` may contain a query, `host` a port.
const Route *matchRoute(const RouteTable &table, std::string_view host, std::string_view target);

/// Returns the limits of a service's model servers; null if the service is plain or unknown.
const EngineLimits *engineOf(const RouteTable &table, const ServiceName &service);

/// Selects the service for a request by hashing `key`: the same key always gets the same service,
/// and the services are used in proportion to their weights.
ServiceName pickService(const Route &route, std::string_view key);

// ---------------------------------------------------------------------------------------------
// 3. Requests
// ---------------------------------------------------------------------------------------------

/// A part of a prompt that requests may share, by the id that callers give it.
struct PromptPart
{
    std::uint64_t m_id = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/// The id in hexadecimal, without leading zeros.
std::string toText(PromptPart part);

/// The first few ids, separated by commas, with "..." for the others; for the log.
std::string toText(const std::vector<PromptPart> &parts);

constexpr std::size_t maxPromptParts = 512; // of one request; further ones aren't looked at

/// Metadata of a caller's request, from its header fields.
struct RequestMetadata
{
    std::string m_id;           // id of this attempt, repeated in the answer
    std::string m_resumes;      // id of the attempt whose first event began the stream; empty: new
    std::string m_resumeAfter;  // id of the last event that the caller has; empty: none
    std::string m_caller;       // what the request states of the client account; empty: nothing
    ModelName m_model;          // empty: request to a plain service
    AdapterName m_adapter;      // empty: the model without an adapter
    std::string m_sharedPrompt; // names prompt parts shared with other requests; empty: none
    std::vector<PromptPart> m_sharedParts; // the same parts in order, each once
    std::optional<Millis> m_timeAllowed;   // ms that the caller waits; empty: not stated
    std::string m_key;                     // API key that it presents; empty: none
    std::optional<std::int64_t> m_tokens;  // prompt and most output; empty: not stated
};

/// Id of the attempt that began what the request asks for: a stream that it takes up, or itself.
inline const std::string &firstAttemptOf(const RequestMetadata &metadata)
{
    return metadata.m_resumes.empty() ? metadata.m_id : metadata.m_resumes;
}

/// Metadata that the gateway adds to a forwarded request.
struct ForwardMetadata
{
    InstanceId m_server;
    Millis m_timeAllowed;                     // time left until the deadline
    std::optional<int> m_priority;            // 0 is the most urgent
    std::optional<std::string> m_resumeAfter; // id of the last event that the caller has
    /// Account of the caller, in place of its API key, which no server gets; an empty name: of
    /// none. Empty: no accounts are published, and what the caller sent is passed on.
    std::optional<AccountName> m_account;
};

/// Metadata that a host adds to a request that it sends through another host, which chooses the
/// server.
struct HostForwardMetadata
{
    Millis m_timeAllowed;                 // time left until the deadline
    std::optional<std::string> m_resumes; // id of the attempt whose first event began the stream
    std::optional<std::string> m_resumeAfter; // id of the last event that the caller has
};

/// Metadata of a server's answer, from its header fields.
struct AnswerMetadata
{
    std::string m_id;             // id of the request that it answers; empty: not stated
    bool m_serverStamped = false; // has the stamp of a server that executed or rejected the request
    bool m_notRun = false;        // the server states that it did not execute the request
    bool m_misdirected = false;   // sent to the wrong server, or the model isn't loaded there
    bool m_contentEncoded = false; // re-encoded on the way: not the bytes that the server produced
    bool m_events = false;         // the body is a stream of server-sent events
    bool m_leaving = false;        // the server states that it leaves
    std::optional<Millis> m_pause; // for which it takes no request from this host; with m_notRun
    ServerLoad m_load;
    std::optional<double>
        m_limit; // requests a second that the server takes from all hosts together
};

/// Limits retries to a fixed number plus a share of the requests within a sliding window.
struct RetryBudget
{
    Millis m_opensAt;              // no retry before this time
    double m_ratio = 0.1;          // retries allowed for each request
    double m_slack = 5;            // retries allowed in addition
    Millis m_window = {10'000};    // ms, length of the sliding window
    std::deque<Millis> m_requests; // arrival times within the window
    std::deque<Millis> m_retries;  // times of the retries within the window
};

struct GatewaySettings;

/// Sets one host's share of the budget that all hosts have together. Each host spends up to its own
/// limit, which follows its own requests; their sum would exceed the common limit by chance, so a
/// part is left unused.
///
/// A host that has started doesn't know what it spent before the start, or what the other hosts
/// spent that had its share until then. So it spends nothing until a whole window has passed since
/// `started`.
/// \param hosts  number of hosts that share the budget; 0: not known yet, so that the share of the
///               fixed number is zero
void setHostShare(RetryBudget &budget, const GatewaySettings &settings, int hosts, Millis started);

/// Numbers of hosts that share the retry budget, over time.
struct HostCounts
{
    std::deque<std::pair<Millis, int>> m_since; // oldest first: since when there were so many
};

/// Notes the present number of hosts and returns the largest one within the window. The shares must
/// follow that number: a host that left spent its share until then, and spends it on while it
/// stops.
int largestHostCount(HostCounts &counts, int hosts, Millis time, Millis window);

/// Counts a request, which raises the number of retries that the budget allows.
void recordRequest(RetryBudget &budget, Millis time);

/// Returns true and counts a retry if the budget allows one more.
bool takeRetry(RetryBudget &budget, Millis time);

/// Input for the selection of a server for one request.
struct ChoiceInput
{
    ServiceName m_service;
    ModelName m_model; // empty: any server of the service
    AdapterName m_adapter;
    std::string m_affinity;       // requests with the same text prefer the same server; empty: none
    DataCentre m_localDataCentre; // data centre of this host
    std::set<InstanceId> m_triedServers;  // servers that this request was already sent to
    std::optional<SoftwareId> m_software; // only servers of this version; empty: of any
    bool m_alsoCutOff = false;            // also servers that this host doesn't reach
};

struct ServerChoice
{
    InstanceId m_server;  // empty: no server is available that has the model
    double m_load = 0;    // expected load: requests divided by slots
    int m_candidates = 0; // servers that can execute the request
    int m_cutOff = 0;     // servers that could, but that this host doesn't reach
    /// When the first of the servers that could execute the request, but for their limits, may get
    /// another one; empty: there are none.
    std::optional<Millis> m_permitAt;
    /// When the first of the servers that could execute it, but for their pauses, takes requests
    /// again; empty: there are none.
    std::optional<Millis> m_pauseEnd;
};

/// Selects the least loaded server that can execute the request. Among servers with nearly the same
/// load, affinity and a location in the local data centre decide. Servers that failed recently are
/// used only if there is no other.
ServerChoice chooseServer(const ServerTable &servers, const ChoiceInput &input, Millis time);

/// Time allowed beyond the deadline for an answer to arrive here, since a server may still send its
/// own deadline error at the deadline.
constexpr Millis deadlineGrace = {80};

/// How long to wait for a server to begin its answer. Only if the request may be repeated and there
/// is another server to try does the timeout leave time for a retry. `runs`: earlier attempts that
/// may have been executed; `candidates`: servers that could be selected; `left`: time left until
/// the deadline.
Millis answerTimeout(const Route &route, int runs, int candidates, Millis left);

/// How long a request with the time limit `allowed` may wait for its model to be loaded. The wait
/// ends before the caller abandons a stream that has sent no event, and leaves enough time for the
/// caller to send the request again.
Millis maxModelWait(const Route &route, Millis allowed);

/// Recent times that requests of one route took, from the choice of a server to the end of its
/// answer.
struct RunTimes
{
    Millis m_longest; // halves every runTimeHalfLife after m_updatedAt
    Millis m_updatedAt;
    int m_count = 0; // of times recorded
};

constexpr Millis runTimeHalfLife = {30'000};

void recordRunTime(RunTimes &times, Millis took, Millis time);

/// Estimates how long a request of the route takes at most once it is sent. `allowed` is the time
/// left until its deadline, and the only clue while few times are known.
Millis longestRunTime(const RunTimes &times, Millis allowed, Millis time);

/// A planned stop of this host.
struct PlannedStop
{
    Millis m_began;
    Millis m_deadline; // answers that aren't complete by then are cut
};

/// Requests that arrive up to this long after the begin of a stop may be taken by an estimate of
/// their run time. Operators expect of later ones that they are served whole or refused from 3 s
/// on; the difference allows for a late signal.
constexpr Millis estimatedRunsInStop = {2'500}; // ms

/// Latest time at which a stopping host may send a request that arrived at `arrived`. Its answer
/// ends by `endsBy` at the latest, the deadline of its caller or route, and after `longestRun` by
/// an estimate, which some answers exceed. The begin of the stop, which is over, if it must not be
/// sent.
Millis lastSendBeforeStop(const PlannedStop &stop, Millis arrived, Millis endsBy,
                          Millis longestRun);

/// Records whether a request to the server succeeded. A success resets the count of failures.
void recordServerResult(KnownServer &known, bool good, Millis time);

constexpr std::size_t maxEventBytes = 1UL << 20; // of one event; a longer one ends the stream

/// Splits a stream of server-sent events into complete events and keeps the id of the last one.
/// Lines end with LF or CRLF. Invariant: m_partialEvent contains no end of an event.
struct EventScanner
{
    std::string m_partialEvent; // beginning of an event that is not yet complete
    std::string m_lastEventId;  // id of the last complete event that had one; empty: none
    bool m_anyEvent = false;    // the present server has sent a complete event
};

/// Prepares the scanner for the stream of the next server: an incomplete event is dropped, the last
/// id is kept.
void beginServerStream(EventScanner &scanner);

/// Appends received bytes and returns all complete events, in order, as one string.
std::string scanEvents(EventScanner &scanner, std::string_view bytes);

/// Whether a stream whose framing says that it ended is complete. It isn't if it ended inside an
/// event. If only the end of the connection shows the end, at least one event is needed too: a
/// server that crashes closes its connections in order as well.
bool isStreamComplete(const EventScanner &scanner, BodyFraming framing);

// ---------------------------------------------------------------------------------------------
// 4. Lease
// ---------------------------------------------------------------------------------------------

/// A place in the store's history. After an outage the store may come back from an older copy: its
/// revisions go back and are given out again, and its era rises by one. A position is the era in
/// the upper bits and the revision in the lower ones, so that positions of any eras compare in the
/// order of time. All revisions in this program are positions; only the adapter takes them apart. A
/// store that doesn't state its era is in era 0.
constexpr int storeRevisionBits = 44;
constexpr std::uint64_t maxStoreRevision = (std::uint64_t{1} << storeRevisionBits) - 1;
constexpr std::uint64_t maxStoreEra = (std::uint64_t{1} << (63 - storeRevisionBits)) - 1;

constexpr std::uint64_t storePosition(std::uint64_t era, std::uint64_t revision)
{
    return era << storeRevisionBits | revision;
}

constexpr std::uint64_t storeEra(std::uint64_t position)
{
    return position >> storeRevisionBits;
}

constexpr std::uint64_t storeRevision(std::uint64_t position)
{
    return position & maxStoreRevision;
}

/// For logs: the revision, in eras above 0 as ERA/REVISION.
std::string positionText(std::uint64_t position);

/// Durations that decide when a lease ends and when the next host may take it. All hosts need the
/// same values, since each one computes with its own how long another host's lease is valid.
struct LeaseTiming
{
    Millis m_leaseDuration = {2'000}; // ms valid from the sending of the acknowledged renewal
    Millis m_renewInterval = {700};   // ms between two renewals
    Millis m_handoverDelay = {3'000}; // ms, minimum between orders of two successive holders
    Millis m_safetyMargin = {250}; // ms that the holder stops earlier and a successor waits longer
};

/// The lease record in the store.
struct LeaseRecord
{
    HostName m_holder;                // machine of the holder; empty: the lease was released
    std::string m_run;                // process instance of the holder
    std::uint64_t m_fencingToken = 0; // increases with each new holder
    std::uint64_t m_storeEra = 0;     // of the store, when the record was written
};

/// One host's view of the lease. Invariant: m_validUntil is only extended by a renewal that the
/// store acknowledged, or by an extension that all other hosts granted.
struct Lease
{
    std::uint64_t m_fencingToken = 0; // token of this host's own lease; 0: not held
    Millis m_validUntil;              // the lease is valid until then
    std::uint64_t m_revision = 0;     // store revision of m_lastSeenRecord
    LeaseRecord m_lastSeenRecord;     // the lease record as last seen
    Millis m_recordSeenSince;         // latest time from which its holder may count the validity
    bool m_recordSeen = false;        // false: m_revision and m_lastSeenRecord are not valid
    bool m_tokenUnknown = false;      // m_lastSeenRecord lacks its token, which the store has
    std::uint64_t m_highestToken = 0; // highest fencing token seen, also in earlier eras
    bool m_recordLost = false;        // the store had a record before, or may have had one
    Millis m_missingSince;            // when its absence was seen first; valid if m_recordLost
    std::uint64_t m_missingEra = 0;   // era of the store in which it was seen last
    /// When this host last granted the holder an extension.
    Millis m_extensionGrantedAt = {-1'000'000};

    /// Until then a write of this host whose answer was lost may still be applied in the store, so
    /// this host grants no extension.
    Millis m_unconfirmedWriteUntil = {-1'000'000};
};

/// Whether this host may send orders at `time`: it holds the lease, which remains valid for longer
/// than the safety margin.
bool mayOrder(const Lease &lease, const LeaseTiming &timing, Millis time);

/// Records the lease record as read from the store, or as reported by its holder at that revision.
/// `since` is the latest time from which the holder can count the validity of the lease. Does
/// nothing if that revision or a later one has been seen already.
void observeLease(Lease &lease, const LeaseRecord &record, std::uint64_t revision, Millis since);

/// What a former holder tells of the release of its lease.
struct LeaseRelease
{
    std::string m_run;                // process instance of the former holder
    std::uint64_t m_position = 0;     // of the released record
    std::uint64_t m_fencingToken = 0; // of the released lease; 0: not stated, by an older build
};

/// Records that the lease was released. The receiver may have missed the whole lease, so its
/// fencing token can't be concluded from the record seen before: if the release doesn't state it,
/// the token counts as unknown until the record is read from the store. Does nothing on a host that
/// has never seen the record: it reads it first.
void observeRelease(Lease &lease, const LeaseRelease &release, Millis time);

/// Handles an extension request of the holder with that fencing token, which can't reach the store.
/// Returns true if the extension is granted; this host then won't take the lease before the granted
/// time is over. It is refused if this host holds the lease, knows of a newer holder, or may still
/// become the holder by a write whose answer was lost. A restart loses the grant, but that is safe:
/// a new process waits as long from the moment at which it first sees the record.
bool grantExtension(Lease &lease, std::uint64_t fencingToken, Millis time);

/// Extends the own lease after all other hosts granted the extension that was requested at
/// `requestedAt`.
void extendLease(Lease &lease, const LeaseTiming &timing, Millis requestedAt);

/// Earliest time at which this host may take the lease, provided that the record stays unchanged.
/// If the record names this machine (`self`), it need not wait for expiry and handover delay, since
/// one machine never has two holders at once; only an extension that it granted delays it.
Millis takeoverAllowedAt(const Lease &lease, const LeaseTiming &timing, const HostName &self);

/// Records that the store, in that era, has no lease record. If there was one before, or if the
/// store came back from a copy, some holder may still count on it; the wait before a takeover then
/// starts now.
void observeMissingLease(Lease &lease, std::uint64_t era, Millis time);

/// Whether the record was written before the store came back from a copy. It doesn't tell who held
/// the lease last, since later records were lost.
bool isFromCopy(const LeaseRecord &record, std::uint64_t position);

/// Fencing token for a new holder, valid only unless m_tokenUnknown. It is higher than any of
/// earlier eras, which the records of a copy don't tell.
std::uint64_t nextFencingToken(const Lease &lease, std::uint64_t era);

/// A conditional write of the lease record, and its result.
struct LeaseWrite
{
    LeaseRecord m_record;
    std::uint64_t m_over = 0; // position of the record that it replaces; revision 0: it creates one
    Millis m_began;           // when it was sent
};

struct LeaseWriteResult
{
    bool m_done = false;          // false: the store has another record
    LeaseRecord m_inStore;        // the record in the store after the write
    std::uint64_t m_position = 0; // of m_inStore
};

/// Takes over the result of a write. Returns false if it shows that this host doesn't hold the
/// lease. A write that was done in another era than it was meant for counts as not done: the
/// revision that it replaced was given out again for another record.
bool applyLeaseWrite(Lease &lease, const LeaseTiming &timing, const LeaseWrite &write,
                     const LeaseWriteResult &result, Millis time);

/// Whether the record names this machine: an earlier process on it was the last holder.
bool wasLastHolder(const Lease &lease, const HostName &self);

/// Time at which this host tries to take the lease. Attempts are staggered by the host's `rank`, so
/// that one host writes the record and the others receive its heartbeat before they try. The last
/// holder, if it was restarted, doesn't wait for other hosts. `headStart`: of larger hosts.
Millis takeoverAttemptAt(const Lease &lease, const LeaseTiming &timing, const HostName &self,
                         int rank, Millis headStart);

/// Records that the store acknowledged this host's lease record, whose write was sent at `began`.
void confirmLease(Lease &lease, const LeaseTiming &timing, const LeaseRecord &record,
                  std::uint64_t revision, Millis began, Millis time);

/// Ends this host's own lease; the record as last seen is kept.
void dropLease(Lease &lease);

// ---------------------------------------------------------------------------------------------
// 5. Placement
// ---------------------------------------------------------------------------------------------

/// Demand for one model or adapter, of one host's callers or merged over several hosts.
struct ModelDemand
{
    ModelName m_model;
    AdapterName m_adapter; // empty: the model without an adapter
    int m_waiting = 0;     // requests that wait for the model or adapter to be loaded
    Millis m_longestWait;  // ms that the oldest of those has waited
    int m_feasible = 0;    // of those waiting: can meet the target latency if a swap starts now
    Millis m_slack;        // valid if m_feasible > 0: ms until the first of them misses its target
    double m_rate = 0;     // recent requests per second
    int m_running = 0;     // requests sent to servers and not yet answered
    /// Of those waiting: requests that take up a stream, by the version that they need.
    std::map<SoftwareId, int> m_waitingFor;
};

/// Adds one waiting request, which arrived `waited` ago and has the target latency `target`.
void addWaitingRequest(ModelDemand &demand, Millis waited, Millis target);

/// Adds the demand of another host, or of another adapter, for the same model.
void mergeDemand(ModelDemand &sum, const ModelDemand &demand);

/// What an order does to a model or adapter.
enum class CommandKind : std::uint8_t { Load, Unload };

/// An order to one server.
struct EngineCommand
{
    CommandKind m_kind = CommandKind::Load;
    InstanceId m_server;
    ModelName m_model;
    AdapterName m_adapter;         // empty: the model without an adapter
    std::uint64_t m_sequence = 0;  // executed only if the server has accepted this many orders
    ModelName m_makeRoomFor;       // unload: model that the memory is freed for; empty: none
    bool m_loadsFromStore = false; // load: the server has no local copy of the weights
    const char *m_reason = "";     // reason for the order, for the log
};

/// State of a model server that the placement decisions are based on.
struct PlanServer
{
    InstanceId m_id;
    ServerStatus m_serverStatus;
    bool m_usable = true;        // false: leaving, unreachable, or an order is in progress
    bool m_sequenceKnown = true; // false: send no order before a report shows the sequence number
    SoftwareId m_software;
    ModelName m_pendingModel; // model being loaded, or that an unload makes room for; empty: none
    std::set<ModelName> m_recentlyLoaded; // requests for them may not be counted in m_running yet
    std::map<ModelName, int> m_running;   // running requests by model, summed over all hosts
};

/// State of the model servers of one service, and the demand for its models.
struct PlacementInput
{
    const EngineLimits *m_limits = nullptr;
    std::vector<PlanServer> m_servers;
    std::vector<ModelDemand> m_demands;
    std::set<std::string> m_loadingAdapterKeys; // adapters being loaded, as "server model/adapter"
    bool m_storeLoadAllowed = true; // the rate limit of the weight store allows one more load
};

/// Decides on the next orders, at most one for each server.
std::vector<EngineCommand> planPlacement(const PlacementInput &input);

/// Time from a change to the plan that takes it into account, so that changes are batched. It is
/// longer after a plan that took long: planning may use only a part of the event loop, which also
/// handles requests and whatever this host learns of servers and the configuration.
Millis pauseBeforePlan(Millis lastPlanTook);

/// Whether the server has the weights of the model in its memory or on its disk.
bool hasLocalCopy(const ServerStatus &status, const ModelName &model);

/// Expected time to load the model on that server from the fastest source: its memory, its disk or
/// the weight store.
Millis loadTime(const EngineModel &model, const ServerStatus &status);

/// Memory used by the weights and adapters on a server, in MB, including adapters being loaded.
double memoryUsed(const EngineLimits &limits, const ServerStatus &status);

/// As above, for calls in series: `largestAdapter` is the result of largestAdapterMb(), which looks
/// at all models.
double memoryUsed(const EngineLimits &limits, const ServerStatus &status, double largestAdapter);

/// Size of the largest adapter of all models, in MB.
double largestAdapterMb(const EngineLimits &limits);

/// Whether a further model fits into the memory of the server; false if its size isn't published.
bool fitsModel(const EngineLimits &limits, const ServerStatus &status, const ModelName &model);

// ---------------------------------------------------------------------------------------------
// 6. Hosts
// ---------------------------------------------------------------------------------------------

// See hosts.h.

// ---------------------------------------------------------------------------------------------
// 7. Protocol
// ---------------------------------------------------------------------------------------------

/// Kinds of objects in the platform's store.
enum class ObjectKind : std::uint8_t {
    Configuration,
    Servers,
    Hosts,
    Lease,
    Origins, // software versions that began streams; see streamorigins.h
};

struct StoredObject
{
    std::string m_name;
    std::uint64_t m_revision = 0;
    bool m_deleted = false; // set only in the answer to a watch
    boost::json::value m_content;
};

/// One page of a list, or the changes returned by a watch.
struct ObjectPage
{
    std::vector<StoredObject> m_objects;
    bool m_more = false;          // list: there are more objects after the last name
    std::uint64_t m_revision = 0; // revision from which a watch continues
};

enum class StoreOutcome : std::uint8_t {
    Done,
    Missing,        // no such object
    Conflict,       // the object has another revision, or already exists
    HistoryExpired, // the watch revision is too old: the list has to be read again
    Refused,        // the store did not execute the request
    Unknown,        // no answer: may have been executed, or may still be
};

struct StoreReply
{
    StoreOutcome m_outcome = StoreOutcome::Unknown;
    std::optional<StoredObject> m_object; // with Done and Conflict: as it is in the store
    std::uint64_t m_era = 0;              // of the store
    std::string m_detail;                 // explanation for the log
};

/// Answer of a model server to an order.
enum class CommandOutcome : std::uint8_t {
    Accepted,  // execution has started
    Holds,     // nothing to do: the requested state already holds
    Conflict,  // another order is in progress, or the sequence number differs
    Fenced,    // the server has seen a higher fencing token
    Refused,   // the server can't execute the order
    Elsewhere, // a different server answers at this address
    Unknown,   // no answer: may have been executed, or may still be
};

/// Request for the addresses of the hosts that serve callers.
struct AddressRequest
{
    std::string m_name;
    DataCentre m_dataCentre; // of the asking caller
};

/// Translation between HTTP messages and the structs above, as function pointers, so that this part
/// of the code is independent of the message formats. The functions do no I/O and take no
/// decisions.
struct Protocol
{
    // requests of callers
    RequestMetadata (*readCall)(const std::vector<HttpField> &fields);
    void (*writeForward)(std::vector<HttpField> &fields, const ForwardMetadata &metadata);
    void (*writeHostForward)(std::vector<HttpField> &fields, const HostForwardMetadata &metadata);
    AnswerMetadata (*readAnswer)(const HttpHead &head);
    std::optional<AddressRequest> (*readAddressRequest)(const HttpRequest &request);
    HttpResponse (*writeAddresses)(const std::vector<Endpoint> &hosts, Millis lifetime);
    bool (*isReadinessRequest)(const HttpRequest &request);

    // platform's store
    HttpRequest (*listObjects)(ObjectKind kind, const std::string &after);
    HttpRequest (*watchObjects)(ObjectKind kind, std::uint64_t revision, Millis wait);
    HttpRequest (*getObject)(ObjectKind kind, const std::string &name);
    HttpRequest (*createObject)(ObjectKind kind, const std::string &name,
                                const boost::json::value &content);
    HttpRequest (*replaceObject)(ObjectKind kind, const std::string &name, std::uint64_t revision,
                                 const boost::json::value &content);
    HttpRequest (*deleteObject)(ObjectKind kind, const std::string &name, std::uint64_t revision);
    std::variant<ObjectPage, StoreReply> (*readPage)(const HttpResponse &response);
    StoreReply (*readReply)(const HttpResponse &response);
    Result<RouteTable> (*readRoutes)(const boost::json::value &content);
    Result<BackendServer> (*readServer)(const std::string &name, const boost::json::value &content);

    // model servers
    HttpRequest (*makeReportRequest)();
    Result<ServerStatus> (*readReport)(const HttpResponse &response);
    HttpRequest (*writeCommand)(const EngineCommand &command, const HostName &holder,
                                std::uint64_t fencingToken);
    CommandOutcome (*readCommandReply)(const HttpResponse &response);
};

// ---------------------------------------------------------------------------------------------
// 8. Settings
// ---------------------------------------------------------------------------------------------

/// Settings of one host. Only some of them take effect on a reload; see reloadSettings().
struct GatewaySettings
{
    HostName m_host;
    DataCentre m_dataCentre;
    Endpoint m_caller;                     // listens for callers' requests
    Endpoint m_ready;                      // listens for readiness checks
    Endpoint m_metrics;                    // listens for metrics requests; port 0: none
    Endpoint m_directory;                  // listens for address requests
    Endpoint m_peer;                       // UDP: heartbeats of other hosts; TCP: their requests
    Endpoint m_platform;                   // address of the platform's store
    HostCapacity m_capacity;               // of this host's machine
    MachineLimits m_machine;               // see admission/admission.h
    Millis m_stopTimeLimit = {8'000};      // ms, upper limit of a planned stop
    Millis m_leaseHandoverDelay = {3'000}; // ms, minimum between orders of two successive holders
    double m_retryRatio = 0.1;             // retries allowed for each request
    double m_retrySlack = 10;              // retries allowed in addition, shared by all hosts
    Millis m_retryWindow = {10'000};       // ms, window in which requests and retries are counted
    Millis m_addressLifetime = {2'000};    // ms that callers may cache an address answer
    /// ms after a key was revoked for which some host may still accept it, also one that lost
    /// contact; 0: a host that lost contact goes on with the configuration that it has.
    Millis m_keyCheckWithin = {0};
    /// Tokens that an account with a limit of tokens may get beyond it in some seconds, over all
    /// hosts; 0: none.
    double m_accountSlack = 0;
};

/// Reads and checks a settings file; returns all faults found if it isn't valid.
std::variant<GatewaySettings, std::vector<FileFault>> readGatewaySettings(const std::string &path);

} // namespace apricot
