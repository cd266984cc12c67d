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
    TokenFromRecord, // a successor's fencing token follows that of the record alone
    TrustedCopy,     // a record from a copy of the store counts like one written since its return
    NoEra,           // revisions are compared without the era of the store
    LostIsFree,      // a lease whose record a copy lacks is taken at once
    TokenConcluded,  // a release leaves the receiver with the token of the record it saw last
};

/// The lease state of one simulated host. A restart of its process resets it.
struct SimHost
{
    HostName m_name;
    Lease m_lease;
    bool m_up = true;
    Millis m_frozenUntil = {-1};       // the process is suspended until then
    Millis m_turnedAwayUntil = {-1};   // the store refuses the host's calls until then
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
    std::uint64_t m_era = 0;      // above 0: the store states its era and may return from a copy
    std::vector<std::tuple<Millis, LeaseRecord, std::uint64_t>> m_copies; // after each change
    bool m_storeUp = true;
    std::uint64_t m_lastToken = 0; // of the last order
    int m_returns = 0;             // of the store from a copy
    std::size_t m_lastOrderHost = 0;
    Millis m_lastOrder = {-1};
    int m_orders = 0;
    int m_handovers = 0;
    int m_releases = 0;       // that other hosts heard of
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

    bool canCallStore(const SimHost &host) const
    {
        return m_storeUp && m_now > host.m_turnedAwayUntil;
    }

