// Which backend server gets a request, and whether it may be sent once more.
#include "gateway.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis loadFresh = {2'000};  // older load figures of a server say nothing
constexpr double elsewhereCost = 0.03; // load that a server in the same data centre may have more
constexpr double affinityGain = 0.02;  // load that a server with the prompt's parts may have more
constexpr double failedCost = 100;     // above any load
constexpr Millis firstAvoidance = {300};
constexpr Millis longestAvoidance = {4'000};

/// Requests of others at that server, as its last answer told.
double othersAt(const KnownServer &known, Millis time)
{
    const Millis age = time - known.m_loadHeard;
    if (known.m_load.m_slots == 0 || age >= loadFresh)
        return 0;
    const int told = known.m_load.m_running + known.m_load.m_waiting - known.m_loadInFlight;
    const double left = 1 - static_cast<double>(age.m_count) / loadFresh.m_count;
    return std::max(told, 0) * left;
}

bool refusedLately(const KnownServer &known, const ChoiceInput &input, Millis time)
{
    const auto refused
        = known.m_refusedUntil.find(input.m_model.m_text + "/" + input.m_adapter.m_text);
    return refused != known.m_refusedUntil.end() && time < refused->second;
}

bool canRun(const KnownServer &known, const ChoiceInput &input, Millis time)
{
    const BackendServer &server = known.m_server;
    if (server.m_service != input.m_service || server.m_leaving)
        return false;
    if (input.m_tried.contains(server.m_id) || (known.m_missing && time >= known.m_missingUntil))
        return false;
    if (input.m_model.m_text.empty())
        return true;
    return holdsModel(latestWord(known), input.m_model, input.m_adapter)
        && !refusedLately(known, input, time);
}

double costOf(const KnownServer &known, const ChoiceInput &input, Millis time)
{
    double cost = (known.m_inFlight + othersAt(known, time)) / std::max(known.m_server.m_slots, 1);
    if (known.m_server.m_dataCentre != input.m_here)
        cost += elsewhereCost;
    if (time < known.m_avoidUntil)
        cost += failedCost;
    return cost;
}

void forgetBefore(std::deque<Millis> &times, Millis before)
{
    while (!times.empty() && times.front() < before)
        times.pop_front();
}

} // namespace

ServerChoice chooseServer(const Roster &roster, const ChoiceInput &input, Millis time)
{
    ServerChoice choice;
    const KnownServer *preferred = nullptr;
    std::uint64_t highest = 0;
    std::vector<const KnownServer *> candidates;
    for (const auto &[id, known] : roster.m_servers) {
        if (!canRun(known, input, time))
            continue;
        candidates.push_back(&known);
        const std::uint64_t weight = stableHash(input.m_affinity + id.m_text);
        if (!preferred || weight > highest) {
            preferred = &known;
            highest = weight;
        }
    }
    choice.m_candidates = static_cast<int>(candidates.size());
    for (const KnownServer *known : candidates) {
        double cost = costOf(*known, input, time);
        if (known == preferred && !input.m_affinity.empty())
            cost -= affinityGain;
        if (choice.m_server.m_text.empty() || cost < choice.m_load) {
            choice.m_server = known->m_server.m_id;
            choice.m_load = cost;
        }
    }
    return choice;
}

Millis answerTimeout(const Route &route, int runs, int candidates, Millis left)
{
    const bool another
        = route.m_repeat == Repeat::Idempotent && runs + 1 < route.m_maxAttempts && candidates > 1;
    if (!another)
        return left + lastWordTime;
    return std::min(left, std::max(route.m_target, Millis{left.m_count / 2}));
}

Millis modelWait(const Route &route, Millis allowed)
{
    constexpr std::int64_t targets = 36; // tenths; callers give a silent stream up at 40
    constexpr std::int64_t share = 70;   // percent; the rest is for another try
    const Millis byTarget = {route.m_target.m_count * targets / 10};
    return std::min(byTarget, Millis{allowed.m_count * share / 100});
}

void noteUse(KnownServer &known, bool good, Millis time)
{
    if (good) {
        known.m_failures = 0;
        known.m_avoidUntil = {};
        return;
    }
    const int doublings = std::min(known.m_failures, 4);
    known.m_failures += 1;
    const Millis avoidance
        = std::min(firstAvoidance * (std::int64_t{1} << doublings), longestAvoidance);
    known.m_avoidUntil = time + avoidance;
}

void noteRequest(RetryBudget &budget, Millis time)
{
    forgetBefore(budget.m_requests, time - budget.m_window);
    budget.m_requests.push_back(time);
}

bool takeRetry(RetryBudget &budget, Millis time)
{
    forgetBefore(budget.m_requests, time - budget.m_window);
    forgetBefore(budget.m_retries, time - budget.m_window);
    const double allowed
        = budget.m_ratio * static_cast<double>(budget.m_requests.size()) + budget.m_slack;
    if (static_cast<double>(budget.m_retries.size()) + 1 > allowed)
        return false;
    budget.m_retries.push_back(time);
    return true;
}

std::string scanEvents(EventScanner &scanner, std::string_view bytes)
{
    constexpr std::string_view idLine = "id:";
    scanner.m_rest.append(bytes);
    const std::size_t last = scanner.m_rest.rfind("\n\n");
    if (last == std::string::npos)
        return {};
    std::string whole = scanner.m_rest.substr(0, last + 2);
    scanner.m_rest.erase(0, last + 2);
    std::size_t at = whole.rfind("\nid:");
    if (at != std::string::npos)
        at += 1;
    else if (whole.starts_with(idLine))
        at = 0;
    else
        return whole;
    std::size_t begin = at + idLine.size();
    const std::size_t end = whole.find('\n', begin);
    begin = std::min(whole.find_first_not_of(' ', begin), end);
    scanner.m_lastId = whole.substr(begin, end - begin);
    return whole;
}

} // namespace apricot
