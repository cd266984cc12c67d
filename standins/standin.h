// Shared by all stand-ins (standin-engine, standin-platform, standin-service, standin-machines):
// fault injection over HTTP, JSON responses, timers and the main loop. Tests and demos run the
// stand-ins as separate processes in place of the real backend servers and the real platform.
#pragma once

#include "connection/http.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>

namespace standin {

using namespace apricot;
namespace json = boost::json;

/// A fault to inject into the next calls. Set by POST /standin/fault?mode=M&count=N&ms=T&after=K,
/// which replaces the fault set before; each stand-in defines its own modes.
struct Fault
{
    std::string m_mode;       // empty: no fault
    int m_remainingCalls = 0; // number of calls that still get the fault; -1: all calls
    Millis m_time;            // ms; delay of the modes that slow down or stall a call
    int m_afterTokens = 0;    // tokens sent before a fault in the middle of a stream
};

/// Tells whether this call gets the fault `mode`, and if so counts the call against the fault's
/// limit.
inline bool consumeFault(Fault &fault, std::string_view mode)
{
    if (fault.m_mode != mode || fault.m_remainingCalls == 0)
        return false;
    if (fault.m_remainingCalls > 0)
        --fault.m_remainingCalls;
    return true;
}

inline int toInt(const std::string &text, int fallback)
{
    return text.empty() ? fallback : std::stoi(text);
}

/// Reads a fault from the query of a /standin/fault request.
inline Fault readFault(const Target &target)
{
    Fault fault;
    fault.m_mode = fieldOf(target.m_query, "mode");
    fault.m_remainingCalls = toInt(fieldOf(target.m_query, "count"), -1);
    fault.m_time = {toInt(fieldOf(target.m_query, "ms"), 0)};
    fault.m_afterTokens = toInt(fieldOf(target.m_query, "after"), 0);
    return fault;
}

/// Makes a response with a JSON body.
inline HttpResponse answer(unsigned status, const json::value &body,
                           std::vector<HttpField> fields = {})
{
    fields.push_back({"Content-Type", "application/json"});
    return {{status, std::move(fields)}, json::serialize(body) + "\n"};
}

/// Suspends the calling coroutine for this time.
inline asio::awaitable<void> pause(Millis time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(time.m_count));
    co_await timer.async_wait(asio::use_awaitable);
}

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Listens on the address and serves until SIGTERM or SIGINT. Returns the exit code: 0 after a
/// signal, 1 if the address can't be used, 2 if it is malformed.
inline int runStandin(asio::io_context &io, const std::string &listen, HttpHandler handler)
{
    const auto endpoint = parseEndpoint(listen);
    if (!endpoint) {
        std::cerr << "--listen: must be an address of the form IP:PORT\n";
        return 2;
    }
    auto listener = listenHttp({&io}, *endpoint, std::move(handler), HttpServerOptions());
    if (!ok(listener)) {
        std::cerr << std::get<Failure>(listener).m_detail << "\n";
        return 1;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace standin
