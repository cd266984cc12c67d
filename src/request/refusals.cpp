// Answers of the gateway itself to a caller's request, and the log line that ends each request. A
// refusal never claims that a request was not executed if it may have been.
#include "process/log.h"
#include "request/relay.h"

#include <cmath>

namespace apricot {

namespace {

/// Makes the error response for a failure. Retry-After is set only if the request was not executed.
HttpResponse errorResponseFor(const Failure &failure)
{
    const ErrorResponse &row = errorResponseFor(failure.m_kind);
    HttpResponse response;
    response.m_head.m_status = row.m_status;
    addField(response.m_head.m_fields, "Content-Type", "text/plain");
    if (row.m_sendsRetryAfter && failure.m_run == RunState::NotRun) {
        const Millis after
            = failure.m_retryAfter.m_count > 0 ? failure.m_retryAfter : defaultRetryAfter;
        const std::int64_t tenths = (after.m_count + 99) / 100;
        addField(response.m_head.m_fields, "Retry-After",
                 std::to_string(tenths / 10) + "." + std::to_string(tenths % 10));
    }
    response.m_body = std::string(row.m_name) + "\n";
    return response;
}

/// Adjusts a failure so that its answer doesn't claim that the request was not executed if it may
/// have been. Status codes that imply this claim are replaced by the one for a broken backend
/// server.
Failure withoutFalseNotRun(const Relay &relay, Failure failure)
{
    if (relay.m_runs == 0)
        return failure;
    failure.m_run = RunState::Unknown;
    if (promisesNotRun(errorResponseFor(failure.m_kind).m_status))
        failure.m_kind = ErrorKind::BackendBroken;
    return failure;
}

/// A host that can't take requests now tells another host so in a way that has it ask a third one.
Failure forOtherHost(const Relay &relay, Failure failure)
{
    const bool isOfThisHost = failure.m_kind == ErrorKind::Stopping
        || failure.m_kind == ErrorKind::NotReady || failure.m_kind == ErrorKind::KeyUnverifiable;
    if (isOfThisHost && !relay.m_forwardedBy.m_text.empty())
        failure.m_kind = ErrorKind::ReachedElsewhere;
    return failure;
}

/// Formats the expected load of a server in hundredths of its slots. The value is higher by 10,000
/// after a recent failure of the server.
std::string loadText(double load)
{
    return std::to_string(std::lround(load * 100));
}

/// The limit that the last server named, in requests a second; empty if it named none.
std::string limitText(const Relay &relay)
{
    return relay.m_answer.m_limit ? std::to_string(*relay.m_answer.m_limit) : std::string();
}

} // namespace

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isUnstatedPromise(const AnswerMetadata &metadata, unsigned status, bool viaHost)
{
    const bool isOfServer = !viaHost || metadata.m_serverStamped || !metadata.m_id.empty();
    return isOfServer && promisesNotRun(status) && !metadata.m_notRun;
}

std::string connectionText(const Relay &relay)
{
    const ConnectionUse &use = relay.m_answer.m_sentOn;
    if (use.m_connection == 0)
        return {};
    return std::to_string(use.m_connection) + "/" + std::to_string(use.m_requests);
}

void logCall(const Relay &relay, const char *outcome, const Failure &failure, unsigned status)
{
    const Gateway &gateway = *relay.m_gateway;
    const Millis took = now(gateway) - relay.m_arrived;
    const Millis limit = relay.m_route ? relay.m_deadline - relay.m_arrived : Millis{0};
    logEvent("answered",
             {{"id", relay.m_metadata.m_id},
              {"route", relay.m_route ? relay.m_route->m_name : ""},
              {"fingerprint", relay.m_route ? toHex(relay.m_fingerprint) : ""},
              {"model", adapterKey(relay.m_metadata.m_model, relay.m_metadata.m_adapter)},
              {"parts", toText(relay.m_metadata.m_sharedParts)},
              {"outcome", outcome},
              {"status", std::to_string(status)},
              {"why", failure.m_detail},
              {"run", toText(failure.m_run)},
              {"server", relay.m_choice.m_server.m_text},
              {"via", relay.m_viaHost.m_text},
              {"forwarded_by", relay.m_forwardedBy.m_text},
              {"version", softwareVersionOf(gateway, relay.m_choice.m_server)},
              {"resumes", relay.m_metadata.m_resumes},
              {"resume_after", relay.m_metadata.m_resumeAfter},
              {"candidates", std::to_string(relay.m_choice.m_candidates)},
              {"load", loadText(relay.m_choice.m_load)},
              {"servers_revision", positionText(relay.m_serverTableRevision)},
              {"servers_age_ms", std::to_string(relay.m_serverTableAge.m_count)},
              {"send_ms", std::to_string(relay.m_sendDelay.m_count)},
              {"sends", std::to_string(relay.m_sends)},
              {"connection", connectionText(relay)},
              {"waited_ms", std::to_string(relay.m_modelWaitTime.m_count)},
              {"first_ms", std::to_string(relay.m_firstEvent.m_count)},
              {"framing", relay.m_framing ? toText(*relay.m_framing) : ""},
              {"server_limit", limitText(relay)},
              {"partial_bytes", std::to_string(relay.m_eventScanner.m_partialEvent.size())},
              {"pause_ms", std::to_string(relay.m_longestEventGap.m_count)},
              {"took_ms", std::to_string(took.m_count)},
              {"limit_ms", std::to_string(limit.m_count)},
              {"config", relay.m_routes ? std::to_string(relay.m_routes->m_version) : "none"}});
}

asio::awaitable<void> refuse(Relay &relay, Failure failure)
{
    failure = forOtherHost(relay, std::move(failure));
    failure = withoutFalseNotRun(relay, std::move(failure));
    Gateway &gateway = *relay.m_gateway;
    relay.m_surelyNotRun = failure.m_run == RunState::NotRun && !relay.m_headSent;
    countAnswer(gateway.m_metrics, failure.m_kind);
    if (callerDisconnected(relay)) {
        logCall(relay, "caller_gone", failure, 0);
        co_return;
    }
    if (relay.m_headSent) {
        abortResponse(*relay.m_exchange);
        logCall(relay, "aborted", failure, 0);
        co_return;
    }
    const HttpResponse response = errorResponseFor(failure);
    logCall(relay, errorResponseFor(failure.m_kind).m_name, failure, response.m_head.m_status);
    co_await sendResponse(*relay.m_exchange, response);
}

} // namespace apricot
