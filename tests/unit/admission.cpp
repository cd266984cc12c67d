// Tests of admission control: who is closed when memory or connections are short.
#include "admission/admission.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricot;

namespace {

constexpr std::size_t large = 4'000'000; // bytes of a large body

AdmissionTable tableFor(double memoryMb, double descriptors)
{
    AdmissionTable table;
    table.m_limits = admissionLimitsOf({memoryMb, descriptors});
    return table;
}

ConnectionId connect(AdmissionTable &table, std::uint64_t number, Millis time)
{
    const ConnectionId id = {number};
    CPPUNIT_ASSERT(admitConnection(table, id, time).m_admitted);
    return id;
}

/// The sum that m_bytes has to be.
std::size_t sumOfBytes(const AdmissionTable &table)
{
    std::size_t sum = 0;
    for (const auto &[id, connection] : table.m_connections)
        sum += connection.m_bytes;
    return sum;
}

} // namespace

class AdmissionDecisionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionDecisionsTest);
    CPPUNIT_TEST(stalledBodiesMakeWayForOthers);
    CPPUNIT_TEST(smallRequestsAlwaysHaveMemory);
    CPPUNIT_TEST(largeRequestsDontCloseSmallOnes);
    CPPUNIT_TEST(completeRequestsAreNeverClosed);
    CPPUNIT_TEST(inactiveConnectionsMakeWayForNewOnes);
    CPPUNIT_TEST(limitsAreOutOfReachOfOrdinaryClients);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: 100 clients stop just short of the end of a large body, on the smallest machine; then
    /// one more sends its body whole. Guards against memory that stalled clients keep, and against
    /// more of it than the limit.
    void stalledBodiesMakeWayForOthers()
    {
        AdmissionTable table = tableFor(120, 3'075);
        for (std::uint64_t client = 1; client <= 100; ++client) {
            const Millis time = {static_cast<std::int64_t>(client)};
            const ConnectionId id = connect(table, client, time);
            for (std::size_t bytes = 0; bytes < large; bytes += large / 10)
                growTo(table, id, bytes, time);
            CPPUNIT_ASSERT(table.m_bytes <= table.m_limits.m_bytes);
            CPPUNIT_ASSERT_EQUAL(sumOfBytes(table), table.m_bytes);
        }
        const ConnectionId sound = connect(table, 200, {5'000});
        for (std::size_t bytes = 0; bytes <= large; bytes += large / 10)
            CPPUNIT_ASSERT(growTo(table, sound, bytes, {5'000}).m_admitted);
        CPPUNIT_ASSERT(table.m_closed > 0);
    }

    /// Load: active clients with large bodies want more than there is. Guards against small
    /// requests that are refused for them.
    void smallRequestsAlwaysHaveMemory()
    {
        AdmissionTable table = tableFor(120, 3'075);
        for (std::uint64_t client = 1; client <= 50; ++client)
            growTo(table, connect(table, client, {1}), large, {1});
        for (std::uint64_t client = 100; client < 150; ++client) {
            const ConnectionId id = connect(table, client, {1});
            const AdmissionDecision decision = growTo(table, id, 8'000, {1});
            CPPUNIT_ASSERT(decision.m_admitted && decision.m_close.empty());
        }
    }

    /// Load: small requests beside large ones that use all that is for them; a further large one
    /// arrives. Guards against small requests that are closed for it, though that frees nothing
    /// that it may use.
    void largeRequestsDontCloseSmallOnes()
    {
        AdmissionTable table = tableFor(120, 3'075);
        std::uint64_t client = 0;
        while (table.m_largeBytes + 2 * large < table.m_limits.m_bytes * 3 / 4) {
            const ConnectionId id = connect(table, ++client, {1});
            growTo(table, id, large, {1});
            setStage(table, id, ConnectionStage::Handling, large, {1});
        }
        for (int number = 0; number < 40; ++number)
            growTo(table, connect(table, ++client, {1}), 20'000, {1});
        for (int number = 0; number < 3; ++number) {
            const ConnectionId late = connect(table, ++client, {2'000});
            const AdmissionDecision decision = growTo(table, late, 2 * large, {2'000});
            CPPUNIT_ASSERT(decision.m_close.empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.m_closed);
        CPPUNIT_ASSERT(table.m_refused > 0);
        CPPUNIT_ASSERT_EQUAL(sumOfBytes(table), table.m_bytes);
    }

    /// Guards against a request that runs and is closed for another one.
    void completeRequestsAreNeverClosed()
    {
        AdmissionTable table = tableFor(64, 0);
        std::uint64_t handled = 0;
        for (std::uint64_t client = 1; client <= 20; ++client) {
            const ConnectionId id = connect(table, client, {1});
            if (!growTo(table, id, large, {1}).m_admitted)
                continue;
            setStage(table, id, ConnectionStage::Handling, large, {1});
            ++handled;
        }
        CPPUNIT_ASSERT(handled >= 2 && handled < 20);
        const ConnectionId late = connect(table, 99, {9'000});
        const AdmissionDecision decision = growTo(table, late, large, {9'000});
        CPPUNIT_ASSERT(!decision.m_admitted && decision.m_close.empty());
        setStage(table, {1}, ConnectionStage::Idle, 0, {9'000});
        removeConnection(table, late);
        CPPUNIT_ASSERT_EQUAL(sumOfBytes(table), table.m_bytes);
    }

    /// Load: more connections than the limit, idle or inside a head. Guards against new clients
    /// that can't connect, and against a client that is closed while its request runs.
    void inactiveConnectionsMakeWayForNewOnes()
    {
        AdmissionTable table = tableFor(0, 210);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, table.m_limits.m_connections);
        const ConnectionId busy = connect(table, 1, {1});
        setStage(table, busy, ConnectionStage::Handling, 100, {1});
        ConnectionId last = busy;
        for (std::uint64_t client = 2; client <= 5; ++client)
            last = connect(table, client, {static_cast<std::int64_t>(client)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, last.m_value);
        const AdmissionDecision decision = admitConnection(table, {6}, {9});
        CPPUNIT_ASSERT(decision.m_admitted);
        CPPUNIT_ASSERT(decision.m_close == std::vector<ConnectionId>{{2}});
        for (std::uint64_t client = 3; client <= 6; ++client)
            setStage(table, {client}, ConnectionStage::Handling, 100, {10});
        CPPUNIT_ASSERT(!admitConnection(table, {7}, {11}).m_admitted);
    }

    /// Guards against a limit that ordinary clients meet: 400 clients with bodies of 10 kB at a
    /// host with the least memory and descriptors, or one with a body of the largest size.
    void limitsAreOutOfReachOfOrdinaryClients()
    {
        AdmissionTable table = tableFor(120, 3'075);
        for (std::uint64_t client = 1; client <= 400; ++client) {
            const AdmissionDecision decision
                = growTo(table, connect(table, client, {1}), 10'000, {1});
            CPPUNIT_ASSERT(decision.m_admitted && decision.m_close.empty());
        }
        CPPUNIT_ASSERT(growTo(table, connect(table, 999, {1}), 5'000'000, {1}).m_close.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, admissionLimitsOf({}).m_connections);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionDecisionsTest);
