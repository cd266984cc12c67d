// Property tests of the cell's record and of planning: random schedules of orders, lost answers and
// changes of owner, on a manual clock. They guard against overcommitted memory and excess replicas,
// which come about when the record stops counting an order that may still reach an engine. Two
// variants with such a fault must be detected, which shows that the schedules reach these cases.
#include "apricot.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <deque>
#include <rapidcheck.h>
#include <set>

using namespace apricot;

namespace {

constexpr std::size_t stepsPerSchedule = 60;

/// An order on its way to an engine.
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

struct ModelOnEngine
{
    ModelName m_model;
    int m_accelerator = 0;
    Megabytes m_memory;
};

/// Sound: the protocol as built. The others have the faults of the same name in spec/cell.pml.
enum class Variant { Sound, DropAtTakeover, ReleaseOnSend };

/// Simulation of a cell, its engines and its owners. Each step changes one of them.
struct Simulation
{
    Configuration m_configuration;
    CellRecord m_record;
    std::deque<InFlight> m_ordersInTransit;
    std::map<ServerName, std::vector<ModelOnEngine>> m_engines;
    std::map<ServerName, Epoch> m_fencingTokens; // highest token that the engine has seen
    std::map<OrderId, ReportedState> m_answers;  // received by the sender
    std::set<OrderId> m_unsent;                  // recorded, not yet sent
    std::set<Incarnation> m_gone;                // process instances that ended
    std::uint64_t m_nextOrder = 1;
    Millis m_time = {1'000'000};
    Variant m_variant = Variant::Sound;
};

Simulation makeSimulation(Variant variant)
{
    Simulation simulation;
    simulation.m_variant = variant;
    const auto faults = readPublishedFile({"", R"(deployment: test
store: {loads-per-second: 100, loads-at-once: 100}
servers:
  - {name: fencing, address: "127.0.0.1:1", data-centre: a, cell: c, checks-fence: true, accelerators-mb: [100, 60]}
  - {name: ignoring, address: "127.0.0.1:2", data-centre: a, cell: c, accelerators-mb: [100]}
)",
                                           "deployment.yaml"},
                                          simulation.m_configuration);
    const auto more = readPublishedFile({"", R"(service: s
work: [{name: w}]
models:
  - {name: a, memory-mb: 60, load-ms: 1, keep-alive-ms: 1000}
  - {name: b, memory-mb: 50, load-ms: 1, keep-alive-ms: 1000}
  - {name: d, memory-mb: 40, load-ms: 1, keep-alive-ms: 1000, max-replicas: 2}
  - {name: e, memory-mb: 70, load-ms: 1, keep-alive-ms: 1000}
)",
                                         "s.yaml"},
                                        simulation.m_configuration);
    CPPUNIT_ASSERT(faults.empty() && more.empty());
    simulation.m_record.m_cell = {"c"};
    takeOver(simulation.m_record, {"h"}, {1});
    return simulation;
}

const Slot *slotOf(const CellRecord &record, OrderId order)
{
    for (const Slot &slot : record.m_slots) {
        for (const OrderAttempt &attempt : slot.m_attempts) {
            if (attempt.m_id == order)
                return &slot;
        }
    }
    return nullptr;
}

ReportedState engineStateOf(Simulation &simulation, const Slot &slot)
{
    for (const ModelOnEngine &entry : simulation.m_engines[slot.m_server]) {
        if (entry.m_model == slot.m_model)
            return ReportedState::Loaded;
    }
    return ReportedState::Absent;
}

