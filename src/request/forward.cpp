// One hop between hosts: a request goes on as frames, its answer comes back as frames.
#include "request/call.h"

#include "process/log.h"

#include <boost/asio.hpp>

namespace apricot {

namespace {

constexpr Millis connectTimeout = {500};
constexpr Millis writeTimeout = {30'000};
constexpr Millis answerGrace = {500}; // past the deadline, for the other host's own refusal

FramePtr makeForward(const Call &call)
{
    wire::ForwardAskT ask;
    ask.method = call.m_request.m_method;
    ask.target = call.m_request.m_target;
    ask.body.assign(call.m_request.m_body.begin(), call.m_request.m_body.end());
    std::vector<HttpField> fields
        = {{"Request-Id", call.m_id}, {"Deadline-Ms", std::to_string(leftOf(call).m_count)}};
    if (call.m_ticket)
        fields.push_back({"Ticket", toText(*call.m_ticket)});
    for (const HttpField &field : fields) {
        auto entry = std::make_unique<wire::FieldT>();
        entry->name = field.m_name;
        entry->value = field.m_value;
        ask.fields.push_back(std::move(entry));
    }
    return makeFrame(std::move(ask));
}

HttpHead readHeadFrame(const wire::ForwardHeadT &head)
{
    HttpHead result;
    result.m_status = head.status;
    for (const auto &field : head.fields)
        result.m_fields.push_back({field->name, field->value});
    return result;
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

Failure brokenBy(const Member &host, const std::string &what)
{
    return makeFailure(ErrorKind::BackendBroken, "host " + host.m_host.m_text + " " + what);
}

/// Passes one frame on. True: go on. False: the answer is over, `end` tells how.
asio::awaitable<bool> passOn(Call &call, const wire::FrameT &frame, HttpResponse &whole,
                             bool &streamed, CallEnd &end)
{
    if (const auto *head = frame.body.AsForwardHead()) {
        whole.m_head = readHeadFrame(*head);
        streamed = head->streamed;
        call.m_status = head->status;
        if (streamed) {
            call.m_answer.m_begun = true;
            co_return co_await call.m_answer.m_begin(whole.m_head);
        }
        co_return true;
    }
    if (const auto *bytes = frame.body.AsForwardBytes()) {
        const std::string text(bytes->bytes.begin(), bytes->bytes.end());
        if (streamed)
            co_return co_await call.m_answer.m_write(text);
        whole.m_body += text;
        co_return true;
    }
    if (!frame.body.AsForwardEnd())
        co_return false;
    end = std::nullopt;
    call.m_relayed = true;
    call.m_answer.m_begun = true;
    if (streamed)
        co_await call.m_answer.m_end();
    else
        co_await call.m_answer.m_whole(whole);
    co_return false;
}

/// Cuts the connection once the other host is known to be dead: TCP alone may wait for minutes.
asio::awaitable<void> cutIfDead(Node &node, Member host, PeerConnectionPtr connection,
                                std::shared_ptr<bool> done)
{
    constexpr Millis lookPeriod = {100};
    while (!*done && !node.m_stopped) {
        const auto known = memberOf(node, host.m_host);
        const bool dead = !known || known->m_incarnation != host.m_incarnation
            || known->m_liveness == Liveness::Dead;
        if (dead) {
            closePeer(*connection);
            co_return;
        }
        co_await sleepFor(lookPeriod);
    }
}

asio::awaitable<CallEnd> relayAnswer(Call &call, const Member &host, PeerConnection &connection,
                                     std::uint64_t id)
{
    HttpResponse whole;
    bool streamed = false;
    while (true) {
        const FramePtr frame = co_await readFrame(connection, leftOf(call) + answerGrace);
        if (call.m_callerGone)
            co_return makeFailure(ErrorKind::CallerGone, "");
        if (!frame)
            co_return brokenBy(host, "gave no whole answer");
        if (frame->id != id)
            co_return makeFailure(ErrorKind::CrossedAnswer, "from host " + host.m_host.m_text);
        CallEnd end = brokenBy(host, "sent what can't be passed on");
        const bool more = co_await passOn(call, *frame, whole, streamed, end);
        if (!more)
            co_return end;
    }
}

} // namespace

asio::awaitable<CallEnd> runOnHost(Call &call, Member host)
{
    PeerPool &pool = call.m_thread->m_peers;
    const bool fresh = call.m_ticket.has_value();
    const auto opened = co_await openPeer(pool, host.m_peer, connectTimeout, fresh);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    PeerConnectionPtr connection = std::get<PeerConnectionPtr>(opened);
    logEvent("forward", {{"request", call.m_id}, {"to", host.m_host.m_text}});
    const FramePtr ask = makeForward(call);
    ask->id = pool.m_nextId++;
    call.m_onCallerGone = [connection] { closePeer(*connection); };
    const auto done = std::make_shared<bool>(false);
    spawn(*pool.m_io, cutIfDead(*call.m_node, host, connection, done));
    CallEnd end = brokenBy(host, "took no request");
    if (co_await sendFrame(*connection, *ask, writeTimeout))
        end = co_await relayAnswer(call, host, *connection, ask->id);
    call.m_onCallerGone = nullptr;
    *done = true;
    if (!end) {
        releasePeer(pool, host.m_peer, std::move(connection));
        co_return end;
    }
    closePeer(*connection);
    noteAttempt(call, *end);
    // What may be repeated goes on here, as long as nothing of the answer is out.
    const bool repeatable = !call.m_ticket && call.m_work.m_idempotent;
    if (repeatable && !call.m_answer.m_begun && end->m_kind == ErrorKind::BackendBroken)
        end->m_kind = ErrorKind::NotReady;
    co_return end;
}

Answer answerOnPeer(const PeerConnectionPtr &connection, std::uint64_t frameId, bool &whole)
{
    const auto send = [connection, frameId](FramePtr frame) -> asio::awaitable<bool> {
        frame->id = frameId;
        co_return co_await sendFrame(*connection, *frame, writeTimeout);
    };
    Answer answer;
    answer.m_whole = [send, &whole](const HttpResponse &response) -> asio::awaitable<bool> {
        const bool headSent = co_await send(makeHeadFrame(response.m_head, false));
        const bool bodySent = headSent && co_await send(makeBytesFrame(response.m_body));
        whole = bodySent && co_await send(makeEndFrame());
        co_return whole;
    };
    answer.m_begin = [send](const HttpHead &head) { return send(makeHeadFrame(head, true)); };
    answer.m_write = [send](std::string_view bytes) { return send(makeBytesFrame(bytes)); };
    answer.m_end = [send, &whole]() -> asio::awaitable<bool> {
        whole = co_await send(makeEndFrame());
        co_return whole;
    };
    answer.m_breakOff = [connection] { closePeer(*connection); };
    return answer;
}

} // namespace apricot
