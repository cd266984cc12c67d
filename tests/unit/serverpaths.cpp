// Tests of the decisions on a host's paths to servers.
#include "serverpaths.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricot;

class ServerPathsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerPathsTest);
    CPPUNIT_TEST(aServerThatIsHeardOfIsNotProbed);
    CPPUNIT_TEST(aSilentServerIsProbedSoonerIfAllAreSilent);
    CPPUNIT_TEST(lostPathsCallForProbesOfOthers);
    CPPUNIT_TEST(aLostPathIsProbedAtGrowingIntervals);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against new connections on a calm day.
    void aServerThatIsHeardOfIsNotProbed()
    {
        ServerPath path;
        recordHeard(path, {10'000});
        const PathSurvey survey = {{10'000}, 0};
        CPPUNIT_ASSERT(probeReason(path, 3, survey, {10'200}) == ProbeReason::None);
        CPPUNIT_ASSERT(probeReason(path, 0, survey, {60'000}) == ProbeReason::None);
    }

    /// Guards against a verdict that comes later than callers may be kept from servers (3 s), and
    /// against probes of a server that is only slow.
    void aSilentServerIsProbedSoonerIfAllAreSilent()
    {
        ServerPath path;
        recordHeard(path, {1'000});
        recordSending(path, 0, {10'000}); // idle before
        CPPUNIT_ASSERT(probeReason(path, 1, {{10'000}, 0}, {10'400}) == ProbeReason::None);
        CPPUNIT_ASSERT(probeReason(path, 1, {{10'000}, 0}, {10'500}) == ProbeReason::Silent);
        CPPUNIT_ASSERT(probeReason(path, 1, {{10'490}, 0}, {10'500}) == ProbeReason::None);
        CPPUNIT_ASSERT(probeReason(path, 1, {{11'490}, 0}, {11'500}) == ProbeReason::Silent);
    }

    /// Guards against finding each lost path out by a request of its own.
    void lostPathsCallForProbesOfOthers()
    {
        ServerPath other;
        recordHeard(other, {9'000});
        CPPUNIT_ASSERT(probeReason(other, 0, {{9'900}, 0}, {10'000}) == ProbeReason::None);
        CPPUNIT_ASSERT(probeReason(other, 0, {{9'900}, 4}, {10'000}) == ProbeReason::Suspected);
        recordHeard(other, {9'900}); // it was heard of since
        CPPUNIT_ASSERT(probeReason(other, 0, {{9'900}, 4}, {10'000}) == ProbeReason::None);
    }

    /// Guards against a way back that is found late, and against a storm of connections.
    void aLostPathIsProbedAtGrowingIntervals()
    {
        ServerPath path;
        Millis time = {10'000};
        CPPUNIT_ASSERT(recordLost(path, time));
        path.m_probedAt = time;
        int probes = 0;
        for (; time < Millis{20'000}; time = time + Millis{50}) {
            if (probeReason(path, 0, {}, time) != ProbeReason::Lost)
                continue;
            probes += 1;
            path.m_probedAt = time;
            CPPUNIT_ASSERT(!recordLost(path, time));
        }
        CPPUNIT_ASSERT(probes >= 9 && probes <= 14);
        CPPUNIT_ASSERT(recordHeard(path, time));
        CPPUNIT_ASSERT(!isLost(path));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPathsTest);
