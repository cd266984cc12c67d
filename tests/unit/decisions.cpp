// Unit tests of apricotd's decision functions: configuration, membership, tickets, events, routing,
// planning and admission.
#include "apricot.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricot;

namespace {

const char *const deployment = R"(deployment: d
servers:
  - {name: e1, address: "127.0.0.1:1", data-centre: north, cell: one, accelerators-mb: [100]}
  - {name: e2, address: "127.0.0.1:2", data-centre: south, cell: two, accelerators-mb: [100]}
  - {name: p1, address: "127.0.0.1:3", data-centre: north, service: plain}
  - {name: p2, address: "127.0.0.1:4", data-centre: south, service: plain}
)";

const char *const service = R"(service: s
work: [{name: w, idempotent: true}]
models:
  - {name: a, memory-mb: 60, keep-alive-ms: 1000}
  - {name: b, memory-mb: 60, keep-alive-ms: 1000}
)";

Configuration makeConfiguration()
{
    Configuration configuration;
    CPPUNIT_ASSERT(readPublishedFile({"", deployment, "d.yaml"}, configuration).empty());
    CPPUNIT_ASSERT(readPublishedFile({"", service, "s.yaml"}, configuration).empty());
    return configuration;
}

Member member(const std::string &name, const std::string &dataCentre)
{
    Member made;
    made.m_host = {name};
    made.m_incarnation = {1};
    made.m_dataCentre = {dataCentre};
    return made;
}

} // namespace

class DecisionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecisionsTest);
    CPPUNIT_TEST(allFaultsAreReportedWithLineAndField);
    CPPUNIT_TEST(configurationRoundTrips);
    CPPUNIT_TEST(newCellsDoNotMoveModels);
    CPPUNIT_TEST(olderMemberStateIsIgnored);
    CPPUNIT_TEST(suspectedHostRefutes);
    CPPUNIT_TEST(silentHostIsDeclaredDead);
    CPPUNIT_TEST(ticketsRunOnce);
    CPPUNIT_TEST(eventsSplitAtAnyByteAreParsedWhole);
    CPPUNIT_TEST(leavingReplicasAreNeverChosen);
    CPPUNIT_TEST(urgentModelsAreLoadedFirst);
    CPPUNIT_TEST(idleModelsAreUnloadedAfterKeepAlive);
    CPPUNIT_TEST(unmeetableDeadlinesAreRefusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An operator must see all faults of a file at once, instead of one per attempt to publish.
    void allFaultsAreReportedWithLineAndField()
    {
        Configuration configuration;
        const auto faults = readPublishedFile(
            {"",
             "service: s\nwork:\n  - {name: w, urgency: x}\nmodels:\n  - {name: a}\n  - name: a\n"
             "    memory-mb: nine\n",
             "f.yaml"},
            configuration);
        std::vector<std::string> texts;
        texts.reserve(faults.size());
        for (const FileFault &fault : faults)
            texts.push_back(toText(fault));
        for (const char *wanted :
             {"f.yaml:3: work[0].urgency: must be one of urgent, normal, can-wait",
              "f.yaml:5: models[0].memory-mb: is missing",
              "f.yaml:7: models[1].memory-mb: must be a whole number",
              "f.yaml:5: models: 'a' occurs twice"})
            CPPUNIT_ASSERT_MESSAGE(wanted, std::count(texts.begin(), texts.end(), wanted) == 1);
        const auto syntax = readPublishedFile({"", "a: [", "g.yaml"}, configuration);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, syntax.size());
    }

    /// Hosts must read the same configuration that was published, also when files with unchanged
    /// text are taken from the known configuration instead of being parsed.
    void configurationRoundTrips()
    {
        Configuration written = makeConfiguration();
        written.m_number = 3;
        assignCells(written);
        const std::string text = writeConfiguration(written);
        const auto read = parseConfiguration(text);
        CPPUNIT_ASSERT(ok(read));
        const auto again = parseConfiguration(text, &written);
        CPPUNIT_ASSERT_EQUAL(text, writeConfiguration(std::get<Configuration>(read)));
        CPPUNIT_ASSERT_EQUAL(text, writeConfiguration(std::get<Configuration>(again)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, std::get<Configuration>(again).m_servers.size());
        CPPUNIT_ASSERT(!ok(parseConfiguration("{}")));
    }

    /// Rendezvous hashing over a larger set of cells would assign some models to another cell,
    /// while the old cell's record still counts their replicas.
    void newCellsDoNotMoveModels()
    {
        Configuration configuration = makeConfiguration();
        assignCells(configuration);
        const CellName before = cellOfModel(configuration, {"a"});
        for (int i = 0; i < 20; ++i) {
            ServerSpec server;
            server.m_cell = {"new-" + std::to_string(i)};
            configuration.m_servers.push_back(server);
        }
        CPPUNIT_ASSERT(before == cellOfModel(configuration, {"a"}));
    }

    /// Gossip arrives out of order: state of an older revision, incarnation or epoch must not
    /// replace newer state.
    void olderMemberStateIsIgnored()
    {
        Membership membership = makeMembership(member("me", "x"), 1);
        Member other = member("other", "x");
        other.m_revision = 5;
        CPPUNIT_ASSERT(mergeMember(membership, other, {1}));
        other.m_revision = 4;
        other.m_leaving = true;
        CPPUNIT_ASSERT(!mergeMember(membership, other, {2}));
        other.m_incarnation = {2};
        other.m_revision = 0;
        CPPUNIT_ASSERT(mergeMember(membership, other, {3}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, liveMembers(membership).size());
        CPPUNIT_ASSERT(mergeClaim(membership, {{"c"}, {2}, {"me"}, {1}}));
        CPPUNIT_ASSERT(!mergeClaim(membership, {{"c"}, {1}, {"other"}, {2}}));
    }

    /// A host that is alive must not stay suspect or dead for others after a false suspicion: it
    /// raises its revision above that of the false state.
    void suspectedHostRefutes()
    {
        Membership membership = makeMembership(member("me", "x"), 1);
        Member suspected = member("me", "x");
        suspected.m_liveness = Liveness::Dead;
        mergeMember(membership, suspected, {1});
        const Member &own = membership.m_members.at({"me"});
        CPPUNIT_ASSERT(own.m_liveness == Liveness::Alive);
        CPPUNIT_ASSERT(own.m_revision > suspected.m_revision);
    }

    /// A host that acknowledges no probe must be declared dead within a few probe periods and the
    /// suspicion time-out, since its cells and callers wait until then.
    void silentHostIsDeclaredDead()
    {
        Membership membership = makeMembership(member("me", "x"), 1);
        mergeMember(membership, member("other", "x"), {0});
        const MembershipTiming timing;
        const Millis limit = timing.m_probePeriod * 3 + timing.m_suspicionTimeout;
        for (Millis time; time <= limit; time = time + Millis{50})
            tickMembership(membership, time);
        CPPUNIT_ASSERT(membership.m_members.at({"other"}).m_liveness == Liveness::Dead);
    }

    /// A retry with the same ticket must not run the request again, and a ticket must not be used
    /// for another request.
    void ticketsRunOnce()
    {
        TicketShard shard;
        shard.m_entries[7].m_expires = {100};
        CPPUNIT_ASSERT(useTicket(shard, 7, 1, {50}) == TicketUse::Run);
        CPPUNIT_ASSERT(useTicket(shard, 7, 1, {51}) == TicketUse::Wait);
        CPPUNIT_ASSERT(useTicket(shard, 7, 2, {51}) == TicketUse::OtherRequest);
        shard.m_entries[7].m_state = TicketState::Ended;
        CPPUNIT_ASSERT(useTicket(shard, 7, 1, {52}) == TicketUse::Replay);
        CPPUNIT_ASSERT(useTicket(shard, 8, 1, {52}) == TicketUse::Unknown);
        const Ticket ticket = {{"host-1"}, {77}, 12};
        CPPUNIT_ASSERT(parseTicket(toText(ticket)) == ticket);
        for (const char *bad : {"", "~", "h~1~", "h~zz~1", "h~1~0", "~1~1", "h~1~1x"})
            CPPUNIT_ASSERT_MESSAGE(bad, !parseTicket(bad));
    }

    /// TCP may split the event stream at any byte; no event may be lost, duplicated or held back.
    void eventsSplitAtAnyByteAreParsedWhole()
    {
        const std::string stream = "event: token\nid: r/0\ndata: a\n\nevent: done\nid: r/1\n\n";
        for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
            EventSplitter splitter;
            auto events = splitEvents(splitter, stream.substr(0, cut));
            const auto rest = splitEvents(splitter, stream.substr(cut));
            events.insert(events.end(), rest.begin(), rest.end());
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
            CPPUNIT_ASSERT_EQUAL(stream, events[0].m_text + events[1].m_text);
            CPPUNIT_ASSERT(events[1].m_kind == "done" && events[1].m_index == 1);
            CPPUNIT_ASSERT(splitter.m_partialEvent.empty());
        }
    }

    /// A leaving replica must get no new requests, even with the least load, or it never drains.
    /// Otherwise the load decides, and a loaded adapter outweighs some load. Requests for plain
    /// services go to the local data centre first.
    void leavingReplicasAreNeverChosen()
    {
        std::vector<ReplicaView> views(3);
        views[0].m_reportedRunning = 9;
        views[1].m_leaving = true;
        views[2].m_sentSinceUpdate = 3;
        CPPUNIT_ASSERT_EQUAL(2, chooseReplica(views).m_index);
        views[0].m_adapterLoaded = true;
        views[0].m_reportedRunning = 5;
        CPPUNIT_ASSERT_EQUAL(0, chooseReplica(views).m_index);
        CPPUNIT_ASSERT_EQUAL(-1, chooseReplica({}).m_index);
        const Configuration configuration = makeConfiguration();
        const auto order = plainServerOrder(configuration, {"plain"}, {"south"}, "key");
        CPPUNIT_ASSERT_EQUAL(std::string("p2"), order.front().m_name.m_text);
    }

    /// If the store's rate allows one load, the most urgent demand must get it.
    void urgentModelsAreLoadedFirst()
    {
        PlanFixture fixture;
        fixture.mergeDemand("a", Urgency::CanWait, {60'000});
        fixture.mergeDemand("b", Urgency::Urgent, {60'000});
        fixture.m_input.m_loadTokens = 1;
        const Plan plan = planCell(fixture.m_input, {10'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.m_loads.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), plan.m_loads[0].m_request.m_model.m_text);
        CPPUNIT_ASSERT(brokenInvariant(plan.m_next, fixture.m_configuration).empty());
    }

    /// A model must stay loaded for its keep-alive time plus the 1.5 s by which reports of its use
    /// may lag, and for as long as requests run on it.
    void idleModelsAreUnloadedAfterKeepAlive()
    {
        PlanFixture fixture;
        fixture.mergeDemand("a", Urgency::Normal, {60'000});
        Plan plan = planCell(fixture.m_input, {10'000});
        fixture.m_record = plan.m_next;
        resolveAttempt(fixture.m_record, plan.m_loads[0].m_request.m_order, ReportedState::Loaded);
        fixture.m_input.m_demands.clear();
        fixture.m_input.m_uses = {{fixture.m_record.m_slots[0].m_id, {10'000}, 0}};
        CPPUNIT_ASSERT(planCell(fixture.m_input, {12'400}).m_unloads.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planCell(fixture.m_input, {12'500}).m_unloads.size());
        fixture.m_input.m_uses[0].m_active = 1;
        CPPUNIT_ASSERT(planCell(fixture.m_input, {12'500}).m_unloads.empty());
    }

    /// Callers whose deadline passes before the model can be loaded must not wait in vain. The
    /// model is loaded all the same, so that they find it ready when they retry. A full queue
    /// refuses requests at once too.
    void unmeetableDeadlinesAreRefusedAtOnce()
    {
        PlanFixture fixture;
        fixture.mergeDemand("a", Urgency::Urgent, {10'500});
        const Plan plan = planCell(fixture.m_input, {10'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.m_refusals.size());
        CPPUNIT_ASSERT(plan.m_refusals[0].m_failure.m_kind == ErrorKind::DeadlineUnmeetable);
        CPPUNIT_ASSERT(plan.m_refusals[0].m_failure.m_retryAfter == Millis{2'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the model is loaded, for the callers' retries",
                                     std::size_t{1}, plan.m_loads.size());
        const auto refused = admit({5, 5, {0}, {100}}, {0});
        CPPUNIT_ASSERT(refused && refused->m_kind == ErrorKind::QueueFull);
        CPPUNIT_ASSERT(!admit({4, 5, {0}, {100}}, {0}));
    }

private:
    /// Planning input of a cell with one server of 100 MiB and two models of 60 MiB each.
    struct PlanFixture
    {
        PlanFixture()
        {
            m_record.m_cell = {"one"};
            takeOver(m_record, {"h"}, {1});
            m_input.m_configuration = &m_configuration;
            m_input.m_record = &m_record;
            m_input.m_firstOrder = {{1}, 1};
            m_input.m_loadTokens = 4;
            ServerReport report;
            report.m_server = {"e1"};
            report.m_reachable = true;
            m_input.m_reports.push_back(report);
        }

        void mergeDemand(const std::string &model, Urgency urgency, Millis deadline)
        {
            Demand demand;
            demand.m_model = {model};
            demand.m_urgency = urgency;
            demand.m_waiting = 1;
            demand.m_latestDeadline = deadline;
            m_input.m_demands.push_back(demand);
        }

        Configuration m_configuration = makeConfiguration();
        CellRecord m_record;
        PlanInput m_input;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionsTest);
