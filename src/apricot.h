// apricotdyke: the public header, and its manual.
//
// The library answers callers' requests for rarely used models. It never owns the main loop: a
// daemon makes an io_context, fills Settings, calls startNode() and runs. All decisions are free
// functions over plain structs with the time passed in, so the daemon, the replay and the tests
// run the same code.
//
// Index
//   1. Units and ids        Millis, Megabytes, names, Incarnation, Endpoint
//   2. Clock                one clock, real or set by hand
//   3. Errors               the closed list of kinds, and what each one answers
//   4. Configuration        what operators publish
//   5. Membership           which hosts answer, and the homes of a model
//   6. Cells                what is loaded, and what may still be
//   7. Planning             which loads and unloads to order next
//   8. Requests             tickets, routing, admission
//   9. Settings             what one host reads from its own file at start
//
// Every struct is usable when zero-initialized. Nothing is hidden: whatever helps a debugger is a
// plain member. Times are Millis on the clock of this process unless the comment says otherwise.
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

/// A time or a span, in milliseconds.
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

/// A name that can't be mixed up with a name of another thing.
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

/// One run of one host's process. A restarted process has a larger one.
struct Incarnation
{
    std::uint64_t m_value = 0; // 0: none

    auto operator<=>(const Incarnation &) const = default;
};

/// Numbers an owner's orders within its incarnation.
struct OrderId
{
    Incarnation m_sender;       // who sends it
    std::uint64_t m_number = 0; // from 1 up; 0: none

    auto operator<=>(const OrderId &) const = default;
};

/// Counts the owners of a cell; goes with each order as its fencing number.
struct Epoch
{
    std::uint64_t m_value = 0; // 0: the cell never had an owner

    auto operator<=>(const Epoch &) const = default;
};

/// An IP number and a port.
struct Endpoint
{
    std::string m_ip;         // as digits, never a DNS name
    std::uint16_t m_port = 0; // 0: none

    auto operator<=>(const Endpoint &) const = default;
};

/// "10.0.0.1:80".
std::string toText(const Endpoint &endpoint);

/// Reads "10.0.0.1:80"; nothing if it isn't an IP number and a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// 64-bit xxHash of a text; the same on every host and in every version.
std::uint64_t stableHash(std::string_view text);

/// Sixteen hex digits.
std::string toHex(std::uint64_t value);

/// Reads what toHex() wrote.
std::optional<std::uint64_t> parseHex(std::string_view text);

// ---------------------------------------------------------------------------------------------
// 2. Clock
// ---------------------------------------------------------------------------------------------

/// The one clock. Zero-initialized it reads the machine's monotonic clock, which also counts the
/// time that the machine was suspended; with m_manual set it
/// stands still until a test or the replay moves m_now.
struct Clock
{
    bool m_manual = false; // true: m_now is the time
    Millis m_now;          // ms, valid if m_manual
};

Millis now(const Clock &clock);

// ---------------------------------------------------------------------------------------------
// 3. Errors
// ---------------------------------------------------------------------------------------------

/// Every way in which a request, an order or a command can fail. Closed: a new failure is mapped
/// to one of these or gets a line here and in the table of errors.cpp.
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
};

/// Whether the backend server ran the request, as far as can be told. Never guessed: NotRun is
/// said only if no byte of the request was written to a backend server, or the backend server
/// itself refused it unrun.
enum class RunState : std::uint8_t { NotRun, Ran, Unknown };

/// What one kind of error answers.
struct ErrorAnswer
{
    ErrorKind m_kind = ErrorKind::None;
    const char *m_name = "";           // as it stands in answers, logs and metrics
    unsigned m_status = 500;           // HTTP status
    bool m_comeBack = false;           // true: Retry-After goes with it
    RunState m_run = RunState::NotRun; // unless the failure knows better
    const char *m_text = "";           // what it means, for people
};

/// The row of the table for a kind.
const ErrorAnswer &answerFor(ErrorKind kind);

/// All rows, in the order of ErrorKind.
const std::vector<ErrorAnswer> &errorTable();

const char *toText(RunState run);

/// A failure on its way to a caller, an operator or a log line.
struct Failure
{
    ErrorKind m_kind = ErrorKind::None;
    std::string m_detail;              // for people; may be empty
    RunState m_run = RunState::NotRun; // what is known of the run
    Millis m_retryAfter;               // valid if the kind says come back
};

