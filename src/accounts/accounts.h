// Client accounts: API keys, and limits of what all hosts together accept for an account.
//
// The published configuration lists the accounts with their keys. A key is accepted while this host
// knows that the configuration in force here was the newest one in the store a short time ago, so
// that a revoked key ends everywhere, also at hosts that lost contact. The limit of an account is a
// token bucket. The lease holder keeps the buckets of all accounts and decides on each request;
// nobody else does, since an allowance kept by a host that can't be reached would add to the limit.
//
// Index
//   1. Published      accounts as the operators publish them
//   2. Keys           which account a request belongs to
//   3. Limits         the token buckets of the lease holder
//
// Times are Millis on the machine's monotonic clock, including time in suspend. The functions do no
// I/O.
#pragma once

#include "apricot.h"

#include <functional>

namespace apricot {

// ---------------------------------------------------------------------------------------------
// 1. Published
// ---------------------------------------------------------------------------------------------

using AccountName = Name<struct AccountTag>;

/// Identifies an account in messages between hosts: a hash of its name.
struct AccountId
{
    std::uint64_t m_hash = 0;

    auto operator<=>(const AccountId &) const = default;
};

AccountId accountIdOf(const AccountName &name);

/// Limit over all hosts together. Its unit is either tokens of the model or requests.
struct AccountLimit
{
    double m_perSecond = 0;                 // 0: no limit
    double m_burst = 0;                     // most that can be used at once after a quiet time
    bool m_countsTokens = false;            // false: each request counts as 1
    std::int64_t m_tokensIfNotStated = 200; // of a request that states no number of tokens
};

struct Account
{
    AccountName m_name;
    std::optional<int> m_priority; // 0 is the most urgent; empty: only the route's counts
    AccountLimit m_limit;
};

/// All accounts. Invariant: each value of m_keys is a key of m_accounts.
struct AccountTable
{
    bool m_required = false; // requests need a key, except on public routes
    std::map<AccountId, Account> m_accounts;
    std::map<std::string, AccountId, std::less<>> m_keys; // by API key
};

/// Adds an account and its keys. Of two accounts with one key the first has it.
void addAccount(AccountTable &table, Account account, const std::vector<std::string> &keys);

/// The account with that id; null if there is none.
const Account *findAccount(const AccountTable &table, AccountId id);

// ---------------------------------------------------------------------------------------------
// 2. Keys
// ---------------------------------------------------------------------------------------------

/// When the configuration in force at this host was last known to be the newest one.
struct KeyConfirmation
{
    Millis m_confirmedAt = {-1'000'000'000}; // it was still the newest one at that time, or later
};

/// Takes over that the configuration in force here was the newest one at `at`. Earlier times than
/// the one known are ignored.
void confirmKeys(KeyConfirmation &confirmation, Millis at);

/// What another host replied to the question for its confirmation. `askedAt`: when the question was
/// sent. The age counts from then, so that a reply that was under way for long, or was read late by
/// a host that was paused, doesn't make the confirmation look newer than it is.
struct ConfirmationReply
{
    Millis m_askedAt;
    Millis m_age;                // of the other host's confirmation when it replied
    std::uint64_t m_version = 0; // of the configuration in force there
};

/// Takes the reply over if the version in force here is at least the one confirmed. Returns false
/// if this host is behind.
bool applyConfirmation(KeyConfirmation &confirmation, const ConfirmationReply &reply,
                       std::uint64_t versionInForce);

enum class KeyVerdict : std::uint8_t {
    NotNeeded,    // no accounts are published, or the route is public
    Accepted,     // of an account
    Unknown,      // no account has the key
    Unverifiable, // the confirmation is too old to say whether the key holds
};

struct KeyDecision
{
    KeyVerdict m_verdict = KeyVerdict::NotNeeded;
    const Account *m_account = nullptr; // set if accepted
};

/// A key that a request presents, and what decides on it.
struct KeyCheck
{
    std::string_view m_key;     // empty: none
    bool m_publicRoute = false; // the route needs no key
    Millis m_confirmWithin;     // ms; a confirmation that is older doesn't count; 0: any counts
    Millis m_arrivedAt;         // of the request
};

/// A key that isn't known is reported as unknown only soon after a confirmation: a newer
/// configuration may have added it, and callers don't repeat a request that was refused for it.
KeyDecision checkKey(const AccountTable &table, const KeyConfirmation &confirmation,
                     const KeyCheck &check);

/// Priority of a request at the server, from 0, the most urgent, to 9. The account's comes first,
/// the route's decides among requests of equal accounts.
int combinedPriority(const Account *account, int routePriority);

// ---------------------------------------------------------------------------------------------
// 3. Limits
// ---------------------------------------------------------------------------------------------

/// What a request counts as; `tokens`: as stated by it, prompt and most output together.
double costOf(const AccountLimit &limit, std::optional<std::int64_t> tokens);

/// Token bucket of one account.
struct QuotaBucket
{
    double m_level = 0;     // available; below 0 after a request that needed more than there was
    Millis m_updatedAt;     // time for which m_level was calculated
    double m_perSecond = 0; // as of then; a limit that is published later counts from then on
    Millis m_promisedUntil; // requests that were refused have been told to come back up to then
};

/// The buckets of all accounts. They belong to one lease: the next holder begins anew.
struct QuotaLedger
{
    std::uint64_t m_fencingToken = 0; // of the lease
    Millis m_startedAt;               // under that lease
    std::map<AccountId, QuotaBucket> m_buckets;
};

/// A bucket may be overdrawn only this long after its ledger was started: the predecessor may have
/// overdrawn it just before.
constexpr Millis noOverdraftTime = {10'000};

/// The ledger for the lease with that fencing token: a new one, with empty buckets, unless it is
/// the present one.
QuotaLedger &ledgerOf(QuotaLedger &ledger, std::uint64_t fencingToken, Millis time);

/// One request for an account.
struct QuotaRequest
{
    AccountId m_account;
    AccountLimit m_limit;   // as published now
    double m_cost = 0;      // see costOf()
    double m_overdraft = 0; // by which a bucket may be overdrawn
};

struct QuotaReply
{
    bool m_granted = false;
    Millis m_wait; // if not granted: when to come back. Successive replies give successive times.
};

/// Grants the request, and takes its cost out of the bucket, if the limit allows it.
QuotaReply takeQuota(QuotaLedger &ledger, const QuotaRequest &request, Millis time);

/// A grant can be returned only so soon after it was given. With later returns more than the limit
/// could run in some seconds: requests that had waited, and those granted in place of others that
/// had waited as long in vain.
constexpr Millis quotaReturnTime = {500};

/// Gives back the cost of a request that was granted at `grantedAt` and has not run, and never
/// will. Does nothing if that was too long ago.
void returnQuota(QuotaLedger &ledger, const QuotaRequest &request, Millis grantedAt, Millis time);

} // namespace apricot
