// Stand-in for a plain service (bookings, stock adjustments, lookups). It counts how often each
// request was run, so that tests can check that a booking runs at most once.
//
// Fault modes: "slow"; "cut-before" aborts the response without running the request; "cut-after"
// runs the request, then aborts the response; "die-after" runs the request, then ends the process;
// "cross" (the response carries the id of another request); "no-status" (the response to a request
// that ran has the status 000).
#include "standin.h"

#include <cxxopts.hpp>

using namespace standin;

namespace {

struct Service
{
    std::map<std::string, int> m_runs; // number of runs by Request-Id
    Fault m_fault;
    Millis m_time = {2}; // ms for one request
};

/// The records that tests check, served at /standin/books.
json::value books(const Service &service)
{
    json::object runs;
    for (const auto &[request, count] : service.m_runs)
        runs[request] = count;
    return {{"runs", runs}};
}

HttpResponse confirmationResponse(const std::string &what, int run, const std::string &request)
{
    return answer(200, {{"done", what}, {"run", run}}, {{"Request-Id", request}});
}

asio::awaitable<void> runRequest(Service &service, HttpExchange &exchange)
{
    const std::string request = fieldOf(exchange.m_request.m_fields, "Request-Id");
    if (consumeFault(service.m_fault, "cut-before")) {
        abortResponse(exchange);
        co_return;
    }
    if (consumeFault(service.m_fault, "slow"))
        co_await pause(service.m_fault.m_time);
    co_await pause(service.m_time);
    const int run = ++service.m_runs[request];
    if (consumeFault(service.m_fault, "die-after"))
        std::_Exit(0);
    if (consumeFault(service.m_fault, "cut-after")) {
        abortResponse(exchange);
        co_return;
    }
    const std::string responseId = consumeFault(service.m_fault, "cross") ? "another" : request;
    HttpResponse response = confirmationResponse(exchange.m_request.m_target, run, responseId);
    if (consumeFault(service.m_fault, "no-status"))
        response.m_head.m_status = 0;
    co_await sendResponse(exchange, response);
}

/// The control paths under /standin.
HttpResponse handleControlRequest(Service &service, const std::string &target)
{
    if (target == "/standin/books")
        return answer(200, books(service));
    service.m_fault = readFault(*parseTarget(target));
    return answer(200, {{"mode", service.m_fault.m_mode}});
}

asio::awaitable<void> serve(Service &service, HttpExchange &exchange)
{
    if (!exchange.m_request.m_target.starts_with("/standin/")) {
        co_await runRequest(service, exchange);
        co_return;
    }
    const HttpResponse response = handleControlRequest(service, exchange.m_request.m_target);
    co_await sendResponse(exchange, response);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-service", "Stand-in for a plain service");
    options.add_options()("listen", "address to listen on, IP:PORT", cxxopts::value<std::string>())(
        "work-ms", "time for one call", cxxopts::value<int>()->default_value("2"));
    const auto arguments = options.parse(argc, argv);
    asio::io_context io(1);
    Service service;
    service.m_time = {arguments["work-ms"].as<int>()};
    return runStandin(io, arguments["listen"].as<std::string>(),
                      [&](HttpExchange &exchange) { return serve(service, exchange); });
}
