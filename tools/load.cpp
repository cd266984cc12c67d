// apricot-load: open-loop load. Requests go out at their scheduled times whatever becomes of the
// earlier ones, and latency counts from the scheduled time.
#include "connection/http.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace apricot;
using SteadyClock = std::chrono::steady_clock;

struct Load
{
    Endpoint m_to;
    HttpRequest m_request;
    int m_rate = 1'000; // requests a second
    int m_seconds = 5;
    std::string m_idPrefix;
    asio::io_context m_io{1};
    HttpPool m_pool;
    std::vector<double> m_firstByte; // ms
    std::vector<double> m_whole;     // ms
    int m_failed = 0;
    int m_refused = 0; // answered, but not 200
    int m_open = 0;
};

double msSince(SteadyClock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - begin).count();
}

/// True if the answer came whole; its status goes to the load's counts.
asio::awaitable<bool> readAnswer(Load &load, HttpConnection &connection,
                                 SteadyClock::time_point scheduled)
{
    constexpr Millis limit = {30'000};
    constexpr unsigned statusOk = 200;
    const auto head = co_await readHead(connection, limit);
    if (!ok(head))
        co_return false;
    bool first = true;
    while (true) {
        const auto bytes = co_await readBodyPart(connection, limit);
        if (!ok(bytes))
            co_return false;
        if (first)
            load.m_firstByte.push_back(msSince(scheduled));
        first = false;
        if (std::get<std::string>(bytes).empty())
            break;
    }
    if (std::get<HttpHead>(head).m_status != statusOk)
        ++load.m_refused;
    co_return true;
}

asio::awaitable<void> sendOne(Load &load, int number, SteadyClock::time_point scheduled)
{
    constexpr Millis limit = {30'000};
    ++load.m_open;
    HttpRequest request = load.m_request;
    addField(request.m_fields, "Request-Id", load.m_idPrefix + std::to_string(number));
    const auto opened = co_await openHttpConnection(load.m_pool, load.m_to, limit, false);
    bool whole = false;
    if (ok(opened)) {
        HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
        const auto notSent = co_await sendRequest(*connection, load.m_to, request, limit);
        whole = !notSent && co_await readAnswer(load, *connection, scheduled);
        if (whole)
            releaseHttpConnection(load.m_pool, load.m_to, std::move(connection));
    }
    if (whole)
        load.m_whole.push_back(msSince(scheduled));
    else
        ++load.m_failed;
    --load.m_open;
}

asio::awaitable<void> sendAll(Load &load)
{
    const auto begin = SteadyClock::now();
    const int total = load.m_rate * load.m_seconds;
    asio::steady_timer timer(load.m_io);
    for (int i = 0; i < total; ++i) {
        const auto scheduled = begin
            + std::chrono::microseconds(static_cast<std::int64_t>(i) * 1'000'000 / load.m_rate);
        if (scheduled > SteadyClock::now()) {
            timer.expires_at(scheduled);
            co_await timer.async_wait(asio::use_awaitable);
        }
        asio::co_spawn(load.m_io, sendOne(load, i, scheduled), asio::detached);
    }
}

double percentile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[at];
}

void print(Load &load)
{
    std::cout << "requests=" << load.m_rate * load.m_seconds << " whole=" << load.m_whole.size()
              << " refused=" << load.m_refused << " failed=" << load.m_failed
              << " first_p50_ms=" << percentile(load.m_firstByte, 0.5)
              << " first_p99_ms=" << percentile(load.m_firstByte, 0.99)
              << " whole_p50_ms=" << percentile(load.m_whole, 0.5)
              << " whole_p99_ms=" << percentile(load.m_whole, 0.99)
              << " whole_p999_ms=" << percentile(load.m_whole, 0.999) << "\n";
}

int run(const cxxopts::ParseResult &arguments)
{
    Load load;
    const auto to = parseEndpoint(arguments["to"].as<std::string>());
    if (!to) {
        std::cerr << "apricot-load: --to must be IP:PORT\n";
        return 2;
    }
    load.m_to = *to;
    load.m_request.m_method = "POST";
    load.m_request.m_target = arguments["target"].as<std::string>();
    load.m_request.m_body = arguments["body"].as<std::string>();
    if (arguments.count("model") > 0)
        load.m_request.m_fields = {{"Model", arguments["model"].as<std::string>()}};
    load.m_rate = std::max(1, arguments["rate"].as<int>());
    load.m_seconds = std::max(1, arguments["seconds"].as<int>());
    load.m_idPrefix = arguments["id"].as<std::string>() + "-";
    load.m_pool.m_io = &load.m_io;
    load.m_pool.m_maxIdleConnections = 1'024;
    asio::co_spawn(load.m_io, sendAll(load), asio::detached);
    load.m_io.run();
    print(load);
    return load.m_failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("apricot-load", "Open-loop load against one address");
    options.add_options()("to", "IP:PORT", cxxopts::value<std::string>())(
        "target", "path and query", cxxopts::value<std::string>())(
        "body", "request body", cxxopts::value<std::string>()->default_value("{}"))(
        "model", "Model field, for an engine asked directly", cxxopts::value<std::string>())(
        "rate", "requests a second", cxxopts::value<int>()->default_value("1000"))(
        "seconds", "how long", cxxopts::value<int>()->default_value("5"))(
        "id", "prefix of request ids",
        cxxopts::value<std::string>()->default_value("load"))("help", "show this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("to") == 0
            || arguments.count("target") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        return run(arguments);
    } catch (const std::exception &error) {
        std::cerr << "apricot-load: " << error.what() << "\n";
        return 2;
    }
}
