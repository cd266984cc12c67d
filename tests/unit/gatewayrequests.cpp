// The gateway's decisions about one request: route, service, server, retries, events.
#include "gateway.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace apricot;

namespace {

constexpr Millis start = {100'000};

Route makeRoute(const std::string &host, const std::string &prefix, const std::string &service)
{
    Route route;
    route.m_name = prefix;
    route.m_host = host;
    route.m_pathPrefix = prefix;
    route.m_services = {{{service}, 1}};
    return route;
}

BackendServer makeServer(const std::string &id, const std::string &centre,
                         const std::vector<LoadedModel> &models)
{
    BackendServer server;
    server.m_id = {id};
    server.m_service = {"s"};
    server.m_dataCentre = {centre};
    server.m_slots = 10;
    server.m_word.m_born = 1;
    server.m_word.m_models = models;
    return server;
}

ChoiceInput choice(const std::string &model, const std::string &adapter = "")
{
    ChoiceInput input;
    input.m_service = {"s"};
    input.m_model = {model};
    input.m_adapter = {adapter};
    input.m_here = {"north"};
    return input;
}

std::string chosen(const Roster &roster, const ChoiceInput &input, Millis time = start)
{
    return chooseServer(roster, input, time).m_server.m_text;
}

} // namespace

class GatewayRequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayRequestsTest);
    CPPUNIT_TEST(longestPrefixOfTheHostWins);
    CPPUNIT_TEST(splitsFollowTheWeights);
    CPPUNIT_TEST(sameKeyGetsTheSameService);
    CPPUNIT_TEST(leavingAndTriedServersAreNeverChosen);
    CPPUNIT_TEST(leastLoadedServerIsChosen);
    CPPUNIT_TEST(sharedPromptsDontCrowdOneServer);
    CPPUNIT_TEST(adapterMustBeThere);
    CPPUNIT_TEST(failedServersComeLastAndComeBack);
    CPPUNIT_TEST(silentServerLeavesTimeOnlyForATryThatIsAllowed);
    CPPUNIT_TEST(waitingEndsWhileTheCallerIsThereAndCanComeBack);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(budgetForgetsAfterItsWindow);
    CPPUNIT_TEST(eventsAreCutWholeWhereverTheBytesBreak);
    CPPUNIT_TEST(noticeCountsUntilTheEntryChangesWellAfterIt);
    CPPUNIT_TEST(restartForgetsWhatWasKnown);
    CPPUNIT_TEST(noticeOfAnotherStartIsIgnored);
    CPPUNIT_TEST(entriesThatLapsedInAnOutageAreKeptForAMoment);
    CPPUNIT_TEST(missingServersAreGoneTwoSecondsAfterTheStoreIsBack);
    CPPUNIT_TEST(digestTellsLeavingAndRestartedServersApart);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestPrefixOfTheHostWins()
    {
        RouteTable table;
        table.m_routes = {makeRoute("a", "/x/", "1"), makeRoute("a", "/x/y/", "2"),
                          makeRoute("b", "/x/y/z/", "3")};
        sortRoutes(table);
        const auto nameOf = [&](const char *host, const char *target) {
            const Route *route = matchRoute(table, host, target);
            return route ? route->m_services.front().m_service.m_text : std::string();
        };
        CPPUNIT_ASSERT_EQUAL(std::string("2"), nameOf("a", "/x/y/z/q"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), nameOf("a:80", "/x/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), nameOf("b", "/x/y/z/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("b", "/x/y/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("c", "/x/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("a", "/?p=/x/"));
    }

    void splitsFollowTheWeights()
    {
        Route route = makeRoute("a", "/", "heavy");
        route.m_services = {{{"heavy"}, 90}, {{"light"}, 10}, {{"none"}, 0}};
        std::map<std::string, int> seen;
        constexpr int requests = 10'000;
        for (int number = 0; number < requests; ++number)
            seen[pickService(route, std::to_string(number)).m_text] += 1;
        CPPUNIT_ASSERT(seen["light"] > requests / 20 && seen["light"] < requests / 6);
        CPPUNIT_ASSERT_EQUAL(0, seen["none"]);
    }

    void sameKeyGetsTheSameService()
    {
        Route route = makeRoute("a", "/", "one");
        route.m_services.push_back({{"two"}, 1});
        const bool held = rc::check("the same key, the same service", [&](const std::string &key) {
            RC_ASSERT(pickService(route, key) == pickService(route, key));
        });
        CPPUNIT_ASSERT(held);
    }

    void leavingAndTriedServersAreNeverChosen()
    {
        Roster roster;
        BackendServer leaving = makeServer("leaving", "north", {});
        leaving.m_leaving = true;
        takeEntry(roster, leaving, start);
        takeEntry(roster, makeServer("tried", "north", {}), start);
        ChoiceInput input = choice("");
        input.m_tried = {{"tried"}};
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(roster, input));
        input.m_tried = {};
        CPPUNIT_ASSERT_EQUAL(std::string("tried"), chosen(roster, input));
    }

    void leastLoadedServerIsChosen()
    {
        Roster roster;
        takeEntry(roster, makeServer("here", "north", {}), start);
        takeEntry(roster, makeServer("there", "south", {}), start);
        CPPUNIT_ASSERT_EQUAL(std::string("here"), chosen(roster, choice("")));
        roster.m_servers[{"here"}].m_inFlight = 3;
        CPPUNIT_ASSERT_EQUAL(std::string("there"), chosen(roster, choice("")));
        // What others have there counts too, as long as the figure is fresh.
        KnownServer &there = roster.m_servers[{"there"}];
        there.m_load = {8, 2, 10};
        there.m_loadHeard = start;
        CPPUNIT_ASSERT_EQUAL(std::string("here"), chosen(roster, choice("")));
        CPPUNIT_ASSERT_EQUAL(std::string("there"),
                             chosen(roster, choice(""), start + Millis{3'000}));
    }

    /// The load: one busy model on two servers of 64 slots, all callers share the same prompt
    /// parts. Prompts that are read hold up the tokens of the others, so both must take their
    /// share.
    void sharedPromptsDontCrowdOneServer()
    {
        Roster roster;
        for (const char *id : {"one", "two"}) {
            BackendServer server = makeServer(id, "north", {{{"m"}, {}}});
            server.m_slots = 64;
            takeEntry(roster, server, start);
        }
        ChoiceInput input = choice("m");
        input.m_affinity = "shared";
        std::map<std::string, int> sent;
        for (int request = 0; request < 8; ++request) {
            const std::string id = chosen(roster, input);
            sent[id] += 1;
            roster.m_servers.at({id}).m_inFlight += 1;
        }
        CPPUNIT_ASSERT(std::abs(sent["one"] - sent["two"]) <= 2);
    }

    void adapterMustBeThere()
    {
        Roster roster;
        takeEntry(roster, makeServer("plain", "north", {{{"m"}, {}}}), start);
        takeEntry(roster, makeServer("adapted", "south", {{{"m"}, {{"a1"}}}}), start);
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), chosen(roster, choice("m")));
        CPPUNIT_ASSERT_EQUAL(std::string("adapted"), chosen(roster, choice("m", "a1")));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(roster, choice("m", "a2")));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(roster, choice("n")));
    }

    void failedServersComeLastAndComeBack()
    {
        Roster roster;
        takeEntry(roster, makeServer("failing", "north", {}), start);
        takeEntry(roster, makeServer("good", "south", {}), start);
        noteUse(roster.m_servers[{"failing"}], false, start);
        CPPUNIT_ASSERT_EQUAL(std::string("good"), chosen(roster, choice("")));
        ChoiceInput onlyFailing = choice("");
        onlyFailing.m_tried = {{"good"}};
        CPPUNIT_ASSERT_EQUAL(std::string("failing"), chosen(roster, onlyFailing));
        CPPUNIT_ASSERT_EQUAL(std::string("failing"),
                             chosen(roster, choice(""), start + Millis{5'000}));
    }

    /// The load: servers that take a request and say nothing, on routes with one attempt or more.
    void silentServerLeavesTimeOnlyForATryThatIsAllowed()
    {
        constexpr Millis left = {2'000};
        const Millis all = left + lastWordTime;
        Route route = makeRoute("a", "/", "s");
        route.m_repeat = Repeat::Idempotent;
        route.m_target = {300};
        route.m_maxAttempts = 1;
        CPPUNIT_ASSERT_EQUAL(all.m_count, answerTimeout(route, 0, 3, left).m_count);
        route.m_maxAttempts = 2;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000}, answerTimeout(route, 0, 3, left).m_count);
        CPPUNIT_ASSERT_EQUAL(all.m_count, answerTimeout(route, 1, 3, left).m_count);
        CPPUNIT_ASSERT_EQUAL(all.m_count, answerTimeout(route, 0, 1, left).m_count);
        route.m_repeat = Repeat::AtMostOnce;
        CPPUNIT_ASSERT_EQUAL(all.m_count, answerTimeout(route, 0, 3, left).m_count);
    }

    /// The load: more rare models than the servers can swap in; some callers get none in time.
    void waitingEndsWhileTheCallerIsThereAndCanComeBack()
    {
        Route route = makeRoute("a", "/", "s");
        route.m_target = {3'000}; // silent for 12 s, its caller leaves
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10'800}, modelWait(route, {25'000}).m_count);
        route.m_target = {2'500};
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'600}, modelWait(route, {8'000}).m_count);
    }

    void retriesStayWithinTheBudget()
    {
        const bool held = rc::check("never more than the share and the slack", [] {
            RetryBudget budget;
            budget.m_ratio = 0.2;
            budget.m_slack = 4;
            int requests = 0;
            int retries = 0;
            const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
            for (std::size_t step = 0; step < steps.size(); ++step) {
                const Millis time = start + Millis{static_cast<std::int64_t>(step)};
                if (steps[step]) {
                    noteRequest(budget, time);
                    ++requests;
                } else if (takeRetry(budget, time)) {
                    ++retries;
                }
                RC_ASSERT(retries <= 0.2 * requests + 4);
            }
        });
        CPPUNIT_ASSERT(held);
    }

    void budgetForgetsAfterItsWindow()
    {
        RetryBudget budget;
        budget.m_slack = 1;
        CPPUNIT_ASSERT(takeRetry(budget, start));
        CPPUNIT_ASSERT(!takeRetry(budget, start + Millis{9'999}));
        CPPUNIT_ASSERT(takeRetry(budget, start + Millis{10'001}));
    }

    void eventsAreCutWholeWhereverTheBytesBreak()
    {
        const std::string stream
            = "id: 1\ndata: a\n\nid:2\ndata: b\n\ndata: c\n\nid: 4\ndata: cut of";
        const std::size_t whole = stream.find("id: 4");
        for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
            EventScanner scanner;
            const std::string first = scanEvents(scanner, stream.substr(0, cut));
            CPPUNIT_ASSERT(first.empty() || first.ends_with("\n\n"));
            const std::string all = first + scanEvents(scanner, stream.substr(cut));
            CPPUNIT_ASSERT_EQUAL(stream.substr(0, whole), all);
            CPPUNIT_ASSERT_EQUAL(std::string("2"), scanner.m_lastId);
        }
    }

    void noticeCountsUntilTheEntryChangesWellAfterIt()
    {
        Roster roster;
        takeEntry(roster, makeServer("e", "north", {{{"old"}, {}}}), start);
        ServerWord word;
        word.m_born = 1;
        word.m_sequence = 2;
        word.m_models = {{{"new"}, {}}};
        CPPUNIT_ASSERT(takeNotice(roster, {"e"}, word, start + Millis{10}));
        CPPUNIT_ASSERT_EQUAL(std::string("e"), chosen(roster, choice("new")));
        // A heartbeat that was on its way when the order was carried out changes nothing.
        takeEntry(roster, makeServer("e", "north", {{{"old"}, {}}}), start + Millis{300});
        CPPUNIT_ASSERT_EQUAL(std::string("e"), chosen(roster, choice("new")));
        word.m_sequence = 1;
        CPPUNIT_ASSERT(!takeNotice(roster, {"e"}, word, start + Millis{400}));
        takeEntry(roster, makeServer("e", "north", {{{"late"}, {}}}), start + Millis{5'000});
        CPPUNIT_ASSERT_EQUAL(std::string("e"), chosen(roster, choice("late")));
    }

    void restartForgetsWhatWasKnown()
    {
        Roster roster;
        takeEntry(roster, makeServer("e", "north", {{{"m"}, {}}}), start);
        ServerWord word;
        word.m_born = 1;
        word.m_sequence = 9;
        word.m_models = {{{"m"}, {}}};
        CPPUNIT_ASSERT(takeNotice(roster, {"e"}, word, start));
        noteUse(roster.m_servers[{"e"}], false, start);
        BackendServer again = makeServer("e", "north", {});
        again.m_word.m_born = 2;
        takeEntry(roster, again, start + Millis{1});
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(roster, choice("m")));
        CPPUNIT_ASSERT_EQUAL(0, roster.m_servers[{"e"}].m_failures);
    }

    void noticeOfAnotherStartIsIgnored()
    {
        Roster roster;
        takeEntry(roster, makeServer("e", "north", {}), start);
        ServerWord word;
        word.m_born = 7;
        word.m_models = {{{"m"}, {}}};
        CPPUNIT_ASSERT(!takeNotice(roster, {"e"}, word, start));
        CPPUNIT_ASSERT(!takeNotice(roster, {"unknown"}, word, start));
    }

    void entriesThatLapsedInAnOutageAreKeptForAMoment()
    {
        Roster roster;
        takeEntry(roster, makeServer("lapsed", "north", {}), start);
        BackendServer leaving = makeServer("leaving", "north", {});
        leaving.m_leaving = true;
        takeEntry(roster, leaving, start);
        const Millis lapseEnd = start + Millis{2'000};
        CPPUNIT_ASSERT(loseEntry(roster, {"lapsed"}, lapseEnd, start));
        CPPUNIT_ASSERT(!loseEntry(roster, {"leaving"}, lapseEnd, start));
        CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), chosen(roster, choice("")));
        takeEntry(roster, makeServer("lapsed", "north", {}), start + Millis{500}); // it is back
        dropMissing(roster, lapseEnd);
        CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), chosen(roster, choice(""), lapseEnd));
    }

    /// Hunted: a server left 3.7 s after the store was back for three hosts; they kept it for
    /// another 2 s from when they noticed.
    void missingServersAreGoneTwoSecondsAfterTheStoreIsBack()
    {
        Roster roster;
        takeEntry(roster, makeServer("e", "north", {}), start);
        const Millis lapseEnd = start + Millis{2'000};
        CPPUNIT_ASSERT(loseEntry(roster, {"e"}, lapseEnd, start + Millis{1'900}));
        CPPUNIT_ASSERT(loseEntry(roster, {"e"}, lapseEnd, start + Millis{1'950})); // noticed twice
        CPPUNIT_ASSERT_EQUAL(std::string("e"), chosen(roster, choice(""), start + Millis{1'999}));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(roster, choice(""), lapseEnd));
        dropMissing(roster, lapseEnd);
        CPPUNIT_ASSERT(roster.m_servers.empty());
        takeEntry(roster, makeServer("e", "north", {}), start);
        CPPUNIT_ASSERT(!loseEntry(roster, {"e"}, lapseEnd, start + Millis{3'700}));
        CPPUNIT_ASSERT(roster.m_servers.empty());
    }

    void digestTellsLeavingAndRestartedServersApart()
    {
        Roster roster;
        takeEntry(roster, makeServer("e", "north", {}), start);
        const std::uint64_t first = digestOf(roster);
        takeEntry(roster, makeServer("e", "north", {{{"m"}, {}}}), start);
        CPPUNIT_ASSERT_EQUAL(first, digestOf(roster)); // models come by notices
        BackendServer changed = makeServer("e", "north", {});
        changed.m_leaving = true;
        takeEntry(roster, changed, start);
        CPPUNIT_ASSERT(first != digestOf(roster));
        changed.m_leaving = false;
        changed.m_word.m_born = 2;
        takeEntry(roster, changed, start);
        CPPUNIT_ASSERT(first != digestOf(roster));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRequestsTest);
