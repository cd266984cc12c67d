#include "servers.h"

#include <algorithm>

namespace review {

PlainServer::PlainServer(Store &store, std::string service, std::string id, int slots, int queue,
                         long workMs)
    : m_queue(queue), m_store(store), m_workMs(workMs)
{
    m_entry.m_id = std::move(id);
    m_entry.m_service = std::move(service);
    m_entry.m_slots = slots;
    m_entry.m_port = freePort();
}

void PlainServer::start()
{
    {
        const std::lock_guard lock(m_mutex);
        m_entry.m_born = unixMs();
        m_running = 0;
        m_waiting = 0;
        m_registered = true;
        m_generation += 1;
    }
    m_servers.push_back(std::make_unique<Server>(
        m_entry.m_port, [this](const Request &request, Connection &connection) {
            return answer(request, connection);
        }));
    std::thread([this] { beat(); }).detach();
}

void PlainServer::beat()
{
    const int generation = m_generation;
    for (long sequence = 1; m_generation == generation; ++sequence) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_registered)
                m_store.put("servers", m_entry.m_id, entryText(m_entry, sequence));
        }
        sleepMs(heartbeatMs);
    }
}

void PlainServer::crash()
{
    m_generation += 1;
    m_servers.back()->crash();
    m_freed.notify_all();
}

void PlainServer::leave(bool removeEntry)
{
    const std::lock_guard lock(m_mutex);
    m_leaving = true;
    m_entry.m_state = "draining";
    if (removeEntry) {
        m_registered = false;
        m_store.remove("servers", m_entry.m_id);
    } else {
        m_store.put("servers", m_entry.m_id, entryText(m_entry, 0));
    }
}

std::vector<Arrival> PlainServer::arrivals()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

int PlainServer::ran()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count_if(m_arrivals.begin(), m_arrivals.end(),
                                          [](const Arrival &arrival) { return arrival.m_ran; }));
}

bool PlainServer::respond(Connection &connection, int status, Fields fields,
                          const std::string &body)
{
    {
        const std::lock_guard lock(m_mutex);
        fields.emplace_back("Apricotdyke-Server-Load",
                            std::to_string(m_running) + "," + std::to_string(m_waiting) + ","
                                + std::to_string(m_entry.m_slots));
        if (m_leaving)
            fields.emplace_back("Server-Leaving", "1");
    }
    if (m_extraField) {
        const auto extra = m_extraField();
        if (!extra.first.empty())
            fields.push_back(extra);
    }
    return connection.respond(status, fields, body);
}

bool PlainServer::answer(const Request &request, Connection &connection)
{
    const int generation = m_generation;
    const std::string id = fieldOf(request.m_fields, "Apricotdyke-Request-Id");
    const std::string expected = fieldOf(request.m_fields, "Apricotdyke-Expect-Instance");
    const Fields echo = {{"Apricotdyke-Request-Id", id}};
    if (!expected.empty() && expected != m_entry.m_id)
        return respond(connection, 421,
                       {{"Apricotdyke-Request-Id", id},
                        {"Apricotdyke-Not-Run", "1"},
                        {"Apricotdyke-Instance-Id", m_entry.m_id}},
                       "");
    std::size_t number = 0;
    bool turnedAway = false;
    {
        std::unique_lock lock(m_mutex);
        number = m_arrivals.size();
        m_arrivals.push_back({id, nowMs(), false});
        turnedAway = m_running >= m_entry.m_slots && m_waiting >= m_queue;
        if (!turnedAway) {
            m_waiting += 1;
            m_freed.wait(lock,
                         [&] { return m_running < m_entry.m_slots || m_generation != generation; });
            if (m_generation != generation)
                return false;
            m_waiting -= 1;
            if (connection.peerClosed()) { // its sender gave up while it waited
                m_freed.notify_one();
                return false;
            }
            m_running += 1;
            m_arrivals[number].m_ran = true;
        }
    }
    if (turnedAway) {
        const bool sent = respond(
            connection, 503, {{"Apricotdyke-Request-Id", id}, {"Apricotdyke-Not-Run", "1"}}, "");
        if (m_onTurnedAway)
            m_onTurnedAway(*this);
        return sent;
    }
    record(m_entry.m_id + " runs " + id);
    sleepMs(m_workMs);
    {
        const std::lock_guard lock(m_mutex);
        if (m_generation != generation)
            return false;
        m_running -= 1;
    }
    m_freed.notify_one();
    return respond(connection, 200,
                   {{"Apricotdyke-Request-Id", id},
                    {"Apricotdyke-Server-Stamp", "stamp-" + m_entry.m_id},
                    {"Content-Type", "text/plain"}},
                   "served " + id);
}

