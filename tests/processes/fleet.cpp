// Starts and stops the processes of the process tests, sends them requests, and reads the
// stand-ins' records.
#include "processes/fleet.h"

#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace fleet {

namespace {

constexpr Millis startTimeout = {15'000};

/// The port after which free ones are looked for: FLEET_FIRST_PORT, if set, so that fleets of
/// several test programs can run beside each other.
std::uint16_t firstPort()
{
    constexpr std::uint16_t usualPort = 21'000;
    const char *text = std::getenv("FLEET_FIRST_PORT");
    return text ? static_cast<std::uint16_t>(std::stoi(text)) : usualPort;
}

/// The next port that is free for both TCP and UDP; a port isn't given out twice.
std::uint16_t freePort()
{
    static std::uint16_t next = firstPort();
    boost::asio::io_context io;
    while (true) {
        const boost::asio::ip::tcp::endpoint at(boost::asio::ip::make_address("127.0.0.1"), ++next);
        boost::system::error_code error;
        boost::asio::ip::tcp::acceptor tcp(io);
        tcp.open(at.protocol());
        tcp.bind(at, error);
        boost::asio::ip::udp::socket udp(io, boost::asio::ip::udp::v4());
        boost::system::error_code udpError;
        udp.bind({at.address(), at.port()}, udpError);
        if (!error && !udpError)
            return next;
    }
}

/// Starts a program with its output and errors appended to a file. Returns the process id; 0 if the
/// program could not be started.
pid_t spawnWithOutput(const std::vector<std::string> &command, const std::string &output)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int fileMode = 0644;
    posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     fileMode);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t pid = 0;
    const int error
        = posix_spawn(&pid, command[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return error == 0 ? pid : 0;
}

Process makeStandin(const std::string &name, std::vector<std::string> command)
{
    Process process;
    process.m_name = name;
    process.m_listenAddress = freeEndpoint();
    process.m_command = std::move(command);
    process.m_command.insert(process.m_command.begin() + 1,
                             {"--listen", toText(process.m_listenAddress)});
    return process;
}

Process makeEngine(const std::string &name, const EngineOptions &options)
{
    std::string memory;
    for (const int each : options.m_accelerators)
        memory += (memory.empty() ? "" : ",") + std::to_string(each);
    std::vector<std::string> command = {binary("standin-engine"),
                                        "--name",
                                        name,
                                        "--accelerators-mb",
                                        memory,
                                        "--load-ms",
                                        std::to_string(options.m_loadMs),
                                        "--token-ms",
                                        std::to_string(options.m_tokenMs)};
    if (options.m_checksFencingToken)
        command.emplace_back("--checks-fence");
    return makeStandin(name, command);
}

Process makeHost(const Fleet &fleet, std::size_t index, const std::vector<Endpoint> &peers)
{
    Process host;
    host.m_name = "host-" + std::to_string(index + 1);
    host.m_listenAddress = freeEndpoint();
    host.m_admin = freeEndpoint();
    std::string text = "host: " + host.m_name + "\ndata-centre: dc" + std::to_string(index % 4)
        + "\ncaller-address: " + toText(host.m_listenAddress) + "\npeer-address: "
        + toText(peers[index]) + "\nadmin-address: " + toText(host.m_admin) + "\nplatform: ["
        + toText(fleet.m_platform.m_listenAddress) + "]\nseeds: [" + toText(peers[0]);
    if (peers.size() > 1)
        text += ", " + toText(peers[1]);
    text += "]\naddress-keep-ms: 500\nticket-life-ms: " + std::to_string(fleet.m_ticketLifeMs)
        + "\ndrain-limit-ms: 20000\norder-drain-ms: 1000\nplatform-timeout-ms: 500\n";
    host.m_command
        = {binary("apricotd"), "--settings", writeFile(fleet, host.m_name + ".yaml", text)};
    return host;
}

void publishSampleConfiguration(const Fleet &fleet)
{
    const std::string tasting = writeFile(fleet, "tasting.yaml", R"(service: tasting
work:
  - {name: draft, urgency: urgent, idempotent: true, deadline-ms: 8000}
  - {name: once, urgency: urgent, idempotent: false, deadline-ms: 8000}
models:
  - {name: tasting-notes, memory-mb: 16000, load-ms: 300, max-replicas: 1}
  - {name: allergens, memory-mb: 16000, load-ms: 300, max-replicas: 1}
  - {name: buyers, memory-mb: 16000, load-ms: 300, max-replicas: 1}
)");
    const std::string bookings = writeFile(fleet, "bookings.yaml", R"(service: bookings
kind: plain
work:
  - {name: book, idempotent: false, deadline-ms: 4000}
  - {name: lookup, idempotent: true, deadline-ms: 4000}
)");
    std::vector<std::string> arguments
        = {"publish", writeFile(fleet, "deployment.yaml", deploymentText(fleet)), tasting};
    if (!fleet.m_services.empty())
        arguments.push_back(bookings);
    const ToolResult result = control(fleet, arguments);
    if (result.m_exitCode != 0)
        throw std::runtime_error("the sample configuration was not published: " + result.m_output);
}

asio::awaitable<void> sendAndReceive(asio::io_context &io, const Endpoint &to,
                                     const HttpRequest &request, Millis limit, Reply &reply)
{
    HttpPool pool;
    pool.m_io = &io;
    const auto opened = co_await openHttpConnection(pool, to, limit, true);
    if (!ok(opened))
        co_return;
    reply.m_connected = true;
    const HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    if (co_await sendRequest(*connection, to, request, limit))
        co_return;
    const auto head = co_await readHead(*connection, limit);
    if (!ok(head))
        co_return;
    reply.m_status = std::get<HttpHead>(head).m_status;
    reply.m_run = fieldOf(std::get<HttpHead>(head).m_fields, "Run-State");
    while (true) {
        const auto bytes = co_await readBodyPart(*connection, limit);
        if (!ok(bytes))
            co_return;
        if (std::get<std::string>(bytes).empty())
            break;
        reply.m_body += std::get<std::string>(bytes);
    }
    reply.m_whole = true;
    closeHttpConnection(*connection);
}

} // namespace

std::string binary(const std::string &name)
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

Endpoint freeEndpoint()
{
    return {"127.0.0.1", freePort()};
}

Fleet::Fleet()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary directory could be created");
    m_folder = pattern;
}

