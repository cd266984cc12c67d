// One caller's request while a gateway relays it, and the steps that its handling consists of. Each
// function is defined in the file that its section names.
#pragma once

#include "process/gatewaystate.h"

namespace apricot {

constexpr Millis minTimeToSend = {20}; // ms; with less time left a request isn't sent
constexpr Millis defaultRetryAfter = {1'000};
constexpr Millis shortRetryAfter = {300};

/// How far the answer of the server got that the request was sent to last.
struct AnswerProgress
{
    bool m_headReceived = false;
    ConnectionUse m_sentOn;  // connection and number of the request on it
    unsigned m_status = 0;   // valid if m_headReceived
    std::string m_requestId; // id of the request that it answers, as it states; empty: not stated
    std::optional<double> m_limit;        // requests a second that the server named as its limit
    std::optional<Millis> m_firstEventAt; // when its first complete event arrived; empty: none yet
    bool m_survived = false; // the server streamed on for survivalTime, or completed the answer
};

/// State of one request while this host handles it.
struct Relay
{
    explicit Relay(Gateway &gateway) : m_gateway(&gateway), m_heldBytes(gateway.m_answerBytes) { }

    Gateway *m_gateway = nullptr;
    HttpExchange *m_exchange = nullptr;
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    RequestMetadata m_metadata;
    const Account *m_account = nullptr;     // of its caller, in m_routes; null: none
    std::optional<std::uint64_t> m_charged; // ask that was granted for it; empty: none
    bool m_surelyNotRun = false;            // at its end: no server executed it, or ever will
    bool m_counted = false;                 // see countRequest()
    std::uint64_t m_fingerprint = 0;        // see requestFingerprint(); valid if m_route
    std::vector<CrashCause> m_causes;       // that it may crash a server by
    ServiceName m_service;
    std::vector<HttpField> m_fields; // header fields to forward, without hop-by-hop fields
    Millis m_arrived;
    Millis m_deadline;    // the earlier of the caller's and the route's time limit
    int m_sends = 0;      // number of times that it was sent to a server
    int m_runs = 0;       // sends after which it may have been executed
    int m_runsBefore = 0; // the same, at the host that sent it here
    std::set<InstanceId> m_triedServers;
    /// To servers, that it was sent on. It isn't sent on one of them again: a late copy of the
    /// first response would pass for the second.
    ConnectionNumbers m_connections;
    HostName m_forwardedBy; // host that sent the request here; empty: it came from its caller
    HostName m_viaHost;     // host that the request is being sent through; empty: none
    std::set<HostName> m_hostsAsked;         // that it was sent through, or that took no connection
    int m_hostsWithoutPath = 0;              // of these, those that reached no server for it either
    bool m_streamBegunElsewhere = false;     // its first event came through another host
    std::set<InstanceId> m_refusedBy;        // refused it without executing it; may be tried again
    int m_permitAsks = 0;                    // permits asked for; after a wait one more is
    int m_permitWaits = 0;                   // for servers at their limits
    Millis m_modelWaitTime;                  // total time spent waiting for the model
    ServerChoice m_choice;                   // result of the last server selection
    std::uint64_t m_serverTableRevision = 0; // store revision of the server table used for m_choice
    Millis m_serverTableAge;                 // time from its last confirmation to m_choice
    Millis m_chosenAt;                       // time of m_choice
    Millis m_sendDelay;                      // from m_chosenAt to the first byte sent to the server
    Millis m_firstEvent;      // ms from the arrival to the first event; 0: no event yet
    Millis m_lastEvent;       // when the last event arrived
    Millis m_longestEventGap; // between two successive events
    /// Version that the stream has to go on at; empty: it hasn't begun, or its service has only
    /// one.
    std::optional<SoftwareId> m_software;
    SoftwareId m_serverSoftware; // of the server that the request was sent to last
    bool m_headSent = false;     // the caller has received the head of an event stream
    EventScanner m_eventScanner;
    std::optional<BodyFraming> m_framing; // of the last server's answer; empty: no head arrived
    AnswerProgress m_answer;
    WakeableTimer *m_wakeTimer = nullptr; // set while the request waits for its model
    HttpConnection *m_server = nullptr;   // set while a server handles the request
    bool m_endedByHost = false; // this host closed that connection, as the request is in quarantine
    /// Error answer of a server. It is passed on to the caller if no retry succeeds.
    std::optional<HttpResponse> m_lastFailedAnswer;
    HeldBytes m_heldBytes; // of all answers read completely for this request
};

/// Outcome of one attempt to have a server handle the request.
enum class SendOutcome : std::uint8_t {
    Done,    // the caller has received its answer or has disconnected
    NotSent, // no byte of the request was sent
    NotRun,  // the server states that it did not execute the request
    Failed,  // the request may have been executed
};

/// Result of one attempt, with the failure that the caller gets if there is no other attempt.
struct SendResult
{
    SendOutcome m_outcome = SendOutcome::Done;
    Failure m_failure; // valid unless m_outcome is Done
};

inline Millis remainingTime(const Relay &relay)
{
    return relay.m_deadline - now(*relay.m_gateway);
}

/// Servers that may have executed the request, which its route limits.
inline int runsInAll(const Relay &relay)
{
    return relay.m_runsBefore + relay.m_runs;
}

/// Whether the caller has disconnected, so that nothing more needs to be done for the request.
inline bool callerDisconnected(const Relay &relay)
{
    return relay.m_exchange->m_callerDisconnected;
}

/// The demand that the request counts for.
ModelDemandKey modelDemandKeyOf(const Relay &relay);

/// Whether the published configuration lists the request's model.
bool modelPublished(const Relay &relay);

// --- refusals.cpp: answers of the gateway itself ---

/// Connection of the last send and number of the request on it, as "3/17"; empty: not sent.
std::string connectionText(const Relay &relay);

/// Logs the result of a request, with the data that the choice of the server was based on.
void logCall(const Relay &relay, const char *outcome, const Failure &failure, unsigned status);

/// Whether a response with that status tells the caller that the request was not executed.
bool promisesNotRun(unsigned status);

/// Whether the status of a server's answer promises that, though the server doesn't state it.
/// `viaHost`: the answer came from another host. An older one hands on what servers answer, while
/// its own answers bear neither a server's stamp nor a request id.
bool isUnstatedPromise(const AnswerMetadata &metadata, unsigned status, bool viaHost);

/// Ends a request with an error response, or aborts the connection if the response has already
/// begun.
asio::awaitable<void> refuse(Relay &relay, Failure failure);

// --- accountcheck.cpp: client accounts ---

/// Finds the account of the request by its API key. Returns a failure if the key isn't accepted.
std::optional<Failure> findAccount(Relay &relay);

/// Counts the request against the limit of its account. Returns a failure if the limit is reached,
/// or if no host answers that keeps it. One that another host sent here was counted there.
asio::awaitable<std::optional<Failure>> chargeAccount(Relay &relay);

/// To be called at the end of the request: gives back what was counted if it has not run.
void returnUnusedCharge(const Relay &relay);

// --- modelwait.cpp: selection of a server or another host ---

/// Where a request is sent next.
struct Destination
{
    InstanceId m_server; // empty: to another host
    HostName m_host;     // the other host; valid if m_server is empty
};

/// Finds a server for the request; if none has the model, waits for it to be loaded. If this host
/// reaches none of the servers that have it, finds another host instead.
asio::awaitable<Result<Destination>> findDestination(Relay &relay);

/// Whether the server has loaded what the request asks for, as far as is known.
bool holdsModelOf(const Relay &relay, const KnownServer &known);

// --- viahost.cpp: requests sent through another host ---

/// The host through which the request is sent next; empty: none is left to ask.
std::optional<HostName> chooseForwardHost(const Relay &relay);

/// To be called when no host is left to ask: if hosts said that they don't reach the servers
/// either, the servers are down, and no host is asked for them for a moment.
void recordDownEverywhere(const Relay &relay);

/// Sends the request through another host and handles its answer.
asio::awaitable<SendResult> sendViaHost(Relay &relay, const HostName &host);

/// Handles the complete answer of the other host: passes it on, unless that host could not have the
/// request executed. A promise that may be false is replaced.
asio::awaitable<SendResult> passHostAnswer(Relay &relay, const AnswerMetadata &metadata,
                                           HttpResponse response);

// --- relay.cpp ---

/// Counts the request in the retry budget and as demand for its model, once. Not to be called for
/// one that is sent through another host, which counts it.
void countRequest(Relay &relay);

/// Handles one request, up to the end of its answer. `forwardedBy`: host that sent it here, where
/// `runsBefore` servers may have executed it; empty: it came from its caller.
asio::awaitable<void> relayCallOf(Gateway &gateway, HttpExchange &exchange, HostName forwardedBy,
                                  int runsBefore);

// --- resumption.cpp: streams that callers take up ---

/// Names the stream that the request begins or takes up.
StreamId streamOf(const Relay &relay);

/// If the request takes a stream up, sets the software version that it has to go on at. Returns a
/// failure if that isn't known though it matters.
asio::awaitable<std::optional<Failure>> findOriginVersion(Relay &relay);

/// Why no server can continue the stream; empty: one of its version is listed, or it isn't bound to
/// a version.
std::optional<Failure> versionRefusal(const Relay &relay);

// --- serverresults.cpp: what an exchange showed of its server ---

/// Software version of a server; empty: it states none, or isn't listed any more.
std::string softwareVersionOf(const Gateway &gateway, const InstanceId &server);

/// Records whether an exchange succeeded.
void recordResult(Relay &relay, const InstanceId &id, bool good);

/// Records a complete answer of a server and the time since the request was sent to it.
void recordAnswer(Relay &relay, const InstanceId &id, bool good);

/// Records the load figures of an answer, if it has any.
void recordLoad(Relay &relay, const InstanceId &id, const ServerLoad &load);

/// Records that a server refused the request without executing it. The server isn't chosen for the
/// same model for a moment; a misdirected request to a plain service counts as a failure of the
/// server.
void recordRefusal(Relay &relay, const InstanceId &id, const AnswerMetadata &metadata);

/// Records that the exchange failed, and finds out whether the server crashed if its connection
/// ended. Returns the result with which the exchange ends.
SendResult recordSendFailure(Relay &relay, const InstanceId &id, Failure failure);

/// Records that the server survived the beginning of the answer.
void recordSurvival(Relay &relay);

/// Records the end of a complete answer. If only the end of the connection shows that it is
/// complete, the server may have crashed instead.
void recordAnswerEnd(Relay &relay, const InstanceId &id);

/// Records that the server answered with an error. It survived the request, but it may not have
/// begun what the prompt asks for, so nothing is known of the parts.
void recordErrorAnswer(Relay &relay);

// --- exchange.cpp: the exchange with one server ---

/// The other side of an exchange.
struct AnswerSource
{
    InstanceId m_server; // empty: another host
    Endpoint m_endpoint;
};

/// Sends the request on the connection and handles the answer.
asio::awaitable<SendResult> exchangeOn(Relay &relay, AnswerSource source,
                                       HttpConnectionPtr connection, const HttpRequest &request);

/// Sends the request to one server and handles its answer.
asio::awaitable<SendResult> sendTo(Relay &relay, const InstanceId &id);

} // namespace apricot
