// The running state of one gateway, and how it starts and stops.
//
// A gateway runs on one thread: its hosts have one core, and one thread needs no locks.
#pragma once

#include "gateway.h"
#include "process/metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace apricot {

/// A coroutine that sleeps until a time or until it is woken.
struct Sleeper
{
    explicit Sleeper(asio::io_context &io) : m_timer(io) { }

    asio::steady_timer m_timer;
    bool m_woken = false;
};

/// False if the time ran out first. A wake before the sleep ends it at once.
asio::awaitable<bool> sleepUntilWoken(Sleeper &sleeper, Millis atMost);
void wake(Sleeper &sleeper);

/// What callers of this host want of one model or adapter.
struct WantKey
{
    ServiceName m_service;
    ModelName m_model;
    AdapterName m_adapter;

    auto operator<=>(const WantKey &) const = default;
};

struct WaitingCall
{
    Sleeper *m_sleeper = nullptr;
    Millis m_since;  // its arrival
    Millis m_target; // on time for so long after that
};

struct Want
{
    std::list<WaitingCall> m_calls;
    int m_running = 0; // sent and not ended
    double m_rate = 0; // requests a second, decaying
    Millis m_rateAt;   // when m_rate was right
};

/// Requests a second, decayed from the last arrival up to now.
double decayedRate(const Want &want, Millis time);
void noteArrival(Want &want, Millis time);
ModelDemand demandOf(const WantKey &key, const Want &want, Millis time);

/// Nobody waits, runs, or asked lately: the entry can go.
bool isIdle(const Want &want, Millis time);

/// What another host last said.
struct Peer
{
    HostEntry m_entry;
    Millis m_known; // since when it is in the register
    Millis m_heard; // 0: never
    bool m_ready = false;
    std::uint64_t m_fence = 0; // above 0: it says that it holds the lease
    std::map<WantKey, ModelDemand> m_wants;
    std::map<std::pair<InstanceId, ModelName>, int> m_uses;
    Millis m_usesHeard;
};

/// A model server as the lease holder follows it.
struct FollowedServer
{
    ServerWord m_word;
    bool m_sequenceKnown = false;
    bool m_inHand = false; // a coroutine follows an order or a report of it
    ModelName m_pending;   // see PlanServer
    Millis m_pendingSince;
    Millis m_settledAt;                     // when a report last settled m_word
    std::map<ModelName, Millis> m_loadedAt; // models that were loaded lately, when
    std::set<std::string> m_coming;         // "model/adapter"
};

/// State that only the lease holder uses.
struct HolderState
{
    std::map<InstanceId, FollowedServer> m_servers;
    std::deque<Millis> m_storeLoads; // begun lately
    int m_storeLoadsRunning = 0;
};

/// How the store has been answering.
struct StoreHealth
{
    bool m_away = false;            // the last call failed
    Millis m_backAt = {-1'000'000}; // when it answered again after that
};

/// The holder's last question to all other hosts. Valid if m_number is above 0.
struct LeaseAsk
{
    std::uint64_t m_number = 0;
    Millis m_asked;
    std::set<HostName> m_open; // hosts that did not grant it yet
    bool m_extended = false;   // hosts granted time since the store last renewed the lease
};

struct Gateway
{
    asio::io_context m_io{1};
    GatewaySettings m_settings;
    std::string m_settingsPath;
    const Protocol *m_protocol = nullptr;
    Clock m_clock;
    std::string m_run; // names this process among all of this host
    Metrics m_metrics;
    std::mt19937_64 m_random;

    HttpPool m_store;   // connections to the platform's store
    HttpPool m_servers; // connections to backend servers
    StoreHealth m_storeHealth;

    std::shared_ptr<const RouteTable> m_routes; // null until the first is known
    std::shared_ptr<HttpServerOptions> m_callerOptions;
    Roster m_roster;
    bool m_rosterKnown = false;
    std::unique_ptr<Sleeper> m_listNow; // wakes the loop that lists the servers
    std::uint64_t m_routesRevision = 0; // of the configuration's object
    bool m_catchingUp = false;          // a coroutine reads what another host is ahead by
    Millis m_auditHeard;                // when a host last read the store for all
    std::map<ServiceName, RetryBudget> m_budgets;
    std::map<WantKey, Want> m_wants;

    std::map<HostName, Peer> m_peers; // without this host
    std::unique_ptr<asio::ip::udp::socket> m_udp;
    HostName m_holder; // that said so last; empty: none
    Millis m_holderHeard;
    std::map<HostName, Millis>
        m_strangers;                    // ready hosts that the register doesn't show, when heard
    std::uint64_t m_hostRevision = 0;   // of our entry in the register; 0: none
    std::unique_ptr<Sleeper> m_tellNow; // wakes the loop that tells the holder