    /// Sends a write to the store that takes effect only if the record still has the revision
    /// `over`. It, or its answer, may be late, and the answer may be lost. During an outage only
    /// late writes reach the store.
    void write(std::size_t at, const LeaseRecord &record, std::uint64_t over, bool takeover)
    {
        SimHost &host = m_hosts[at];
        const Millis began = m_now;
        if (takeover)
            host.m_lease.m_unconfirmedWriteUntil = began + Millis{10'000};
        LeaseWrite write = {record, over, began};
        write.m_record.m_storeEra = storeEra(over);
        const bool late = draw(12) == 0;
        if (!canCallStore(host) && !late)
            return;
        schedule(late ? 500 + draw(5'500) : 1 + draw(20), [=, this] {
            const bool done = m_revision == storeRevision(over);
            if (done) {
                m_record = write.m_record;
                m_revision += 1;
                m_copies.emplace_back(m_now, m_record, m_revision);
            }
            const LeaseWriteResult result = {done, recordInStore(), position()};
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
                if (!stillHolder)
                    return;
                if (storeRevision(result.m_position) == 0)
                    observeMissingLease(writer.m_lease, storeEra(result.m_position), m_now);
                else if (!applyLeaseWrite(writer.m_lease, timing, write, result, m_now))
                    dropLease(writer.m_lease);
            });
        });
    }

    /// Position of the record, as hosts see it.
    std::uint64_t position() const
    {
        return storePosition(m_fault == ProtocolFault::NoEra ? 0 : m_era, m_revision);
    }

    LeaseRecord recordInStore() const
    {
        LeaseRecord record = m_record;
        if (m_fault == ProtocolFault::TrustedCopy || m_fault == ProtocolFault::NoEra)
            record.m_storeEra = storeEra(position());
        return record;
    }

    /// A host reads the record from the store.
    void read(SimHost &host)
    {
        if (m_revision > 0)
            observeLease(host.m_lease, recordInStore(), position(), m_now);
        else
            observeMissingLease(host.m_lease, storeEra(position()), m_now);
        if (m_fault == ProtocolFault::LostIsFree)
            host.m_lease.m_recordLost = false;
    }

    std::uint64_t nextToken(const Lease &lease) const
    {
        return m_fault == ProtocolFault::TokenFromRecord
            ? lease.m_lastSeenRecord.m_fencingToken + 1
            : nextFencingToken(lease, storeEra(position()));
    }

    /// The store is away for a moment and comes back from a copy that is some seconds old.
    void returnFromCopy()
    {
        m_storeUp = false;
        m_storeDownAt = m_now;
        const Millis copied = m_now - Millis{draw(10'000)};
        schedule(100 + draw(2'900), [=, this] {
            m_record = {};
            m_revision = 0;
            for (const auto &[time, record, revision] : m_copies) {
                if (time <= copied) {
                    m_record = record;
                    m_revision = revision;
                }
            }
            m_copies = {{m_now, m_record, m_revision}};
            m_era += 1;
            m_returns += 1;
            m_storeUp = true;
        });
    }

    /// The holder ends its lease, writes that, and tells the other hosts, some of them as an older
    /// build does, without the fencing token.
    void release(std::size_t at)
    {
        SimHost &host = m_hosts[at];
        LeaseRelease released;
        released.m_fencingToken = host.m_lease.m_fencingToken;
        const std::uint64_t over = host.m_lease.m_revision;
        dropLease(host.m_lease);
        if (!canCallStore(host))
            return;
        schedule(1 + draw(20), [=, this]() mutable {
            if (m_revision != storeRevision(over) || storeEra(over) != storeEra(position()))
                return;
            m_record = {{}, "", released.m_fencingToken, storeEra(over)};
            m_revision += 1;
            m_copies.emplace_back(m_now, m_record, m_revision);
            released.m_position = position();
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                const bool lost = draw(5) == 0;
                if (other != at && !lost)
                    schedule(1 + draw(30), [=, this] { hearRelease(m_hosts[other], released); });
            }
        });
    }

    void hearRelease(SimHost &host, LeaseRelease released)
    {
        if (!isRunning(host))
            return;
        const bool olderBuild = draw(2) == 0;
        if (olderBuild)
            released.m_fencingToken = 0;
        if (m_fault == ProtocolFault::TokenConcluded)
            released.m_fencingToken = host.m_lease.m_lastSeenRecord.m_fencingToken;
        observeRelease(host.m_lease, released, m_now);
        m_releases += 1;
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
            const bool renews = age >= timing.m_renewInterval && draw(3) == 0;
            // A holder mostly notices the return of the store before its next renewal.
            if (renews && canCallStore(host) && storeEra(lease.m_revision) < m_era && draw(4) > 0)
                read(host);
            if (renews && lease.m_recordSeen)
                write(at, {host.m_name, std::to_string(m_now.m_count), lease.m_fencingToken},
                      lease.m_revision, false);
            else if (renews)
                write(at, {host.m_name, std::to_string(m_now.m_count), lease.m_fencingToken},
                      storePosition(storeEra(position()), 0), false);
            if (age >= timing.m_renewInterval + Millis{300}
                && m_now - host.m_requestedAt >= Millis{250})
                requestExtension(at);
            return;
        }
        if (!lease.m_recordSeen) {
            if (canCallStore(host))
                read(host);
            if (canCallStore(host) && !lease.m_recordSeen
                && m_now >= takeoverAllowedAt(lease, timing, host.m_name))
                write(at, {host.m_name, "", nextToken(lease)}, position(), true);
            return;
        }
        if (canCallStore(host) && (draw(10) == 0 || lease.m_tokenUnknown))
            read(host);
        if (!lease.m_recordSeen)
            return;
        // Hosts rarely attempt a takeover during an outage: with an unconfirmed write of its own a
        // host must not grant extensions.
        const bool attemptsTakeover
            = (canCallStore(host) || draw(200) == 0) && !lease.m_tokenUnknown;
        LeaseTiming successors = timing;
        if (m_fault == ProtocolFault::NoHandoverDelay)
            successors.m_handoverDelay = {0};
        if (attemptsTakeover && m_now >= takeoverAllowedAt(lease, successors, host.m_name)
            && m_now >= lease.m_unconfirmedWriteUntil)
            write(at, {host.m_name, "", nextToken(lease)}, lease.m_revision, true);
    }

    /// Sends an order and checks the property: orders of two hosts are a handover delay apart.
    void sendOrder(std::size_t at)
    {
        if (m_orders > 0 && at != m_lastOrderHost) {
            m_handovers += 1;
            if (m_now - m_lastOrder < timing.m_handoverDelay)
                m_violated = true;
        }
        const std::uint64_t token = m_hosts[at].m_lease.m_fencingToken;
        const bool reused = m_orders > 0 && token == m_lastToken && at != m_lastOrderHost;
        if (reused || token < m_lastToken)
            m_violated = true;
        m_lastToken = token;
        m_lastOrderHost = at;
        m_lastOrder = m_now;
        m_orders += 1;
        if (!m_storeUp && m_now - m_storeDownAt > timing.m_leaseDuration * 2)
            m_extendedOrders += 1;
    }

    void injectFault()
    {
        SimHost &host = m_hosts[static_cast<std::size_t>(draw(3))];
        switch (draw(6)) {
        case 0: // the process restarts without any state
            host.m_lease = Lease();
            host.m_open.clear();
            host.m_requestNumber += 1'000;
            break;
        case 1:
            host.m_frozenUntil = m_now + Millis{draw(9'000)};
            break;
        case 2:
            host.m_turnedAwayUntil = m_now + Millis{draw(9'000)};
            break;
        case 3:
            for (std::size_t at = 0; at < m_hosts.size(); ++at) {
                if (isRunning(m_hosts[at]) && mayOrder(m_hosts[at].m_lease, timing, m_now))
                    release(at);
            }
            break;
        case 4:
            if (m_era > 0 && m_storeUp) {
                returnFromCopy();
                break;
            }
            [[fallthrough]];
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
            if (draw(40) == 0)
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
    CPPUNIT_TEST(tokenOfReleasedLeaseIsNotGivenOutAgain);
    CPPUNIT_TEST(tokenOfReleaseByOlderBuildIsUnknownUntilRead);
    CPPUNIT_TEST(lastHolderTriesFirstAfterAllHostsRestart);
    CPPUNIT_TEST(extensionGrantDelaysTakeover);
    CPPUNIT_TEST(noExtensionGrantWhileOwnWriteIsUnconfirmed);
    CPPUNIT_TEST(ordersOfTwoHostsAreAHandoverDelayApart);
    CPPUNIT_TEST(brokenVariantsAreDetected);
    CPPUNIT_TEST(tokensRiseOverReturnsOfTheStore);
    CPPUNIT_TEST(recordFromACopyGivesNoShortWait);
    CPPUNIT_TEST(lostRecordDelaysTakeover);
    CPPUNIT_TEST(writeDoneInAnotherEraDoesntCount);
    CPPUNIT_TEST(ordersStayApartOverReturnsOfTheStore);
    CPPUNIT_TEST(brokenVariantsAreDetectedOverReturns);
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

    /// A host that starts during a store outage and never read the record ignores a release: it
    /// would take the lease over without knowing whether the release is the latest record.
    void releaseIsIgnoredByHostThatNeverSawTheRecord()
    {
        Lease neverSaw;
        observeRelease(neverSaw, {"run", 8, otherRecord.m_fencingToken}, start);
        CPPUNIT_ASSERT(!neverSaw.m_recordSeen);
        observeRelease(neverSaw, {"run", 8}, start);
        CPPUNIT_ASSERT(!neverSaw.m_recordSeen);
    }

    /// Guards against a fencing token that is given out twice: a host that the store turned away
    /// missed a whole lease, hears of its release and takes the lease with the next token after
    /// that of the record it saw last.
    void tokenOfReleasedLeaseIsNotGivenOutAgain()
    {
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        const std::uint64_t missedToken = otherRecord.m_fencingToken + 1;
        observeRelease(lease, {"run", 9, missedToken}, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, lease.m_revision);
        CPPUNIT_ASSERT_EQUAL(missedToken, lease.m_lastSeenRecord.m_fencingToken);
        CPPUNIT_ASSERT(lease.m_lastSeenRecord.m_holder.m_text.empty());
        CPPUNIT_ASSERT(!lease.m_tokenUnknown);
        CPPUNIT_ASSERT_EQUAL(missedToken + 1, nextFencingToken(lease, 0));
        observeRelease(lease, {"run", 8, otherRecord.m_fencingToken}, start); // arrives late
        CPPUNIT_ASSERT_EQUAL(missedToken, lease.m_lastSeenRecord.m_fencingToken);
    }

    /// A release that a host of an older build tells of states no token. Its record, or a later
    /// one, has to be read before the lease is taken.
    void tokenOfReleaseByOlderBuildIsUnknownUntilRead()
    {
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        observeRelease(lease, {"run", 9}, start);
        CPPUNIT_ASSERT(lease.m_tokenUnknown);
        observeLease(lease, otherRecord, 8, start); // a delayed heartbeat
        CPPUNIT_ASSERT(lease.m_tokenUnknown);
        const Lease heard = lease;
        const std::uint64_t missedToken = otherRecord.m_fencingToken + 1;
        observeLease(lease, {{}, "run", missedToken}, 9, start + Millis{500});
        CPPUNIT_ASSERT(!lease.m_tokenUnknown);
        CPPUNIT_ASSERT_EQUAL(missedToken + 1, nextFencingToken(lease, 0));
        CPPUNIT_ASSERT(lease.m_recordSeenSince == start);
        lease = heard;
        observeLease(lease, otherRecord, 10, start);
        CPPUNIT_ASSERT(!lease.m_tokenUnknown);
    }

    /// All hosts are killed and restart at the same time. Only the last holder may take the lease
    /// without waiting, but right after a restart its rank may be the last. If it waited for
    /// its rank, the hosts would stay without a holder for longer than needed.
    void lastHolderTriesFirstAfterAllHostsRestart()
    {
        constexpr int lastRank = 8;
        constexpr Millis headStart = {1'000}; // of larger hosts
        Lease lease;
        observeLease(lease, otherRecord, 7, start);
        CPPUNIT_ASSERT(wasLastHolder(lease, {"other"}));
        CPPUNIT_ASSERT_EQUAL(
            start.m_count,
            takeoverAttemptAt(lease, timing, {"other"}, lastRank, headStart).m_count);
        CPPUNIT_ASSERT(!wasLastHolder(lease, {"me"}));
        const Millis allowedAt = takeoverAllowedAt(lease, timing, {"me"});
        CPPUNIT_ASSERT_EQUAL(allowedAt.m_count,
                             takeoverAttemptAt(lease, timing, {"me"}, 0, {0}).m_count);
        CPPUNIT_ASSERT(takeoverAttemptAt(lease, timing, {"me"}, 1, {0}) > allowedAt);
        // A host that knows larger ones leaves the lease to them first.
        CPPUNIT_ASSERT_EQUAL((allowedAt + headStart).m_count,
                             takeoverAttemptAt(lease, timing, {"me"}, 0, headStart).m_count);
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

    /// Random schedules of restarted and suspended processes, released leases, store outages, hosts
    /// that the store turns away, and late or lost messages must never lead to orders of two hosts
    /// that are less than the handover delay apart.
    void ordersOfTwoHostsAreAHandoverDelayApart()
    {
        int handovers = 0;
        int extendedOrders = 0;
        int releases = 0;
        constexpr std::uint64_t seeds = 300;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Simulation simulation(seed, ProtocolFault::None);
            simulation.run({120'000});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !simulation.m_violated);
            handovers += simulation.m_handovers;
            extendedOrders += simulation.m_extendedOrders;
            releases += simulation.m_releases;
        }
        // The random schedules must contain enough handovers and orders on extensions.
        CPPUNIT_ASSERT(handovers > 100);
        CPPUNIT_ASSERT(releases > 100);
        CPPUNIT_ASSERT(extendedOrders > 1'000);
    }

    /// Shows that the simulation can fail: it must detect each broken variant of the protocol.
    void brokenVariantsAreDetected()
    {
        for (const ProtocolFault fault :
             {ProtocolFault::IgnoredGrants, ProtocolFault::SingleGrant,
              ProtocolFault::NoHandoverDelay, ProtocolFault::TokenConcluded}) {
            bool found = false;
            for (std::uint64_t seed = 1; seed <= 300 && !found; ++seed) {
                Simulation simulation(seed, fault);
                simulation.run({120'000});
                found = simulation.m_violated;
            }
            CPPUNIT_ASSERT_MESSAGE("variant " + std::to_string(static_cast<int>(fault)), found);
        }
    }

    /// The store came back from a copy that lacks the last takeovers. A token that follows the
    /// copy's record would be given out a second time.
    void tokensRiseOverReturnsOfTheStore()
    {
        Lease lease;
        observeLease(lease, otherRecord, storePosition(0, 7), start);
        CPPUNIT_ASSERT_EQUAL(otherRecord.m_fencingToken + 1, nextFencingToken(lease, 0));
        LeaseRecord ofEra = otherRecord;
        ofEra.m_fencingToken = nextFencingToken(lease, 1);
        CPPUNIT_ASSERT(ofEra.m_fencingToken > otherRecord.m_fencingToken);
        observeLease(lease, ofEra, storePosition(1, 9), start);
        observeLease(lease, otherRecord, storePosition(2, 7), start); // from a copy
        CPPUNIT_ASSERT(nextFencingToken(lease, 2) > ofEra.m_fencingToken);
        // A process that started after the return knows the copy's record only.
        Lease fresh;
        observeLease(fresh, otherRecord, storePosition(2, 7), start);
        CPPUNIT_ASSERT(nextFencingToken(fresh, 2) > ofEra.m_fencingToken + 1);
    }

    /// A machine that the copy's record names may have lost the lease to another one since, and a
    /// lease released in the copy may be held.
    void recordFromACopyGivesNoShortWait()
    {
        const Millis wait = timing.m_leaseDuration + timing.m_handoverDelay + timing.m_safetyMargin;
        Lease lease;
        observeLease(lease, otherRecord, storePosition(2, 7), start); // written in era 0
        CPPUNIT_ASSERT(!wasLastHolder(lease, {"other"}));
        CPPUNIT_ASSERT(takeoverAllowedAt(lease, timing, {"other"}) == start + wait);
        observeLease(lease, {{}, "run", 4, 1}, storePosition(2, 8), start);
        CPPUNIT_ASSERT(takeoverAllowedAt(lease, timing, {"self"}) == start + wait);
        // The position of an earlier era in a late heartbeat is older, however high its revision.
        observeLease(lease, otherRecord, storePosition(1, 900), start + Millis{900});
        CPPUNIT_ASSERT_EQUAL(storePosition(2, 8), lease.m_revision);
    }

    /// The copy may be older than the lease's first record, while its holder goes on until its
    /// lease ends. Only where no record was ever written it may be created at once.
    void lostRecordDelaysTakeover()
    {
        const Millis wait = timing.m_leaseDuration + timing.m_handoverDelay + timing.m_safetyMargin;
        Lease first;
        observeMissingLease(first, 1, start);
        CPPUNIT_ASSERT(takeoverAllowedAt(first, timing, {"self"}) <= start);
        Lease lease;
        observeLease(lease, otherRecord, storePosition(1, 7), start);
        observeMissingLease(lease, 2, start + Millis{100});
        observeMissingLease(lease, 2, start + Millis{900});
        CPPUNIT_ASSERT(takeoverAllowedAt(lease, timing, {"self"}) == start + Millis{100} + wait);
        observeMissingLease(lease, 3, start + Millis{950}); // came back once more
        CPPUNIT_ASSERT(takeoverAllowedAt(lease, timing, {"self"}) == start + Millis{950} + wait);
        Lease fresh;
        observeMissingLease(fresh, 2, start);
        CPPUNIT_ASSERT(takeoverAllowedAt(fresh, timing, {"self"}) == start + wait);
    }

    /// A conditional write that was meant for a record of one era may fit a revision that was given
    /// out again in the next one. It must not count as done, and while it may still come the host
    /// must grant no extension.
    void writeDoneInAnotherEraDoesntCount()
    {
        const LeaseRecord own = {{"self"}, "run", 5, 1};
        Lease lease;
        observeLease(lease, otherRecord, storePosition(1, 7), start);
        const LeaseWrite write = {own, storePosition(1, 7), start};
        CPPUNIT_ASSERT(
            !applyLeaseWrite(lease, timing, write, {true, own, storePosition(2, 8)}, start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lease.m_fencingToken);
        // A conflict with a record of the copy ends no lease; one with a new record does.
        Lease holder;
        confirmLease(holder, timing, own, storePosition(1, 8), start, start);
        const LeaseWrite renewal = {own, storePosition(1, 8), start};
        CPPUNIT_ASSERT(applyLeaseWrite(holder, timing, renewal,
                                       {false, otherRecord, storePosition(2, 7)}, start));
        const LeaseRecord newer = {{"other"}, "run", 2'000'001, 2};
        CPPUNIT_ASSERT(
            !applyLeaseWrite(holder, timing, renewal, {false, newer, storePosition(2, 9)}, start));
        Lease unconfirmed;
        observeLease(unconfirmed, otherRecord, storePosition(1, 7), start);
        unconfirmed.m_unconfirmedWriteUntil = start + Millis{10'000};
        observeLease(unconfirmed, otherRecord, storePosition(2, 6), start + Millis{9'000});
        CPPUNIT_ASSERT(!grantExtension(unconfirmed, 4, start + Millis{9'100}));
    }

    /// As ordersOfTwoHostsAreAHandoverDelayApart, with a store that also comes back from copies up
    /// to 10 s old. Also checks that no fencing token falls or is used by two hosts.
    void ordersStayApartOverReturnsOfTheStore()
    {
        int returns = 0;
        int handovers = 0;
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            Simulation simulation(seed, ProtocolFault::None);
            simulation.m_era = 1;
            simulation.run({120'000});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !simulation.m_violated);
            returns += simulation.m_returns;
            handovers += simulation.m_handovers;
        }
        CPPUNIT_ASSERT(returns > 1'000);
        CPPUNIT_ASSERT(handovers > 100);
    }

    /// Shows that the simulation can fail over returns of the store.
    void brokenVariantsAreDetectedOverReturns()
    {
        for (const ProtocolFault fault :
             {ProtocolFault::TokenFromRecord, ProtocolFault::TrustedCopy, ProtocolFault::NoEra,
              ProtocolFault::LostIsFree}) {
            bool found = false;
            for (std::uint64_t seed = 1; seed <= 300 && !found; ++seed) {
                Simulation simulation(seed, fault);
                simulation.m_era = 1;
                simulation.run({120'000});
                found = simulation.m_violated;
            }
            CPPUNIT_ASSERT_MESSAGE("variant " + std::to_string(static_cast<int>(fault)), found);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLeaseTest);
