// Which order comes next: adapters first, since they take milliseconds, then models that callers
// wait for, then more copies of models that are busy.
//
// The plan is made anew from what is known each time. An order that makes room names the model it
// is for, so that the plan doesn't make room for it twice.
#include "gateway.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace apricot {

namespace {

constexpr double crowdedShare = 0.4; // of the slots of all copies in use: one more copy
constexpr double copyRate = 5; // requests a second on a copy: more, and prompts hold up tokens
constexpr double crowdedCost = 3'000; // ms; no more is paid for one more copy
constexpr double runningCost = 3'000; // ms; an unload waits until the runs of its model end
constexpr double lastCopyCost = 400;  // ms; somebody may soon ask for what leaves
constexpr double ratePrice = 4'000;   // ms for each request a second to the model that leaves
constexpr Millis quickSwap = {1'200}; // an unload and a load from disk take at least so long
constexpr double unloadCost = 350;    // ms that an unload takes
constexpr double never = std::numeric_limits<double>::infinity();

struct Planner
{
    const PlacementInput *m_input = nullptr;
    std::set<InstanceId> m_taken; // servers that have an order in this plan
    std::vector<EngineCommand> m_commands;
    bool m_storeLoadDue = false;
};

const EngineModel *modelOf(const Planner &planner, const ModelName &name)
{
    const auto found = planner.m_input->m_limits->m_models.find(name);
    return found == planner.m_input->m_limits->m_models.end() ? nullptr : &found->second;
}

const ModelDemand *demandFor(const Planner &planner, const ModelName &model)
{
    for (const ModelDemand &demand : planner.m_input->m_demands) {
        if (demand.m_model == model && demand.m_adapter.m_text.empty())
            return &demand;
    }
    return nullptr;
}

bool isFree(const Planner &planner, const PlanServer &server)
{
    return server.m_usable && server.m_sequenceKnown && !server.m_word.m_busy
        && !planner.m_taken.contains(server.m_id);
}

int runningOf(const PlanServer &server, const ModelName &model)
{
    const auto found = server.m_running.find(model);
    return found == server.m_running.end() ? 0 : found->second;
}

int copiesOf(const Planner &planner, const ModelName &model)
{
    int copies = 0;
    for (const PlanServer &server : planner.m_input->m_servers) {
        if (holdsModel(server.m_word, model, {}) || server.m_pending == model)
            ++copies;
    }
    return copies;
}

int adaptersOn(const ServerWord &word)
{
    std::size_t count = 0;
    for (const LoadedModel &loaded : word.m_models)
        count += loaded.m_adapters.size();
    return static_cast<int>(count) + word.m_comingAdapters;
}

void command(Planner &planner, EngineCommand command, const PlanServer &server)
{
    command.m_server = server.m_id;
    command.m_sequence = server.m_word.m_sequence;
    planner.m_taken.insert(server.m_id);
    planner.m_commands.push_back(std::move(command));
}

/// What a load there costs, in ms; `never` if it can't begin now.
double loadCost(const Planner &planner, const PlanServer &server, const EngineModel &model)
{
    if (!planner.m_storeLoadDue && !isCopyThere(server.m_word, model.m_name))
        return never;
    return static_cast<double>(loadTime(model, server.m_word).m_count);
}

/// Orders a load; one from the store uses up the one that is due.
void loadModel(Planner &planner, const PlanServer &server, const ModelName &model,
               const char *reason)
{
    EngineCommand order;
    order.m_model = model;
    order.m_fromStore = !isCopyThere(server.m_word, model);
    order.m_reason = reason;
    if (order.m_fromStore)
        planner.m_storeLoadDue = false;
    command(planner, order, server);
}

bool fits(const Planner &planner, const PlanServer &server, const EngineModel &model)
{
    return fitsModel(*planner.m_input->m_limits, server.m_word, model.m_name);
}

/// What it costs, in ms of waiting, to give up a model on a server.
double leavingCost(const Planner &planner, const PlanServer &server, const ModelName &model)
{
    const ModelDemand *demand = demandFor(planner, model);
    const int copies = std::max(copiesOf(planner, model), 1);
    double cost = unloadCost;
    if (runningOf(server, model) > 0)
        cost += runningCost;
    if (copies == 1)
        cost += lastCopyCost;
    if (demand)
        cost += ratePrice * demand->m_rate / copies;
    if (demand && demand->m_waiting > 0 && copies == 1)
        return never;
    return cost;
}

struct Victim
{
    ModelName m_model; // empty: none can go
    double m_cost = never;
};

Victim cheapestVictim(const Planner &planner, const PlanServer &server, const ModelName &wanted)
{
    Victim victim;
    for (const LoadedModel &loaded : server.m_word.m_models) {
        if (loaded.m_name == wanted || server.m_fresh.contains(loaded.m_name))
            continue;
        const double cost = leavingCost(planner, server, loaded.m_name);
        if (cost < victim.m_cost)
            victim = {loaded.m_name, cost};
    }
    return victim;
}

/// The way to one more copy of a model that costs least.
struct Way
{
    const PlanServer *m_server = nullptr;
    ModelName m_victim; // empty: there is room
    double m_cost = never;
};

Way cheapestWay(const Planner &planner, const EngineModel &model)
{
    Way best;
    for (const PlanServer &server : planner.m_input->m_servers) {
        if (!isFree(planner, server) || !server.m_pending.m_text.empty())
            continue;
        if (holdsModel(server.m_word, model.m_name, {}))
            continue;
        double cost = loadCost(planner, server, model);
        ModelName leaving;
        if (!fits(planner, server, model)) {
            const Victim victim = cheapestVictim(planner, server, model.m_name);
            cost += victim.m_cost;
            leaving = victim.m_model;
        }
        if (cost < best.m_cost)
            best = {&server, leaving, cost};
    }
    return best;
}

void addCopy(Planner &planner, const EngineModel &model, const char *reason, double mostCost)
{
    const Way way = cheapestWay(planner, model);
    if (!way.m_server || way.m_cost > mostCost)
        return;
    if (way.m_victim.m_text.empty()) {
        loadModel(planner, *way.m_server, model.m_name, reason);
        return;
    }
    EngineCommand order;
    order.m_kind = CommandKind::Unload;
    order.m_model = way.m_victim;
    order.m_purpose = model.m_name;
    order.m_reason = reason;
    command(planner, order, *way.m_server);
}

bool isComing(const Planner &planner, const ModelName &model)
{
    return std::any_of(planner.m_input->m_servers.begin(), planner.m_input->m_servers.end(),
                       [&](const PlanServer &server) { return server.m_pending == model; });
}

/// Servers whose unload made room go on with the load it was for.
void finishSwaps(Planner &planner)
{
    for (const PlanServer &server : planner.m_input->m_servers) {
        if (server.m_pending.m_text.empty() || !isFree(planner, server))
            continue;
        const EngineModel *model = modelOf(planner, server.m_pending);
        if (!model || holdsModel(server.m_word, model->m_name, {}))
            continue;
        const bool mayLoad = planner.m_storeLoadDue || isCopyThere(server.m_word, model->m_name);
        if (fits(planner, server, *model) && mayLoad)
            loadModel(planner, server, model->m_name, "room_made");
    }
}

int copiesNeeded(const Planner &planner, const ModelDemand &demand)
{
    const double slots = std::max(planner.m_input->m_limits->m_slots, 1);
    const double byRate = demand.m_rate / copyRate;
    const double byRuns = demand.m_running / (crowdedShare * slots);
    return static_cast<int>(std::ceil(std::max(byRate, byRuns)));
}

AdapterName adapterToDrop(const Planner &planner, const LoadedModel &loaded)
{
    for (const AdapterName &adapter : loaded.m_adapters) {
        const auto &demands = planner.m_input->m_demands;
        const bool wanted = std::any_of(demands.begin(), demands.end(), [&](const auto &demand) {
            return demand.m_model == loaded.m_name && demand.m_adapter == adapter
                && (demand.m_waiting > 0 || demand.m_running > 0);
        });
        if (!wanted)
            return adapter;
    }
    return {};
}

/// Makes place for an adapter on a server; false if every adapter there is in use.
bool dropAdapter(Planner &planner, const PlanServer &server)
{
    for (const LoadedModel &loaded : server.m_word.m_models) {
        const AdapterName adapter = adapterToDrop(planner, loaded);
        if (adapter.m_text.empty())
            continue;
        EngineCommand order;
        order.m_kind = CommandKind::Unload;
        order.m_model = loaded.m_name;
        order.m_adapter = adapter;
        order.m_reason = "adapter_place";
        command(planner, order, server);
        return true;
    }
    return false;
}

void loadAdapter(Planner &planner, const ModelDemand &demand)
{
    constexpr int mostComing = 4; // adapters on their way to one server
    const EngineLimits &limits = *planner.m_input->m_limits;
    const EngineModel *model = modelOf(planner, demand.m_model);
    const PlanServer *best = nullptr;
    for (const PlanServer &server : planner.m_input->m_servers) {
        if (!holdsModel(server.m_word, demand.m_model, {}))
            continue;
        const std::string key
            = server.m_id.m_text + " " + demand.m_model.m_text + "/" + demand.m_adapter.m_text;
        if (planner.m_input->m_comingAdapters.contains(key))
            return; // it is on its way
        if (!isFree(planner, server) || server.m_word.m_comingAdapters >= mostComing)
            continue;
        if (!best || adaptersOn(server.m_word) < adaptersOn(best->m_word))
            best = &server;
    }
    if (!best || !model)
        return;
    const bool room = adaptersOn(best->m_word) < limits.m_adapterSlots
        && memoryUsed(limits, best->m_word) + model->m_adapterMb <= limits.m_weightsMb;
    if (!room) {
        dropAdapter(planner, *best);
        return;
    }
    EngineCommand order;
    order.m_model = demand.m_model;
    order.m_adapter = demand.m_adapter;
    order.m_reason = "adapter_wanted";
    command(planner, order, *best);
}

bool isAnywhere(const Planner &planner, const ModelName &model, const AdapterName &adapter)
{
    return std::any_of(planner.m_input->m_servers.begin(), planner.m_input->m_servers.end(),
                       [&](const PlanServer &server) {
                           return server.m_usable && holdsModel(server.m_word, model, adapter);
                       });
}

/// Those who can still be served on time come before those who can't, the tightest first: in an
/// overload the oldest are late already, and serving them first would make all late.
bool moreUrgent(const ModelDemand *a, const ModelDemand *b)
{
    const bool hopeA = a->m_hopeful > 0;
    const bool hopeB = b->m_hopeful > 0;
    if (hopeA != hopeB)
        return hopeA;
    return hopeA ? a->m_slack < b->m_slack : a->m_oldest > b->m_oldest;
}

} // namespace

void addWaiting(ModelDemand &demand, Millis waited, Millis target)
{
    demand.m_waiting += 1;
    demand.m_oldest = std::max(demand.m_oldest, waited);
    const Millis slack = target - waited;
    if (slack < quickSwap)
        return;
    demand.m_slack = demand.m_hopeful > 0 ? std::min(demand.m_slack, slack) : slack;
    demand.m_hopeful += 1;
}

void addDemand(ModelDemand &sum, const ModelDemand &demand)
{
    if (demand.m_hopeful > 0)
        sum.m_slack = sum.m_hopeful > 0 ? std::min(sum.m_slack, demand.m_slack) : demand.m_slack;
    sum.m_hopeful += demand.m_hopeful;
    sum.m_waiting += demand.m_waiting;
    sum.m_oldest = std::max(sum.m_oldest, demand.m_oldest);
    sum.m_rate += demand.m_rate;
    sum.m_running += demand.m_running;
}

bool isCopyThere(const ServerWord &word, const ModelName &model)
{
    return word.m_inMemory.contains(model) || word.m_onDisk.contains(model);
}

Millis loadTime(const EngineModel &model, const ServerWord &word)
{
    if (word.m_inMemory.contains(model.m_name))
        return model.m_fromMemory;
    return word.m_onDisk.contains(model.m_name) ? model.m_fromDisk : model.m_fromStore;
}

double memoryUsed(const EngineLimits &limits, const ServerWord &word)
{
    double used = 0;
    double largestAdapter = 0;
    for (const auto &[name, model] : limits.m_models)
        largestAdapter = std::max(largestAdapter, model.m_adapterMb);
    for (const LoadedModel &loaded : word.m_models) {
        const auto model = limits.m_models.find(loaded.m_name);
        if (model == limits.m_models.end())
            return limits.m_weightsMb; // of unknown size: leave no room
        used += model->second.m_weightsMb
            + model->second.m_adapterMb * static_cast<double>(loaded.m_adapters.size());
    }
    return used + largestAdapter * word.m_comingAdapters;
}

bool fitsModel(const EngineLimits &limits, const ServerWord &word, const ModelName &model)
{
    const auto found = limits.m_models.find(model);
    return found != limits.m_models.end()
        && memoryUsed(limits, word) + found->second.m_weightsMb <= limits.m_weightsMb;
}

std::vector<EngineCommand> planPlacement(const PlacementInput &input)
{
    Planner planner;
    planner.m_input = &input;
    planner.m_storeLoadDue = input.m_storeLoadDue;
    finishSwaps(planner);
    std::vector<const ModelDemand *> waiting;
    for (const ModelDemand &demand : input.m_demands) {
        if (demand.m_waiting > 0)
            waiting.push_back(&demand);
    }
    std::stable_sort(waiting.begin(), waiting.end(), moreUrgent);
    for (const ModelDemand *demand : waiting) {
        const EngineModel *model = modelOf(planner, demand->m_model);
        if (!model)
            continue;
        const bool adapterOnly
            = !demand->m_adapter.m_text.empty() && isAnywhere(planner, demand->m_model, {});
        if (adapterOnly) {
            if (!isAnywhere(planner, demand->m_model, demand->m_adapter))
                loadAdapter(planner, *demand);
        } else if (!isAnywhere(planner, demand->m_model, {}) && !isComing(planner, model->m_name)) {
            addCopy(planner, *model, "callers_wait", never);
        }
    }
    for (const ModelDemand &demand : input.m_demands) {
        const EngineModel *model = modelOf(planner, demand.m_model);
        if (!model || !demand.m_adapter.m_text.empty())
            continue;
        const int copies = copiesOf(planner, demand.m_model);
        if (copies > 0 && copies < copiesNeeded(planner, demand))
            addCopy(planner, *model, "crowded", crowdedCost);
    }
    return planner.m_commands;
}

} // namespace apricot
