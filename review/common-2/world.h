// A small deployment for the cases of the review: the platform's store and settings, and gateway
// processes that are started with the command of the deploy file. All of it is on 127.0.0.1.
#pragma once

#include "http.h"

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <deque>
#include <sys/types.h>

namespace review {

namespace json = boost::json;

// Bounds of sites/ccsd-samples.toml, ms.
constexpr long stableWindowMs = 3'000;
constexpr long drainMs = 2'000;
constexpr long recoverMs = 12'000;
constexpr long heartbeatMs = 1'200;

/// Whether the case runs with its disruption: false if TROUBLE=0 stands in the environment.
bool trouble();

/// Writes a line to record.txt, in the folder that the variable CASE names, with the time.
void record(const std::string &line);

/// Ends the program: exit code 0 if the rule was kept, 1 if it was broken, 2 if the case couldn't
/// run. All processes that were started are ended first.
[[noreturn]] void finish(int code, const std::string &why);

/// The platform's metadata store, as PROTOCOL.md describes it.
class Store
{
public:
    explicit Store(int port);

    /// Writes an object, as the operator and the servers do. `spec` is JSON text and is returned to
    /// readers as it is.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    std::string get(const std::string &kind, const std::string &name);
    /// From now on a waiting watch is cut off after so long, without an answer; 0: never.
    void cutWatchesAfter(long ms);
    long readsOf(const std::string &kind);
    /// Copies all objects, and comes back from that copy: the revisions go back, the history is
    /// gone, and the era that all answers state rises by one.
    void takeCopy();
    void returnFromCopy();

private:
    struct Object
    {
        long m_revision = 0;
        std::string m_spec;
    };
    struct Change
    {
        long m_revision = 0;
        std::string m_kind;
        std::string m_name;
        bool m_deleted = false;
        std::string m_spec;
    };

    bool answer(const Request &request, Connection &connection);
    bool answerWatch(const std::string &kind, long revision, long waitMs, Connection &connection);
    bool respond(Connection &connection, int status, const std::string &body, long era);
    std::string list(const std::string &kind);
    std::string eventsSince(const std::string &kind, long revision);
    void putLocked(const std::string &kind, const std::string &name, const std::string &spec);
    void removeLocked(const std::string &kind, const std::string &name);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Change> m_changes;
    std::map<std::string, long> m_reads;
    long m_revision = 1;
    std::map<std::string, std::map<std::string, Object>> m_copy; // of m_objects
    long m_copyRevision = 1;
    std::atomic<long> m_era = 1;
    std::atomic<long> m_cutAfterMs = 0;
    std::unique_ptr<Server> m_server;
};

/// One machine of the system with its gateway process.
struct Machine
{
    std::string m_name;
    int m_front = 0; // ports
    int m_ready = 0;
    int m_directory = 0;
    int m_peer = 0;
    int m_metrics = 0;
    std::string m_settings; // path
    pid_t m_process = -1;
};

class Machines
{
public:
    /// Makes the settings files from the deploy file's template.
    Machines(int count, int storePort);

    Machine &at(std::size_t number) { return m_machines[number]; }
    std::size_t size() const { return m_machines.size(); }
    void start(Machine &machine);
    void signal(Machine &machine, int number) const;
    /// Kills the process and waits for its end.
    void kill(Machine &machine);
    bool isReady(const Machine &machine) const;
    /// Waits until all machines are ready; false if they aren't in time.
    bool awaitReady(long timeoutMs) const;
    /// Number of processes that ended by themselves.
    int endedByThemselves();

private:
    std::vector<Machine> m_machines;
};

/// The entry of a server in the store.
struct ServerEntry
{
    std::string m_id;
    std::string m_service;
    int m_port = 0;
    std::string m_version = "1.0";
    int m_slots = 4;
    std::string m_state = "ready";
    long m_born = 0;                   // Unix ms
    std::vector<std::string> m_models; // loaded; of a model server
};

std::string entryText(const ServerEntry &entry, long sequence);
long unixMs();

/// A route of the configuration.
json::object route(const std::string &prefix, const std::string &kind, const std::string &service,
                   int maxAttempts, long timeoutMs, long targetMs, bool resumable = false);
std::string configuration(int version, json::array routes, json::array services);

/// A client's request on one of the routes.
Request clientRequest(const std::string &method, const std::string &target, const std::string &id,
                      long deadlineMs);

} // namespace review
