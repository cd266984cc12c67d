// Token buckets of client accounts, as the lease holder keeps them.
#include "accounts/accounts.h"

#include <algorithm>
#include <cmath>

namespace apricot {

namespace {

constexpr double msPerSecond = 1'000;
/// Longest time that a refused request is told to wait.
constexpr Millis longestWait = {30'000};

/// The time in which the bucket of the limit gains so much, rounded up.
Millis timeFor(double amount, double perSecond)
{
    const double ms = std::max(amount, 0.0) / perSecond * msPerSecond;
    return {static_cast<std::int64_t>(
        std::ceil(std::min(ms, static_cast<double>(longestWait.m_count))))};
}

/// The bucket of the account at that time. A new one has what has accrued under the lease, which is
/// nothing at its start: what the holder before has granted isn't known.
QuotaBucket &bucketAt(QuotaLedger &ledger, const QuotaRequest &request, Millis time)
{
    const auto [entry, added] = ledger.m_buckets.try_emplace(request.m_account);
    QuotaBucket &bucket = entry->second;
    if (added) {
        bucket.m_updatedAt = ledger.m_startedAt;
        bucket.m_perSecond = request.m_limit.m_perSecond;
    }
    const double ms = static_cast<double>(std::max(time - bucket.m_updatedAt, Millis{0}).m_count);
    bucket.m_level
        = std::min(bucket.m_level + bucket.m_perSecond * ms / msPerSecond, request.m_limit.m_burst);
    bucket.m_updatedAt = std::max(time, bucket.m_updatedAt);
    bucket.m_perSecond = request.m_limit.m_perSecond;
    return bucket;
}

/// When a refused request may come back: after those that were refused before it.
Millis promise(QuotaBucket &bucket, const QuotaRequest &request, double lacking, Millis time)
{
    const double perSecond = request.m_limit.m_perSecond;
    const Millis earliest = time + timeFor(lacking, perSecond);
    const Millis afterOthers = bucket.m_promisedUntil + timeFor(request.m_cost, perSecond);
    bucket.m_promisedUntil = std::min(std::max(earliest, afterOthers), time + longestWait);
    return std::max(bucket.m_promisedUntil - time, Millis{1});
}

} // namespace

double costOf(const AccountLimit &limit, std::optional<std::int64_t> tokens)
{
    if (!limit.m_countsTokens)
        return 1;
    return static_cast<double>(
        std::max<std::int64_t>(tokens.value_or(limit.m_tokensIfNotStated), 0));
}

QuotaLedger &ledgerOf(QuotaLedger &ledger, std::uint64_t fencingToken, Millis time)
{
    if (ledger.m_fencingToken != fencingToken) {
        ledger = {};
        ledger.m_fencingToken = fencingToken;
        ledger.m_startedAt = time;
    }
    return ledger;
}

QuotaReply takeQuota(QuotaLedger &ledger, const QuotaRequest &request, Millis time)
{
    if (request.m_limit.m_perSecond <= 0)
        return {true, {}};
    QuotaBucket &bucket = bucketAt(ledger, request, time);
    const bool mayOverdraw = time - ledger.m_startedAt >= noOverdraftTime;
    const double lacking
        = request.m_cost - bucket.m_level - (mayOverdraw ? request.m_overdraft : 0);
    if (lacking > 0)
        return {false, promise(bucket, request, lacking, time)};
    bucket.m_level -= request.m_cost;
    return {true, {}};
}

void returnQuota(QuotaLedger &ledger, const QuotaRequest &request, Millis grantedAt, Millis time)
{
    if (request.m_limit.m_perSecond <= 0 || time - grantedAt >= quotaReturnTime)
        return;
    QuotaBucket &bucket = bucketAt(ledger, request, time);
    bucket.m_level = std::min(bucket.m_level + request.m_cost, request.m_limit.m_burst);
}

} // namespace apricot
