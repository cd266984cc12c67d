// The lease: its rules one by one, then hosts, a store and a network under random faults.
#include "gateway.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <random>

using namespace apricot;

namespace {

const LeaseTiming timing;
constexpr Millis start = {1'000'000};
const LeaseRecord otherRecord = {{"other"}, "run", 4};

/// Ways in which the protocol would be wrong; the simulation must find each.
enum class Broken : std::uint8_t {
    Nothing,
    ForgottenPromises, // hosts promise, and take the lease all the same
    OnePromise,        // the holder goes on when one host of two promised
    NoTurn,            // a successor takes the lease as soon as it has run out
};

/// One process of one host in the simulation. A restart begins with an empty one.
struct SimHost
{
    HostName m_name;
    Lease m_lease;
    bool m_up = true;
    Millis m_frozenUntil = {-1};
    std::uint64_t m_askNumber = 0;
    Millis m_asked;
    std::set<std::size_t> m_open; // asked and not answered
};

struct Event
{
    Millis m_at;
    std::function<void()> m_do;
};

/// Hosts that use lease.cpp as the daemon does, with messages and writes that take a random time,
/// get lost or are late.
struct Simulation
{
    explicit Simulation(std::uint64_t seed, Broken broken) : m_random(seed), m_broken(broken)
    {
        m_hosts.resize(3);
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
            m_hosts[at].m_name = {"h" + std::to_string(at)};
    }

    std::mt19937_64 m_random;
    Broken m_broken;
    Millis m_now = start;
    std::vector<SimHost> m_hosts;
    std::vector<Event> m_events;
    LeaseRecord m_record;
    std::uint64_t m_revision = 0; // 0: no record
    bool m_storeUp = true;
    std::size_t m_lastOrderer = 0;
    Millis m_lastOrder = {-1};
    int m_orders = 0;
    int m_turns = 0;
    int m_extendedOrders = 0; // long after the store went away
    Millis m_storeDownAt;
    bool m_violated = false;

    std::int64_t draw(std::int64_t below)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
    }

    void after(std::int64_t ms, std::function<void()> work)
    {
        m_events.push_back({m_now + Millis{ms}, std::move(work)});
    }

    bool runs(const SimHost &host) const { return host.m_up && m_now > host.m_frozenUntil; }

    /// A conditional write: it takes effect, its answer may be lost, either may be late.
    void write(std::size_t at, const LeaseRecord &record, std::uint64_t over, bool takeover)
    {
        SimHost &host = m_hosts[at];
        const Millis began = m_now;
        if (takeover)
            host.m_lease.m_doubtUntil = began + Millis{10'000};
        const std::string run = host.m_lease.m_seen.m_run;
        const bool late = draw(12) == 0;
        if (!m_storeUp && !late)
            return;
        after(late ? 500 + draw(5'500) : 1 + draw(20), [=, this] {
            const bool done = m_revision == over;
            if (done) {
                m_record = record;
                m_revision += 1;
            }
            const std::uint64_t revision = m_revision;
            const LeaseRecord inStore = m_record;
            if (late || draw(15) == 0)
                return; // the answer is lost
            after(1 + draw(20), [=, this] {
                SimHost &writer = m_hosts[at];
                if (!runs(writer))
                    return;
                if (takeover)
                    writer.m_lease.m_doubtUntil = began;
                const bool stillOurs = takeover || writer.m_lease.m_fence == record.m_fence;
                if (done && stillOurs)
                    holdLease(writer.m_lease, timing, record, revision, began, m_now);
                else if (!done)
                    refused(writer, inStore, revision);
            });
        });
    }

    void refused(SimHost &host, const LeaseRecord &inStore, std::uint64_t revision)
    {
        seeLease(host.m_lease, inStore, revision, m_now);
        const bool own = inStore.m_holder == host.m_name && inStore.m_fence == host.m_lease.m_fence;
        if (host.m_lease.m_fence > 0 && !own)
            dropLease(host.m_lease);
    }

    void ask(std::size_t at)
    {
        SimHost &host = m_hosts[at];
        host.m_askNumber += 1;
        host.m_asked = m_now;
        host.m_open.clear();
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            if (other == at)
                continue;
            host.m_open.insert(other);
            if (draw(10) == 0)
                continue;
            const std::uint64_t number = host.m_askNumber;
            const std::uint64_t fence = host.m_lease.m_fence;
            after(1 + draw(30), [=, this] { answerAsk(other, at, number, fence); });
        }
    }

