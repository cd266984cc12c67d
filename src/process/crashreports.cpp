// Crashes of servers, as hosts see and report them, and the quarantine of the requests and prompt
// parts that cause them. The decisions are in quarantine.h.
//
// A host whose connection to a server ended opens another one. If that fails too, the server
// crashed, and the host reports its requests there to all other hosts. Reports and news of causes
// that were served go to all hosts at once. Quarantine states are also part of the periodic
// heartbeats, for hosts that missed reports or started later.
#include "process/heartbeat.h"
#include "process/log.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis verifyTimeout = {400}; // for the connection that shows whether a server lives
constexpr std::size_t statesPerHeartbeat = 4; // of quarantine
constexpr std::size_t maxCrashesPerHeartbeat = 16;

/// Sends a message to all hosts if the budget allows it.
bool sendNews(Gateway &gateway, const wire::BeatT &heartbeat)
{
    const std::string bytes = encodeHeartbeat(heartbeat);
    const auto cost = static_cast<double>(bytes.size() * gateway.m_peers.size());
    const bool allowed = takeBytes(gateway.m_crashNews.m_budget, now(gateway), cost);
    if (allowed)
        sendToAllPeers(gateway, MessageKind::Crash, bytes);
    return allowed;
}

void logDroppedNews(const Gateway &gateway)
{
    logWarning("crash_news_dropped", {{"peers", std::to_string(gateway.m_peers.size())}});
}

std::unique_ptr<wire::SuspectEntryT> encodeSuspect(const CrashSuspect &suspect)
{
    auto packed = std::make_unique<wire::SuspectEntryT>();
    packed->request = suspect.m_request;
    packed->stage = static_cast<std::uint8_t>(suspect.m_stage);
    packed->at_server_ms = static_cast<std::int32_t>(suspect.m_atServer.m_count);
    for (const PromptPart part : suspect.m_parts)
        packed->parts.push_back(part.m_id);
    return packed;
}

CrashSuspect decodeSuspect(const wire::SuspectEntryT &packed)
{
    const auto latest = static_cast<std::uint8_t>(AnswerStage::Beginning);
    CrashSuspect suspect;
    suspect.m_request = packed.request;
    suspect.m_stage = static_cast<AnswerStage>(std::min(packed.stage, latest));
    for (const std::uint64_t id : packed.parts) {
        if (suspect.m_parts.size() < maxPromptParts)
            suspect.m_parts.push_back({id});
    }
    if (packed.at_server_ms >= 0)
        suspect.m_atServer = std::min(Millis{packed.at_server_ms}, longAtServer);
    return suspect;
}

std::unique_ptr<wire::CrashEntryT> encodeReport(const CrashReport &report, Millis time)
{
    auto entry = std::make_unique<wire::CrashEntryT>();
    entry->crash = report.m_crash;
    entry->age_ms = static_cast<std::int32_t>((time - report.m_at).m_count);
    for (const CrashSuspect &suspect : report.m_suspects)
        entry->suspects.push_back(encodeSuspect(suspect));
    return entry;
}

/// Sends a report to all hosts. If the budget doesn't allow the whole report, the less suspect half
/// of it is left out, again and again.
void sendReport(Gateway &gateway, CrashReport report)
{
    for (; !report.m_suspects.empty(); report.m_suspects.resize(report.m_suspects.size() / 2)) {
        wire::BeatT heartbeat = makeBriefHeartbeat(gateway);
        heartbeat.crashes.push_back(encodeReport(report, now(gateway)));
        if (sendNews(gateway, heartbeat))
            return;
    }
    logDroppedNews(gateway);
}

/// Decodes a report. Numbers beyond their range are taken as the nearest one in it.
CrashReport decodeReport(const wire::CrashEntryT &entry, Millis time)
{
    CrashReport report;
    report.m_crash = entry.crash;
    report.m_at = time - Millis{std::max(entry.age_ms, 0)};
    for (const auto &packed : entry.suspects) {
        if (report.m_suspects.size() < maxSuspects)
            report.m_suspects.push_back(decodeSuspect(*packed));
    }
    return report;
}

void addState(wire::BeatT &heartbeat, CrashCause cause, const QuarantineState &state, Millis time)
{
    auto entry = std::make_unique<wire::QuarantineEntryT>();
    entry->kind = static_cast<std::uint8_t>(cause.m_kind);
    entry->id = cause.m_id;
    entry->generation = state.m_generation;
    entry->trials = static_cast<std::uint8_t>(state.m_trials);
    entry->age_ms = (time - state.m_changedAt).m_count;
    heartbeat.quarantine.push_back(std::move(entry));
}

