// apricotgw: the daemon of the gateway, one process on each host.
#include "machines.h"
#include "process/gatewaystate.h"
#include "process/log.h"
#include "settingsmain.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace {

using namespace apricot;

/// SIGHUP reads the settings file again; SIGTERM and SIGINT begin a planned stop.
asio::awaitable<void> handleSignals(Gateway &gateway, asio::signal_set &signals)
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
    const auto gateway = makeGateway(settings, path, platformProtocol());
    asio::signal_set signals(gateway->m_io, SIGTERM, SIGINT, SIGHUP);
    begin(*gateway, "signals", handleSignals(*gateway, signals));
    const auto failure = startGateway(*gateway);
    if (failure) {
        std::cerr << "apricotgw: " << failure->m_detail << "\n";
        return 1;
    }
    gateway->m_io.run();
    std::cout.flush();
    // Suspended coroutines still refer to the gateway, so the process ends without running any
    // destructors.
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN); // a write to a closed connection fails with an error instead
    return settingsMain(argc, argv, "apricotgw",
                        "Relays requests to backend servers that register themselves",
                        readGatewaySettings, run);
}
