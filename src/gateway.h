// The gateway: serving where backend servers register themselves and hosts keep nothing.
//
// A host takes callers' requests, picks a backend server for each and passes it on unchanged. One
// host at a time, the lease holder, orders the model servers to load and unload. Everything that
// must last is in the platform's store. All decisions are free functions over the plain structs
// below, with the time passed in; the daemon and the tests run the same code.
//
// Index
//   1. Published        routes, services and models as the operators publish them
//   2. Backend servers  what a server says of itself, and what hosts add to it
//   3. Requests         what a caller asks, which server gets it, when it is sent again
//   4. Lease            which host may give orders
//   5. Placement        which order comes next
//   6. Hosts            which hosts answer callers
//   7. Protocol         the port to the outside: bytes in, the structs above out
//   8. Settings         what one host reads from its own file
//
// Times are Millis on the clock of this process unless the comment says otherwise.
#pragma once

#include "apricot.h"
#include "connection/http.h"

#include <boost/json/value.hpp>
#include <random>
#include <set>

namespace apricot {

// ---------------------------------------------------------------------------------------------
// 1. Published
// ---------------------------------------------------------------------------------------------

enum class Repeat : std::uint8_t {
    Idempotent, // may run any number of times
    AtMostOnce, // one run for each request of a caller
    Resumable,  // a stream that another run may go on with after its last event
};

struct WeightedService
{
    ServiceName m_service;
    int m_weight = 1; // share of the route's requests, against the sum of the weights
};

struct Route
{
    std::string m_name;
    std::string m_host;       // of the Host field, without a port
    std::string m_pathPrefix; // begins and ends with a slash
    Repeat m_repeat = Repeat::AtMostOnce;
    bool m_stream = false;       // answered by server-sent events
    Millis m_timeout = {30'000}; // ms from the request to the end of its answer
    Millis m_target = {1'000};   // ms within which an answer, or a first event, is on time
    int m_rank = 5;              // 0 is the most urgent
    int m_maxAttempts = 1;       // servers that may run one request
    std::vector<WeightedService> m_services; // at least one
};

/// A model as the operators publish it.
struct EngineModel
{
    ModelName m_name;
    double m_weightsMb = 0;        // MB on a server
    double m_adapterMb = 0;        // MB of each adapter
    Millis m_fromStore = {10'000}; // ms of a load from the weight store
    Millis m_fromDisk = {10'000};  // ms of a load from the server's disk
    Millis m_fromMemory = {1'000}; // ms of a load from the server's memory
};

/// What all model servers of a service have in common.
struct EngineLimits
{
    int m_slots = 1;             // requests at once
    double m_weightsMb = 0;      // MB for weights and adapters together
    int m_adapterSlots = 0;      // adapters loaded or being loaded
    double m_loadsPerSecond = 1; // from the weight store, over all servers
    std::map<ModelName, EngineModel> m_models;
};

struct RoutedService
{
    ServiceName m_name;
    std::optional<EngineLimits> m_engine; // none: a plain service
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t m_headBytes = 16 << 10;
    std::size_t m_bodyBytes = 4 << 20;
    Millis m_headTimeout = {3'000};
    Millis m_idleTimeout = {15'000};
};

/// Everything published, at one version. Versions only grow.
struct RouteTable
{
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes; // by host, then longest prefix first; see sortRoutes()
    std::map<ServiceName, RoutedService> m_services;
    CallerLimits m_limits;
};

/// Puts routes in the order that matchRoute() searches.
void sortRoutes(RouteTable &table);

/// The route of the host with the longest prefix of the path; null if there is none. `target` may
/// have a query, `host` a port.
const Route *matchRoute(const RouteTable &table, std::string_view host, std::string_view target);

/// The model servers of a service; null for a plain or unknown one.
const EngineLimits *engineOf(const RouteTable &table, const ServiceName &service);

/// The service for a request: the same key gets the same one, in proportion to the weights.
ServiceName pickService(const Route &route, std::string_view key);

// ---------------------------------------------------------------------------------------------
// 2. Backend servers
// ---------------------------------------------------------------------------------------------

/// One start of one backend server.
using InstanceId = Name<struct InstanceTag>;

struct LoadedModel
{
    ModelName m_name;
    std::vector<AdapterName> m_adapters; // loaded, not those on their way

    bool operator==(const LoadedModel &) const = default;
};

/// What a server says of itself, in the store or in a report.
struct ServerWord
{
    std::int64_t m_born = 0;           // Unix ms of its start; an id may be used for several starts
    std::uint64_t m_sequence = 0;      // orders accepted since its start; 0 in the list's entries
    bool m_busy = false;               // loads or unloads a model
    std::vector<LoadedModel> m_models; // ready
    std::set<ModelName> m_inMemory;    // copies of weights on that server
    std::set<ModelName> m_onDisk;
    int m_comingAdapters = 0; // adapters on their way
};

/// A server in the platform's list.
struct BackendServer
{
    InstanceId m_id;
    ServiceName m_service;
    Endpoint m_endpoint;
    DataCentre m_dataCentre;
    int m_slots = 1;        // requests at once
    bool m_leaving = false; // gets no new request
    ServerWord m_word;
};

/// What a server's answer says about its load.
struct ServerLoad
{
    int m_running = 0;
    int m_waiting = 0;
    int m_slots = 0; // 0: the answer said nothing
};

/// Hard to say whether a server holds a model: its own entry lags, the lease holder's notice may be
/// lost, and the server itself may just have refused.
struct KnownServer
{
    BackendServer m_server;
    Millis m_entryHeard;                // when m_server last changed
    std::optional<ServerWord> m_notice; // from the lease holder, newer than the entry
    Millis m_noticeHeard;               // valid if m_notice
    bool m_missing = false;             // gone from the list, while the store just came back
    Millis m_missingUntil;              // valid if m_missing: from then on the server is gone
    int m_inFlight = 0;                 // requests of this host
    ServerLoad m_load;                  // of its last answer
    Millis m_loadHeard;                 // when
    int m_loadInFlight = 0;             // m_inFlight then
    Millis m_avoidUntil;                // after a failure: only if no other server can
    int m_failures = 0;                 // in a row
    std::map<ModelName, int> m_running; // requests of this host, by model
    std::map<std::string, Millis> m_refusedUntil; // "model/adapter" that it just refused
};

/// All servers that a host knows.
struct Roster
{
    std::map<InstanceId, KnownServer> m_servers;
    std::uint64_t m_revision = 0; // of the store, at which m_servers was the whole list
};

/// The models that a server has ready: by the lease holder's notice, which knows of orders that
/// the entry doesn't show yet, unless the entry changed well after it.
const ServerWord &latestWord(const KnownServer &known);

/// Takes an entry of the platform's list. What was known of an earlier start is forgotten.
void takeEntry(Roster &roster, const BackendServer &server, Millis time);

/// Takes a notice of the lease holder about a server; false if it is older than what is known.
bool takeNotice(Roster &roster, const InstanceId &server, const ServerWord &word, Millis time);

/// The list lacks a server, or says that it is gone. Entries lapse in an outage of the store and
/// are back soon after it: until `lapseEnd` a server that didn't say that it leaves is kept. False:
/// it was dropped, or not known.
bool loseEntry(Roster &roster, const InstanceId &server, Millis lapseEnd, Millis time);
void dropMissing(Roster &roster, Millis time);

/// Tells rosters apart by which servers there are, which start of them, and which are leaving.
std::uint64_t digestOf(const Roster &roster);

bool holdsModel(const ServerWord &word, const ModelName &model, const AdapterName &adapter);

// ---------------------------------------------------------------------------------------------
// 3. Requests
// ---------------------------------------------------------------------------------------------

/// What a caller's request says besides its bytes.
struct CallTerms
{
    std::string m_id;                 // of this attempt
    ModelName m_model;                // empty: a plain service
    AdapterName m_adapter;            // empty: the model itself
    std::string m_sharedPrompt;       // names the parts that other requests share; empty: none
    std::optional<Millis> m_patience; // how long the caller waits
};

/// What the gateway adds for the server.
struct ForwardTerms
{
    InstanceId m_server;
    Millis m_patience;                        // what is left
    std::optional<int> m_rank;                // 0 is the most urgent
    std::optional<std::string> m_resumeAfter; // id of the last event that the caller has
};

/// What a server's answer says besides its bytes.
struct AnswerTerms
{
    std::string m_id;           // of the request that it answers; empty: none said
    bool m_signed = false;      // comes from a server that ran or judged the request
    bool m_notRun = false;      // the server says that it did not run the request
    bool m_misdirected = false; // another server, or the model isn't there
    bool m_encoded = false;     // not the bytes the server made
    bool m_events = false;      // a stream of events
    ServerLoad m_load;
};

/// Request counts of the last seconds; retries may be a share of the requests and a few more.
struct RetryBudget
{
    double m_ratio = 0.1; // retries for each request
    double m_slack = 5;   // retries beyond that
    Millis m_window = {10'000};
    std::deque<Millis> m_requests;
    std::deque<Millis> m_retries;
};

void noteRequest(RetryBudget &budget, Millis time);

/// True if one more retry fits; it is then counted.
bool takeRetry(RetryBudget &budget, Millis time);

/// What decides on a server for one request.
struct ChoiceInput
{
    ServiceName m_service;
    ModelName m_model; // empty: any server of the service
    AdapterName m_adapter;
    std::string m_affinity; // the same text prefers the same server; empty: no preference
    DataCentre m_here;
    std::set<InstanceId> m_tried; // by this request
};

struct ServerChoice
{
    InstanceId m_server; // empty: none holds the model, or none is there
    double m_load = 0;   // expected, requests over slots
    int m_candidates = 0;
};

/// The least loaded server that can run the request; equals are told apart by affinity and data
/// centre. Servers that failed lately come last.
ServerChoice chooseServer(const Roster &roster, const ChoiceInput &input, Millis time);

/// What a server's own answer at the deadline still needs to get here.
constexpr Millis lastWordTime = {80};

/// How long one server may take to begin its answer. Only if the request may be repeated, and there
/// is another server to try, does one that stays silent leave time for it. `runs`: earlier sends
/// that may have run; `candidates`: servers that could be chosen.
Millis answerTimeout(const Route &route, int runs, int candidates, Millis left);

/// How long a request may wait for its model, out of the time allowed: not until the caller has
/// given the silent stream up, and not so long that no time is left to come back.
Millis modelWait(const Route &route, Millis allowed);

/// Notes the end of a use: a good one clears the record of failures.
void noteUse(KnownServer &known, bool good, Millis time);

/// Cuts a stream into whole events, and knows the id of the last one.
/// Invariant: m_rest holds no end of an event.
struct EventScanner
{
    std::string m_rest;
    std::string m_lastId; // of the last whole event; empty: none had one
};

/// The whole events in what came, in order, as one text.
std::string scanEvents(EventScanner &scanner, std::string_view bytes);

// ---------------------------------------------------------------------------------------------
// 4. Lease
// ---------------------------------------------------------------------------------------------

struct LeaseTiming
{
    Millis m_length = {2'000}; // from the start of the renewal that was acknowledged
    Millis m_renew = {700};    // between renewals
    Millis m_turn = {3'000};   // orders of two hosts are at least this far apart
    Millis m_margin = {250};   // a holder stops earlier and a successor waits longer
};

/// The record in the store.
struct LeaseRecord
{
    HostName m_holder;
    std::string m_run;         // of the holder's process
    std::uint64_t m_fence = 0; // grows with each holder
};

/// One host's view of the lease. Invariant: m_validUntil never counts from a renewal that neither
/// the store acknowledged nor all other hosts granted.
struct Lease
{
    std::uint64_t m_fence = 0;    // of ours; 0: never held
    Millis m_validUntil;          // orders may be sent before this
    std::uint64_t m_revision = 0; // of the record as last seen
    LeaseRecord m_seen;           // the record as last seen
    Millis m_seenSince;           // its holder's time counts from here at the latest
    bool m_anySeen = false;
    Millis m_promisedAt = {-1'000'000}; // when this host last granted the holder more time
    Millis m_doubtUntil = {-1'000'000}; // a record of ours may yet be written: no promises
};

bool mayOrder(const Lease &lease, const LeaseTiming &timing, Millis time);

/// Notes the record as it is in the store, or was at a revision that the holder told. `since` is
/// the time from which its holder may count at the latest.
void seeLease(Lease &lease, const LeaseRecord &record, std::uint64_t revision, Millis since);

/// The holder's process `run` gave the lease back, and its record has that revision now. A host
/// that never saw the record must read it first: the release doesn't tell the fencing number.
void seeRelease(Lease &lease, const std::string &run, std::uint64_t revision, Millis time);

/// The holder of that fence can't reach the store and asks for more time. True: granted, and this
/// host won't take the lease before that time is over. A restart forgets the promise, but a new
/// process waits as long from the first sight of the record.
bool promiseLease(Lease &lease, std::uint64_t fence, Millis time);

/// All other hosts granted what was asked at `asked`.
void extendLease(Lease &lease, const LeaseTiming &timing, Millis asked);

/// When this host may take the lease, if the record stays as it was seen. At once if the record
/// names this host: orders of one machine have one holder.
Millis takeableAt(const Lease &lease, const LeaseTiming &timing, const HostName &self);

/// The record names this machine: an earlier process of it was the last holder.
bool ownsRecord(const Lease &lease, const HostName &self);

/// When this host, of that rank, tries to take the lease: one host after the other, so that one
/// writes and the rest hear of it. The last holder, started anew, has no one to wait for.
Millis seekAt(const Lease &lease, const LeaseTiming &timing, const HostName &self, int rank);

/// The store acknowledged a record of ours that was sent at `began`.
void holdLease(Lease &lease, const LeaseTiming &timing, const LeaseRecord &record,
               std::uint64_t revision, Millis began, Millis time);
void dropLease(Lease &lease);

// ---------------------------------------------------------------------------------------------
// 5. Placement
// ---------------------------------------------------------------------------------------------

/// What all hosts' callers want of one model or adapter.
struct ModelDemand
{
    ModelName m_model;
    AdapterName m_adapter; // empty: the model itself
    int m_waiting = 0;     // requests that can't be sent yet
    Millis m_oldest;       // how long the first has waited
    int m_hopeful = 0;     // of those waiting: still on time if a swap began now
    Millis m_slack;        // valid if m_hopeful: time until the first of them is late
    double m_rate = 0;     // requests a second, lately
    int m_running = 0;     // requests sent and not ended
};

/// Counts one more waiting request, that came `waited` ago and is on time for `target` after that.
void addWaiting(ModelDemand &demand, Millis waited, Millis target);

/// Adds what another host, or another adapter's callers, want of the same model.
void addDemand(ModelDemand &sum, const ModelDemand &demand);

enum class CommandKind : std::uint8_t { Load, Unload };

/// One order to one server.
struct EngineCommand
{
    CommandKind m_kind = CommandKind::Load;
    InstanceId m_server;
    ModelName m_model;
    AdapterName m_adapter;        // empty: the model itself
    std::uint64_t m_sequence = 0; // carried out only if the server has accepted so many orders
    ModelName m_purpose;          // unload: makes room for this
    bool m_fromStore = false;     // load: no copy on the server
    const char *m_reason = "";
};

/// A model server as the lease holder sees it.
struct PlanServer
{
    InstanceId m_id;
    ServerWord m_word;
    bool m_usable = true;        // false: leaving, unreachable, or an order is being carried out
    bool m_sequenceKnown = true; // false: wait for a report before ordering
    ModelName m_pending;         // load under way, or unload that makes room for it; empty: none
    std::set<ModelName> m_fresh; // just loaded: their callers are on the way, unseen yet
    std::map<ModelName, int> m_running; // requests, by model, over all hosts
};

struct PlacementInput
{
    const EngineLimits *m_limits = nullptr;
    std::vector<PlanServer> m_servers;
    std::vector<ModelDemand> m_demands;
    std::set<std::string> m_comingAdapters; // "server model/adapter"
    bool m_storeLoadDue = true;             // the rate allows one more
};

/// The next orders, at most one for each server.
std::vector<EngineCommand> planPlacement(const PlacementInput &input);

/// Where the weights are on that server.
bool isCopyThere(const ServerWord &word, const ModelName &model);

/// A load there takes so long: from its memory, its disk or the weight store.
Millis loadTime(const EngineModel &model, const ServerWord &word);

/// Weights and adapters on a server, MB. Counts adapters on their way.
double memoryUsed(const EngineLimits &limits, const ServerWord &word);

/// Whether one more model fits on a server; false if its size isn't published.
bool fitsModel(const EngineLimits &limits, const ServerWord &word, const ModelName &model);

// ---------------------------------------------------------------------------------------------
// 6. Hosts
// ---------------------------------------------------------------------------------------------

/// A host in the register of hosts, which stands in the store.
struct HostEntry
{
    HostName m_host;
    DataCentre m_dataCentre;
    Endpoint m_caller;
    Endpoint m_peer;
    std::string m_run;            // of its process
    std::uint64_t m_revision = 0; // of the entry
};

// ---------------------------------------------------------------------------------------------
// 7. Protocol
// ---------------------------------------------------------------------------------------------

enum class ObjectKind : std::uint8_t { Configuration, Servers, Hosts, Lease };

struct StoredObject
{
    std::string m_name;
    std::uint64_t m_revision = 0;
    bool m_deleted = false; // in a watch only
    boost::json::value m_content;
};

/// One page of a list, or the changes that a watch tells.
struct ObjectPage
{
    std::vector<StoredObject> m_objects;
    bool m_more = false;          // list: continue after the last name
    std::uint64_t m_revision = 0; // watch from here
};

enum class StoreOutcome : std::uint8_t {
    Done,
    Missing,     // no such object
    Conflict,    // another revision, or it exists
    HistoryGone, // list anew
    Refused,     // not done
    Unknown,     // no answer: may have been done, or may be yet
};

struct StoreReply
{
    StoreOutcome m_outcome = StoreOutcome::Unknown;
    std::optional<StoredObject> m_object; // Done, Conflict: as it is in the store
    std::string m_detail;                 // for the log
};

enum class CommandOutcome : std::uint8_t {
    Accepted,  // being carried out
    Holds,     // was so already, or is done
    Conflict,  // another order runs, or the sequence differs
    Fenced,    // a holder with a higher fencing number was there
    Refused,   // the server can't
    Elsewhere, // another server has the address
    Unknown,   // no answer
};

struct AddressAsk
{
    std::string m_name;
    DataCentre m_dataCentre;
};

/// The port to the outside. Every function only translates.
struct Protocol
{
    // callers
    CallTerms (*readCall)(const std::vector<HttpField> &fields);
    void (*writeForward)(std::vector<HttpField> &fields, const ForwardTerms &terms);
    AnswerTerms (*readAnswer)(const HttpHead &head);
    std::optional<AddressAsk> (*readAddressAsk)(const HttpRequest &request);
    HttpResponse (*writeAddresses)(const std::vector<Endpoint> &hosts, Millis keep);
    bool (*isReadyAsk)(const HttpRequest &request);

    // the store
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
    HttpRequest (*askReport)();
    Result<ServerWord> (*readReport)(const HttpResponse &response);
    HttpRequest (*writeCommand)(const EngineCommand &command, const HostName &holder,
                                std::uint64_t fence);
    CommandOutcome (*readCommandReply)(const HttpResponse &response);
};

// ---------------------------------------------------------------------------------------------
// 8. Settings
// ---------------------------------------------------------------------------------------------

struct GatewaySettings
{
    HostName m_host;
    DataCentre m_dataCentre;
    Endpoint m_caller;             // callers' requests
    Endpoint m_ready;              // readiness
    Endpoint m_metrics;            // counters and histograms; port 0: none
    Endpoint m_directory;          // address answers
    Endpoint m_peer;               // UDP, other hosts
    Endpoint m_platform;           // the store
    Millis m_stopWithin = {8'000}; // a planned stop takes no longer
    Millis m_leaseTurn = {3'000};  // orders of two hosts are at least this far apart
    double m_retryRatio = 0.1;     // retries for each request, over all hosts
    double m_retrySlack = 10;      // retries beyond that, over all hosts
    Millis m_retryWindow = {10'000};
    Millis m_addressKeep = {2'000}; // how long callers keep an address answer
};

std::variant<GatewaySettings, std::vector<FileFault>> readGatewaySettings(const std::string &path);

} // namespace apricot
