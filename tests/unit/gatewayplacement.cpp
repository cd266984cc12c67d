// Placement: which order comes next, and whole loads played against servers made of plain structs.
#include "gateway.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace apricot;

namespace {

EngineLimits makeLimits(int models)
{
    EngineLimits limits;
    limits.m_slots = 10;
    limits.m_weightsMb = 220;
    limits.m_adapterSlots = 2;
    limits.m_loadsPerSecond = 2;
    for (int number = 0; number < models; ++number) {
        EngineModel model;
        model.m_name = {"m" + std::to_string(number)};
        model.m_weightsMb = 100;
        model.m_adapterMb = 5;
        model.m_fromStore = {6'000};
        model.m_fromDisk = {800};
        model.m_fromMemory = {600};
        limits.m_models[model.m_name] = model;
    }
    return limits;
}

PlanServer makeServer(const std::string &id, const std::vector<std::string> &models,
                      const std::vector<std::string> &disk)
{
    PlanServer server;
    server.m_id = {id};
    for (const std::string &model : models) {
        server.m_word.m_models.push_back({{model}, {}});
        server.m_word.m_onDisk.insert({model});
    }
    for (const std::string &model : disk)
        server.m_word.m_onDisk.insert({model});
    return server;
}

ModelDemand waitingFor(const std::string &model, int calls = 1, const std::string &adapter = "")
{
    ModelDemand demand;
    demand.m_model = {model};
    demand.m_adapter = {adapter};
    demand.m_waiting = calls;
    demand.m_oldest = {10};
    return demand;
}

std::string textOf(const std::vector<EngineCommand> &commands)
{
    std::string text;
    for (const EngineCommand &command : commands) {
        text += command.m_kind == CommandKind::Load ? "+" : "-";
        text += command.m_server.m_text + ":" + command.m_model.m_text;
        if (!command.m_adapter.m_text.empty())
            text += "/" + command.m_adapter.m_text;
        text += " ";
    }
    return text;
}

/// A model server in the played loads: one order at a time, models on disk come quickly.
struct SimServer
{
    PlanServer m_plan;
    Millis m_busyUntil;
    EngineCommand m_order; // valid while busy
};

} // namespace

class GatewayPlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayPlacementTest);
    CPPUNIT_TEST(nothingToDoMeansNoOrder);
    CPPUNIT_TEST(freeRoomIsUsedFirst);
    CPPUNIT_TEST(swapGoesWhereTheModelIsOnDisk);
    CPPUNIT_TEST(idleModelsAreGivenUpBeforeBusyOnes);
    CPPUNIT_TEST(modelThatWasJustLoadedStaysForItsCallers);
    CPPUNIT_TEST(callersWhoCanStillBeOnTimeComeFirst);
    CPPUNIT_TEST(roomIsNotMadeTwice);
    CPPUNIT_TEST(roomThatWasMadeIsUsed);
    CPPUNIT_TEST(theStoreIsAskedOnlyWhenItsRateAllows);
    CPPUNIT_TEST(adapterGoesWhereItsModelIs);
    CPPUNIT_TEST(idleAdapterMakesPlace);
    CPPUNIT_TEST(adapterOnItsWayIsNotOrderedAgain);
    CPPUNIT_TEST(crowdedModelGetsAnotherCopy);
    CPPUNIT_TEST(busyModelGetsCopiesForItsRate);
    CPPUNIT_TEST(unknownSequenceMeansNoOrder);
    CPPUNIT_TEST(rareModelsOneAfterTheOtherAreSwappedInTime);
    CPPUNIT_TEST_SUITE_END();

    static PlacementInput input(const EngineLimits &limits, std::vector<PlanServer> servers,
                                std::vector<ModelDemand> demands)
    {
        PlacementInput made;
        made.m_limits = &limits;
        made.m_servers = std::move(servers);
        made.m_demands = std::move(demands);
        return made;
    }

    const EngineLimits m_limits = makeLimits(8);

