// Client account of a request: its API key, and its cost against the limit of the account.
#include "process/accountgate.h"
#include "request/relay.h"

namespace apricot {

namespace {

/// Retry-After if this host can't check keys: others may, and callers then use one of them.
constexpr Millis retryUnverified = {300};
constexpr Millis retryUndecided = {400}; // Retry-After if the holder is known but didn't decide
/// Time from the end of a lease until the next holder has taken it.
constexpr Millis takeoverTime = {500};

/// When the limits are decided on again: at once, or when a next holder may have the lease.
Millis timeUntilDecisions(const Gateway &gateway)
{
    const Millis at = takeoverAllowedAt(gateway.m_lease, gateway.m_leaseTiming, {});
    const Millis wait = at - now(gateway);
    return !isHolderAlive(gateway) && wait > Millis{0} ? wait + takeoverTime : retryUndecided;
}

} // namespace

std::optional<Failure> findAccount(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    KeyCheck check;
    check.m_key = relay.m_metadata.m_key;
    check.m_publicRoute = relay.m_route->m_public;
    check.m_confirmWithin = gateway.m_settings.m_keyCheckWithin;
    check.m_arrivedAt = relay.m_arrived;
    const KeyDecision decision
        = checkKey(relay.m_routes->m_accounts, gateway.m_accounts->m_confirmation, check);
    relay.m_account = decision.m_account;
    switch (decision.m_verdict) {
    case KeyVerdict::Unknown:
        return makeFailure(ErrorKind::KeyUnknown, "no client account has the API key");
    case KeyVerdict::Unverifiable:
        return makeFailure(ErrorKind::KeyUnverifiable,
                           "the configuration wasn't confirmed recently", retryUnverified);
    case KeyVerdict::NotNeeded:
    case KeyVerdict::Accepted:
        break;
    }
    return std::nullopt;
}

asio::awaitable<std::optional<Failure>> chargeAccount(Relay &relay)
{
    const bool limited = relay.m_account && relay.m_account->m_limit.m_perSecond > 0;
    if (!limited || !relay.m_forwardedBy.m_text.empty())
        co_return std::nullopt;
    Gateway &gateway = *relay.m_gateway;
    const double cost = costOf(relay.m_account->m_limit, relay.m_metadata.m_tokens);
    const auto reply = co_await askForQuota(gateway, accountIdOf(relay.m_account->m_name), cost);
    if (!reply)
        co_return makeFailure(ErrorKind::QuotaUnavailable,
                              "no host decided on the limit of the account",
                              timeUntilDecisions(gateway));
    if (!reply->m_reply.m_granted)
        co_return makeFailure(ErrorKind::QuotaExceeded,
                              "account " + relay.m_account->m_name.m_text + " is at its limit",
                              reply->m_reply.m_wait);
    relay.m_charged = reply->m_number;
    co_return std::nullopt;
}

void returnUnusedCharge(const Relay &relay)
{
    if (relay.m_charged && relay.m_surelyNotRun)
        giveQuotaBack(*relay.m_gateway, *relay.m_charged);
}

} // namespace apricot
