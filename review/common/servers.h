// Back ends of PROTOCOL.md: a model server that carries out orders and streams events, and a server
// of a plain service. Both register themselves in the store and write there each heartbeat.
#pragma once

#include "store.h"

#include <cmath>

namespace bed {

constexpr std::int64_t heartbeatMs = 1'200;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// An order as it arrived at a server.
struct Arrival
{
    std::int64_t m_at = 0;
    std::string m_holder;
    std::uint64_t m_fence = 0;
    int m_status = 0; // of the answer
};

/// A running request, as far as the judging of a case needs it.
struct Run
{
    std::string m_id;
    std::int64_t m_at = 0;
    bool m_cut = false; // its connection was closed before the run ended
};

struct Server
{
    Store *m_store = nullptr;
    std::string m_id;
    std::string m_service;
    Address m_address;
    bool m_hasModels = false;
    std::size_t m_capacity = 2;  // models that fit into its memory
    int m_models = 6;            // of the configuration: m0, m1, ...
    std::int64_t m_workMs = 60;  // of a plain request
    std::int64_t m_eventMs = 15; // between two events of a stream
    std::int64_t m_born = unixMs();

    std::mutex m_mutex;
    std::set<std::string> m_loaded;
    std::map<std::string, int> m_running;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_beats = 0;
    bool m_busy = false;
    std::string m_order; // the one that is carried out
    std::vector<Arrival> m_orders;
    std::vector<Run> m_runs;
    /// Called before an answer is written, to add bytes to the connection; empty: nothing.
    std::function<void(Conn &, const Message &)> m_beforeAnswer;
    std::function<void(Conn &, const Message &, int, const std::string &)> m_afterOrder;

    bool start()
    {
        if (!serve(m_address,
                   [this](Conn &conn, const Message &request) { return handle(conn, request); }))
            return false;
        std::thread([this] {
            while (true) {
                writeEntry();
                sleepMs(heartbeatMs);
            }
        }).detach();
        return true;
    }

    void writeEntry()
    {
        json::object entry;
        {
            const std::lock_guard lock(m_mutex);
            m_beats += 1;
            entry = status();
            entry["service"] = m_service;
            entry["address"] = m_address.text();
            entry["zone"] = "zone-a";
            entry["version"] = "1";
            entry["slots"] = 16;
            entry["state"] = "ready";
            entry["cold_ms"] = 0;
            entry["seq"] = m_beats;
        }
        m_store->put("servers", m_id, std::move(entry));
    }

private:
    json::object status() const
    {
        json::array models;
        for (const std::string &name : m_loaded) {
            json::object model;
            model["name"] = name;
            model["version"] = 1;
            model["adapters"] = json::array();
            models.push_back(std::move(model));
        }
        json::array onDisk;
        for (int number = 0; number < m_models; ++number)
            onDisk.push_back(json::string("m" + std::to_string(number)));
        json::object atHand;
        atHand["in_memory"] = json::array();
        atHand["on_disk"] = std::move(onDisk);
        json::object fields;
        fields["born"] = m_born;
        fields["stage"] = "colocated";
        fields["models"] = std::move(models);
        fields["at_hand"] = std::move(atHand);
        return fields;
    }

    bool handle(Conn &conn, const Message &request)
    {
        if (request.target() == "/v1/report")
            return answerReport(conn, request);
        if (request.target() == "/v1/order")
            return answerOrder(conn, request);
        return answerRequest(conn, request);
    }

    bool answerReport(Conn &conn, const Message &request)
    {
        json::object body;
        {
            const std::lock_guard lock(m_mutex);
            body = status();
            body["busy"] = m_busy;
            body["seq"] = m_sequence;
            body["waiting"] = 0;
            body["running"] = 0;
        }
        if (m_beforeAnswer)
            m_beforeAnswer(conn, request);
        return conn.write(
            responseText(200, {"Content-Type: application/json"}, json::serialize(body)));
    }

    bool answerOrder(Conn &conn, const Message &request)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(request.m_body, error);
        int status = 400;
        if (!error && parsed.is_object()) {
            const std::string expected = valueOf(request.m_fields, "Apricotdyke-Expect-Instance");
            status = !expected.empty() && expected != m_id ? 421 : decide(parsed.get_object());
            recordOrder(parsed.get_object(), status);
        }
        const std::string text = responseText(status, {"Content-Type: application/json"}, "{}");
        if (m_beforeAnswer)
            m_beforeAnswer(conn, request);
        const bool written = conn.write(text);
        if (m_afterOrder)
            m_afterOrder(conn, request, status, text);
        return written;
    }

