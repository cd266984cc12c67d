// What lives for one request: the call, how its answer goes out, and the steps it takes.
#pragma once

#include "process/node.h"

namespace apricot {

/// Where an answer goes: a caller's own connection, or the host that forwarded the request.
struct Answer
{
    std::function<asio::awaitable<bool>(const HttpResponse &)> m_whole;
    std::function<asio::awaitable<bool>(const HttpHead &)> m_begin;
    std::function<asio::awaitable<bool>(std::string_view)> m_write;
    std::function<asio::awaitable<bool>()> m_end;
    std::function<void()> m_breakOff;
    bool m_begun = false; // bytes of it are out: it can't be replaced any more
};

struct Call
{
    Node *m_node = nullptr;
    IoThread *m_thread = nullptr;
    HttpRequest m_request;
    std::string m_id; // Request-Id, echoed and checked on every channel
    std::shared_ptr<const Configuration> m_configuration; // in force when it came
    const ServiceSpec *m_service = nullptr;               // of m_configuration
    WorkKind m_work;
    ModelName m_model; // empty for plain services
    AdapterName m_adapter;
    std::optional<Ticket> m_ticket;
    Millis m_began;
    Millis m_deadline;
    bool m_relayed = false;   // another host answered it, and counts it
    bool m_forwarded = false; // came from another host: never forwarded again
    Answer m_answer;
    bool m_callerGone = false;
    std::function<void()> m_onCallerGone; // interrupts whatever the call waits for
    RunState m_run = RunState::NotRun;    // as known so far
    bool m_mayHaveRun = false; // an attempt got far enough: no later refusal may say not-run
    std::string m_keptBody;    // of a whole answer, for its ticket
    unsigned m_status = 0;     // of the answer given
};

/// Nothing if the call was answered; else why not, and what is known of the run. If
/// m_answer.m_begun then, the answer was cut and must be broken off.
using CallEnd = std::optional<Failure>;

/// router.cpp: to a replica of a model, waking it if need be.
asio::awaitable<CallEnd> runOnModel(Call &call);

/// plain.cpp: to a plain service.
asio::awaitable<CallEnd> runOnPlain(Call &call);

/// forward.cpp: by another host. Nothing sent yet if the failure says NotRun.
asio::awaitable<CallEnd> runOnHost(Call &call, Member host);

/// forward.cpp: answers to the host that forwarded; `whole` tells whether all of it went out.
Answer answerOnPeer(const PeerConnectionPtr &connection, std::uint64_t frameId, bool &whole);

/// tickets.cpp: at most once, by the host that issued the ticket.
asio::awaitable<CallEnd> runWithTicket(Call &call);
Ticket issueTicket(Node &node);

/// A refusal before the ticket was looked at. It says not-run only if that is so and stays so:
/// an unused ticket of ours is spent by it; of another's ticket we know nothing.
void settleEarlyRefusal(Call &call, CallEnd &end);
HttpResponse describeTicket(Node &node, const std::string &text);

/// The work itself, wherever it belongs. serve.cpp.
asio::awaitable<CallEnd> runCall(Call &call);

/// An attempt failed: remember whether the request may have run by it.
void noteAttempt(Call &call, const Failure &failure);

/// Sends a whole answer and notes it.
asio::awaitable<CallEnd> answerWhole(Call &call, HttpResponse response);

/// The answer that a failure gets, by the table.
HttpResponse refusalOf(const Call &call, const Failure &failure);

Millis leftOf(const Call &call);

/// True if a retry is within the node's budget; takes it.
bool takeRetry(Node &node);

} // namespace apricot
