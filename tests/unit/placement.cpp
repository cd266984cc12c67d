// The cell's record and the planning, by random schedules of faults on a manual clock.
#include "apricot.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <deque>
#include <rapidcheck.h>
#include <set>

using namespace apricot;

namespace {

constexpr std::size_t stepsEach = 60;

/// An order on its way to the one engine of the test.
struct InFlight
{
    OrderId m_id;
    OrderKind m_kind = OrderKind::Load;
    Epoch m_epoch;
    ServerName m_server;
    ModelName m_model;
    int m_accelerator = 0;
    Megabytes m_memory;
};

struct OnEngine
{
    ModelName m_model;
    int m_accelerator = 0;
    Megabytes m_memory;
};

enum class Variant { Sound, DropAtTakeover, ReleaseOnSend };

/// A cell, its engine and its owners, one step at a time.
struct World
{
    Configuration m_configuration;
    CellRecord m_record;
    std::deque<InFlight> m_wire;
    std::map<ServerName, std::vector<OnEngine>> m_engines;
    std::map<ServerName, Epoch> m_fences;
    std::map<OrderId, EngineSays> m_answers; // reached their sender
    std::set<OrderId> m_unsent;              // recorded, not yet written
    std::set<Incarnation> m_gone;            // senders' runs that are over
    std::uint64_t m_nextOrder = 1;
    Millis m_time = {1'000'000};
    Variant m_variant = Variant::Sound;
};

World makeWorld(Variant variant)
{
    World world;
    world.m_variant = variant;
    const auto faults = readPublishedFile({"", R"(deployment: test
store: {loads-per-second: 100, loads-at-once: 100}
servers:
  - {name: fencing, address: "127.0.0.1:1", data-centre: a, cell: c, checks-fence: true, accelerators-mb: [100, 60]}
  - {name: ignoring, address: "127.0.0.1:2", data-centre: a, cell: c, accelerators-mb: [100]}
)",
                                           "deployment.yaml"},
                                          world.m_configuration);
    const auto more = readPublishedFile({"", R"(service: s
work: [{name: w}]
models:
  - {name: a, memory-mb: 60, load-ms: 1, keep-alive-ms: 1000}
  - {name: b, memory-mb: 50, load-ms: 1, keep-alive-ms: 1000}
  - {name: d, memory-mb: 40, load-ms: 1, keep-alive-ms: 1000, max-replicas: 2}
  - {name: e, memory-mb: 70, load-ms: 1, keep-alive-ms: 1000}
)",
                                         "s.yaml"},
                                        world.m_configuration);
    CPPUNIT_ASSERT(faults.empty() && more.empty());
    world.m_record.m_cell = {"c"};
    takeOver(world.m_record, {"h"}, {1});
    return world;
}

const Slot *slotOf(const CellRecord &record, OrderId order)
{
    for (const Slot &slot : record.m_slots) {
        for (const OrderCopy &copy : slot.m_copies) {
            if (copy.m_id == order)
                return &slot;
        }
    }
    return nullptr;
}

EngineSays engineSays(World &world, const Slot &slot)
{
    for (const OnEngine &entry : world.m_engines[slot.m_server]) {
        if (entry.m_model == slot.m_model)
            return EngineSays::Loaded;
    }
    return EngineSays::Absent;
}

