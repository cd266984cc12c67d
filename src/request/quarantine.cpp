// Which request or prompt part crashes are due to, and the states of those in quarantine. Crashes
// and messages between hosts are handled in process/crashreports.cpp.
#include "quarantine.h"

#include <algorithm>

namespace apricot {

namespace {

KnownCrash *findCrash(Quarantine &quarantine, std::uint64_t id)
{
    const auto found = std::find_if(quarantine.m_crashes.begin(), quarantine.m_crashes.end(),
                                    [&](const KnownCrash &crash) { return crash.m_id == id; });
    return found == quarantine.m_crashes.end() ? nullptr : &*found;
}

KnownCrash &knownCrash(Quarantine &quarantine, std::uint64_t id)
{
    if (KnownCrash *known = findCrash(quarantine, id))
        return *known;
    if (quarantine.m_crashes.size() == maxKnownCrashes)
        quarantine.m_crashes.pop_front();
    quarantine.m_crashes.push_back({id, false, {}});
    return quarantine.m_crashes.back();
}

bool inQuarantine(const QuarantineState &state)
{
    return state.m_generation % 2 == 1;
}

bool inQuarantine(const Quarantine &quarantine, CrashCause cause)
{
    const auto found = quarantine.m_states.find(cause);
    return found != quarantine.m_states.end() && inQuarantine(found->second);
}

void dropLeastRecentSuspect(Quarantine &quarantine)
{
    const auto oldest = std::min_element(
        quarantine.m_suspicion.begin(), quarantine.m_suspicion.end(),
        [](const auto &a, const auto &b) { return a.second.back().m_at < b.second.back().m_at; });
    quarantine.m_candidates.erase(oldest->first);
    quarantine.m_suspicion.erase(oldest);
}

/// Whether both crashes may have had one cause from outside, such as an outage of a data centre:
/// they were nearly at the same time, and the later one wasn't of a request that was sent only
/// after the earlier crash.
bool mayBeOneOutage(const Appearance &a, const Appearance &b)
{
    const Appearance &earlier = a.m_at <= b.m_at ? a : b;
    const Appearance &later = a.m_at <= b.m_at ? b : a;
    return later.m_at - earlier.m_at < sameCauseTime && later.m_sentAt < earlier.m_at;
}

/// Adds an appearance, unless it is the same crash again, or, for a part, the same request. Of
/// those with a common cause, the one with the answer nearest to its beginning is kept.
void addAppearance(std::vector<Appearance> &appearances, const Appearance &added, CauseKind kind)
{
    for (Appearance &known : appearances) {
        if (known.m_crash == added.m_crash || mayBeOneOutage(known, added)) {
            if (added.m_stage > known.m_stage)
                known = added;
            return;
        }
        if (kind == CauseKind::PromptPart && known.m_request == added.m_request)
            return;
    }
    if (appearances.size() == maxAppearances)
        appearances.erase(appearances.begin());
    const auto later
        = std::find_if(appearances.begin(), appearances.end(),
                       [&](const Appearance &known) { return known.m_at > added.m_at; });
    appearances.insert(later, added);
}

/// What speaks against a cause: the crashes that no other cause in quarantine explains. A request
/// may crash its server at any point; a part does so only where the answer begins.
struct Evidence
{
    int m_crashes = 0;
    int m_beginning = 0;        // of these, with an answer that was beginning
    std::size_t m_position = 0; // of the cause in the suspect's list, at the last of them
    Millis m_lastAt;
};

Evidence evidenceAgainst(Quarantine &quarantine, CrashCause cause)
{
    Evidence evidence;
    const auto found = quarantine.m_suspicion.find(cause);
    if (found == quarantine.m_suspicion.end())
        return evidence;
    for (const Appearance &appearance : found->second) {
        const KnownCrash *crash = findCrash(quarantine, appearance.m_crash);
        const bool othersBegan = crash && crash->m_answerBeginning;
        const bool explained = crash && crash->m_cause && *crash->m_cause != cause;
        const bool tooEarly = cause.m_kind == CauseKind::PromptPart && othersBegan
            && appearance.m_stage == AnswerStage::NotBegun;
        if (explained || tooEarly)
            continue;
        evidence.m_crashes += 1;
        evidence.m_beginning += appearance.m_stage == AnswerStage::Beginning ? 1 : 0;
        evidence.m_position = appearance.m_position;
        evidence.m_lastAt = appearance.m_at;
    }
    return evidence;
}

int crashesNeeded(const Quarantine &quarantine, CrashCause cause)
{
    return wasServed(quarantine.m_served, cause) ? crashesToBlameServed : crashesToBlame;
}

/// Whether `a` is rather to blame than `b`.
bool isRatherToBlame(const Quarantine &quarantine, CrashCause a, const Evidence &ofA, CrashCause b,
                     const Evidence &ofB)
{
    const bool servedA = wasServed(quarantine.m_served, a);
    const bool servedB = wasServed(quarantine.m_served, b);
    if (servedA != servedB)
        return servedB;
    return std::tie(ofA.m_crashes, ofA.m_beginning, ofA.m_position)
        > std::tie(ofB.m_crashes, ofB.m_beginning, ofB.m_position);
}

/// The candidate that is rather to blame than all others; empty if there is none. Candidates that
/// turn out to be explained by others are removed.
std::optional<CrashCause> pickCulprit(Quarantine &quarantine, Millis time)
{
    std::optional<CrashCause> culprit;
    Evidence ofCulprit;
    std::vector<CrashCause> cleared;
    for (const CrashCause cause : quarantine.m_candidates) {
        const Evidence evidence = evidenceAgainst(quarantine, cause);
        if (evidence.m_crashes < crashesNeeded(quarantine, cause)) {
            cleared.push_back(cause);
            continue;
        }
        if (time < evidence.m_lastAt + verdictDelay)
            continue;
        if (!culprit || isRatherToBlame(quarantine, cause, evidence, *culprit, ofCulprit)) {
            culprit = cause;
            ofCulprit = evidence;
        }
    }
    for (const CrashCause cause : cleared)
        quarantine.m_candidates.erase(cause);
    return culprit;
}

QuarantineState &stateOf(Quarantine &quarantine, CrashCause cause, Millis time)
{
    std::erase_if(quarantine.m_states, [&](const auto &state) {
        return time - state.second.m_changedAt >= quarantineLifetime;
    });
    if (quarantine.m_states.size() == maxQuarantineStates && !quarantine.m_states.contains(cause))
        quarantine.m_states.erase(
            std::min_element(quarantine.m_states.begin(), quarantine.m_states.end(),
                             [](const auto &a, const auto &b) {
                                 return a.second.m_changedAt < b.second.m_changedAt;
                             }));
    return quarantine.m_states[cause];
}

/// Ascribes to the cause all crashes in which it was suspected, so that they speak against no
/// other.
void ascribeCrashes(Quarantine &quarantine, CrashCause cause)
{
    const auto found = quarantine.m_suspicion.find(cause);
    if (found == quarantine.m_suspicion.end())
        return;
    for (const Appearance &appearance : found->second) {
        if (KnownCrash *crash = findCrash(quarantine, appearance.m_crash))
            crash->m_cause = cause;
    }
}

/// From the last change to the next trial; without a further trial, to the end of the state.
Millis trialDelay(CauseKind kind, const QuarantineState &state)
{
    if (state.m_trials >= maxTrials)
        return quarantineLifetime;
    return kind == CauseKind::Request ? requestTrialDelays[state.m_trials]
                                      : partTrialDelays[state.m_trials];
}

void keepServed(ServedParts &served, CrashCause part)
{
    if (!served.m_newer.contains(part) && served.m_newer.size() == servedPartsToKeep)
        served.m_older = std::exchange(served.m_newer, {});
    served.m_newer.insert(part);
}

void enterQuarantine(Quarantine &quarantine, CrashCause cause, Millis time)
{
    QuarantineState &state = stateOf(quarantine, cause, time);
    state.m_generation += 1;
    state.m_trials = 0;
    state.m_changedAt = time;
    ascribeCrashes(quarantine, cause);
    quarantine.m_suspicion.erase(cause);
    quarantine.m_candidates.erase(cause);
}

} // namespace

std::uint64_t requestFingerprint(const Route &route, const HttpRequest &request,
                                 const std::string &caller)
{
    return stableHash(request.m_method + " " + route.m_host + request.m_target + "\n" + caller
                      + "\n" + toHex(stableHash(request.m_body)));
}

std::vector<CrashCause> causesOf(const std::vector<PromptPart> &sharedParts,
                                 std::uint64_t fingerprint)
{
    std::vector<CrashCause> causes;
    causes.reserve(sharedParts.size() + 1);
    for (const PromptPart part : sharedParts)
        causes.push_back({CauseKind::PromptPart, part.m_id});
    causes.push_back({CauseKind::Request, fingerprint});
    return causes;
}

bool wasServed(const ServedParts &served, CrashCause cause)
{
    return served.m_newer.contains(cause) || served.m_older.contains(cause);
}

void applyCrashReport(Quarantine &quarantine, const CrashReport &report)
{
    KnownCrash &crash = knownCrash(quarantine, report.m_crash);
    for (const CrashSuspect &suspect : report.m_suspects) {
        crash.m_answerBeginning
            = crash.m_answerBeginning || suspect.m_stage == AnswerStage::Beginning;
        const auto cause
            = findQuarantined(quarantine, causesOf(suspect.m_parts, suspect.m_request));
        const bool couldAct = suspect.m_stage != AnswerStage::NotBegun
            || (cause && cause->m_kind == CauseKind::Request);
        if (cause && couldAct)
            crash.m_cause = cause;
    }
    for (const CrashSuspect &suspect : report.m_suspects) {
        const std::vector<CrashCause> causes = causesOf(suspect.m_parts, suspect.m_request);
        for (std::size_t position = 0; position < causes.size(); ++position) {
            const CrashCause cause = causes[position];
            if (inQuarantine(quarantine, cause))
                continue;
            if (quarantine.m_suspicion.size() == maxSuspectCauses
                && !quarantine.m_suspicion.contains(cause))
                dropLeastRecentSuspect(quarantine);
            addAppearance(quarantine.m_suspicion[cause],
                          {report.m_crash, suspect.m_request, report.m_at,
                           report.m_at - suspect.m_atServer, suspect.m_stage, position},
                          cause.m_kind);
            if (evidenceAgainst(quarantine, cause).m_crashes >= crashesNeeded(quarantine, cause))
                quarantine.m_candidates.insert(cause);
        }
    }
}

std::vector<CrashCause> passVerdicts(Quarantine &quarantine, Millis time)
{
    std::vector<CrashCause> blamed;
    while (const auto culprit = pickCulprit(quarantine, time)) {
        enterQuarantine(quarantine, *culprit, time);
        blamed.push_back(*culprit);
    }
    return blamed;
}

bool recordServed(Quarantine &quarantine, CrashCause cause, Millis time)
{
    if (cause.m_kind == CauseKind::PromptPart)
        keepServed(quarantine.m_served, cause);
    const bool suspected = quarantine.m_suspicion.erase(cause) > 0;
    quarantine.m_candidates.erase(cause);
    const auto state = quarantine.m_states.find(cause);
    if (state == quarantine.m_states.end() || !inQuarantine(state->second))
        return suspected;
    state->second = {state->second.m_generation + 1, 0, time};
    return true;
}

std::optional<CrashCause> findQuarantined(const Quarantine &quarantine,
                                          const std::vector<CrashCause> &causes)
{
    if (quarantine.m_states.empty())
        return {};
    const auto found = std::find_if(causes.begin(), causes.end(), [&](CrashCause cause) {
        return inQuarantine(quarantine, cause);
    });
    return found == causes.end() ? std::nullopt : std::optional<CrashCause>(*found);
}

bool isTrialDue(CauseKind kind, const QuarantineState &state, int rank, Millis time)
{
    return state.m_trials < maxTrials
        && time >= state.m_changedAt + trialDelay(kind, state) + trialStagger * rank;
}

Millis timeToTrial(CauseKind kind, const QuarantineState &state, Millis time)
{
    return std::max(state.m_changedAt + trialDelay(kind, state) - time, trialStagger);
}

QuarantineState recordTrial(Quarantine &quarantine, CrashCause cause, Millis time)
{
    QuarantineState &state = quarantine.m_states[cause];
    state.m_trials += 1;
    state.m_changedAt = time;
    return state;
}

bool mergeState(Quarantine &quarantine, CrashCause cause, const QuarantineState &state, Millis time)
{
    if (time - state.m_changedAt >= quarantineLifetime)
        return false;
    QuarantineState &known = stateOf(quarantine, cause, time);
    const bool wasIn = inQuarantine(known);
    const bool later = std::tie(state.m_generation, state.m_trials)
        > std::tie(known.m_generation, known.m_trials);
    if (!later)
        return false;
    known = state;
    const bool isIn = inQuarantine(known);
    if (isIn && !wasIn)
        ascribeCrashes(quarantine, cause);
    if (!isIn || !wasIn) {
        quarantine.m_suspicion.erase(cause);
        quarantine.m_candidates.erase(cause);
    }
    return isIn && !wasIn;
}

std::size_t quarantinedCount(const Quarantine &quarantine, std::optional<CauseKind> kind)
{
    return static_cast<std::size_t>(std::count_if(
        quarantine.m_states.begin(), quarantine.m_states.end(), [&](const auto &state) {
            return inQuarantine(state.second) && (!kind || state.first.m_kind == *kind);
        }));
}

} // namespace apricot
