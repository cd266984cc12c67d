// What an exchange showed of its server: whether it answered, its load, whether it refused,
// survived the request or crashed.
#include "request/relay.h"

namespace apricot {

namespace {

/// For this long a server isn't tried for a model after it refused a request for it.
constexpr Millis refusalRetryDelay = {150};

/// Has it found out whether the server crashed when its connection ended. If so, the request may be
/// why, unless the server had survived the beginning of the answer. `answered`: the answer was
/// complete.
void reportIfCrashed(Relay &relay, const InstanceId &id, bool answered)
{
    const AnswerProgress &answer = relay.m_answer;
    if (answer.m_survived || !relay.m_viaHost.m_text.empty())
        return;
    const AnswerStage stage = answer.m_firstEventAt ? AnswerStage::Streaming
        : answer.m_headReceived                     ? AnswerStage::Beginning
                                                    : AnswerStage::NotBegun;
    const Millis sentAt = relay.m_chosenAt + relay.m_sendDelay;
    reportPossibleCrash(*relay.m_gateway, id,
                        {{relay.m_fingerprint, stage, relay.m_metadata.m_sharedParts,
                          now(*relay.m_gateway) - sentAt},
                         answered});
}

} // namespace

std::string softwareVersionOf(const Gateway &gateway, const InstanceId &server)
{
    const KnownServer *known = knownServer(gateway.m_serverTable, server);
    return known ? known->m_server.m_softwareVersion : std::string();
}

void recordResult(Relay &relay, const InstanceId &id, bool good)
{
    if (KnownServer *known = knownServer(relay.m_gateway->m_serverTable, id))
        recordServerResult(*known, good, now(*relay.m_gateway));
}

void recordAnswer(Relay &relay, const InstanceId &id, bool good)
{
    Gateway &gateway = *relay.m_gateway;
    const Millis time = now(gateway);
    recordResult(relay, id, good);
    recordRunTime(gateway.m_runTimes[relay.m_route->m_name], time - relay.m_chosenAt, time);
}

void recordLoad(Relay &relay, const InstanceId &id, const ServerLoad &load)
{
    KnownServer *known = knownServer(relay.m_gateway->m_serverTable, id);
    if (!known || load.m_slots == 0)
        return;
    known->m_load = load;
    known->m_loadReportedAt = now(*relay.m_gateway);
    known->m_inFlightAtLoadReport = known->m_inFlight;
}

void recordRefusal(Relay &relay, const InstanceId &id, const AnswerMetadata &metadata)
{
    KnownServer *known = knownServer(relay.m_gateway->m_serverTable, id);
    if (!known)
        return;
    const Millis time = now(*relay.m_gateway);
    const std::string key = adapterKey(relay.m_metadata.m_model, relay.m_metadata.m_adapter);
    if (!relay.m_metadata.m_model.m_text.empty())
        known->m_refusedUntil[key] = time + refusalRetryDelay;
    else if (metadata.m_misdirected)
        recordServerResult(*known, false, time);
}

void recordSurvival(Relay &relay)
{
    if (std::exchange(relay.m_answer.m_survived, true) || !relay.m_viaHost.m_text.empty())
        return;
    recordServedCauses(*relay.m_gateway, relay.m_causes);
}

void recordAnswerEnd(Relay &relay, const InstanceId &id)
{
    if (relay.m_framing == BodyFraming::ConnectionEnd)
        reportIfCrashed(relay, id, true);
    else
        recordSurvival(relay);
}

void recordErrorAnswer(Relay &relay)
{
    if (relay.m_framing != BodyFraming::ConnectionEnd)
        recordServedCauses(*relay.m_gateway, {{CauseKind::Request, relay.m_fingerprint}});
}

SendResult recordSendFailure(Relay &relay, const InstanceId &id, Failure failure)
{
    // An exchange that was ended on this side tells nothing of the server.
    if (callerDisconnected(relay) || relay.m_endedByHost)
        return {SendOutcome::Failed, std::move(failure)};
    recordResult(relay, id, false);
    if (KnownServer *known = knownServer(relay.m_gateway->m_serverTable, id))
        known->m_path.m_suspected = true;
    if (failure.m_connectionEnded)
        reportIfCrashed(relay, id, false);
    return {SendOutcome::Failed, std::move(failure)};
}

} // namespace apricot