Fleet::~Fleet()
{
    std::vector<Process *> all = {&m_platform};
    for (auto *group : {&m_hosts, &m_engines, &m_services}) {
        for (Process &process : *group)
            all.push_back(&process);
    }
    for (Process *process : all) {
        if (process->m_pid != 0)
            kill(process->m_pid, SIGKILL);
    }
    for (Process *process : all)
        waitExit(*process);
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_folder);
}

void startFleet(Fleet &fleet, std::size_t hosts, const std::vector<EngineOptions> &engines,
                std::size_t services)
{
    fleet.m_platform = makeStandin("platform", {binary("standin-platform")});
    startProcess(fleet.m_platform, fleet);
    fleet.m_engineOptions = engines;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        fleet.m_engines.push_back(makeEngine("engine-" + std::to_string(i + 1), engines[i]));
        startProcess(fleet.m_engines.back(), fleet);
    }
    for (std::size_t i = 0; i < services; ++i) {
        fleet.m_services.push_back(
            makeStandin("booking-" + std::to_string(i + 1), {binary("standin-service")}));
        startProcess(fleet.m_services.back(), fleet);
    }
    std::vector<Endpoint> peers;
    for (std::size_t i = 0; i < hosts; ++i)
        peers.push_back(freeEndpoint());
    for (std::size_t i = 0; i < hosts; ++i) {
        fleet.m_hosts.push_back(makeHost(fleet, i, peers));
        startProcess(fleet.m_hosts.back(), fleet);
    }
    const auto answers = [&] {
        return send(fleet.m_platform.m_listenAddress, "GET", "/standin/counts", {}, "", {500})
            .m_whole;
    };
    if (!eventually(answers, startTimeout))
        throw std::runtime_error("the platform stand-in did not start");
    publishSampleConfiguration(fleet);
    for (const Process &host : fleet.m_hosts) {
        const auto ready
            = [&] { return send(host.m_admin, "GET", "/ready", {}, "", {500}).m_status == 200; };
        if (!eventually(ready, startTimeout))
            throw std::runtime_error(host.m_name + " did not become ready");
    }
    if (!eventually([&] { return ownerOf(fleet).has_value(); }, startTimeout))
        throw std::runtime_error("no host took ownership of the cell");
}

