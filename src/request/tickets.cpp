// Runs calls with a ticket at most once. The state of a ticket exists only in the memory of the
// process instance that issued it, so only that instance runs its call: other hosts forward to it,
// and once it has ended the ticket is refused.
#include "request/call.h"

#include "process/log.h"

#include <boost/json.hpp>

namespace apricot {

namespace json = boost::json;

namespace {

constexpr std::size_t replayBodyLimit = 64UL * 1024; // bytes
constexpr Millis pollInterval = {20};                // between checks of an attempt that still runs
constexpr Millis retryAfter = {1'000};

LockedTicketShard &shardFor(Node &node, std::uint64_t number)
{
    return node.m_tickets.at(number % shardCount);
}

bool isIssuedHere(Node &node, const Ticket &ticket)
{
    return ticket.m_host == node.m_settings.m_host && ticket.m_issuer == node.m_incarnation;
}

std::uint64_t requestHash(const Call &call)
{
    return stableHash(call.m_request.m_target + "\n" + call.m_request.m_body);
}

TicketUse useTicketHere(Call &call)
{
    LockedTicketShard &shard = shardFor(*call.m_node, call.m_ticket->m_number);
    const std::lock_guard lock(shard.m_mutex);
    return useTicket(shard.m_shard, call.m_ticket->m_number, requestHash(call), now(*call.m_node));
}

std::optional<TicketEntry> findTicketEntry(Node &node, std::uint64_t number)
{
    LockedTicketShard &shard = shardFor(node, number);
    const std::lock_guard lock(shard.m_mutex);
    const auto found = shard.m_shard.m_entries.find(number);
    if (found == shard.m_shard.m_entries.end())
        return {};
    return found->second;
}

/// Marks the ticket as ended and keeps the response, to replay it if the caller sends the request
/// again. If the caller disconnected while the response was sent to it, that response is the one
/// kept.
void endTicket(Call &call, const CallError &error)
{
    LockedTicketShard &shard = shardFor(*call.m_node, call.m_ticket->m_number);
    const std::lock_guard lock(shard.m_mutex);
    TicketEntry &entry = shard.m_shard.m_entries[call.m_ticket->m_number];
    entry.m_state = TicketState::Ended;
    entry.m_run = error ? error->m_run : RunState::Ran;
    entry.m_status = error ? errorResponseFor(error->m_kind).m_status : call.m_status;
    entry.m_body = error ? makeErrorResponse(call, *error).m_body : call.m_replayBody;
    const bool callerMissedResponse = error && error->m_kind == ErrorKind::CallerGone;
    if (callerMissedResponse && !call.m_replayBody.empty()) {
        entry.m_run = RunState::Ran;
        entry.m_status = call.m_status;
        entry.m_body = call.m_replayBody;
    }
    entry.m_bodyKept = entry.m_body.size() <= replayBodyLimit;
    if (!entry.m_bodyKept)
        entry.m_body.clear();
    entry.m_expires = now(*call.m_node) + call.m_node->m_settings.m_ticketLifetime;
}

/// Sends the response that the first attempt had.
asio::awaitable<CallError> replayResponse(Call &call, const TicketEntry &entry)
{
    call.m_run = entry.m_run;
    if (!entry.m_bodyKept)
        co_return makeFailure(ErrorKind::TicketSpent,
                              "the request ran, but its response was too large to keep",
                              entry.m_run);
    HttpResponse response;
    response.m_head.m_status = entry.m_status;
    addField(response.m_head.m_fields, "Content-Type", "application/json");
    response.m_body = entry.m_body;
    co_return co_await sendCompleteResponse(call, response);
}

/// Handles a request that repeats a ticket while its first attempt still runs: waits for that
/// attempt and sends the same response.
asio::awaitable<CallError> waitForFirstAttempt(Call &call)
{
    while (timeLeft(call) > Millis{} && !call.m_callerDisconnected) {
        const auto entry = findTicketEntry(*call.m_node, call.m_ticket->m_number);
        if (!entry)
            break;
        if (entry->m_state == TicketState::Ended)
            co_return co_await replayResponse(call, *entry);
        co_await sleepFor(pollInterval);
    }
    co_return makeFailure(ErrorKind::DeadlinePassed,
                          "the first attempt with this ticket still runs", RunState::Unknown,
                          retryAfter);
}

asio::awaitable<CallError> runTicketHere(Call &call)
{
    switch (useTicketHere(call)) {
    case TicketUse::Run: {
        const CallError error = co_await runCall(call);
        endTicket(call, error);
        co_return error;
    }
    case TicketUse::Wait:
        co_return co_await waitForFirstAttempt(call);
    case TicketUse::Replay: {
        const auto entry = findTicketEntry(*call.m_node, call.m_ticket->m_number);
        if (entry)
            co_return co_await replayResponse(call, *entry);
        break;
    }
    case TicketUse::OtherRequest:
        co_return makeFailure(ErrorKind::TicketSpent, "the ticket was used for another request");
    case TicketUse::Unknown:
        break;
    }
    co_return makeFailure(ErrorKind::TicketUnknown, "");
}

} // namespace

Ticket issueTicket(Node &node)
{
    Ticket ticket = {node.m_settings.m_host, node.m_incarnation, node.m_nextTicket++};
    LockedTicketShard &shard = shardFor(node, ticket.m_number);
    const std::lock_guard lock(shard.m_mutex);
    TicketEntry &entry = shard.m_shard.m_entries[ticket.m_number];
    entry.m_expires = now(node) + node.m_settings.m_ticketLifetime;
    return ticket;
}

void recordEarlyRefusal(Call &call, CallError &error)
{
    call.m_ticket = parseTicket(fieldOf(call.m_request.m_fields, "Ticket"));
    if (!call.m_ticket)
        return;
    const bool unused
        = isIssuedHere(*call.m_node, *call.m_ticket) && useTicketHere(call) == TicketUse::Run;
    if (unused)
        endTicket(call, error);
    else
        error->m_run = RunState::Unknown;
}

asio::awaitable<CallError> runWithTicket(Call &call)
{
    Node &node = *call.m_node;
    if (isIssuedHere(node, *call.m_ticket))
        co_return co_await runTicketHere(call);
    const auto issuer = memberOf(node, call.m_ticket->m_host);
    const bool reachable = issuer && issuer->m_incarnation == call.m_ticket->m_issuer
        && issuer->m_liveness != Liveness::Dead && !call.m_fromPeer;
    if (!reachable)
        co_return makeFailure(ErrorKind::TicketHolderGone, call.m_ticket->m_host.m_text);
    CallError error = co_await forwardToHost(call, *issuer);
    // NotReady would imply that the request did not run. Only the issuer knows whether an earlier
    // attempt with this ticket ran, so the error says instead that the issuer can't be reached.
    if (error && error->m_kind == ErrorKind::NotReady)
        error = makeFailure(ErrorKind::TicketHolderGone, error->m_detail);
    co_return error;
}

HttpResponse describeTicket(Node &node, const std::string &text)
{
    static constexpr std::array<const char *, 3> names = {"issued", "running", "ended"};
    HttpResponse response;
    response.m_head = {200, {{"Content-Type", "application/json"}}};
    const auto ticket = parseTicket(text);
    const auto entry = ticket && isIssuedHere(node, *ticket)
        ? findTicketEntry(node, ticket->m_number)
        : std::nullopt;
    json::object body = {{"ticket", text}, {"state", "unknown"}, {"run", "unknown"}};
    if (entry) {
        body["state"] = names.at(static_cast<std::size_t>(entry->m_state));
        const bool running = entry->m_state == TicketState::Running;
        body["run"] = running ? "unknown" : toText(entry->m_run);
        body["status"] = entry->m_status;
    }
    response.m_body = json::serialize(body) + "\n";
    return response;
}

} // namespace apricot
