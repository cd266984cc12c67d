// The one table from error kind to answer.
#include "apricot.h"

#include <cassert>

namespace apricot {

const std::vector<ErrorAnswer> &errorTable()
{
    using enum ErrorKind;
    using enum RunState;
    static const std::vector<ErrorAnswer> table = {
        {None, "none", 200, false, Ran, "no error"},
        {BadRequest, "bad_request", 400, false, NotRun, "the request is malformed"},
        {UnknownService, "unknown_service", 404, false, NotRun, "no such service is published"},
        {UnknownRoute, "unknown_route", 404, false, NotRun, "no route leads there"},
        {UnknownModel, "unknown_model", 404, false, NotRun, "no such model is published"},
        {UnknownAdapter, "unknown_adapter", 404, false, NotRun, "no such adapter is published"},
        {UnknownWork, "unknown_work", 404, false, NotRun, "no such kind of work is published"},
        {TooLarge, "too_large", 413, false, NotRun, "the body is over the size limit"},
        {DeadlineUnmeetable, "deadline_unmeetable", 503, true, NotRun,
         "it can't be done before the deadline"},
        {DeadlinePassed, "deadline_passed", 504, true, Unknown, "the deadline passed"},
        {QueueFull, "queue_full", 429, true, NotRun, "too many requests wait for this model"},
        {NoCapacity, "no_capacity", 503, true, NotRun, "no accelerator has room for the model"},
        {NoBackendServer, "no_backend_server", 503, true, NotRun, "no backend server answers"},
        {PlatformUnavailable, "platform_unavailable", 503, true, NotRun,
         "a load can't be recorded while the platform is away"},
        {LoadFailed, "load_failed", 503, true, NotRun, "the model could not be loaded"},
        {BackendRefused, "backend_refused", 503, true, NotRun, "the backend server refused it"},
        {BackendBroken, "backend_broken", 502, false, Unknown,
         "the exchange with the backend server broke off"},
        {CrossedAnswer, "crossed_answer", 502, false, Unknown,
         "the backend server answered another request"},
        {TicketUnknown, "ticket_unknown", 409, false, Unknown,
         "the ticket has run out or was never issued"},
        {TicketHolderGone, "ticket_holder_gone", 409, false, Unknown,
         "the host that issued the ticket is gone or can't be reached"},
        {TicketSpent, "ticket_spent", 409, false, NotRun,
         "the ticket was used for another request"},
        {CallerGone, "caller_gone", 499, false, Unknown, "the caller left"},
        {NotReady, "not_ready", 503, true, NotRun, "this host has no configuration yet"},
        {Stopping, "stopping", 503, true, NotRun, "this host is stopping"},
        {Conflict, "conflict", 409, false, NotRun, "another change came first"},
        {Internal, "internal", 500, false, Unknown, "a fault of ours"},
    };
    return table;
}

const ErrorAnswer &answerFor(ErrorKind kind)
{
    const ErrorAnswer &row = errorTable().at(static_cast<std::size_t>(kind));
    assert(row.m_kind == kind && "errorTable() must list the kinds in the order of ErrorKind");
    return row;
}

const char *toText(RunState run)
{
    switch (run) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

Failure makeFailure(ErrorKind kind, std::string detail, Millis retryAfter)
{
    return {kind, std::move(detail), answerFor(kind).m_run, retryAfter};
}

Failure makeFailure(ErrorKind kind, std::string detail, RunState run, Millis retryAfter)
{
    return {kind, std::move(detail), run, retryAfter};
}

} // namespace apricot
