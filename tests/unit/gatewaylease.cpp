// Unit tests of the gateway's lease: each rule by itself, then a simulation of hosts, a store and a
// network under random faults.
#include "gateway.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <random>

using namespace apricot;

namespace {

const LeaseTiming timing;
constexpr Millis start = {1'000'000};
const LeaseRecord otherRecord = {{"other"}, "run", 4};

/// Broken variants of the protocol. The simulation must detect each of them.
enum class ProtocolFault : std::uint8_t {
    None,
    IgnoredGrants,   // hosts grant an extension, and take the lease over all the same
    SingleGrant,     // the holder extends its lease when one of the two other hosts granted it
    NoHandoverDelay, // a successor takes the lease over as soon as it expired
};

/// The lease state of one simulated host. A restart of its process resets it.
struct SimHost
{
    HostName m_name;
    Lease m_lease;
    bool m_up = true;
    Millis m_frozenUntil = {-1};       // the process is suspended until then
    std::uint64_t m_requestNumber = 0; // of the latest extension request
    Millis m_requestedAt;              // time of the latest extension request
    std::set<std::size_t> m_open;      // hosts whose extension grant is outstanding
};

/// Something that happens at a given time, such as the arrival of a message.
struct Event
{
    Millis m_at;
    std::function<void()> m_action;
};

/// Simulates hosts that use lease.cpp as the daemon does. Messages and writes to the store take a
/// random time, get lost or arrive late.
struct Simulation
{
    explicit Simulation(std::uint64_t seed, ProtocolFault fault) : m_random(seed), m_fault(fault)
    {
        m_hosts.resize(3);
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
            m_hosts[at].m_name = {"h" + std::to_string(at)};
    }

    std::mt19937_64 m_random;
    ProtocolFault m_fault;
    Millis m_now = start;
    std::vector<SimHost> m_hosts;
    std::vector<Event> m_events;
    LeaseRecord m_record;
    std::uint64_t m_revision = 0; // 0: no record
    bool m_storeUp = true;
    std::size_t m_lastOrderHost = 0;
    Millis m_lastOrder = {-1};
    int m_orders = 0;
    int m_handovers = 0;
    int m_extendedOrders = 0; // orders sent on extensions only, long after the store failed
    Millis m_storeDownAt;
    bool m_violated = false; // orders of two hosts were too close to each other

    std::int64_t draw(std::int64_t below)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
    }

    void schedule(std::int64_t ms, std::function<void()> work)
    {
        m_events.push_back({m_now + Millis{ms}, std::move(work)});
    }

    bool isRunning(const SimHost &host) const { return host.m_up && m_now > host.m_frozenUntil; }

    /// Sends a write to the store that takes effect only if the record still has the revision
    /// `over`. It, or its answer, may be late, and the answer may be lost. During an outage only
    /// late writes reach the store.
    void write(std::size_t at, const LeaseRecord &record, std::uint64_t over, bool takeover)
    {
        SimHost &host = m_hosts[at];
        const Millis began = m_now;
        if (takeover)
            host.m_lease.m_unconfirmedWriteUntil = began + Millis{10'000};
        const std::string run = host.m_lease.m_lastSeenRecord.m_run;
        const bool late = draw(12) == 0;
        if (!m_storeUp && !late)
            return;
        schedule(late ? 500 + draw(5'500) : 1 + draw(20), [=, this] {
            const bool done = m_revision == over;
            if (done) {
                m_record = record;
                m_revision += 1;
            }
            const std::uint64_t revision = m_revision;
            const LeaseRecord inStore = m_record;
            if (late || draw(15) == 0)
                return; // the answer is lost
            schedule(1 + draw(20), [=, this] {
                SimHost &writer = m_hosts[at];
                if (!isRunning(writer))
                    return;
                if (takeover)
                    writer.m_lease.m_unconfirmedWriteUntil = began;
                const bool stillHolder
                    = takeover || writer.m_lease.m_fencingToken == record.m_fencingToken;
                if (done && stillHolder)
                    confirmLease(writer.m_lease, timing, record, revision, began, m_now);
                else if (!done)
                    handleConflict(writer, inStore, revision);
            });
        });
    }

    /// Handles the rejection of a write: the record in the store has another revision.
    void handleConflict(SimHost &host, const LeaseRecord &inStore, std::uint64_t revision)
    {
        observeLease(host.m_lease, inStore, revision, m_now);
        const bool own = inStore.m_holder == host.m_name
            && inStore.m_fencingToken == host.m_lease.m_fencingToken;
        if (host.m_lease.m_fencingToken > 0 && !own)
            dropLease(host.m_lease);
    }

    void requestExtension(std::size_t at)
    {
        SimHost &host = m_hosts[at];
        host.m_requestNumber += 1;
        host.m_requestedAt = m_now;
        host.m_open.clear();
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            if (other == at)
                continue;
            host.m_open.insert(other);
            if (draw(10) == 0)
                continue;
            const std::uint64_t number = host.m_requestNumber;
            const std::uint64_t fencingToken = host.m_lease.m_fencingToken;
            schedule(1 + draw(30),
                     [=, this] { handleExtensionRequest(other, at, number, fencingToken); });
        }
    }

