// Selection of a server for a request, or of another host if this one reaches none of the servers.
// If no server has the model, the request waits until it is loaded, and counts as demand meanwhile.
#include "request/relay.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis retryPause = {40};          // ms before servers that refused are tried again
constexpr Millis expectedSwapTime = {1'500}; // ms to make room for a model and load it from disk
/// Waits of one request for a permit. Others wait too, so the next permit may go to one of them.
constexpr int maxPermitWaits = 2;
constexpr int maxPermitAsks = 3;              // of one request without a wait; bounds the messages
constexpr Millis retryElsewhereAfter = {100}; // another host can take the request at once

ChoiceInput choiceInput(const Relay &relay)
{
    ChoiceInput input;
    input.m_service = relay.m_service;
    input.m_model = relay.m_metadata.m_model;
    input.m_adapter = relay.m_metadata.m_adapter;
    input.m_affinity = relay.m_metadata.m_sharedPrompt;
    if (relay.m_permitAsks > 0) // spreads requests over servers that may have permits left
        input.m_affinity = relay.m_metadata.m_id;
    input.m_localDataCentre = relay.m_gateway->m_settings.m_dataCentre;
    input.m_triedServers = relay.m_triedServers;
    input.m_software = relay.m_software;
    return input;
}

/// Retry-After for a request that needs a load while no host may order one: the time until the
/// lease can be taken over and a swap is complete.
Millis timeUntilOrders(const Gateway &gateway)
{
    const Millis at = takeoverAllowedAt(gateway.m_lease, gateway.m_leaseTiming, {});
    return std::max(at - now(gateway), Millis{0}) + expectedSwapTime;
}

/// Waits until a change may have made the model available, or the time limit is reached. Waiting
/// requests are reported to the lease holder as demand, the first one without delay.
asio::awaitable<void> waitForModel(Relay &relay, Millis atMost)
{
    Gateway &gateway = *relay.m_gateway;
    WakeableTimer timer(gateway.m_io);
    const ModelDemandKey key = modelDemandKeyOf(relay);
    LocalDemand &demand = gateway.m_modelDemands[key];
    const auto call = demand.m_waitingCalls.insert(
        demand.m_waitingCalls.end(),
        {&timer, relay.m_arrived, relay.m_route->m_target, relay.m_software});
    relay.m_wakeTimer = &timer;
    if (demand.m_waitingCalls.size() == 1)
        reportNewDemand(gateway, key);
    const Millis began = now(gateway);
    co_await sleepUntilWoken(timer, atMost);
    relay.m_modelWaitTime = relay.m_modelWaitTime + (now(gateway) - began);
    relay.m_wakeTimer = nullptr;
    demand.m_waitingCalls.erase(call);
}

/// Latest time at which this host, which is stopping, may still send the request.
Millis lastSendBeforeStop(const Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    const RunTimes &times = gateway.m_runTimes[relay.m_route->m_name];
    const PlannedStop stop = {gateway.m_stopStartedAt, stopDeadline(gateway)};
    return lastSendBeforeStop(stop, relay.m_arrived, relay.m_deadline,
                              longestRunTime(times, remainingTime(relay), now(gateway)));
}

/// Whether a stopping host has to refuse the request. One that may have been executed is carried on
/// with, since its caller may not be able to repeat it.
bool tooLateBeforeStop(const Relay &relay)
{
    const Gateway &gateway = *relay.m_gateway;
    return gateway.m_stopping && relay.m_runs == 0 && now(gateway) > lastSendBeforeStop(relay);
}

/// Whether the chosen server named a limit for the requests of all hosts.
bool isLimited(const Relay &relay)
{
    const KnownServer *known = knownServer(relay.m_gateway->m_serverTable, relay.m_choice.m_server);
    return known && known->m_said.m_limit;
}

/// Whether all servers that could execute the request want a pause. It isn't held back for that.
bool onlyPausesAreLeft(const Relay &relay)
{
    const auto isGoneOrPaused = [&](const InstanceId &id) {
        const KnownServer *known = knownServer(relay.m_gateway->m_serverTable, id);
        return !known || isPaused(*known, relay.m_chosenAt);
    };
    return relay.m_choice.m_pauseEnd && relay.m_runs == 0
        && std::all_of(relay.m_refusedBy.begin(), relay.m_refusedBy.end(), isGoneOrPaused);
}

/// Time until which the request may wait for its model. A stopping host ends the wait early enough
/// to still have the request executed.
Millis modelWaitEnd(const Relay &relay)
{
    const Gateway &gateway = *relay.m_gateway;
    const Millis allowed = relay.m_deadline - relay.m_arrived;
    const Millis limit = relay.m_arrived + maxModelWait(*relay.m_route, allowed);
    return gateway.m_stopping ? std::min(limit, lastSendBeforeStop(relay)) : limit;
}

Destination toServer(const InstanceId &server)
{
    Destination destination;
    destination.m_server = server;
    return destination;
}

Destination toHost(const HostName &host)
{
    Destination destination;
    destination.m_host = host;
    return destination;
}

/// Whether the request can't be sent to a server from here, but perhaps from another host: none of
/// the servers that could execute it is reached, or which version began its stream is known only
/// there.
bool needsOtherHost(const Relay &relay)
{
    if (relay.m_streamBegunElsewhere)
        return true;
    return relay.m_choice.m_server.m_text.empty() && relay.m_choice.m_cutOff > 0;
}

} // namespace

