// Crashes of model servers, as hosts see and report them, and the quarantine of the prompt parts
// that cause them. The decisions are in quarantine.h.
//
// A host whose connection to a server ended opens another one. If that fails too, the server
// crashed, and the host reports its requests there to all other hosts. Reports and news of served
// parts go to all hosts at once. Quarantine states are also part of the periodic heartbeats, for
// hosts that missed reports or started later.
#include "process/heartbeat.h"
#include "process/log.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis verifyTimeout = {400}; // for the connection that shows whether a server lives
/// Bytes that a host may send to all others together for reports and news of served parts.
constexpr double newsBytesPerSecond = 4'000;
constexpr double newsBurstBytes = 100'000;
constexpr std::size_t statesPerHeartbeat = 4; // of quarantine
constexpr std::size_t maxCrashesPerHeartbeat = 16;

/// Whether a message may be sent to all hosts now; if so, counts its bytes.
bool takeNewsBudget(Gateway &gateway, std::size_t bytes)
{
    CrashNews &news = gateway.m_crashNews;
    const Millis time = now(gateway);
    const double seconds = static_cast<double>((time - news.m_sendBytesAt).m_count) / 1'000;
    news.m_sendBytes = std::min(news.m_sendBytes + seconds * newsBytesPerSecond, newsBurstBytes);
    news.m_sendBytesAt = time;
    const auto cost = static_cast<double>(bytes * gateway.m_peers.size());
    if (cost > news.m_sendBytes)
        return false;
    news.m_sendBytes -= cost;
    return true;
}

void sendNews(Gateway &gateway, const wire::BeatT &heartbeat)
{
    if (takeNewsBudget(gateway, encodeHeartbeat(heartbeat).size()))
        sendToAllPeers(gateway, heartbeat);
    else
        logWarning("crash_news_dropped", {{"peers", std::to_string(gateway.m_peers.size())}});
}

std::unique_ptr<wire::CrashEntryT> encodeReport(const CrashReport &report, Millis time)
{
    auto entry = std::make_unique<wire::CrashEntryT>();
    entry->crash = report.m_crash;
    entry->age_ms = static_cast<std::int32_t>((time - report.m_at).m_count);
    for (const CrashSuspect &suspect : report.m_suspects) {
        auto packed = std::make_unique<wire::SuspectEntryT>();
        packed->request = suspect.m_request;
        packed->stage = static_cast<std::uint8_t>(suspect.m_stage);
        for (const PromptPart part : suspect.m_parts)
            packed->parts.push_back(part.m_id);
        entry->suspects.push_back(std::move(packed));
    }
    return entry;
}

/// Decodes a report. Numbers beyond their range are taken as the nearest one in it.
CrashReport decodeReport(const wire::CrashEntryT &entry, Millis time)
{
    const auto latest = static_cast<std::uint8_t>(AnswerStage::Beginning);
    CrashReport report;
    report.m_crash = entry.crash;
    report.m_at = time - Millis{std::max(entry.age_ms, 0)};
    for (const auto &packed : entry.suspects) {
        if (report.m_suspects.size() == maxSuspects)
            break;
        CrashSuspect suspect;
        suspect.m_request = packed->request;
        suspect.m_stage = static_cast<AnswerStage>(std::min(packed->stage, latest));
        const std::size_t parts = std::min(packed->parts.size(), maxPromptParts);
        for (std::size_t number = 0; number < parts; ++number)
            suspect.m_parts.push_back({packed->parts[number]});
        report.m_suspects.push_back(std::move(suspect));
    }
    return report;
}

void addState(wire::BeatT &heartbeat, PromptPart part, const QuarantineState &state, Millis time)
{
    auto entry = std::make_unique<wire::QuarantineEntryT>();
    entry->part = part.m_id;
    entry->generation = state.m_generation;
    entry->trials = static_cast<std::uint8_t>(state.m_trials);
    entry->age_ms = (time - state.m_changedAt).m_count;
    heartbeat.quarantine.push_back(std::move(entry));
}

