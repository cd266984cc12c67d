// Messages between hosts about client accounts, and the grants of the lease holder for accounts
// with a limit. Confirmations of the configuration are in keyconfirmation.cpp.
#include "process/accountgate.h"
#include "process/log.h"

#include <cmath>

namespace apricot {

namespace {

constexpr Millis quotaReplyTimeout = {150};        // ms; some round trips, and a busy event loop
constexpr int quotaAsks = 2;                       // of one request: a datagram may be lost
constexpr Millis recentDecisionTime = {2'000};     // ms; a question is repeated sooner than that
constexpr std::size_t maxRecentDecisions = 20'000; // more than are asked for in that time
constexpr std::size_t maxDeparted = 400;           // hosts; more don't stop at the same time
constexpr Millis silenceLogInterval = {1'000};
constexpr Millis lateGrantTime = {2'000}; // after that the holder takes nothing back

/// The buckets of this host's lease. A new lease begins without the decisions of the last one.
QuotaLedger &ownLedger(Gateway &gateway)
{
    AccountGate &gate = *gateway.m_accounts;
    if (gate.m_ledger.m_fencingToken != gateway.m_lease.m_fencingToken)
        gate.m_recent.clear();
    return ledgerOf(gate.m_ledger, gateway.m_lease.m_fencingToken, now(gateway));
}

/// Decides on a request of an account, as the lease holder. Empty: this host doesn't hold the
/// lease, or doesn't know the account.
std::optional<QuotaReply> decideQuota(Gateway &gateway, AccountId id, double cost)
{
    if (!holdsLease(gateway) || !gateway.m_routes)
        return {};
    const Account *account = findAccount(gateway.m_routes->m_accounts, id);
    if (!account)
        return {};
    QuotaRequest request;
    request.m_account = id;
    request.m_limit = account->m_limit;
    request.m_cost = cost;
    // Half of the slack, which is in tokens: another lease may overdraw within the same time.
    if (account->m_limit.m_countsTokens)
        request.m_overdraft = gateway.m_settings.m_accountSlack / 2;
    const QuotaReply reply = takeQuota(ownLedger(gateway), request, now(gateway));
    countQuotaDecision(gateway.m_metrics, reply.m_granted ? "granted" : "refused");
    return reply;
}

/// As above, for a question that may come twice: both get the same reply.
std::optional<QuotaReply> decideOnce(Gateway &gateway, const HostName &asker, std::uint64_t number,
                                     AccountId account, double cost)
{
    if (!holdsLease(gateway))
        return {};
    ownLedger(gateway);
    auto &recent = gateway.m_accounts->m_recent;
    const std::pair<HostName, std::uint64_t> key = {asker, number};
    const auto found = recent.find(key);
    if (found != recent.end())
        return found->second.m_reply;
    const auto reply = decideQuota(gateway, account, cost);
    const Millis time = now(gateway);
    if (recent.size() >= maxRecentDecisions)
        std::erase_if(recent, [&](const auto &entry) {
            return time - entry.second.m_at >= recentDecisionTime;
        });
    if (reply && recent.size() < maxRecentDecisions)
        recent[key] = {*reply, time, account, cost};
    return reply;
}

/// Returns what was granted, as the lease holder: once, and only shortly after the grant.
void applyReturn(Gateway &gateway, const HostName &asker, std::uint64_t number)
{
    if (!holdsLease(gateway) || !gateway.m_routes)
        return;
    QuotaLedger &ledger = ownLedger(gateway);
    auto &recent = gateway.m_accounts->m_recent;
    const auto found = recent.find({asker, number});
    if (found == recent.end() || !found->second.m_reply.m_granted)
        return;
    const RecentDecision granted = found->second;
    found->second.m_reply = {false, Millis{1}};
    countQuotaDecision(gateway.m_metrics, "returned");
    const Account *account = findAccount(gateway.m_routes->m_accounts, granted.m_account);
    if (account)
        returnQuota(ledger, {granted.m_account, account->m_limit, granted.m_cost}, granted.m_at,
                    now(gateway));
}

void replyToQuotaAsk(Gateway &gateway, const HostEntry &host, const wire::QuotaAskT &ask)
{
    if (!std::isfinite(ask.cost) || ask.cost < 0)
        return;
    const auto reply = decideOnce(gateway, host.m_host, ask.number, {ask.account}, ask.cost);
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.quota_reply = std::make_unique<wire::QuotaReplyT>();
    heartbeat.quota_reply->number = ask.number;
    heartbeat.quota_reply->decided = reply.has_value();
    heartbeat.quota_reply->granted = reply && reply->m_granted;
    heartbeat.quota_reply->wait_ms = reply ? static_cast<std::int32_t>(reply->m_wait.m_count) : 0;
    sendAccountMessage(gateway, host.m_peer, heartbeat);
}

void applyQuotaReply(Gateway &gateway, const wire::QuotaReplyT &reply)
{
    const auto pending = gateway.m_accounts->m_pendingQuotas.find(reply.number);
    if (pending == gateway.m_accounts->m_pendingQuotas.end()) {
        if (reply.granted && gateway.m_accounts->m_endedQuotas.erase(reply.number) > 0)
            giveQuotaBack(gateway, reply.number);
        return;
    }
    if (pending->second->m_reply.m_granted)
        return; // the request takes that grant; another holder's reply changes nothing
    pending->second->m_replied = true;
    pending->second->m_decided = reply.decided;
    pending->second->m_reply = {reply.granted, {std::max(reply.wait_ms, 1)}};
    wake(pending->second->m_timer);
}

/// Records that a question ended without a grant.
void recordEndedQuota(Gateway &gateway, std::uint64_t number)
{
    auto &ended = gateway.m_accounts->m_endedQuotas;
    const Millis time = now(gateway);
    while (!ended.empty() && time - ended.begin()->second >= lateGrantTime)
        ended.erase(ended.begin()); // numbers rise, so the first ones are the oldest
    ended[number] = time;
}

void logSilence(Gateway &gateway, const char *why)
{
    AccountGate &gate = *gateway.m_accounts;
    countQuotaDecision(gateway.m_metrics, "unanswered");
    if (now(gateway) - gate.m_silenceLoggedAt < silenceLogInterval)
        return;
    gate.m_silenceLoggedAt = now(gateway);
    logWarning("quota_undecided", {{"holder", gateway.m_holder.m_text}, {"why", why}});
}

} // namespace

std::shared_ptr<AccountGate> makeAccountGate(asio::io_context &io, std::uint64_t firstNumber)
{
    auto gate = std::make_shared<AccountGate>();
    gate->m_lastNumber = firstNumber;
    gate->m_peerVersions.m_survey.m_timer = std::make_unique<WakeableTimer>(io);
    return gate;
}

const Peer *holderPeer(const Gateway &gateway)
{
    const auto peer = gateway.m_peers.find(gateway.m_holder);
    // A stopping host isn't in the register any more, and gets no heartbeats.
    const bool alive = gateway.m_stopping || isHolderAlive(gateway);
    return alive && peer != gateway.m_peers.end() ? &peer->second : nullptr;
}

void sendAccountMessage(Gateway &gateway, const Endpoint &peer, const wire::BeatT &heartbeat)
{
    sendDatagram(gateway, MessageKind::Account, peer, encodeHeartbeat(heartbeat));
}

void beginLedger(Gateway &gateway)
{
    if (holdsLease(gateway))
        ownLedger(gateway);
}

asio::awaitable<std::optional<QuotaGrant>> askForQuota(Gateway &gateway, AccountId account,
                                                       double cost)
{
    AccountGate &gate = *gateway.m_accounts;
    const std::uint64_t number = ++gate.m_lastNumber;
    if (holdsLease(gateway)) {
        const auto reply = decideOnce(gateway, gateway.m_settings.m_host, number, account, cost);
        if (!reply)
            co_return std::nullopt;
        co_return QuotaGrant{*reply, number};
    }
    PendingQuota pending(gateway.m_io);
    gate.m_pendingQuotas[number] = &pending;
    for (int asked = 0; asked < quotaAsks && !pending.m_replied; ++asked) {
        const Peer *holder = holderPeer(gateway);
        if (!holder)
            break;
        wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
        heartbeat.quota_ask = std::make_unique<wire::QuotaAskT>();
        heartbeat.quota_ask->number = number;
        heartbeat.quota_ask->account = account.m_hash;
        heartbeat.quota_ask->cost = cost;
        sendAccountMessage(gateway, holder->m_entry.m_peer, heartbeat);
        co_await sleepUntilWoken(pending.m_timer, quotaReplyTimeout);
    }
    gate.m_pendingQuotas.erase(number);
    if (!pending.m_reply.m_granted)
        recordEndedQuota(gateway, number);
    if (pending.m_replied && pending.m_decided)
        co_return QuotaGrant{pending.m_reply, number};
    logSilence(gateway, pending.m_replied ? "the asked host doesn't decide" : "no reply");
    co_return std::nullopt;
}

void giveQuotaBack(Gateway &gateway, std::uint64_t number)
{
    if (holdsLease(gateway))
        return applyReturn(gateway, gateway.m_settings.m_host, number);
    const Peer *holder = holderPeer(gateway);
    if (!holder)
        return; // the next holder doesn't count what its predecessor granted
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.quota_return = std::make_unique<wire::QuotaReturnT>();
    heartbeat.quota_return->number = number;
    sendAccountMessage(gateway, holder->m_entry.m_peer, heartbeat);
}

void rememberDeparted(Gateway &gateway, const HostEntry &host)
{
    auto &departed = gateway.m_accounts->m_departed;
    if (departed.size() >= maxDeparted)
        departed.clear();
    departed[host.m_host] = host;
}

void applyAccountMessages(Gateway &gateway, const HostEntry &host, const wire::BeatT &heartbeat)
{
    if (heartbeat.confirmation_ask > 0)
        replyToConfirmationAsk(gateway, host.m_peer, heartbeat.confirmation_ask);
    if (heartbeat.confirmation_reply)
        applyConfirmationReply(gateway, host.m_host, *heartbeat.confirmation_reply);
    if (heartbeat.quota_ask)
        replyToQuotaAsk(gateway, host, *heartbeat.quota_ask);
    if (heartbeat.quota_reply)
        applyQuotaReply(gateway, *heartbeat.quota_reply);
    if (heartbeat.quota_return)
        applyReturn(gateway, host.m_host, heartbeat.quota_return->number);
}

void applyMessagesOfUnregistered(Gateway &gateway, const wire::BeatT &heartbeat,
                                 const Endpoint &from)
{
    if (!heartbeat.brief)
        return;
    const auto host = gateway.m_accounts->m_departed.find({heartbeat.host});
    if (host != gateway.m_accounts->m_departed.end()) {
        host->second.m_peer = from; // it may have started again at another address
        applyAccountMessages(gateway, host->second, heartbeat);
    } else if (heartbeat.confirmation_ask > 0) {
        replyToConfirmationAsk(gateway, from, heartbeat.confirmation_ask);
    }
}

} // namespace apricot