ModelDemandKey modelDemandKeyOf(const Relay &relay)
{
    return {relay.m_service, relay.m_metadata.m_model, relay.m_metadata.m_adapter};
}

bool modelPublished(const Relay &relay)
{
    const EngineLimits *engine = engineOf(*relay.m_routes, relay.m_service);
    return engine && engine->m_models.contains(relay.m_metadata.m_model);
}

bool holdsModelOf(const Relay &relay, const KnownServer &known)
{
    const RequestMetadata &metadata = relay.m_metadata;
    return metadata.m_model.m_text.empty()
        || holdsModel(latestStatus(known), metadata.m_model, metadata.m_adapter);
}

namespace {

/// The refusal of a request that must not be sent now, whatever server could execute it.
std::optional<Failure> refusalBeforeChoice(const Relay &relay)
{
    if (tooLateBeforeStop(relay))
        return makeFailure(ErrorKind::Stopping, "the answer would not end before the stop",
                           retryElsewhereAfter);
    if (auto refusal = versionRefusal(relay))
        return refusal;
    return quarantineRefusal(*relay.m_gateway, relay.m_causes);
}

/// Another host for a request that this one can't send. If no host is left, chooses once more among
/// the servers, also those that none of the hosts asked reaches, and returns nothing.
std::optional<Result<Destination>> chooseOtherHost(Relay &relay)
{
    if (!relay.m_forwardedBy.m_text.empty())
        return makeFailure(ErrorKind::ReachedElsewhere,
                           "this host doesn't reach the servers either");
    if (const auto host = chooseForwardHost(relay))
        return toHost(*host);
    recordDownEverywhere(relay);
    if (relay.m_streamBegunElsewhere)
        return makeFailure(ErrorKind::NoBackendServer,
                           "no other host is left to continue the stream");
    ChoiceInput input = choiceInput(relay);
    input.m_alsoCutOff = relay.m_hostsWithoutPath == 0;
    relay.m_choice = chooseServer(relay.m_gateway->m_serverTable, input, relay.m_chosenAt);
    return std::nullopt;
}

/// Chooses a server with what this host knows now, and notes how old that is.
std::optional<Result<Destination>> chooseNow(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    relay.m_chosenAt = now(gateway);
    relay.m_choice = chooseServer(gateway.m_serverTable, choiceInput(relay), relay.m_chosenAt);
    if (needsOtherHost(relay)) {
        if (auto elsewhere = chooseOtherHost(relay))
            return elsewhere;
    }
    countRequest(relay);
    relay.m_serverTableRevision = gateway.m_serverTable.m_revision;
    relay.m_serverTableAge = relay.m_chosenAt - gateway.m_serverTable.m_confirmedAt;
    if (!relay.m_choice.m_server.m_text.empty() && !isLimited(relay))
        return toServer(relay.m_choice.m_server);
    return std::nullopt;
}

/// Asks for a permit to send the request to the chosen server, which named a limit, or waits until
/// one may be given. Returns nothing if a server has to be chosen again.
asio::awaitable<std::optional<Result<Destination>>> awaitPermit(Relay &relay, Millis waitEnd)
{
    Gateway &gateway = *relay.m_gateway;
    const bool chosen = !relay.m_choice.m_server.m_text.empty();
    if (chosen && relay.m_permitAsks < maxPermitAsks) {
        relay.m_permitAsks += 1;
        if (co_await requestPermit(gateway, relay.m_choice.m_server))
            co_return toServer(relay.m_choice.m_server);
        co_return std::nullopt;
    }
    const Millis permitAt = relay.m_choice.m_permitAt.value_or(relay.m_chosenAt + retryPause);
    const Millis wait = std::max(permitAt - now(gateway), Millis{1});
    if (relay.m_permitWaits == maxPermitWaits || now(gateway) + wait >= waitEnd)
        co_return makeFailure(ErrorKind::NoCapacity,
                              "the servers are at the limits that they named", wait);
    relay.m_permitWaits += 1;
    relay.m_permitAsks = maxPermitAsks - 1;
    co_await pauseFor(gateway, wait);
    co_return std::nullopt;
}

/// The refusal of a request that no server can execute now, unless waiting may help.
std::optional<Failure> refusalWithoutServer(const Relay &relay, Millis waitEnd)
{
    const Gateway &gateway = *relay.m_gateway;
    if (onlyPausesAreLeft(relay))
        return makeFailure(ErrorKind::NoCapacity, "the servers asked for a pause",
                           std::max(*relay.m_choice.m_pauseEnd - now(gateway), Millis{1}));
    if (!relay.m_refusedBy.empty())
        return std::nullopt;
    if (relay.m_metadata.m_model.m_text.empty() || relay.m_runs > 0)
        return makeFailure(ErrorKind::NoBackendServer, "no server available", defaultRetryAfter);
    if (!modelPublished(relay))
        return makeFailure(ErrorKind::NoCapacity, "the model isn't published", defaultRetryAfter);
    if (!isHolderAlive(gateway))
        return makeFailure(ErrorKind::NoCapacity, "no host holds the lease to order a load",
                           timeUntilOrders(gateway));
    if (waitEnd - now(gateway) <= minTimeToSend)
        return makeFailure(ErrorKind::DeadlineUnmeetable, "the model was not loaded in time",
                           defaultRetryAfter);
    return std::nullopt;
}

/// Waits before a server is chosen again. If no untried server is left, but some refused the
/// request without executing it, for example because they were full, all are tried again after a
/// pause.
asio::awaitable<void> waitForServer(Relay &relay, Millis waitEnd)
{
    Gateway &gateway = *relay.m_gateway;
    if (relay.m_refusedBy.empty())
        co_return co_await waitForModel(relay, waitEnd - now(gateway));
    relay.m_triedServers = {};
    relay.m_refusedBy = {};
    co_await pauseFor(gateway, retryPause);
}

/// The refusal of a request whose caller or time was lost while it waited.
std::optional<Failure> refusalAfterWait(const Relay &relay)
{
    if (callerDisconnected(relay))
        return makeFailure(ErrorKind::CallerGone,
                           "the caller disconnected while the request waited", RunState::NotRun);
    if (remainingTime(relay) <= minTimeToSend)
        return makeFailure(ErrorKind::DeadlineUnmeetable,
                           "not enough time left before the deadline", shortRetryAfter);
    return std::nullopt;
}

} // namespace

asio::awaitable<Result<Destination>> findDestination(Relay &relay)
{
    while (true) {
        if (const auto refusal = refusalBeforeChoice(relay))
            co_return *refusal;
        const Millis waitEnd = modelWaitEnd(relay);
        if (const auto result = chooseNow(relay))
            co_return *result;
        const bool needsPermit
            = !relay.m_choice.m_server.m_text.empty() || relay.m_choice.m_permitAt;
        if (needsPermit) {
            if (const auto result = co_await awaitPermit(relay, waitEnd))
                co_return *result;
        } else {
            if (const auto refusal = refusalWithoutServer(relay, waitEnd))
                co_return *refusal;
            co_await waitForServer(relay, waitEnd);
        }
        if (const auto refusal = refusalAfterWait(relay))
            co_return *refusal;
    }
}

} // namespace apricot