    void answerAsk(std::size_t at, std::size_t asker, std::uint64_t number, std::uint64_t fence)
    {
        SimHost &host = m_hosts[at];
        if (!runs(host))
            return;
        const Lease before = host.m_lease;
        if (!promiseLease(host.m_lease, fence, m_now))
            return;
        if (m_broken == Broken::ForgottenPromises)
            host.m_lease = before;
        after(1 + draw(30), [=, this] {
            SimHost &holder = m_hosts[asker];
            if (!runs(holder) || number != holder.m_askNumber)
                return;
            holder.m_open.erase(at);
            const bool enough = holder.m_open.empty() || m_broken == Broken::OnePromise;
            if (enough && holder.m_lease.m_fence > 0)
                extendLease(holder.m_lease, timing, holder.m_asked);
        });
    }

    void step(std::size_t at)
    {
        SimHost &host = m_hosts[at];
        if (!runs(host))
            return;
        Lease &lease = host.m_lease;
        if (lease.m_fence > 0 && !mayOrder(lease, timing, m_now))
            dropLease(lease);
        if (lease.m_fence > 0) {
            order(at);
            const Millis age = m_now - (lease.m_validUntil - timing.m_length);
            if (age >= timing.m_renew && draw(3) == 0)
                write(at, {host.m_name, std::to_string(m_now.m_count), lease.m_fence},
                      lease.m_revision, false);
            if (age >= timing.m_renew + Millis{300} && m_now - host.m_asked >= Millis{250})
                ask(at);
            return;
        }
        if (!lease.m_anySeen) {
            if (m_storeUp && m_revision > 0)
                seeLease(lease, m_record, m_revision, m_now);
            else if (m_storeUp)
                write(at, {host.m_name, "", 1}, 0, true);
            return;
        }
        if (m_storeUp && draw(10) == 0)
            seeLease(lease, m_record, m_revision, m_now);
        // Hosts rarely try while they see the store down: a write in doubt forbids promises.
        const bool tries = m_storeUp || draw(200) == 0;
        LeaseTiming successors = timing;
        if (m_broken == Broken::NoTurn)
            successors.m_turn = {0};
        if (tries && m_now >= takeableAt(lease, successors, host.m_name)
            && m_now >= lease.m_doubtUntil)
            write(at, {host.m_name, "", lease.m_seen.m_fence + 1}, lease.m_revision, true);
    }

    /// What the rule is about: orders of two hosts are a turn apart.
    void order(std::size_t at)
    {
        if (m_orders > 0 && at != m_lastOrderer) {
            m_turns += 1;
            if (m_now - m_lastOrder < timing.m_turn)
                m_violated = true;
        }
        m_lastOrderer = at;
        m_lastOrder = m_now;
        m_orders += 1;
        if (!m_storeUp && m_now - m_storeDownAt > timing.m_length * 2)
            m_extendedOrders += 1;
    }

