// What a host of the gateway knows of the backend servers: their entries in the platform's store,
// the status that they report, and what they said and did in exchanges with hosts. Part of
// gateway.h.
//
// Index
//   ServerStatus, BackendServer    what a server reports about itself
//   ServerStatements, KnownServer  what a host records about one server
//   ServerTable                    all servers, and how entries and status updates change it
//
// Times are Millis on the machine's monotonic clock, unless the comment says otherwise. The
// functions do no I/O.
#pragma once

#include "apricot.h"
#include "serverpaths.h"

#include <set>

namespace apricot {

/// Identifies a backend server in the store. A restarted server may use the same id again.
using InstanceId = Name<struct InstanceTag>;

struct LoadedModel
{
    ModelName m_name;
    std::vector<AdapterName> m_adapters; // loaded; without those still being loaded

    bool operator==(const LoadedModel &) const = default;
};

/// Status that a server reports about itself, in its store entry or in answer to a request.
struct ServerStatus
{
    std::int64_t m_startUnixMs = 0;    // Unix ms of its process start
    std::uint64_t m_sequence = 0;      // orders accepted since its start; always 0 in store entries
    bool m_busy = false;               // a load or unload of a model is in progress
    std::vector<LoadedModel> m_models; // loaded and ready
    std::set<ModelName> m_inMemory;    // models whose weights are cached in its memory
    std::set<ModelName> m_onDisk;      // models whose weights are on its disk
    int m_loadingAdapterCount = 0;     // adapters being loaded
};

/// A backend server as listed in the platform's store.
struct BackendServer
{
    InstanceId m_id;
    ServiceName m_service;
    Endpoint m_endpoint;
    DataCentre m_dataCentre;
    std::string m_softwareVersion; // of the server's program, not of a model; empty: not stated
    int m_slots = 1;               // concurrent requests
    bool m_leaving = false;        // shutting down: must get no new request
    ServerStatus m_serverStatus;
};

/// Identifies a software version by a hash of its name. Servers that state none have one in common.
struct SoftwareId
{
    std::uint64_t m_hash = 0;

