// The state of one caller's request in apricotd, how its response is written, and the functions of
// the request path. Each function is defined in the file that its comment names.
#pragma once

#include "process/node.h"

namespace apricot {

/// Writes the response to a request: on the caller's connection, or on the peer connection to the
/// host that forwarded the request. Functions that return false could not reach the receiver.
struct ResponseWriter
{
    std::function<asio::awaitable<bool>(const HttpResponse &)> m_send; // sends a complete response
    std::function<asio::awaitable<bool>(const HttpHead &)> m_begin;    // sends the head of a stream
    std::function<asio::awaitable<bool>(std::string_view)> m_write;    // sends a part of the stream
    std::function<asio::awaitable<bool>()> m_end;                      // completes the stream
    std::function<void()> m_abort; // closes, so that the receiver sees that the stream is truncated
    bool m_responseStarted = false; // sending has begun: no other response can replace this one
};

/// One request of a caller, from its arrival to the end of its response.
struct Call
{
    Node *m_node = nullptr;
    IoThread *m_thread = nullptr;
    HttpRequest m_request;
    std::string m_id; // Request-Id: echoed, and checked in every response
    std::shared_ptr<const Configuration> m_configuration; // in force when the request arrived
    const ServiceSpec *m_service = nullptr;               // of m_configuration
    WorkKind m_work;                                      // requested kind of work
    ModelName m_model;                                    // empty for plain services
    AdapterName m_adapter;                                // empty: the model itself
    std::optional<Ticket> m_ticket;
    Millis m_startedAt; // time of arrival
    Millis m_deadline;
    bool m_answeredByPeer = false; // another host wrote the response, and counts it in its metrics
    bool m_fromPeer = false;       // forwarded by another host: never forwarded again
    ResponseWriter m_responseWriter;
    bool m_callerDisconnected = false;
    std::function<void()> m_onCallerDisconnect; // interrupts the wait in progress
    RunState m_run = RunState::NotRun;          // whether the request ran, as far as is known
    bool m_mayHaveRun = false; // a failed attempt may have run: no later refusal says not-run
    std::string m_replayBody;  // body of a complete response, kept to replay it for the ticket
    unsigned m_status = 0;     // HTTP status of the response
};

/// Empty if the call was answered; else why not, and whether the request ran. If the call fails
/// while m_responseWriter.m_responseStarted is set, the response is truncated and must be aborted.
using CallError = std::optional<Failure>;

/// router.cpp: runs the call on a replica of its model. Without a replica it requests one from the
/// cell's owner and waits for it.
asio::awaitable<CallError> runOnReplica(Call &call);

/// plain.cpp: runs the call on a backend server of a plain service.
asio::awaitable<CallError> runOnPlainService(Call &call);

/// forward.cpp: lets another host run the call and relays its response. If the run state of the
/// error is NotRun, nothing was sent to that host.
asio::awaitable<CallError> forwardToHost(Call &call, Member host);

/// forward.cpp: the head that another host passes on. Fails if its status completes no exchange: a
/// host of an older build passes on any.
Result<HttpHead> readForwardHead(const wire::ForwardHeadT &head);

/// forward.cpp: a writer for the host that forwarded the request. It sets `complete` once the whole
/// response was sent.
ResponseWriter makePeerResponseWriter(const PeerConnectionPtr &connection, std::uint64_t frameId,
                                      bool &complete);

/// tickets.cpp: runs a call with a ticket at most once, on the host that issued the ticket.
asio::awaitable<CallError> runWithTicket(Call &call);

/// tickets.cpp: a new ticket of this process instance.
Ticket issueTicket(Node &node);

/// tickets.cpp: for a call that was refused before its ticket was checked. The refusal may say
/// not-run only if no attempt with the ticket ran or can run later: an unused ticket of this host
/// is marked as used. What happened to a ticket of another host isn't known here, so the refusal
/// then says that the run state is unknown.
void recordEarlyRefusal(Call &call, CallError &error);

/// tickets.cpp: the state of a ticket, as JSON.
HttpResponse describeTicket(Node &node, const std::string &text);

/// serve.cpp: runs the call on the home of its model, or on this host.
asio::awaitable<CallError> runCall(Call &call);

/// serve.cpp: records whether the request may have run in an attempt that failed.
void recordFailedAttempt(Call &call, const Failure &failure);

/// serve.cpp: sends a complete response and records its status and body in the call.
asio::awaitable<CallError> sendCompleteResponse(Call &call, HttpResponse response);

/// serve.cpp: the HTTP response for a failure, by the table of errors.cpp.
HttpResponse makeErrorResponse(const Call &call, const Failure &failure);

/// serve.cpp: time until the deadline of the call; negative after it.
Millis timeLeft(const Call &call);

/// serve.cpp: takes one token of the node's retry budget; false if none is left.
bool consumeRetryToken(Node &node);

} // namespace apricot
