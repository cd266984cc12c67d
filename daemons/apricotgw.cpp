// apricotgw: the gateway, one process on every host.
#include "machines.h"
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace apricot;

constexpr int badUse = 2; // exit code

asio::awaitable<void> followSignals(Gateway &gateway, asio::signal_set &signals)
{
    constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);
    while (true) {
        const auto [error, signal] = co_await signals.async_wait(useAwaitable);
        if (error)
            co_return;
        if (signal == SIGHUP)
            reloadSettings(gateway);
        else
            begin(gateway, "stop", stopGateway(gateway));
    }
}

int run(const GatewaySettings &settings, const std::string &path)
{
    startLog(settings.m_host.m_text);
    const auto gateway = makeGateway(settings, path, machinesProtocol());
    asio::signal_set signals(gateway->m_io, SIGTERM, SIGINT, SIGHUP);
    begin(*gateway, "signals", followSignals(*gateway, signals));
    const auto failure = startGateway(*gateway);
    if (failure) {
        std::cerr << "apricotgw: " << failure->m_detail << "\n";
        return 1;
    }
    gateway->m_io.run();
    std::cout.flush();
    // Loops still sleep in the gateway; the process is at its end and needs no unwinding of them.
    std::_Exit(0);
}

int checkAndRun(const std::string &path)
{
    const auto read = readGatewaySettings(path);
    if (std::holds_alternative<GatewaySettings>(read))
        return run(std::get<GatewaySettings>(read), path);
    for (const FileFault &fault : std::get<std::vector<FileFault>>(read))
        std::cerr << toText(fault) << "\n";
    return badUse;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("apricotgw", "Serves callers before backend servers that register");
    options.add_options()("settings", "this host's settings file",
                          cxxopts::value<std::string>())("help", "show this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : badUse;
        }
        return checkAndRun(arguments["settings"].as<std::string>());
    } catch (const std::exception &error) {
        std::cerr << "apricotgw: " << error.what() << "\n";
        return 1;
    }
}
