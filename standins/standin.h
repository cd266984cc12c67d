// What the three stand-ins share: faults told over HTTP, JSON answers, the loop.
#pragma once

#include "connection/http.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>

namespace standin {

using namespace apricot;
namespace json = boost::json;

/// A fault to be shown by the next calls, told by POST /standin/fault?mode=M&count=N&ms=T.
struct Fault
{
    std::string m_mode; // empty: none
    int m_left = 0;     // calls still to be hit; -1: all
    Millis m_time;      // for slow and stalling modes
    int m_after = 0;    // tokens sent before it shows
};

inline bool hits(Fault &fault, std::string_view mode)
{
    if (fault.m_mode != mode || fault.m_left == 0)
        return false;
    if (fault.m_left > 0)
        --fault.m_left;
    return true;
}

inline int toInt(const std::string &text, int fallback)
{
    return text.empty() ? fallback : std::stoi(text);
}

inline Fault readFault(const Target &target)
{
    Fault fault;
    fault.m_mode = fieldOf(target.m_query, "mode");
    fault.m_left = toInt(fieldOf(target.m_query, "count"), -1);
    fault.m_time = {toInt(fieldOf(target.m_query, "ms"), 0)};
    fault.m_after = toInt(fieldOf(target.m_query, "after"), 0);
    return fault;
}

inline HttpResponse answer(unsigned status, const json::value &body,
                           std::vector<HttpField> fields = {})
{
    fields.push_back({"Content-Type", "application/json"});
    return {{status, std::move(fields)}, json::serialize(body) + "\n"};
}

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

/// Serves until SIGTERM or SIGINT.
inline int runStandin(asio::io_context &io, const std::string &listen, HttpHandler handler)
{
    const auto endpoint = parseEndpoint(listen);
    if (!endpoint) {
        std::cerr << "--listen: must be IP:PORT\n";
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