void startProcess(Process &process, const Fleet &fleet)
{
    process.m_pid
        = spawnWithOutput(process.m_command, fleet.m_folder + "/" + process.m_name + ".log");
}

void signalProcess(Process &process, int signal)
{
    kill(process.m_pid, signal);
    if (signal == SIGKILL)
        waitExit(process);
    int status = 0;
    if (signal == SIGSTOP) // until its threads have stopped, they go on taking requests
        waitpid(process.m_pid, &status, WUNTRACED);
}

int waitExit(Process &process)
{
    if (process.m_pid == 0)
        return 0;
    int status = 0;
    waitpid(process.m_pid, &status, 0);
    process.m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string deploymentText(const Fleet &fleet, const std::string &leaving)
{
    std::string text = "deployment: test\nservers:\n";
    const auto leavingLine = [&](const Process &server) {
        return server.m_name == leaving ? std::string("    leaving: true\n") : std::string();
    };
    for (std::size_t i = 0; i < fleet.m_engines.size(); ++i) {
        const Process &engine = fleet.m_engines[i];
        std::string memory;
        for (const int each : fleet.m_engineOptions[i].m_accelerators)
            memory += (memory.empty() ? "" : ", ") + std::to_string(each);
        text += "  - name: " + engine.m_name + "\n    address: " + toText(engine.m_listenAddress)
            + "\n    data-centre: dc0\n    cell: main\n    resumes: true\n    checks-fence: "
            + (fleet.m_engineOptions[i].m_checksFencingToken ? "true" : "false")
            + "\n    accelerators-mb: [" + memory + "]\n" + leavingLine(engine);
    }
    for (const Process &service : fleet.m_services)
        text += "  - name: " + service.m_name + "\n    address: " + toText(service.m_listenAddress)
            + "\n    data-centre: dc0\n    service: bookings\n" + leavingLine(service);
    return text;
}

std::string writeFile(const Fleet &fleet, const std::string &name, const std::string &text)
{
    std::string path = fleet.m_folder + "/" + name;
    std::ofstream(path) << text;
    return path;
}

ToolResult runTool(const std::vector<std::string> &command)
{
    char output[] = "/tmp/tool-XXXXXX";
    close(mkstemp(output));
    Process process;
    process.m_pid = spawnWithOutput(command, output);
    ToolResult result;
    result.m_exitCode = waitExit(process);
    std::ifstream stream(output);
    result.m_output.assign(std::istreambuf_iterator<char>(stream), {});
    std::filesystem::remove(output);
    return result;
}

ToolResult control(const Fleet &fleet, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), binary("apricotctl"));
    arguments.insert(arguments.end(), {"--platform", toText(fleet.m_platform.m_listenAddress)});
    return runTool(arguments);
}

Reply send(const Endpoint &to, const std::string &method, const std::string &target,
           const std::vector<HttpField> &fields, const std::string &body, Millis limit)
{
    asio::io_context io(1);
    HttpRequest request = {method, target, fields, body};
    Reply reply;
    asio::co_spawn(io, sendAndReceive(io, to, request, limit, reply), asio::detached);
    // An exchange that is unfinished at the limit is destroyed with io, which closes its
    // connection.
    io.run_for(std::chrono::milliseconds(limit.m_count));
    return reply;
}

