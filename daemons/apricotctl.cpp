// apricotctl: the operators' command. docs/OPERATORS.md is the page for it.
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
constexpr int done = 0;
constexpr int notDone = 1;  // refused, clashing, faulty files
constexpr int badUse = 2;   // the command line
constexpr int notKnown = 3; // the platform gave no answer

constexpr Millis callTimeout = {2'000};
constexpr std::size_t historyLength = 20;

struct Command
{
    asio::io_context m_io{1};
    HttpPool m_pool;
    PlatformClient m_platform;
    std::vector<std::string> m_words; // after the command's name
    std::vector<Endpoint> m_hosts;    // admin addresses
    bool m_json = false;
    std::string m_publisher;
    std::uint64_t m_base = 0;
    std::string m_id;
};

/// Runs one coroutine to its end.
template<typename T>
T finish(Command &command, asio::awaitable<T> work)
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
            return path + ": the file can't be opened";
        std::stringstream text;
        text << stream.rdbuf();
        files.push_back({"", text.str(), path});
    }
    return files;
}

json::array describeFaults(const std::vector<FileFault> &faults)
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
        std::cout << json::serialize(json::object{{"faults", describeFaults(faults)}}) << "\n";
    for (const FileFault &fault : faults)
        std::cerr << toText(fault) << "\n";
    return notDone;
}

int check(Command &command)
{
    const auto read = readFiles(command.m_words);
    if (std::holds_alternative<std::string>(read))
        return fail(command, notDone, std::get<std::string>(read));
    Configuration configuration;
    std::vector<FileFault> faults;
    bool hasDeployment = false;
    for (const PublishedFile &file : std::get<std::vector<PublishedFile>>(read)) {
        const auto found = readPublishedFile(file, configuration);
        faults.insert(faults.end(), found.begin(), found.end());
    }
    for (const PublishedFile &file : configuration.m_files)
        hasDeployment = hasDeployment || file.m_name == "deployment";
    if (hasDeployment) { // without it, what fits where is known only at the publishing
        const auto whole = validateConfiguration(configuration);
        faults.insert(faults.end(), whole.begin(), whole.end());
    }
    if (!faults.empty())
        return reportFaults(command, faults);
    print(command, json::object{{"faults", json::array{}}}, "no faults");
    return done;
}

int reportPublish(const Command &command, const PublishReport &report)
{
    if (!report.m_faults.empty())
        return reportFaults(command, report.m_faults);
    if (report.m_outcome == PublishOutcome::NotAccepted)
        return fail(command, notDone, "not accepted: " + report.m_reason);
    if (report.m_outcome == PublishOutcome::NotKnown)
        return fail(command, notKnown, "not known whether accepted: " + report.m_reason);
    print(command,
          json::object{{"accepted", true}, {"number", report.m_number}, {"id", report.m_id}},
          "accepted as version " + std::to_string(report.m_number) + " (" + report.m_id + ")");
    return done;
}

int publishFiles(Command &command)
{
    const auto read = readFiles(command.m_words);
    if (std::holds_alternative<std::string>(read))
        return fail(command, notDone, std::get<std::string>(read));
    PublishInput input;
    input.m_files = std::get<std::vector<PublishedFile>>(read);
    input.m_publisher = command.m_publisher;
    input.m_base = command.m_base;
    return reportPublish(command, finish(command, publish(command.m_platform, input)));
}

int removeFiles(Command &command)
{
    PublishInput input;
    input.m_removed = command.m_words;
    input.m_publisher = command.m_publisher;
    input.m_base = command.m_base;
    return reportPublish(command, finish(command, publish(command.m_platform, input)));
}

/// The newest deployment file with one server's `leaving` line set.
int drain(Command &command)
{
    const auto history = finish(command, readHistory(command.m_platform, 1));
    if (!ok(history))
        return fail(command, notKnown, std::get<Failure>(history).m_detail);
    const auto &versions = std::get<std::vector<Configuration>>(history);
    if (versions.empty() || command.m_words.size() != 1)
        return fail(command, badUse, "drain takes the name of one published server");
    const std::string &name = command.m_words.front();
    if (!findServer(versions.front(), {name}))
        return fail(command, notDone, "no server '" + name + "' is published");
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
    return reportPublish(command, finish(command, publish(command.m_platform, input)));
}

int history(Command &command)
{
    const auto read = finish(command, readHistory(command.m_platform, historyLength));
    if (!ok(read))
        return fail(command, notKnown, std::get<Failure>(read).m_detail);
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
    return done;
}

std::optional<Configuration> numbered(const std::vector<Configuration> &versions,
                                      const std::string &number)
{
    for (const Configuration &version : versions) {
        if (std::to_string(version.m_number) == number)
            return version;
    }
    return {};
}

std::string textOf(const Configuration &version, const std::string &name)
{
    for (const PublishedFile &file : version.m_files) {
        if (file.m_name == name)
            return file.m_text;
    }
    return {};
}