/// Sends the state of a cause to all hosts at once. Only trials and releases need it: both are
/// rare.
void broadcastState(Gateway &gateway, CrashCause cause)
{
    wire::BeatT heartbeat = makeHeartbeat(gateway);
    addState(heartbeat, cause, gateway.m_quarantine.m_states.at(cause), now(gateway));
    sendToAllPeers(gateway, MessageKind::Crash, encodeHeartbeat(heartbeat));
}

void updateQuarantineMetrics(Gateway &gateway)
{
    const Quarantine &quarantine = gateway.m_quarantine;
    setQuarantined(gateway.m_metrics, quarantinedCount(quarantine, CauseKind::PromptPart),
                   quarantinedCount(quarantine, CauseKind::Request));
}

/// Logs what became of a cause: "part_..." with the part, or "request_..." with the fingerprint.
void logCause(const Gateway &gateway, CrashCause cause, const char *what, const char *why)
{
    const bool isPart = cause.m_kind == CauseKind::PromptPart;
    const QuarantineState &state = gateway.m_quarantine.m_states.at(cause);
    logWarning(std::string(isPart ? "part_" : "request_") + what,
               {{isPart ? "part" : "fingerprint",
                 isPart ? toText(PromptPart{cause.m_id}) : toHex(cause.m_id)},
                {"why", why},
                {"generation", std::to_string(state.m_generation)},
                {"trials", std::to_string(state.m_trials)}});
}

/// Acts on a cause that is in quarantine from now on.
void handleQuarantined(Gateway &gateway, CrashCause cause, const char *why)
{
    logCause(gateway, cause, "quarantined", why);
    updateQuarantineMetrics(gateway);
    endRequestsWith(gateway, cause);
}

void judge(Gateway &gateway)
{
    for (const CrashCause cause : passVerdicts(gateway.m_quarantine, now(gateway)))
        handleQuarantined(gateway, cause, "crashes");
}

void logReport(const InstanceId &server, const CrashReport &report)
{
    const CrashSuspect &first = report.m_suspects.front();
    logWarning("server_crashed",
               {{"server", server.m_text},
                {"suspects", std::to_string(report.m_suspects.size())},
                {"stage", std::to_string(static_cast<int>(first.m_stage))},
                {"at_server_ms", std::to_string(first.m_atServer.m_count)},
                {"fingerprint", toHex(first.m_request)},
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
    sendReport(gateway, std::move(report));
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
            recordServedCauses(gateway,
                               causesOf(cause.m_suspect.m_parts, cause.m_suspect.m_request));
    }
    if (!alive)
        reportCrash(gateway, server, std::move(report));
}

/// Takes over news that a cause was served. Returns true if other hosts may not know them yet.
bool applyServed(Gateway &gateway, CrashCause cause)
{
    const bool wasIn = findQuarantined(gateway.m_quarantine, {cause}).has_value();
    const bool isNews = recordServed(gateway.m_quarantine, cause, now(gateway));
    if (wasIn) {
        logCause(gateway, cause, "released", "served");
        updateQuarantineMetrics(gateway);
    }
    return isNews;
}

void applyState(Gateway &gateway, const wire::QuarantineEntryT &entry)
{
    const auto lastKind = static_cast<std::uint8_t>(CauseKind::Request);
    if (entry.kind > lastKind)
        return; // of a newer host
    const CrashCause cause = {static_cast<CauseKind>(entry.kind), entry.id};
    const Millis time = now(gateway);
    QuarantineState state;
    state.m_generation = entry.generation;
    state.m_trials = std::min<int>(entry.trials, maxTrials);
    state.m_changedAt
        = time - Millis{std::clamp<std::int64_t>(entry.age_ms, 0, quarantineLifetime.m_count)};
    if (mergeState(gateway.m_quarantine, cause, state, time))
        handleQuarantined(gateway, cause, "another host");
    updateQuarantineMetrics(gateway);
}

/// The first cause in quarantine that no trial is due for.
std::optional<CrashCause> findRefused(const Gateway &gateway, const std::vector<CrashCause> &causes)
{
    const auto &states = gateway.m_quarantine.m_states;
    const Millis time = now(gateway);
    const auto refused = std::find_if(causes.begin(), causes.end(), [&](CrashCause cause) {
        return findQuarantined(gateway.m_quarantine, {cause})
            && !isTrialDue(cause.m_kind, states.at(cause), hostRank(gateway), time);
    });
    return refused == causes.end() ? std::nullopt : std::optional<CrashCause>(*refused);
}

Failure refusalOf(CrashCause cause, Millis retryAfter)
{
    if (cause.m_kind == CauseKind::Request)
        return makeFailure(ErrorKind::RequestQuarantined, "the same request crashed servers",
                           retryAfter);
    return makeFailure(ErrorKind::PartQuarantined,
                       "part " + toText(PromptPart{cause.m_id}) + " crashed servers", retryAfter);
}

} // namespace