/// Sends the state of a part to all hosts at once. Only trials and releases need it: both are rare.
void broadcastState(Gateway &gateway, PromptPart part)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    addState(heartbeat, part, gateway.m_quarantine.m_states.at(part), now(gateway));
    sendToAllPeers(gateway, heartbeat);
}

/// Acts on a part that is in quarantine from now on.
void handleQuarantined(Gateway &gateway, PromptPart part, const char *why)
{
    logWarning(
        "part_quarantined",
        {{"part", toText(part)},
         {"why", why},
         {"generation", std::to_string(gateway.m_quarantine.m_states.at(part).m_generation)}});
    setQuarantinedParts(gateway.m_metrics, quarantinedCount(gateway.m_quarantine));
    endRequestsWith(gateway, part);
}

void judge(Gateway &gateway)
{
    for (const PromptPart part : passVerdicts(gateway.m_quarantine, now(gateway)))
        handleQuarantined(gateway, part, "crashes");
}

void logReport(const InstanceId &server, const CrashReport &report)
{
    const CrashSuspect &first = report.m_suspects.front();
    logWarning("server_crashed",
               {{"server", server.m_text},
                {"suspects", std::to_string(report.m_suspects.size())},
                {"stage", std::to_string(static_cast<int>(first.m_stage))},
                {"parts", toText(first.m_parts)}});
}

/// Reports a crash that is certain, with the requests of this host that were at the server.
void reportCrash(Gateway &gateway, const InstanceId &server, CrashReport report)
{
    std::stable_sort(
        report.m_suspects.begin(), report.m_suspects.end(),
        [](const CrashSuspect &a, const CrashSuspect &b) { return a.m_stage > b.m_stage; });
    if (report.m_suspects.size() > maxSuspects)
        report.m_suspects.resize(maxSuspects);
    logReport(server, report);
    countServerCrash(gateway.m_metrics);
    applyCrashReport(gateway.m_quarantine, report);
    wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.crashes.push_back(encodeReport(report, now(gateway)));
    sendNews(gateway, heartbeat);
}

/// Finds out whether a server crashed, and deals with the requests that wait to know it.
asio::awaitable<void> verifyCrash(Gateway &gateway, InstanceId server, Endpoint endpoint,
                                  CrashReport report)
{
    const auto opened
        = co_await openHttpConnection(gateway.m_servers, endpoint, verifyTimeout, true);
    const auto causes = std::move(gateway.m_crashNews.m_uncertain[server]);
    gateway.m_crashNews.m_uncertain.erase(server);
    const bool alive = ok(opened);
    for (const PossibleCause &cause : causes) {
        if (!alive)
            report.m_suspects.push_back(cause.m_suspect);
        else if (cause.m_answered)
            recordServedParts(gateway, cause.m_suspect.m_parts);
    }
    if (!alive)
        reportCrash(gateway, server, std::move(report));
}

/// Takes over news that a part was served. Returns true if other hosts may not know them yet.
bool applyServed(Gateway &gateway, PromptPart part)
{
    const bool wasIn = findQuarantined(gateway.m_quarantine, {part}).has_value();
    const bool isNews = recordServed(gateway.m_quarantine, part, now(gateway));
    if (wasIn) {
        logWarning("part_released", {{"part", toText(part)}, {"why", "served"}});
        setQuarantinedParts(gateway.m_metrics, quarantinedCount(gateway.m_quarantine));
    }
    return isNews;
}

void applyState(Gateway &gateway, const wire::QuarantineEntryT &entry)
{
    const PromptPart part = {entry.part};
    const Millis time = now(gateway);
    QuarantineState state;
    state.m_generation = entry.generation;
    state.m_trials = std::min<int>(entry.trials, maxTrials);
    state.m_changedAt
        = time - Millis{std::clamp<std::int64_t>(entry.age_ms, 0, quarantineLifetime.m_count)};
    if (mergeState(gateway.m_quarantine, part, state, time))
        handleQuarantined(gateway, part, "another host");
    setQuarantinedParts(gateway.m_metrics, quarantinedCount(gateway.m_quarantine));
}

