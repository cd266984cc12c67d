// apricotctl: the operators' command-line tool. It checks and publishes configuration files, drains
// backend servers, and shows the published versions and the status of the hosts.
// docs/OPERATORS.md describes its use.
#include "process/node.h"
#include "version/publish.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace {

using namespace apricot;
namespace json = boost::json;

// Exit codes.
constexpr int exitSuccess = 0;
constexpr int exitRefused = 1;    // refused, conflicting, faulty or not found; nothing was changed
constexpr int exitUsageError = 2; // wrong command line, or an unexpected error
constexpr int exitNoAnswer = 3;   // the platform or a host didn't answer; the outcome is unknown

constexpr Millis callTimeout = {2'000};  // for one call to the platform or a host
constexpr std::size_t historyLimit = 20; // newest versions that `history` and `diff` read

/// The parsed command line, and the connections that the command uses.
struct Command
{
    asio::io_context m_io{1};
    HttpPool m_pool;
    PlatformClient m_platform;
    std::vector<std::string> m_arguments; // files, names or version numbers, by command
    std::vector<Endpoint> m_hosts;        // admin addresses of the hosts to query
    bool m_json = false;                  // print JSON instead of text
    std::string m_publisher;
    std::uint64_t m_base = 0; // version the files were edited from; 0: the newest
    std::string m_id;         // of a published version; empty: none was given
};

/// Runs one coroutine to completion on the command's io_context and returns its result.
template<typename T>
T runToCompletion(Command &command, asio::awaitable<T> work)
{
    std::optional<T> result;
    asio::co_spawn(command.m_io, std::move(work), [&](const std::exception_ptr &error, T value) {
        if (error)
            std::rethrow_exception(error);
        result = std::move(value);
    });
    command.m_io.restart();
    command.m_io.run();
    return std::move(*result);
}

void print(const Command &command, const json::value &value, const std::string &text)
{
    std::cout << (command.m_json ? json::serialize(value) : text) << "\n";
}

int fail(const Command &command, int code, const std::string &reason)
{
    if (command.m_json)
        std::cout << json::serialize(json::object{{"error", reason}}) << "\n";
    std::cerr << "apricotctl: " << reason << "\n";
    return code;
}

std::variant<std::vector<PublishedFile>, std::string>
readFiles(const std::vector<std::string> &paths)
{
    std::vector<PublishedFile> files;
    for (const std::string &path : paths) {
        std::ifstream stream(path);
        if (!stream)
            return path + ": cannot open file";
        std::stringstream text;
        text << stream.rdbuf();
        files.push_back({"", text.str(), path});
    }
    return files;
}

json::array faultsToJson(const std::vector<FileFault> &faults)
{
    json::array described;
    for (const FileFault &fault : faults)
        described.push_back({{"file", fault.m_path},
                             {"line", fault.m_line},
                             {"field", fault.m_field},
                             {"message", fault.m_message}});
    return described;
}

int reportFaults(const Command &command, const std::vector<FileFault> &faults)
{
    if (command.m_json)
        std::cout << json::serialize(json::object{{"faults", faultsToJson(faults)}}) << "\n";
    for (const FileFault &fault : faults)
        std::cerr << toText(fault) << "\n";
    return exitRefused;
}

int check(Command &command)
{
    const auto read = readFiles(command.m_arguments);
    if (std::holds_alternative<std::string>(read))
        return fail(command, exitRefused, std::get<std::string>(read));
    Configuration configuration;
    std::vector<FileFault> faults;
    bool hasDeployment = false;
    for (const PublishedFile &file : std::get<std::vector<PublishedFile>>(read)) {
        const auto found = readPublishedFile(file, configuration);
        faults.insert(faults.end(), found.begin(), found.end());
    }
    for (const PublishedFile &file : configuration.m_files)
        hasDeployment = hasDeployment || file.m_name == "deployment";
    // Checks across files need the servers of the deployment file. Without it they are left to
    // `publish`, which checks the files together with the published ones.
    if (hasDeployment) {
        const auto crossFileFaults = validateConfiguration(configuration);
        faults.insert(faults.end(), crossFileFaults.begin(), crossFileFaults.end());
    }
    if (!faults.empty())
        return reportFaults(command, faults);
    print(command, json::object{{"faults", json::array{}}}, "no faults");
    return exitSuccess;
}

int reportPublish(const Command &command, const PublishReport &report)
{
    if (!report.m_faults.empty())
        return reportFaults(command, report.m_faults);
    if (report.m_outcome == PublishOutcome::NotAccepted)
        return fail(command, exitRefused, "not accepted: " + report.m_reason);
    if (report.m_outcome == PublishOutcome::NotKnown)
        return fail(command, exitNoAnswer,
                    "unknown whether the change was accepted: " + report.m_reason);
    print(command,
          json::object{{"accepted", true}, {"number", report.m_number}, {"id", report.m_id}},
          "accepted as version " + std::to_string(report.m_number) + " (" + report.m_id + ")");
    return exitSuccess;
}

int publishFiles(Command &command)
{
    const auto read = readFiles(command.m_arguments);
    if (std::holds_alternative<std::string>(read))
        return fail(command, exitRefused, std::get<std::string>(read));
    PublishInput input;
    input.m_files = std::get<std::vector<PublishedFile>>(read);
    input.m_publisher = command.m_publisher;
    input.m_base = command.m_base;
    return reportPublish(command, runToCompletion(command, publish(command.m_platform, input)));
}

int removeFiles(Command &command)
{
    PublishInput input;
    input.m_removed = command.m_arguments;
    input.m_publisher = command.m_publisher;
    input.m_base = command.m_base;
    return reportPublish(command, runToCompletion(command, publish(command.m_platform, input)));
}

/// Drains one backend server: publishes the newest deployment file with `leaving: true` set for it.
int drain(Command &command)
{
    const auto history = runToCompletion(command, readHistory(command.m_platform, 1));
    if (!ok(history))
        return fail(command, exitNoAnswer, std::get<Failure>(history).m_detail);
    const auto &versions = std::get<std::vector<Configuration>>(history);
    if (versions.empty() || command.m_arguments.size() != 1)
        return fail(command, exitUsageError,
                    "drain needs a published configuration and the name of exactly one server");
    const std::string &name = command.m_arguments.front();
    if (!findServer(versions.front(), {name}))
        return fail(command, exitRefused, "no server named '" + name + "' is published");
    PublishInput input;
    input.m_publisher = command.m_publisher;
    input.m_base = versions.front().m_number;
    for (const PublishedFile &file : versions.front().m_files) {
        if (file.m_name != "deployment")
            continue;
        YAML::Node node = YAML::Load(file.m_text);
        for (YAML::Node server : node["servers"]) {
            if (server["name"].Scalar() == name)
                server["leaving"] = true;
        }
        PublishedFile changed = file;
        changed.m_text = YAML::Dump(node) + "\n";
        input.m_files.push_back(std::move(changed));
    }
    return reportPublish(command, runToCompletion(command, publish(command.m_platform, input)));
}

int history(Command &command)
{
    const auto read = runToCompletion(command, readHistory(command.m_platform, historyLimit));
    if (!ok(read))
        return fail(command, exitNoAnswer, std::get<Failure>(read).m_detail);
    json::array versions;
    std::string text = "number  publisher  id";
    for (const Configuration &version : std::get<std::vector<Configuration>>(read)) {
        versions.push_back({{"number", version.m_number},
                            {"publisher", version.m_publisher},
                            {"id", version.m_id}});
        text += "\n" + std::to_string(version.m_number) + "  " + version.m_publisher + "  "
            + version.m_id;
    }
    print(command, versions, text);
    return exitSuccess;
}

std::optional<Configuration> findVersion(const std::vector<Configuration> &versions,
                                         const std::string &number)
{
    for (const Configuration &version : versions) {
        if (std::to_string(version.m_number) == number)
            return version;
    }
    return {};
}

std::string fileText(const Configuration &version, const std::string &name)
{
    for (const PublishedFile &file : version.m_files) {
        if (file.m_name == name)
            return file.m_text;
    }
    return {};
}

int diff(Command &command)
{
    if (command.m_arguments.size() != 2)
        return fail(command, exitUsageError, "diff takes exactly two version numbers");
    const auto read = runToCompletion(command, readHistory(command.m_platform, historyLimit));
    if (!ok(read))
        return fail(command, exitNoAnswer, std::get<Failure>(read).m_detail);
    const auto &versions = std::get<std::vector<Configuration>>(read);
    const auto from = findVersion(versions, command.m_arguments[0]);
    const auto to = findVersion(versions, command.m_arguments[1]);
    if (!from || !to)
        return fail(command, exitRefused,
                    "version not found among the newest " + std::to_string(historyLimit));
    std::set<std::string> names;
    for (const PublishedFile &file : from->m_files)
        names.insert(file.m_name);
    for (const PublishedFile &file : to->m_files)
        names.insert(file.m_name);
    json::array changed;
    std::string text;
    for (const std::string &name : names) {
        const std::string before = fileText(*from, name);
        const std::string after = fileText(*to, name);
        if (before == after)
            continue;
        const char *change = before.empty() ? "added" : after.empty() ? "removed" : "changed";
        changed.push_back({{"file", name}, {"what", change}, {"before", before}, {"after", after}});
        std::ostringstream difference;
        difference << (text.empty() ? "" : "\n") << change << " " << name << "\n--- "
                   << command.m_arguments[0] << "\n"
                   << before << "+++ " << command.m_arguments[1] << "\n"
                   << after;
        text += difference.str();
    }
    print(command, changed, text.empty() ? "no difference" : text);
    return exitSuccess;
}

/// Tells whether the version with the id was accepted. Operators use it when `publish` ended
/// without an answer from the platform, so that they don't know whether their change took effect.
int publishStatus(Command &command)
{
    constexpr std::size_t searchedVersions = 400; // the newest ones; older ids aren't found
    const auto read = runToCompletion(command, readHistory(command.m_platform, searchedVersions));
    if (!ok(read))
        return fail(command, exitNoAnswer, std::get<Failure>(read).m_detail);
    for (const Configuration &version : std::get<std::vector<Configuration>>(read)) {
        if (version.m_id != command.m_id)
            continue;
        print(command, json::object{{"accepted", true}, {"number", version.m_number}},
              "accepted as version " + std::to_string(version.m_number));
        return exitSuccess;
    }
    return fail(command, exitRefused, command.m_id + " is not among the accepted versions");
}

asio::awaitable<Result<HttpResponse>> fetchStatus(Command &command, Endpoint host)
{
    HttpRequest request;
    request.m_target = "/status";
    co_return co_await fetchHttp(command.m_pool, host, request, callTimeout);
}

int status(Command &command)
{
    if (!command.m_id.empty())
        return publishStatus(command);
    if (command.m_hosts.empty())
        return fail(command, exitUsageError, "status needs --hosts with admin addresses, or --id");
    json::array hosts;
    std::string text = "admin address  host  configuration  ready  in flight";
    bool allAnswered = true;
    for (const Endpoint &host : command.m_hosts) {
        const auto response = runToCompletion(command, fetchStatus(command, host));
        if (!ok(response)) {
            allAnswered = false;
            hosts.push_back({{"admin", toText(host)}, {"error", "no answer"}});
            text += "\n" + toText(host) + "  no answer";
            continue;
        }
        const json::object hostStatus
            = json::parse(std::get<HttpResponse>(response).m_body).as_object();
        hosts.push_back(hostStatus);
        text += "\n" + toText(host);
        for (const char *key : {"host", "configuration", "ready", "in_flight"})
            text += "  " + json::serialize(hostStatus.at(key));
    }
    print(command, hosts, text);
    return allAnswered ? exitSuccess : exitNoAnswer;
}

int runCommand(Command &command, const std::string &name)
{
    const bool needsPlatform = name != "check" && !(name == "status" && command.m_id.empty());
    if (needsPlatform && command.m_platform.m_endpoints.empty())
        return fail(command, exitUsageError, name + " needs --platform");
    if (name == "check")
        return check(command);
    if (name == "publish")
        return publishFiles(command);
    if (name == "remove")
        return removeFiles(command);
    if (name == "drain")
        return drain(command);
    if (name == "history")
        return history(command);
    if (name == "diff")
        return diff(command);
    if (name == "status")
        return status(command);
    return fail(command, exitUsageError, "unknown command '" + name + "'; see --help");
}

std::optional<std::vector<Endpoint>> readEndpoints(const cxxopts::ParseResult &arguments,
                                                   const std::string &key)
{
    std::vector<Endpoint> endpoints;
    if (arguments.count(key) == 0)
        return endpoints;
    for (const std::string &text : arguments[key].as<std::vector<std::string>>()) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            std::cerr << "apricotctl: --" << key << ": '" << text
                      << "' is not an address of the form IP:PORT\n";
            return {};
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options(
        "apricotctl",
        "Checks and publishes configuration files, and shows versions and the status of hosts.\n\n"
        "  check FILE...      reads files and lists all faults\n"
        "  publish FILE...    publishes files; each replaces the one of its name\n"
        "  remove NAME...     removes published files, such as 'service:NAME'\n"
        "  drain SERVER       stops sending new work to a backend server\n"
        "  status             shows each host's state; with --id: if a version was accepted\n"
        "  history            lists the newest versions\n"
        "  diff A B           shows the files that differ between two versions\n\n"
        "Exit codes: 0 done, 1 refused, 2 usage error, 3 no answer");
    options.positional_help("COMMAND [ARGUMENT...]");
    options.add_options()("platform", "addresses of the platform's object API, IP:PORT",
                          cxxopts::value<std::vector<std::string>>())(
        "hosts", "admin addresses of hosts, IP:PORT", cxxopts::value<std::vector<std::string>>())(
        "output", "output format: text or json",
        cxxopts::value<std::string>()->default_value("text"))(
        "by", "name of the publisher", cxxopts::value<std::string>()->default_value("operator"))(
        "base", "number of the version the files were edited from; 0: the newest",
        cxxopts::value<std::uint64_t>()->default_value("0"))(
        "id", "id of a published version, for status",
        cxxopts::value<std::string>()->default_value(""))("help", "show this help")(
        "words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

int parseAndRun(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("words") == 0) {
        std::cout << options.help({""});
        return arguments.count("help") > 0 ? exitSuccess : exitUsageError;
    }
    const std::string output = arguments["output"].as<std::string>();
    const auto platform = readEndpoints(arguments, "platform");
    const auto hosts = readEndpoints(arguments, "hosts");
    if (!platform || !hosts || (output != "text" && output != "json"))
        return exitUsageError;
    Command command;
    command.m_pool.m_io = &command.m_io;
    command.m_platform = {*platform, callTimeout, &command.m_pool, nullptr};
    command.m_hosts = *hosts;
    command.m_json = output == "json";
    command.m_publisher = arguments["by"].as<std::string>();
    command.m_base = arguments["base"].as<std::uint64_t>();
    command.m_id = arguments["id"].as<std::string>();
    command.m_arguments = arguments["words"].as<std::vector<std::string>>();
    const std::string name = command.m_arguments.front();
    command.m_arguments.erase(command.m_arguments.begin());
    return runCommand(command, name);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return parseAndRun(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "apricotctl: " << error.what() << "\n";
        return exitUsageError;
    }
}
