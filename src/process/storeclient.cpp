// Client of the platform's store: single calls, and the loops that keep this host's view of the
// configuration, the backend servers and the register of hosts up to date.
#include "process/accountgate.h"
#include "process/log.h"

namespace apricot {

namespace {

const char *const configurationName = "main"; // object with the newest configuration
constexpr Millis callTimeout = {1'500};
constexpr Millis watchLongPollTime = {20'000}; // time for which the store may hold a watch open
constexpr Millis initialBackoff = {60};
constexpr Millis maxBackoff = {1'500};
/// Wait before the next watch, so that a burst of changes arrives in one response.
constexpr Millis watchBatchDelay = {5};
/// A watch that returns empty sooner than this is followed by a wait of this length: a store that
/// doesn't hold watches open would otherwise be polled without pause.
constexpr Millis emptyWatchDelay = {250};
/// Servers whose entries expired during a store outage are kept for this long after its end, by
/// which time they are expected to have written their entries again.
constexpr Millis lapseGracePeriod = {2'000};
/// Time from the last resynchronization by any host to the next one. Must be well below the time
/// within which a configuration change has to be in force on all hosts.
constexpr Millis resyncInterval = {700};
/// Delay of the resynchronization for each place in hostRank(), so that only one host does it.
constexpr Millis resyncRankDelay = {120};
constexpr Millis resyncPollInterval = {50};
/// Wait before reading a change that another host's heartbeat shows: it may arrive by itself.
constexpr Millis catchUpDelay = {60};
constexpr Millis serverListInterval = {10'000}; // between two lists if nothing triggers one
constexpr Millis minServerListInterval = {100};
constexpr Millis slowCall = {500};          // a call that takes longer is logged
constexpr Millis slowLogInterval = {1'000}; // at most one line for slow calls in this time

const char *toText(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Configuration:
        return "configuration";
    case ObjectKind::Servers:
        return "servers";
    case ObjectKind::Hosts:
        return "hosts";
    case ObjectKind::Lease:
        return "lease";
    case ObjectKind::Origins:
        return "origins";
    }
    return "unknown";
}

/// Records a response of the store: an answer, or a refusal.
void recordStoreReply(Gateway &gateway, const char *what, bool answered, const std::string &detail)
{
    if (answered)
        recordStoreAnswer(gateway, what);
    else
        recordStoreFailure(gateway, what, detail, Millis{0});
}

/// Takes note of the era that an answer of the store states. Returns false if the answer is of an
/// older era and must be dropped. If the era has risen, the store came back from a copy: servers
/// that the copy lacks are kept for the grace period, the lists are read again, and this host's
/// entry is written again. The lease is handled by maintainLease().
bool noteStoreEra(Gateway &gateway, std::uint64_t era)
{
    const std::uint64_t known = gateway.m_storeEra.value_or(era);
    if (era < known)
        return false;
    const bool risen = era > known;
    if (std::exchange(gateway.m_storeEra, era) != era)
        noteEraForVersions(gateway);
    if (!risen)
        return true;
    logWarning("store_era", {{"old", std::to_string(known)}, {"new", std::to_string(era)}});
    gateway.m_storeHealth.m_recoveredAt = now(gateway);
    wake(*gateway.m_listTrigger);
    wake(*gateway.m_leaseTrigger);
    if (!gateway.m_stopping)
        begin(gateway, "register_again", registerAgain(gateway));
    return true;
}

/// Records how long a call took, and logs slow ones at a limited rate.
void recordStoreCallTime(Gateway &gateway, const char *what, Millis took,
                         const Result<HttpResponse> &response)
{
    observe(gateway.m_metrics, LatencyKind::StoreCall, took);
    StoreHealth &health = gateway.m_storeHealth;
    if (took < slowCall || now(gateway) - health.m_slowLoggedAt < slowLogInterval)
        return;
    health.m_slowLoggedAt = now(gateway);
    const std::size_t bytes
        = ok(response) ? std::get<HttpResponse>(response).m_body.size() : std::size_t{0};
    logWarning("store_slow",
               {{"call", what},
                {"took_ms", std::to_string(took.m_count)},
                {"bytes", std::to_string(bytes)},
                {"answered", ok(response) ? "yes" : "no"}});
}

/// Applies the configuration, which is the object named "main", if it is newer than the one in
/// force.
void applyRouteTable(Gateway &gateway, const StoredObject &object)
{
    if (object.m_deleted || object.m_name != configurationName
        || object.m_revision <= gateway.m_routesRevision)
        return;
    gateway.m_routesRevision = object.m_revision;
    auto read = gateway.m_protocol->readRoutes(object.m_content);
    if (!ok(read)) {
        logWarning("configuration_unreadable",
                   {{"revision", positionText(object.m_revision)},
                    {"why", std::get<Failure>(read).m_detail}});
        gateway.m_accounts->m_unreadableRevision = object.m_revision;
        return;
    }
    auto table = std::make_shared<RouteTable>(std::get<RouteTable>(std::move(read)));
    if (gateway.m_routes && table->m_version <= gateway.m_routes->m_version)
        return;
    sortRoutes(*table);
    for (const auto &options : {gateway.m_callerOptions, gateway.m_hostOptions}) {
        options->m_bodyLimit = table->m_limits.m_bodyBytes;
        options->m_headLimit = table->m_limits.m_headBytes;
        options->m_headTimeout = table->m_limits.m_headTimeout;
        options->m_idleTimeout = table->m_limits.m_idleTimeout;
    }
    logEvent("configuration",
             {{"version", std::to_string(table->m_version)},
              {"revision", positionText(object.m_revision)},
              {"routes", std::to_string(table->m_routes.size())}});
    std::erase_if(gateway.m_runTimes, [&](const auto &times) {
        return std::none_of(table->m_routes.begin(), table->m_routes.end(),
                            [&](const Route &route) { return route.m_name == times.first; });
    });
    gateway.m_routes = std::move(table);
    noteVersionInForce(gateway);
}

void logServer(const char *event, const InstanceId &id, std::uint64_t revision, const char *why)
{
    logEvent(event, {{"server", id.m_text}, {"revision", positionText(revision)}, {"why", why}});
}

/// Applies a server's entry, or its removal, to the server table. Logs servers that appear, leave
/// or are removed.
void applyServerObject(Gateway &gateway, const StoredObject &object)
{
    const InstanceId id = {object.m_name};
    ServerTable &table = gateway.m_serverTable;
    if (object.m_deleted) {
        if (!table.m_servers.contains(id))
            return;
        const Millis lapseEnd = gateway.m_storeHealth.m_recoveredAt + lapseGracePeriod;
        if (handleRemovedEntry(table, id, lapseEnd, now(gateway)))
            logServer("server_missing", id, object.m_revision, "entry_lapsed_in_outage");
        else
            logServer("server_gone", id, object.m_revision, "entry_removed");
        return;
    }
    const auto read = gateway.m_protocol->readServer(object.m_name, object.m_content);
    if (!ok(read)) {
        // The entry is malformed, perhaps overwritten by another writer: it names no usable server.
        removeServer(table, id, now(gateway));
        logWarning("server_unreadable",
                   {{"server", id.m_text}, {"why", std::get<Failure>(read).m_detail}});
        return;
    }
    const auto &server = std::get<BackendServer>(read);
    const auto found = table.m_servers.find(id);
    const bool wasLeaving = found != table.m_servers.end() && found->second.m_server.m_leaving;
    if (found == table.m_servers.end())
        logServer("server_known", id, object.m_revision, "entry");
    if (server.m_leaving && !wasLeaving)
        logServer("server_leaving", id, object.m_revision, "entry");
    applyEntry(table, server, now(gateway));
}

void applyObject(Gateway &gateway, ObjectKind kind, const StoredObject &object)
{
    if (kind == ObjectKind::Configuration)
        applyRouteTable(gateway, object);
    else if (kind == ObjectKind::Servers)
        applyServerObject(gateway, object);
    else if (kind == ObjectKind::Hosts)
        applyHostEntry(gateway, object);
    else if (kind == ObjectKind::Origins)
        applyListedOriginRecord(gateway, object);
}

/// Whether the era of the reply counts: a refusal may come from something else than the store.
bool statesEra(const StoreReply &reply)
{
    return reply.m_outcome != StoreOutcome::Unknown && reply.m_outcome != StoreOutcome::Refused;
}

/// Sends a list or watch request. If it returns nothing, `outcome` states the failure.
asio::awaitable<std::optional<ObjectPage>> fetchPage(Gateway &gateway, ObjectKind kind,
                                                     HttpRequest request, Millis timeout,
                                                     StoreOutcome &outcome)
{
    outcome = StoreOutcome::Unknown;
    const auto response = co_await callStore(gateway, toText(kind), std::move(request), timeout);
    if (!ok(response))
        co_return std::nullopt;
    auto page = gateway.m_protocol->readPage(std::get<HttpResponse>(response));
    if (std::holds_alternative<ObjectPage>(page)) {
        if (!noteStoreEra(gateway, storeEra(std::get<ObjectPage>(page).m_revision)))
            co_return std::nullopt;
        recordStoreAnswer(gateway, toText(kind));
        outcome = StoreOutcome::Done;
        co_return std::get<ObjectPage>(std::move(page));
    }
    const auto &reply = std::get<StoreReply>(page);
    if (statesEra(reply) && !noteStoreEra(gateway, reply.m_era))
        co_return std::nullopt;
    outcome = reply.m_outcome;
    // These two outcomes are answers of a store that works.
    const bool answered
        = outcome == StoreOutcome::HistoryExpired || outcome == StoreOutcome::Missing;
    recordStoreReply(gateway, toText(kind), answered, reply.m_detail);
    co_return std::nullopt;
}

/// Drops the hosts or servers that a complete list lacks.
void dropUnlisted(Gateway &gateway, ObjectKind kind, const std::set<std::string> &listed)
{
    if (kind == ObjectKind::Hosts) {
        std::vector<HostName> gone;
        for (const auto &[host, peer] : gateway.m_peers) {
            if (!listed.contains(host.m_text))
                gone.push_back(host);
        }
        for (const HostName &host : gone)
            removePeer(gateway, host);
    }
    if (kind != ObjectKind::Servers)
        return;
    std::vector<StoredObject> gone;
    for (const auto &[id, known] : gateway.m_serverTable.m_servers) {
        if (!listed.contains(id.m_text)) {
            StoredObject object;
            object.m_name = id.m_text;
            object.m_deleted = true;
            gone.push_back(std::move(object));
        }
    }
    for (const StoredObject &object : gone)
        applyServerObject(gateway, object);
}

/// Reads all objects of a kind. Returns the revision to watch from; nothing if a call failed.
asio::awaitable<std::optional<std::uint64_t>> listAll(Gateway &gateway, ObjectKind kind)
{
    std::set<std::string> listed;
    std::string after;
    std::optional<std::uint64_t> era; // of the first page
    const Millis began = now(gateway);
    while (true) {
        StoreOutcome outcome = StoreOutcome::Unknown;
        HttpRequest request = gateway.m_protocol->listObjects(kind, after);
        const auto page
            = co_await fetchPage(gateway, kind, std::move(request), callTimeout, outcome);
        if (!page || storeEra(page->m_revision) != era.value_or(storeEra(page->m_revision)))
            co_return std::nullopt;
        era = storeEra(page->m_revision);
        for (const StoredObject &object : page->m_objects) {
            listed.insert(object.m_name);
            applyObject(gateway, kind, object);
            if (kind == ObjectKind::Configuration && object.m_name == configurationName)
                recordConfigurationRead(gateway, object.m_revision, began);
            after = object.m_name;
        }
        if (!page->m_more || page->m_objects.empty()) {
            dropUnlisted(gateway, kind, listed);
            if (kind == ObjectKind::Hosts) {
                if (!std::exchange(gateway.m_registerRead, true))
                    startStanding(gateway.m_permits.m_standing, now(gateway));
                surveyVersionsIfDue(gateway);
            }
            if (kind == ObjectKind::Servers) {
                gateway.m_serverTableLoaded = true;
                gateway.m_serverTable.m_revision = page->m_revision;
                gateway.m_serverTable.m_confirmedAt
                    = std::max(gateway.m_serverTable.m_confirmedAt, began);
            }
            wakeWaiting(gateway);
            co_return page->m_revision;
        }
    }
}

} // namespace

asio::awaitable<Result<HttpResponse>> callStore(Gateway &gateway, const char *what,
                                                HttpRequest request, Millis timeout)
{
    const Millis began = now(gateway);
    auto response = co_await fetchHttp(gateway.m_store, gateway.m_settings.m_platform,
                                       std::move(request), timeout);
    const bool watch
        = timeout > callTimeout; // the store holds a watch open until there is a change
    StoreHealth &health = gateway.m_storeHealth;
    if (ok(response))
        health.m_answeredCallBegan = std::max(health.m_answeredCallBegan, began);
    else
        recordStoreFailure(gateway, what, std::get<Failure>(response).m_detail,
                           watch ? Millis{0} : silenceOf(gateway, began));
    if (!watch)
        recordStoreCallTime(gateway, what, now(gateway) - began, response);
    co_return response;
}

asio::awaitable<StoreReply> requestStoreObject(Gateway &gateway, const char *what,
                                               HttpRequest request)
{
    const auto response = co_await callStore(gateway, what, std::move(request), callTimeout);
    StoreReply reply;
    if (!ok(response)) {
        reply.m_detail = std::get<Failure>(response).m_detail;
        co_return reply;
    }
    reply = gateway.m_protocol->readReply(std::get<HttpResponse>(response));
    if (statesEra(reply) && !noteStoreEra(gateway, reply.m_era)) {
        reply = {};
        reply.m_detail = "an answer of an older era";
    }
    recordStoreReply(gateway, what, reply.m_outcome != StoreOutcome::Refused, reply.m_detail);
    co_return reply;
}

namespace {

/// Runs one watch and applies the changes that it returns. Returns the revision to watch from next;
/// nothing if the store no longer has the history since `revision`, so that a new list is needed.
asio::awaitable<std::optional<std::uint64_t>> watchOnce(Gateway &gateway, ObjectKind kind,
                                                        std::uint64_t revision, Millis &pause)
{
    if (storeEra(revision) < gateway.m_storeEra.value_or(0))
        co_return std::nullopt; // the store's history before its return is gone
    StoreOutcome outcome = StoreOutcome::Unknown;
    const Millis began = now(gateway);
    HttpRequest request = gateway.m_protocol->watchObjects(kind, revision, watchLongPollTime);
    const auto page = co_await fetchPage(gateway, kind, std::move(request),
                                         watchLongPollTime + callTimeout, outcome);
    if (!page) {
        co_await backOff(gateway, pause, maxBackoff);
        if (outcome != StoreOutcome::HistoryExpired)
            co_return revision;
        logEvent("history_gone", {{"kind", toText(kind)}});
        co_return std::nullopt;
    }
    pause = initialBackoff;
    if (storeEra(page->m_revision) != storeEra(revision))
        co_return std::nullopt;
    for (const StoredObject &object : page->m_objects)
        applyObject(gateway, kind, object);
    if (kind == ObjectKind::Servers) {
        gateway.m_serverTable.m_revision = page->m_revision;
        gateway.m_serverTable.m_confirmedAt = now(gateway);
    }
    if (!page->m_objects.empty())
        wakeWaiting(gateway);
    const bool returnedEarly = page->m_objects.empty() && now(gateway) - began < emptyWatchDelay;
    const Millis batchDelay = kind == ObjectKind::Hosts
        ? std::max(registerReadInterval(hostCount(gateway)), watchBatchDelay)
        : watchBatchDelay;
    co_await pauseFor(gateway, returnedEarly ? emptyWatchDelay : batchDelay);
    co_return page->m_revision;
}

/// Lists all objects of a kind, with exponential backoff until it succeeds.
asio::awaitable<std::uint64_t> listUntilSuccess(Gateway &gateway, ObjectKind kind)
{
    Millis pause = initialBackoff;
    while (true) {
        const auto revision = co_await listAll(gateway, kind);
        if (revision)
            co_return *revision;
        co_await backOff(gateway, pause, maxBackoff);
    }
}

bool isConfigurationBehind(const Gateway &gateway, std::uint64_t version)
{
    return !gateway.m_routes || gateway.m_routes->m_version < version;
}

bool isServerTableBehind(const Gateway &gateway, std::uint64_t digest, std::uint64_t revision)
{
    return revision > gateway.m_serverTable.m_revision && digest != digestOf(gateway.m_serverTable);
}

asio::awaitable<void> catchUpAfterDelay(Gateway &gateway, std::uint64_t routes,
                                        std::uint64_t digest, std::uint64_t revision)
{
    co_await pauseFor(gateway, jittered(gateway, catchUpDelay));
    if (isConfigurationBehind(gateway, routes))
        co_await rereadConfiguration(gateway);
    if (isServerTableBehind(gateway, digest, revision))
        wake(*gateway.m_listTrigger);
    gateway.m_catchingUp = false;
}

} // namespace

asio::awaitable<bool> rereadConfiguration(Gateway &gateway)
{
    const Millis began = now(gateway);
    HttpRequest request
        = gateway.m_protocol->getObject(ObjectKind::Configuration, configurationName);
    const StoreReply reply
        = co_await requestStoreObject(gateway, "configuration", std::move(request));
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object) {
        applyRouteTable(gateway, *reply.m_object);
        recordConfigurationRead(gateway, reply.m_object->m_revision, began);
    }
    co_return reply.m_outcome == StoreOutcome::Done;
}

asio::awaitable<void> readObjects(Gateway &gateway, ObjectKind kind)
{
    co_await listUntilSuccess(gateway, kind);
}

asio::awaitable<bool> readObjectsOnce(Gateway &gateway, ObjectKind kind)
{
    const auto revision = co_await listAll(gateway, kind);
    co_return revision.has_value();
}

asio::awaitable<void> syncObjects(Gateway &gateway, ObjectKind kind)
{
    std::optional<std::uint64_t> revision;
    Millis pause = initialBackoff;
    while (true) {
        if (!revision) {
            revision = co_await listUntilSuccess(gateway, kind);
            logEvent("list_read", {{"kind", toText(kind)}, {"revision", positionText(*revision)}});
        }
        revision = co_await watchOnce(gateway, kind, *revision, pause);
    }
}

asio::awaitable<void> syncServers(Gateway &gateway)
{
    Millis pause = initialBackoff;
    while (true) {
        std::optional<std::uint64_t> revision
            = co_await listUntilSuccess(gateway, ObjectKind::Servers);
        while (revision && holdsLease(gateway))
            revision = co_await watchOnce(gateway, ObjectKind::Servers, *revision, pause);
        if (revision)
            co_await sleepUntilWoken(*gateway.m_listTrigger, serverListInterval);
        co_await pauseFor(gateway, minServerListInterval);
    }
}

asio::awaitable<void> resyncStore(Gateway &gateway)
{
    while (true) {
        co_await pauseFor(gateway, resyncPollInterval);
        const Millis due
            = gateway.m_lastResyncAt + resyncInterval + resyncRankDelay * hostRank(gateway);
        if (now(gateway) < due || gateway.m_stopping)
            continue;
        // Set even if the reads below fail: the next attempt waits for its interval and rank again.
        gateway.m_lastResyncAt = now(gateway);
        const bool routesRead = co_await rereadConfiguration(gateway);
        const auto revision = co_await listAll(gateway, ObjectKind::Servers);
        if (routesRead && revision)
            broadcastHeartbeat(gateway, true);
    }
}

void catchUp(Gateway &gateway, std::uint64_t routes, std::uint64_t digest, std::uint64_t revision)
{
    const bool configurationBehind
        = isConfigurationBehind(gateway, routes) && !isStoreKnownOlder(gateway);
    const bool behind = configurationBehind || isServerTableBehind(gateway, digest, revision);
    if (gateway.m_catchingUp || !behind)
        return;
    gateway.m_catchingUp = true;
    begin(gateway, "catch_up", catchUpAfterDelay(gateway, routes, digest, revision));
}

} // namespace apricot