/// The first part in quarantine that no trial is due for.
std::optional<PromptPart> findRefused(const Gateway &gateway, const std::vector<PromptPart> &parts)
{
    const auto &states = gateway.m_quarantine.m_states;
    const Millis time = now(gateway);
    const auto refused = std::find_if(parts.begin(), parts.end(), [&](PromptPart part) {
        return findQuarantined(gateway.m_quarantine, {part})
            && !isTrialDue(states.at(part), hostRank(gateway), time);
    });
    return refused == parts.end() ? std::nullopt : std::optional<PromptPart>(*refused);
}

} // namespace

void reportPossibleCrash(Gateway &gateway, const InstanceId &server, PossibleCause cause)
{
    const auto known = gateway.m_serverTable.m_servers.find(server);
    // A server that leaves ends its connections too.
    if (known == gateway.m_serverTable.m_servers.end() || known->second.m_server.m_leaving)
        return;
    auto &causes = gateway.m_crashNews.m_uncertain[server];
    causes.push_back(std::move(cause));
    if (causes.size() > 1)
        return; // a check is under way
    CrashReport report;
    report.m_crash = processId(server, known->second.m_server.m_serverStatus.m_startUnixMs);
    report.m_at = now(gateway);
    begin(gateway, "verify_crash",
          verifyCrash(gateway, server, known->second.m_server.m_endpoint, std::move(report)));
}

void recordServedParts(Gateway &gateway, const std::vector<PromptPart> &parts)
{
    wire::BeatT heartbeat;
    for (const PromptPart part : parts) {
        const bool wasIn = findQuarantined(gateway.m_quarantine, {part}).has_value();
        if (!applyServed(gateway, part))
            continue;
        if (wasIn)
            broadcastState(gateway, part);
        else
            heartbeat.served_parts.push_back(part.m_id);
    }
    if (heartbeat.served_parts.empty())
        return;
    auto served = std::move(heartbeat.served_parts);
    heartbeat = makeBriefHeartbeat(gateway);
    heartbeat.served_parts = std::move(served);
    sendNews(gateway, heartbeat);
}

std::optional<Failure> quarantineRefusal(Gateway &gateway, const std::vector<PromptPart> &parts)
{
    judge(gateway);
    const auto part = findRefused(gateway, parts);
    if (!part)
        return {};
    const Millis after = timeToTrial(gateway.m_quarantine.m_states.at(*part), now(gateway));
    return makeFailure(ErrorKind::PartQuarantined, "part " + toText(*part) + " crashed servers",
                       after);
}

std::optional<Failure> admitToServer(Gateway &gateway, const std::vector<PromptPart> &parts)
{
    if (auto refusal = quarantineRefusal(gateway, parts))
        return refusal;
    for (const PromptPart part : parts) {
        if (!findQuarantined(gateway.m_quarantine, {part}))
            continue;
        const QuarantineState state = recordTrial(gateway.m_quarantine, part, now(gateway));
        logWarning("part_trial",
                   {{"part", toText(part)}, {"trials", std::to_string(state.m_trials)}});
        broadcastState(gateway, part);
    }
    return {};
}

void addQuarantineStates(Gateway &gateway, wire::BeatT &heartbeat)
{
    judge(gateway);
    const auto &states = gateway.m_quarantine.m_states;
    const Millis time = now(gateway);
    auto next = states.upper_bound(gateway.m_crashNews.m_lastSent);
    for (std::size_t sent = 0; sent < std::min(statesPerHeartbeat, states.size()); ++sent) {
        if (next == states.end())
            next = states.begin();
        addState(heartbeat, next->first, next->second, time);
        gateway.m_crashNews.m_lastSent = next->first;
        ++next;
    }
}

void applyCrashNews(Gateway &gateway, const wire::BeatT &heartbeat)
{
    const Millis time = now(gateway);
    const std::size_t crashes = std::min(heartbeat.crashes.size(), maxCrashesPerHeartbeat);
    for (std::size_t number = 0; number < crashes; ++number)
        applyCrashReport(gateway.m_quarantine, decodeReport(*heartbeat.crashes[number], time));
    for (const std::uint64_t part : heartbeat.served_parts)
        applyServed(gateway, {part});
    for (const auto &entry : heartbeat.quarantine)
        applyState(gateway, *entry);
}

} // namespace apricot
