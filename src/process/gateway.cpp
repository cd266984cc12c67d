// Starting and stopping a gateway.
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/asio.hpp>
#include <cmath>

namespace apricot {

namespace {

constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr Millis rateTime = {2'000};     // over which request rates decay
constexpr double leastRate = 0.02;       // requests a second; below it a model isn't asked for
constexpr Millis stopSlack = {900};      // a stop ends this much before it has to
constexpr Millis lastAnswers = {300};    // to tell those who still wait, before the end
constexpr Millis stopLook = {40};        // between looks whether all is answered
constexpr std::int64_t addressLives = 3; // callers may keep an address so many times too long
constexpr Millis storeDeadAfter = {1'200};
constexpr Millis serverDeadAfter = {1'500};
constexpr Millis serverIdle = {4'000};

asio::awaitable<void> answerDirectory(Gateway &gateway, HttpExchange &exchange)
{
    const auto ask = gateway.m_protocol->readAddressAsk(exchange.m_request);
    if (!ask) {
        HttpResponse response;
        response.m_head.m_status = 404;
        co_await sendWhole(exchange, response);
        co_return;
    }
    const auto addresses = callerAddresses(gateway);
    co_await sendWhole(
        exchange, gateway.m_protocol->writeAddresses(addresses, gateway.m_settings.m_addressKeep));
}

asio::awaitable<void> answerReady(Gateway &gateway, HttpExchange &exchange)
{
    HttpResponse response;
    response.m_head.m_status = 404;
    if (gateway.m_protocol->isReadyAsk(exchange.m_request))
        response.m_head.m_status = isReady(gateway) ? 200 : 503;
    co_await sendWhole(exchange, response);
}

asio::awaitable<void> answerMetrics(Gateway &gateway, HttpExchange &exchange)
{
    HttpResponse response;
    response.m_head.m_status = 404;
    if (exchange.m_request.m_target == "/metrics") {
        response.m_head.m_status = 200;
        addField(response.m_head.m_fields, "Content-Type", "text/plain; version=0.0.4");
        response.m_body = renderMetrics(gateway.m_metrics);
    }
    co_await sendWhole(exchange, response);
}

HttpResponse refuseMalformed(const Failure &failure)
{
    HttpResponse response;
    response.m_head.m_status = answerFor(failure.m_kind).m_status;
    response.m_body = failure.m_detail + "\n";
    logWarning("malformed_request", {{"why", failure.m_detail}});
    return response;
}

using Handler = asio::awaitable<void> (*)(Gateway &, HttpExchange &);

std::optional<Failure> listenOn(Gateway &gateway, const Endpoint &endpoint, Handler handler,
                                std::shared_ptr<const HttpServerOptions> options,
                                std::shared_ptr<TcpListener> &listener)
{
    auto opened = listenHttp(
        {&gateway.m_io}, endpoint,
        [&gateway, handler](HttpExchange &exchange) { return handler(gateway, exchange); },
        std::move(options));
    if (!ok(opened))
        return std::get<Failure>(opened);
    listener = std::get<std::shared_ptr<TcpListener>>(opened);
    return std::nullopt;
}

std::optional<Failure> bindUdp(Gateway &gateway)
{
    using udp = asio::ip::udp;
    const Endpoint &at = gateway.m_settings.m_peer;
    boost::system::error_code error;
    gateway.m_udp = std::make_unique<udp::socket>(gateway.m_io);
    gateway.m_udp->open(udp::v4(), error);
    if (!error)
        gateway.m_udp->bind({asio::ip::make_address(at.m_ip), at.m_port}, error);
    if (!error)
        gateway.m_udp->non_blocking(true, error);
    if (error)
        return makeFailure(ErrorKind::Internal,
                           "can't bind " + toText(at) + ": " + error.message());
    return std::nullopt;
}

asio::awaitable<void> guard(const char *name, asio::awaitable<void> work)
{
    try {
        co_await std::move(work);
    } catch (const std::exception &error) {
        logWarning("task_failed", {{"task", name}, {"why", error.what()}});
    }
}

} // namespace

asio::awaitable<bool> sleepUntilWoken(Sleeper &sleeper, Millis atMost)
{
    if (!sleeper.m_woken) {
        sleeper.m_timer.expires_after(toChrono(atMost));
        co_await sleeper.m_timer.async_wait(useAwaitable);
    }
    const bool woken = sleeper.m_woken;
    sleeper.m_woken = false;
    co_return woken;
}

void wake(Sleeper &sleeper)
{
    sleeper.m_woken = true;
    sleeper.m_timer.cancel();
}

double decayedRate(const Want &want, Millis time)
{
    const double age = static_cast<double>((time - want.m_rateAt).m_count) / rateTime.m_count;
    return want.m_rate * std::exp(-age);
}

void noteArrival(Want &want, Millis time)
{
    constexpr double msPerSecond = 1'000;
    want.m_rate = decayedRate(want, time) + msPerSecond / rateTime.m_count;
    want.m_rateAt = time;
}

ModelDemand demandOf(const WantKey &key, const Want &want, Millis time)
{
    ModelDemand demand;
    demand.m_model = key.m_model;
    demand.m_adapter = key.m_adapter;
    for (const WaitingCall &call : want.m_calls)
        addWaiting(demand, time - call.m_since, call.m_target);
    demand.m_rate = decayedRate(want, time);
    demand.m_running = want.m_running;
    return demand;
}

bool isIdle(const Want &want, Millis time)
{
    return want.m_calls.empty() && want.m_running == 0 && decayedRate(want, time) < leastRate;
}

std::unique_ptr<Gateway> makeGateway(const GatewaySettings &settings, std::string settingsPath,
                                     const Protocol &protocol)
{
    auto gateway = std::make_unique<Gateway>();
    gateway->m_settings = settings;
    gateway->m_settingsPath = std::move(settingsPath);
    gateway->m_protocol = &protocol;
    gateway->m_metrics = makeMetrics();
    gateway->m_random.seed(std::random_device()());
    gateway->m_run = toHex(gateway->m_random());
    gateway->m_store.m_io = &gateway->m_io;
    gateway->m_store.m_deadAfter = storeDeadAfter;
    gateway->m_servers.m_io = &gateway->m_io;
    gateway->m_servers.m_deadAfter = serverDeadAfter;
    gateway->m_servers.m_idleTime = serverIdle;
    gateway->m_callerOptions = std::make_shared<HttpServerOptions>();
    gateway->m_callerOptions->m_refuse = refuseMalformed;
    gateway->m_leaseTiming.m_turn = settings.m_leaseTurn;
    gateway->m_listNow = std::make_unique<Sleeper>(gateway->m_io);
    gateway->m_tellNow = std::make_unique<Sleeper>(gateway->m_io);
    gateway->m_planNow = std::make_unique<Sleeper>(gateway->m_io);
    gateway->m_leaseNow = std::make_unique<Sleeper>(gateway->m_io);
    return gateway;
}

std::optional<Failure> startGateway(Gateway &gateway)
{
    const GatewaySettings &settings = gateway.m_settings;
    auto plain = std::make_shared<HttpServerOptions>();
    plain->m_refuse = refuseMalformed;
    auto failure = listenOn(gateway, settings.m_caller, relayCall, gateway.m_callerOptions,
                            gateway.m_callers);
    if (!failure)
        failure
            = listenOn(gateway, settings.m_directory, answerDirectory, plain, gateway.m_directory);
    if (!failure)
        failure = listenOn(gateway, settings.m_ready, answerReady, plain, gateway.m_ready);
    if (!failure && settings.m_metrics.m_port != 0)
        failure
            = listenOn(gateway, settings.m_metrics, answerMetrics, plain, gateway.m_metricsPort);
    if (!failure)
        failure = bindUdp(gateway);
    if (failure)
        return failure;
    begin(gateway, "configuration", followObjects(gateway, ObjectKind::Configuration));
    begin(gateway, "servers", followServers(gateway));
    begin(gateway, "audit", auditStore(gateway));
    begin(gateway, "register", registerHost(gateway));
    begin(gateway, "hosts", followObjects(gateway, ObjectKind::Hosts));
    begin(gateway, "clear", clearRegister(gateway));
    begin(gateway, "hear", hearBeats(gateway));
    begin(gateway, "beat", sendBeats(gateway));
    begin(gateway, "tell", tellHolder(gateway));
    begin(gateway, "lease", keepLease(gateway));
    begin(gateway, "placement", runPlacement(gateway));
    logEvent("started", {{"run", gateway.m_run}, {"caller", toText(settings.m_caller)}});
    return std::nullopt;
}

Millis stopBy(const Gateway &gateway)
{
    return gateway.m_stopBegan + gateway.m_settings.m_stopWithin - stopSlack;
}

Millis lastWaitAt(const Gateway &gateway)
{
    return stopBy(gateway) - lastAnswers;
}

asio::awaitable<void> stopGateway(Gateway &gateway)
{
    if (gateway.m_stopping)
        co_return;
    gateway.m_stopping = true;
    gateway.m_stopBegan = now(gateway);
    logEvent("stopping", {{"in_flight", std::to_string(gateway.m_inFlight)}});
    beatNow(gateway);
    begin(gateway, "release", releaseLease(gateway));
    begin(gateway, "unregister", unregisterHost(gateway));
    const Millis callersGone
        = gateway.m_stopBegan + gateway.m_settings.m_addressKeep * addressLives;
    bool told = false; // those who wait, that they can't any longer
    while (now(gateway) < stopBy(gateway)) {
        if (!told && now(gateway) >= lastWaitAt(gateway)) {
            told = true;
            wakeWaiting(gateway);
        }
        const bool idle = gateway.m_inFlight == 0 && gateway.m_lease.m_fence == 0;
        if (now(gateway) >= callersGone && idle)
            break;
        co_await pauseFor(gateway, stopLook);
    }
    logEvent("stopped", {{"in_flight", std::to_string(gateway.m_inFlight)}});
    gateway.m_io.stop();
}

void reloadSettings(Gateway &gateway)
{
    const auto read = readGatewaySettings(gateway.m_settingsPath);
    if (!std::holds_alternative<GatewaySettings>(read)) {
        for (const FileFault &fault : std::get<std::vector<FileFault>>(read))
            logWarning("reload_refused", {{"why", toText(fault)}});
        return;
    }
    // Addresses and names hold for the life of the process.
    const auto &fresh = std::get<GatewaySettings>(read);
    gateway.m_settings.m_retryRatio = fresh.m_retryRatio;
    gateway.m_settings.m_retrySlack = fresh.m_retrySlack;
    gateway.m_settings.m_retryWindow = fresh.m_retryWindow;
    gateway.m_settings.m_addressKeep = fresh.m_addressKeep;
    gateway.m_settings.m_stopWithin = fresh.m_stopWithin;
    logEvent("reloaded", {});
}

Millis now(const Gateway &gateway)
{
    return now(gateway.m_clock);
}

bool isReady(const Gateway &gateway)
{
    return gateway.m_routes && gateway.m_rosterKnown && !gateway.m_stopping;
}

void begin(Gateway &gateway, const char *name, asio::awaitable<void> work)
{
    asio::co_spawn(gateway.m_io, guard(name, std::move(work)), asio::detached);
}

asio::awaitable<void> pauseFor(Gateway &gateway, Millis time)
{
    asio::steady_timer timer(gateway.m_io, toChrono(time));
    co_await timer.async_wait(useAwaitable);
}

asio::awaitable<void> backOff(Gateway &gateway, Millis &pause, Millis longest)
{
    co_await pauseFor(gateway, jittered(gateway, pause));
    pause = std::min(pause * 2, longest);
}

Millis jittered(Gateway &gateway, Millis time)
{
    std::uniform_int_distribution<std::int64_t> draw(time.m_count / 2, time.m_count * 3 / 2);
    return {draw(gateway.m_random)};
}

} // namespace apricot
