// apricot-load: open-loop load generator. Requests are sent at their scheduled times, whether or
// not earlier ones have completed, and latency is measured from the scheduled time. A slow server
// therefore can't reduce the load, and time that a request waited to be sent counts as latency.
#include "connection/http.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace apricot;
using SteadyClock = std::chrono::steady_clock;

/// The parameters of one test and its results.
struct LoadTest
{
    Endpoint m_to; // where all requests are sent
    HttpRequest m_request;
    int m_rate = 1'000;     // requests per second
    int m_seconds = 5;      // duration of the test
    std::string m_idPrefix; // of Request-Id; the number of the request follows
    asio::io_context m_io{1};
    HttpPool m_pool;
    std::vector<double> m_firstByteLatencies; // ms to the first part of the body
    std::vector<double> m_completeLatencies;  // ms to the end of a complete response
    int m_failed = 0;  // requests without a connection or a complete response
    int m_refused = 0; // complete responses with a status other than 200; in the latencies too
    int m_requestsInFlight = 0;
};

double msSince(SteadyClock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - begin).count();
}

/// Reads a response to its end; records the latency of its first byte, and counts it as refused if
/// its status isn't 200. False if it is incomplete.
asio::awaitable<bool> readResponse(LoadTest &test, HttpConnection &connection,
                                   SteadyClock::time_point scheduled)
{
    constexpr Millis timeout = {30'000};
    constexpr unsigned statusOk = 200;
    const auto head = co_await readHead(connection, timeout);
    if (!ok(head))
        co_return false;
    bool isFirstPart = true;
    while (true) {
        const auto bytes = co_await readBodyPart(connection, timeout);
        if (!ok(bytes))
            co_return false;
        if (isFirstPart)
            test.m_firstByteLatencies.push_back(msSince(scheduled));
        isFirstPart = false;
        if (std::get<std::string>(bytes).empty())
            break;
    }
    if (std::get<HttpHead>(head).m_status != statusOk)
        ++test.m_refused;
    co_return true;
}

/// Sends one request and records its outcome.
asio::awaitable<void> sendOne(LoadTest &test, int number, SteadyClock::time_point scheduled)
{
    constexpr Millis timeout = {30'000};
    ++test.m_requestsInFlight;
    HttpRequest request = test.m_request;
    addField(request.m_fields, "Request-Id", test.m_idPrefix + std::to_string(number));
    const auto opened = co_await openHttpConnection(test.m_pool, test.m_to, timeout, false);
    bool complete = false;
    if (ok(opened)) {
        HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
        const auto notSent = co_await sendRequest(*connection, test.m_to, request, timeout);
        complete = !notSent && co_await readResponse(test, *connection, scheduled);
        if (complete)
            releaseHttpConnection(test.m_pool, test.m_to, std::move(connection));
    }
    if (complete)
        test.m_completeLatencies.push_back(msSince(scheduled));
    else
        ++test.m_failed;
    --test.m_requestsInFlight;
}

/// Starts each request at its scheduled time without waiting for earlier ones.
asio::awaitable<void> sendAll(LoadTest &test)
{
    const auto begin = SteadyClock::now();
    const int total = test.m_rate * test.m_seconds;
    asio::steady_timer timer(test.m_io);
    for (int i = 0; i < total; ++i) {
        const auto scheduled = begin
            + std::chrono::microseconds(static_cast<std::int64_t>(i) * 1'000'000 / test.m_rate);
        if (scheduled > SteadyClock::now()) {
            timer.expires_at(scheduled);
            co_await timer.async_wait(asio::use_awaitable);
        }
        asio::co_spawn(test.m_io, sendOne(test, i, scheduled), asio::detached);
    }
}

/// The value below which this fraction of the values lies; 0 if there are none. Sorts the values.
double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

void print(LoadTest &test)
{
    std::cout << "requests=" << test.m_rate * test.m_seconds
              << " whole=" << test.m_completeLatencies.size() << " refused=" << test.m_refused
              << " failed=" << test.m_failed
              << " first_p50_ms=" << percentile(test.m_firstByteLatencies, 0.5)
              << " first_p99_ms=" << percentile(test.m_firstByteLatencies, 0.99)
              << " whole_p50_ms=" << percentile(test.m_completeLatencies, 0.5)
              << " whole_p99_ms=" << percentile(test.m_completeLatencies, 0.99)
              << " whole_p999_ms=" << percentile(test.m_completeLatencies, 0.999) << "\n";
}

int run(const cxxopts::ParseResult &arguments)
{
    LoadTest test;
    const auto to = parseEndpoint(arguments["to"].as<std::string>());
    if (!to) {
        std::cerr << "apricot-load: --to must be an address of the form IP:PORT\n";
        return 2;
    }
    test.m_to = *to;
    test.m_request.m_method = "POST";
    test.m_request.m_target = arguments["target"].as<std::string>();
    test.m_request.m_body = arguments["body"].as<std::string>();
    if (arguments.count("model") > 0)
        test.m_request.m_fields = {{"Model", arguments["model"].as<std::string>()}};
    test.m_rate = std::max(1, arguments["rate"].as<int>());
    test.m_seconds = std::max(1, arguments["seconds"].as<int>());
    test.m_idPrefix = arguments["id"].as<std::string>() + "-";
    test.m_pool.m_io = &test.m_io;
    test.m_pool.m_maxIdleConnections = 1'024;
    asio::co_spawn(test.m_io, sendAll(test), asio::detached);
    test.m_io.run();
    print(test);
    return test.m_failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("apricot-load", "Open-loop load generator for one address");
    options.add_options()("to", "address to send requests to, IP:PORT",
                          cxxopts::value<std::string>())("target", "path and query of the requests",
                                                         cxxopts::value<std::string>())(
        "body", "request body", cxxopts::value<std::string>()->default_value("{}"))(
        "model", "value of the Model field, for requests sent directly to an engine",
        cxxopts::value<std::string>())("rate", "requests per second",
                                       cxxopts::value<int>()->default_value("1000"))(
        "seconds", "duration of the test", cxxopts::value<int>()->default_value("5"))(
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
