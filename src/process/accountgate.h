// What one gateway process keeps for client accounts, and the messages between hosts about them.
// The decisions are in accounts/accounts.h.
//
// Two questions are asked of other hosts, each by one datagram that is answered by another: how old
// the confirmation of the configuration is there, and whether the lease holder grants a request of
// an account with a limit. An answer that doesn't come is never taken for a yes.
#pragma once

#include "accounts/accounts.h"
#include "process/heartbeat.h"
#include "process/peerversions.h"

namespace apricot {

/// A question to the lease holder that waits for its reply.
struct PendingQuota
{
    explicit PendingQuota(asio::io_context &io) : m_timer(io) { }

    WakeableTimer m_timer;
    bool m_replied = false;
    bool m_decided = false; // false: the asked host doesn't hold the lease, or not that account
    QuotaReply m_reply;     // valid if m_decided
};

/// A decision of this host as the lease holder, kept for a moment: the question may come twice, and
/// what was granted may be returned, once. What was returned is no longer granted: the question may
/// come once more after that.
struct RecentDecision
{
    QuotaReply m_reply;
    Millis m_at;
    AccountId m_account;
    double m_cost = 0;
};

/// A request that the lease holder decided on.
struct QuotaGrant
{
    QuotaReply m_reply;
    std::uint64_t m_number = 0; // of the ask
};

/// State of one gateway process.
struct AccountGate
{
    KeyConfirmation m_confirmation;
    PeerVersions m_peerVersions;
    bool m_confirmationLost = false;        // as last logged
    std::uint64_t m_unreadableRevision = 0; // of a configuration that can't be read; 0: none
    std::uint64_t m_lastNumber = 0;         // of the questions of this process; random at the start
    std::map<std::uint64_t, Millis> m_confirmationAsks; // by number: when they were sent
    Millis m_readAt = {-1'000'000'000}; // when this host itself last asked the store
    std::map<std::uint64_t, PendingQuota *> m_pendingQuotas; // by number
    /// Questions that ended without a grant, by number, with the time of their end: a grant that
    /// comes after that is given back. A number that isn't here was granted, and its request may
    /// run: a further reply, such as to the repetition of the question, changes nothing.
    std::map<std::uint64_t, Millis> m_endedQuotas;
    Millis m_silenceLoggedAt = {-1'000'000'000};

    // Of the lease holder.
    QuotaLedger m_ledger;
    std::map<std::pair<HostName, std::uint64_t>, RecentDecision> m_recent; // by asker and number
    /// Hosts that left the register a moment ago: they serve callers until the end of their stop.
    std::map<HostName, HostEntry> m_departed;
};

std::shared_ptr<AccountGate> makeAccountGate(asio::io_context &io, std::uint64_t firstNumber);

// --- keyconfirmation.cpp: confirmation of the configuration, on which API keys depend ---

/// To be called when the store answered with the configuration at that revision. `began`: when it
/// was asked.
void recordConfigurationRead(Gateway &gateway, std::uint64_t revision, Millis began);

/// Confirms the configuration in force by the last read, once the other hosts were surveyed in this
/// era of the store. If they have a newer one, the store has lost that, and what it confirmed
/// before is withdrawn.
void confirmByRead(Gateway &gateway);

/// Asks another host how old its confirmation is; null: nobody is asked.
void askForConfirmation(Gateway &gateway, const Peer *peer);

/// Keeps the confirmation of the configuration fresh, by other hosts or else by the store, while
/// API keys depend on it.
asio::awaitable<void> keepKeysConfirmed(Gateway &gateway);

/// One step of the above.
asio::awaitable<void> confirmKeysIfDue(Gateway &gateway);

/// Tells a host that asked how old the confirmation is here.
void replyToConfirmationAsk(Gateway &gateway, const Endpoint &asker, std::uint64_t number);

/// Takes over such a reply. Replies to unknown or old questions are ignored.
void applyConfirmationReply(Gateway &gateway, const HostName &host,
                            const wire::ConfirmationReplyT &reply);

// --- accountgate.cpp: messages about accounts, and their limits ---

/// The lease holder among the other hosts; null if none is known to be alive.
const Peer *holderPeer(const Gateway &gateway);

void sendAccountMessage(Gateway &gateway, const Endpoint &peer, const wire::BeatT &heartbeat);

/// On the lease holder, begins the buckets of a new lease. To be called often, so that they begin
/// with the lease and not with its first request.
void beginLedger(Gateway &gateway);

/// Asks the lease holder whether a request of the account may be sent to a server. Empty if no host
/// decided on it.
asio::awaitable<std::optional<QuotaGrant>> askForQuota(Gateway &gateway, AccountId account,
                                                       double cost);

/// Gives back what was granted for a request that has not run, by the number of the ask.
void giveQuotaBack(Gateway &gateway, std::uint64_t number);

/// To be called when a host left the register.
void rememberDeparted(Gateway &gateway, const HostEntry &host);

/// Takes over questions, replies and returns from another host.
void applyAccountMessages(Gateway &gateway, const HostEntry &host, const wire::BeatT &heartbeat);

/// The same from a host that isn't in the register, if it left it a moment ago. A host that isn't
/// known yet, since it started a moment ago, gets replies on versions only. `from`: its address.
void applyMessagesOfUnregistered(Gateway &gateway, const wire::BeatT &heartbeat,
                                 const Endpoint &from);

} // namespace apricot
