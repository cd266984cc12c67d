// Stand-in for the platform: versioned objects with conditional updates and long-poll watches, and
// the weight store. It counts every call for the tests and refuses calls over its rate limit.
// docs/OUTSIDE.md describes the protocol.
//
// Fault modes: "down" (connections are closed without a response), "slow", "lose-answer" (an update
// is applied, its response is lost), "hasty" (watches end at once).
#include "standin.h"

#include <cxxopts.hpp>

using namespace standin;

namespace {

constexpr std::size_t maxValueSize = 1 << 20;  // bytes
constexpr std::int64_t watchPollInterval = 20; // ms between checks for a newer version

struct Object
{
    std::uint64_t m_version = 0; // 0: the object doesn't exist
    std::string m_value;
};

/// Calls since the start, served at /standin/counts.
struct Counts
{
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_conflicts = 0; // conditional updates whose expected version was outdated
    std::uint64_t m_refused = 0;   // calls over the rate limit
    std::uint64_t m_loads = 0;     // loads from the weight store
};

struct Platform
{
    std::map<std::string, Object> m_objects;
    std::map<std::string, std::uint64_t> m_callsByKey;
    std::uint64_t m_lastVersion = 0; // counted over all objects
    Counts m_counts;
    Fault m_fault;
    Millis m_responseTime = {2};  // ms for each object call
    int m_writesPerSecond = 400;  // rate limit
    int m_readsPerSecond = 2000;  // rate limit
    double m_loadsPerSecond = 4;  // weight store: rate at which loads start
    int m_maxConcurrentLoads = 4; // weight store: concurrent loads at full speed
    int m_runningWeightLoads = 0;
    std::int64_t m_nextWeightLoadStart = 0; // earliest start of the next load, Unix ms
    std::int64_t m_second = 0;              // Unix time in s to which the next two counts belong
    int m_writesThisSecond = 0;
    int m_readsThisSecond = 0;
};

/// Counts the call, and tells whether it is over the rate limit of the current second.
bool exceedsRateLimit(Platform &platform, bool write)
{
    const std::int64_t second = unixMillis() / 1000;
    if (second != platform.m_second) {
        platform.m_second = second;
        platform.m_writesThisSecond = 0;
        platform.m_readsThisSecond = 0;
    }
    if (write)
        return ++platform.m_writesThisSecond > platform.m_writesPerSecond;
    return ++platform.m_readsThisSecond > platform.m_readsPerSecond;
}

HttpResponse makeError(unsigned status, const char *text)
{
    return answer(status, {{"error", text}});
}

HttpResponse objectResponse(unsigned status, const Object &object)
{
    return {{status, {{"Object-Version", std::to_string(object.m_version)}}}, object.m_value};
}

/// A read, or with `wait-ms` a watch: waits for a version above `newer-than` and answers 304 (404
/// if there is no such object) when the time is over.
asio::awaitable<HttpResponse> getObject(Platform &platform, std::string key, Target target)
{
    const auto newerThan
        = static_cast<std::uint64_t>(std::stoull("0" + fieldOf(target.m_query, "newer-than")));
    const Millis wait = {toInt(fieldOf(target.m_query, "wait-ms"), 0)};
    wait.m_count > 0 ? ++platform.m_counts.m_watches : ++platform.m_counts.m_reads;
    const std::int64_t until = unixMillis() + wait.m_count;
    while (true) {
        const Object object = platform.m_objects[key];
        if (object.m_version > newerThan)
            co_return objectResponse(200, object);
        const std::int64_t left = until - unixMillis();
        // The fault "hasty" ends every watch at once, to test that clients limit their rate; the
        // fault "down" ends the watches that were waiting when it was set.
        const bool endsAtOnce = platform.m_fault.m_mode == "hasty";
        if (left <= 0 || endsAtOnce || platform.m_fault.m_mode == "down")
            co_return objectResponse(object.m_version == 0 ? 404 : 304, {object.m_version, ""});
        co_await pause({std::min<std::int64_t>(left, watchPollInterval)});
    }
}

/// A write; conditional if the field If-Version is there (0: only if the object doesn't exist yet).
HttpResponse putObject(Platform &platform, const std::string &key, const HttpRequest &request)
{
    ++platform.m_counts.m_writes;
    Object &object = platform.m_objects[key];
    const std::string expected = fieldOf(request.m_fields, "If-Version");
    if (request.m_body.size() > maxValueSize)
        return makeError(413, "value is larger than 1 MiB");
    if (!expected.empty() && std::stoull(expected) != object.m_version) {
        ++platform.m_counts.m_conflicts;
        return objectResponse(412, {object.m_version, ""});
    }
    object.m_version = ++platform.m_lastVersion;
    object.m_value = request.m_body;
    return objectResponse(200, {object.m_version, ""});
}

/// A load from the weight store. Loads start at the store's rate, so that one may have to wait for
/// its start. A load is slowed down in proportion if at its start more run than the store serves at
/// full speed.
asio::awaitable<HttpResponse> getWeights(Platform &platform, Target target)
{
    ++platform.m_counts.m_loads;
    const double fullSpeed = toInt(fieldOf(target.m_query, "ms"), 1000);
    const std::int64_t begin = std::max(unixMillis(), platform.m_nextWeightLoadStart);
    platform.m_nextWeightLoadStart
        = begin + static_cast<std::int64_t>(1000.0 / platform.m_loadsPerSecond);
    co_await pause({begin - unixMillis()});
    ++platform.m_runningWeightLoads;
    const double slowdown
        = static_cast<double>(platform.m_runningWeightLoads) / platform.m_maxConcurrentLoads;
    co_await pause({static_cast<std::int64_t>(fullSpeed * std::max(1.0, slowdown))});
    --platform.m_runningWeightLoads;
    HttpResponse response;
    response.m_body = "loaded";
    co_return response;
}

json::value countsToJson(const Platform &platform)
{
    json::object byKey;
    for (const auto &[key, calls] : platform.m_callsByKey)
        byKey[key] = calls;
    const Counts &counts = platform.m_counts;
    return {{"reads", counts.m_reads},         {"writes", counts.m_writes},
            {"watches", counts.m_watches},     {"conflicts", counts.m_conflicts},
            {"over_rate", counts.m_refused},   {"weight_loads", counts.m_loads},
            {"calls_by_key", std::move(byKey)}};
}

asio::awaitable<void> serveObject(Platform &platform, HttpExchange &exchange, Target target)
{
    std::string key = target.m_path[1];
    for (std::size_t i = 2; i < target.m_path.size(); ++i)
        key += "/" + target.m_path[i];
    ++platform.m_callsByKey[key];
    const bool write = exchange.m_request.m_method == "PUT";
    if (consumeFault(platform.m_fault, "down")) {
        abortResponse(exchange);
        co_return;
    }
    if (consumeFault(platform.m_fault, "slow"))
        co_await pause(platform.m_fault.m_time);
    if (exceedsRateLimit(platform, write)) {
        ++platform.m_counts.m_refused;
        const HttpResponse refusal = makeError(429, "over the rate limit");
        co_await sendResponse(exchange, refusal);
        co_return;
    }
    co_await pause(platform.m_responseTime);
    HttpResponse response;
    if (write)
        response = putObject(platform, key, exchange.m_request);
    else
        response = co_await getObject(platform, key, target);
    if (write && consumeFault(platform.m_fault, "lose-answer")) {
        abortResponse(exchange);
        co_return;
    }
    co_await sendResponse(exchange, response);
}

/// The control paths under /standin.
HttpResponse handleControlRequest(Platform &platform, const std::string &path)
{
    if (path == "/standin/counts")
        return answer(200, countsToJson(platform));
    if (!path.starts_with("/standin/fault"))
        return makeError(404, "no such path");
    platform.m_fault = readFault(*parseTarget(path));
    return answer(200, {{"mode", platform.m_fault.m_mode}});
}

asio::awaitable<void> serve(Platform &platform, HttpExchange &exchange)
{
    const auto target = parseTarget(exchange.m_request.m_target);
    const std::string first = target && !target->m_path.empty() ? target->m_path[0] : "";
    if (first == "objects" && target->m_path.size() > 1) {
        co_await serveObject(platform, exchange, *target);
        co_return;
    }
    HttpResponse response;
    if (first == "weights")
        response = co_await getWeights(platform, *target);
    else
        response = handleControlRequest(platform, exchange.m_request.m_target);
    co_await sendResponse(exchange, response);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-platform", "Stand-in for the platform's object API");
    options.add_options()("listen", "address to listen on, IP:PORT", cxxopts::value<std::string>())(
        "answer-ms", "response time of an object call", cxxopts::value<int>()->default_value("2"))(
        "loads-per-second", "weight store: rate at which loads start",
        cxxopts::value<double>()->default_value("4"))(
        "loads-at-once", "weight store: concurrent loads at full speed",
        cxxopts::value<int>()->default_value("4"));
    const auto arguments = options.parse(argc, argv);
    asio::io_context io(1);
    Platform platform;
    platform.m_responseTime = {arguments["answer-ms"].as<int>()};
    platform.m_loadsPerSecond = arguments["loads-per-second"].as<double>();
    platform.m_maxConcurrentLoads = arguments["loads-at-once"].as<int>();
    return runStandin(io, arguments["listen"].as<std::string>(),
                      [&](HttpExchange &exchange) { return serve(platform, exchange); });
}