    Lease m_lease;
    LeaseTiming m_leaseTiming;
    bool m_renewing = false; // a renewal is on its way to the store
    Millis m_nextTake;       // no earlier try to take the lease
    Millis m_takePause;      // grows with each try that fails
    LeaseAsk m_leaseAsk;
    HolderState m_placement;
    std::unique_ptr<Sleeper> m_planNow;
    std::unique_ptr<Sleeper> m_leaseNow;

    std::shared_ptr<TcpListener> m_callers;
    std::shared_ptr<TcpListener> m_directory;
    std::shared_ptr<TcpListener> m_ready;
    std::shared_ptr<TcpListener> m_metricsPort;
    int m_inFlight = 0; // requests being answered
    bool m_stopping = false;
    Millis m_stopBegan; // valid if m_stopping
};

std::unique_ptr<Gateway> makeGateway(const GatewaySettings &settings, std::string settingsPath,
                                     const Protocol &protocol);

/// Listens and begins all loops; the caller then runs m_io. Failure if an address is taken.
std::optional<Failure> startGateway(Gateway &gateway);

/// A planned stop: no new callers are sent here, those who come are served, then m_io is stopped.
asio::awaitable<void> stopGateway(Gateway &gateway);

/// When a stopping host ends, and until when its callers may wait for a model.
Millis stopBy(const Gateway &gateway);
Millis lastWaitAt(const Gateway &gateway);

/// Reads the settings file again; a faulty one changes nothing.
void reloadSettings(Gateway &gateway);

Millis now(const Gateway &gateway);
bool isReady(const Gateway &gateway);
bool holdsLease(const Gateway &gateway);

/// Starts a coroutine; what it throws is logged.
void begin(Gateway &gateway, const char *name, asio::awaitable<void> work);
asio::awaitable<void> pauseFor(Gateway &gateway, Millis time);

/// Waits about that long after a failure, and doubles it for the next one.
asio::awaitable<void> backOff(Gateway &gateway, Millis &pause, Millis longest);

/// A time drawn evenly from half to one and a half times the given one, so that hosts spread out.
Millis jittered(Gateway &gateway, Millis time);

// --- relay.cpp: callers' requests ---

asio::awaitable<void> relayCall(Gateway &gateway, HttpExchange &exchange);

/// Wakes the callers that wait for a model that is there now.
void wakeWaiting(Gateway &gateway);

// --- storeclient.cpp: the platform's store ---

asio::awaitable<Result<HttpResponse>> callStore(Gateway &gateway, const char *what,
                                                HttpRequest request, Millis timeout);
asio::awaitable<StoreReply> changeStore(Gateway &gateway, const char *what, HttpRequest request);

/// Follows all objects of a kind by watches, for as long as the process runs.
asio::awaitable<void> followObjects(Gateway &gateway, ObjectKind kind);

/// Follows the servers: the lease holder by watches, the others by lists when a beat shows that
/// theirs is out of date.
asio::awaitable<void> followServers(Gateway &gateway);

/// A watch may miss changes and not say so. One host after the other reads configuration and
/// servers anew, and its beat tells the others whether they are behind.
asio::awaitable<void> auditStore(Gateway &gateway);

/// Another host is ahead of us: read what we lack, unless it arrives by itself.
void catchUp(Gateway &gateway, std::uint64_t routes, std::uint64_t digest, std::uint64_t revision);

// --- hosts.cpp: other hosts, and address answers ---

asio::awaitable<void> registerHost(Gateway &gateway);
asio::awaitable<void> unregisterHost(Gateway &gateway);
void takeHostEntry(Gateway &gateway, const StoredObject &object);
asio::awaitable<void> hearBeats(Gateway &gateway);
asio::awaitable<void> sendBeats(Gateway &gateway);
asio::awaitable<void> tellHolder(Gateway &gateway);
void beatNow(Gateway &gateway, bool audited = false);

/// This host's place among those that it hears, the lease holder first.
int hostRank(const Gateway &gateway);
void announce(Gateway &gateway, const InstanceId &server, const ServerWord &word);
std::vector<Endpoint> callerAddresses(const Gateway &gateway);
int hostCount(const Gateway &gateway);

void askForLease(Gateway &gateway);

/// Tells the others that the lease was given back, at that revision of its record.
void tellRelease(Gateway &gateway, std::uint64_t revision);

/// Whether the store still has our entry; if not, it is written again.
asio::awaitable<bool> isRegistered(Gateway &gateway);

/// Takes hosts out of the register that were silent for long: a host that is gone for good could
/// never grant the holder time. One that lives notices, and waits anew before it takes the lease.
asio::awaitable<void> clearRegister(Gateway &gateway);

// --- leasekeeper.cpp: who may order ---

asio::awaitable<void> keepLease(Gateway &gateway);
asio::awaitable<void> releaseLease(Gateway &gateway);
void loseLease(Gateway &gateway, const char *why);

/// One machine, as the lease knows it: a new machine may get the name of an old one.
HostName machineOf(const HostName &host, const Endpoint &peer);

// --- holder.cpp: the orders ---

asio::awaitable<void> runPlacement(Gateway &gateway);

} // namespace apricot
