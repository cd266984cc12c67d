// Real processes on loopback for the process tests: a platform, engines, a plain service, hosts.
// Tests wait for events with a limit, never for a time.
#pragma once

#include "connection/http.h"

#include <boost/json.hpp>
#include <functional>
#include <sys/types.h>

namespace fleet {

using namespace apricot;
namespace json = boost::json;

struct Process
{
    std::string m_name;
    pid_t m_pid = 0; // 0: not running
    std::vector<std::string> m_command;
    Endpoint m_main;  // where it listens (hosts: for callers)
    Endpoint m_admin; // hosts
};

/// What came back of one request.
struct Reply
{
    bool m_whole = false;     // the answer came to its end
    bool m_connected = false; // false: nothing was sent
    unsigned m_status = 0;
    std::string m_body;
    std::string m_run; // Run-State field, or the one in a refusal
};

struct EngineShape
{
    std::vector<int> m_accelerators = {40'000}; // MiB
    bool m_checksFence = false;
    int m_loadMs = 300;
    int m_tokenMs = 2;
};

struct Fleet
{
    Fleet();
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    std::string m_folder;
    std::vector<Process> m_hosts;
    std::vector<Process> m_engines;
    std::vector<Process> m_services;
    Process m_platform;
    std::vector<EngineShape> m_shapes;
    int m_ticketLifeMs = 3'000;
};

/// Starts everything, publishes the samples of publishSamples(), waits until all hosts are ready.
void startFleet(Fleet &fleet, std::size_t hosts, const std::vector<EngineShape> &engines,
                std::size_t services);
void startProcess(Process &process, const Fleet &fleet);
void signalProcess(Process &process, int signal);

/// Waits for the exit; its code, or minus the signal.
int waitExit(Process &process);

/// The deployment file for the fleet; leaving names one server, or none.
std::string deploymentText(const Fleet &fleet, const std::string &leaving = "");
std::string writeFile(const Fleet &fleet, const std::string &name, const std::string &text);

struct ToolResult
{
    int m_code = 0;
    std::string m_output;
};
ToolResult runTool(const std::vector<std::string> &command);

/// apricotctl with --platform of the fleet.
ToolResult control(const Fleet &fleet, std::vector<std::string> words);

Reply send(const Endpoint &to, const std::string &method, const std::string &target,
           const std::vector<HttpField> &fields, const std::string &body, Millis limit);
Reply draft(const Endpoint &host, const std::string &id, int tokens, Millis deadline,
            const std::string &model = "tasting-notes");
json::value fetchJson(const Endpoint &from, const std::string &target);
void setFault(const Process &standin, const std::string &query);

/// True once it holds; false if it didn't within the limit.
/// A program of this build.
std::string binary(const std::string &name);
Endpoint freeEndpoint();

bool eventually(const std::function<bool()> &holds, Millis limit);

int runsAt(const Process &standin, const std::string &request);
int overcommits(const Fleet &fleet);

/// The most replicas of a model that were loaded or loading at one instant, by engines' books.
int mostReplicas(const Fleet &fleet, const std::string &model);
int loadsOf(const Fleet &fleet, const std::string &model);

/// The host that owns the cell; nothing while none says so.
std::optional<std::size_t> ownerOf(const Fleet &fleet);

} // namespace fleet
