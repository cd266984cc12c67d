// Forwards a request from one host to another and relays the response. Request and response are
// sent as frames on one peer connection. A request is forwarded at most once.
#include "request/call.h"

#include "connection/responsehead.h"
#include "process/log.h"

#include <boost/asio.hpp>

namespace apricot {

namespace {

constexpr Millis connectTimeout = {500};
constexpr Millis writeTimeout = {30'000};
// The response is awaited this long past the deadline, so that the other host's own refusal can
// arrive.
constexpr Millis refusalGrace = {500};

FramePtr makeForward(const Call &call)
{
    wire::ForwardAskT request;
    request.method = call.m_request.m_method;
    request.target = call.m_request.m_target;
    request.body.assign(call.m_request.m_body.begin(), call.m_request.m_body.end());
    std::vector<HttpField> fields
        = {{"Request-Id", call.m_id}, {"Deadline-Ms", std::to_string(timeLeft(call).m_count)}};
    if (call.m_ticket)
        fields.push_back({"Ticket", toText(*call.m_ticket)});
    for (const HttpField &field : fields) {
        auto entry = std::make_unique<wire::FieldT>();
        entry->name = field.m_name;
        entry->value = field.m_value;
        request.fields.push_back(std::move(entry));
    }
    return makeFrame(std::move(request));
}

FramePtr makeHeadFrame(const HttpHead &head, bool streamed)
{
    wire::ForwardHeadT message;
    message.status = static_cast<std::uint16_t>(head.m_status);
    message.streamed = streamed;
    for (const HttpField &field : head.m_fields) {
        auto entry = std::make_unique<wire::FieldT>();
        entry->name = field.m_name;
        entry->value = field.m_value;
        message.fields.push_back(std::move(entry));
    }
    return makeFrame(std::move(message));
}

FramePtr makeBytesFrame(std::string_view bytes)
{
    wire::ForwardBytesT message;
    message.bytes.assign(bytes.begin(), bytes.end());
    return makeFrame(std::move(message));
}

FramePtr makeEndFrame()
{
    wire::ForwardEndT message;
    message.whole = true;
    return makeFrame(message);
}

Failure peerFailure(const Member &host, const std::string &what)
{
    return makeFailure(ErrorKind::BackendBroken, "host " + host.m_host.m_text + " " + what);
}

/// Relays one frame of the response. A response that isn't streamed is collected in `response` and
/// sent once it is complete. True: more frames follow. False: the response ended, `error` tells
/// how.
asio::awaitable<bool> relayFrame(Call &call, const wire::FrameT &frame, HttpResponse &response,
                                 bool &streamed, CallError &error)
{
    if (const auto *head = frame.body.AsForwardHead()) {
        auto read = readForwardHead(*head);
        if (!ok(read)) {
            error = std::get<Failure>(std::move(read));
            co_return false;
        }
        response.m_head = std::get<HttpHead>(std::move(read));
        streamed = head->streamed;
        call.m_status = head->status;
        if (streamed) {
            call.m_responseWriter.m_responseStarted = true;
            co_return co_await call.m_responseWriter.m_begin(response.m_head);
        }
        co_return true;
    }
    if (const auto *bytes = frame.body.AsForwardBytes()) {
        const std::string text(bytes->bytes.begin(), bytes->bytes.end());
        if (streamed)
            co_return co_await call.m_responseWriter.m_write(text);
        response.m_body += text;
        co_return true;
    }
    if (!frame.body.AsForwardEnd())
        co_return false;
    error = std::nullopt;
    call.m_answeredByPeer = true;
    call.m_responseWriter.m_responseStarted = true;
    if (streamed)
        co_await call.m_responseWriter.m_end();
    else
        co_await call.m_responseWriter.m_send(response);
    co_return false;
}

/// Closes the connection once membership reports the other host as dead or restarted, since TCP
/// alone may take minutes to detect that.
asio::awaitable<void> closeWhenPeerDead(Node &node, Member host, PeerConnectionPtr connection,
                                        std::shared_ptr<bool> done)
{
    constexpr Millis livenessCheckInterval = {100};
    while (!*done && !node.m_stopped) {
        const auto known = memberOf(node, host.m_host);
        const bool dead = !known || known->m_incarnation != host.m_incarnation
            || known->m_liveness == Liveness::Dead;
        if (dead) {
            closePeerConnection(*connection);
            co_return;
        }
        co_await sleepFor(livenessCheckInterval);
    }
}

asio::awaitable<CallError> relayResponse(Call &call, const Member &host, PeerConnection &connection,
                                         std::uint64_t id)
{
    HttpResponse response;
    bool streamed = false;
    while (true) {
        const FramePtr frame = co_await readFrame(connection, timeLeft(call) + refusalGrace);
        if (call.m_callerDisconnected)
            co_return makeFailure(ErrorKind::CallerGone, "");
        if (!frame)
            co_return peerFailure(host, "did not send a complete response");
        if (frame->id != id)
            co_return makeFailure(ErrorKind::CrossedAnswer,
                                  "response to another request from host " + host.m_host.m_text);
        CallError error = peerFailure(host, "sent a frame that could not be relayed");
        const bool more = co_await relayFrame(call, *frame, response, streamed, error);
        if (!more)
            co_return error;
    }
}

} // namespace

Result<HttpHead> readForwardHead(const wire::ForwardHeadT &head)
{
    if (!isFinalStatus(head.status))
        return makeFailure(ErrorKind::BackendBroken,
                           "another host passes on the status " + std::to_string(head.status),
                           RunState::Unknown);
    HttpHead result;
    result.m_status = head.status;
    for (const auto &field : head.fields)
        result.m_fields.push_back({field->name, field->value});
    return result;
}

asio::awaitable<CallError> forwardToHost(Call &call, Member host)
{
    PeerPool &pool = call.m_thread->m_peers;
    const bool forceNew = call.m_ticket.has_value();
    const auto opened = co_await openPeerConnection(pool, host.m_peer, connectTimeout, forceNew);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    PeerConnectionPtr connection = std::get<PeerConnectionPtr>(opened);
    logEvent("forward", {{"request", call.m_id}, {"to", host.m_host.m_text}});
    const FramePtr request = makeForward(call);
    request->id = pool.m_nextId++;
    call.m_onCallerDisconnect = [connection] { closePeerConnection(*connection); };
    const auto done = std::make_shared<bool>(false);
    spawn(*pool.m_io, closeWhenPeerDead(*call.m_node, host, connection, done));
    CallError error = peerFailure(host, "did not accept the request");
    if (co_await sendFrame(*connection, *request, writeTimeout))
        error = co_await relayResponse(call, host, *connection, request->id);
    call.m_onCallerDisconnect = nullptr;
    *done = true;
    if (!error) {
        releasePeerConnection(pool, host.m_peer, std::move(connection));
        co_return error;
    }
    closePeerConnection(*connection);
    recordFailedAttempt(call, *error);
    // The caller of this function runs the call on this host if the error is NotReady. That is
    // allowed for a request that may be repeated, as long as no part of the response was sent.
    const bool repeatable = !call.m_ticket && call.m_work.m_idempotent;
    if (repeatable && !call.m_responseWriter.m_responseStarted
        && error->m_kind == ErrorKind::BackendBroken)
        error->m_kind = ErrorKind::NotReady;
    co_return error;
}

ResponseWriter makePeerResponseWriter(const PeerConnectionPtr &connection, std::uint64_t frameId,
                                      bool &complete)
{
    const auto send = [connection, frameId](FramePtr frame) -> asio::awaitable<bool> {
        frame->id = frameId;
        co_return co_await sendFrame(*connection, *frame, writeTimeout);
    };
    ResponseWriter writer;
    writer.m_send = [send, &complete](const HttpResponse &response) -> asio::awaitable<bool> {
        const bool headSent = co_await send(makeHeadFrame(response.m_head, false));
        const bool bodySent = headSent && co_await send(makeBytesFrame(response.m_body));
        complete = bodySent && co_await send(makeEndFrame());
        co_return complete;
    };
    writer.m_begin = [send](const HttpHead &head) { return send(makeHeadFrame(head, true)); };
    writer.m_write = [send](std::string_view bytes) { return send(makeBytesFrame(bytes)); };
    writer.m_end = [send, &complete]() -> asio::awaitable<bool> {
        complete = co_await send(makeEndFrame());
        co_return complete;
    };
    writer.m_abort = [connection] { closePeerConnection(*connection); };
    return writer;
}

} // namespace apricot
