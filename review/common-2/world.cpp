#include "world.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const char *const hostName = "a.example";
constexpr long storeAnswerMs = 4;
constexpr std::size_t keptChanges = 100'000;

std::mutex processesMutex;
std::set<pid_t> processes; // started and not yet ended

std::string folder(const char *variable, const char *fallback)
{
    const char *const value = std::getenv(variable);
    return value ? value : fallback;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
}

std::string quoted(const std::string &text)
{
    return json::serialize(json::value(text));
}

/// Value of a query parameter; empty if it is missing.
std::string queryOf(const std::string &target, const std::string &name)
{
    const std::size_t question = target.find('?');
    if (question == std::string::npos)
        return {};
    std::stringstream query(target.substr(question + 1));
    for (std::string part; std::getline(query, part, '&');) {
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
    }
    return {};
}

std::string objectText(const std::string &name, long revision, const std::string &spec)
{
    return "{\"metadata\":{\"name\":" + quoted(name) + ",\"revision\":" + std::to_string(revision)
        + "},\"spec\":" + spec + "}";
}

/// The words of the deploy file's command, with the path of the settings file replaced.
std::vector<std::string> runCommand(const std::string &settings)
{
    std::stringstream deploy(readFile("deploy/system.toml"));
    std::string command;
    for (std::string line; std::getline(deploy, line);) {
        if (line.starts_with("run = \""))
            command = line.substr(7, line.rfind('"') - 7);
    }
    replaceAll(command, "/etc/apricotdyke/settings.toml", settings);
    std::vector<std::string> words;
    std::stringstream parts(command);
    for (std::string word; parts >> word;)
        words.push_back(word);
    return words;
}

std::string endpoint(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

bool trouble()
{
    return folder("TROUBLE", "1") != "0";
}

void record(const std::string &line)
{
    static std::mutex mutex;
    static std::ofstream file(folder("CASE", ".") + "/record.txt");
    const std::lock_guard lock(mutex);
    file << nowMs() << " ms  " << line << std::endl;
}

void finish(int code, const std::string &why)
{
    record((code == 0 ? "KEPT: " : code == 1 ? "BROKEN: " : "NOT RUN: ") + why);
    std::cout << (code == 0 ? "kept: " : code == 1 ? "broken: " : "not run: ") << why << std::endl;
    {
        const std::lock_guard lock(processesMutex);
        for (const pid_t process : processes) {
            ::kill(process, SIGCONT);
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    std::_Exit(code);
}

long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// --- store ---

Store::Store(int port)
{
    m_server
        = std::make_unique<Server>(port, [this](const Request &request, Connection &connection) {
              return answer(request, connection);
          });
}

void Store::putLocked(const std::string &kind, const std::string &name, const std::string &spec)
{
    Object &object = m_objects[kind][name];
    if (object.m_revision > 0 && object.m_spec == spec)
        return;
    object = {++m_revision, spec};
    m_changes.push_back({m_revision, kind, name, false, spec});
    if (m_changes.size() > keptChanges)
        m_changes.pop_front();
    m_changed.notify_all();
}

void Store::removeLocked(const std::string &kind, const std::string &name)
{
    if (m_objects[kind].erase(name) == 0)
        return;
    m_changes.push_back({++m_revision, kind, name, true, "null"});
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    putLocked(kind, name, spec);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    removeLocked(kind, name);
}

std::string Store::get(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? "" : found->second.m_spec;
}

void Store::cutWatchesAfter(long ms)
{
    m_cutAfterMs = ms;
    m_changed.notify_all();
}

long Store::readsOf(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    return m_reads[kind];
}

void Store::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_objects;
    m_copyRevision = m_revision;
}

void Store::returnFromCopy()
{
    const std::lock_guard lock(m_mutex);
    m_objects = m_copy;
    m_revision = m_copyRevision;
    m_changes.clear();
    m_era += 1;
    m_changed.notify_all();
}

bool Store::respond(Connection &connection, int status, const std::string &body, long era)
{
    return connection.respond(
        status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}}, body);
}

std::string Store::list(const std::string &kind)
{
    std::string items;
    for (const auto &[name, object] : m_objects[kind])
        items += (items.empty() ? "" : ",") + objectText(name, object.m_revision, object.m_spec);
    return "{\"items\":[" + items + "],\"more\":false,\"as_of\":" + std::to_string(m_revision)
        + "}";
}

std::string Store::eventsSince(const std::string &kind, long revision)
{
    std::string events;
    for (const Change &change : m_changes) {
        if (change.m_kind == kind && change.m_revision > revision)
            events += (events.empty() ? "" : ",") + std::string("{\"object\":")
                + objectText(change.m_name, change.m_revision, change.m_spec)
                + ",\"deleted\":" + (change.m_deleted ? "true" : "false") + "}";
    }
    return events;
}

