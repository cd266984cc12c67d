// Stand-ins for the backend servers of the cases, which follow PROTOCOL.md and the news pages.
#pragma once

#include "world.h"

namespace review {

/// A request that reached a server, also one that the server turned away.
struct Arrival
{
    std::string m_id;
    long m_at = 0;
    bool m_ran = false;
};

/// A server of a plain service. It writes its entry in the store every heartbeat interval.
class PlainServer
{
public:
    PlainServer(Store &store, std::string service, std::string id, int slots, int queue,
                long workMs);

    void start();
    /// Ends as a crash would: all connections are reset. It may be started again.
    void crash();
    /// From now on all its answers say that it leaves. Its entry is removed, or says it too.
    void leave(bool removeEntry);

    const std::string &id() const { return m_entry.m_id; }
    std::vector<Arrival> arrivals();
    int ran();

    /// Called at the end of each request that the server turned away for want of room.
    std::function<void(PlainServer &)> m_onTurnedAway;
    /// Field that all answers bear: name and value; an empty name: none.
    std::function<std::pair<std::string, std::string>()> m_extraField;
    std::atomic<int> m_queue; // requests that it lets wait

private:
    bool answer(const Request &request, Connection &connection);
    bool respond(Connection &connection, int status, Fields fields, const std::string &body);
    void beat();

    Store &m_store;
    ServerEntry m_entry;
    long m_workMs;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    bool m_leaving = false;
    bool m_registered = false;
    std::atomic<int> m_generation = 0;
    std::vector<Arrival> m_arrivals;
    std::vector<std::unique_ptr<Server>> m_servers; // the last one is the present one
};

/// A model server that has its models loaded and streams events of one software version. Each event
/// names that version, as "VERSION/NUMBER".
class ModelServer
{
public:
    /// `empty`: it holds no model yet, as one that has just started.
    ModelServer(Store &store, std::string service, std::string id, std::string version, int slots,
                bool empty = false);

    void start();
    void crash();
    const ServerEntry &entry() const { return m_entry; }
    int streams() const { return m_streams; } // begun or gone on with

    static constexpr int m_eventsPerStream = 40;
    static constexpr long m_eventIntervalMs = 100;

private:
    bool answer(const Request &request, Connection &connection);
    bool answerReport(Connection &connection);
    bool answerStream(const Request &request, Connection &connection);
    void beat();

    Store &m_store;
    ServerEntry m_entry;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_streams = 0;
    std::atomic<int> m_generation = 0;
    std::vector<std::unique_ptr<Server>> m_servers; // the last one is the present one
};

} // namespace review
