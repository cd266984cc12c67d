// Placement under kills, pauses and a failing platform. The engines' own books are the judge.
#include "processes/fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <iostream>
#include <thread>

using namespace fleet;

namespace {

constexpr Millis longDeadline = {12'000};

bool served(const Process &host, const std::string &id, const std::string &model)
{
    const Reply reply = draft(host.m_main, id, 4, longDeadline, model);
    return reply.m_whole && reply.m_status == 200
        && reply.m_body.find("event: done") != std::string::npos;
}

std::size_t anotherHost(const Fleet &fleet, std::size_t owner)
{
    return (owner + 1) % fleet.m_hosts.size();
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(killedOwnerInTheMiddleOfALoad);
    CPPUNIT_TEST(pausedOwnerWakesWithFencingEngine);
    CPPUNIT_TEST(pausedOwnerWakesWithIgnoringEngine);
    CPPUNIT_TEST(lostPlatformAnswersLoadOnce);
    CPPUNIT_TEST(platformDownServesLoadedModels);
    CPPUNIT_TEST(fullCellEvictsAndNeverOvercommits);
    CPPUNIT_TEST(restartedEngineIsLoadedAgain);
    CPPUNIT_TEST(leavingEngineIsEmptiedAndReplaced);
    CPPUNIT_TEST(ownerKilledWhileAnswersAreLost);
    CPPUNIT_TEST(modelInUseStaysLoaded);
    CPPUNIT_TEST_SUITE_END();

    void pausedOwner(bool checksFence)
    {
        Fleet fleet;
        EngineShape shape;
        shape.m_checksFence = checksFence;
        shape.m_loadMs = 1'000;
        startFleet(fleet, 4, {shape, shape}, 0);
        const std::size_t owner = *ownerOf(fleet);
        const Process &other = fleet.m_hosts[anotherHost(fleet, owner)];
        setFault(fleet.m_engines[0], "mode=delay-order&count=1&ms=1500");
        setFault(fleet.m_engines[1], "mode=delay-order&count=1&ms=1500");
        bool first = false;
        std::thread caller([&] { first = served(other, "paused", "tasting-notes"); });
        const auto decided = [&] {
            const json::value record = fetchJson(fleet.m_platform.m_main, "/objects/cells/main");
            return record.as_object().contains("slots") && !record.at("slots").as_array().empty();
        };
        const bool recorded = eventually(decided, {5'000});
        signalProcess(fleet.m_hosts[owner], SIGSTOP);
        const auto taken = [&] {
            for (std::size_t i = 0; i < fleet.m_hosts.size(); ++i) {
                if (i == owner)
                    continue;
                const json::value status = fetchJson(fleet.m_hosts[i].m_admin, "/status");
                if (status.as_object().contains("cells") && !status.at("cells").as_array().empty())
                    return true;
            }
            return false;
        };
        const bool takenOver = eventually(taken, {8'000});
        signalProcess(fleet.m_hosts[owner], SIGCONT);
        caller.join();
        CPPUNIT_ASSERT(recorded && takenOver);
        CPPUNIT_ASSERT_MESSAGE("the waiting caller is served", first);
        CPPUNIT_ASSERT(served(other, "after", "allergens"));
        CPPUNIT_ASSERT_EQUAL(1, mostReplicas(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

public:
    void killedOwnerInTheMiddleOfALoad()
    {
        Fleet fleet;
        EngineShape shape;
        shape.m_loadMs = 1'500;
        startFleet(fleet, 4, {shape, shape}, 0);
        const std::size_t owner = *ownerOf(fleet);
        const Process &other = fleet.m_hosts[anotherHost(fleet, owner)];
        bool first = false;
        std::thread caller([&] { first = served(other, "killed", "tasting-notes"); });
        const bool loading
            = eventually([&] { return loadsOf(fleet, "tasting-notes") == 1; }, {5'000});
        signalProcess(fleet.m_hosts[owner], SIGKILL);
        const auto began = std::chrono::steady_clock::now();
        bool second = false;
        std::thread coldStart([&] { second = served(other, "cold", "allergens"); });
        caller.join();
        coldStart.join();
        const auto took = std::chrono::steady_clock::now() - began;
        CPPUNIT_ASSERT(loading);
        CPPUNIT_ASSERT_MESSAGE("the waiting caller is served", first);
        CPPUNIT_ASSERT_MESSAGE("a cold start goes on", second);
        std::cerr << " both served "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(took).count()
                  << " ms after the kill, a load takes 1500 ms;";
        CPPUNIT_ASSERT_EQUAL(1, mostReplicas(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    void pausedOwnerWakesWithFencingEngine() { pausedOwner(true); }
    void pausedOwnerWakesWithIgnoringEngine() { pausedOwner(false); }

    void lostPlatformAnswersLoadOnce()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}, {}}, 0);
        setFault(fleet.m_platform, "mode=lose-answer&count=1");
        CPPUNIT_ASSERT(served(fleet.m_hosts[0], "lost-1", "tasting-notes"));
        setFault(fleet.m_platform, "mode=lose-answer&count=2");
        CPPUNIT_ASSERT(served(fleet.m_hosts[1], "lost-2", "allergens"));
        CPPUNIT_ASSERT_EQUAL(1, mostReplicas(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(1, mostReplicas(fleet, "allergens"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    void platformDownServesLoadedModels()
    {
        Fleet fleet;
        startFleet(fleet, 4, {{}, {}}, 0);
        CPPUNIT_ASSERT(served(fleet.m_hosts[0], "warm", "tasting-notes"));
        setFault(fleet.m_platform, "mode=down");
        for (std::size_t i = 0; i < fleet.m_hosts.size(); ++i)
            CPPUNIT_ASSERT(served(fleet.m_hosts[i], "down-" + std::to_string(i), "tasting-notes"));
        const Reply cold = draft(fleet.m_hosts[0].m_main, "cold", 4, longDeadline, "allergens");
        CPPUNIT_ASSERT_EQUAL(503U, cold.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), cold.m_run);
        const std::size_t owner = *ownerOf(fleet);
        signalProcess(fleet.m_hosts[owner], SIGKILL);
        for (std::size_t i = 0; i < fleet.m_hosts.size(); ++i) {
            if (i != owner)
                CPPUNIT_ASSERT(
                    served(fleet.m_hosts[i], "ownerless-" + std::to_string(i), "tasting-notes"));
        }
        setFault(fleet.m_platform, "mode=none");
        const Process &left = fleet.m_hosts[anotherHost(fleet, owner)];
        CPPUNIT_ASSERT(eventually([&] { return served(left, "back", "allergens"); }, {20'000}));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    void fullCellEvictsAndNeverOvercommits()
    {
        Fleet fleet;
        EngineShape small;
        small.m_accelerators = {33'000}; // two of the three models
        startFleet(fleet, 3, {small}, 0);
        const std::vector<std::string> models = {"tasting-notes", "allergens", "buyers"};
        for (int round = 0; round < 3; ++round) {
            for (const std::string &model : models) {
                const std::string id = model + "-" + std::to_string(round);
                CPPUNIT_ASSERT_MESSAGE(id, served(fleet.m_hosts[0], id, model));
            }
        }
        for (const std::string &model : models)
            CPPUNIT_ASSERT_EQUAL(1, mostReplicas(fleet, model));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    void restartedEngineIsLoadedAgain()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 0);
        CPPUNIT_ASSERT(served(fleet.m_hosts[0], "before", "tasting-notes"));
        signalProcess(fleet.m_engines[0], SIGKILL);
        startProcess(fleet.m_engines[0], fleet);
        const auto back = [&] { return served(fleet.m_hosts[1], "after", "tasting-notes"); };
        CPPUNIT_ASSERT(eventually(back, {20'000}));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    void leavingEngineIsEmptiedAndReplaced()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}, {}}, 0);
        CPPUNIT_ASSERT(served(fleet.m_hosts[0], "before", "tasting-notes"));
        const std::size_t first = runsAt(fleet.m_engines[0], "before") == 1 ? 0 : 1;
        const std::string &leaving = fleet.m_engines[first].m_name;
        const std::string file = writeFile(fleet, "leaving.yaml", deploymentText(fleet, leaving));
        CPPUNIT_ASSERT_EQUAL(0, control(fleet, {"publish", file}).m_code);
        int round = 0;
        const auto elsewhere = [&] {
            const std::string id = "leaving-" + std::to_string(round++);
            return served(fleet.m_hosts[1], id, "tasting-notes")
                && runsAt(fleet.m_engines[first], id) == 0;
        };
        CPPUNIT_ASSERT(eventually(elsewhere, {3'000}));
        CPPUNIT_ASSERT(elsewhere());
        CPPUNIT_ASSERT_EQUAL(1, mostReplicas(fleet, "tasting-notes"));
    }

    void modelInUseStaysLoaded()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 0);
        const std::string file = writeFile(fleet, "brief.yaml", R"(service: tasting
work: [{name: draft, idempotent: true}]
models: [{name: tasting-notes, memory-mb: 16000, load-ms: 300, keep-alive-ms: 1000}]
)");
        CPPUNIT_ASSERT_EQUAL(0, control(fleet, {"publish", file}).m_code);
        // Short requests, so that none happens to run when the home reports.
        constexpr int requests = 40;
        int number = 0;
        const auto allSent = [&] {
            const std::string id = "use-" + std::to_string(number++);
            draft(fleet.m_hosts[0].m_main, id, 1, longDeadline);
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            return number >= requests;
        };
        CPPUNIT_ASSERT(eventually(allSent, {30'000}));
        CPPUNIT_ASSERT_EQUAL(1, loadsOf(fleet, "tasting-notes"));
        const auto asleep = [&] {
            const json::value report = fetchJson(fleet.m_engines[0].m_main, "/report");
            return report.at("loaded").as_array().empty();
        };
        CPPUNIT_ASSERT_MESSAGE("unused, it falls asleep", eventually(asleep, {15'000}));
    }

    void ownerKilledWhileAnswersAreLost()
    {
        Fleet fleet;
        EngineShape shape;
        shape.m_loadMs = 600;
        startFleet(fleet, 4, {shape, shape}, 0);
        const std::size_t owner = *ownerOf(fleet);
        const Process &other = fleet.m_hosts[anotherHost(fleet, owner)];
        setFault(fleet.m_platform, "mode=lose-answer&count=4");
        bool first = false;
        std::thread caller([&] { first = served(other, "first", "tasting-notes"); });
        eventually([&] { return loadsOf(fleet, "tasting-notes") == 1; }, {3'000});
        signalProcess(fleet.m_hosts[owner], SIGKILL);
        caller.join();
        CPPUNIT_ASSERT(first);
        CPPUNIT_ASSERT(served(other, "second", "allergens"));
        CPPUNIT_ASSERT_EQUAL(1, mostReplicas(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(1, mostReplicas(fleet, "allergens"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