bool Store::answerWatch(const std::string &kind, long revision, long waitMs, Connection &connection)
{
    const long began = nowMs();
    std::string events;
    long asOf = 0;
    const long era = m_era;
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            if (era != m_era || revision > m_revision) {
                lock.unlock();
                return respond(connection, 410, "{}", m_era);
            }
            events = eventsSince(kind, revision);
            if (!events.empty() || nowMs() - began >= waitMs)
                break;
            const long cutAfter = m_cutAfterMs;
            if (cutAfter > 0 && nowMs() - began >= cutAfter) {
                connection.shutdown();
                return false;
            }
            if (connection.peerClosed())
                return false;
            m_changed.wait_for(lock, std::chrono::milliseconds(50));
        }
        asOf = m_revision;
    }
    return respond(connection, 200,
                   "{\"events\":[" + events + "],\"as_of\":" + std::to_string(asOf) + "}", era);
}

bool Store::answer(const Request &request, Connection &connection)
{
    const std::string path = request.m_target.substr(0, request.m_target.find('?'));
    const std::string base = "/v1/objects/";
    if (!path.starts_with(base))
        return connection.respond(404, {}, "{}");
    const std::size_t slash = path.find('/', base.size());
    const std::string kind = path.substr(base.size(), slash - base.size());
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    const std::string watch = queryOf(request.m_target, "watch");
    sleepMs(storeAnswerMs);
    if (request.m_method == "GET" && !watch.empty()) {
        const std::string wait = queryOf(request.m_target, "wait_ms");
        return answerWatch(kind, std::atol(watch.c_str()), std::atol(wait.c_str()), connection);
    }
    std::string body = "{}";
    int status = 200;
    long era = 0;
    {
        const std::lock_guard lock(m_mutex);
        auto &objects = m_objects[kind];
        era = m_era;
        if (request.m_method == "GET" && name.empty()) {
            m_reads[kind] += 1;
            body = list(kind);
        } else if (request.m_method == "GET") {
            const auto found = objects.find(name);
            status = found == objects.end() ? 404 : 200;
            if (status == 200)
                body = objectText(name, found->second.m_revision, found->second.m_spec);
        } else {
            std::string wanted = queryOf(request.m_target, "revision");
            std::string spec = "null";
            if (!request.m_body.empty()) {
                const json::object fields = json::parse(request.m_body).as_object();
                const json::object &metadata = fields.at("metadata").as_object();
                if (const auto *stated = metadata.if_contains("name"))
                    name = std::string(stated->as_string());
                if (const auto *stated = metadata.if_contains("revision"))
                    wanted = std::to_string(stated->to_number<long>());
                spec = json::serialize(fields.at("spec"));
            }
            const auto found = objects.find(name);
            const bool exists = found != objects.end();
            const bool isOther
                = exists && !wanted.empty() && wanted != std::to_string(found->second.m_revision);
            if (request.m_method == "POST" ? exists : isOther)
                status = 409;
            else if (request.m_method != "POST" && !exists)
                status = 404;
            else if (request.m_method == "DELETE")
                removeLocked(kind, name);
            else
                putLocked(kind, name, spec);
            if (status == 200 && request.m_method == "POST")
                status = 201;
            const auto now = objects.find(name);
            if (now != objects.end())
                body = objectText(name, now->second.m_revision, now->second.m_spec);
        }
    }
    return respond(connection, status, body, era);
}

// --- machines ---

Machines::Machines(int count, int storePort)
{
    const std::string work = folder("WORK", "/tmp");
    for (int number = 0; number < count; ++number) {
        Machine machine;
        machine.m_name = "front-a-" + std::to_string(number + 1);
        machine.m_front = freePort();
        machine.m_ready = freePort();
        machine.m_directory = freePort();
        machine.m_peer = freePort();
        machine.m_metrics = freePort();
        std::string text = readFile("deploy/settings.yaml");
        const std::vector<std::pair<std::string, std::string>> values
            = {{"{{ip}}:9464", endpoint(machine.m_metrics)}, // machines share one address here
               {"{{ip}}:{{internal_ports.0}}", endpoint(machine.m_peer)},
               {"{{node_name}}", machine.m_name},
               {"{{zone}}", "zone-a"},
               {"{{listen_addrs.front}}", endpoint(machine.m_front)},
               {"{{listen_addrs.ready}}", endpoint(machine.m_ready)},
               {"{{listen_addrs.directory}}", endpoint(machine.m_directory)},
               {"{{platform.address}}", endpoint(storePort)},
               {"{{bounds.grace_s}}", "8"},
               {"{{bounds.lease_ms}}", "3000"},
               {"{{bounds.budget_ratio}}", "0.2"},
               {"{{bounds.budget_slack}}", "58"},
               {"{{bounds.budget_window_s}}", "10"},
               {"{{limits.cpu_share}}", "0.25"},
               {"{{limits.link_mbps}}", "1000.0"}};
        for (const auto &[placeholder, value] : values)
            replaceAll(text, placeholder, value);
        machine.m_settings = work + "/" + machine.m_name + ".yaml";
        std::ofstream(machine.m_settings) << text;
        m_machines.push_back(machine);
    }
}