int diff(Command &command)
{
    if (command.m_words.size() != 2)
        return fail(command, badUse, "diff takes two version numbers");
    const auto read = finish(command, readHistory(command.m_platform, historyLength));
    if (!ok(read))
        return fail(command, notKnown, std::get<Failure>(read).m_detail);
    const auto &versions = std::get<std::vector<Configuration>>(read);
    const auto from = numbered(versions, command.m_words[0]);
    const auto to = numbered(versions, command.m_words[1]);
    if (!from || !to)
        return fail(command, notDone,
                    "there is no such version among the newest " + std::to_string(historyLength));
    std::set<std::string> names;
    for (const PublishedFile &file : from->m_files)
        names.insert(file.m_name);
    for (const PublishedFile &file : to->m_files)
        names.insert(file.m_name);
    json::array changed;
    std::string text;
    for (const std::string &name : names) {
        const std::string before = textOf(*from, name);
        const std::string after = textOf(*to, name);
        if (before == after)
            continue;
        const char *what = before.empty() ? "added" : after.empty() ? "removed" : "changed";
        changed.push_back({{"file", name}, {"what", what}, {"before", before}, {"after", after}});
        std::ostringstream part;
        part << (text.empty() ? "" : "\n") << what << " " << name << "\n--- " << command.m_words[0]
             << "\n"
             << before << "+++ " << command.m_words[1] << "\n"
             << after;
        text += part.str();
    }
    print(command, changed, text.empty() ? "no difference" : text);
    return done;
}

/// Whether one publishing was accepted: for after a lost answer.
int statusOfId(Command &command)
{
    constexpr std::size_t longHistory = 400;
    const auto read = finish(command, readHistory(command.m_platform, longHistory));
    if (!ok(read))
        return fail(command, notKnown, std::get<Failure>(read).m_detail);
    for (const Configuration &version : std::get<std::vector<Configuration>>(read)) {
        if (version.m_id != command.m_id)
            continue;
        print(command, json::object{{"accepted", true}, {"number", version.m_number}},
              "accepted as version " + std::to_string(version.m_number));
        return done;
    }
    return fail(command, notDone, command.m_id + " is not among the accepted versions");
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
        return statusOfId(command);
    if (command.m_hosts.empty())
        return fail(command, badUse, "status needs --hosts with admin addresses, or --id");
    json::array hosts;
    std::string text = "admin address  host  configuration  ready  in flight";
    bool allAnswered = true;
    for (const Endpoint &host : command.m_hosts) {
        const auto response = finish(command, fetchStatus(command, host));
        if (!ok(response)) {
            allAnswered = false;
            hosts.push_back({{"admin", toText(host)}, {"error", "no answer"}});
            text += "\n" + toText(host) + "  no answer";
            continue;
        }
        const json::object found = json::parse(std::get<HttpResponse>(response).m_body).as_object();
        hosts.push_back(found);
        text += "\n" + toText(host);
        for (const char *key : {"host", "configuration", "ready", "in_flight"})
            text += "  " + json::serialize(found.at(key));
    }
    print(command, hosts, text);
    return allAnswered ? done : notKnown;
}

int runCommand(Command &command, const std::string &name)
{
    const bool needsPlatform = name != "check" && !(name == "status" && command.m_id.empty());
    if (needsPlatform && command.m_platform.m_endpoints.empty())
        return fail(command, badUse, name + " needs --platform");
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
    return fail(command, badUse, "no command '" + name + "'; see --help");
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
            std::cerr << "apricotctl: --" << key << ": '" << text << "' is not IP:PORT\n";
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
        "Checks and publishes operators' files, and shows what is in force.\n\n"
        "  check FILE...      reads files and lists all faults\n"
        "  publish FILE...    puts them in force in place of older ones\n"
        "  remove NAME...     takes files out: 'service:NAME'\n"
        "  drain SERVER       no new work for a backend server\n"
        "  status             what each host runs; --id: was it accepted?\n"
        "  history            the newest versions\n"
        "  diff A B           between two versions\n\n"
        "Exit codes: 0 done, 1 refused, 2 bad use, 3 no answer");
    options.positional_help("COMMAND [WORD...]");
    options.add_options()("platform", "object API, IP:PORT",
                          cxxopts::value<std::vector<std::string>>())(
        "hosts", "admin addresses, IP:PORT", cxxopts::value<std::vector<std::string>>())(
        "output", "text or json", cxxopts::value<std::string>()->default_value("text"))(
        "by", "who publishes", cxxopts::value<std::string>()->default_value("operator"))(
        "base", "version the files were edited from",
        cxxopts::value<std::uint64_t>()->default_value("0"))(
        "id", "of a publishing", cxxopts::value<std::string>()->default_value(""))(
        "help", "show this help")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

int parseAndRun(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("words") == 0) {
        std::cout << options.help({""});
        return arguments.count("help") > 0 ? done : badUse;
    }
    const std::string output = arguments["output"].as<std::string>();
    const auto platform = readEndpoints(arguments, "platform");
    const auto hosts = readEndpoints(arguments, "hosts");
    if (!platform || !hosts || (output != "text" && output != "json"))
        return badUse;
    Command command;
    command.m_pool.m_io = &command.m_io;
    command.m_platform = {*platform, callTimeout, &command.m_pool, nullptr};
    command.m_hosts = *hosts;
    command.m_json = output == "json";
    command.m_publisher = arguments["by"].as<std::string>();
    command.m_base = arguments["base"].as<std::uint64_t>();
    command.m_id = arguments["id"].as<std::string>();
    command.m_words = arguments["words"].as<std::vector<std::string>>();
    const std::string name = command.m_words.front();
    command.m_words.erase(command.m_words.begin());
    return runCommand(command, name);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return parseAndRun(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "apricotctl: " << error.what() << "\n";
        return badUse;
    }
}