Reply draft(const Endpoint &host, const std::string &id, int tokens, Millis deadline,
            const std::string &model)
{
    return send(host, "POST", "/v1/services/tasting/draft?model=" + model,
                {{"Request-Id", id}, {"Deadline-Ms", std::to_string(deadline.m_count)}},
                "{\"max_tokens\":" + std::to_string(tokens) + "}", deadline + Millis{5'000});
}

json::value fetchJson(const Endpoint &from, const std::string &target)
{
    const Reply reply = send(from, "GET", target, {}, "", {2'000});
    boost::system::error_code error;
    json::value value = json::parse(reply.m_body, error);
    return reply.m_whole && !error ? value : json::value(json::object());
}

void setFault(const Process &standin, const std::string &query)
{
    send(standin.m_listenAddress, "POST", "/standin/fault?" + query, {}, "", {2'000});
}

bool eventually(const std::function<bool()> &condition, Millis limit)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit.m_count);
    while (std::chrono::steady_clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

int runsAt(const Process &standin, const std::string &request)
{
    const json::value records = fetchJson(standin.m_listenAddress, "/standin/books");
    const json::object &runs = records.as_object().at("runs").as_object();
    return runs.contains(request) ? runs.at(request).to_number<int>() : 0;
}

int overcommits(const Fleet &fleet)
{
    int total = 0;
    for (const Process &engine : fleet.m_engines) {
        if (engine.m_pid != 0)
            total += fetchJson(engine.m_listenAddress, "/standin/books")
                         .at("overcommits")
                         .to_number<int>();
    }
    return total;
}

int maxConcurrentReplicas(const Fleet &fleet, const std::string &model)
{
    std::vector<std::pair<std::int64_t, int>> changes; // time in Unix ms; +1 load, -1 unload
    for (const Process &engine : fleet.m_engines) {
        const json::value records = fetchJson(engine.m_listenAddress, "/standin/books");
        for (const json::value &entry : records.at("book").as_array()) {
            const bool isBaseModel
                = entry.at("model").as_string() == model && entry.at("adapter").as_string().empty();
            if (isBaseModel)
                changes.emplace_back(entry.at("time").to_number<std::int64_t>(),
                                     entry.at("what").as_string() == "load" ? 1 : -1);
        }
    }
    std::sort(changes.begin(), changes.end());
    int now = 0;
    int most = 0;
    for (const auto &[time, change] : changes) {
        now += change;
        most = std::max(most, now);
    }
    return most;
}

int loadsOf(const Fleet &fleet, const std::string &model)
{
    int loads = 0;
    for (const Process &engine : fleet.m_engines) {
        const json::value records = fetchJson(engine.m_listenAddress, "/standin/books");
        for (const json::value &entry : records.at("book").as_array()) {
            if (entry.at("model").as_string() == model && entry.at("adapter").as_string().empty()
                && entry.at("what").as_string() == "load")
                ++loads;
        }
    }
    return loads;
}

std::optional<std::size_t> ownerOf(const Fleet &fleet)
{
    std::optional<std::size_t> owner;
    std::uint64_t epoch = 0;
    for (std::size_t i = 0; i < fleet.m_hosts.size(); ++i) {
        if (fleet.m_hosts[i].m_pid == 0)
            continue;
        const json::value status = fetchJson(fleet.m_hosts[i].m_admin, "/status");
        if (!status.as_object().contains("cells"))
            continue;
        for (const json::value &cell : status.at("cells").as_array()) {
            const auto found = cell.at("epoch").to_number<std::uint64_t>();
            if (found > epoch) {
                epoch = found;
                owner = i;
            }
        }
    }
    return owner;
}

} // namespace fleet