void Machines::start(Machine &machine)
{
    std::vector<std::string> words = runCommand(machine.m_settings);
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::vector<std::string> variables
        = {"PATH=" + folder("PATH", ""), "APRICOTGW_KEY_CHECK_WITHIN_MS=",
           "APRICOTGW_ACCOUNT_LIMIT_SLACK=", "APRICOTGW_MEMORY_MB=260",
           "APRICOTGW_MAX_DESCRIPTORS=4100"};
    std::vector<char *> environment;
    for (std::string &variable : variables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    const std::string log = folder("WORK", "/tmp") + "/" + machine.m_name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const std::lock_guard lock(processesMutex);
    if (::posix_spawn(&machine.m_process, arguments[0], &actions, nullptr, arguments.data(),
                      environment.data())
        != 0) {
        std::cerr << "can't start " << arguments[0] << "\n";
        std::_Exit(2);
    }
    processes.insert(machine.m_process);
    std::ofstream(folder("WORK", "/tmp") + "/processes", std::ios::app)
        << machine.m_process << "\n"; // for run.sh, should this program be ended
    posix_spawn_file_actions_destroy(&actions);
    record("start " + machine.m_name);
}

void Machines::signal(Machine &machine, int number) const
{
    record("signal " + std::to_string(number) + " to " + machine.m_name);
    ::kill(machine.m_process, number);
}

void Machines::kill(Machine &machine)
{
    signal(machine, SIGKILL);
    const std::lock_guard lock(processesMutex);
    ::waitpid(machine.m_process, nullptr, 0);
    processes.erase(machine.m_process);
    machine.m_process = -1;
}

bool Machines::isReady(const Machine &machine) const
{
    Request request;
    request.m_target = "/v1/ready";
    request.m_fields = {{"Host", "ready"}};
    return call(machine.m_ready, request, 1'000).m_status == 200;
}

bool Machines::awaitReady(long timeoutMs) const
{
    const long end = nowMs() + timeoutMs;
    const auto ready = [this](const Machine &machine) { return isReady(machine); };
    while (!std::all_of(m_machines.begin(), m_machines.end(), ready)) {
        if (nowMs() > end)
            return false;
        sleepMs(50);
    }
    return true;
}

int Machines::endedByThemselves()
{
    int ended = 0;
    const std::lock_guard lock(processesMutex);
    for (Machine &machine : m_machines) {
        if (machine.m_process > 0 && ::waitpid(machine.m_process, nullptr, WNOHANG) > 0) {
            processes.erase(machine.m_process);
            machine.m_process = -1;
            ended += 1;
        }
    }
    return ended;
}

// --- configuration and entries ---

std::string entryText(const ServerEntry &entry, long sequence)
{
    json::object fields = {{"service", entry.m_service},
                           {"address", endpoint(entry.m_port)},
                           {"zone", "zone-a"},
                           {"version", entry.m_version},
                           {"slots", entry.m_slots},
                           {"state", entry.m_state},
                           {"cold_ms", 0},
                           {"seq", sequence},
                           {"born", entry.m_born}};
    if (!entry.m_models.empty()) {
        json::array models;
        for (const std::string &model : entry.m_models)
            models.push_back(
                json::object{{"name", model}, {"version", 1}, {"adapters", json::array()}});
        fields["models"] = std::move(models);
        fields["stage"] = "colocated";
        fields["busy"] = false;
    }
    return json::serialize(fields);
}

json::object route(const std::string &prefix, const std::string &kind, const std::string &service,
                   int maxAttempts, long timeoutMs, long targetMs, bool resumable)
{
    json::object fields = {{"name", "route" + prefix},
                           {"host", hostName},
                           {"path_prefix", prefix},
                           {"kind", kind},
                           {"service", service},
                           {"max_attempts", maxAttempts},
                           {"timeout_ms", timeoutMs},
                           {"target_latency_ms", targetMs},
                           {"priority", 1}};
    if (resumable)
        fields["resumable"] = true;
    return fields;
}

std::string configuration(int version, json::array routes, json::array services)
{
    return json::serialize(json::object{{"version", version},
                                        {"routes", std::move(routes)},
                                        {"services", std::move(services)},
                                        {"limits",
                                         {{"max_header_bytes", 16'384},
                                          {"max_body_bytes", 1'048'576},
                                          {"header_timeout_ms", 5'000},
                                          {"idle_timeout_ms", 30'000}}}});
}

Request clientRequest(const std::string &method, const std::string &target, const std::string &id,
                      long deadlineMs)
{
    Request request;
    request.m_method = method;
    request.m_target = target;
    request.m_fields = {{"Host", hostName},
                        {"Apricotdyke-Request-Id", id},
                        {"Apricotdyke-Deadline-Ms", std::to_string(deadlineMs)}};
    return request;
}

} // namespace review