/// A failure with the run state that its kind has by default.
Failure makeFailure(ErrorKind kind, std::string detail, Millis retryAfter = {});

/// A failure of which more is known than its kind tells.
Failure makeFailure(ErrorKind kind, std::string detail, RunState run, Millis retryAfter = {});

/// What a function that can fail gives back.
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

enum class ServiceKind : std::uint8_t { Model, Plain };
enum class Urgency : std::uint8_t { Urgent, Normal, CanWait };

/// One kind of work of a service, as its published file states it.
struct WorkKind
{
    WorkName m_name;
    Urgency m_urgency = Urgency::Normal;
    bool m_idempotent = false;    // false: run at most once
    Millis m_deadline = {30'000}; // ms, for requests that state none
};

struct AdapterSpec
{
    AdapterName m_name;
    int m_version = 1;
    Megabytes m_memory = {64}; // on the accelerator of its model
};

struct ModelSpec
{
    ModelName m_name;
    int m_version = 1;
    Megabytes m_memory;            // on one accelerator
    int m_maxReplicas = 1;         // loaded or possibly loading, in all cells together
    Millis m_keepAlive = {60'000}; // ms idle before it may be unloaded
    Millis m_loadTime = {2'000};   // ms, expected, for admission
    std::vector<AdapterSpec> m_adapters;
};

struct ServiceSpec
{
    ServiceName m_name;
    ServiceKind m_kind = ServiceKind::Model;
    std::vector<WorkKind> m_work;
    std::vector<ModelSpec> m_models; // ServiceKind::Model only
};

/// One backend server.
struct ServerSpec
{
    ServerName m_name;
    Endpoint m_endpoint;
    DataCentre m_dataCentre;
    ServiceName m_service;                 // plain services: which it answers; else empty
    CellName m_cell;                       // model servers: where it belongs
    bool m_checksFence = false;            // true: refuses orders with an old fencing number
    bool m_resumes = false;                // true: takes up a stream from a stated token
    bool m_leaving = false;                // true: an operator wants it empty
    std::vector<Megabytes> m_accelerators; // memory of each; empty for plain services
};

/// What the weight store stands.
struct StoreLimits
{
    double m_loadsPerSecond = 4; // starts a second
    int m_loadsAtOnce = 4;       // at full speed
    int m_adaptersAtOnce = 30;   // beyond it each load takes longer
};

/// What the users' measures cost each other.
struct PlanWeights
{
    double m_coldStart = 1; // cost of a second of waiting
    double m_idle = 1;      // cost of an idle accelerator second
};

/// One of the operators' files, kept as written.
struct PublishedFile
{
    std::string m_name; // "service:NAME" or "deployment"
    std::string m_text; // YAML
    std::string m_path; // where `apricotctl` found it, for messages
};

/// Which cell decides on a model. Set when the model is first published and kept from then on, so
/// that new cells never move a model that may be loaded.
struct ModelCell
{
    ModelName m_model;
    CellName m_cell;
};

/// Everything published, at one number. Numbers only grow.
struct Configuration
{
    std::uint64_t m_number = 0; // 0: nothing published yet
    std::string m_id;           // names the publishing that made it
    std::string m_parent;       // m_id of the one before
    std::string m_publisher;    // who
    std::vector<PublishedFile> m_files;
    std::vector<ServiceSpec> m_services;
    std::vector<ServerSpec> m_servers;
    StoreLimits m_store;
    PlanWeights m_weights;
    std::vector<ModelCell> m_modelCells; // sticky; see ModelCell
};

/// A fault in an operators' file.
struct FileFault
{
    std::string m_path;
    int m_line = 0;      // from 1
    std::string m_field; // "models[2].memory-mb"
    std::string m_message;
};

/// "tasting.yaml:12: models[2].memory-mb: must be above zero".
std::string toText(const FileFault &fault);

/// Reads one operators' file into the configuration; all its faults at once, none if it is good.
std::vector<FileFault> readPublishedFile(PublishedFile file, Configuration &into);

/// Faults between files: the same model twice, a server of no cell, a model that fits nowhere.
std::vector<FileFault> checkWhole(const Configuration &configuration);

/// JSON of the files and numbers, as the platform holds it.
std::string writeConfiguration(const Configuration &configuration);

/// Reads what writeConfiguration() wrote, files parsed. A file that `known` holds with the same
/// text isn't parsed again: a change of one file among many must not stall an I/O thread.
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

/// The one cell that decides on a model: the published one, else by rendezvous hashing over the
/// cells. One, so that the replicas of a model are counted in one record.
CellName cellOfModel(const Configuration &configuration, const ModelName &model);

/// Gives each model without a cell one, for good. For the publisher.
void assignCells(Configuration &configuration);

// ---------------------------------------------------------------------------------------------
// 5. Membership
// ---------------------------------------------------------------------------------------------

enum class Liveness : std::uint8_t { Alive, Suspect, Dead };

/// What is known of one host. It alone raises its m_revision; others only doubt it.
struct Member
{
    HostName m_host;
    Incarnation m_incarnation;    // larger: a later run of the process
    std::uint64_t m_revision = 0; // larger: said later by the host itself
    Liveness m_liveness = Liveness::Alive;
    bool m_leaving = false; // true: in no new address answer
    DataCentre m_dataCentre;
    Endpoint m_caller;                // where callers connect
    Endpoint m_peer;                  // TCP and UDP for other hosts
    std::uint64_t m_configNumber = 0; // in force there
    std::uint64_t m_listNumber = 0;   // of the platform's server list, known there
    Millis m_changed;                 // here, when m_liveness last changed
};

/// Who owns a cell, as far as heard. The platform's record decides; this only finds it quickly.
struct CellClaim
{
    CellName m_cell;
    Epoch m_epoch; // larger wins
    HostName m_host;
    Incarnation m_owner;
};

/// A rumour still to be passed on.
struct Rumour
{
    HostName m_host; // whose member entry; empty: m_cell
    CellName m_cell;
    int m_sendsLeft = 0; // falls to 0, then it is dropped
};

struct MembershipTiming
{
    Millis m_period = {250};    // between probes
    Millis m_ackWait = {120};   // before others are asked to probe
    Millis m_suspicion = {900}; // suspected this long: dead
    Millis m_forget = {60'000}; // dead this long: dropped from the table
    int m_helpers = 2;          // asked to probe in our place
    int m_rumoursPerMessage = 8;
    int m_sendsPerRumour = 6; // times log2 of the members, at least this
};

/// One host's view of all.
/// Invariants: m_members holds m_self; the entry of m_self is never Suspect or Dead; no entry's
/// (incarnation, revision) ever falls.
struct Membership
{
    HostName m_self;
    MembershipTiming m_timing;
    std::map<HostName, Member> m_members;
    std::map<CellName, CellClaim> m_claims;
    std::deque<Rumour> m_rumours;
    std::vector<HostName> m_probeOrder; // the rest of this round, shuffled
    HostName m_probed;                  // awaiting its ack; empty: none
    std::uint64_t m_probeNumber = 0;    // of m_probed
    Millis m_probeSent;                 // when m_probed was probed
    bool m_helpAsked = false;           // for m_probed
    std::uint64_t m_seed = 1;           // of the shuffles; changes as it is used
};

/// The platform's list of servers and hosts; it lags.
enum class ListedState : std::uint8_t { Live, Leaving, Gone };

struct ListedMachine
{
    std::string m_name; // a server's or a host's
    ListedState m_state = ListedState::Live;
};

struct MachineList
{
    std::uint64_t m_number = 0;            // version of the platform's object
    std::vector<ListedMachine> m_machines; // those not named are live
};

std::string writeMachineList(const MachineList &list);
Result<MachineList> parseMachineList(std::string_view json, std::uint64_t number);
ListedState stateOf(const MachineList &list, std::string_view name);

/// The list or an operator wants the server empty, or it is no longer published (null).
bool isLeaving(const ServerSpec *server, const MachineList &list);

/// What a tick wants sent.
struct ProbePlan
{
    std::optional<Member> m_direct; // probe it, with m_probeNumber
    std::optional<Member> m_target; // helpers are to probe it...
    std::vector<Member> m_helpers;  // ...these
    std::vector<Member> m_changed;  // suspected or buried by this tick, for the log
};

/// Begins with the host itself as the only member.
Membership makeMembership(Member self, std::uint64_t seed);

/// Call about every 50 ms. Starts probes, suspects who doesn't answer, buries who stays suspect.
ProbePlan tickMembership(Membership &membership, Millis time);

void ackReceived(Membership &membership, std::uint64_t probeNumber);

/// Takes in what another host says of a member; true if it was news.
bool mergeMember(Membership &membership, const Member &member, Millis time);
bool mergeClaim(Membership &membership, const CellClaim &claim);

/// Something about ourselves changed: raise the revision and spread it.
struct SelfChange
{
    bool m_leaving = false;
    std::uint64_t m_configNumber = 0;
    std::uint64_t m_listNumber = 0;
};
void changeSelf(Membership &membership, const SelfChange &change);

/// A refused connection or the platform's list proves that this run of a host is over.
void markGone(Membership &membership, const HostName &host, Incarnation incarnation, Millis time);

/// What to put on the next message; each call uses up one send of each rumour.
struct Rumours
{
    std::vector<Member> m_members;
    std::vector<CellClaim> m_claims;
};
Rumours takeRumours(Membership &membership);

/// Live, not leaving, not suspect; sorted by name.
std::vector<Member> liveMembers(const Membership &membership);

/// Rendezvous order of the hosts for a key, best first.
std::vector<Member> rankMembers(std::vector<Member> members, std::string_view key);

/// The addresses to give a caller: `homes` best hosts for the key, those of the caller's data
/// centre first, then the next best as spares, `most` in all.
std::vector<Member> addressOrder(const std::vector<Member> &live, std::string_view key,
                                 std::size_t homes, const DataCentre &callerAt, std::size_t most);

// ---------------------------------------------------------------------------------------------
// 6. Cells
// ---------------------------------------------------------------------------------------------

enum class OrderKind : std::uint8_t { Load, Unload };
enum class SlotPhase : std::uint8_t { Loading, Loaded, Unloading };

/// One copy of an order that may still reach its engine.
struct OrderCopy
{
    OrderId m_id;
    OrderKind m_kind = OrderKind::Load;
    Epoch m_epoch;   // the fencing number it carries
    HostName m_host; // where its sender runs or ran
};

/// Memory on one accelerator that is, or may be, taken by one model or adapter.
/// Invariants: it is in the record before any order for it leaves; it is erased only with
/// m_copies empty and the engine's word, given after the last copy was resolved, that nothing is
/// loaded.
struct Slot
{
    std::uint64_t m_id = 0; // within the cell, never used again
    ModelName m_model;
    AdapterName m_adapter; // empty: the model itself
    int m_version = 1;
    ServerName m_server;
    int m_accelerator = 0; // index on the server
    Megabytes m_memory;
    SlotPhase m_phase = SlotPhase::Loading;
    std::vector<OrderCopy> m_copies; // unresolved
};

/// The object of a cell, as the platform holds it.
/// Invariants: for each accelerator the memory of its slots is at most what it has; for each
/// model the slots are at most what was decided; m_epoch never falls.
struct CellRecord
{
    CellName m_cell;
    Epoch m_epoch;
    HostName m_ownerHost;
    Incarnation m_owner;
    std::uint64_t m_lastUpdate = 0; // random id of the last conditional update: tells a
                                    // lost answer's update from another's
    std::uint64_t m_nextSlot = 1;
    std::vector<Slot> m_slots;
};

std::string writeCellRecord(const CellRecord &record);
Result<CellRecord> parseCellRecord(std::string_view json);

/// What an engine's word on a slot amounts to.
enum class EngineSays : std::uint8_t { Nothing, Loaded, Absent };

/// Memory not taken, nor possibly taken, on one accelerator.
Megabytes freeMemory(const CellRecord &record, const ServerSpec &server, int accelerator);

/// Slots of a model that are, or may be, loaded (adapters aside).
int possibleReplicas(const CellRecord &record, const ModelName &model);

/// Reserves memory for a load and notes the copy of the order about to be sent. Nothing is
/// changed if it would break the record's invariants.
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
Result<std::uint64_t> reserveLoad(CellRecord &record, const LoadRequest &request,
                                  const ServerSpec &server);

/// Notes the copy of an unload order about to be sent; refused unless the slot, and for a model
/// each of its adapters' slots beside it, is Loaded with no copy unresolved. Adapters go with
/// their model, by the same order.
Result<std::uint64_t> recordUnload(CellRecord &record, std::uint64_t slotId, OrderId order);

/// Takes one copy off; with the last copy gone the engine's word decides: Loaded keeps the slot,
/// Absent erases it, Nothing leaves it in its phase for a later word. True if it was there.
bool resolveCopy(CellRecord &record, OrderId order, EngineSays says);

/// The engine's word, asked for after the last copy was resolved.
void settleSlot(CellRecord &record, std::uint64_t slotId, EngineSays says);

/// Makes `host` the owner, with the next epoch. The copies of earlier owners stay.
void takeOver(CellRecord &record, const HostName &host, Incarnation incarnation);

/// What breaks the invariants of the record; empty if nothing does. For tests and asserts.
std::string brokenInvariant(const CellRecord &record, const Configuration &configuration);

// ---------------------------------------------------------------------------------------------
// 7. Planning
// ---------------------------------------------------------------------------------------------

/// A model that callers wait for, as its homes report it to the cell's owner.
struct Demand
{
    ModelName m_model;
    AdapterName m_adapter;
    int m_waiting = 0;                   // callers, all homes together
    Urgency m_urgency = Urgency::Normal; // the most urgent of them
    Millis m_firstAsked;                 // when the oldest began to wait
    Millis m_lastDeadline;               // all callers are past it then
};

/// Where a checkpoint is cached on a server.
enum class Locality : std::uint8_t { Memory, Disk, Remote };

struct CachedModel
{
    ModelName m_model;
    Locality m_locality = Locality::Remote;
};

/// An engine's last report.
struct ServerReport
{
    ServerName m_server;
    bool m_reachable = false;          // false: nothing new is placed there
    bool m_leaving = false;            // true: nothing new is placed there
    Millis m_taken;                    // when it reached us
    int m_running = 0;                 // requests, as it says; lags
    std::vector<CachedModel> m_cached; // remote if not named
};

/// A load that failed: that server isn't tried for the model until then.
struct FailedLoad
{
    ModelName m_model;
    ServerName m_server;
    Millis m_avoidUntil;
};

/// When a slot was last used, by the homes' word.
struct SlotUse
{
    std::uint64_t m_slot = 0;
    Millis m_lastUsed;
    int m_active = 0; // requests on it now
};

struct PlanInput
{
    const Configuration *m_configuration = nullptr;
    const CellRecord *m_record = nullptr;
    OrderId m_firstOrder; // numbers for the planned orders, from this one up
    std::vector<Demand> m_demands;
    std::vector<ServerReport> m_reports;
    std::vector<SlotUse> m_uses;
    std::vector<FailedLoad> m_failures;
    int m_loadsInFlight = 0; // from the weight store, ours
    double m_loadTokens = 0; // starts that the store's rate allows now
};

struct PlannedLoad
{
    LoadRequest m_request; // its adapter orders wait for their model
    std::string m_reason;  // key=value text for the log: candidates and scores
};

struct PlannedUnload
{
    std::uint64_t m_slot = 0;
    OrderId m_order;
    std::string m_reason;
};

struct Refusal
{
    ModelName m_model;
    AdapterName m_adapter;
    Failure m_failure;
};

struct Plan
{
    CellRecord m_next; // the record with all of it reserved and noted
    std::vector<PlannedLoad> m_loads;
    std::vector<PlannedUnload> m_unloads;
    std::vector<Refusal> m_refusals; // demands that can't be met now
};

/// Wake order: urgent kinds first, then most waiting for a second of load. Placement: nearest
/// checkpoint, then most free memory. Eviction: idle past keep-alive, or idle longest when a
/// caller needs the room. A model whose callers will all be past their deadline gets only room
/// that is free anyway: they were told when to come back, and must then find it loaded.
Plan planCell(const PlanInput &input, Millis time);

// ---------------------------------------------------------------------------------------------
// 8. Requests
// ---------------------------------------------------------------------------------------------

/// Names one attempt at a request that may not be repeated. Only the run of the host that issued
/// it ever carries it out, from memory, once.
struct Ticket
{
    HostName m_host;
    Incarnation m_issuer;
    std::uint64_t m_number = 0; // from 1 up

    auto operator<=>(const Ticket &) const = default;
};

std::string toText(const Ticket &ticket);
std::optional<Ticket> parseTicket(std::string_view text);

enum class TicketState : std::uint8_t { Issued, Running, Ended };

/// What became of a ticket.
struct TicketEntry
{
    TicketState m_state = TicketState::Issued;
    std::uint64_t m_request = 0;       // hash of what it was first used for
    Millis m_expires;                  // after it the entry is dropped
    RunState m_run = RunState::NotRun; // valid if Ended
    unsigned m_status = 0;             // HTTP status of the answer, valid if Ended
    std::string m_body;                // the answer, if small enough to keep
    bool m_bodyKept = false;
};

/// One shard of the tickets of this run.
/// Invariant: an entry goes Issued, Running, Ended and never back.
struct TicketShard
{
    std::map<std::uint64_t, TicketEntry> m_entries;
};

enum class TicketUse : std::uint8_t { Run, Wait, Replay, Unknown, OtherRequest };

/// First use: Run, and the entry is Running from then on. While it runs: Wait. After: Replay.
TicketUse useTicket(TicketShard &shard, std::uint64_t number, std::uint64_t request, Millis time);

/// A replica as a router sees it.
struct ReplicaView
{
    ServerName m_server;
    std::uint64_t m_slot = 0;
    int m_reportedRunning = 0;    // by the last report
    int m_sentSince = 0;          // by us, since that report
    bool m_adapterLoaded = false; // the wanted one
    bool m_prefixHint = false;    // may be stale or missing: a hint, never a fact
    bool m_sameDataCentre = false;
    bool m_leaving = false; // true: never chosen
};

struct RouteChoice
{
    int m_index = -1;     // into the views; -1: none usable
    std::string m_scores; // "server=score,..." for the log
};

/// Least loaded by report plus what we sent since; an adapter or a prefix is worth some load.
RouteChoice chooseReplica(const std::vector<ReplicaView> &views);

/// Rendezvous order over plain servers, those of our data centre first, leaving ones out.
std::vector<ServerSpec> plainServerOrder(const Configuration &configuration,
                                         const ServiceName &service, const DataCentre &here,
                                         std::string_view key);

/// Text of a stream of server-sent events, cut into whole events.
/// Invariant: m_rest holds no blank line, so nothing whole is ever kept back.
struct EventCutter
{
    std::string m_rest; // an event that has not wholly come
};

/// One event: its kind and the id, "REQUEST/INDEX", that engines put on each.
struct StreamEvent
{
    std::string m_kind;    // "token", "done"
    std::string m_request; // whose answer it belongs to
    int m_index = -1;      // from 0; -1: none given
    std::string m_text;    // as it came, with its blank line
};

std::vector<StreamEvent> cutEvents(EventCutter &cutter, std::string_view bytes);

/// A request that fits neither its deadline nor the queue is refused at once.
struct AdmissionInput
{
    int m_queued = 0; // for this model on this host
    int m_queueLimit = 0;
    Millis m_expectedReady; // when a replica should be up; now if one is
    Millis m_deadline;      // of the caller
};
std::optional<Failure> admit(const AdmissionInput &input, Millis time);

// ---------------------------------------------------------------------------------------------
// 9. Settings
// ---------------------------------------------------------------------------------------------

/// A host's own file. Read once at start, checked whole.
struct Settings
{
    HostName m_host;
    DataCentre m_dataCentre;
    Endpoint m_caller;                // callers' HTTP
    Endpoint m_peer;                  // other hosts, TCP and UDP
    Endpoint m_admin;                 // metrics, health, readiness
    std::vector<Endpoint> m_platform; // object API, tried in order
    std::vector<Endpoint> m_seeds;    // peer addresses of other hosts, tried at start
    int m_threads = 2;
    std::size_t m_bodyLimit = 1 << 20; // bytes of a request body
    int m_queueLimit = 256;            // waiting requests for each model
    Millis m_addressKeep = {5'000};    // how long callers keep an address answer
    Millis m_ticketLife = {60'000};
    Millis m_drainLimit = {70'000};     // a stop ends at this; above m_ticketLife
    Millis m_orderDrain = {3'000};      // bytes of a dead sender reach an engine within it
    Millis m_platformTimeout = {1'000}; // of one call
};

/// Reads a settings file; all faults at once.
std::variant<Settings, std::vector<FileFault>> readSettings(const std::string &path);

} // namespace apricot