    void handleExtensionRequest(std::size_t at, std::size_t requester, std::uint64_t number,
                                std::uint64_t fencingToken)
    {
        SimHost &host = m_hosts[at];
        if (!isRunning(host))
            return;
        const Lease before = host.m_lease;
        if (!grantExtension(host.m_lease, fencingToken, m_now))
            return;
        if (m_fault == ProtocolFault::IgnoredGrants)
            host.m_lease = before;
        schedule(1 + draw(30), [=, this] {
            SimHost &holder = m_hosts[requester];
            if (!isRunning(holder) || number != holder.m_requestNumber)
                return;
            holder.m_open.erase(at);
            const bool granted = holder.m_open.empty() || m_fault == ProtocolFault::SingleGrant;
            if (granted && holder.m_lease.m_fencingToken > 0)
                extendLease(holder.m_lease, timing, holder.m_requestedAt);
        });
    }

    /// Lets one host renew, extend or take the lease and send an order, as its state demands.
    void step(std::size_t at)
    {
        SimHost &host = m_hosts[at];
        if (!isRunning(host))
            return;
        Lease &lease = host.m_lease;
        if (lease.m_fencingToken > 0 && !mayOrder(lease, timing, m_now))
            dropLease(lease);
        if (lease.m_fencingToken > 0) {
            sendOrder(at);
            const Millis age = m_now - (lease.m_validUntil - timing.m_leaseDuration);
            if (age >= timing.m_renewInterval && draw(3) == 0)
                write(at, {host.m_name, std::to_string(m_now.m_count), lease.m_fencingToken},
                      lease.m_revision, false);
            if (age >= timing.m_renewInterval + Millis{300}
                && m_now - host.m_requestedAt >= Millis{250})
                requestExtension(at);
            return;
        }
        if (!lease.m_recordSeen) {
            if (m_storeUp && m_revision > 0)
                observeLease(lease, m_record, m_revision, m_now);
            else if (m_storeUp)
                write(at, {host.m_name, "", 1}, 0, true);
            return;
        }
        if (m_storeUp && draw(10) == 0)
            observeLease(lease, m_record, m_revision, m_now);
        // Hosts rarely attempt a takeover during an outage: with an unconfirmed write of its own a
        // host must not grant extensions.
        const bool attemptsTakeover = m_storeUp || draw(200) == 0;
        LeaseTiming successors = timing;
        if (m_fault == ProtocolFault::NoHandoverDelay)
            successors.m_handoverDelay = {0};
        if (attemptsTakeover && m_now >= takeoverAllowedAt(lease, successors, host.m_name)
            && m_now >= lease.m_unconfirmedWriteUntil)
            write(at, {host.m_name, "", lease.m_lastSeenRecord.m_fencingToken + 1},
                  lease.m_revision, true);
    }

    /// Sends an order and checks the property: orders of two hosts are a handover delay apart.
    void sendOrder(std::size_t at)
    {
        if (m_orders > 0 && at != m_lastOrderHost) {
            m_handovers += 1;
            if (m_now - m_lastOrder < timing.m_handoverDelay)
                m_violated = true;
        }
        m_lastOrderHost = at;
        m_lastOrder = m_now;
        m_orders += 1;
        if (!m_storeUp && m_now - m_storeDownAt > timing.m_leaseDuration * 2)
            m_extendedOrders += 1;
    }