void reportPossibleCrash(Gateway &gateway, const InstanceId &server, PossibleCause cause)
{
    const KnownServer *known = knownServer(gateway.m_serverTable, server);
    // A server that leaves ends its connections too.
    if (!known || isLeaving(*known))
        return;
    auto &causes = gateway.m_crashNews.m_uncertain[server];
    causes.push_back(std::move(cause));
    if (causes.size() > 1)
        return; // a check is under way
    CrashReport report;
    report.m_crash = processId(*known);
    report.m_at = now(gateway);
    begin(gateway, "verify_crash",
          verifyCrash(gateway, server, known->m_server.m_endpoint, std::move(report)));
}

void recordServedCauses(Gateway &gateway, const std::vector<CrashCause> &causes)
{
    wire::BeatT heartbeat;
    for (const CrashCause cause : causes) {
        const bool wasIn = findQuarantined(gateway.m_quarantine, {cause}).has_value();
        if (!applyServed(gateway, cause))
            continue;
        if (wasIn)
            broadcastState(gateway, cause);
        else if (cause.m_kind == CauseKind::PromptPart)
            heartbeat.served_parts.push_back(cause.m_id);
        else
            heartbeat.served_requests.push_back(cause.m_id);
    }
    if (heartbeat.served_parts.empty() && heartbeat.served_requests.empty())
        return;
    wire::BeatT news = makeBriefHeartbeat(gateway);
    news.served_parts = std::move(heartbeat.served_parts);
    news.served_requests = std::move(heartbeat.served_requests);
    if (!sendNews(gateway, news))
        logDroppedNews(gateway);
}

std::optional<Failure> quarantineRefusal(Gateway &gateway, const std::vector<CrashCause> &causes)
{
    judge(gateway);
    const auto cause = findRefused(gateway, causes);
    if (!cause)
        return {};
    const QuarantineState &state = gateway.m_quarantine.m_states.at(*cause);
    return refusalOf(*cause, timeToTrial(cause->m_kind, state, now(gateway)));
}

std::optional<Failure> admitToServer(Gateway &gateway, const std::vector<CrashCause> &causes)
{
    if (auto refusal = quarantineRefusal(gateway, causes))
        return refusal;
    for (const CrashCause cause : causes) {
        if (!findQuarantined(gateway.m_quarantine, {cause}))
            continue;
        recordTrial(gateway.m_quarantine, cause, now(gateway));
        logCause(gateway, cause, "trial", "due");
        broadcastState(gateway, cause);
    }
    return {};
}

void addQuarantineStates(Gateway &gateway, wire::BeatT &heartbeat)
{
    judge(gateway);
    const Millis time = now(gateway);
    addInTurn(gateway.m_quarantine.m_states, gateway.m_crashNews.m_lastSent, statesPerHeartbeat,
              [&](const auto &state) {
                  addState(heartbeat, state.first, state.second, time);
                  return true;
              });
}

void applyCrashNews(Gateway &gateway, const wire::BeatT &heartbeat)
{
    const Millis time = now(gateway);
    const std::size_t crashes = std::min(heartbeat.crashes.size(), maxCrashesPerHeartbeat);
    for (std::size_t number = 0; number < crashes; ++number)
        applyCrashReport(gateway.m_quarantine, decodeReport(*heartbeat.crashes[number], time));
    for (const std::uint64_t part : heartbeat.served_parts)
        applyServed(gateway, {CauseKind::PromptPart, part});
    for (const std::uint64_t fingerprint : heartbeat.served_requests)
        applyServed(gateway, {CauseKind::Request, fingerprint});
    for (const auto &entry : heartbeat.quarantine)
        applyState(gateway, *entry);
}

} // namespace apricot