ModelServer::ModelServer(Store &store, std::string service, std::string id, std::string version,
                         int slots, bool empty)
    : m_store(store)
{
    m_entry.m_id = std::move(id);
    m_entry.m_service = std::move(service);
    m_entry.m_version = std::move(version);
    m_entry.m_slots = slots;
    m_entry.m_port = freePort();
    if (!empty)
        m_entry.m_models = {"m0"};
}

void ModelServer::start()
{
    m_entry.m_born = unixMs();
    m_generation += 1;
    m_servers.push_back(std::make_unique<Server>(
        m_entry.m_port, [this](const Request &request, Connection &connection) {
            return answer(request, connection);
        }));
    std::thread([this] { beat(); }).detach();
}

void ModelServer::beat()
{
    const int generation = m_generation;
    for (long sequence = 1; m_generation == generation; ++sequence) {
        m_store.put("servers", m_entry.m_id, entryText(m_entry, sequence));
        sleepMs(heartbeatMs);
    }
}

void ModelServer::crash()
{
    m_generation += 1;
    m_servers.back()->crash();
}

bool ModelServer::answer(const Request &request, Connection &connection)
{
    if (request.m_target == "/v1/report")
        return answerReport(connection);
    if (request.m_target == "/v1/order") { // all that is published is loaded already
        const json::object order = json::parse(request.m_body).as_object();
        const bool holds = order.at("operation") == "load" && order.at("model") == "m0"
            && !order.contains("adapter") && !m_entry.m_models.empty();
        record(m_entry.m_id + " is ordered: " + request.m_body);
        return connection.respond(holds ? 200 : 409, {{"Content-Type", "application/json"}}, "{}");
    }
    const std::string id = fieldOf(request.m_fields, "Apricotdyke-Request-Id");
    const bool isOther = fieldOf(request.m_fields, "Apricotdyke-Expect-Instance") != m_entry.m_id;
    const bool isMissing
        = m_entry.m_models.empty() || fieldOf(request.m_fields, "Apricotdyke-Model") != "m0";
    const bool isFull = m_running >= m_entry.m_slots;
    if (isOther || isMissing || isFull)
        return connection.respond(isOther || isMissing ? 421 : 503,
                                  {{"Apricotdyke-Request-Id", id},
                                   {"Apricotdyke-Not-Run", "1"},
                                   {"Apricotdyke-Instance-Id", m_entry.m_id}},
                                  "");
    m_running += 1;
    const bool whole = answerStream(request, connection);
    m_running -= 1;
    return whole;
}

bool ModelServer::answerReport(Connection &connection)
{
    json::array models;
    if (!m_entry.m_models.empty())
        models.push_back(json::object{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}});
    const json::object report = {{"stage", "colocated"}, {"models", std::move(models)},
                                 {"busy", false},        {"seq", 0},
                                 {"waiting", 0},         {"running", m_running.load()},
                                 {"kv_used", 0},         {"kv_total", 100'000},
                                 {"handles", 0},         {"born", m_entry.m_born}};
    return connection.respond(200, {{"Content-Type", "application/json"}}, json::serialize(report));
}

bool ModelServer::answerStream(const Request &request, Connection &connection)
{
    const std::string id = fieldOf(request.m_fields, "Apricotdyke-Request-Id");
    const int from = std::atoi(fieldOf(request.m_fields, "Last-Event-Id").c_str());
    m_streams += 1;
    record(m_entry.m_id + " (" + m_entry.m_version + ") " + (from > 0 ? "goes on with " : "begins ")
           + id + " after event " + std::to_string(from));
    sleepMs(m_eventIntervalMs);
    const bool begun
        = connection.beginChunks(200,
                                 {{"Apricotdyke-Request-Id", id},
                                  {"Apricotdyke-Server-Stamp", "stamp-" + m_entry.m_id},
                                  {"Content-Type", "text/event-stream"}});
    if (!begun)
        return false;
    for (int event = from + 1; event <= m_eventsPerStream; ++event) {
        sleepMs(m_eventIntervalMs);
        const std::string number = std::to_string(event);
        if (connection.peerClosed()
            || !connection.sendChunk("id: " + number + "\ndata: " + m_entry.m_version + "/" + number
                                     + "\n\n"))
            return false;
    }
    return connection.sendChunk("");
}

} // namespace review
