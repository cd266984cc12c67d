// Stand-in for a model engine: accelerators with memory, orders to load and unload, streams of
// tokens. Its books are the judge in tests: it carries out orders that overcommit it and counts
// them, and counts the runs of each request. docs/OUTSIDE.md gives the protocol.
#include "standin.h"

#include <cxxopts.hpp>
#include <sstream>

using namespace standin;

namespace {

struct Loaded
{
    std::string m_model;
    std::string m_adapter;
    int m_version = 1;
    int m_accelerator = 0;
    std::int64_t m_memory = 0; // MiB
    bool m_ready = false;      // false: still loading
    int m_running = 0;         // requests now
    int m_reported = 0;        // requests as of the last refresh of the report
};

/// One entry of the books: something taken into or out of memory.
struct BookEntry
{
    std::int64_t m_time = 0; // unix ms
    std::string m_what;      // "load", "unload"
    std::string m_model;
    std::string m_adapter;
};

struct Engine
{
    std::string m_name;
    std::vector<std::int64_t> m_accelerators; // MiB
    bool m_checksFencingToken = false;
    Millis m_loadTime = {300};
    Millis m_tokenTime = {5};
    Millis m_reportLag = {200};
    std::optional<Endpoint> m_store;
    HttpPool m_pool;
    std::vector<Loaded> m_loaded;
    std::uint64_t m_fencingToken = 0;
    std::map<std::string, int> m_runs;
    std::vector<BookEntry> m_book;
    int m_overcommits = 0;
    int m_fencedOff = 0;
    int m_cancelled = 0;
    std::string m_lastRequest; // for crossed answers
    Fault m_fault;
};

Loaded *find(Engine &engine, const std::string &model, const std::string &adapter)
{
    for (Loaded &loaded : engine.m_loaded) {
        if (loaded.m_model == model && loaded.m_adapter == adapter)
            return &loaded;
    }
    return nullptr;
}

void checkMemory(Engine &engine, int accelerator)
{
    std::int64_t taken = 0;
    for (const Loaded &loaded : engine.m_loaded) {
        if (loaded.m_accelerator == accelerator)
            taken += loaded.m_memory;
    }
    const auto index = static_cast<std::size_t>(accelerator);
    if (index >= engine.m_accelerators.size() || taken > engine.m_accelerators[index])
        ++engine.m_overcommits;
}

asio::awaitable<void> fetchWeights(Engine &engine, bool adapter)
{
    if (adapter) {
        co_await pause({5});
        co_return;
    }
    if (!engine.m_store) {
        co_await pause(engine.m_loadTime);
        co_return;
    }
    HttpRequest request;
    request.m_target = "/weights?ms=" + std::to_string(engine.m_loadTime.m_count);
    const auto response = co_await fetchHttp(engine.m_pool, *engine.m_store, request, {600'000});
    if (!ok(response))
        co_await pause(engine.m_loadTime);
}

asio::awaitable<HttpResponse> load(Engine &engine, const json::object &order)
{
    Loaded loaded;
    loaded.m_model = json::value_to<std::string>(order.at("model"));
    loaded.m_adapter = json::value_to<std::string>(order.at("adapter"));
    loaded.m_version = order.at("version").to_number<int>();
    loaded.m_accelerator = order.at("accelerator").to_number<int>();
    loaded.m_memory = order.at("memory_mb").to_number<std::int64_t>();
    if (!loaded.m_adapter.empty() && !find(engine, loaded.m_model, ""))
        co_return answer(409, {{"state", "absent"}, {"error", "its model is not loaded"}});
    if (!find(engine, loaded.m_model, loaded.m_adapter)) {
        engine.m_loaded.push_back(loaded);
        engine.m_book.push_back({unixMillis(), "load", loaded.m_model, loaded.m_adapter});
        checkMemory(engine, loaded.m_accelerator);
        co_await fetchWeights(engine, !loaded.m_adapter.empty());
        if (hits(engine.m_fault, "stuck-load"))
            co_await pause({3'600'000});
        Loaded *now = find(engine, loaded.m_model, loaded.m_adapter);
        if (now)
            now->m_ready = true;
    }
    while (true) {
        const Loaded *now = find(engine, loaded.m_model, loaded.m_adapter);
        if (!now)
            co_return answer(409, {{"state", "absent"}, {"error", "unloaded meanwhile"}});
        if (now->m_ready)
            co_return answer(200, {{"state", "loaded"}});
        co_await pause({5});
    }
}

HttpResponse unload(Engine &engine, const json::object &order)
{
    const auto model = json::value_to<std::string>(order.at("model"));
    const auto adapter = json::value_to<std::string>(order.at("adapter"));
    const Loaded *loaded = find(engine, model, adapter);
    if (loaded && loaded->m_running > 0)
        return answer(409, {{"state", "loaded"}, {"error", "busy"}});
    if (loaded)
        engine.m_book.push_back({unixMillis(), "unload", model, adapter});
    std::erase_if(engine.m_loaded, [&](const Loaded &entry) {
        const bool itself = entry.m_adapter == adapter;
        return entry.m_model == model && (itself || adapter.empty());
    });
    return answer(200, {{"state", "absent"}});
}

asio::awaitable<void> takeOrder(Engine &engine, HttpExchange &exchange)
{
    const json::object order = json::parse(exchange.m_request.m_body).as_object();
    const auto epoch = order.at("epoch").to_number<std::uint64_t>();
    const auto kind = json::value_to<std::string>(order.at("kind"));
    if (hits(engine.m_fault, "delay-order"))
        co_await pause(engine.m_fault.m_time);
    HttpResponse response;
    if (engine.m_checksFencingToken && epoch < engine.m_fencingToken) {
        ++engine.m_fencedOff;
        response = answer(409, {{"state", "fenced"}, {"error", "old fencing number"}});
    } else {
        engine.m_fencingToken = std::max(engine.m_fencingToken, epoch);
        if (kind == "load")
            response = co_await load(engine, order);
        else if (kind == "unload")
            response = unload(engine, order);
        else
            response = answer(200, {{"state", "fence"}});
    }
    if (hits(engine.m_fault, "lose-order-answer")) {
        abortResponse(exchange);
        co_return;
    }
    co_await sendResponse(exchange, response);
}

/// The loaded list is exact; running figures are as old as the report's lag.
json::value report(const Engine &engine)
{
    json::array loaded;
    int running = 0;
    for (const Loaded &entry : engine.m_loaded) {
        running += entry.m_reported;
        loaded.push_back({{"model", entry.m_model},
                          {"adapter", entry.m_adapter},
                          {"version", entry.m_version},
                          {"accelerator", entry.m_accelerator},
                          {"ready", entry.m_ready},
                          {"running", entry.m_reported}});
    }
    return {{"server", engine.m_name}, {"loaded", loaded}, {"running", running}};
}

json::value books(const Engine &engine)
{
    json::object runs;
    for (const auto &[request, count] : engine.m_runs)
        runs[request] = count;
    json::array book;
    for (const BookEntry &entry : engine.m_book)
        book.push_back({{"time", entry.m_time},
                        {"what", entry.m_what},
                        {"model", entry.m_model},
                        {"adapter", entry.m_adapter}});
    return {{"runs", runs},
            {"book", book},
            {"overcommits", engine.m_overcommits},
            {"fenced_off", engine.m_fencedOff},
            {"cancelled", engine.m_cancelled}};
}

std::string tokenEvent(const std::string &request, int index, const std::string &model)
{
    std::ostringstream event;
    event << "event: token\nid: " << request << "/" << index << "\ndata: {\"text\":\"" << model
          << "-" << index << " \"}\n\n";
    return event.str();
}

/// A fault in the middle of a stream; true if the stream is over.
asio::awaitable<bool> streamFault(Engine &engine, HttpExchange &exchange, int index)
{
    const bool due = index == engine.m_fault.m_after;
    if (due && hits(engine.m_fault, "cut")) {
        abortResponse(exchange);
        co_return true;
    }
    if (due && hits(engine.m_fault, "stall"))
        co_await pause(engine.m_fault.m_time);
    co_return false;
}

asio::awaitable<void> streamTokens(Engine &engine, HttpExchange &exchange, const std::string &model,
                                   const std::string &request)
{
    const json::value body = json::parse(exchange.m_request.m_body);
    const json::object empty;
    const json::object &wanted = body.is_object() ? body.as_object() : empty;
    const int tokens = wanted.contains("max_tokens") ? wanted.at("max_tokens").to_number<int>() : 8;
    const int first = toInt(fieldOf(exchange.m_request.m_fields, "Resume-From"), 0);
    std::string answerTo = request;
    if (hits(engine.m_fault, "cross") && !engine.m_lastRequest.empty())
        answerTo = engine.m_lastRequest;
    engine.m_lastRequest = request;
    const HttpHead head = {200, {{"Content-Type", "text/event-stream"}, {"Request-Id", answerTo}}};
    if (!co_await beginStream(exchange, head))
        co_return;
    for (int i = first; i < tokens; ++i) {
        if (co_await streamFault(engine, exchange, i))
            co_return;
        co_await pause(engine.m_tokenTime);
        if (exchange.m_callerDisconnected) {
            ++engine.m_cancelled;
            co_return;
        }
        if (!co_await writeChunk(exchange, tokenEvent(answerTo, i, model)))
            co_return;
    }
    co_await writeChunk(exchange,
                        "event: done\nid: " + answerTo + "/" + std::to_string(tokens)
                            + "\ndata: {\"tokens\":" + std::to_string(tokens) + "}\n\n");
    co_await endStream(exchange);
}

HttpResponse refuseUnloaded(const std::string &request)
{
    return answer(409, {{"error", "not loaded"}},
                  {{"Run-State", "not-run"}, {"Request-Id", request}});
}

asio::awaitable<void> generate(Engine &engine, HttpExchange &exchange)
{
    const std::string model = fieldOf(exchange.m_request.m_fields, "Model");
    const std::string adapter = fieldOf(exchange.m_request.m_fields, "Adapter");
    const std::string request = fieldOf(exchange.m_request.m_fields, "Request-Id");
    Loaded *base = find(engine, model, "");
    const Loaded *adapterLoaded = adapter.empty() ? base : find(engine, model, adapter);
    if (!base || !base->m_ready || !adapterLoaded || !adapterLoaded->m_ready) {
        const HttpResponse refusal = refuseUnloaded(request);
        co_await sendResponse(exchange, refusal);
        co_return;
    }
    ++engine.m_runs[request];
    ++base->m_running;
    co_await streamTokens(engine, exchange, model, request);
    Loaded *after = find(engine, model, "");
    if (after)
        --after->m_running;
}

asio::awaitable<void> refreshReport(Engine &engine)
{
    while (true) {
        for (Loaded &loaded : engine.m_loaded)
            loaded.m_reported = loaded.m_running;
        co_await pause(engine.m_reportLag);
    }
}

HttpResponse answerSimple(Engine &engine, const std::string &target)
{
    if (target == "/report")
        return answer(200, report(engine));
    if (target == "/standin/books")
        return answer(200, books(engine));
    if (!target.starts_with("/standin/fault"))
        return answer(404, {{"error", "no such path"}});
    engine.m_fault = readFault(*parseTarget(target));
    return answer(200, {{"mode", engine.m_fault.m_mode}});
}

asio::awaitable<void> serve(Engine &engine, HttpExchange &exchange)
{
    const std::string target = exchange.m_request.m_target;
    if (target == "/generate") {
        co_await generate(engine, exchange);
    } else if (target == "/orders") {
        co_await takeOrder(engine, exchange);
    } else {
        const HttpResponse response = answerSimple(engine, target);
        co_await sendResponse(exchange, response);
    }
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-engine", "Stand-in for a model engine");
    options.add_options()("listen", "IP:PORT", cxxopts::value<std::string>())(
        "name", "server name", cxxopts::value<std::string>())(
        "accelerators-mb", "memory of each", cxxopts::value<std::vector<std::int64_t>>())(
        "checks-fence", "refuse old fencing numbers")("load-ms", "a load at full speed",
                                                      cxxopts::value<int>()->default_value("300"))(
        "token-ms", "between tokens", cxxopts::value<int>()->default_value("5"))(
        "report-lag-ms", "of load reports", cxxopts::value<int>()->default_value("200"))(
        "store", "IP:PORT of the weight store", cxxopts::value<std::string>());
    const auto arguments = options.parse(argc, argv);
    asio::io_context io(1);
    Engine engine;
    engine.m_pool.m_io = &io;
    engine.m_name = arguments["name"].as<std::string>();
    engine.m_accelerators = arguments["accelerators-mb"].as<std::vector<std::int64_t>>();
    engine.m_checksFencingToken = arguments.count("checks-fence") > 0;
    engine.m_loadTime = {arguments["load-ms"].as<int>()};
    engine.m_tokenTime = {arguments["token-ms"].as<int>()};
    engine.m_reportLag = {arguments["report-lag-ms"].as<int>()};
    if (arguments.count("store") > 0)
        engine.m_store = parseEndpoint(arguments["store"].as<std::string>());
    asio::co_spawn(io, refreshReport(engine), asio::detached);
    return runStandin(io, arguments["listen"].as<std::string>(),
                      [&](HttpExchange &exchange) { return serve(engine, exchange); });
}
