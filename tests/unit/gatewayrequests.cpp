// Unit tests of the gateway's decisions about one request: route, service, server, time limits,
// retries and event streams; and of the server table that the choice of a server is based on.
#include "request/relay.h"

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

BackendServer makeServer(const std::string &id, const std::string &dataCentre,
                         const std::vector<LoadedModel> &models)
{
    BackendServer server;
    server.m_id = {id};
    server.m_service = {"s"};
    server.m_dataCentre = {dataCentre};
    server.m_slots = 10;
    server.m_serverStatus.m_startUnixMs = 1;
    server.m_serverStatus.m_models = models;
    return server;
}

ChoiceInput choice(const std::string &model, const std::string &adapter = "")
{
    ChoiceInput input;
    input.m_service = {"s"};
    input.m_model = {model};
    input.m_adapter = {adapter};
    input.m_localDataCentre = {"north"};
    return input;
}

std::string chosen(const ServerTable &servers, const ChoiceInput &input, Millis time = start)
{
    return chooseServer(servers, input, time).m_server.m_text;
}

} // namespace

class GatewayRequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayRequestsTest);
    CPPUNIT_TEST(longestPrefixOfTheHostWins);
    CPPUNIT_TEST(trafficSplitFollowsTheWeights);
    CPPUNIT_TEST(sameKeyGetsTheSameService);
    CPPUNIT_TEST(leavingAndTriedServersAreNeverChosen);
    CPPUNIT_TEST(leastLoadedServerIsChosen);
    CPPUNIT_TEST(sharedPromptsDontOverloadOneServer);
    CPPUNIT_TEST(onlyServersWithTheAdapterAreChosen);
    CPPUNIT_TEST(failedServersAreAvoidedForALimitedTime);
    CPPUNIT_TEST(answerTimeoutLeavesTimeOnlyForAPermittedRetry);
    CPPUNIT_TEST(statusThatAnOlderHostHandsOnPromisesNothing);
    CPPUNIT_TEST(modelWaitEndsBeforeTheCallerGivesUp);
    CPPUNIT_TEST(longestRunTimeFollowsRecentAnswers);
    CPPUNIT_TEST(lateInAStopOnlyRequestsThatSurelyEndAreSent);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(retryBudgetExpiresAfterItsWindow);
    CPPUNIT_TEST(hostsTogetherKeepToTheRetryBudget);
    CPPUNIT_TEST(onlyCompleteEventsPassForAnySplitOfTheBytes);
    CPPUNIT_TEST(statusUpdateOverridesTheEntryUntilALaterChange);
    CPPUNIT_TEST(restartDiscardsTheEarlierStatus);
    CPPUNIT_TEST(statusUpdateOfAnotherProcessInstanceIsIgnored);
    CPPUNIT_TEST(entriesLostInAStoreOutageAreKeptTemporarily);
    CPPUNIT_TEST(missingServersAreDroppedTwoSecondsAfterStoreRecovery);
    CPPUNIT_TEST(digestChangesForLeavingAndRestartedServers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that gets the route of another host or of a shorter prefix, also if
    /// the Host field contains a port or the target a query.
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

    /// Guards against services that get more or less than their share of the requests. A service
    /// with weight 0 must get none.
    void trafficSplitFollowsTheWeights()
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

    /// Guards against a repeated request that moves to another service: the choice must depend on
    /// the key alone.
    void sameKeyGetsTheSameService()
    {
        Route route = makeRoute("a", "/", "one");
        route.m_services.push_back({{"two"}, 1});
        const bool held
            = rc::check("the same key gets the same service", [&](const std::string &key) {
                  RC_ASSERT(pickService(route, key) == pickService(route, key));
              });
        CPPUNIT_ASSERT(held);
    }

    /// A server that is shutting down, or that already got this request, must not be chosen even if
    /// there is no other.
    void leavingAndTriedServersAreNeverChosen()
    {
        ServerTable servers;
        BackendServer leaving = makeServer("leaving", "north", {});
        leaving.m_leaving = true;
        applyEntry(servers, leaving, start);
        applyEntry(servers, makeServer("tried", "north", {}), start);
        ChoiceInput input = choice("");
        input.m_triedServers = {{"tried"}};
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(servers, input));
        input.m_triedServers = {};
        CPPUNIT_ASSERT_EQUAL(std::string("tried"), chosen(servers, input));
    }

    /// Guards against a choice that ignores the requests of other hosts, which only a server's
    /// reported load includes, and against one that relies on an old report.
    void leastLoadedServerIsChosen()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("here", "north", {}), start);
        applyEntry(servers, makeServer("there", "south", {}), start);
        CPPUNIT_ASSERT_EQUAL(std::string("here"), chosen(servers, choice("")));
        servers.m_servers[{"here"}].m_inFlight = 3;
        CPPUNIT_ASSERT_EQUAL(std::string("there"), chosen(servers, choice("")));
        // The reported load includes the requests of other hosts; it counts until it is too old.
        KnownServer &there = servers.m_servers[{"there"}];
        there.m_load = {8, 2, 10};
        there.m_loadReportedAt = start;
        CPPUNIT_ASSERT_EQUAL(std::string("here"), chosen(servers, choice("")));
        CPPUNIT_ASSERT_EQUAL(std::string("there"),
                             chosen(servers, choice(""), start + Millis{3'000}));
    }

    /// One busy model is loaded on two servers with 64 slots each, and all requests share prompt
    /// parts. The processing of prompts delays the tokens of other streams, so affinity must not
    /// direct most requests to one server.
    void sharedPromptsDontOverloadOneServer()
    {
        ServerTable servers;
        for (const char *id : {"one", "two"}) {
            BackendServer server = makeServer(id, "north", {{{"m"}, {}}});
            server.m_slots = 64;
            applyEntry(servers, server, start);
        }
        ChoiceInput input = choice("m");
        input.m_affinity = "shared";
        std::map<std::string, int> sent;
        for (int request = 0; request < 8; ++request) {
            const std::string id = chosen(servers, input);
            sent[id] += 1;
            servers.m_servers.at({id}).m_inFlight += 1;
        }
        CPPUNIT_ASSERT(std::abs(sent["one"] - sent["two"]) <= 2);
    }

    /// Guards against requests to servers that would refuse them because the model or the adapter
    /// isn't loaded there.
    void onlyServersWithTheAdapterAreChosen()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("plain", "north", {{{"m"}, {}}}), start);
        applyEntry(servers, makeServer("adapted", "south", {{{"m"}, {{"a1"}}}}), start);
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), chosen(servers, choice("m")));
        CPPUNIT_ASSERT_EQUAL(std::string("adapted"), chosen(servers, choice("m", "a1")));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(servers, choice("m", "a2")));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(servers, choice("n")));
    }

    /// After a failure a server must not be chosen for some time, unless it is the only one left.
    /// Later it must be used again.
    void failedServersAreAvoidedForALimitedTime()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("failing", "north", {}), start);
        applyEntry(servers, makeServer("good", "south", {}), start);
        recordServerResult(servers.m_servers[{"failing"}], false, start);
        CPPUNIT_ASSERT_EQUAL(std::string("good"), chosen(servers, choice("")));
        ChoiceInput onlyFailing = choice("");
        onlyFailing.m_triedServers = {{"good"}};
        CPPUNIT_ASSERT_EQUAL(std::string("failing"), chosen(servers, onlyFailing));
        CPPUNIT_ASSERT_EQUAL(std::string("failing"),
                             chosen(servers, choice(""), start + Millis{5'000}));
    }

    /// A server accepts a request and never answers. If the timeout left time for a retry that
    /// isn't permitted, a server that is only slow would be given up too early.
    void answerTimeoutLeavesTimeOnlyForAPermittedRetry()
    {
        constexpr Millis left = {2'000};
        const Millis all = left + deadlineGrace;
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

    /// Guards against a request that runs though its caller was told that it did not: a server ran
    /// it and answered 503, without a stamp, and a host of an older build handed that on.
    void statusThatAnOlderHostHandsOnPromisesNothing()
    {
        AnswerMetadata ofServer;
        ofServer.m_id = "r1";
        AnswerMetadata stamped;
        stamped.m_serverStamped = true;
        const AnswerMetadata ofHost;
        for (const unsigned status : {408U, 429U, 503U}) {
            CPPUNIT_ASSERT(isUnstatedPromise(ofServer, status, true));
            CPPUNIT_ASSERT(isUnstatedPromise(stamped, status, true));
            CPPUNIT_ASSERT(!isUnstatedPromise(ofHost, status, true));
            CPPUNIT_ASSERT(isUnstatedPromise(ofHost, status, false));
        }
        ofServer.m_notRun = true;
        CPPUNIT_ASSERT(!isUnstatedPromise(ofServer, 503, true));
        CPPUNIT_ASSERT(!isUnstatedPromise(stamped, 502, true));
    }

    /// There are requests for more rare models than the servers can swap in, so some can't be
    /// served in time. These must be answered while the caller still listens and has time for
    /// another attempt.
    void modelWaitEndsBeforeTheCallerGivesUp()
    {
        Route route = makeRoute("a", "/", "s");
        route.m_target = {3'000}; // the caller abandons a stream that is silent for 12 s
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10'800}, maxModelWait(route, {25'000}).m_count);
        route.m_target = {2'500};
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'600}, maxModelWait(route, {8'000}).m_count);
    }

    /// Guards against a stream that is taken late in a stop, since earlier ones were short, and cut
    /// off as it takes longer: then only the request's own deadline says that it ends in time.
    void lateInAStopOnlyRequestsThatSurelyEndAreSent()
    {
        const PlannedStop stop = {start, start + Millis{7'100}};
        constexpr Millis run = {1'500};
        const auto lastSend = [&](std::int64_t arrived, std::int64_t allowed) {
            const Millis arrivedAt = start + Millis{arrived};
            return (lastSendBeforeStop(stop, arrivedAt, arrivedAt + Millis{allowed}, run) - start)
                .m_count;
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'600}, lastSend(-1'000, 12'000)); // it waited already
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'600}, lastSend(2'400, 12'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lastSend(2'500, 12'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lastSend(3'400, 3'800));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7'000}, lastSend(3'400, 3'600));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7'100}, lastSend(5'600, 1'500));
    }

    /// Guards against a stopping host that takes requests which it can't finish, or refuses ones
    /// that it could: the estimate must follow the longest recent answer of the route, not an old
    /// one, and without answers be neither zero nor all the time that is left.
    void longestRunTimeFollowsRecentAnswers()
    {
        constexpr Millis allowed = {20'000};
        RunTimes times;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10'000}, longestRunTime(times, allowed, start).m_count);
        for (int answer = 0; answer < 30; ++answer)
            recordRunTime(times, {answer == 7 ? 4'000 : 200}, start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, longestRunTime(times, allowed, start).m_count);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'500},
                             longestRunTime(times, allowed, start + runTimeHalfLife).m_count);
        // Never more than the time that is left, and bounded if the time should go back.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000}, longestRunTime(times, {1'000}, start).m_count);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, longestRunTime(times, allowed, {0}).m_count);
    }

    /// Guards against retries that multiply the load on the remaining servers when others fail.
    void retriesStayWithinTheBudget()
    {
        const bool held = rc::check("retries are never more than the share and the slack", [] {
            RetryBudget budget;
            budget.m_ratio = 0.2;
            budget.m_slack = 4;
            int requests = 0;
            int retries = 0;
            const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
            for (std::size_t step = 0; step < steps.size(); ++step) {
                const Millis time = start + Millis{static_cast<std::int64_t>(step)};
                if (steps[step]) {
                    recordRequest(budget, time);
                    ++requests;
                } else if (takeRetry(budget, time)) {
                    ++retries;
                }
                RC_ASSERT(retries <= 0.2 * requests + 4);
            }
        });
        CPPUNIT_ASSERT(held);
    }

    /// Guards against hosts that each keep to their share of the budget and exceed it together:
    /// with few requests a host, chance gives each of them a high limit at some time.
    void hostsTogetherKeepToTheRetryBudget()
    {
        constexpr int hosts = 72;
        constexpr int requestsPerStep = 4;
        constexpr Millis step = {10};
        constexpr Millis length = {60'000};
        constexpr Millis troubleStart = {15'000}; // from then on every request wants a retry
        GatewaySettings settings;
        settings.m_retryRatio = 0.2;
        settings.m_retrySlack = 184;
        std::vector<RetryBudget> budgets(hosts);
        std::deque<Millis> requests;
        std::deque<Millis> retries;
        std::mt19937_64 random(1);
        const auto dropOld = [&](std::deque<Millis> &times, Millis time) {
            while (!times.empty() && times.front() < time - settings.m_retryWindow)
                times.pop_front();
        };
        for (Millis time; time < length; time = time + step) {
            for (int number = 0; number < requestsPerStep; ++number) {
                RetryBudget &budget = budgets[random() % hosts];
                setHostShare(budget, settings, hosts);
                recordRequest(budget, time);
                requests.push_back(time);
                if (time >= troubleStart && takeRetry(budgets[random() % hosts], time))
                    retries.push_back(time);
            }
            dropOld(requests, time);
            dropOld(retries, time);
            const double allowed = settings.m_retryRatio * static_cast<double>(requests.size())
                + settings.m_retrySlack;
            CPPUNIT_ASSERT(time < settings.m_retryWindow
                           || static_cast<double>(retries.size()) <= allowed);
        }
    }

    /// Guards against a budget that stays used up: retries must stop counting when they leave the
    /// window.
    void retryBudgetExpiresAfterItsWindow()
    {
        RetryBudget budget;
        budget.m_slack = 1;
        CPPUNIT_ASSERT(takeRetry(budget, start));
        CPPUNIT_ASSERT(!takeRetry(budget, start + Millis{9'999}));
        CPPUNIT_ASSERT(takeRetry(budget, start + Millis{10'001}));
    }

    /// TCP may split the stream at any byte. A partial event must not be passed on or count as the
    /// last event, since another server continues the stream after that event.
    void onlyCompleteEventsPassForAnySplitOfTheBytes()
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
            CPPUNIT_ASSERT_EQUAL(std::string("2"), scanner.m_lastEventId);
        }
    }

    /// Entries lag behind orders. An entry that doesn't include the last order yet must not hide
    /// the model that the lease holder reports as loaded, but an entry that changes well after the
    /// update must count.
    void statusUpdateOverridesTheEntryUntilALaterChange()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("e", "north", {{{"old"}, {}}}), start);
        ServerStatus status;
        status.m_startUnixMs = 1;
        status.m_sequence = 2;
        status.m_models = {{{"new"}, {}}};
        CPPUNIT_ASSERT(applyStatusUpdate(servers, {"e"}, status, start + Millis{10}));
        CPPUNIT_ASSERT_EQUAL(std::string("e"), chosen(servers, choice("new")));
        // An entry from a heartbeat sent before the order was executed doesn't override the update.
        applyEntry(servers, makeServer("e", "north", {{{"old"}, {}}}), start + Millis{300});
        CPPUNIT_ASSERT_EQUAL(std::string("e"), chosen(servers, choice("new")));
        status.m_sequence = 1;
        CPPUNIT_ASSERT(!applyStatusUpdate(servers, {"e"}, status, start + Millis{400}));
        applyEntry(servers, makeServer("e", "north", {{{"late"}, {}}}), start + Millis{5'000});
        CPPUNIT_ASSERT_EQUAL(std::string("e"), chosen(servers, choice("late")));
    }

    /// A restarted server has lost its models. If its earlier status were kept, it would get
    /// requests that it can't execute, and earlier failures would keep it avoided.
    void restartDiscardsTheEarlierStatus()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("e", "north", {{{"m"}, {}}}), start);
        ServerStatus status;
        status.m_startUnixMs = 1;
        status.m_sequence = 9;
        status.m_models = {{{"m"}, {}}};
        CPPUNIT_ASSERT(applyStatusUpdate(servers, {"e"}, status, start));
        recordServerResult(servers.m_servers[{"e"}], false, start);
        BackendServer again = makeServer("e", "north", {});
        again.m_serverStatus.m_startUnixMs = 2;
        applyEntry(servers, again, start + Millis{1});
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(servers, choice("m")));
        CPPUNIT_ASSERT_EQUAL(0, servers.m_servers[{"e"}].m_failures);
    }

    /// A status update can cross with a restart of the server. It then lists models of a process
    /// that isn't the one in the entry.
    void statusUpdateOfAnotherProcessInstanceIsIgnored()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("e", "north", {}), start);
        ServerStatus status;
        status.m_startUnixMs = 7;
        status.m_models = {{{"m"}, {}}};
        CPPUNIT_ASSERT(!applyStatusUpdate(servers, {"e"}, status, start));
        CPPUNIT_ASSERT(!applyStatusUpdate(servers, {"unknown"}, status, start));
    }

    /// During a store outage servers can't renew their entries, so these expire although the
    /// servers run. Such a server must stay in use until it is listed again; one that announced its
    /// shutdown must be dropped.
    void entriesLostInAStoreOutageAreKeptTemporarily()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("lapsed", "north", {}), start);
        BackendServer leaving = makeServer("leaving", "north", {});
        leaving.m_leaving = true;
        applyEntry(servers, leaving, start);
        const Millis keepUntil = start + Millis{2'000};
        CPPUNIT_ASSERT(handleRemovedEntry(servers, {"lapsed"}, keepUntil, start));
        CPPUNIT_ASSERT(!handleRemovedEntry(servers, {"leaving"}, keepUntil, start));
        CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), chosen(servers, choice("")));
        applyEntry(servers, makeServer("lapsed", "north", {}), start + Millis{500}); // listed again
        dropExpiredMissing(servers, keepUntil);
        CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), chosen(servers, choice(""), keepUntil));
    }

    /// A server whose entry disappears after a store outage is kept until 2 s after the recovery.
    /// That time must not start anew when a host detects the removal: three hosts kept a server for
    /// another 2 s although it left 3.7 s after the recovery.
    void missingServersAreDroppedTwoSecondsAfterStoreRecovery()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("e", "north", {}), start);
        const Millis keepUntil = start + Millis{2'000};
        CPPUNIT_ASSERT(handleRemovedEntry(servers, {"e"}, keepUntil, start + Millis{1'900}));
        // The same removal is detected a second time.
        CPPUNIT_ASSERT(handleRemovedEntry(servers, {"e"}, keepUntil, start + Millis{1'950}));
        CPPUNIT_ASSERT_EQUAL(std::string("e"), chosen(servers, choice(""), start + Millis{1'999}));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(servers, choice(""), keepUntil));
        dropExpiredMissing(servers, keepUntil);
        CPPUNIT_ASSERT(servers.m_servers.empty());
        applyEntry(servers, makeServer("e", "north", {}), start);
        CPPUNIT_ASSERT(!handleRemovedEntry(servers, {"e"}, keepUntil, start + Millis{3'700}));
        CPPUNIT_ASSERT(servers.m_servers.empty());
    }

    /// Hosts compare digests to detect that their server lists differ. A restart or an announced
    /// shutdown must change the digest, or a host with an old list goes undetected.
    void digestChangesForLeavingAndRestartedServers()
    {
        ServerTable servers;
        applyEntry(servers, makeServer("e", "north", {}), start);
        const std::uint64_t first = digestOf(servers);
        applyEntry(servers, makeServer("e", "north", {{{"m"}, {}}}), start);
        // Loaded models are no part of the digest: status updates report them.
        CPPUNIT_ASSERT_EQUAL(first, digestOf(servers));
        BackendServer changed = makeServer("e", "north", {});
        changed.m_leaving = true;
        applyEntry(servers, changed, start);
        CPPUNIT_ASSERT(first != digestOf(servers));
        changed.m_leaving = false;
        changed.m_serverStatus.m_startUnixMs = 2;
        applyEntry(servers, changed, start);
        CPPUNIT_ASSERT(first != digestOf(servers));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRequestsTest);
