// Tests of the decisions on client accounts: which keys a host accepts, and how much all hosts
// together grant to an account.
#include "accounts/accounts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace apricot;

namespace {

constexpr Millis revokeWithin = {5'000}; // a revoked key must be refused so soon

AccountTable tableWith(const std::string &key)
{
    AccountTable table;
    table.m_required = true;
    addAccount(table, {{"north-bakers"}, {}, {}}, {key});
    return table;
}

KeyVerdict verdictAt(const AccountTable &table, const KeyConfirmation &confirmation,
                     const std::string &key, Millis time)
{
    return checkKey(table, confirmation, {key, false, revokeWithin, time}).m_verdict;
}

/// One decision for an account.
struct Grant
{
    Millis m_at;
    double m_cost = 0;
};

/// Most that was granted in any window.
double busiestWindow(const std::vector<Grant> &grants, Millis window)
{
    double most = 0;
    for (std::size_t first = 0; first < grants.size(); ++first) {
        double sum = 0;
        for (std::size_t at = first;
             at < grants.size() && grants[at].m_at <= grants[first].m_at + window; ++at)
            sum += grants[at].m_cost;
        most = std::max(most, sum);
    }
    return most;
}

/// An account whose callers at 71 hosts ask for a multiple of its limit, while the lease changes
/// hands and holders are paused.
struct QuotaLoad
{
    double m_perSecond = 0; // limit, in tokens
    double m_demand = 1;    // as a multiple of the limit
    double m_handoversPerSecond = 0;
    double m_unservedShare = 0.2; // of the requests granted; their costs are returned
};

/// A request that was granted and doesn't run.
struct Unserved
{
    QuotaRequest m_request;
    Millis m_grantedAt;
    std::uint64_t m_fencingToken = 0;
};

constexpr Millis window = {8'000};
constexpr double overShare = 0.1;  // by which a window may exceed the limit
constexpr double slack = 11'000;   // tokens by which it may exceed it besides
constexpr double meanCost = 1'460; // tokens of a request
constexpr double mostCost = 5'300;

/// Plays the load for a minute; returns the grants of all holders whose requests ran.
std::vector<Grant> playLoad(const QuotaLoad &load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> share(0, 1);
    QuotaLedger ledger;
    std::uint64_t fencingToken = 1;
    std::vector<Grant> ran;
    QuotaRequest request;
    request.m_limit = {load.m_perSecond, load.m_perSecond, true, 200};
    request.m_overdraft = slack / 2;
    const double requestsPerMs = load.m_demand * load.m_perSecond / meanCost / 1'000;
    Millis pausedUntil;
    std::multimap<Millis, Unserved> unserved; // by the time at which they end
    for (Millis time = {0}; time < Millis{60'000}; time = time + Millis{1}) {
        if (share(random) < load.m_handoversPerSecond / 1'000)
            fencingToken += 1;
        if (share(random) < 0.0001)
            pausedUntil = time + Millis{static_cast<std::int64_t>(share(random) * 4'000)};
        for (; !unserved.empty() && unserved.begin()->first <= time;
             unserved.erase(unserved.begin())) {
            const Unserved &ended = unserved.begin()->second;
            if (ended.m_fencingToken == ledger.m_fencingToken)
                returnQuota(ledger, ended.m_request, ended.m_grantedAt, time);
        }
        if (time < pausedUntil || share(random) >= std::min(requestsPerMs, 1.0))
            continue;
        request.m_cost = std::min(-std::log(1 - share(random)) * meanCost, mostCost);
        if (!takeQuota(ledgerOf(ledger, fencingToken, time), request, time).m_granted)
            continue;
        // Some wait for their model in vain, for up to 4 s.
        const Millis waits = {static_cast<std::int64_t>(share(random) * 4'000)};
        if (share(random) < load.m_unservedShare)
            unserved.emplace(time + waits, Unserved{request, time, fencingToken});
        else
            ran.push_back({time, request.m_cost});
    }
    return ran;
}

double allowedInWindow(double perSecond)
{
    const double seconds = static_cast<double>(window.m_count) / 1'000;
    return (perSecond * seconds + perSecond) * (1 + overShare) + slack;
}

} // namespace

class AccountsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AccountsTest);
    CPPUNIT_TEST(keysNeedARecentConfirmation);
    CPPUNIT_TEST(lateRepliesDontMakeAConfirmationNewer);
    CPPUNIT_TEST(newKeyIsntCalledUnknownByAHostThatMayBeBehind);
    CPPUNIT_TEST(accountPriorityComesBeforeTheRoutes);
    CPPUNIT_TEST(limitHoldsWhoeverHoldsTheLease);
    CPPUNIT_TEST(demandBelowTheLimitIsGranted);
    CPPUNIT_TEST(refusedRequestsAreToldDifferentTimes);
    CPPUNIT_TEST(loweredLimitCountsAtOnce);
    CPPUNIT_TEST(hugeRequestDoesntUseUpTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a revoked key that a host accepts for too long because it lost contact: the
    /// key was revoked just after the last confirmation.
    void keysNeedARecentConfirmation()
    {
        const AccountTable table = tableWith("k1");
        KeyConfirmation confirmation;
        CPPUNIT_ASSERT(verdictAt(table, confirmation, "k1", {10'000}) == KeyVerdict::Unverifiable);
        confirmKeys(confirmation, {10'000});
        CPPUNIT_ASSERT(verdictAt(table, confirmation, "k1", {12'900}) == KeyVerdict::Accepted);
        CPPUNIT_ASSERT(verdictAt(table, confirmation, "k1", {15'000}) == KeyVerdict::Unverifiable);
        const KeyDecision open = checkKey(table, confirmation, {"", true, revokeWithin, {99'000}});
        CPPUNIT_ASSERT(open.m_verdict == KeyVerdict::NotNeeded && !open.m_account);
        CPPUNIT_ASSERT(checkKey(table, confirmation, {"k1", false, {0}, {99'000}}).m_verdict
                       == KeyVerdict::Accepted);
    }

    /// Guards against a host that takes an old reply for a new one, because the reply was under way
    /// for long or the host was paused before it read it; and against a confirmation of a version
    /// that this host doesn't have.
    void lateRepliesDontMakeAConfirmationNewer()
    {
        KeyConfirmation confirmation;
        CPPUNIT_ASSERT(applyConfirmation(confirmation, {{10'000}, {700}, 7}, 7));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9'300}, confirmation.m_confirmedAt.m_count);
        CPPUNIT_ASSERT(!applyConfirmation(confirmation, {{20'000}, {0}, 8}, 7));
        CPPUNIT_ASSERT(applyConfirmation(confirmation, {{9'900}, {2'000}, 6}, 7));
        CPPUNIT_ASSERT(applyConfirmation(confirmation, {{9'000}, {-5'000}, 7}, 7));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9'300}, confirmation.m_confirmedAt.m_count);
    }

    /// Guards against 401 for a key that a newer version has, which callers don't repeat.
    void newKeyIsntCalledUnknownByAHostThatMayBeBehind()
    {
        const AccountTable table = tableWith("k1");
        KeyConfirmation confirmation;
        confirmKeys(confirmation, {10'000});
        CPPUNIT_ASSERT(verdictAt(table, confirmation, "k2", {10'500}) == KeyVerdict::Unknown);
        CPPUNIT_ASSERT(verdictAt(table, confirmation, "k2", {13'000}) == KeyVerdict::Unverifiable);
        CPPUNIT_ASSERT(verdictAt(table, confirmation, "", {13'000}) == KeyVerdict::Unknown);
    }

    /// Guards against a low account whose urgent route overtakes a high account, and against routes
    /// of one account that are no longer told apart.
    void accountPriorityComesBeforeTheRoutes()
    {
        Account high = {{"high"}, 0, {}};
        Account low = {{"low"}, 1, {}};
        CPPUNIT_ASSERT(combinedPriority(&high, 2) < combinedPriority(&low, 0));
        CPPUNIT_ASSERT(combinedPriority(&low, 0) < combinedPriority(&low, 2));
        CPPUNIT_ASSERT_EQUAL(2, combinedPriority(nullptr, 2));
        low.m_priority = 40;
        CPPUNIT_ASSERT_EQUAL(9, combinedPriority(&low, 2));
    }

    /// Load: callers at 71 hosts ask for five times the limit of their account. Guards against more
    /// than the limit in any 8 s, with one lease or several in turn, holders that are paused, and
    /// costs that are given back.
    void limitHoldsWhoeverHoldsTheLease()
    {
        for (const double perSecond : {2'700.0, 30'000.0, 263'741.0}) {
            for (const double handovers : {0.0, 0.05, 0.3}) {
                for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                    for (const double unserved : {0.2, 0.8}) {
                        const auto ran = playLoad({perSecond, 5, handovers, unserved}, seed);
                        CPPUNIT_ASSERT(busiestWindow(ran, window) <= allowedInWindow(perSecond));
                    }
                }
            }
        }
    }

    /// Load: an account with steady demand of 55 % of its limit. Guards against refusals of what is
    /// within the limit, which callers lose, from 10 s after the lease was taken on.
    void demandBelowTheLimitIsGranted()
    {
        constexpr double perSecond = 30'000;
        QuotaLedger ledger;
        QuotaRequest request;
        request.m_limit = {perSecond, perSecond, true, 200};
        request.m_cost = meanCost;
        ledgerOf(ledger, 1, {0});
        const auto interval = static_cast<std::int64_t>(meanCost / (0.55 * perSecond) * 1'000);
        for (Millis time = {10'000}; time < Millis{40'000}; time = time + Millis{interval})
            CPPUNIT_ASSERT(takeQuota(ledger, request, time).m_granted);
    }

    /// Load: 30 requests at once for an account at its limit. Guards against callers who all come
    /// back at the same time, to be refused again.
    void refusedRequestsAreToldDifferentTimes()
    {
        QuotaLedger ledger;
        QuotaRequest request;
        request.m_limit = {3'000, 3'000, true, 200};
        request.m_cost = 1'500;
        ledgerOf(ledger, 1, {0});
        Millis last;
        for (int number = 0; number < 30; ++number) {
            const QuotaReply reply = takeQuota(ledger, request, {1});
            CPPUNIT_ASSERT(!reply.m_granted);
            CPPUNIT_ASSERT(reply.m_wait >= last + Millis{499});
            last = reply.m_wait;
        }
    }

    /// Guards against a bucket that stays as full as under the limit before.
    void loweredLimitCountsAtOnce()
    {
        QuotaLedger ledger;
        QuotaRequest request;
        request.m_limit = {50'000, 50'000, true, 200};
        request.m_cost = 2'000;
        ledgerOf(ledger, 1, {0});
        CPPUNIT_ASSERT(takeQuota(ledger, request, {60'000}).m_granted);
        request.m_limit = {2'000, 2'000, true, 200};
        CPPUNIT_ASSERT(takeQuota(ledger, request, {60'001}).m_granted);
        CPPUNIT_ASSERT(!takeQuota(ledger, request, {60'002}).m_granted);
        request.m_limit.m_perSecond = 0;
        CPPUNIT_ASSERT(takeQuota(ledger, request, {60'003}).m_granted);
    }

    /// Guards against one request that states a huge number of tokens: it must neither run nor keep
    /// others of its account out.
    void hugeRequestDoesntUseUpTheLimit()
    {
        QuotaLedger ledger;
        QuotaRequest request;
        request.m_limit = {3'000, 3'000, true, 200};
        request.m_overdraft = slack / 2;
        request.m_cost = 1e9;
        ledgerOf(ledger, 1, {0});
        CPPUNIT_ASSERT(!takeQuota(ledger, request, {60'000}).m_granted);
        request.m_cost = costOf(request.m_limit, {});
        CPPUNIT_ASSERT_EQUAL(200.0, request.m_cost);
        CPPUNIT_ASSERT(takeQuota(ledger, request, {60'000}).m_granted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountsTest);
