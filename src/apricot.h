// apricotdyke: the public header, and its manual.
//
// The library answers callers' requests for rarely used models. It doesn't own the main loop: a
// daemon creates an io_context, fills in Settings, calls startNode() and runs the io_context.
// All decisions are free functions over plain structs, with the current time as a parameter, so
// the daemon, the replay tool and the tests run the same code.
//
// Index
//   1. Units and ids        Millis, Megabytes, names, Incarnation, Endpoint
//   2. Clock                monotonic clock, or a manual one for tests and replay
//   3. Errors               the closed list of error kinds and the HTTP response of each
//   4. Configuration        what operators publish
//   5. Membership           which hosts are alive, and which of them are the homes of a model
//   6. Cells                groups of model servers, and what is or may be loaded on them
//   7. Planning             which loads and unloads to order next
//   8. Requests             tickets, routing, admission
//   9. Settings             what one host reads from its own file at start
//
// Terms
//   host             one daemon, named in its settings; each start of it is a new incarnation
//   backend server   runs the requests; a model server has accelerators, into whose memory its
//                    engine loads models and their adapters
//   platform         external object store with conditional writes (process/platform.h)
//   cell             a group of model servers; one host, its owner, decides what is loaded on them
//   slot             memory on one accelerator that a model or adapter takes or may take
//   order            a load or unload that a cell's owner sends to an engine
//   replica          a model loaded on one server
//   home             host to which a model's callers are directed, see rankMembers()
//
// Every struct is usable when zero-initialized. There are no private members, so that all state
// can be seen in a debugger. Times are Millis on the clock of this process unless the comment says
// otherwise.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace apricot {

// ---------------------------------------------------------------------------------------------
// 1. Units and ids
// ---------------------------------------------------------------------------------------------

/// A point in time or a duration, in milliseconds.
struct Millis
{
    std::int64_t m_count = 0; // ms

    auto operator<=>(const Millis &) const = default;
    Millis operator+(Millis other) const { return {m_count + other.m_count}; }
    Millis operator-(Millis other) const { return {m_count - other.m_count}; }
    Millis operator*(std::int64_t factor) const { return {m_count * factor}; }
};

/// Accelerator memory, in MiB.
struct Megabytes
{
    std::int64_t m_count = 0; // MiB

    auto operator<=>(const Megabytes &) const = default;
    Megabytes operator+(Megabytes other) const { return {m_count + other.m_count}; }
    Megabytes operator-(Megabytes other) const { return {m_count - other.m_count}; }
};

/// A string typed by what it names, so that, say, a host name can't be passed as a model name.
template<typename Tag>
struct Name
{
    std::string m_text; // empty: none

    auto operator<=>(const Name &) const = default;
};

using HostName = Name<struct HostTag>;
using ServerName = Name<struct ServerTag>;
using DataCentre = Name<struct DataCentreTag>;
using ServiceName = Name<struct ServiceTag>;
using ModelName = Name<struct ModelTag>;
using AdapterName = Name<struct AdapterTag>;
using WorkName = Name<struct WorkTag>;
using CellName = Name<struct CellTag>;

/// Identifies one process instance of a host. A restarted process has a larger value.
struct Incarnation
{
    std::uint64_t m_value = 0; // 0: none

    auto operator<=>(const Incarnation &) const = default;
};

/// Identifies an order to an engine; numbers are unique within the incarnation of the sender.
struct OrderId
{
    Incarnation m_sender;       // process instance that sends the order
    std::uint64_t m_number = 0; // counts from 1; 0: none

    auto operator<=>(const OrderId &) const = default;
};

/// Counts the successive owners of a cell; each order carries it as its fencing token.
struct Epoch
{
    std::uint64_t m_value = 0; // 0: the cell never had an owner

    auto operator<=>(const Epoch &) const = default;
};

/// An IP address and a port.
struct Endpoint
{
    std::string m_ip;         // numeric address, never a DNS name
    std::uint16_t m_port = 0; // 0: none

    auto operator<=>(const Endpoint &) const = default;
};

/// "10.0.0.1:80".
std::string toText(const Endpoint &endpoint);

