// Handling of one caller's request: finds its route, selects a backend server, forwards the request
// and passes the answer back.
//
// The route alone determines whether a request may be repeated. A request that may be executed only
// once is never sent again after its first byte was sent, unless the server itself states that it
// didn't execute it. Once a request may have been executed, no answer to the caller claims that it
// was not.
#include "request/relay.h"

namespace apricot {

namespace {

constexpr int maxSends = 5; // limit for one request, also if servers only refuse it

/// Whether the request may be sent once more after that result.
bool mayResend(const Relay &relay, const SendResult &result)
{
    if (relay.m_sends >= maxSends || callerDisconnected(relay)
        || remainingTime(relay) <= minTimeToSend)
        return false;
    if (result.m_outcome != SendOutcome::Failed)
        return true;
    return relay.m_route->m_repeat != Repeat::AtMostOnce
        && runsInAll(relay) < relay.m_route->m_maxAttempts;
}

/// The retry budget of the service, with this host's present share.
RetryBudget &budgetOf(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    RetryBudget &budget = gateway.m_retryBudgets[relay.m_service];
    setHostShare(budget, gateway.m_settings, hostCount(gateway));
    return budget;
}

/// Sends the request to one server after the other until it is answered or no attempt is left.
asio::awaitable<void> relayToServers(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    while (true) {
        const auto found = co_await findDestination(relay);
        if (!ok(found)) {
            if (relay.m_lastFailedAnswer)
                break;
            co_return co_await refuse(relay, std::get<Failure>(found));
        }
        const auto &destination = std::get<Destination>(found);
        if (relay.m_sends > 0) {
            if (!takeRetry(budgetOf(relay), now(gateway))) {
                if (relay.m_lastFailedAnswer)
                    break;
                co_return co_await refuse(relay,
                                          makeFailure(ErrorKind::BackendRefused,
                                                      "the retry budget is used up",
                                                      defaultRetryAfter));
            }
            countRetry(gateway.m_metrics);
        }
        SendResult result;
        if (destination.m_server.m_text.empty())
            result = co_await sendViaHost(relay, destination.m_host);
        else
            result = co_await sendTo(relay, destination.m_server);
        if (result.m_outcome == SendOutcome::Done)
            co_return;
        if (!mayResend(relay, result)) {
            if (relay.m_lastFailedAnswer)
                break;
            co_return co_await refuse(relay, result.m_failure);
        }
    }
    logCall(relay, "passed_on",
            makeFailure(ErrorKind::None, "error answer of the server", RunState::Ran),
            relay.m_lastFailedAnswer->m_head.m_status);
    countAnswer(gateway.m_metrics, ErrorKind::BackendRefused);
    co_await sendResponse(*relay.m_exchange, *relay.m_lastFailedAnswer);
}

/// Time allowed for the request: the route's time limit, or the caller's if that is shorter.
Millis timeAllowedFor(const Relay &relay)
{
    const Millis timeout = relay.m_route->m_timeout;
    return relay.m_metadata.m_timeAllowed ? std::min(*relay.m_metadata.m_timeAllowed, timeout)
                                          : timeout;
}

/// Looks up the route of the request, sets its time limit and retry budget, and relays it.
asio::awaitable<void> relayOne(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    const HttpRequest &request = relay.m_exchange->m_request;
    relay.m_metadata = gateway.m_protocol->readCall(request.m_fields);
    relay.m_routes = gateway.m_routes;
    if (!relay.m_routes || !gateway.m_serverTableLoaded)
        co_return co_await refuse(
            relay,
            makeFailure(ErrorKind::NotReady,
                        "configuration or server list not yet read from the store",
                        shortRetryAfter));
    relay.m_route
        = matchRoute(*relay.m_routes, fieldOf(request.m_fields, "Host"), request.m_target);
    if (!relay.m_route)
        co_return co_await refuse(relay, makeFailure(ErrorKind::UnknownRoute, request.m_target));
    if (const auto refusal = findAccount(relay))
        co_return co_await refuse(relay, *refusal);
    relay.m_fingerprint = requestFingerprint(*relay.m_route, request, relay.m_metadata.m_caller);
    relay.m_causes = causesOf(relay.m_metadata.m_sharedParts, relay.m_fingerprint);
    if (const auto refusal = quarantineRefusal(gateway, relay.m_causes))
        co_return co_await refuse(relay, *refusal);
    relay.m_service = pickService(*relay.m_route, firstAttemptOf(relay.m_metadata));
    relay.m_deadline = relay.m_arrived + timeAllowedFor(relay);
    relay.m_fields = request.m_fields;
    removeHopByHopFields(relay.m_fields);
    if (const auto refusal = co_await findOriginVersion(relay))
        co_return co_await refuse(relay, *refusal);
    if (const auto refusal = co_await chargeAccount(relay))
        co_return co_await refuse(relay, *refusal);
    co_await relayToServers(relay);
}

void wakeAll(const std::list<WaitingCall> &calls)
{
    for (const WaitingCall &call : calls)
        wake(*call.m_wakeTimer);
}

} // namespace

void countRequest(Relay &relay)
{
    if (std::exchange(relay.m_counted, true))
        return;
    recordRequest(budgetOf(relay), relay.m_arrived);
    if (modelPublished(relay))
        recordArrival(relay.m_gateway->m_modelDemands[modelDemandKeyOf(relay)], relay.m_arrived);
}

asio::awaitable<void> relayCall(Gateway &gateway, HttpExchange &exchange)
{
    return relayCallOf(gateway, exchange, {}, 0);
}

asio::awaitable<void> relayCallOf(Gateway &gateway, HttpExchange &exchange, HostName forwardedBy,
                                  int runsBefore)
{
    Relay relay(gateway);
    relay.m_forwardedBy = std::move(forwardedBy);
    relay.m_runsBefore = runsBefore;
    relay.m_exchange = &exchange;
    relay.m_arrived = now(gateway);
    gateway.m_relays.insert(&relay);
    exchange.m_closeAfter = gateway.m_stopping;
    exchange.m_onCallerDisconnect = [&relay] {
        if (relay.m_wakeTimer)
            wake(*relay.m_wakeTimer);
        if (relay.m_server)
            closeHttpConnection(*relay.m_server);
    };
    co_await relayOne(relay);
    exchange.m_onCallerDisconnect = nullptr;
    returnUnusedCharge(relay);
    gateway.m_relays.erase(&relay);
}

void endRequestsWith(Gateway &gateway, CrashCause cause)
{
    for (Relay *relay : gateway.m_relays) {
        const auto &causes = relay->m_causes;
        if (relay->m_answer.m_firstEventAt || std::count(causes.begin(), causes.end(), cause) == 0)
            continue;
        relay->m_endedByHost = true;
        if (relay->m_wakeTimer)
            wake(*relay->m_wakeTimer);
        if (relay->m_server)
            closeHttpConnection(*relay->m_server);
    }
}

void wakeWaiting(Gateway &gateway)
{
    for (const auto &[key, demand] : gateway.m_modelDemands)
        wakeAll(demand.m_waitingCalls);
}

void wakeWaitingFor(Gateway &gateway, const ServerStatus &status)
{
    for (const auto &[key, demand] : gateway.m_modelDemands) {
        if (!demand.m_waitingCalls.empty() && holdsModel(status, key.m_model, key.m_adapter))
            wakeAll(demand.m_waitingCalls);
    }
}

} // namespace apricot
