// Requests that a host sends through another host, since it reaches none of the servers that could
// execute them. The other host handles such a request like one of a caller: it chooses the server,
// counts the request in budgets, limits and demand, and records what the server said. So each
// request is counted once, at the host that sends it to a server.
//
// There is one hop only: requests of other hosts arrive at a listener of their own, and are never
// sent to a third host. A host that can't have one executed answers 421, and the next one is asked.
#include "process/heartbeat.h"
#include "process/log.h"
#include "request/relay.h"

#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace apricot {

namespace {

/// Field of a request between hosts: HOST/VERSION of the configuration in force at that host.
const char *const forwardField = "Apricot-Forwarded-By";
/// Field of a request between hosts: servers that may have executed it before.
const char *const runsField = "Apricot-Runs";
constexpr int maxHostsAsked = 3; // for one request
constexpr Millis unreachedHostPause = {1'000};
/// A host in another data centre is chosen only if it has so many fewer requests of this host.
constexpr int otherDataCentreCost = 4; // requests in progress
/// After the hosts asked said that they don't reach a server either, none is asked for so long.
constexpr Millis downTime = {1'000};

/// Counts a request as sent through a host for the lifetime of the object.
struct ForwardedCount
{
    ForwardedCount(Gateway &gateway, HostName host) : m_gateway(gateway), m_host(std::move(host))
    {
        add(1);
    }
    ~ForwardedCount() { add(-1); }
    ForwardedCount(const ForwardedCount &) = delete;
    ForwardedCount &operator=(const ForwardedCount &) = delete;

    void add(int change)
    {
        const auto peer = m_gateway.m_peers.find(m_host);
        if (peer != m_gateway.m_peers.end())
            peer->second.m_forwarded = std::max(peer->second.m_forwarded + change, 0);
    }

    Gateway &m_gateway;
    HostName m_host;
};

bool mayAsk(const Relay &relay, const HostName &host, const Peer &peer)
{
    // A host of an older build would pass the API key on to a server.
    const bool maySeeKey = peer.m_checksKeys || !relay.m_routes->m_accounts.m_required;
    return peer.m_ready && maySeeKey && now(*relay.m_gateway) >= peer.m_notAskedUntil
        && !relay.m_hostsAsked.contains(host)
        && !peer.m_unreachableServices.contains(serviceHash(relay.m_service));
}

/// Hosts that were heard of lately; if there are none, all that may be asked.
std::vector<const Peer *> hostsToAsk(const Relay &relay)
{
    std::vector<const Peer *> alive;
    std::vector<const Peer *> all;
    for (const auto &[host, peer] : relay.m_gateway->m_peers) {
        if (!mayAsk(relay, host, peer))
            continue;
        all.push_back(&peer);
        if (isPeerAlive(*relay.m_gateway, peer))
            alive.push_back(&peer);
    }
    return alive.empty() ? all : alive;
}

int costOf(const Gateway &gateway, const Peer &peer)
{
    const bool isLocal = peer.m_entry.m_dataCentre == gateway.m_settings.m_dataCentre;
    return peer.m_forwarded + (isLocal ? 0 : otherDataCentreCost);
}

HttpRequest requestForHost(const Relay &relay)
{
    const Gateway &gateway = *relay.m_gateway;
    HostForwardMetadata metadata;
    metadata.m_timeAllowed = remainingTime(relay);
    if (relay.m_headSent && relay.m_metadata.m_resumes.empty())
        metadata.m_resumes = relay.m_metadata.m_id;
    if (!relay.m_eventScanner.m_lastEventId.empty())
        metadata.m_resumeAfter = relay.m_eventScanner.m_lastEventId;
    HttpRequest request;
    request.m_method = relay.m_exchange->m_request.m_method;
    request.m_target = relay.m_exchange->m_request.m_target;
    request.m_fields = relay.m_fields;
    gateway.m_protocol->writeHostForward(request.m_fields, metadata);
    std::erase_if(request.m_fields, [](const HttpField &field) { // as a caller may have sent them
        return boost::iequals(field.m_name, forwardField)
            || boost::iequals(field.m_name, runsField);
    });
    addField(request.m_fields, forwardField,
             gateway.m_settings.m_host.m_text + "/" + std::to_string(relay.m_routes->m_version));
    if (relay.m_runs > 0) { // a host of an older build removes what Connection names
        addField(request.m_fields, runsField, std::to_string(relay.m_runs));
        addField(request.m_fields, "Connection", runsField);
    }
    return request;
}

/// What a request between hosts states of its sender.
struct ForwardOrigin
{
    HostName m_host;
    std::uint64_t m_routesVersion = 0;
};

/// Reads and removes the field that another host added; nothing if it is missing or malformed.
std::optional<ForwardOrigin> takeForwardOrigin(std::vector<HttpField> &fields)
{
    const std::string text = fieldOf(fields, forwardField);
    std::erase_if(fields, [](const HttpField &field) { return field.m_name == forwardField; });
    const std::size_t slash = text.rfind('/');
    if (slash == std::string::npos)
        return {};
    ForwardOrigin origin;
    origin.m_host.m_text = text.substr(0, slash);
    const char *const end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + slash + 1, end, origin.m_routesVersion);
    if (read.ec != std::errc() || read.ptr != end)
        return {};
    return origin;
}

/// Reads and removes the number of servers that may have executed the request before; 0 if the
/// field is missing or malformed.
int takeRunsBefore(std::vector<HttpField> &fields)
{
    const std::string text = fieldOf(fields, runsField);
    std::erase_if(fields, [](const HttpField &field) { return field.m_name == runsField; });
    std::uint16_t runs = 0;
    std::from_chars(text.data(), text.data() + text.size(), runs);
    return runs;
}

/// Why a request of another host isn't handled; empty: it is.
std::string refusalOf(const Gateway &gateway, const std::optional<ForwardOrigin> &origin,
                      const std::string &ip)
{
    if (!origin)
        return "the sender is not stated";
    const auto peer = gateway.m_peers.find(origin->m_host);
    if (peer == gateway.m_peers.end() || peer->second.m_entry.m_peer.m_ip != ip)
        return "the sender is not in the register";
    if (!isReady(gateway))
        return "this host is not ready";
    // Callers of the sender have seen the effect of its version.
    if (gateway.m_routes->m_version < origin->m_routesVersion)
        return "the sender has a newer configuration";
    return {};
}

} // namespace

std::optional<HostName> chooseForwardHost(const Relay &relay)
{
    if (!relay.m_forwardedBy.m_text.empty()
        || static_cast<int>(relay.m_hostsAsked.size()) >= maxHostsAsked)
        return {};
    Gateway &gateway = *relay.m_gateway;
    const Peer *best = nullptr;
    int bestCost = 0;
    unsigned equal = 0; // hosts at the lowest cost so far, of which each is as likely
    for (const Peer *peer : hostsToAsk(relay)) {
        const int cost = costOf(gateway, *peer);
        if (!best || cost < bestCost)
            equal = 0;
        else if (cost > bestCost)
            continue;
        bestCost = cost;
        equal += 1;
        if (gateway.m_random() % equal == 0)
            best = peer;
    }
    return best ? std::optional(best->m_entry.m_host) : std::nullopt;
}

void recordDownEverywhere(const Relay &relay)
{
    if (relay.m_hostsWithoutPath == 0)
        return;
    const Millis time = now(*relay.m_gateway);
    for (auto &[id, known] : relay.m_gateway->m_serverTable.m_servers) {
        if (known.m_server.m_service == relay.m_service && isCutOff(known.m_path, time)
            && holdsModelOf(relay, known))
            known.m_path.m_downUntil = time + downTime;
    }
}

asio::awaitable<SendResult> sendViaHost(Relay &relay, const HostName &host)
{
    Gateway &gateway = *relay.m_gateway;
    relay.m_hostsAsked.insert(host);
    const auto peer = gateway.m_peers.find(host);
    if (peer == gateway.m_peers.end())
        co_return SendResult{
            SendOutcome::NotSent,
            makeFailure(ErrorKind::NoBackendServer, "the other host is gone", shortRetryAfter)};
    const Endpoint endpoint = peer->second.m_entry.m_peer;
    const ForwardedCount count(gateway, host);
    const Millis connectBy = std::min(connectTimeout, remainingTime(relay));
    const auto opened = co_await openHttpConnection(gateway.m_hosts, endpoint, connectBy, false);
    if (!ok(opened)) {
        const auto unreached = gateway.m_peers.find(host);
        if (unreached != gateway.m_peers.end())
            unreached->second.m_notAskedUntil = now(gateway) + unreachedHostPause;
        const auto &failure = std::get<Failure>(opened);
        logEvent("forward_failed",
                 {{"id", relay.m_metadata.m_id}, {"host", host.m_text}, {"why", failure.m_detail}});
        co_return SendResult{SendOutcome::NotSent, failure};
    }
    if (callerDisconnected(relay) || remainingTime(relay) <= minTimeToSend)
        co_return SendResult{SendOutcome::NotSent,
                             makeFailure(ErrorKind::DeadlineUnmeetable,
                                         "not enough time left before the deadline",
                                         shortRetryAfter)};
    relay.m_viaHost = host;
    countForward(gateway.m_metrics);
    const auto &connection = std::get<HttpConnectionPtr>(opened);
    const HttpRequest request = requestForHost(relay);
    AnswerSource source;
    source.m_endpoint = endpoint;
    SendResult result = co_await exchangeOn(relay, source, connection, request);
    relay.m_viaHost = {};
    co_return result;
}

asio::awaitable<SendResult> passHostAnswer(Relay &relay, const AnswerMetadata &metadata,
                                           HttpResponse response)
{
    const unsigned status = response.m_head.m_status;
    const std::string &host = relay.m_viaHost.m_text;
    if (status == errorResponseFor(ErrorKind::ReachedElsewhere).m_status) {
        relay.m_hostsWithoutPath += 1;
        const auto peer = relay.m_gateway->m_peers.find(relay.m_viaHost);
        if (peer != relay.m_gateway->m_peers.end()) // until its next heartbeat says otherwise
            peer->second.m_unreachableServices.insert(serviceHash(relay.m_service));
        relay.m_sends -= 1; // no server got it
        co_return SendResult{SendOutcome::NotRun,
                             makeFailure(ErrorKind::NoBackendServer,
                                         host + " doesn't reach the servers either",
                                         shortRetryAfter)};
    }
    const bool statesNotRun = promisesNotRun(status);
    if (statesNotRun && (relay.m_runs > 0 || isUnstatedPromise(metadata, status, true))) {
        // Not retried: that host has tried as many servers as the route allows.
        co_await refuse(relay, makeFailure(ErrorKind::BackendBroken, "refused by " + host));
        co_return SendResult{};
    }
    removeHopByHopFields(response.m_head.m_fields);
    observe(relay.m_gateway->m_metrics, LatencyKind::Whole,
            now(*relay.m_gateway) - relay.m_arrived);
    countAnswer(relay.m_gateway->m_metrics,
                statesNotRun ? ErrorKind::BackendRefused : ErrorKind::None);
    logCall(relay, "passed_on",
            makeFailure(ErrorKind::None, "answer from " + host,
                        statesNotRun ? RunState::NotRun : RunState::Unknown),
            status);
    co_await sendResponse(*relay.m_exchange, response);
    co_return SendResult{};
}

asio::awaitable<void> relayForwardedCall(Gateway &gateway, HttpExchange &exchange)
{
    const auto origin = takeForwardOrigin(exchange.m_request.m_fields);
    const int runsBefore = takeRunsBefore(exchange.m_request.m_fields);
    const std::string ip = remoteEndpoint(exchange).m_ip;
    const std::string why = refusalOf(gateway, origin, ip);
    if (why.empty())
        co_return co_await relayCallOf(gateway, exchange, origin->m_host, runsBefore);
    logWarning("forward_refused",
               {{"host", origin ? origin->m_host.m_text : ""}, {"ip", ip}, {"why", why}});
    countAnswer(gateway.m_metrics, ErrorKind::ReachedElsewhere);
    HttpResponse response;
    response.m_head.m_status = errorResponseFor(ErrorKind::ReachedElsewhere).m_status;
    co_await sendResponse(exchange, response);
}

} // namespace apricot
