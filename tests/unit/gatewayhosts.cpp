// Unit tests of the messages between hosts, on a gateway with real UDP sockets on loopback and no
// other processes.
#include "testgateway.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricot;

namespace {

ServerStatus statusWith(const std::string &model, std::uint64_t sequence)
{
    ServerStatus status;
    status.m_startUnixMs = 1;
    status.m_sequence = sequence;
    status.m_models.push_back({{model}, {}});
    return status;
}

/// When a host was removed in a play of minutes; 0: never.
struct RemovalPlay
{
    Millis m_removedAt;
};

/// A lease holder that hears a host at the interval, or never if it is 0. Datagrams of both are
/// lost with that probability.
RemovalPlay playSilence(std::uint64_t seed, Millis heartbeatInterval, double lost)
{
    std::mt19937_64 random(seed);
    const auto arrives
        = [&] { return std::uniform_real_distribution<double>(0, 1)(random) >= lost; };
    const bool lives = heartbeatInterval.m_count > 0;
    HostSilence silence;
    constexpr Millis end = {120'000};
    for (Millis time = {0}; time < end; time = time + Millis{50}) {
        if (lives && time.m_count % heartbeatInterval.m_count == 0 && arrives())
            silence = {time, 0, {0}};
        const SilenceStep step = nextStep(silence, time);
        if (step == SilenceStep::Remove)
            return {time};
        if (step == SilenceStep::Probe) {
            recordProbe(silence, time);
            if (lives && arrives() && arrives())
                silence = {time, 0, {0}};
        }
    }
    return {};
}

/// The hosts that a test gateway may be one of, with it.
const std::vector<HostName> fourHosts = {{"h0"}, {"h1"}, {"h2"}, {"h3"}};

/// Whether h0 replies to a question of h1 for a permit. That it doesn't shows in the reply to a
/// later question.
bool repliesToPermitAsk(TestGateway &test, const InstanceId &server)
{
    Gateway &gateway = *test.m_gateway;
    BackendServer entry;
    entry.m_id = server;
    entry.m_service = {"service"};
    entry.m_serverStatus.m_startUnixMs = 1;
    applyEntry(gateway.m_serverTable, entry, now(gateway));
    wire::BeatT ask;
    ask.host = "h1";
    ask.brief = true;
    ask.permit_ask = std::make_unique<wire::PermitAskT>();
    ask.permit_ask->number = 1;
    ask.permit_ask->limit = std::make_unique<wire::LimitEntryT>();
    ask.permit_ask->limit->process = processId(gateway.m_serverTable.m_servers.at(server));
    ask.permit_ask->limit->rate = 20;
    test.send(ask);
    wire::BeatT last;
    last.host = "h1";
    last.reply_wanted = true;
    test.hear(last);
    bool replied = false;
    bool complete = false;
    CPPUNIT_ASSERT(test.runUntil([&] {
        for (const wire::BeatT &heartbeat : test.m_peer->received()) {
            replied |= heartbeat.permit_reply != nullptr;
            complete |= !heartbeat.brief;
        }
        return complete;
    }));
    return replied;
}

} // namespace

class GatewayHostsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayHostsTest);
    CPPUNIT_TEST(statusUpdatesOfOneMomentShareADatagram);
    CPPUNIT_TEST(formerHolderSendsNoUpdates);
    CPPUNIT_TEST(newDemandIsReportedAloneBetweenCompleteReports);
    CPPUNIT_TEST(reportOfNewDemandAddsToTheCompleteOne);
    CPPUNIT_TEST(statusUpdateWakesOnlyRequestsForItsModels);
    CPPUNIT_TEST(releaseIsNoticedAfterItsHostLeftTheRegister);
    CPPUNIT_TEST(releaseByOlderBuildLeavesTheTokenUnknown);
    CPPUNIT_TEST(olderBuildsAreNotToldOfReleases);
    CPPUNIT_TEST(heartbeatsTellOfAllServersThatLeave);
    CPPUNIT_TEST(onlyHostsWithAPartOfThePermitsReply);
    CPPUNIT_TEST(hostIsRemovedOnlyAfterUnansweredProbes);
    CPPUNIT_TEST(lostDatagramsRemoveNoHost);
    CPPUNIT_TEST(pausedHolderRemovesNoHost);
    CPPUNIT_TEST(largerHostsComeFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a small host that takes the lease, or reads lists for all, while larger ones
    /// are there: the work of the holder would fill it. Pattern: a few large hosts among many small
    /// ones.
    void largerHostsComeFirst()
    {
        const HostCapacity large = {0.5, 200};
        const HostCapacity small = {0.12, 20};
        CPPUNIT_ASSERT(isLarger(large, small));
        CPPUNIT_ASSERT(!isLarger(small, large));
        CPPUNIT_ASSERT(!isLarger({0.5, 10}, small)); // more cores don't make up for its link
        CPPUNIT_ASSERT(!isLarger(large, {}));        // not stated
        TestGateway test;
        Peer &peer = test.m_gateway->m_peers.at({"h1"}); // "h0" comes before it by name
        peer.m_ready = true;
        peer.m_receivedAt = now(*test.m_gateway);
        CPPUNIT_ASSERT_EQUAL(0, hostRank(*test.m_gateway));
        CPPUNIT_ASSERT(!hasLargerHost(*test.m_gateway));
        test.m_gateway->m_settings.m_capacity = small;
        peer.m_entry.m_capacity = large;
        CPPUNIT_ASSERT_EQUAL(1, hostRank(*test.m_gateway));
        CPPUNIT_ASSERT(hasLargerHost(*test.m_gateway));
        test.m_gateway->m_settings.m_host = {"h2"};
        test.m_gateway->m_settings.m_capacity = large;
        peer.m_entry.m_capacity = small;
        CPPUNIT_ASSERT_EQUAL(0, hostRank(*test.m_gateway));
    }

    /// Guards against more than two hosts that give permits for one server, each as many as the
    /// limit allows: any host that was asked did, also one that was about to end.
    void onlyHostsWithAPartOfThePermitsReply()
    {
        for (const char *const name : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}) {
            TestGateway test;
            for (const char *const other : {"h2", "h3"})
                test.m_gateway->m_peers[{other}].m_entry.m_host = {other};
            const InstanceId server = {name};
            const std::vector<HostName> ranked = permitHosts(server, fourHosts);
            const bool givesSome = ranked[0].m_text == "h0" || ranked[1].m_text == "h0";
            CPPUNIT_ASSERT_EQUAL(givesSome, repliesToPermitAsk(test, server));
            TestGateway stopping;
            stopping.m_gateway->m_stopping = true;
            CPPUNIT_ASSERT(!repliesToPermitAsk(stopping, server));
        }
    }

    /// Guards against a host that is never removed, and one that is removed for its silence alone.
    void hostIsRemovedOnlyAfterUnansweredProbes()
    {
        const RemovalPlay gone = playSilence(1, {0}, 0);
        CPPUNIT_ASSERT(gone.m_removedAt >= removalAfterSilence);
        CPPUNIT_ASSERT(gone.m_removedAt <= removalAfterSilence + Millis{1'000});
        CPPUNIT_ASSERT(nextStep({{0}, 0, {0}}, {60'000}) == SilenceStep::Probe);
    }

    /// Guards against hosts that live and are removed as datagrams get lost, in fleets of any size:
    /// the holder hears one host every 400 ms x hosts / 8. Pattern: one datagram in ten is lost.
    void lostDatagramsRemoveNoHost()
    {
        constexpr double lost = 0.1;
        for (const int hosts : {9, 72, 195, 400, 1'000}) {
            const Millis interval = Millis{400} * std::max(hosts / 8, 1);
            for (std::uint64_t seed = 1; seed <= 20; ++seed)
                CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                                     playSilence(seed, interval, lost).m_removedAt.m_count);
        }
    }

    /// Guards against a holder that was paused: what arrived meanwhile isn't read yet.
    void pausedHolderRemovesNoHost()
    {
        HostSilence silence = {{0}, 0, {0}};
        for (int probe = 0; probe < probesBeforeRemoval; ++probe)
            recordProbe(silence, probeAfterSilence + probeInterval * probe);
        const Millis resumed = silence.m_probedAt + maxProbeGap + Millis{1};
        CPPUNIT_ASSERT(resumed >= removalAfterSilence);
        CPPUNIT_ASSERT(nextStep(silence, resumed) == SilenceStep::Probe);
        recordProbe(silence, resumed);
        CPPUNIT_ASSERT_EQUAL(1, silence.m_probes);
    }

    /// Guards against a lease holder that spends its processor on sending: with one datagram for
    /// each order and each host, hundreds of orders a second take thousands of system calls.
    void statusUpdatesOfOneMomentShareADatagram()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        begin(gateway, "status_updates", sendStatusUpdates(gateway));
        constexpr int servers = 10;
        for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
            for (int number = 0; number < servers; ++number)
                broadcastStatusUpdate(gateway, {"i-" + std::to_string(number)},
                                      statusWith("m" + std::to_string(sequence), sequence));
        }
        std::vector<wire::BeatT> heartbeats;
        CPPUNIT_ASSERT(test.runUntil([&] {
            for (wire::BeatT &heartbeat : test.m_peer->received())
                heartbeats.push_back(std::move(heartbeat));
            return !heartbeats.empty();
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heartbeats.size());
        // Of the two updates of a server only the later one is sent.
        CPPUNIT_ASSERT_EQUAL(std::size_t{servers}, heartbeats[0].notices.size());
        for (const auto &update : heartbeats[0].notices) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, update->sequence);
            CPPUNIT_ASSERT_EQUAL(std::string("m2"), update->models.at(0)->model);
        }
    }

    /// Guards against updates that contradict the next holder's: the hosts' turns may take long.
    void formerHolderSendsNoUpdates()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        confirmLease(gateway.m_lease, gateway.m_leaseTiming, {{"h0"}, "run", 1}, 1, now(gateway),
                     now(gateway));
        broadcastStatusUpdate(gateway, {"i-0"}, statusWith("m0", 1));
        loseLease(gateway, "replaced_by_another_holder");
        sendDueStatusUpdates(gateway);
        CPPUNIT_ASSERT(test.m_peer->received().empty());
    }

    /// Guards against reports that repeat all demands of a host for each new one: the lease holder
    /// would receive several MB a second, and read them in place of watches and requests.
    void newDemandIsReportedAloneBetweenCompleteReports()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        gateway.m_holder = {"h1"};
        constexpr int models = 30;
        const auto keyOf = [](int number) {
            return ModelDemandKey{{"s"}, {"m" + std::to_string(number)}, {}};
        };
        for (int number = 0; number < models; ++number)
            gateway.m_modelDemands[keyOf(number)].m_running = 1;
        begin(gateway, "report_demand", reportDemandToHolder(gateway));
        std::vector<wire::BeatT> reports;
        const auto receivedReports = [&](std::size_t count) {
            for (wire::BeatT &report : test.m_peer->received())
                reports.push_back(std::move(report));
            return reports.size() >= count;
        };
        CPPUNIT_ASSERT(test.runUntil([&] { return receivedReports(1); }));
        CPPUNIT_ASSERT(reports[0].tells_use);
        CPPUNIT_ASSERT_EQUAL(std::size_t{models}, reports[0].wants.size());
        reportNewDemand(gateway, keyOf(7));
        CPPUNIT_ASSERT(test.runUntil([&] { return receivedReports(2); }));
        CPPUNIT_ASSERT(!reports[1].tells_use);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports[1].wants.size());
        CPPUNIT_ASSERT_EQUAL(std::string("m7"), reports[1].wants[0]->model);
        // A lost report of a new demand is made up for by the next complete one.
        gateway.m_clock.m_now = gateway.m_clock.m_now + Millis{1'000};
        reportNewDemand(gateway, keyOf(8));
        CPPUNIT_ASSERT(test.runUntil([&] { return receivedReports(3); }));
        CPPUNIT_ASSERT(reports[2].tells_use);
        CPPUNIT_ASSERT_EQUAL(std::size_t{models}, reports[2].wants.size());
    }

    /// Guards against a report of one new demand that erases the others, or that revives demands
    /// whose complete reports have been missing for too long.
    void reportOfNewDemandAddsToTheCompleteOne()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        Peer &peer = gateway.m_peers[{"h1"}];
        const auto report = [](const std::string &model, bool complete) {
            wire::BeatT heartbeat;
            heartbeat.tells_use = complete;
            heartbeat.wants.push_back(std::make_unique<wire::WantEntryT>());
            heartbeat.wants[0]->service = "s";
            heartbeat.wants[0]->model = model;
            heartbeat.wants[0]->waiting = 1;
            return heartbeat;
        };
        applyDemandReport(gateway, peer, report("m0", true));
        applyDemandReport(gateway, peer, report("m1", false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peer.m_modelDemands.size());
        applyDemandReport(gateway, peer, wire::BeatT()); // a heartbeat without demand
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peer.m_modelDemands.size());
        gateway.m_clock.m_now = gateway.m_clock.m_now + maxDemandAge;
        applyDemandReport(gateway, peer, report("m2", false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer.m_modelDemands.size());
        applyDemandReport(gateway, peer, report("m3", true));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer.m_modelDemands.size());
        CPPUNIT_ASSERT(peer.m_modelDemands.contains({{"s"}, {"m3"}, {}}));
    }

    /// Guards against work that grows with requests times orders: each of the hundreds of status
    /// updates a second made every waiting request look through all servers.
    void statusUpdateWakesOnlyRequestsForItsModels()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        WakeableTimer first(gateway.m_io);
        WakeableTimer second(gateway.m_io);
        gateway.m_modelDemands[{{"s"}, {"m1"}, {}}].m_waitingCalls.push_back({&first, {}, {}});
        gateway.m_modelDemands[{{"s"}, {"m2"}, {}}].m_waitingCalls.push_back({&second, {}, {}});
        BackendServer server;
        server.m_id = {"i-1"};
        server.m_serverStatus = statusWith("m0", 0);
        applyEntry(gateway.m_serverTable, server, now(gateway));
        wire::BeatT heartbeat;
        heartbeat.notices.push_back(std::make_unique<wire::NoticeEntryT>());
        heartbeat.notices[0]->server = "i-1";
        heartbeat.notices[0]->born = 1;
        heartbeat.notices[0]->sequence = 1;
        heartbeat.notices[0]->models.push_back(std::make_unique<wire::LoadedEntryT>());
        heartbeat.notices[0]->models[0]->model = "m2";
        applyStatusUpdates(gateway, heartbeat);
        CPPUNIT_ASSERT(!first.m_woken);
        CPPUNIT_ASSERT(second.m_woken);
    }

    /// Guards against a successor that waits until the lease expires, although its holder released
    /// it: the removal of a stopping holder's entry from the register may arrive before the
    /// heartbeat that tells of the release.
    void releaseIsNoticedAfterItsHostLeftTheRegister()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        constexpr std::uint64_t lastRenewal = 8;
        constexpr std::uint64_t release = 9;
        constexpr std::uint64_t missedToken = 2;
        observeLease(gateway.m_lease, {{"h1@127.0.0.1"}, "run", 1}, lastRenewal, now(gateway));
        gateway.m_holder = {"h1"};
        gateway.m_peers.clear();
        wire::BeatT heartbeat;
        heartbeat.host = "h1";
        heartbeat.run = "run";
        heartbeat.release = std::make_unique<wire::ReleaseEntryT>();
        heartbeat.release->position = release;
        heartbeat.release->fence = missedToken;
        test.hear(heartbeat);
        CPPUNIT_ASSERT(test.runUntil([&] { return gateway.m_lease.m_revision == release; }));
        CPPUNIT_ASSERT(gateway.m_lease.m_lastSeenRecord.m_holder.m_text.empty());
        CPPUNIT_ASSERT_EQUAL(missedToken, gateway.m_lease.m_lastSeenRecord.m_fencingToken);
        CPPUNIT_ASSERT(!gateway.m_lease.m_tokenUnknown);
        CPPUNIT_ASSERT(gateway.m_holder.m_text.empty());
    }

    /// Guards against a fencing token that is given out twice beside hosts of an older build: their
    /// release has no token, so the receiver, which may have missed the whole lease, must not
    /// conclude one.
    void releaseByOlderBuildLeavesTheTokenUnknown()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        constexpr std::uint64_t release = 9;
        observeLease(gateway.m_lease, {{"h1@127.0.0.1"}, "run", 1}, release - 1, now(gateway));
        wire::BeatT heartbeat;
        heartbeat.host = "h1";
        heartbeat.run = "run";
        heartbeat.released = release;
        test.hear(heartbeat);
        CPPUNIT_ASSERT(test.runUntil([&] { return gateway.m_lease.m_revision == release; }));
        CPPUNIT_ASSERT(gateway.m_lease.m_lastSeenRecord.m_holder.m_text.empty());
        CPPUNIT_ASSERT(gateway.m_lease.m_tokenUnknown);
    }

    /// Guards against hosts of an older build that conclude the fencing token of a released lease:
    /// a release must not reach them in the form that they understand.
    void olderBuildsAreNotToldOfReleases()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        broadcastRelease(gateway, 9, 2);
        const auto heartbeats = test.m_peer->received();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heartbeats.size());
        const wire::BeatT &sent = heartbeats.front();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sent.released);
        CPPUNIT_ASSERT(sent.release);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, sent.release->position);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, sent.release->fence);
    }

    /// Guards against servers that no host is told of, since more leave at once than a heartbeat
    /// has room for and it always names the first ones.
    void heartbeatsTellOfAllServersThatLeave()
    {
        TestGateway test;
        Gateway &gateway = *test.m_gateway;
        constexpr std::size_t servers = 60;
        for (std::size_t number = 0; number < servers; ++number) {
            BackendServer server;
            server.m_id = {"i-" + std::to_string(number)};
            server.m_leaving = true;
            applyEntry(gateway.m_serverTable, server, now(gateway));
        }
        std::set<std::uint64_t> told;
        constexpr int heartbeats = 4; // some more than 60 servers need
        for (int number = 0; number < heartbeats; ++number) {
            wire::BeatT heartbeat;
            addLeavingServers(gateway, heartbeat);
            told.insert(heartbeat.leaving.begin(), heartbeat.leaving.end());
        }
        updateStatementCounts(gateway);
        const std::string metrics = renderMetrics(gateway.m_metrics);
        CPPUNIT_ASSERT(metrics.find("apricot_servers_leaving 60\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(servers, told.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayHostsTest);
