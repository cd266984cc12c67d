// Tests of the decisions on limits that servers name.
#include "serverlimits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

using namespace apricot;

namespace {

const InstanceId server = {"i-1"};

} // namespace

class ServerLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLimitsTest);
    CPPUNIT_TEST(limitsEndOnlyAfterTheyWereNotNamedForAWhile);
    CPPUNIT_TEST(olderNewsOfALimitIsIgnored);
    CPPUNIT_TEST(permitsKeepToTheRate);
    CPPUNIT_TEST(primaryAndDeputyTogetherKeepToWhatAServerBears);
    CPPUNIT_TEST(hostThatTakesOverRepeatsNoBurst);
    CPPUNIT_TEST(onlyTwoHostsGivePermits);
    CPPUNIT_TEST(partGrowsOnlyOnceAllHostsKnowOfTheChange);
    CPPUNIT_TEST(hostThatStoodStillGivesNothingUntilItKnowsTheRegister);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a limit that is dropped by an answer that was under way
    /// when it was named, or because only some answers name it; and against one
    /// that never ends.
    void limitsEndOnlyAfterTheyWereNotNamedForAWhile()
    {
        KnownServer known;
        CPPUNIT_ASSERT(recordLimit(known, {1.5, {900}}, {1'000}));
        CPPUNIT_ASSERT(!recordLimit(known, {1.5, {1'900}}, {2'000}));
        recordLimit(known, {{}, {2'900}}, {3'000});
        CPPUNIT_ASSERT(known.m_said.m_limit.has_value());
        recordLimit(known, {{}, {1'999}}, {9'000});
        CPPUNIT_ASSERT(known.m_said.m_limit.has_value());
        recordLimit(known, {{}, {8'900}}, {9'000});
        CPPUNIT_ASSERT(!known.m_said.m_limit);
        CPPUNIT_ASSERT(recordLimit(known, {0.0, {9'100}}, {9'200}));
        CPPUNIT_ASSERT_EQUAL(lowestLimit, known.m_said.m_limit->m_rate);
    }

    /// Guards against a limit that comes back after it ended, or an older value
    /// that replaces a newer one, through news that were long under way.
    void olderNewsOfALimitIsIgnored()
    {
        KnownServer known;
        CPPUNIT_ASSERT(mergeLimit(known, 4, {1'000}, {1'100}));
        CPPUNIT_ASSERT(!mergeLimit(known, 9, {900}, {1'200}));
        CPPUNIT_ASSERT_EQUAL(4.0, known.m_said.m_limit->m_rate);
        recordLimit(known, {{}, {8'000}}, {8'100});
        CPPUNIT_ASSERT(!mergeLimit(known, 4, {2'000}, {8'200}));
        CPPUNIT_ASSERT(!known.m_said.m_limit);
        CPPUNIT_ASSERT(
            !mergeLimit(known, std::numeric_limits<double>::infinity(), {9'000}, {9'000}));
        CPPUNIT_ASSERT(!known.m_said.m_limit);
    }

    /// Guards against permits beyond the rate and a small burst in any window,
    /// and against time without requests that lets a large burst pass; asks come
    /// far more often than permits.
    void permitsKeepToTheRate()
    {
        for (const double rate : {0.1, 1.5, 100.0}) {
            for (const PermitRole role : {PermitRole::Primary, PermitRole::Deputy}) {
                const PermitPart part = role == PermitRole::Primary ? primaryPart : deputyPart;
                PermitSchedule schedule = startSchedule(role, rate, {0});
                CPPUNIT_ASSERT(takePermit(schedule, role, rate, {0}).has_value());
                int given = 0;
                for (Millis time = {50'000}; time < Millis{150'000}; time = time + Millis{1})
                    given += takePermit(schedule, role, rate, time) ? 0 : 1;
                const double most = rate * part.m_share * 100 + part.m_burst;
                CPPUNIT_ASSERT(given <= most && given >= most - 2);
            }
        }
    }

    /// Guards against a server that gets more than it bears while hosts don't agree on which host
    /// replies: some ask the primary, others the deputy, at any moment.
    void primaryAndDeputyTogetherKeepToWhatAServerBears()
    {
        for (const double rate : {lowestLimit, 0.3, 1.5, 20.0, 100.0}) {
            PermitSchedule primary = startSchedule(PermitRole::Primary, rate, {0});
            PermitSchedule deputy = startSchedule(PermitRole::Deputy, rate, {0});
            std::deque<Millis> given;
            // After 200 s without requests, so that both may give a burst.
            for (Millis time = {200'000}; time < Millis{220'000}; time = time + Millis{1}) {
                if (!takePermit(primary, PermitRole::Primary, rate, time))
                    given.push_back(time);
                if (!takePermit(deputy, PermitRole::Deputy, rate, time))
                    given.push_back(time);
                while (!given.empty() && given.front() + Millis{4'000} <= time)
                    given.pop_front();
                CPPUNIT_ASSERT(static_cast<double>(given.size()) <= 1.5 * rate * 4 + 5);
            }
        }
    }

    /// Guards against the bursts of two primaries one after the other.
    void hostThatTakesOverRepeatsNoBurst()
    {
        constexpr double rate = 1;
        PermitSchedule schedule = startSchedule(PermitRole::Deputy, rate, {0});
        takePermit(schedule, PermitRole::Deputy, rate, {50'000});
        for (Millis time = {60'000}; time < Millis{61'000}; time = time + Millis{1})
            CPPUNIT_ASSERT(takePermit(schedule, PermitRole::Primary, rate, time).has_value());
    }

    /// Guards against a third host that gives permits, as a host that reaches neither of the first
    /// two, or a build of before, may ask it.
    void onlyTwoHostsGivePermits()
    {
        const std::vector<HostName> hosts = {{"h0"}, {"h1"}, {"h2"}, {"h3"}};
        const std::vector<HostName> ranked = permitHosts(server, hosts);
        const std::vector<PermitRole> expected
            = {PermitRole::Primary, PermitRole::Deputy, PermitRole::None, PermitRole::None};
        for (std::size_t rank = 0; rank < ranked.size(); ++rank)
            CPPUNIT_ASSERT(permitRole({}, server, ranked[rank], hosts, {0}) == expected[rank]);
    }

    /// Guards against two hosts that both take themselves for the primary, since one of them hasn't
    /// noticed yet that the other one is in the register again, or started.
    void partGrowsOnlyOnceAllHostsKnowOfTheChange()
    {
        const std::vector<HostName> hosts = permitHosts(server, {{"h0"}, {"h1"}, {"h2"}});
        const std::vector<HostName> left = {hosts[1], hosts[2]}; // the primary leaves
        PermitStanding standing;
        const auto role = [&](std::size_t rank, Millis time) {
            return permitRole(standing, server, hosts[rank], left, time);
        };
        noteHostLeft(standing, hosts[0], {10'000});
        CPPUNIT_ASSERT(role(1, {12'900}) == PermitRole::Deputy);
        CPPUNIT_ASSERT(role(2, {12'900}) == PermitRole::None);
        CPPUNIT_ASSERT(role(1, {13'000}) == PermitRole::Primary);
        CPPUNIT_ASSERT(role(2, {13'000}) == PermitRole::Deputy);
        // A better one that comes counts at once, and one that starts gives nothing at first.
        CPPUNIT_ASSERT(permitRole(standing, server, hosts[1], hosts, {13'000})
                       == PermitRole::Deputy);
        startStanding(standing, {20'000});
        CPPUNIT_ASSERT(role(1, {22'900}) == PermitRole::None);
        CPPUNIT_ASSERT(role(1, {23'000}) == PermitRole::Primary);
    }

    /// Guards against a primary that wakes, or is no longer cut off, and goes on although others
    /// have removed it and give its part; and against one whose moments of standing still cost it
    /// its part.
    void hostThatStoodStillGivesNothingUntilItKnowsTheRegister()
    {
        const std::vector<HostName> hosts = permitHosts(server, {{"h0"}, {"h1"}, {"h2"}});
        PermitStanding standing;
        const auto role
            = [&](Millis time) { return permitRole(standing, server, hosts[0], hosts, time); };
        noteStanding(standing, true, {10'000});
        CPPUNIT_ASSERT(!noteStanding(standing, true, {14'000}));
        CPPUNIT_ASSERT(role({14'000}) == PermitRole::Primary);
        noteStanding(standing, false, {19'500});
        CPPUNIT_ASSERT(role({19'500}) == PermitRole::Deputy); // all others may be gone
        CPPUNIT_ASSERT(noteStanding(standing, true, {20'000}));
        CPPUNIT_ASSERT(role({22'900}) == PermitRole::None);
        CPPUNIT_ASSERT(role({23'000}) == PermitRole::Primary);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitsTest);