/// Parses "10.0.0.1:80"; empty unless the text is an IP address and a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// 64-bit xxHash of a text. Hosts of all versions must compute the same value, since rendezvous
/// hashing relies on it.
std::uint64_t stableHash(std::string_view text);

/// Formats a value as sixteen hex digits.
std::string toHex(std::uint64_t value);

/// Parses the output of toHex().
std::optional<std::uint64_t> parseHex(std::string_view text);

// ---------------------------------------------------------------------------------------------
// 2. Clock
// ---------------------------------------------------------------------------------------------

/// The clock that all code of a process reads. Zero-initialized, it reads the machine's monotonic
/// clock, including time for which the machine was suspended. With m_manual set, its time is
/// m_now, which a test or the replay tool advances.
struct Clock
{
    bool m_manual = false; // true: the time is m_now
    Millis m_now;          // valid if m_manual
};

Millis now(const Clock &clock);

// ---------------------------------------------------------------------------------------------
// 3. Errors
// ---------------------------------------------------------------------------------------------

/// Every way in which a request, an order or a command can fail. The list is closed: a new failure
/// is mapped to one of these kinds, or gets a value here and a row in the table of errors.cpp.
enum class ErrorKind : std::uint8_t {
    None,
    BadRequest,
    UnknownService,
    UnknownRoute,
    UnknownModel,
    UnknownAdapter,
    UnknownWork,
    TooLarge,
    DeadlineUnmeetable,
    DeadlinePassed,
    QueueFull,
    NoCapacity,
    NoBackendServer,
    PlatformUnavailable,
    LoadFailed,
    BackendRefused,
    BackendBroken,
    CrossedAnswer,
    TicketUnknown,
    TicketHolderGone,
    TicketSpent,
    CallerGone,
    NotReady,
    Stopping,
    Conflict,
    Internal,
    PartQuarantined,
    RequestQuarantined,
    ReachedElsewhere,
    KeyUnknown,
    KeyUnverifiable,
    QuotaExceeded,
    QuotaUnavailable,
    Overloaded,
};

/// Whether a backend server ran the request, as far as this host knows. NotRun is a guarantee: it
/// is reported only if no byte of the request was written to a backend server, or if the backend
/// server itself stated that it refused the request without running it.
enum class RunState : std::uint8_t { NotRun, Ran, Unknown };

/// The HTTP response for one kind of error.
struct ErrorResponse
{
    ErrorKind m_kind = ErrorKind::None;
    const char *m_name = "";           // in responses, logs and metrics
    unsigned m_status = 500;           // HTTP status
    bool m_sendsRetryAfter = false;    // true: the response has a Retry-After field
    RunState m_run = RunState::NotRun; // default, unless the failure states another
    const char *m_text = "";           // description for people
};

/// The row of the error table for a kind.
const ErrorResponse &errorResponseFor(ErrorKind kind);

/// All rows, in the order of ErrorKind.
const std::vector<ErrorResponse> &errorTable();

const char *toText(RunState run);

/// A failure to be reported to a caller, an operator or the log.
struct Failure
{
    ErrorKind m_kind = ErrorKind::None;
    std::string m_detail;              // message for people; may be empty
    RunState m_run = RunState::NotRun; // whether a backend server ran the request
    Millis m_retryAfter;               // valid if the kind's response has Retry-After
    bool m_connectionEnded = false;    // the other side closed or reset the connection
};

/// Makes a failure with the default run state of its kind.
Failure makeFailure(ErrorKind kind, std::string detail, Millis retryAfter = {});

/// Makes a failure whose run state differs from the default of its kind.
Failure makeFailure(ErrorKind kind, std::string detail, RunState run, Millis retryAfter = {});

/// The result of a function that can fail.
template<typename T>
using Result = std::variant<T, Failure>;

