// Decisions about one request: selection of a backend server, time limits, the retry budget, and
// the splitting of an event stream.
#include "gateway.h"

#include <algorithm>
#include <cmath>

namespace apricot {

namespace {

constexpr Millis loadReportMaxAge = {2'000}; // ms; older load figures of a server are ignored
// Costs are added to the expected load of a server, which is in requests per slot.
constexpr double remoteDataCentreCost = 0.03; // added for a server in another data centre
constexpr double affinityBonus = 0.02;     // deducted where shared prompt parts are likely cached
constexpr double recentFailureCost = 100;  // added after a failure; higher than any load
constexpr Millis initialAvoidance = {300}; // ms after the first failure, doubled with each further
constexpr Millis maxAvoidance = {4'000};   // ms

/// Estimates the requests that other hosts have running at a server, from the load figures of its
/// last answer less this host's own requests at that time. The estimate decreases linearly with the
/// age of the figures.
double requestsOfOtherHosts(const KnownServer &known, Millis time)
{
    const Millis age = time - known.m_loadReportedAt;
    if (known.m_load.m_slots == 0 || age >= loadReportMaxAge)
        return 0;
    const int reported
        = known.m_load.m_running + known.m_load.m_waiting - known.m_inFlightAtLoadReport;
    const double weight = 1 - static_cast<double>(age.m_count) / loadReportMaxAge.m_count;
    return std::max(reported, 0) * weight;
}

/// Whether the server has just refused a request for this model and adapter.
bool recentlyRefused(const KnownServer &known, const ChoiceInput &input, Millis time)
{
    if (input.m_model.m_text.empty())
        return false;
    const auto refused = known.m_refusedUntil.find(adapterKey(input.m_model, input.m_adapter));
    return refused != known.m_refusedUntil.end() && time < refused->second;
}

/// Whether the server could execute the request, if it wants no pause, wasn't tried yet and didn't
/// just refuse it.
bool canRun(const KnownServer &known, const ChoiceInput &input, Millis time)
{
    const BackendServer &server = known.m_server;
    if (server.m_service != input.m_service || isLeaving(known))
        return false;
    if (input.m_software && softwareIdOf(server) != *input.m_software)
        return false;
    if (known.m_missing && time >= known.m_missingUntil)
        return false;
    return input.m_model.m_text.empty()
        || holdsModel(latestStatus(known), input.m_model, input.m_adapter);
}

/// Expected load of the server, with additions for a remote data centre and a recent failure.
double costOf(const KnownServer &known, const ChoiceInput &input, Millis time)
{
    double cost = (known.m_inFlight + requestsOfOtherHosts(known, time))
        / std::max(known.m_server.m_slots, 1);
    if (known.m_server.m_dataCentre != input.m_localDataCentre)
        cost += remoteDataCentreCost;
    if (time < known.m_avoidUntil)
        cost += recentFailureCost;
    return cost;
}

Millis decayedLongest(const RunTimes &times, Millis time)
{
    const Millis age = std::max(time - times.m_updatedAt, Millis{0});
    const double halfLives
        = static_cast<double>(age.m_count) / static_cast<double>(runTimeHalfLife.m_count);
    const double longest = static_cast<double>(times.m_longest.m_count) * std::exp2(-halfLives);
    return {static_cast<std::int64_t>(longest)};
}

/// Position behind the last blank line; 0 if there is none.
std::size_t endOfLastEvent(std::string_view bytes)
{
    std::size_t end = 0;
    for (const std::string_view blankLine : {"\n\n", "\n\r\n"}) {
        const std::size_t at = bytes.rfind(blankLine);
        if (at != std::string_view::npos)
            end = std::max(end, at + blankLine.size());
    }
    return end;
}

void dropBefore(std::deque<Millis> &times, Millis before)
{
    while (!times.empty() && times.front() < before)
        times.pop_front();
}

} // namespace

std::string toText(PromptPart part)
{
    const std::string digits = toHex(part.m_id);
    return digits.substr(std::min(digits.find_first_not_of('0'), digits.size() - 1));
}

std::string toText(const std::vector<PromptPart> &parts)
{
    constexpr std::size_t shownParts = 6;
    std::string text;
    for (std::size_t number = 0; number < parts.size(); ++number) {
        if (number == shownParts)
            return text + ",...";
        text += (number > 0 ? "," : "") + toText(parts[number]);
    }
    return text;
}

ServerChoice chooseServer(const ServerTable &servers, const ChoiceInput &input, Millis time)
{
    ServerChoice choice;
    const KnownServer *preferred = nullptr; // highest hash of affinity text and server id
    std::uint64_t highest = 0;
    std::vector<const KnownServer *> candidates;
    for (const auto &[id, known] : servers.m_servers) {
        if (!canRun(known, input, time))
            continue;
        if (isPaused(known, time)) {
            const Millis end = known.m_said.m_pausedUntil;
            choice.m_pauseEnd = std::min(choice.m_pauseEnd.value_or(end), end);
            continue;
        }
        if (input.m_triedServers.contains(id) || recentlyRefused(known, input, time))
            continue;
        if (isLost(known.m_path)) {
            choice.m_cutOff += isCutOff(known.m_path, time) ? 1 : 0;
            if (!input.m_alsoCutOff)
                continue;
        }
        if (time < known.m_noPermitUntil) {
            choice.m_permitAt = std::min(choice.m_permitAt.value_or(known.m_noPermitUntil),
                                         known.m_noPermitUntil);
            continue;
        }
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
            cost -= affinityBonus;
        if (choice.m_server.m_text.empty() || cost < choice.m_load) {
            choice.m_server = known->m_server.m_id;
            choice.m_load = cost;
        }
    }
    return choice;
}

Millis answerTimeout(const Route &route, int runs, int candidates, Millis left)
{
    const bool mayRetry
        = route.m_repeat == Repeat::Idempotent && runs + 1 < route.m_maxAttempts && candidates > 1;
    if (!mayRetry)
        return left + deadlineGrace;
    return std::min(left, std::max(route.m_target, Millis{left.m_count / 2}));
}

Millis maxModelWait(const Route &route, Millis allowed)
{
    // In tenths of the target latency: callers abandon a stream without events after 40 tenths.
    constexpr std::int64_t targetTenths = 36;
    constexpr std::int64_t sharePercent = 70; // of the time allowed; the rest is for a new request
    const Millis byTarget = {route.m_target.m_count * targetTenths / 10};
    return std::min(byTarget, Millis{allowed.m_count * sharePercent / 100});
}

void recordRunTime(RunTimes &times, Millis took, Millis time)
{
    times.m_longest = std::max(decayedLongest(times, time), took);
    times.m_updatedAt = time;
    times.m_count += 1;
}

Millis longestRunTime(const RunTimes &times, Millis allowed, Millis time)
{
    constexpr int enoughTimes = 20;
    constexpr std::int64_t marginPercent = 25; // for requests that take longer than any before
    const Millis known = {decayedLongest(times, time).m_count * (100 + marginPercent) / 100};
    const Millis guess = {times.m_count < enoughTimes ? allowed.m_count / 2 : 0};
    return std::min(allowed, std::max(known, guess));
}

Millis lastSendBeforeStop(const PlannedStop &stop, Millis arrived, Millis endsBy, Millis longestRun)
{
    if (arrived < stop.m_began + estimatedRunsInStop)
        return stop.m_deadline - longestRun;
    return endsBy <= stop.m_deadline ? endsBy : stop.m_began;
}

void recordServerResult(KnownServer &known, bool good, Millis time)
{
    if (good) {
        known.m_failures = 0;
        known.m_avoidUntil = {};
        return;
    }
    const int doublings = std::min(known.m_failures, 4);
    known.m_failures += 1;
    const Millis avoidance
        = std::min(initialAvoidance * (std::int64_t{1} << doublings), maxAvoidance);
    known.m_avoidUntil = time + avoidance;
}

void setHostShare(RetryBudget &budget, const GatewaySettings &settings, int hosts, Millis started)
{
    constexpr double usedShare = 0.9; // of the common limit
    budget.m_opensAt = started + settings.m_retryWindow;
    budget.m_ratio = usedShare * settings.m_retryRatio;
    budget.m_slack = hosts > 0 ? usedShare * settings.m_retrySlack / hosts : 0;
    budget.m_window = settings.m_retryWindow;
}

int largestHostCount(HostCounts &counts, int hosts, Millis time, Millis window)
{
    auto &since = counts.m_since;
    if (since.empty() || since.back().second != hosts)
        since.emplace_back(time, hosts);
    while (since.size() > 1 && since[1].first < time - window)
        since.pop_front();
    const auto largest
        = std::max_element(since.begin(), since.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    return largest->second;
}

void recordRequest(RetryBudget &budget, Millis time)
{
    dropBefore(budget.m_requests, time - budget.m_window);
    budget.m_requests.push_back(time);
}

bool takeRetry(RetryBudget &budget, Millis time)
{
    if (time < budget.m_opensAt)
        return false;
    dropBefore(budget.m_requests, time - budget.m_window);
    dropBefore(budget.m_retries, time - budget.m_window);
    const double allowed
        = budget.m_ratio * static_cast<double>(budget.m_requests.size()) + budget.m_slack;
    if (static_cast<double>(budget.m_retries.size()) + 1 > allowed)
        return false;
    budget.m_retries.push_back(time);
    return true;
}

void beginServerStream(EventScanner &scanner)
{
    scanner.m_partialEvent.clear();
    scanner.m_anyEvent = false;
}

bool isStreamComplete(const EventScanner &scanner, BodyFraming framing)
{
    const bool endIsStated = framing != BodyFraming::ConnectionEnd;
    return scanner.m_partialEvent.empty() && (endIsStated || scanner.m_anyEvent);
}

std::string scanEvents(EventScanner &scanner, std::string_view bytes)
{
    constexpr std::string_view idPrefix = "id:";
    // No event ends before the new bytes, but the blank line may begin before them.
    constexpr std::size_t blankLineOverlap = 2;
    const std::size_t before = scanner.m_partialEvent.size();
    const std::size_t from = before - std::min(before, blankLineOverlap);
    scanner.m_partialEvent.append(bytes);
    const std::size_t length
        = endOfLastEvent(std::string_view(scanner.m_partialEvent).substr(from));
    if (length == 0)
        return {};
    const std::size_t eventsEnd = from + length;
    scanner.m_anyEvent = true;
    std::string completeEvents = scanner.m_partialEvent.substr(0, eventsEnd);
    scanner.m_partialEvent.erase(0, eventsEnd);
    std::size_t at = completeEvents.rfind("\nid:");
    if (at != std::string::npos)
        at += 1;
    else if (completeEvents.starts_with(idPrefix))
        at = 0;
    else
        return completeEvents;
    std::size_t begin = at + idPrefix.size();
    const std::size_t end = completeEvents.find_first_of("\r\n", begin);
    begin = std::min(completeEvents.find_first_not_of(' ', begin), end);
    scanner.m_lastEventId = completeEvents.substr(begin, end - begin);
    return completeEvents;
}

} // namespace apricot