    auto operator<=>(const SoftwareId &) const = default;
};

SoftwareId softwareIdOf(const BackendServer &server);

/// Load figures that a server attaches to its answers.
struct ServerLoad
{
    int m_running = 0; // requests being executed
    int m_waiting = 0; // requests queued on the server
    int m_slots = 0;   // 0: the answer contained no load figures
};

/// Limit that a server named for the requests of all hosts together; see serverlimits.h.
struct ServerLimit
{
    double m_rate = 0;  // requests a second
    Millis m_namedAt;   // when an answer last named it, at any host
    Millis m_changedAt; // when this host first knew of it, or of a clearly different rate
};

/// What one process of a server said of itself, in its answers to this host or another one, and
/// that it leaves also in its entry.
struct ServerStatements
{
    std::optional<ServerLimit> m_limit;
    Millis m_limitEndedAt; // when an answer showed that an earlier limit no longer holds
    /// When this host first knew that the server leaves; empty: not known. That is final for a
    /// process: an answer that doesn't say so was overtaken.
    std::optional<Millis> m_leavingSince;
    Millis m_pausedUntil; // until then it takes no request from this host; others have their own
};

/// What this host knows of one server. No single source shows reliably which models the server has:
/// its entry in the store lags behind, a status update from the lease holder may be lost, and the
/// server may have just refused a request for a model that the other sources list.
struct KnownServer
{
    BackendServer m_server;
    Millis m_entryUpdatedAt;                    // when m_server was last updated
    std::optional<ServerStatus> m_statusUpdate; // last update from the lease holder; empty: none
    Millis m_statusUpdateReceivedAt;            // valid if m_statusUpdate
    bool m_missing = false;             // removed from the list shortly after a store outage
    Millis m_missingUntil;              // valid if m_missing: the server is dropped at this time
    int m_inFlight = 0;                 // requests that this host has running there
    ServerLoad m_load;                  // from its last answer
    Millis m_loadReportedAt;            // when m_load was received
    int m_inFlightAtLoadReport = 0;     // m_inFlight when m_load was received
    Millis m_avoidUntil;                // after a failure: use only if no other server can serve
    int m_failures = 0;                 // consecutive failures
    std::map<ModelName, int> m_running; // requests that this host has running there, by model
    std::map<std::string, Millis> m_refusedUntil; // after a refusal: not chosen, by "model/adapter"
    ServerStatements m_said;
    Millis m_noPermitUntil; // not chosen: the next permit for a request is due at this time
    ServerPath m_path;      // of this host to the server
};

/// Whether the server must get no new request: its entry, or an answer of it, says that it leaves.
bool isLeaving(const KnownServer &known);

/// Whether the server wants no request from this host at that time.
bool isPaused(const KnownServer &known, Millis time);

/// Longest pause that a server may ask for; a longer one is cut to it.
constexpr Millis longestPause = {24LL * 3'600'000};

/// Identifies one process of a server: a hash of the server's id and the start time.
std::uint64_t processId(const KnownServer &known);

/// What a process of a server said, kept while the table doesn't list it.
struct FormerStatements
{
    ServerStatements m_said;
    Millis m_keptUntil;
};

/// For this long what a process said is kept after its entry was removed, or longer if its pause
/// lasts longer. Entries lapse, and are spoiled by other writers, while their servers run on.
constexpr Millis statementsKeptTime = {60'000};

/// All backend servers known to this host.
struct ServerTable
{
    std::map<InstanceId, KnownServer> m_servers;
    std::map<std::uint64_t, FormerStatements> m_former; // by processId()
    std::uint64_t m_revision = 0; // store revision at which m_servers was the complete list
    Millis m_confirmedAt;         // latest time at which m_servers was known to be up to date
};

/// What this host knows of a server; null if it isn't listed.
KnownServer *knownServer(ServerTable &servers, const InstanceId &id);
const KnownServer *knownServer(const ServerTable &servers, const InstanceId &id);

/// Returns the status to rely on. That is the lease holder's status update, which includes orders
/// that the server's entry doesn't show yet, unless the entry changed well after that update.
const ServerStatus &latestStatus(const KnownServer &known);

/// Applies an entry of the platform's server list. If the server was restarted, all that was
/// recorded about its earlier process instance is discarded.
void applyEntry(ServerTable &servers, const BackendServer &server, Millis time);

/// Applies a status update from the lease holder. Returns false, and changes nothing, if the server
/// is unknown, or if the update is older than the last one or belongs to another process instance
/// than the server's entry.
bool applyStatusUpdate(ServerTable &servers, const InstanceId &server, const ServerStatus &status,
                       Millis time);

/// Handles the removal of a server's entry from the list. During a store outage servers can't renew
/// their entries, so the entries expire and reappear soon after the outage. A server that didn't
/// announce its shutdown is therefore kept until `keepUntil`. Returns false if the server was
/// dropped or is unknown, true if it is kept for now.
bool handleRemovedEntry(ServerTable &servers, const InstanceId &server, Millis keepUntil,
                        Millis time);

/// Removes a server. What its process said is kept for a time: the process may run on, and its
/// entry may come back.
void removeServer(ServerTable &servers, const InstanceId &server, Millis time);

/// Drops the servers that are still missing from the list at the end of their grace period, and
/// what is kept of processes that are gone.
void dropExpiredMissing(ServerTable &servers, Millis time);

/// Returns a hash of the ids, process start times and leaving flags of all listed servers. Hosts
/// compare it to detect that their server lists differ.
std::uint64_t digestOf(const ServerTable &servers);

/// Returns "model/adapter", which identifies an adapter, or with an empty adapter the model.
std::string adapterKey(const ModelName &model, const AdapterName &adapter);

/// Whether the status lists the model and, if `adapter` isn't empty, that adapter of it as loaded.
bool holdsModel(const ServerStatus &status, const ModelName &model, const AdapterName &adapter);

} // namespace apricot