    void fault()
    {
        SimHost &host = m_hosts[static_cast<std::size_t>(draw(3))];
        switch (draw(4)) {
        case 0: // a new process that knows nothing
            host.m_lease = Lease();
            host.m_open.clear();
            host.m_askNumber += 1'000;
            break;
        case 1:
            host.m_frozenUntil = m_now + Millis{draw(9'000)};
            break;
        default:
            m_storeUp = !m_storeUp;
            m_storeDownAt = m_now;
            break;
        }
    }

    void run(Millis length)
    {
        constexpr Millis tick = {50};
        const Millis end = m_now + length;
        while (m_now < end) {
            m_now = m_now + tick;
            for (std::size_t done = 0; done < m_events.size();) {
                if (m_events[done].m_at > m_now) {
                    ++done;
                    continue;
                }
                const auto work = std::move(m_events[done].m_do);
                m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(done));
                work();
            }
            for (std::size_t at = 0; at < m_hosts.size(); ++at)
                step(at);
            if (draw(60) == 0)
                fault();
        }
    }
};

} // namespace

class GatewayLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayLeaseTest);
    CPPUNIT_TEST(holderStopsBeforeASuccessorMayBegin);
    CPPUNIT_TEST(renewalStartsTheWaitAnew);
    CPPUNIT_TEST(releasedLeaseIsTakenAfterOneTurn);
    CPPUNIT_TEST(sameMachineTakesItsOwnLeaseAtOnce);
    CPPUNIT_TEST(releaseTellsNothingToAHostThatNeverSawTheRecord);
    CPPUNIT_TEST(lastHolderComesFirstAfterAllWereKilled);
    CPPUNIT_TEST(promiseHoldsBackASuccessor);
    CPPUNIT_TEST(noPromiseWhileOurOwnWriteIsInDoubt);
    CPPUNIT_TEST(ordersOfTwoHostsAreATurnApart);
    CPPUNIT_TEST(brokenVariantsAreFound);
    CPPUNIT_TEST_SUITE_END();