    void recordOrder(const json::object &order, int status)
    {
        const std::lock_guard lock(m_mutex);
        const auto fence = order.at("fence").to_number<std::uint64_t>();
        m_orders.push_back({nowMs(), textAt(order, "holder"), fence, status});
        record().line("order at " + m_id + ": " + textAt(order, "operation") + " "
                      + textAt(order, "model") + ", holder " + textAt(order, "holder") + ", fence "
                      + std::to_string(fence) + ", answered " + std::to_string(status));
    }

    /// Decides on an order as PROTOCOL.md says. Orders for adapters aren't known here.
    int decide(const json::object &order)
    {
        const std::lock_guard lock(m_mutex);
        const std::string operation = textAt(order, "operation");
        const std::string model = textAt(order, "model");
        const bool load = operation == "load";
        if (m_busy)
            return m_order == operation + model ? 202 : 409;
        if (m_loaded.contains(model) == load)
            return 200;
        const auto *wanted = order.if_contains("precondition");
        if (wanted && wanted->to_number<std::uint64_t>() != m_sequence)
            return 409;
        m_sequence += 1;
        m_busy = true;
        m_order = operation + model;
        std::thread([this, load, model] { carryOut(load, model); }).detach();
        return 202;
    }

    void carryOut(bool load, const std::string &model)
    {
        constexpr std::int64_t loadMs = 150;
        constexpr std::int64_t unloadMs = 60;
        sleepMs(load ? loadMs : unloadMs);
        while (!load && running(model) > 0)
            sleepMs(10);
        {
            const std::lock_guard lock(m_mutex);
            if (load)
                m_loaded.insert(model);
            else
                m_loaded.erase(model);
            m_busy = false;
        }
        writeEntry();
    }

    int running(const std::string &model)
    {
        const std::lock_guard lock(m_mutex);
        return m_running[model];
    }

    bool answerRequest(Conn &conn, const Message &request)
    {
        const std::string id = valueOf(request.m_fields, "Apricotdyke-Request-Id");
        const std::string model = valueOf(request.m_fields, "Apricotdyke-Model");
        const std::string expected = valueOf(request.m_fields, "Apricotdyke-Expect-Instance");
        bool runs = expected.empty() || expected == m_id;
        std::size_t number = 0;
        {
            const std::lock_guard lock(m_mutex);
            runs = runs && (!m_hasModels || m_loaded.contains(model));
            if (runs) {
                m_running[model] += 1;
                number = m_runs.size();
                m_runs.push_back({id, nowMs(), false});
            }
        }
        if (!runs) {
            if (m_beforeAnswer)
                m_beforeAnswer(conn, request);
            return conn.write(
                responseText(421, {"Apricotdyke-Request-Id: " + id, "Apricotdyke-Not-Run: 1"}, ""));
        }
        record().line("run " + id + " begins at " + m_id);
        if (m_beforeAnswer)
            m_beforeAnswer(conn, request);
        const bool whole = m_hasModels ? writeStream(conn, id) : writePlain(conn, id);
        const std::lock_guard lock(m_mutex);
        m_running[model] -= 1;
        m_runs[number].m_cut = !whole;
        record().line("run " + id + (whole ? " answered by " : " cut at ") + m_id);
        return whole;
    }

    std::vector<std::string> stamp(const std::string &id) const
    {
        return {"Apricotdyke-Request-Id: " + id,
                "Apricotdyke-Server-Stamp: stamp-" + m_id + "-" + id, "Keep-Alive: timeout=10"};
    }

    /// Works on a plain request. A server drops a request when its connection closes.
    bool writePlain(Conn &conn, const std::string &id)
    {
        const std::int64_t end = nowMs() + m_workMs;
        while (nowMs() < end) {
            sleepMs(2);
            if (conn.closedByPeer())
                return false;
        }
        return conn.write(responseText(200, stamp(id), "answer to " + id));
    }

    bool writeStream(Conn &conn, const std::string &id)
    {
        std::string head = "HTTP/1.1 200 -\r\nContent-Type: text/event-stream\r\n";
        for (const std::string &field : stamp(id))
            head += field + "\r\n";
        if (!conn.write(head + "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        const std::size_t dash = id.find('-'); // an id may name the number of events
        const int events = dash == std::string::npos ? 4 : std::atoi(id.c_str() + dash + 1);
        for (int event = 1; event <= events; ++event) {
            sleepMs(m_eventMs);
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (conn.closedByPeer() || !conn.write(size + text + "\r\n"))
                return false;
        }
        return conn.write("0\r\n\r\n");
    }
};

} // namespace bed
