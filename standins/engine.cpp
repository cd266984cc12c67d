// Stand-in for a model engine: it has accelerators with limited memory, executes orders to load and
// unload models, and streams tokens. Tests check the system's guarantees against the records that
// it keeps and serves at /standin/books: it executes even orders that overcommit its memory and
// counts them, and it counts how often each request was run. docs/OUTSIDE.md describes the
// protocol.
//
// Fault modes: "delay-order" (an order is executed after a delay), "stuck-load" (a load takes an
// hour), "lose-order-answer" (the order is executed, its response is lost), "cut" and "stall" (a
// stream is aborted or paused in the middle), "cross" (a response carries the id of another
// request).
#include "standin.h"

#include <cxxopts.hpp>
#include <sstream>

using namespace standin;

namespace {

/// A model or adapter in the memory of an accelerator.
struct Loaded
{
    std::string m_model;
    std::string m_adapter; // empty: the model itself
    int m_version = 1;
    int m_accelerator = 0;
    std::int64_t m_memory = 0; // MiB
    bool m_ready = false;      // false while the load is in progress
    int m_running = 0;         // requests running now; those for an adapter count at its model
    int m_runningInReport = 0; // requests running when the report was last refreshed
};

/// Record of one load or unload, in the order of execution.
struct MemoryEvent
{
    std::int64_t m_time = 0; // Unix ms
    std::string m_what;      // "load", "unload"
    std::string m_model;
    std::string m_adapter;
};

struct Engine
{
    std::string m_name;
    std::vector<std::int64_t> m_accelerators; // MiB of memory of each
    bool m_checksFencingToken = false;        // true: refuses orders with an old fencing token
    Millis m_loadTime = {300};                // ms for loading a model at full speed
    Millis m_tokenTime = {5};                 // ms before each token
    Millis m_reportLag = {200};               // ms between refreshes of the reported request counts
    std::optional<Endpoint> m_store;          // weight store; none: a load only takes m_loadTime
    HttpPool m_pool;
    std::vector<Loaded> m_loaded;
    std::uint64_t m_fencingToken = 0;  // highest fencing token seen
    std::map<std::string, int> m_runs; // number of runs by Request-Id
    std::vector<MemoryEvent> m_memoryEvents;
    int m_overcommits = 0;  // loads that exceeded the accelerator's memory or named no accelerator
    int m_fencedOrders = 0; // orders refused for an old fencing token
    int m_cancelled = 0;    // streams ended because the caller disconnected
    std::string m_lastRequestId; // of the previous stream, for the fault mode "cross"
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

void countOvercommit(Engine &engine, int accelerator)
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

/// Takes as long as fetching the weights: through the weight store, which shares its rate between
/// all engines, or for the fixed load time if there is no store or it fails. Adapters are small and
/// take 5 ms.
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

/// Answers when the model or adapter is ready, also if an earlier order started the load. Memory is
/// taken from the start of the load on.
asio::awaitable<HttpResponse> load(Engine &engine, const json::object &order)
{
    Loaded loaded;
    loaded.m_model = json::value_to<std::string>(order.at("model"));
    loaded.m_adapter = json::value_to<std::string>(order.at("adapter"));
    loaded.m_version = order.at("version").to_number<int>();
    loaded.m_accelerator = order.at("accelerator").to_number<int>();
    loaded.m_memory = order.at("memory_mb").to_number<std::int64_t>();
    if (!loaded.m_adapter.empty() && !find(engine, loaded.m_model, ""))
        co_return answer(
            409, {{"state", "absent"}, {"error", "the model of the adapter is not loaded"}});
    if (!find(engine, loaded.m_model, loaded.m_adapter)) {
        engine.m_loaded.push_back(loaded);
        engine.m_memoryEvents.push_back({unixMillis(), "load", loaded.m_model, loaded.m_adapter});
        countOvercommit(engine, loaded.m_accelerator);
        co_await fetchWeights(engine, !loaded.m_adapter.empty());
        if (consumeFault(engine.m_fault, "stuck-load"))
            co_await pause({3'600'000});
        Loaded *current = find(engine, loaded.m_model, loaded.m_adapter);
        if (current)
            current->m_ready = true;
    }
    while (true) {
        const Loaded *current = find(engine, loaded.m_model, loaded.m_adapter);
        if (!current)
            co_return answer(
                409, {{"state", "absent"}, {"error", "unloaded while the load was in progress"}});
        if (current->m_ready)
            co_return answer(200, {{"state", "loaded"}});
        co_await pause({5});
    }
}

/// Unloads a model with its adapters, or one adapter. Refuses to unload a model while requests for
/// it or its adapters are running; doesn't check this for an adapter.
HttpResponse unload(Engine &engine, const json::object &order)
{
    const auto model = json::value_to<std::string>(order.at("model"));
    const auto adapter = json::value_to<std::string>(order.at("adapter"));
    const Loaded *loaded = find(engine, model, adapter);
    if (loaded && loaded->m_running > 0)
        return answer(409, {{"state", "loaded"}, {"error", "busy: requests are running"}});
    if (loaded)
        engine.m_memoryEvents.push_back({unixMillis(), "unload", model, adapter});
    std::erase_if(engine.m_loaded, [&](const Loaded &entry) {
        const bool sameEntry = entry.m_adapter == adapter;
        return entry.m_model == model && (sameEntry || adapter.empty());
    });
    return answer(200, {{"state", "absent"}});
}

/// Executes one order and answers it. The field "epoch" is the order's fencing token. An order of
/// kind "fence" only raises the highest token seen.
asio::awaitable<void> handleOrder(Engine &engine, HttpExchange &exchange)
{
    const json::object order = json::parse(exchange.m_request.m_body).as_object();
    const auto epoch = order.at("epoch").to_number<std::uint64_t>();
    const auto kind = json::value_to<std::string>(order.at("kind"));
    if (consumeFault(engine.m_fault, "delay-order"))
        co_await pause(engine.m_fault.m_time);
    HttpResponse response;
    if (engine.m_checksFencingToken && epoch < engine.m_fencingToken) {
        ++engine.m_fencedOrders;
        response = answer(
            409,
            {{"state", "fenced"}, {"error", "fencing token is older than the highest one seen"}});
    } else {
        engine.m_fencingToken = std::max(engine.m_fencingToken, epoch);
        if (kind == "load")
            response = co_await load(engine, order);
        else if (kind == "unload")
            response = unload(engine, order);
        else
            response = answer(200, {{"state", "fence"}});
    }
    if (consumeFault(engine.m_fault, "lose-order-answer")) {
        abortResponse(exchange);
        co_return;
    }
    co_await sendResponse(exchange, response);
}

/// The report: the list of loaded models is current, the counts of running requests are up to
/// m_reportLag old.
json::value report(const Engine &engine)
{
    json::array loaded;
    int running = 0;
    for (const Loaded &entry : engine.m_loaded) {
        running += entry.m_runningInReport;
        loaded.push_back({{"model", entry.m_model},
                          {"adapter", entry.m_adapter},
                          {"version", entry.m_version},
                          {"accelerator", entry.m_accelerator},
                          {"ready", entry.m_ready},
                          {"running", entry.m_runningInReport}});
    }
    return {{"server", engine.m_name}, {"loaded", loaded}, {"running", running}};
}

/// The records that tests check, served at /standin/books.
json::value books(const Engine &engine)
{
    json::object runs;
    for (const auto &[request, count] : engine.m_runs)
        runs[request] = count;
    json::array book;
    for (const MemoryEvent &entry : engine.m_memoryEvents)
        book.push_back({{"time", entry.m_time},
                        {"what", entry.m_what},
                        {"model", entry.m_model},
                        {"adapter", entry.m_adapter}});
    return {{"runs", runs},
            {"book", book},
            {"overcommits", engine.m_overcommits},
            {"fenced_off", engine.m_fencedOrders},
            {"cancelled", engine.m_cancelled}};
}

std::string tokenEvent(const std::string &request, int index, const std::string &model)
{
    std::ostringstream event;
    event << "event: token\nid: " << request << "/" << index << "\ndata: {\"text\":\"" << model
          << "-" << index << " \"}\n\n";
    return event.str();
}

/// Injects a fault in the middle of a stream, before the token with this index. Returns true if the
/// response was aborted.
asio::awaitable<bool> injectStreamFault(Engine &engine, HttpExchange &exchange, int index)
{
    const bool due = index == engine.m_fault.m_afterTokens;
    if (due && consumeFault(engine.m_fault, "cut")) {
        abortResponse(exchange);
        co_return true;
    }
    if (due && consumeFault(engine.m_fault, "stall"))
        co_await pause(engine.m_fault.m_time);
    co_return false;
}

/// Streams the tokens from Resume-From on, 0 if the field is absent. With the fault "cross" the
/// response carries the id of the previous request, as if it had reached the wrong caller.
asio::awaitable<void> streamTokens(Engine &engine, HttpExchange &exchange, const std::string &model,
                                   const std::string &request)
{
    const json::value body = json::parse(exchange.m_request.m_body);
    const json::object empty;
    const json::object &parameters = body.is_object() ? body.as_object() : empty;
    const int tokens
        = parameters.contains("max_tokens") ? parameters.at("max_tokens").to_number<int>() : 8;
    const int first = toInt(fieldOf(exchange.m_request.m_fields, "Resume-From"), 0);
    std::string responseId = request;
    if (consumeFault(engine.m_fault, "cross") && !engine.m_lastRequestId.empty())
        responseId = engine.m_lastRequestId;
    engine.m_lastRequestId = request;
    const HttpHead head
        = {200, {{"Content-Type", "text/event-stream"}, {"Request-Id", responseId}}};
    if (!co_await beginStream(exchange, head))
        co_return;
    for (int i = first; i < tokens; ++i) {
        if (co_await injectStreamFault(engine, exchange, i))
            co_return;
        co_await pause(engine.m_tokenTime);
        if (exchange.m_callerDisconnected) {
            ++engine.m_cancelled;
            co_return;
        }
        if (!co_await writeChunk(exchange, tokenEvent(responseId, i, model)))
            co_return;
    }
    co_await writeChunk(exchange,
                        "event: done\nid: " + responseId + "/" + std::to_string(tokens)
                            + "\ndata: {\"tokens\":" + std::to_string(tokens) + "}\n\n");
    co_await endStream(exchange);
}

HttpResponse notLoadedResponse(const std::string &request)
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
        const HttpResponse refusal = notLoadedResponse(request);
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

/// Copies the counts of running requests into the report periodically, so that the reported counts
/// lag behind, as those of real engines do.
asio::awaitable<void> refreshReport(Engine &engine)
{
    while (true) {
        for (Loaded &loaded : engine.m_loaded)
            loaded.m_runningInReport = loaded.m_running;
        co_await pause(engine.m_reportLag);
    }
}

/// Requests that need no coroutine: the report, and the control paths under /standin.
HttpResponse handleSimpleRequest(Engine &engine, const std::string &target)
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
        co_await handleOrder(engine, exchange);
    } else {
        const HttpResponse response = handleSimpleRequest(engine, target);
        co_await sendResponse(exchange, response);
    }
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-engine", "Stand-in for a model engine");
    options.add_options()("listen", "address to listen on, IP:PORT", cxxopts::value<std::string>())(
        "name", "server name", cxxopts::value<std::string>())(
        "accelerators-mb", "memory of each accelerator, MiB",
        cxxopts::value<std::vector<std::int64_t>>())("checks-fence",
                                                     "refuse orders with an old fencing token")(
        "load-ms", "time to load a model at full speed",
        cxxopts::value<int>()->default_value("300"))("token-ms", "time before each token",
                                                     cxxopts::value<int>()->default_value("5"))(
        "report-lag-ms", "time between refreshes of the reported request counts",
        cxxopts::value<int>()->default_value("200"))(
        "store", "address of the weight store, IP:PORT", cxxopts::value<std::string>());
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
