// Runs real processes on loopback for the process tests: hosts, and stand-ins for the platform,
// the engines and a plain service. Tests wait until a condition holds, with a limit, and not for
// a fixed time.
#pragma once

#include "connection/http.h"

#include <boost/json.hpp>
#include <functional>
#include <sys/types.h>

namespace fleet {

using namespace apricot;
namespace json = boost::json;

/// A child process of the test.
struct Process
{
    std::string m_name;
    pid_t m_pid = 0; // 0: not running
    std::vector<std::string> m_command;
    Endpoint m_listenAddress; // hosts: the address for callers
    Endpoint m_admin;         // hosts only: the address for readiness and status requests
};

/// Result of one HTTP request.
struct Reply
{
    bool m_whole = false;     // the response arrived completely
    bool m_connected = false; // false: no connection, so nothing was sent
    unsigned m_status = 0;
    std::string m_body;
    std::string m_run; // value of the header field Run-State; empty: none
};

/// Options of one standin-engine.
struct EngineOptions
{
    std::vector<int> m_accelerators = {40'000}; // memory of each accelerator, in MiB
    bool m_checksFencingToken = false;          // true: rejects orders with an old fencing token
    int m_loadMs = 300;                         // ms to load a model
    int m_tokenMs = 2;                          // ms between two tokens of a stream
};

/// All processes of a test. The destructor kills them, and deletes their files unless the
/// environment variable KEEP_LOGS is set.
struct Fleet
{
    Fleet();
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    std::string m_folder; // temporary: settings, published files and logs
    std::vector<Process> m_hosts;
    std::vector<Process> m_engines;
    std::vector<Process> m_services;
    Process m_platform;
    std::vector<EngineOptions> m_engineOptions; // by index in m_engines
    int m_ticketLifeMs = 3'000;                 // ms; the hosts' setting ticket-life-ms
};

/// Starts all processes, publishes a sample configuration, and waits until all hosts are ready
/// and one of them owns the cell. Throws if a step takes longer than 15 s.
void startFleet(Fleet &fleet, std::size_t hosts, const std::vector<EngineOptions> &engines,
                std::size_t services);

/// Starts the process with its m_command; its output is appended to NAME.log in the fleet's folder.
void startProcess(Process &process, const Fleet &fleet);

/// Sends the signal. With SIGKILL waits for the end of the process, with SIGSTOP until it stands
/// still.
void signalProcess(Process &process, int signal);

/// Waits for the process to end. Returns its exit code, or the negated number of the signal that
/// ended it; 0 if the process isn't running.
int waitExit(Process &process);

/// The deployment file of the fleet, with the server named `leaving`, if any, marked as leaving.
std::string deploymentText(const Fleet &fleet, const std::string &leaving = "");

/// Writes a file in the fleet's folder and returns its path.
std::string writeFile(const Fleet &fleet, const std::string &name, const std::string &text);

struct ToolResult
{
    int m_exitCode = 0;
    std::string m_output; // standard output and standard error
};

/// Runs a program to its end.
ToolResult runTool(const std::vector<std::string> &command);

/// Runs apricotctl with these arguments, and --platform set to the fleet's platform.
ToolResult control(const Fleet &fleet, std::vector<std::string> arguments);

/// Sends one HTTP request on a new connection; gives up after the limit.
Reply send(const Endpoint &to, const std::string &method, const std::string &target,
           const std::vector<HttpField> &fields, const std::string &body, Millis limit);

/// Sends a request for `tokens` tokens to the sample service's idempotent work `draft`.
Reply draft(const Endpoint &host, const std::string &id, int tokens, Millis deadline,
            const std::string &model = "tasting-notes");

/// The JSON value at a target; an empty object if there was no complete response.
json::value fetchJson(const Endpoint &from, const std::string &target);

/// Sets the fault mode of a stand-in, such as "mode=cut&count=2"; "mode=none" ends it.
void setFault(const Process &standin, const std::string &query);

/// Path of a program in the directory of the running test program.
std::string binary(const std::string &name);

/// A loopback address whose port is free for TCP and UDP.
Endpoint freeEndpoint();

/// Polls until the condition holds; false if it doesn't within the limit.
bool eventually(const std::function<bool()> &condition, Millis limit);

/// How often the stand-in ran the request with this id.
int runsAt(const Process &standin, const std::string &request);

/// How often the running engines were ordered to load more than their memory holds.
int overcommits(const Fleet &fleet);

/// The largest number of replicas of a model that were loaded or loading at the same time,
/// according to the engines' own records.
int maxConcurrentReplicas(const Fleet &fleet, const std::string &model);

/// How often the engines loaded a model, by their own records.
int loadsOf(const Fleet &fleet, const std::string &model);

/// Index of the running host that reports the cell with the highest epoch as its own, if any.
std::optional<std::size_t> ownerOf(const Fleet &fleet);

} // namespace fleet