    void injectFault()
    {
        SimHost &host = m_hosts[static_cast<std::size_t>(draw(3))];
        switch (draw(4)) {
        case 0: // the process restarts without any state
            host.m_lease = Lease();
            host.m_open.clear();
            host.m_requestNumber += 1'000;
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
                const auto work = std::move(m_events[done].m_action);
                m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(done));
                work();
            }
            for (std::size_t at = 0; at < m_hosts.size(); ++at)
                step(at);
            if (draw(60) == 0)
                injectFault();
        }
    }
};

} // namespace

class GatewayLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayLeaseTest);
    CPPUNIT_TEST(holderStopsBeforeSuccessorMayTakeOver);
    CPPUNIT_TEST(renewalRestartsTheTakeoverWait);
    CPPUNIT_TEST(releasedLeaseMayBeTakenAfterHandoverDelay);
    CPPUNIT_TEST(restartedHolderMayTakeItsLeaseAtOnce);
    CPPUNIT_TEST(releaseIsIgnoredByHostThatNeverSawTheRecord);
    CPPUNIT_TEST(lastHolderTriesFirstAfterAllHostsRestart);
    CPPUNIT_TEST(extensionGrantDelaysTakeover);
    CPPUNIT_TEST(noExtensionGrantWhileOwnWriteIsUnconfirmed);
    CPPUNIT_TEST(ordersOfTwoHostsAreAHandoverDelayApart);
    CPPUNIT_TEST(brokenVariantsAreDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two hosts that send orders at the same time. The holder counts the validity
    /// of its lease from the sending of the renewal, a successor from the moment at which it saw
    /// the renewal, so a delayed message can only widen the gap between them.
    void holderStopsBeforeSuccessorMayTakeOver()
    {
        Lease holder;
        confirmLease(holder, timing, otherRecord, 7, start, start + Millis{400});
        Lease successor;
        observeLease(successor, otherRecord, 7, start + Millis{1});
        const Millis taken = takeoverAllowedAt(successor, timing, {"self"});
        CPPUNIT_ASSERT(mayOrder(holder, timing, start + Millis{1'000}));
        CPPUNIT_ASSERT(
            !mayOrder(holder, timing, start + timing.m_leaseDuration - timing.m_safetyMargin));
        CPPUNIT_ASSERT(taken - (start + timing.m_leaseDuration) >= timing.m_handoverDelay);
        CPPUNIT_ASSERT(!mayOrder(Lease(), timing, start));
    }

    /// A successor must wait the full time from each renewal that it sees. The same record seen
    /// again, or an older one in a delayed heartbeat, must not change the wait.
    void renewalRestartsTheTakeoverWait()
    {
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        const Millis first = takeoverAllowedAt(lease, timing, {"self"});
        observeLease(lease, otherRecord, 7, start + Millis{500}); // the same record again
        CPPUNIT_ASSERT(first == takeoverAllowedAt(lease, timing, {"self"}));
        observeLease(lease, otherRecord, 8, start + Millis{500});
        CPPUNIT_ASSERT(first + Millis{500} == takeoverAllowedAt(lease, timing, {"self"}));
        observeLease(lease, otherRecord, 7, start + Millis{900}); // a delayed heartbeat
        CPPUNIT_ASSERT(first + Millis{500} == takeoverAllowedAt(lease, timing, {"self"}));
    }

    /// A successor needn't wait for the expiry of a released lease, but the minimum time between
    /// orders of two holders still applies.
    void releasedLeaseMayBeTakenAfterHandoverDelay()
    {
        Lease lease;
        observeLease(lease, {{}, "run", 4}, 7, start);
        CPPUNIT_ASSERT(takeoverAllowedAt(lease, timing, {"self"})
                       == start + timing.m_handoverDelay + timing.m_safetyMargin);
    }

    /// One machine never has two holders at once. If a restarted holder waited like a successor, no
    /// host could send orders in the meantime.
    void restartedHolderMayTakeItsLeaseAtOnce()
    {
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        CPPUNIT_ASSERT(takeoverAllowedAt(lease, timing, {"other"}) == start);
    }

    /// A release names the record's revision, not its fencing token. A host that starts during a
    /// store outage and never read the record must ignore it: it would take the lease over with
    /// fencing token 1, which an earlier holder used already.
    void releaseIsIgnoredByHostThatNeverSawTheRecord()
    {
        Lease neverSaw;
        observeRelease(neverSaw, "run", 8, start);
        CPPUNIT_ASSERT(!neverSaw.m_recordSeen);
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        observeRelease(lease, "run", 8, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, lease.m_revision);
        CPPUNIT_ASSERT_EQUAL(otherRecord.m_fencingToken, lease.m_lastSeenRecord.m_fencingToken);
        CPPUNIT_ASSERT(lease.m_lastSeenRecord.m_holder.m_text.empty());
    }

    /// All hosts are killed and restart at the same time. Only the last holder may take the lease
    /// without waiting, but right after a restart its rank may be the last. If it waited for
    /// its rank, the hosts would stay without a holder for longer than needed.
    void lastHolderTriesFirstAfterAllHostsRestart()
    {
        constexpr int lastRank = 8;
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        CPPUNIT_ASSERT(wasLastHolder(lease, {"other"}));
        CPPUNIT_ASSERT_EQUAL(start.m_count,
                             takeoverAttemptAt(lease, timing, {"other"}, lastRank).m_count);
        CPPUNIT_ASSERT(!wasLastHolder(lease, {"me"}));
        const Millis allowedAt = takeoverAllowedAt(lease, timing, {"me"});
        CPPUNIT_ASSERT_EQUAL(allowedAt.m_count,
                             takeoverAttemptAt(lease, timing, {"me"}, 0).m_count);
        CPPUNIT_ASSERT(takeoverAttemptAt(lease, timing, {"me"}, 1) > allowedAt);
    }

    /// During a store outage the holder continues on extensions. A host that took the lease over
    /// soon after it granted one would send orders at the same time as the holder. An earlier
    /// holder's request must get no grant, and a holder must grant none.
    void extensionGrantDelaysTakeover()
    {
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        CPPUNIT_ASSERT(!grantExtension(lease, 3, start)); // request of an earlier holder
        CPPUNIT_ASSERT(grantExtension(lease, 4, start + Millis{5'000}));
        const Millis wait = timing.m_leaseDuration + timing.m_handoverDelay + timing.m_safetyMargin;
        CPPUNIT_ASSERT(takeoverAllowedAt(lease, timing, {"self"}) == start + Millis{5'000} + wait);
        Lease holder;
        confirmLease(holder, timing, otherRecord, 7, start, start);
        CPPUNIT_ASSERT(!grantExtension(holder, 4, start));
        extendLease(holder, timing, start + Millis{5'000});
        CPPUNIT_ASSERT(mayOrder(holder, timing, start + Millis{6'000}));
    }

    /// A host tried to take the lease and got no answer. Its write may still be applied and make it
    /// the holder, so until then it must not let the present holder continue.
    void noExtensionGrantWhileOwnWriteIsUnconfirmed()
    {
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        lease.m_unconfirmedWriteUntil = start + Millis{10'000};
        CPPUNIT_ASSERT(!grantExtension(lease, 4, start + Millis{9'000}));
        // A newer record proves that the unconfirmed write failed: it could replace only
        // revision 7.
        observeLease(lease, otherRecord, 8, start + Millis{9'100});
        CPPUNIT_ASSERT(grantExtension(lease, 4, start + Millis{9'200}));
    }

    /// Random schedules of restarted and suspended processes, store outages and late or lost
    /// messages must never lead to orders of two hosts that are less than the handover delay apart.
    void ordersOfTwoHostsAreAHandoverDelayApart()
    {
        int handovers = 0;
        int extendedOrders = 0;
        constexpr std::uint64_t seeds = 300;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Simulation simulation(seed, ProtocolFault::None);
            simulation.run({120'000});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !simulation.m_violated);
            handovers += simulation.m_handovers;
            extendedOrders += simulation.m_extendedOrders;
        }
        // The random schedules must contain enough handovers and orders on extensions.
        CPPUNIT_ASSERT(handovers > 100);
        CPPUNIT_ASSERT(extendedOrders > 1'000);
    }

    /// Shows that the simulation can fail: it must detect each broken variant of the protocol.
    void brokenVariantsAreDetected()
    {
        for (const ProtocolFault fault : {ProtocolFault::IgnoredGrants, ProtocolFault::SingleGrant,
                                          ProtocolFault::NoHandoverDelay}) {
            bool found = false;
            for (std::uint64_t seed = 1; seed <= 300 && !found; ++seed) {
                Simulation simulation(seed, fault);
                simulation.run({120'000});
                found = simulation.m_violated;
            }
            CPPUNIT_ASSERT_MESSAGE("variant " + std::to_string(static_cast<int>(fault)), found);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLeaseTest);