void plan(World &world, int wanted)
{
    static const std::vector<std::string> models = {"a", "b", "d", "e"};
    PlanInput input;
    input.m_configuration = &world.m_configuration;
    input.m_record = &world.m_record;
    input.m_firstOrder = {world.m_record.m_owner, world.m_nextOrder};
    world.m_nextOrder += 100;
    Demand demand;
    demand.m_model = {models[static_cast<std::size_t>(wanted) % models.size()]};
    demand.m_waiting = 1;
    demand.m_firstAsked = world.m_time;
    demand.m_lastDeadline = world.m_time + Millis{10'000};
    input.m_demands.push_back(demand);
    input.m_loadTokens = 100;
    for (const ServerSpec &server : world.m_configuration.m_servers) {
        ServerReport report;
        report.m_server = server.m_name;
        report.m_reachable = true;
        input.m_reports.push_back(report);
    }
    for (const Slot &slot : world.m_record.m_slots)
        input.m_uses.push_back(
            {slot.m_id, world.m_time - Millis{slot.m_id % 2 == 0 ? 600 : 10}, 0});
    const Plan decided = planCell(input, world.m_time);
    world.m_record = decided.m_next; // the conditional update
    for (const PlannedLoad &load : decided.m_loads)
        world.m_unsent.insert(load.m_request.m_order);
    for (const PlannedUnload &unload : decided.m_unloads)
        world.m_unsent.insert(unload.m_order);
}

/// A sender writes one of its recorded orders, however late.
void sendOne(World &world, int which)
{
    if (world.m_unsent.empty())
        return;
    const auto chosen
        = std::next(world.m_unsent.begin(), which % static_cast<int>(world.m_unsent.size()));
    const OrderId id = *chosen;
    world.m_unsent.erase(chosen);
    const Slot *slot = slotOf(world.m_record, id);
    if (world.m_gone.contains(id.m_sender) || !slot)
        return;
    for (const OrderCopy &copy : slot->m_copies) {
        if (copy.m_id == id)
            world.m_wire.push_back({id, copy.m_kind, copy.m_epoch, slot->m_server, slot->m_model,
                                    slot->m_accelerator, slot->m_memory});
    }
    if (world.m_variant == Variant::ReleaseOnSend && slot->m_phase == SlotPhase::Unloading)
        resolveCopy(world.m_record, id, EngineSays::Absent);
}

/// One order arrives, in any order, and its answer reaches the sender or is lost.
void arrive(World &world, int which, bool answerLost)
{
    if (world.m_wire.empty())
        return;
    const auto at = world.m_wire.begin() + which % static_cast<int>(world.m_wire.size());
    const InFlight order = *at;
    world.m_wire.erase(at);
    const ServerName &server = order.m_server;
    const bool fenced = server.m_text == "fencing" && order.m_epoch < world.m_fences[server];
    auto &loaded = world.m_engines[server];
    if (!fenced) {
        world.m_fences[server] = std::max(world.m_fences[server], order.m_epoch);
        std::erase_if(loaded,
                      [&](const OnEngine &entry) { return entry.m_model == order.m_model; });
        if (order.m_kind == OrderKind::Load)
            loaded.push_back({order.m_model, order.m_accelerator, order.m_memory});
    }
    if (!answerLost)
        world.m_answers[order.m_id] = fenced  ? EngineSays::Nothing
            : order.m_kind == OrderKind::Load ? EngineSays::Loaded
                                              : EngineSays::Absent;
}

bool isOnWire(const World &world, Incarnation sender)
{
    for (const InFlight &order : world.m_wire) {
        if (order.m_id.m_sender == sender)
            return true;
    }
    return false;
}

/// Resolves what is known: answers, runs that are over and drained, orders never sent, fences.
void resolve(World &world, bool raiseFence)
{
    if (raiseFence)
        world.m_fences[{"fencing"}] = world.m_record.m_epoch;
    std::vector<std::pair<OrderId, EngineSays>> resolved;
    for (const Slot &slot : world.m_record.m_slots) {
        for (const OrderCopy &copy : slot.m_copies) {
            const OrderId id = copy.m_id;
            const bool fenced
                = slot.m_server.m_text == "fencing" && copy.m_epoch < world.m_fences[slot.m_server];
            const bool gone = world.m_gone.contains(id.m_sender) && !isOnWire(world, id.m_sender);
            if (world.m_answers.contains(id))
                resolved.emplace_back(id, world.m_answers[id]);
            else if (fenced || gone)
                resolved.emplace_back(id, EngineSays::Nothing);
        }
    }
    for (const auto &[id, says] : resolved)
        resolveCopy(world.m_record, id, says);
    const std::vector<Slot> slots = world.m_record.m_slots;
    for (const Slot &slot : slots)
        settleSlot(world.m_record, slot.m_id, engineSays(world, slot));
}

void changeOwner(World &world, bool oldDies)
{
    const Incarnation old = world.m_record.m_owner;
    takeOver(world.m_record, {"h"}, {old.m_value + 1});
    if (oldDies)
        world.m_gone.insert(old);
    if (world.m_variant != Variant::DropAtTakeover)
        return;
    for (Slot &slot : world.m_record.m_slots)
        slot.m_copies.clear();
}

std::string brokenPromise(World &world)
{
    std::map<std::string, int> replicas;
    for (const ServerSpec &server : world.m_configuration.m_servers) {
        std::vector<Megabytes> left = server.m_accelerators;
        for (const OnEngine &entry : world.m_engines[server.m_name]) {
            Megabytes &room = left[static_cast<std::size_t>(entry.m_accelerator)];
            room = room - entry.m_memory;
            if (room < Megabytes{})
                return "the engine's memory is overcommitted";
            ++replicas[entry.m_model.m_text];
        }
    }
    for (const auto &[model, count] : replicas) {
        if (count > findModel(world.m_configuration, {model})->m_maxReplicas)
            return "too many replicas of " + model;
    }
    return brokenInvariant(world.m_record, world.m_configuration);
}

void step(World &world, int kind, int which)
{
    constexpr int kinds = 8;
    switch (kind % kinds) {
    case 0:
    case 1:
        plan(world, which);
        break;
    case 2:
        sendOne(world, which);
        break;
    case 3:
        arrive(world, which, false);
        break;
    case 4:
        arrive(world, which, true);
        break;
    case 5:
        resolve(world, which % 3 == 0);
        break;
    case 6:
        changeOwner(world, which % 2 == 0);
        break;
    default:
        world.m_time = world.m_time + Millis{which % 700};
    }
}

/// What broke first in a schedule drawn from the seed; empty if nothing did.
std::string runSchedule(Variant variant, const std::vector<int> &choices)
{
    World world = makeWorld(variant);
    for (std::size_t i = 0; i + 1 < choices.size(); i += 2) {
        step(world, choices[i], choices[i + 1]);
        std::string broken = brokenPromise(world);
        if (!broken.empty())
            return broken;
    }
    return {};
}

bool holdsInAll(Variant variant)
{
    const auto numbers
        = rc::gen::container<std::vector<int>>(2 * stepsEach, rc::gen::inRange(0, 10'000));
    return rc::check([&] {
        const std::vector<int> choices = *numbers;
        const std::string broken = runSchedule(variant, choices);
        RC_ASSERT(broken == std::string());
    });
}

} // namespace

class PlacementPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementPropertyTest);
    CPPUNIT_TEST(promisesHoldInRandomSchedules);
    CPPUNIT_TEST(droppingCopiesAtTakeoverIsCaught);
    CPPUNIT_TEST(releasingOnSendIsCaught);
    CPPUNIT_TEST(recordsSurviveWritingAndReading);
    CPPUNIT_TEST_SUITE_END();

public:
    void promisesHoldInRandomSchedules() { CPPUNIT_ASSERT(holdsInAll(Variant::Sound)); }
    void droppingCopiesAtTakeoverIsCaught()
    {
        CPPUNIT_ASSERT(!holdsInAll(Variant::DropAtTakeover));
    }
    void releasingOnSendIsCaught() { CPPUNIT_ASSERT(!holdsInAll(Variant::ReleaseOnSend)); }

    void recordsSurviveWritingAndReading()
    {
        World world = makeWorld(Variant::Sound);
        plan(world, 0);
        plan(world, 1);
        const std::string text = writeCellRecord(world.m_record);
        const auto read = parseCellRecord(text);
        CPPUNIT_ASSERT(ok(read));
        CPPUNIT_ASSERT_EQUAL(text, writeCellRecord(std::get<CellRecord>(read)));
        CPPUNIT_ASSERT(!ok(parseCellRecord("{\"cell\":1}")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementPropertyTest);
