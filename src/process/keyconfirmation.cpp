// Confirmation of the configuration, on which API keys depend: by other hosts, or else by the
// store. Neither counts while another host is known to have a newer configuration.
#include "process/accountgate.h"
#include "process/log.h"

namespace apricot {

namespace {

constexpr Millis confirmInterval = {250}; // ms between two steps of keepKeysConfirmed()
/// Age of the confirmation from which on another host is asked for a newer one.
constexpr Millis askAge = {900};
/// The same for a second host, chosen at random: the first may be gone.
constexpr Millis askOthersAge = {1'600};
/// The same for the store.
constexpr Millis readAge = {2'400};
constexpr Millis readInterval = {1'200}; // ms between two questions of this host to the store
constexpr Millis askLifetime = {10'000}; // ms; a reply to an older question is ignored

Millis confirmationAge(const Gateway &gateway)
{
    return now(gateway) - gateway.m_accounts->m_confirmation.m_confirmedAt;
}

/// Whether keys depend on the confirmation of the configuration.
bool mustConfirmKeys(const Gateway &gateway)
{
    return gateway.m_settings.m_keyCheckWithin > Millis{0} && gateway.m_routes
        && gateway.m_routes->m_accounts.m_required;
}

/// A ready host at random; null if there is none.
const Peer *randomPeer(Gateway &gateway)
{
    const Peer *chosen = nullptr;
    unsigned seen = 0;
    for (const auto &[host, peer] : gateway.m_peers) {
        if (peer.m_ready && gateway.m_random() % ++seen == 0)
            chosen = &peer;
    }
    return chosen;
}

/// Logs when the confirmation becomes too old for API keys, and when it is fresh again.
void watchConfirmationAge(Gateway &gateway)
{
    AccountGate &gate = *gateway.m_accounts;
    const Millis age = confirmationAge(gateway);
    setConfirmationAge(gateway.m_metrics, age);
    const bool lost = age >= gateway.m_settings.m_keyCheckWithin;
    if (lost == std::exchange(gate.m_confirmationLost, lost))
        return;
    if (lost)
        logWarning("keys_unverifiable", {{"age_ms", std::to_string(age.m_count)}});
    else
        logEvent("keys_verifiable", {{"age_ms", std::to_string(age.m_count)}});
}

} // namespace

void askForConfirmation(Gateway &gateway, const Peer *peer)
{
    if (!peer)
        return;
    AccountGate &gate = *gateway.m_accounts;
    const Millis time = now(gateway);
    std::erase_if(gate.m_confirmationAsks,
                  [&](const auto &ask) { return time - ask.second >= askLifetime; });
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.confirmation_ask = ++gate.m_lastNumber;
    gate.m_confirmationAsks[gate.m_lastNumber] = time;
    sendAccountMessage(gateway, peer->m_entry.m_peer, heartbeat);
}

void replyToConfirmationAsk(Gateway &gateway, const Endpoint &asker, std::uint64_t number)
{
    if (!gateway.m_routes)
        return;
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.confirmation_reply = std::make_unique<wire::ConfirmationReplyT>();
    heartbeat.confirmation_reply->number = number;
    heartbeat.confirmation_reply->version = gateway.m_routes->m_version;
    heartbeat.confirmation_reply->age_ms = confirmationAge(gateway).m_count;
    sendAccountMessage(gateway, asker, heartbeat);
}

void applyConfirmationReply(Gateway &gateway, const HostName &host,
                            const wire::ConfirmationReplyT &reply)
{
    AccountGate &gate = *gateway.m_accounts;
    const auto asked = gate.m_confirmationAsks.find(reply.number);
    if (asked == gate.m_confirmationAsks.end())
        return;
    const ConfirmationReply known = {asked->second, {reply.age_ms}, reply.version};
    gate.m_confirmationAsks.erase(asked);
    hearVersion(gateway, reply.version);
    recordSurveyReply(gateway, host);
    if (!gateway.m_routes)
        return;
    if (isBehindPeers(gateway))
        catchUp(gateway, reply.version, 0, 0);
    else
        applyConfirmation(gate.m_confirmation, known, gateway.m_routes->m_version);
}

void recordConfigurationRead(Gateway &gateway, std::uint64_t revision, Millis began)
{
    AccountGate &gate = *gateway.m_accounts;
    // A version that can't be read may have revoked keys that the one in force still has.
    if (revision == gate.m_unreadableRevision || !gateway.m_routes)
        return;
    gate.m_peerVersions.m_unconfirmedRead = began;
    confirmByRead(gateway);
    noteVersionInForce(gateway);
}

void confirmByRead(Gateway &gateway)
{
    AccountGate &gate = *gateway.m_accounts;
    PeerVersions &versions = gate.m_peerVersions;
    if (!versions.m_unconfirmedRead || versions.m_survey.m_doneInEra != gateway.m_storeEra)
        return;
    const Millis began = *std::exchange(versions.m_unconfirmedRead, std::nullopt);
    if (!isBehindPeers(gateway)) {
        confirmKeys(gate.m_confirmation, began);
        return;
    }
    if (began < versions.m_newestHeardAt)
        return; // the newer version may have been written after the read
    recordOlderRead(gateway);
    gate.m_confirmation = {};
}

asio::awaitable<void> confirmKeysIfDue(Gateway &gateway)
{
    AccountGate &gate = *gateway.m_accounts;
    if (!mustConfirmKeys(gateway))
        co_return;
    const Millis time = now(gateway);
    watchConfirmationAge(gateway);
    const Millis age = confirmationAge(gateway);
    if (age >= askAge)
        askForConfirmation(gateway, holderPeer(gateway));
    if (age >= askOthersAge)
        askForConfirmation(gateway, randomPeer(gateway));
    if (age < readAge || time - gate.m_readAt < readInterval)
        co_return;
    gate.m_readAt = time;
    co_await rereadConfiguration(gateway);
}

asio::awaitable<void> keepKeysConfirmed(Gateway &gateway)
{
    while (true) {
        beginLedger(gateway);
        co_await confirmKeysIfDue(gateway);
        co_await pauseFor(gateway, jittered(gateway, confirmInterval));
    }
}

} // namespace apricot