public:
    void holderStopsBeforeASuccessorMayBegin()
    {
        Lease holder;
        holdLease(holder, timing, otherRecord, 7, start, start + Millis{400});
        Lease successor;
        seeLease(successor, otherRecord, 7, start + Millis{1});
        const Millis taken = takeableAt(successor, timing, {"self"});
        CPPUNIT_ASSERT(mayOrder(holder, timing, start + Millis{1'000}));
        CPPUNIT_ASSERT(!mayOrder(holder, timing, start + timing.m_length - timing.m_margin));
        CPPUNIT_ASSERT(taken - (start + timing.m_length) >= timing.m_turn);
        CPPUNIT_ASSERT(!mayOrder(Lease(), timing, start));
    }

    void renewalStartsTheWaitAnew()
    {
        Lease lease;
        seeLease(lease, otherRecord, 7, start);
        const Millis first = takeableAt(lease, timing, {"self"});
        seeLease(lease, otherRecord, 7, start + Millis{500}); // nothing new
        CPPUNIT_ASSERT(first == takeableAt(lease, timing, {"self"}));
        seeLease(lease, otherRecord, 8, start + Millis{500});
        CPPUNIT_ASSERT(first + Millis{500} == takeableAt(lease, timing, {"self"}));
        seeLease(lease, otherRecord, 7, start + Millis{900}); // an old beat
        CPPUNIT_ASSERT(first + Millis{500} == takeableAt(lease, timing, {"self"}));
    }

    void releasedLeaseIsTakenAfterOneTurn()
    {
        Lease lease;
        seeLease(lease, {{}, "run", 4}, 7, start);
        CPPUNIT_ASSERT(takeableAt(lease, timing, {"self"})
                       == start + timing.m_turn + timing.m_margin);
    }

    void sameMachineTakesItsOwnLeaseAtOnce()
    {
        Lease lease;
        seeLease(lease, otherRecord, 7, start);
        CPPUNIT_ASSERT(takeableAt(lease, timing, {"other"}) == start);
    }

    /// Hunted day: a host started while the store was away, heard that the lease was given back,
    /// and took it with the fencing number 1, which the holder had had.
    void releaseTellsNothingToAHostThatNeverSawTheRecord()
    {
        Lease fresh;
        seeRelease(fresh, "run", 8, start);
        CPPUNIT_ASSERT(!fresh.m_anySeen);
        Lease lease;
        seeLease(lease, otherRecord, 7, start);
        seeRelease(lease, "run", 8, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, lease.m_revision);
        CPPUNIT_ASSERT_EQUAL(otherRecord.m_fence, lease.m_seen.m_fence);
        CPPUNIT_ASSERT(lease.m_seen.m_holder.m_text.empty());
    }

    /// The load: all hosts are killed and start anew at once. By the rank of hosts that all have
    /// just begun, the only one that need not wait would be among the last to try.
    void lastHolderComesFirstAfterAllWereKilled()
    {
        constexpr int lastRank = 8;
        Lease lease;
        seeLease(lease, otherRecord, 7, start);
        CPPUNIT_ASSERT(ownsRecord(lease, {"other"}));
        CPPUNIT_ASSERT_EQUAL(start.m_count, seekAt(lease, timing, {"other"}, lastRank).m_count);
        CPPUNIT_ASSERT(!ownsRecord(lease, {"me"}));
        const Millis free = takeableAt(lease, timing, {"me"});
        CPPUNIT_ASSERT_EQUAL(free.m_count, seekAt(lease, timing, {"me"}, 0).m_count);
        CPPUNIT_ASSERT(seekAt(lease, timing, {"me"}, 1) > free);
    }

    void promiseHoldsBackASuccessor()
    {
        Lease lease;
        seeLease(lease, otherRecord, 7, start);
        CPPUNIT_ASSERT(!promiseLease(lease, 3, start)); // of an earlier holder
        CPPUNIT_ASSERT(promiseLease(lease, 4, start + Millis{5'000}));
        const Millis wait = timing.m_length + timing.m_turn + timing.m_margin;
        CPPUNIT_ASSERT(takeableAt(lease, timing, {"self"}) == start + Millis{5'000} + wait);
        Lease holder;
        holdLease(holder, timing, otherRecord, 7, start, start);
        CPPUNIT_ASSERT(!promiseLease(holder, 4, start));
        extendLease(holder, timing, start + Millis{5'000});
        CPPUNIT_ASSERT(mayOrder(holder, timing, start + Millis{6'000}));
    }

    void noPromiseWhileOurOwnWriteIsInDoubt()
    {
        Lease lease;
        seeLease(lease, otherRecord, 7, start);
        lease.m_doubtUntil = start + Millis{10'000};
        CPPUNIT_ASSERT(!promiseLease(lease, 4, start + Millis{9'000}));
        // A newer record settles it: ours could only follow the one before.
        seeLease(lease, otherRecord, 8, start + Millis{9'100});
        CPPUNIT_ASSERT(promiseLease(lease, 4, start + Millis{9'200}));
    }

    void ordersOfTwoHostsAreATurnApart()
    {
        int turns = 0;
        int extendedOrders = 0;
        constexpr std::uint64_t seeds = 300;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Simulation simulation(seed, Broken::Nothing);
            simulation.run({120'000});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !simulation.m_violated);
            turns += simulation.m_turns;
            extendedOrders += simulation.m_extendedOrders;
        }
        // The schedules must reach what the test is about.
        CPPUNIT_ASSERT(turns > 100);
        CPPUNIT_ASSERT(extendedOrders > 1'000);
    }

    /// The check itself: each broken variant must be caught.
    void brokenVariantsAreFound()
    {
        for (const Broken broken :
             {Broken::ForgottenPromises, Broken::OnePromise, Broken::NoTurn}) {
            bool found = false;
            for (std::uint64_t seed = 1; seed <= 300 && !found; ++seed) {
                Simulation simulation(seed, broken);
                simulation.run({120'000});
                found = simulation.m_violated;
            }
            CPPUNIT_ASSERT_MESSAGE("variant " + std::to_string(static_cast<int>(broken)), found);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLeaseTest);