template<typename T>
bool ok(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

// ---------------------------------------------------------------------------------------------
// 4. Configuration
// ---------------------------------------------------------------------------------------------

/// Model: requests run on replicas of models, which are loaded on demand. Plain: requests run on
/// the servers of the service, and nothing is loaded.
enum class ServiceKind : std::uint8_t { Model, Plain };

/// Urgency of a kind of work; a smaller value is served first.
enum class Urgency : std::uint8_t { Urgent, Normal, CanWait };

/// One kind of work that a service offers, from its published file.
struct WorkKind
{
    WorkName m_name;
    Urgency m_urgency = Urgency::Normal;
    bool m_idempotent = false;    // false: a request must run at most once
    Millis m_deadline = {30'000}; // default for requests that state no deadline
};

struct AdapterSpec
{
    AdapterName m_name;
    int m_version = 1;
    Megabytes m_memory = {64}; // taken on the accelerator of its model
};

struct ModelSpec
{
    ModelName m_name;
    int m_version = 1;
    Megabytes m_memory;            // taken on one accelerator
    int m_maxReplicas = 1;         // limit of replicas loaded or possibly loading, over all cells
    Millis m_keepAlive = {60'000}; // idle time before the model may be unloaded
    Millis m_loadTime = {2'000};   // expected duration of a load, used for admission
    std::vector<AdapterSpec> m_adapters;
};

struct ServiceSpec
{
    ServiceName m_name;
    ServiceKind m_kind = ServiceKind::Model;
    std::vector<WorkKind> m_work;
    std::vector<ModelSpec> m_models; // for ServiceKind::Model only
};

/// One backend server.
struct ServerSpec
{
    ServerName m_name;
    Endpoint m_endpoint;
    DataCentre m_dataCentre;
    ServiceName m_service;                 // of a plain service's server; else empty
    CellName m_cell;                       // of a model server; else empty
    bool m_checksFencingToken = false;     // true: refuses orders with an older fencing token
    bool m_resumesStreams = false;         // true: can resume a stream at a given token
    bool m_leaving = false;                // true: an operator drains it
    std::vector<Megabytes> m_accelerators; // memory of each; empty if m_service is set
};

/// Load limits of the weight store, from which the engines read the model weights.
struct StoreLimits
{
    double m_loadsPerSecond = 4;          // load starts per second
    int m_maxConcurrentLoads = 4;         // model loads; more would slow each other down
    int m_maxConcurrentAdapterLoads = 30; // adapter loads; more would slow each other down
};

/// Published relative costs of a cold start and of an idle accelerator. planCell() doesn't use
/// them.
struct PlanWeights
{
    double m_coldStart = 1; // cost per second for which a caller waits
    double m_idle = 1;      // cost per second for which an accelerator is idle
};

/// One of the operators' files, with its original text.
struct PublishedFile
{
    std::string m_name; // "service:NAME" or "deployment"
    std::string m_text; // YAML
    std::string m_path; // path given to `apricotctl`, for messages
};

/// The cell that decides on the replicas of a model. It is assigned when the model is first
/// published and never changes, so that adding cells doesn't move a model that may be loaded.
struct ModelCell
{
    ModelName m_model;
    CellName m_cell;
};

/// One version of everything that operators published. Version numbers only grow.
struct Configuration
{
    std::uint64_t m_number = 0; // 0: nothing published yet
    std::string m_id;           // unique id of this version
    std::string m_parent;       // m_id of the previous version
    std::string m_publisher;    // name of the operator who published it
    std::vector<PublishedFile> m_files;
    std::vector<ServiceSpec> m_services;
    std::vector<ServerSpec> m_servers;
    StoreLimits m_store;
    PlanWeights m_weights;
    std::vector<ModelCell> m_modelCells; // fixed assignments; see ModelCell
};

/// A validation fault in an operators' file.
struct FileFault
{
    std::string m_path;
    int m_line = 0;      // counts from 1
    std::string m_field; // "models[2].memory-mb"
    std::string m_message;
};

/// "tasting.yaml:12: models[2].memory-mb: must be above zero".
std::string toText(const FileFault &fault);

/// Adds one operators' file to the configuration. Returns all faults found in the file.
std::vector<FileFault> readPublishedFile(PublishedFile file, Configuration &configuration);

/// Finds faults across files: a model defined twice, a server that belongs to no cell, a model that
/// fits on no accelerator.
std::vector<FileFault> validateConfiguration(const Configuration &configuration);

/// Serializes the files, version numbers and cell assignments as the JSON that the platform stores.
std::string writeConfiguration(const Configuration &configuration);

/// Parses the output of writeConfiguration() and the files in it. A file that `known` holds with
/// the same text isn't parsed again, since parsing all of many files after a change of one would
/// stall an I/O thread.
Result<Configuration> parseConfiguration(std::string_view json,
                                         const Configuration *known = nullptr);

const ServiceSpec *findService(const Configuration &configuration, const ServiceName &name);
const WorkKind *findWork(const ServiceSpec &service, const WorkName &name);
const ModelSpec *findModel(const ServiceSpec &service, const ModelName &name);
const ModelSpec *findModel(const Configuration &configuration, const ModelName &name);
const ServerSpec *findServer(const Configuration &configuration, const ServerName &name);
const AdapterSpec *findAdapter(const ModelSpec &model, const AdapterName &name);

/// The cells that have servers, sorted by name.
std::vector<CellName> cellsOf(const Configuration &configuration);

/// The cell that decides on the replicas of a model: the published assignment, else rendezvous
/// hashing over the cells. A model has a single cell so that one record counts all its replicas.
CellName cellOfModel(const Configuration &configuration, const ModelName &model);

/// Assigns a cell permanently to each model that has none. Called when publishing.
void assignCells(Configuration &configuration);

// ---------------------------------------------------------------------------------------------
// 5. Membership
// ---------------------------------------------------------------------------------------------

enum class Liveness : std::uint8_t { Alive, Suspect, Dead };

/// What is known of one host. Only the host itself raises its m_revision; other hosts may only
/// mark it as suspect or dead.
struct Member
{
    HostName m_host;
    Incarnation m_incarnation;    // larger for a later process instance
    std::uint64_t m_revision = 0; // larger for later state sent by the host itself
    Liveness m_liveness = Liveness::Alive;
    bool m_leaving = false; // true: no longer given to callers as an address
    DataCentre m_dataCentre;
    Endpoint m_caller;                // where callers connect
    Endpoint m_peer;                  // TCP and UDP for other hosts
    std::uint64_t m_configNumber = 0; // version of the configuration in force on the host
    std::uint64_t m_listNumber = 0;   // version of the MachineList known to the host
    Millis m_changed;                 // local time of the last change of m_liveness
};

/// The owner of a cell as spread by gossip. Only the cell's record in the platform is
/// authoritative; claims let hosts find the owner without reading the record.
struct CellClaim
{
    CellName m_cell;
    Epoch m_epoch;       // the claim with the larger epoch is kept
    HostName m_host;     // host of the owner
    Incarnation m_owner; // process instance that owns the cell
};

/// A change of a member or a claim that is still to be spread. The values are read from
/// Membership when it is sent.
struct GossipUpdate
{
    HostName m_host;     // the changed member; empty: the claim of m_cell changed
    CellName m_cell;     // valid if m_host is empty
    int m_sendsLeft = 0; // dropped when it reaches 0
};

struct MembershipTiming
{
    Millis m_probePeriod = {250};      // time between probes
    Millis m_probeAckTimeout = {120};  // time without an ack until indirect probes are sent
    Millis m_suspicionTimeout = {900}; // time until a suspected member is declared dead
    Millis m_deadRetention = {60'000}; // time for which dead members are kept in the table
    int m_indirectProbers = 2;         // hosts asked to probe an unresponsive member
    int m_updatesPerMessage = 8;       // limit of gossip updates in one message
    int m_sendsPerUpdate = 6;          // minimum; grows with log2 of the number of members
};

/// One host's view of all hosts, maintained by a SWIM-like protocol.
/// Invariants: m_members holds m_self; the entry of m_self is never Suspect or Dead; the pair
/// (incarnation, revision) of an entry never decreases.
struct Membership
{
    HostName m_self;
    MembershipTiming m_timing;
    std::map<HostName, Member> m_members;
    std::map<CellName, CellClaim> m_claims;
    std::deque<GossipUpdate> m_gossipQueue;
    std::vector<HostName> m_probeOrder; // hosts left in this probe round, shuffled
    HostName m_probed;                  // host whose ack is awaited; empty: none
    std::uint64_t m_probeNumber = 0;    // of the probe of m_probed
    Millis m_probeSent;                 // when m_probed was probed
    bool m_indirectProbesSent = false;  // true: indirect probes of m_probed were sent
    std::uint64_t m_seed = 1;           // state of the random generator for shuffles
};

/// State of a server or host in the platform's list. The list lags behind the actual state.
enum class ListedState : std::uint8_t { Live, Leaving, Gone };

struct ListedMachine
{
    std::string m_name; // of a server or a host
    ListedState m_state = ListedState::Live;
};

struct MachineList
{
    std::uint64_t m_number = 0;            // version of the platform's object
    std::vector<ListedMachine> m_machines; // machines that aren't listed are live
};

std::string writeMachineList(const MachineList &list);
Result<MachineList> parseMachineList(std::string_view json, std::uint64_t number);
ListedState stateOf(const MachineList &list, std::string_view name);

/// True if the server is to be drained, by the list or by an operator, or is no longer published
/// (null).
bool isLeaving(const ServerSpec *server, const MachineList &list);

/// The probes to send after a tick.
struct ProbePlan
{
    std::optional<Member> m_direct;        // host to probe with Membership::m_probeNumber
    std::optional<Member> m_target;        // host for m_indirectProbers to probe
    std::vector<Member> m_indirectProbers; // hosts to send indirect probe requests to
    std::vector<Member> m_changed; // members suspected or declared dead by this tick, for the log
};

/// Makes a membership with the host itself as the only member.
Membership makeMembership(Member self, std::uint64_t seed);

/// Call about every 50 ms. Starts probes, suspects members that don't acknowledge, and declares
/// members dead that stay suspect for m_suspicionTimeout.
ProbePlan tickMembership(Membership &membership, Millis time);

/// Ends the probe with this number, unless a newer probe has replaced it.
void ackReceived(Membership &membership, std::uint64_t probeNumber);

/// Merges a member's state received from another host; true if it was newer than the known state.
bool mergeMember(Membership &membership, const Member &member, Millis time);

/// Merges a cell's claim; true if its epoch is larger than that of the known claim.
bool mergeClaim(Membership &membership, const CellClaim &claim);

/// New values of this host's own member entry.
struct SelfUpdate
{
    bool m_leaving = false;
    std::uint64_t m_configNumber = 0;
    std::uint64_t m_listNumber = 0;
};

/// Changes this host's own entry: raises its revision and queues it for gossip.
void updateSelf(Membership &membership, const SelfUpdate &update);

/// Declares an incarnation of a host dead at once. Call only on proof that the process instance
/// ended: a refused connection or the platform's list.
void markDead(Membership &membership, const HostName &host, Incarnation incarnation, Millis time);

/// The gossip to attach to one message.
struct GossipBatch
{
    std::vector<Member> m_members;
    std::vector<CellClaim> m_claims;
};

/// Takes the updates for the next message; each update taken uses up one of its sends.
GossipBatch takeGossipBatch(Membership &membership);

/// Members that are alive (so not suspect) and not leaving, sorted by name.
std::vector<Member> liveMembers(const Membership &membership);

/// Orders hosts by rendezvous hashing for a key, best first. The best hosts for the key of a model
/// are its homes: its callers are directed to them, and they request replicas from the cell's
/// owner.
std::vector<Member> rankMembers(std::vector<Member> members, std::string_view key);

/// The hosts to give to a caller: the `homes` best hosts for the key, those of the caller's data
/// centre first, then the next best as alternatives, at most `limit` in all.
std::vector<Member> addressOrder(const std::vector<Member> &live, std::string_view key,
                                 std::size_t homes, const DataCentre &callerDataCentre,
                                 std::size_t limit);

// ---------------------------------------------------------------------------------------------
// 6. Cells
// ---------------------------------------------------------------------------------------------

enum class OrderKind : std::uint8_t { Load, Unload };
enum class SlotPhase : std::uint8_t { Loading, Loaded, Unloading };

/// One attempt to send an order, which may still reach its engine.
struct OrderAttempt
{
    OrderId m_id;
    OrderKind m_kind = OrderKind::Load;
    Epoch m_epoch;   // fencing token of the order
    HostName m_host; // host of the sender
};

/// Memory on one accelerator that is, or may be, taken by one model or adapter.
/// Invariants: the slot is in the platform's record before any order for it is sent; it is erased
/// only when m_attempts is empty and the engine, asked after the last attempt was resolved, reports
/// that nothing is loaded.
struct Slot
{
    std::uint64_t m_id = 0; // unique within the cell, never reused
    ModelName m_model;
    AdapterName m_adapter; // empty: the slot is for the model itself
    int m_version = 1;
    ServerName m_server;
    int m_accelerator = 0; // index on the server
    Megabytes m_memory;
    SlotPhase m_phase = SlotPhase::Loading;
    std::vector<OrderAttempt> m_attempts; // attempts not yet resolved
};

/// The record of a cell, as stored in the platform. A cell is a group of model servers; one host,
/// its owner, decides what is loaded on them.
/// Invariants: the slots of an accelerator take no more memory than it has; a model has no more
/// slots than its m_maxReplicas, not counting those of adapters; m_epoch never decreases.
struct CellRecord
{
    CellName m_cell;
    Epoch m_epoch;                  // raised by each takeover
    HostName m_ownerHost;           // empty: the cell never had an owner
    Incarnation m_owner;            // process instance of the owner
    std::uint64_t m_lastUpdate = 0; // random id of the last conditional update; after a lost
                                    // answer it shows whether the update was applied
    std::uint64_t m_nextSlot = 1;   // id of the next new slot
    std::vector<Slot> m_slots;
};

std::string writeCellRecord(const CellRecord &record);
Result<CellRecord> parseCellRecord(std::string_view json);

/// State of a slot's model or adapter as reported by the engine. Nothing: not known.
enum class ReportedState : std::uint8_t { Nothing, Loaded, Absent };

/// Memory of an accelerator that no slot reserves.
Megabytes freeMemory(const CellRecord &record, const ServerSpec &server, int accelerator);

/// Number of replicas of a model that are, or may be, loaded. Slots of adapters don't count.
int possibleReplicas(const CellRecord &record, const ModelName &model);

/// A load to be reserved, and the id of its order.
struct LoadRequest
{
    ModelName m_model;
    AdapterName m_adapter;
    int m_version = 1;
    Megabytes m_memory;
    int m_maxReplicas = 1;
    ServerName m_server;
    int m_accelerator = 0;
    OrderId m_order;
};

/// Adds a slot with the attempt of the order about to be sent, and returns the slot's id. Changes
/// nothing and fails if the slot would break the record's invariants.
Result<std::uint64_t> reserveLoad(CellRecord &record, const LoadRequest &request,
                                  const ServerSpec &server);

/// Records the attempt of an unload order about to be sent. Fails unless the slot, and for a model
/// also each slot of its adapters on the same server, is Loaded and has no unresolved attempt. The
/// order for a model unloads its adapters too.
Result<std::uint64_t> recordUnload(CellRecord &record, std::uint64_t slotId, OrderId order);

/// Removes the attempt of an order from its slots. A slot left without attempts is reconciled with
/// the reported state. True if the attempt was in the record.
bool resolveAttempt(CellRecord &record, OrderId order, ReportedState reported);

/// Applies the engine's reported state to a slot without unresolved attempts: Loaded sets its
/// phase, Absent erases the slot, Nothing leaves it for a later report. The report must have been
/// requested after the last attempt was resolved.
void reconcileSlot(CellRecord &record, std::uint64_t slotId, ReportedState reported);

/// Makes `host` the owner, with the next epoch. The unresolved attempts of earlier owners stay.
void takeOver(CellRecord &record, const HostName &host, Incarnation incarnation);

/// Describes a violated invariant of the record; empty if all hold. For tests and assertions.
std::string brokenInvariant(const CellRecord &record, const Configuration &configuration);

// ---------------------------------------------------------------------------------------------
// 7. Planning
// ---------------------------------------------------------------------------------------------

/// Callers waiting for a model or adapter, as its homes report them to the cell's owner.
struct Demand
{
    ModelName m_model;
    AdapterName m_adapter;
    int m_waiting = 0;                   // waiting callers on all homes
    Urgency m_urgency = Urgency::Normal; // of the most urgent caller
    Millis m_waitingSince;               // when the first caller began to wait
    Millis m_latestDeadline;             // latest deadline of all callers
};

/// Where a server reads a model's checkpoint from: its own main memory, its own disk, or the weight
/// store.
enum class Locality : std::uint8_t { Memory, Disk, Remote };

struct CachedModel
{
    ModelName m_model;
    Locality m_locality = Locality::Remote;
};

/// The last report of an engine.
struct ServerReport
{
    ServerName m_server;
    bool m_reachable = false;          // false: nothing new is placed there
    bool m_leaving = false;            // true: nothing new is placed there
    Millis m_reportedAt;               // when the report arrived
    int m_running = 0;                 // requests running; lags
    std::vector<CachedModel> m_cached; // models that aren't listed are remote
};

/// A failed load. The model isn't placed on that server until m_avoidUntil.
struct FailedLoad
{
    ModelName m_model;
    ServerName m_server;
    Millis m_avoidUntil;
};

/// Use of a slot as reported by the homes and the engine.
struct SlotUse
{
    std::uint64_t m_slot = 0;
    Millis m_lastUsed;
    int m_active = 0; // requests running on the slot
};

struct PlanInput
{
    const Configuration *m_configuration = nullptr;
    const CellRecord *m_record = nullptr;
    OrderId m_firstOrder; // id of the first planned order; the next ones count up from it
    std::vector<Demand> m_demands;
    std::vector<ServerReport> m_reports;
    std::vector<SlotUse> m_uses;
    std::vector<FailedLoad> m_failures;
    int m_loadsInFlight = 0; // model loads of this cell in progress
    double m_loadTokens = 0; // load starts allowed now by StoreLimits::m_loadsPerSecond
};

struct PlannedLoad
{
    LoadRequest m_request; // an adapter's order is sent only once its model is loaded
    std::string m_reason;  // key=value text for the log
};

struct PlannedUnload
{
    std::uint64_t m_slot = 0;
    OrderId m_order;
    std::string m_reason;
};

/// A demand that can't be met now, and the failure to report to its callers.
struct Refusal
{
    ModelName m_model;
    AdapterName m_adapter;
    Failure m_failure;
};

struct Plan
{
    CellRecord m_next; // the record with all planned loads and unloads entered
    std::vector<PlannedLoad> m_loads;
    std::vector<PlannedUnload> m_unloads;
    std::vector<Refusal> m_refusals;
};

/// Plans loads and unloads for a cell.
/// Load priority: more urgent demands first, then most waiting callers per second of load time.
/// Placement: nearest checkpoint, then most free memory. Unloads: models idle for longer than their
/// keep-alive time, unused models that are no longer published, of an old version or on a leaving
/// server, and, when a demanded model needs the memory, those idle longest. A model whose
/// callers will all have passed their deadline before it is loaded evicts no other model, but is
/// loaded where memory is free: its callers were told when to retry and must then find it loaded.
Plan planCell(const PlanInput &input, Millis time);

// ---------------------------------------------------------------------------------------------
// 8. Requests
// ---------------------------------------------------------------------------------------------

/// Identifies a request that must run at most once, across retries by its caller. Only the process
/// instance that issued the ticket runs the request, and it keeps the ticket's state in memory.
struct Ticket
{
    HostName m_host;
    Incarnation m_issuer;
    std::uint64_t m_number = 0; // counts from 1

    auto operator<=>(const Ticket &) const = default;
};

std::string toText(const Ticket &ticket);
std::optional<Ticket> parseTicket(std::string_view text);

enum class TicketState : std::uint8_t { Issued, Running, Ended };

/// State of a ticket, and the answer to its request.
struct TicketEntry
{
    TicketState m_state = TicketState::Issued;
    std::uint64_t m_request = 0;       // hash of the request that first used the ticket
    Millis m_expires;                  // time after which the entry is dropped
    RunState m_run = RunState::NotRun; // valid if Ended
    unsigned m_status = 0;             // HTTP status of the answer, valid if Ended
    std::string m_body;                // body of the answer, valid if m_bodyKept
    bool m_bodyKept = false;           // false: the body was too large to keep
};

/// One shard of the tickets issued by this process instance, by number.
/// Invariant: the state of an entry only goes from Issued to Running to Ended.
struct TicketShard
{
    std::map<std::uint64_t, TicketEntry> m_entries;
};

enum class TicketUse : std::uint8_t { Run, Wait, Replay, Unknown, OtherRequest };

/// Decides what to do with a request that presents a ticket. The first use returns Run and marks
/// the entry as Running; later uses return Wait while the request runs, then Replay. Unknown: the
/// ticket was never issued or has expired. OtherRequest: it was first used for another request.
TicketUse useTicket(TicketShard &shard, std::uint64_t number, std::uint64_t request, Millis time);

/// A replica as seen by a router.
struct ReplicaView
{
    ServerName m_server;
    std::uint64_t m_slot = 0;
    int m_reportedRunning = 0;    // running requests in the last report
    int m_sentSinceUpdate = 0;    // requests sent by this host since that report
    bool m_adapterLoaded = false; // true: the requested adapter is loaded
    bool m_prefixHint = false;    // prompt prefix probably cached; may be stale
    bool m_sameDataCentre = false;
    bool m_leaving = false; // true: never chosen
};

struct RouteChoice
{
    int m_index = -1;     // into the views; -1: none is usable
    std::string m_scores; // "server=score,..." for the log
};

/// Chooses the replica with the least load: the reported one plus requests sent since the report.
/// A loaded adapter or a cached prefix outweighs some load.
RouteChoice chooseReplica(const std::vector<ReplicaView> &views);

/// Orders the servers of a plain service by rendezvous hashing for a key, those of the local data
/// centre first. Includes leaving servers, which the caller of the function omits.
std::vector<ServerSpec> plainServerOrder(const Configuration &configuration,
                                         const ServiceName &service, const DataCentre &local,
                                         std::string_view key);

/// State for splitting a stream of server-sent events into complete events.
/// Invariant: m_partialEvent holds no blank line, so a complete event is never held back.
struct EventSplitter
{
    std::string m_partialEvent; // received part of an incomplete event
};

/// One event. Engines give each event an id of the form "REQUEST/INDEX".
struct StreamEvent
{
    std::string m_kind;    // "token", "done"
    std::string m_request; // id of the request that it answers
    int m_index = -1;      // counts from 0; -1: none given
    std::string m_text;    // unchanged text, with the blank line at the end
};

/// Returns the events completed by these bytes.
std::vector<StreamEvent> splitEvents(EventSplitter &splitter, std::string_view bytes);

struct AdmissionInput
{
    int m_queued = 0;       // requests waiting for this model on this host
    int m_queueLimit = 0;   // refused if so many wait already
    Millis m_expectedReady; // when a replica should be ready; now if one is
    Millis m_deadline;      // of the request
};

/// Admission control: returns the failure with which to refuse a request at once if the queue is
/// full or no replica is expected to be ready by the deadline.
std::optional<Failure> admit(const AdmissionInput &input, Millis time);

// ---------------------------------------------------------------------------------------------
// 9. Settings
// ---------------------------------------------------------------------------------------------

/// Settings of a host, read from its own file at start.
struct Settings
{
    HostName m_host;
    DataCentre m_dataCentre;
    Endpoint m_caller;                  // listens for callers, HTTP
    Endpoint m_peer;                    // listens for other hosts, TCP and UDP
    Endpoint m_admin;                   // listens for metrics, health and readiness requests
    std::vector<Endpoint> m_platform;   // object API, tried in order
    std::vector<Endpoint> m_seeds;      // peer addresses of other hosts, contacted at start
    int m_threads = 2;                  // I/O threads
    std::size_t m_bodyLimit = 1 << 20;  // limit of a request body, in bytes
    int m_queueLimit = 256;             // limit of waiting requests per model
    Millis m_addressLifetime = {5'000}; // time for which callers may cache an address response
    Millis m_ticketLifetime = {60'000}; // time for which the state of a ticket is kept
    // Limit of a planned stop. Must exceed m_ticketLifetime, or a stop loses tickets in use.
    Millis m_drainTimeout = {70'000};
    // Time within which the last bytes sent by an ended process reach an engine or get lost.
    Millis m_orderDrainTime = {3'000};
    Millis m_platformTimeout = {1'000}; // of one call to the platform
};

/// Reads a settings file. Returns the settings, or all faults of the file.
std::variant<Settings, std::vector<FileFault>> readSettings(const std::string &path);

} // namespace apricot
