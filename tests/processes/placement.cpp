// Process tests of placement with killed and paused hosts, a failing platform and restarted
// engines. The counts that the engine stand-ins keep themselves show whether a model was ever
// loaded twice or memory overcommitted.
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
    const Reply reply = draft(host.m_listenAddress, id, 4, longDeadline, model);
    return reply.m_whole && reply.m_status == 200
        && reply.m_body.find("event: done") != std::string::npos;
}

std::size_t nextHost(const Fleet &fleet, std::size_t owner)
{
    return (owner + 1) % fleet.m_hosts.size();
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(ownerKilledDuringLoad);
    CPPUNIT_TEST(pausedOwnerResumesWithFencingEngine);
    CPPUNIT_TEST(pausedOwnerResumesWithNonFencingEngine);
    CPPUNIT_TEST(lostPlatformAnswersCauseOneLoad);
    CPPUNIT_TEST(loadedModelsAreServedWhilePlatformIsDown);
    CPPUNIT_TEST(fullCellEvictsWithoutOvercommit);
    CPPUNIT_TEST(modelIsReloadedAfterEngineRestart);
    CPPUNIT_TEST(leavingEngineIsEmptiedAndReplaced);
    CPPUNIT_TEST(ownerKilledWhilePlatformAnswersAreLost);
    CPPUNIT_TEST(modelInUseStaysLoaded);
    CPPUNIT_TEST_SUITE_END();

    /// Pauses the owner after it recorded a load, with the order still in transit to the engine,
    /// and lets it continue once another host has taken the cell.
    void pausedOwner(bool checksFence)
    {
        Fleet fleet;
        EngineOptions options;
        options.m_checksFencingToken = checksFence;
        options.m_loadMs = 1'000;
        startFleet(fleet, 4, {options, options}, 0);
        const std::size_t owner = *ownerOf(fleet);
        const Process &other = fleet.m_hosts[nextHost(fleet, owner)];
        setFault(fleet.m_engines[0], "mode=delay-order&count=1&ms=1500");
        setFault(fleet.m_engines[1], "mode=delay-order&count=1&ms=1500");
        bool firstServed = false;
        std::thread caller([&] { firstServed = served(other, "paused", "tasting-notes"); });
        const auto hasSlot = [&] {
            const json::value record
                = fetchJson(fleet.m_platform.m_listenAddress, "/objects/cells/main");
            return record.as_object().contains("slots") && !record.at("slots").as_array().empty();
        };
        const bool recorded = eventually(hasSlot, {5'000});
        signalProcess(fleet.m_hosts[owner], SIGSTOP);
        const auto cellTaken = [&] {
            for (std::size_t i = 0; i < fleet.m_hosts.size(); ++i) {
                if (i == owner)
                    continue;
                const json::value status = fetchJson(fleet.m_hosts[i].m_admin, "/status");
                if (status.as_object().contains("cells") && !status.at("cells").as_array().empty())
                    return true;
            }
            return false;
        };
        const bool takenOver = eventually(cellTaken, {8'000});
        signalProcess(fleet.m_hosts[owner], SIGCONT);
        caller.join();
        CPPUNIT_ASSERT(recorded && takenOver);
        CPPUNIT_ASSERT_MESSAGE("the waiting caller is served", firstServed);
        CPPUNIT_ASSERT(served(other, "after", "allergens"));
        CPPUNIT_ASSERT_EQUAL(1, maxConcurrentReplicas(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

public:
    /// The owner is killed while an engine executes its load order, so the next owner can't learn
    /// the order's outcome from its sender. The next owner must not load the model a second time,
    /// and must serve the waiting caller and load other models.
    void ownerKilledDuringLoad()
    {
        Fleet fleet;
        EngineOptions options;
        options.m_loadMs = 1'500;
        startFleet(fleet, 4, {options, options}, 0);
        const std::size_t owner = *ownerOf(fleet);
        const Process &other = fleet.m_hosts[nextHost(fleet, owner)];
        bool firstServed = false;
        std::thread caller([&] { firstServed = served(other, "killed", "tasting-notes"); });
        const bool loading
            = eventually([&] { return loadsOf(fleet, "tasting-notes") == 1; }, {5'000});
        signalProcess(fleet.m_hosts[owner], SIGKILL);
        const auto began = std::chrono::steady_clock::now();
        bool secondServed = false;
        std::thread coldStart([&] { secondServed = served(other, "cold", "allergens"); });
        caller.join();
        coldStart.join();
        const auto took = std::chrono::steady_clock::now() - began;
        CPPUNIT_ASSERT(loading);
        CPPUNIT_ASSERT_MESSAGE("the waiting caller is served", firstServed);
        CPPUNIT_ASSERT_MESSAGE("the next owner serves cold starts", secondServed);
        std::cerr << " both served "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(took).count()
                  << " ms after the kill, a load takes 1500 ms;";
        CPPUNIT_ASSERT_EQUAL(1, maxConcurrentReplicas(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    /// A paused owner doesn't know that it lost the cell, and its orders arrive late. The engine
    /// must refuse them by their fencing token; no model may be loaded twice.
    void pausedOwnerResumesWithFencingEngine() { pausedOwner(true); }

    /// A paused owner sends an order late, and the engine accepts it. The next owner must keep the
    /// order's memory reserved until its outcome is known; no model may be loaded twice.
    void pausedOwnerResumesWithNonFencingEngine() { pausedOwner(false); }

    /// The platform applies the update of the cell's record but its answer is lost. An owner that
    /// took this for a failed update would plan and load the model again.
    void lostPlatformAnswersCauseOneLoad()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}, {}}, 0);
        setFault(fleet.m_platform, "mode=lose-answer&count=1");
        CPPUNIT_ASSERT(served(fleet.m_hosts[0], "lost-1", "tasting-notes"));
        setFault(fleet.m_platform, "mode=lose-answer&count=2");
        CPPUNIT_ASSERT(served(fleet.m_hosts[1], "lost-2", "allergens"));
        CPPUNIT_ASSERT_EQUAL(1, maxConcurrentReplicas(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(1, maxConcurrentReplicas(fleet, "allergens"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    /// Loaded models must be served without the platform, also after the cell's owner is killed,
    /// when no host can take the cell. A cold start is refused with 503 and not run, since its load
    /// can't be recorded. When the platform is back, a new owner serves cold starts again.
    void loadedModelsAreServedWhilePlatformIsDown()
    {
        Fleet fleet;
        startFleet(fleet, 4, {{}, {}}, 0);
        CPPUNIT_ASSERT(served(fleet.m_hosts[0], "warm", "tasting-notes"));
        setFault(fleet.m_platform, "mode=down");
        for (std::size_t i = 0; i < fleet.m_hosts.size(); ++i)
            CPPUNIT_ASSERT(served(fleet.m_hosts[i], "down-" + std::to_string(i), "tasting-notes"));
        const Reply cold
            = draft(fleet.m_hosts[0].m_listenAddress, "cold", 4, longDeadline, "allergens");
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
        const Process &remaining = fleet.m_hosts[nextHost(fleet, owner)];
        CPPUNIT_ASSERT(
            eventually([&] { return served(remaining, "back", "allergens"); }, {20'000}));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    /// With memory for two of three models, each must be loaded in turn by evicting another. A load
    /// order sent before the unload is confirmed would overcommit the memory.
    void fullCellEvictsWithoutOvercommit()
    {
        Fleet fleet;
        EngineOptions small;
        small.m_accelerators = {33'000}; // MiB, fits two of the three models
        startFleet(fleet, 3, {small}, 0);
        const std::vector<std::string> models = {"tasting-notes", "allergens", "buyers"};
        for (int round = 0; round < 3; ++round) {
            for (const std::string &model : models) {
                const std::string id = model + "-" + std::to_string(round);
                CPPUNIT_ASSERT_MESSAGE(id, served(fleet.m_hosts[0], id, model));
            }
        }
        for (const std::string &model : models)
            CPPUNIT_ASSERT_EQUAL(1, maxConcurrentReplicas(fleet, model));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    /// A restarted engine has nothing loaded, while the record still says that the model is. The
    /// owner must see this in the engine's report and load the model again.
    void modelIsReloadedAfterEngineRestart()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 0);
        CPPUNIT_ASSERT(served(fleet.m_hosts[0], "before", "tasting-notes"));
        signalProcess(fleet.m_engines[0], SIGKILL);
        startProcess(fleet.m_engines[0], fleet);
        const auto servedAgain = [&] { return served(fleet.m_hosts[1], "after", "tasting-notes"); };
        CPPUNIT_ASSERT(eventually(servedAgain, {20'000}));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }

    /// When an operator publishes an engine as leaving, requests must move to a replica on another
    /// engine; the leaving one must not count as a usable replica.
    void leavingEngineIsEmptiedAndReplaced()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}, {}}, 0);
        CPPUNIT_ASSERT(served(fleet.m_hosts[0], "before", "tasting-notes"));
        const std::size_t usedEngine = runsAt(fleet.m_engines[0], "before") == 1 ? 0 : 1;
        const std::string &leaving = fleet.m_engines[usedEngine].m_name;
        const std::string file = writeFile(fleet, "leaving.yaml", deploymentText(fleet, leaving));
        CPPUNIT_ASSERT_EQUAL(0, control(fleet, {"publish", file}).m_exitCode);
        int round = 0;
        const auto servedElsewhere = [&] {
            const std::string id = "leaving-" + std::to_string(round++);
            return served(fleet.m_hosts[1], id, "tasting-notes")
                && runsAt(fleet.m_engines[usedEngine], id) == 0;
        };
        CPPUNIT_ASSERT(eventually(servedElsewhere, {3'000}));
        CPPUNIT_ASSERT(servedElsewhere());
        CPPUNIT_ASSERT_EQUAL(1, maxConcurrentReplicas(fleet, "tasting-notes"));
    }

    /// Requests that start and end between two reports of a home must count as use, or a model in
    /// steady use is unloaded after its keep-alive time. Unused, it must be unloaded.
    void modelInUseStaysLoaded()
    {
        Fleet fleet;
        startFleet(fleet, 3, {{}}, 0);
        const std::string file = writeFile(fleet, "brief.yaml", R"(service: tasting
work: [{name: draft, idempotent: true}]
models: [{name: tasting-notes, memory-mb: 16000, load-ms: 300, keep-alive-ms: 1000}]
)");
        CPPUNIT_ASSERT_EQUAL(0, control(fleet, {"publish", file}).m_exitCode);
        // Short requests, so that hardly any is running at the moment when the home reports.
        constexpr int requests = 40;
        int number = 0;
        const auto allSent = [&] {
            const std::string id = "use-" + std::to_string(number++);
            draft(fleet.m_hosts[0].m_listenAddress, id, 1, longDeadline);
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            return number >= requests;
        };
        CPPUNIT_ASSERT(eventually(allSent, {30'000}));
        CPPUNIT_ASSERT_EQUAL(1, loadsOf(fleet, "tasting-notes"));
        const auto unloaded = [&] {
            const json::value report = fetchJson(fleet.m_engines[0].m_listenAddress, "/report");
            return report.at("loaded").as_array().empty();
        };
        CPPUNIT_ASSERT_MESSAGE("the unused model is unloaded", eventually(unloaded, {15'000}));
    }

    /// The owner is killed while it re-reads the record after lost answers. Whether or not its last
    /// update was applied, the next owner must load each model exactly once.
    void ownerKilledWhilePlatformAnswersAreLost()
    {
        Fleet fleet;
        EngineOptions options;
        options.m_loadMs = 600;
        startFleet(fleet, 4, {options, options}, 0);
        const std::size_t owner = *ownerOf(fleet);
        const Process &other = fleet.m_hosts[nextHost(fleet, owner)];
        setFault(fleet.m_platform, "mode=lose-answer&count=4");
        bool firstServed = false;
        std::thread caller([&] { firstServed = served(other, "first", "tasting-notes"); });
        eventually([&] { return loadsOf(fleet, "tasting-notes") == 1; }, {3'000});
        signalProcess(fleet.m_hosts[owner], SIGKILL);
        caller.join();
        CPPUNIT_ASSERT(firstServed);
        CPPUNIT_ASSERT(served(other, "second", "allergens"));
        CPPUNIT_ASSERT_EQUAL(1, maxConcurrentReplicas(fleet, "tasting-notes"));
        CPPUNIT_ASSERT_EQUAL(1, maxConcurrentReplicas(fleet, "allergens"));
        CPPUNIT_ASSERT_EQUAL(0, overcommits(fleet));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
