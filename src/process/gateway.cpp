// Starts, stops and reconfigures a gateway, and answers address, readiness and metrics requests.
// Also contains the calculation of request rates and the helpers for coroutines.
#include "process/accountgate.h"
#include "process/log.h"

#include <boost/asio.hpp>
#include <cmath>

namespace apricot {

namespace {

constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr Millis rateDecayTime = {2'000}; // time constant of the exponential decay of rates
constexpr double minDemandRate = 0.02;    // requests per second; less counts as no demand
/// A planned stop is finished this long before its time limit.
constexpr Millis stopSafetyMargin = {900};
constexpr Millis stopPollInterval = {40};
/// Callers may keep using an address for this many times the lifetime that they were given with it.
constexpr std::int64_t addressLifetimesOnStop = 3;
/// A connection is closed if sent data stays unacknowledged for longer than this.
constexpr Millis storeAckTimeout = {1'200};
constexpr Millis serverAckTimeout = {1'500};
constexpr Millis serverConnectionIdleTime = {4'000};
constexpr Millis distantFuture = {std::numeric_limits<std::int64_t>::max() / 2};

/// Answers an address request with the addresses of the hosts that serve callers.
asio::awaitable<void> answerDirectory(Gateway &gateway, HttpExchange &exchange)
{
    const auto query = gateway.m_protocol->readAddressRequest(exchange.m_request);
    if (!query) {
        HttpResponse response;
        response.m_head.m_status = 404;
        co_await sendResponse(exchange, response);
        co_return;
    }
    const auto addresses = callerAddresses(gateway);
    co_await sendResponse(
        exchange,
        gateway.m_protocol->writeAddresses(addresses, gateway.m_settings.m_addressLifetime));
}

asio::awaitable<void> answerReady(Gateway &gateway, HttpExchange &exchange)
{
    HttpResponse response;
    response.m_head.m_status = 404;
    if (gateway.m_protocol->isReadinessRequest(exchange.m_request))
        response.m_head.m_status = isReady(gateway) ? 200 : 503;
    co_await sendResponse(exchange, response);
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
    co_await sendResponse(exchange, response);
}

HttpResponse refuseMalformed(const Failure &failure)
{
    HttpResponse response;
    response.m_head.m_status = errorResponseFor(failure.m_kind).m_status;
    response.m_body = failure.m_detail + "\n";
    if (errorResponseFor(failure.m_kind).m_sendsRetryAfter)
        addField(response.m_head.m_fields, "Retry-After", "1");
    if (failure.m_kind != ErrorKind::Overloaded) // those are summed up in `clients_closed`
        logWarning("malformed_request", {{"why", failure.m_detail}});
    return response;
}

/// Bytes of answers that may be held at the same time: the usual limit, or less on a small machine.
std::size_t answerBytesOf(const MachineLimits &machine, const BodyBudget &usual)
{
    constexpr double bytesPerMb = 1'000'000;
    constexpr double answerShare = 0.2; // of the machine's memory
    if (machine.m_memoryMb <= 0)
        return usual.m_limit;
    return std::min(usual.m_limit,
                    static_cast<std::size_t>(machine.m_memoryMb * bytesPerMb * answerShare));
}

std::shared_ptr<AdmissionControl> makeAdmission(const GatewaySettings &settings)
{
    auto admission = std::make_shared<AdmissionControl>();
    admission->m_table.m_limits = admissionLimitsOf(settings.m_machine);
    return admission;
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
    const Endpoint &endpoint = gateway.m_settings.m_peer;
    boost::system::error_code error;
    gateway.m_udp = std::make_unique<udp::socket>(gateway.m_io);
    gateway.m_udp->open(udp::v4(), error);
    if (!error)
        gateway.m_udp->bind({asio::ip::make_address(endpoint.m_ip), endpoint.m_port}, error);
    if (!error)
        gateway.m_udp->non_blocking(true, error);
    if (error)
        return makeFailure(ErrorKind::Internal,
                           "can't bind UDP socket to " + toText(endpoint) + ": " + error.message());
    return std::nullopt;
}

/// Removes this host's record of streams at the end of a planned stop, since the host may never
/// return. While a service has several versions the record stays: its streams may be taken up.
asio::awaitable<void> removeOwnRecord(Gateway &gateway)
{
    bool severalVersions = false;
    for (const auto &[service, versions] : gateway.m_serviceVersions.m_listedAt)
        severalVersions |= hasSeveralVersions(gateway.m_serviceVersions, service);
    if (!severalVersions)
        co_await removeOriginRecord(gateway, gateway.m_settings.m_host);
    gateway.m_originRecord.m_removed = true;
}

/// Whether requests were read, of callers or of other hosts, whose answers aren't complete.
bool hasOpenRequests(const Gateway &gateway)
{
    return gateway.m_callers->m_openRequests > 0 || gateway.m_hostPort->m_openRequests > 0;
}

/// Serves callers until a planned stop may end. Until callers know other addresses, and while a
/// request is open or there is something to do in the store, it goes on, up to the time limit. The
/// caller must end the process without waiting for anything: a request may arrive at any time.
asio::awaitable<void> serveUntilStopEnds(Gateway &gateway)
{
    const Millis noNewCallersAt
        = gateway.m_stopStartedAt + gateway.m_settings.m_addressLifetime * addressLifetimesOnStop;
    bool removing = false;
    while (now(gateway) < stopDeadline(gateway)) {
        if (now(gateway) >= noNewCallersAt && !std::exchange(removing, true))
            begin(gateway, "remove_own_record", removeOwnRecord(gateway));
        const bool storeDone
            = gateway.m_originRecord.m_removed && gateway.m_lease.m_fencingToken == 0;
        if (storeDone && !hasOpenRequests(gateway))
            break;
        co_await pauseFor(gateway, stopPollInterval);
    }
}

asio::awaitable<void> logExceptions(const char *name, asio::awaitable<void> work)
{
    try {
        co_await std::move(work);
    } catch (const std::exception &error) {
        logWarning("task_failed", {{"task", name}, {"why", error.what()}});
    }
}

} // namespace

asio::awaitable<bool> sleepUntilWoken(WakeableTimer &timer, Millis atMost)
{
    if (!timer.m_woken) {
        timer.m_timer.expires_after(toChrono(atMost));
        co_await timer.m_timer.async_wait(useAwaitable);
    }
    const bool woken = timer.m_woken;
    timer.m_woken = false;
    co_return woken;
}

void wake(WakeableTimer &timer)
{
    timer.m_woken = true;
    timer.m_timer.cancel();
}

double decayedRate(const LocalDemand &demand, Millis time)
{
    const double age
        = static_cast<double>((time - demand.m_rateUpdatedAt).m_count) / rateDecayTime.m_count;
    return demand.m_rate * std::exp(-age);
}

void recordArrival(LocalDemand &demand, Millis time)
{
    constexpr double msPerSecond = 1'000;
    demand.m_rate = decayedRate(demand, time) + msPerSecond / rateDecayTime.m_count;
    demand.m_rateUpdatedAt = time;
}

ModelDemand demandOf(const ModelDemandKey &key, const LocalDemand &demand, Millis time)
{
    ModelDemand modelDemand;
    modelDemand.m_model = key.m_model;
    modelDemand.m_adapter = key.m_adapter;
    for (const WaitingCall &call : demand.m_waitingCalls) {
        addWaitingRequest(modelDemand, time - call.m_arrivedAt, call.m_target);
        if (call.m_software)
            modelDemand.m_waitingFor[*call.m_software] += 1;
    }
    modelDemand.m_rate = decayedRate(demand, time);
    modelDemand.m_running = demand.m_running;
    return modelDemand;
}

bool isIdle(const LocalDemand &demand, Millis time)
{
    return demand.m_waitingCalls.empty() && demand.m_running == 0
        && decayedRate(demand, time) < minDemandRate;
}

HttpPool makeConnectionPool(Gateway &gateway)
{
    HttpPool pool;
    pool.m_io = &gateway.m_io;
    pool.m_ackTimeout = serverAckTimeout;
    pool.m_maxIdleTime = serverConnectionIdleTime;
    return pool;
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
    gateway->m_store.m_ackTimeout = storeAckTimeout;
    gateway->m_servers = makeConnectionPool(*gateway);
    gateway->m_hosts = makeConnectionPool(*gateway);
    gateway->m_callerOptions = std::make_shared<HttpServerOptions>();
    gateway->m_callerOptions->m_makeErrorResponse = refuseMalformed;
    gateway->m_hostOptions = std::make_shared<HttpServerOptions>(*gateway->m_callerOptions);
    gateway->m_hostOptions->m_admission = makeAdmission(settings);
    gateway->m_admission = makeAdmission(settings);
    gateway->m_callerOptions->m_admission = gateway->m_admission;
    gateway->m_answerBytes.m_limit = answerBytesOf(settings.m_machine, gateway->m_answerBytes);
    gateway->m_accounts = makeAccountGate(gateway->m_io, gateway->m_random());
    gateway->m_leaseTiming.m_handoverDelay = settings.m_leaseHandoverDelay;
    gateway->m_originRecord.m_trigger = std::make_unique<WakeableTimer>(gateway->m_io);
    gateway->m_listTrigger = std::make_unique<WakeableTimer>(gateway->m_io);
    gateway->m_demandReportTrigger = std::make_unique<WakeableTimer>(gateway->m_io);
    gateway->m_statusTrigger = std::make_unique<WakeableTimer>(gateway->m_io);
    gateway->m_planTrigger = std::make_unique<WakeableTimer>(gateway->m_io);
    gateway->m_leaseTrigger = std::make_unique<WakeableTimer>(gateway->m_io);
    return gateway;
}

std::optional<Failure> startGateway(Gateway &gateway)
{
    const GatewaySettings &settings = gateway.m_settings;
    auto plain = std::make_shared<HttpServerOptions>();
    plain->m_makeErrorResponse = refuseMalformed;
    plain->m_bodyLimit = plain->m_headLimit; // none of their requests needs a body
    auto directory = std::make_shared<HttpServerOptions>(*plain);
    directory->m_admission = gateway.m_admission;
    plain->m_admission = makeAdmission(settings); // callers don't close the platform's connections
    auto failure = listenOn(gateway, settings.m_caller, relayCall, gateway.m_callerOptions,
                            gateway.m_callers);
    if (!failure)
        failure = listenOn(gateway, settings.m_directory, answerDirectory, directory,
                           gateway.m_directory);
    if (!failure)
        failure = listenOn(gateway, settings.m_ready, answerReady, plain, gateway.m_ready);
    if (!failure && settings.m_metrics.m_port != 0)
        failure
            = listenOn(gateway, settings.m_metrics, answerMetrics, plain, gateway.m_metricsPort);
    if (!failure)
        failure = listenOn(gateway, settings.m_peer, relayForwardedCall, gateway.m_hostOptions,
                           gateway.m_hostPort);
    if (!failure)
        failure = bindUdp(gateway);
    if (failure)
        return failure;
    gateway.m_startedAt = now(gateway);
    holdBackForVersions(gateway);
    gateway.m_permits.m_standing.m_givesFrom = distantFuture; // until the register was read
    begin(gateway, "configuration", syncObjects(gateway, ObjectKind::Configuration));
    begin(gateway, "servers", syncServers(gateway));
    begin(gateway, "resynchronize", resyncStore(gateway));
    begin(gateway, "register", registerHost(gateway));
    begin(gateway, "hosts", syncObjects(gateway, ObjectKind::Hosts));
    begin(gateway, "origin_record", keepOriginRecord(gateway));
    begin(gateway, "remove_silent_hosts", removeSilentHosts(gateway));
    begin(gateway, "receive_heartbeats", receiveHeartbeats(gateway));
    begin(gateway, "send_heartbeats", sendHeartbeats(gateway));
    begin(gateway, "report_demand", reportDemandToHolder(gateway));
    begin(gateway, "status_updates", sendStatusUpdates(gateway));
    begin(gateway, "lease", maintainLease(gateway));
    begin(gateway, "placement", runPlacement(gateway));
    begin(gateway, "confirm_keys", keepKeysConfirmed(gateway));
    begin(gateway, "server_paths", watchServerPaths(gateway));
    begin(gateway, "watch_loop", watchLoop(gateway));
    begin(gateway, "watch_peer_traffic", watchPeerTraffic(gateway));
    logEvent("started", {{"run", gateway.m_run}, {"caller", toText(settings.m_caller)}});
    return std::nullopt;
}

Millis stopDeadline(const Gateway &gateway)
{
    return gateway.m_stopStartedAt + gateway.m_settings.m_stopTimeLimit - stopSafetyMargin;
}

asio::awaitable<void> stopGateway(Gateway &gateway)
{
    if (gateway.m_stopping)
        co_return;
    gateway.m_stopping = true;
    gateway.m_stopStartedAt = now(gateway);
    logEvent("stopping", {{"in_flight", std::to_string(gateway.m_relays.size())}});
    broadcastHeartbeat(gateway);
    begin(gateway, "release", releaseLease(gateway));
    begin(gateway, "unregister", unregisterHost(gateway));
    wakeWaiting(gateway); // requests that wait for a model may have to end their wait earlier now
    co_await serveUntilStopEnds(gateway);
    logEvent("stopped", {{"in_flight", std::to_string(gateway.m_relays.size())}});
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
    // Addresses, names and the lease handover delay take effect only at the next start.
    const auto &reloaded = std::get<GatewaySettings>(read);
    gateway.m_settings.m_retryRatio = reloaded.m_retryRatio;
    gateway.m_settings.m_retrySlack = reloaded.m_retrySlack;
    gateway.m_settings.m_retryWindow = reloaded.m_retryWindow;
    gateway.m_settings.m_addressLifetime = reloaded.m_addressLifetime;
    gateway.m_settings.m_stopTimeLimit = reloaded.m_stopTimeLimit;
    gateway.m_settings.m_keyCheckWithin = reloaded.m_keyCheckWithin;
    gateway.m_settings.m_accountSlack = reloaded.m_accountSlack;
    logEvent("reloaded", {});
}

void reportAdmission(Gateway &gateway)
{
    const AdmissionTable &table = gateway.m_admission->m_table;
    setAdmission(gateway.m_metrics, table);
    const std::uint64_t count = table.m_refused + table.m_closed;
    if (count == std::exchange(gateway.m_admissionLogged, count))
        return;
    logWarning("clients_closed",
               {{"refused", std::to_string(table.m_refused)},
                {"closed", std::to_string(table.m_closed)},
                {"bytes", std::to_string(table.m_bytes)},
                {"connections", std::to_string(table.m_connections.size())}});
}

Millis now(const Gateway &gateway)
{
    return now(gateway.m_clock);
}

bool isReady(const Gateway &gateway)
{
    return gateway.m_routes && gateway.m_serverTableLoaded && !isHeldBackByVersions(gateway)
        && !gateway.m_stopping;
}

void begin(Gateway &gateway, const char *name, asio::awaitable<void> work)
{
    asio::co_spawn(gateway.m_io, logExceptions(name, std::move(work)), asio::detached);
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