public:
    void nothingToDoMeansNoOrder()
    {
        const auto plan = input(m_limits, {makeServer("a", {"m0", "m1"}, {})}, {waitingFor("m0")});
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(planPlacement(plan)));
    }

    void freeRoomIsUsedFirst()
    {
        const auto plan = input(
            m_limits, {makeServer("a", {"m0", "m1"}, {"m2"}), makeServer("b", {"m0"}, {"m2"})},
            {waitingFor("m2")});
        CPPUNIT_ASSERT_EQUAL(std::string("+b:m2 "), textOf(planPlacement(plan)));
    }

    void swapGoesWhereTheModelIsOnDisk()
    {
        const auto plan = input(
            m_limits, {makeServer("a", {"m0", "m1"}, {}), makeServer("b", {"m0", "m1"}, {"m2"})},
            {waitingFor("m2")});
        const auto commands = planPlacement(plan);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), commands[0].m_server.m_text);
        CPPUNIT_ASSERT(commands[0].m_kind == CommandKind::Unload);
        CPPUNIT_ASSERT_EQUAL(std::string("m2"), commands[0].m_purpose.m_text);
    }

    void idleModelsAreGivenUpBeforeBusyOnes()
    {
        PlanServer server = makeServer("a", {"m0", "m1"}, {"m2"});
        server.m_running[{"m0"}] = 3;
        const auto plan = input(m_limits, {server}, {waitingFor("m2")});
        CPPUNIT_ASSERT_EQUAL(std::string("-a:m1 "), textOf(planPlacement(plan)));
    }

    /// The load: callers of two rare models at once, one server that can swap both in. The first
    /// model has just come and its callers are on their way: nothing shows that it is in use.
    void modelThatWasJustLoadedStaysForItsCallers()
    {
        PlanServer server = makeServer("a", {"m0", "m1"}, {"m2"});
        server.m_fresh = {{"m1"}};
        server.m_running[{"m0"}] = 1;
        const auto plan = input(m_limits, {server}, {waitingFor("m2")});
        CPPUNIT_ASSERT_EQUAL(std::string("-a:m0 "), textOf(planPlacement(plan)));
        server.m_fresh.insert({"m0"});
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             textOf(planPlacement(input(m_limits, {server}, {waitingFor("m2")}))));
    }

    /// The load: a burst of rare models, more than the servers can swap in within the target. In
    /// the order of arrival everybody waits as long as the first, and all are late.
    void callersWhoCanStillBeOnTimeComeFirst()
    {
        ModelDemand late = waitingFor("m2", 0);
        addWaiting(late, {4'000}, {3'000});
        ModelDemand loose = waitingFor("m3", 0);
        addWaiting(loose, {100}, {3'000});
        ModelDemand tight = waitingFor("m4", 0);
        addWaiting(tight, {1'000}, {3'000});
        const auto plan = input(m_limits, {makeServer("a", {"m0", "m1"}, {"m2", "m3", "m4"})},
                                {late, loose, tight});
        const auto commands = planPlacement(plan);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT_EQUAL(std::string("m4"), commands[0].m_purpose.m_text);
        // Summed over hosts, the tightest that can still be on time counts.
        ModelDemand sum = late;
        addDemand(sum, tight);
        addDemand(sum, loose);
        CPPUNIT_ASSERT_EQUAL(3, sum.m_waiting);
        CPPUNIT_ASSERT_EQUAL(2, sum.m_hopeful);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, sum.m_slack.m_count);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000}, sum.m_oldest.m_count);
    }

    void roomIsNotMadeTwice()
    {
        PlanServer swapping = makeServer("a", {"m0"}, {"m2"});
        swapping.m_usable = false; // its order is being carried out
        swapping.m_pending = {"m2"};
        const auto plan = input(m_limits, {swapping, makeServer("b", {"m0", "m1"}, {"m2"})},
                                {waitingFor("m2", 5)});
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(planPlacement(plan)));
    }

    void roomThatWasMadeIsUsed()
    {
        PlanServer emptied = makeServer("a", {"m0"}, {"m2", "m3"});
        emptied.m_pending = {"m2"};
        const auto plan = input(m_limits, {emptied}, {waitingFor("m3"), waitingFor("m2")});
        CPPUNIT_ASSERT_EQUAL(std::string("+a:m2 "), textOf(planPlacement(plan)));
    }

    void theStoreIsAskedOnlyWhenItsRateAllows()
    {
        auto plan = input(m_limits, {makeServer("a", {"m0"}, {})}, {waitingFor("m2")});
        plan.m_storeLoadDue = false;
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(planPlacement(plan)));
        plan.m_storeLoadDue = true;
        const auto commands = planPlacement(plan);
        CPPUNIT_ASSERT_EQUAL(std::string("+a:m2 "), textOf(commands));
        CPPUNIT_ASSERT(commands[0].m_fromStore);
        // One grant, one load, even if two callers wait for two models.
        plan = input(m_limits, {makeServer("a", {"m0"}, {}), makeServer("b", {"m0"}, {})},
                     {waitingFor("m2"), waitingFor("m3")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planPlacement(plan).size());
    }

    void adapterGoesWhereItsModelIs()
    {
        const auto plan
            = input(m_limits, {makeServer("a", {"m0"}, {}), makeServer("b", {"m1"}, {})},
                    {waitingFor("m1", 1, "a4")});
        CPPUNIT_ASSERT_EQUAL(std::string("+b:m1/a4 "), textOf(planPlacement(plan)));
    }

    void idleAdapterMakesPlace()
    {
        PlanServer server = makeServer("a", {"m0"}, {});
        server.m_word.m_models[0].m_adapters = {{"a1"}, {"a2"}};
        ModelDemand used = waitingFor("m0", 0, "a1");
        used.m_running = 1;
        const auto plan = input(m_limits, {server}, {used, waitingFor("m0", 1, "a3")});
        CPPUNIT_ASSERT_EQUAL(std::string("-a:m0/a2 "), textOf(planPlacement(plan)));
    }

    void adapterOnItsWayIsNotOrderedAgain()
    {
        auto plan = input(m_limits, {makeServer("a", {"m0"}, {}), makeServer("b", {"m0"}, {})},
                          {waitingFor("m0", 1, "a1")});
        plan.m_comingAdapters = {"a m0/a1"};
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(planPlacement(plan)));
    }

    void crowdedModelGetsAnotherCopy()
    {
        ModelDemand busy;
        busy.m_model = {"m0"};
        busy.m_running = 8;
        const auto plan = input(
            m_limits, {makeServer("a", {"m0"}, {}), makeServer("b", {"m1"}, {"m0"})}, {busy});
        CPPUNIT_ASSERT_EQUAL(std::string("+b:m0 "), textOf(planPlacement(plan)));
    }

    /// The load: demand moves to another model. Its few copies have slots enough, but the prompts
    /// that come in hold up the tokens of the streams long before the slots are taken.
    void busyModelGetsCopiesForItsRate()
    {
        EngineLimits limits = makeLimits(8);
        limits.m_slots = 64;
        ModelDemand busy;
        busy.m_model = {"m0"};
        busy.m_rate = 14;
        busy.m_running = 12;
        std::vector<PlanServer> servers = {makeServer("a", {"m0"}, {})};
        for (const char *id : {"b", "c", "d"})
            servers.push_back(makeServer(id, {"m1", "m2"}, {"m0"}));
        // Two more copies, both begun at once; the third server is left alone.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planPlacement(input(limits, servers, {busy})).size());
        servers[1].m_pending = {"m0"};
        servers[1].m_usable = false;
        const auto second = planPlacement(input(limits, servers, {busy}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT_EQUAL(std::string("m0"), second[0].m_purpose.m_text);
        servers[2].m_pending = {"m0"};
        servers[2].m_usable = false;
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(planPlacement(input(limits, servers, {busy}))));
    }

    void unknownSequenceMeansNoOrder()
    {
        PlanServer server = makeServer("a", {}, {"m2"});
        server.m_sequenceKnown = false;
        const auto plan = input(m_limits, {server}, {waitingFor("m2")});
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(planPlacement(plan)));
    }

    /// The load: many rare models, each asked for now and then, four times more models than places.
    /// All must be served within seconds by swaps, and no server may ever hold too much.
    void rareModelsOneAfterTheOtherAreSwappedInTime()
    {
        constexpr int models = 24;
        const EngineLimits limits = makeLimits(models);
        std::mt19937_64 random(7);
        std::vector<SimServer> servers(3);
        for (std::size_t at = 0; at < servers.size(); ++at) {
            servers[at].m_plan = makeServer("s" + std::to_string(at), {}, {});
            for (int model = 0; model < models; ++model) {
                if ((model + static_cast<int>(at)) % 3 != 0)
                    servers[at].m_plan.m_word.m_onDisk.insert({"m" + std::to_string(model)});
            }
        }
        std::map<ModelName, Millis> waiting; // since when
        Millis worst = {0};
        int served = 0;
        constexpr Millis end = {120'000};
        for (Millis time = {0}; time < end; time = time + Millis{50}) {
            for (SimServer &server : servers)
                finishOrder(server, time);
            if (time.m_count % 1'000 == 0)
                waiting.try_emplace({"m" + std::to_string(random() % models)}, time);
            std::vector<ModelDemand> demands;
            for (auto at = waiting.begin(); at != waiting.end();) {
                const bool there
                    = std::any_of(servers.begin(), servers.end(), [&](const auto &server) {
                          return holdsModel(server.m_plan.m_word, at->first, {});
                      });
                if (there) {
                    worst = std::max(worst, time - at->second);
                    ++served;
                    at = waiting.erase(at);
                    continue;
                }
                ModelDemand demand = waitingFor(at->first.m_text);
                demand.m_oldest = time - at->second;
                demands.push_back(demand);
                ++at;
            }
            PlacementInput plan = input(limits, {}, demands);
            for (const SimServer &server : servers)
                plan.m_servers.push_back(server.m_plan);
            for (const EngineCommand &command : planPlacement(plan))
                beginOrder(servers, command, limits, time);
            for (const SimServer &server : servers)
                CPPUNIT_ASSERT(memoryUsed(limits, server.m_plan.m_word) <= limits.m_weightsMb);
        }
        CPPUNIT_ASSERT(served > 100);
        CPPUNIT_ASSERT_MESSAGE("worst wait " + std::to_string(worst.m_count) + " ms",
                               worst <= Millis{4'000});
    }

private:
    static void beginOrder(std::vector<SimServer> &servers, const EngineCommand &command,
                           const EngineLimits &limits, Millis time)
    {
        for (SimServer &server : servers) {
            if (server.m_plan.m_id != command.m_server)
                continue;
            const bool load = command.m_kind == CommandKind::Load;
            server.m_order = command;
            server.m_plan.m_usable = false;
            server.m_plan.m_word.m_sequence += 1;
            server.m_plan.m_pending = load ? command.m_model : command.m_purpose;
            const EngineModel &model = limits.m_models.at(command.m_model);
            const Millis loadTime = command.m_fromStore ? model.m_fromStore : model.m_fromDisk;
            server.m_busyUntil = time + (load ? loadTime : Millis{300});
            if (!load)
                std::erase_if(server.m_plan.m_word.m_models, [&](const LoadedModel &loaded) {
                    return loaded.m_name == command.m_model;
                });
        }
    }

    static void finishOrder(SimServer &server, Millis time)
    {
        if (server.m_plan.m_usable || time < server.m_busyUntil)
            return;
        server.m_plan.m_usable = true;
        if (server.m_order.m_kind == CommandKind::Unload)
            return;
        server.m_plan.m_pending = {};
        server.m_plan.m_word.m_models.push_back({server.m_order.m_model, {}});
        server.m_plan.m_word.m_onDisk.insert(server.m_order.m_model);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPlacementTest);
