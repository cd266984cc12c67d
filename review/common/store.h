// The platform's metadata store of PROTOCOL.md, in memory: objects by kind and name with one
// counter of revisions, conditional writes, lists and watches. Each host of a case has an address
// of its own for the store, so that the store can turn away some hosts and serve the others.
#pragma once

#include "net.h"

#include <boost/json.hpp>
#include <condition_variable>
#include <deque>
#include <memory>
#include <set>

namespace bed {

namespace json = boost::json;

inline std::string textAt(const json::object &fields, const char *key)
{
    const auto *value = fields.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

struct Store
{
    struct Object
    {
        std::uint64_t m_revision = 0;
        json::value m_spec;
    };
    struct Change
    {
        std::uint64_t m_revision = 0;
        std::string m_kind;
        std::string m_name;
        bool m_deleted = false;
        json::value m_spec;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Change> m_changes;
    std::uint64_t m_revision = 10;
    std::set<std::string> m_refused;          // hosts that get 503
    std::atomic<std::int64_t> m_answerMs = 4; // time of an answer, as SYSTEM.md states it

    void put(const std::string &kind, const std::string &name, json::value spec)
    {
        const std::lock_guard lock(m_mutex);
        putLocked(kind, name, std::move(spec));
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        removeLocked(kind, name);
    }

    /// The spec of an object; null if there is none.
    json::value get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? json::value() : found->second.m_spec;
    }

    void refuse(const std::string &host, bool refused)
    {
        const std::lock_guard lock(m_mutex);
        if (refused)
            m_refused.insert(host);
        else
            m_refused.erase(host);
        m_changed.notify_all();
    }

    /// Serves the store at an address that one host uses.
    bool serveFor(const Address &address, const std::string &host)
    {
        return serve(address, [this, host](Conn &conn, const Message &request) {
            sleepMs(m_answerMs);
            const auto [status, body] = answer(host, conn, request);
            return conn.write(responseText(status, {"Content-Type: application/json"}, body));
        });
    }

private:
    using Answer = std::pair<int, std::string>;

    void putLocked(const std::string &kind, const std::string &name, json::value spec)
    {
        m_revision += 1;
        m_objects[kind][name] = {m_revision, spec};
        m_changes.push_back({m_revision, kind, name, false, std::move(spec)});
        m_changed.notify_all();
    }

    void removeLocked(const std::string &kind, const std::string &name)
    {
        if (m_objects[kind].erase(name) == 0)
            return;
        m_revision += 1;
        m_changes.push_back({m_revision, kind, name, true, {}});
        m_changed.notify_all();
    }

    static json::object objectJson(const std::string &name, std::uint64_t revision,
                                   const json::value &spec)
    {
        json::object metadata;
        metadata["name"] = name;
        metadata["revision"] = revision;
        json::object object;
        object["metadata"] = std::move(metadata);
        object["spec"] = spec;
        return object;
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t query = target.find('?');
        std::size_t at = query == std::string::npos ? query : target.find(name + "=", query);
        if (at == std::string::npos)
            return {};
        at += name.size() + 1;
        return target.substr(at, target.find('&', at) - at);
    }

    static std::string unescape(const std::string &text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }

    Answer answer(const std::string &host, Conn &conn, const Message &request)
    {
        std::unique_lock lock(m_mutex);
        if (m_refused.contains(host))
            return {503, "{}"};
        const std::string target = request.target();
        const std::string prefix = "/v1/objects/";
        const std::string path = target.substr(0, target.find('?'));
        if (!path.starts_with(prefix))
            return {400, "{}"};
        const std::string rest = path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name
            = slash == std::string::npos ? std::string() : unescape(rest.substr(slash + 1));
        if (request.method() == "GET" && name.empty()) {
            const std::string since = parameter(target, "watch");
            return since.empty() ? list(kind) : watch(lock, host, conn, kind, target, since);
        }
        if (request.method() == "GET")
            return read(kind, name);
        if (request.method() == "DELETE")
            return erase(kind, name, parameter(target, "revision"));
        return write(request, kind, name);
    }

    Answer list(const std::string &kind)
    {
        json::array items;
        for (const auto &[name, object] : m_objects[kind])
            items.push_back(objectJson(name, object.m_revision, object.m_spec));
        json::object body;
        body["items"] = std::move(items);
        body["more"] = false;
        body["as_of"] = m_revision;
        return {200, json::serialize(body)};
    }

    Answer watch(std::unique_lock<std::mutex> &lock, const std::string &host, Conn &conn,
                 const std::string &kind, const std::string &target, const std::string &since)
    {
        const std::uint64_t revision = std::strtoull(since.c_str(), nullptr, 10);
        const std::int64_t end = nowMs() + std::atoll(parameter(target, "wait_ms").c_str());
        while (true) {
            if (m_refused.contains(host) || conn.closedByPeer())
                return {503, "{}"};
            json::array events;
            for (const Change &change : m_changes) {
                if (change.m_kind != kind || change.m_revision <= revision)
                    continue;
                json::object event;
                event["deleted"] = change.m_deleted;
                event["object"] = objectJson(change.m_name, change.m_revision, change.m_spec);
                events.push_back(std::move(event));
            }
            if (!events.empty() || nowMs() >= end) {
                json::object body;
                body["events"] = std::move(events);
                body["as_of"] = m_revision;
                return {200, json::serialize(body)};
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(100));
        }
    }

    Answer read(const std::string &kind, const std::string &name)
    {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return {404, "{}"};
        const Object &object = found->second;
        return {200, json::serialize(objectJson(name, object.m_revision, object.m_spec))};
    }

    Answer erase(const std::string &kind, const std::string &name, const std::string &wanted)
    {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return {404, "{}"};
        if (!wanted.empty() && wanted != std::to_string(found->second.m_revision))
            return {409, read(kind, name).second};
        removeLocked(kind, name);
        return {200, "{}"};
    }

    Answer write(const Message &request, const std::string &kind, const std::string &named)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(request.m_body, error);
        if (error || !parsed.is_object() || !parsed.get_object().contains("metadata"))
            return {400, "{}"};
        const json::object &metadata = parsed.get_object().at("metadata").as_object();
        const std::string name = named.empty() ? textAt(metadata, "name") : named;
        const auto found = m_objects[kind].find(name);
        const bool create = request.method() == "POST";
        if (create && found != m_objects[kind].end())
            return {409, read(kind, name).second};
        if (!create && found == m_objects[kind].end())
            return {404, "{}"};
        const auto *wanted = metadata.if_contains("revision");
        if (!create && wanted && wanted->to_number<std::uint64_t>() != found->second.m_revision)
            return {409, read(kind, name).second};
        const json::value &spec = parsed.get_object().at("spec");
        if (create || found->second.m_spec != spec)
            putLocked(kind, name, spec);
        return {create ? 201 : 200, read(kind, name).second};
    }
};

} // namespace bed