void plan(Simulation &simulation, int modelIndex)
{
    static const std::vector<std::string> models = {"a", "b", "d", "e"};
    PlanInput input;
    input.m_configuration = &simulation.m_configuration;
    input.m_record = &simulation.m_record;
    input.m_firstOrder = {simulation.m_record.m_owner, simulation.m_nextOrder};
    simulation.m_nextOrder += 100;
    Demand demand;
    demand.m_model = {models[static_cast<std::size_t>(modelIndex) % models.size()]};
    demand.m_waiting = 1;
    demand.m_waitingSince = simulation.m_time;
    demand.m_latestDeadline = simulation.m_time + Millis{10'000};
    input.m_demands.push_back(demand);
    input.m_loadTokens = 100;
    for (const ServerSpec &server : simulation.m_configuration.m_servers) {
        ServerReport report;
        report.m_server = server.m_name;
        report.m_reachable = true;
        input.m_reports.push_back(report);
    }
    for (const Slot &slot : simulation.m_record.m_slots)
        input.m_uses.push_back(
            {slot.m_id, simulation.m_time - Millis{slot.m_id % 2 == 0 ? 600 : 10}, 0});
    const Plan decided = planCell(input, simulation.m_time);
    simulation.m_record = decided.m_next; // stands for the conditional update in the platform
    for (const PlannedLoad &load : decided.m_loads)
        simulation.m_unsent.insert(load.m_request.m_order);
    for (const PlannedUnload &unload : decided.m_unloads)
        simulation.m_unsent.insert(unload.m_order);
}

/// Sends one of the recorded orders, at any time after it was recorded, unless its sender ended.
void sendOrder(Simulation &simulation, int argument)
{
    if (simulation.m_unsent.empty())
        return;
    const auto chosen = std::next(simulation.m_unsent.begin(),
                                  argument % static_cast<int>(simulation.m_unsent.size()));
    const OrderId id = *chosen;
    simulation.m_unsent.erase(chosen);
    const Slot *slot = slotOf(simulation.m_record, id);
    if (simulation.m_gone.contains(id.m_sender) || !slot)
        return;
    for (const OrderAttempt &attempt : slot->m_attempts) {
        if (attempt.m_id == id)
            simulation.m_ordersInTransit.push_back({id, attempt.m_kind, attempt.m_epoch,
                                                    slot->m_server, slot->m_model,
                                                    slot->m_accelerator, slot->m_memory});
    }
    if (simulation.m_variant == Variant::ReleaseOnSend && slot->m_phase == SlotPhase::Unloading)
        resolveAttempt(simulation.m_record, id, ReportedState::Absent);
}

/// Delivers any one of the sent orders to its engine; the sender may not get the answer.
void deliver(Simulation &simulation, int argument, bool answerLost)
{
    if (simulation.m_ordersInTransit.empty())
        return;
    const auto chosen = simulation.m_ordersInTransit.begin()
        + argument % static_cast<int>(simulation.m_ordersInTransit.size());
    const InFlight order = *chosen;
    simulation.m_ordersInTransit.erase(chosen);
    const ServerName &server = order.m_server;
    const bool fenced
        = server.m_text == "fencing" && order.m_epoch < simulation.m_fencingTokens[server];
    auto &loaded = simulation.m_engines[server];
    if (!fenced) {
        simulation.m_fencingTokens[server]
            = std::max(simulation.m_fencingTokens[server], order.m_epoch);
        std::erase_if(loaded,
                      [&](const ModelOnEngine &entry) { return entry.m_model == order.m_model; });
        if (order.m_kind == OrderKind::Load)
            loaded.push_back({order.m_model, order.m_accelerator, order.m_memory});
    }
    if (!answerLost)
        simulation.m_answers[order.m_id] = fenced ? ReportedState::Nothing
            : order.m_kind == OrderKind::Load     ? ReportedState::Loaded
                                                  : ReportedState::Absent;
}

bool hasOrdersInTransit(const Simulation &simulation, Incarnation sender)
{
    for (const InFlight &order : simulation.m_ordersInTransit) {
        if (order.m_id.m_sender == sender)
            return true;
    }
    return false;
}

/// Resolves attempts that have ended: the answer was received, the sender's process ended and its
/// orders have all arrived, or the engine has a newer fencing token. Then reconciles all slots.
void resolve(Simulation &simulation, bool raiseFencingToken)
{
    if (raiseFencingToken)
        simulation.m_fencingTokens[{"fencing"}] = simulation.m_record.m_epoch;
    std::vector<std::pair<OrderId, ReportedState>> resolved;
    for (const Slot &slot : simulation.m_record.m_slots) {
        for (const OrderAttempt &attempt : slot.m_attempts) {
            const OrderId id = attempt.m_id;
            const bool fenced = slot.m_server.m_text == "fencing"
                && attempt.m_epoch < simulation.m_fencingTokens[slot.m_server];
            const bool gone = simulation.m_gone.contains(id.m_sender)
                && !hasOrdersInTransit(simulation, id.m_sender);
            if (simulation.m_answers.contains(id))
                resolved.emplace_back(id, simulation.m_answers[id]);
            else if (fenced || gone)
                resolved.emplace_back(id, ReportedState::Nothing);
        }
    }
    for (const auto &[id, reported] : resolved)
        resolveAttempt(simulation.m_record, id, reported);
    const std::vector<Slot> slots = simulation.m_record.m_slots;
    for (const Slot &slot : slots)
        reconcileSlot(simulation.m_record, slot.m_id, engineStateOf(simulation, slot));
}

void changeOwner(Simulation &simulation, bool oldDies)
{
    const Incarnation old = simulation.m_record.m_owner;
    takeOver(simulation.m_record, {"h"}, {old.m_value + 1});
    if (oldDies)
        simulation.m_gone.insert(old);
    if (simulation.m_variant != Variant::DropAtTakeover)
        return;
    for (Slot &slot : simulation.m_record.m_slots)
        slot.m_attempts.clear();
}

/// Describes a violated invariant of the engines or the record; empty if all hold.
std::string violatedInvariant(Simulation &simulation)
{
    std::map<std::string, int> replicas;
    for (const ServerSpec &server : simulation.m_configuration.m_servers) {
        std::vector<Megabytes> left = server.m_accelerators;
        for (const ModelOnEngine &entry : simulation.m_engines[server.m_name]) {
            Megabytes &room = left[static_cast<std::size_t>(entry.m_accelerator)];
            room = room - entry.m_memory;
            if (room < Megabytes{})
                return "the engine's memory is overcommitted";
            ++replicas[entry.m_model.m_text];
        }
    }
    for (const auto &[model, count] : replicas) {
        if (count > findModel(simulation.m_configuration, {model})->m_maxReplicas)
            return "too many replicas of " + model;
    }
    return brokenInvariant(simulation.m_record, simulation.m_configuration);
}

void step(Simulation &simulation, int kind, int argument)
{
    constexpr int kinds = 8;
    switch (kind % kinds) {
    case 0:
    case 1:
        plan(simulation, argument);
        break;
    case 2:
        sendOrder(simulation, argument);
        break;
    case 3:
        deliver(simulation, argument, false);
        break;
    case 4:
        deliver(simulation, argument, true);
        break;
    case 5:
        resolve(simulation, argument % 3 == 0);
        break;
    case 6:
        changeOwner(simulation, argument % 2 == 0);
        break;
    default:
        simulation.m_time = simulation.m_time + Millis{argument % 700};
    }
}

/// Runs the schedule given by pairs of step kind and argument, and returns the first violated
/// invariant; empty if all hold.
std::string runSchedule(Variant variant, const std::vector<int> &choices)
{
    Simulation simulation = makeSimulation(variant);
    for (std::size_t i = 0; i + 1 < choices.size(); i += 2) {
        step(simulation, choices[i], choices[i + 1]);
        std::string violated = violatedInvariant(simulation);
        if (!violated.empty())
            return violated;
    }
    return {};
}

bool holdsInRandomSchedules(Variant variant)
{
    const auto numbers
        = rc::gen::container<std::vector<int>>(2 * stepsPerSchedule, rc::gen::inRange(0, 10'000));
    return rc::check([&] {
        const std::vector<int> choices = *numbers;
        const std::string violated = runSchedule(variant, choices);
        RC_ASSERT(violated == std::string());
    });
}

} // namespace

class PlacementPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementPropertyTest);
    CPPUNIT_TEST(invariantsHoldInRandomSchedules);
    CPPUNIT_TEST(droppingAttemptsAtTakeoverIsDetected);
    CPPUNIT_TEST(releasingMemoryOnSendIsDetected);
    CPPUNIT_TEST(cellRecordRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An engine must never get more than its memory, nor a model too many replicas, when orders
    /// arrive late or out of order, answers are lost and owners change.
    void invariantsHoldInRandomSchedules()
    {
        CPPUNIT_ASSERT(holdsInRandomSchedules(Variant::Sound));
    }

    /// The simulation must detect an owner that drops the attempts of earlier owners at its
    /// takeover: their orders may still arrive, and then use memory that the record counts as free.
    void droppingAttemptsAtTakeoverIsDetected()
    {
        CPPUNIT_ASSERT(!holdsInRandomSchedules(Variant::DropAtTakeover));
    }

    /// The simulation must detect an owner that counts memory as free when it sends the unload: a
    /// load into that memory may arrive first.
    void releasingMemoryOnSendIsDetected()
    {
        CPPUNIT_ASSERT(!holdsInRandomSchedules(Variant::ReleaseOnSend));
    }

    /// A record that loses a value when it is stored would make the next owner plan wrongly.
    void cellRecordRoundTrips()
    {
        Simulation simulation = makeSimulation(Variant::Sound);
        plan(simulation, 0);
        plan(simulation, 1);
        const std::string text = writeCellRecord(simulation.m_record);
        const auto read = parseCellRecord(text);
        CPPUNIT_ASSERT(ok(read));
        CPPUNIT_ASSERT_EQUAL(text, writeCellRecord(std::get<CellRecord>(read)));
        CPPUNIT_ASSERT(!ok(parseCellRecord("{\"cell\":1}")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementPropertyTest);
