// apricotgw: the gateway, one process on every host.
#include "machines.h"
#include "process/gatewaystate.h"
#include "process/log.h"
#include "settingsmain.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace {

using namespace apricot;

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

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return settingsMain(argc, argv, "apricotgw",
                        "Serves callers before backend servers that register", readGatewaySettings,
                        run);
}
