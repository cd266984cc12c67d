// apricotd: the serving daemon. Every host runs one process of it.
#include "process/log.h"
#include "process/node.h"
#include "settingsmain.h"

#include <boost/asio.hpp>
#include <thread>

namespace {

using namespace apricot;

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

/// The planned stop after SIGTERM or SIGINT. Requests in flight are completed first, as far as the
/// drain timeout (drain-limit-ms) allows.
asio::awaitable<void> drainAndStop(Node &node)
{
    co_await drainNode(node);
    stopNode(node);
}

int run(const Settings &settings, const std::string &)
{
    startLog(settings.m_host.m_text);
    const auto node = makeNode(settings, wallClockMs());
    const auto failure = startNode(*node);
    if (failure) {
        std::cerr << "apricotd: " << failure->m_detail << "\n";
        return 1;
    }
    asio::io_context &firstIo = node->m_threads.front()->m_io;
    asio::signal_set signals(firstIo, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error)
            asio::co_spawn(firstIo, drainAndStop(*node), asio::detached);
    });
    std::vector<std::thread> threads;
    for (const auto &thread : node->m_threads) {
        auto &io = thread->m_io;
        threads.emplace_back([&io] {
            const auto workGuard = asio::make_work_guard(io);
            io.run();
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return settingsMain(argc, argv, "apricotd", "Serves rarely used models on one host",
                        readSettings, run);
}
