// Quarantine of requests, and of prompt parts, that crash servers.
//
// A request may crash each server that runs it, and so may a part of a prompt, whatever else the
// request holds. Hosts see only that the connections to a server end, for all requests there, sound
// ones included. Each host reports to all others which of its requests a crash may be due to. A
// request is blamed once it has been suspected in several crashes, a part once it has been in
// several crashes with different requests, unless one was served meanwhile. Hosts refuse what is
// blamed; a few trials, minutes apart, find out whether it has become sound.
//
// What every host knows is the same, up to messages on their way; there is no host that decides for
// the others. All state is in memory and bounded. It is lost if all hosts stop at the same time.
//
// Index
//   1. Crashes     what hosts report about a server that crashed
//   2. Suspicion   which request or part is to blame
//   3. Quarantine  what is refused, trials, exchange between hosts
//
// Times are Millis on the machine's monotonic clock. The functions do no I/O.
#pragma once

#include "gateway.h"

namespace apricot {

// ---------------------------------------------------------------------------------------------
// 1. Crashes
// ---------------------------------------------------------------------------------------------

/// Identifies what a caller asks for by a hash of method, host, target, caller and body. Each
/// repeat has the same fingerprint, whatever its id, its deadline, and the event that it resumes
/// after.
std::uint64_t requestFingerprint(const Route &route, const HttpRequest &request,
                                 const std::string &caller);

/// What a crash may be due to.
enum class CauseKind : std::uint8_t { PromptPart, Request };

struct CrashCause
{
    CauseKind m_kind = CauseKind::PromptPart;
    std::uint64_t m_id = 0; // of the part, or the fingerprint of the request

    auto operator<=>(const CrashCause &) const = default;
};

/// Causes that a request may crash its server by: the parts, which are shared with other requests,
/// in their order, and then the request itself.
std::vector<CrashCause> causesOf(const std::vector<PromptPart> &sharedParts,
                                 std::uint64_t fingerprint);

/// How far the answer to a request was when its server crashed. Later values are more suspect.
enum class AnswerStage : std::uint8_t {
    NotBegun,  // no response head had arrived
    Streaming, // the first event had arrived less than survivalTime before
    Beginning, // a response head had arrived, but no event
};

/// A server that has streamed an answer for this long has survived its beginning.
constexpr Millis survivalTime = {400};

/// For a request that was at its server for an unknown time.
constexpr Millis longAtServer = {1'000'000};

/// A request that a crash may be due to.
struct CrashSuspect
{
    std::uint64_t m_request = 0; // its fingerprint
    AnswerStage m_stage = AnswerStage::NotBegun;
    std::vector<PromptPart> m_parts;  // shared parts of its prompt, in order
    Millis m_atServer = longAtServer; // from its sending to the crash
};

/// One host's report of a crash. Several hosts may report the same one.
struct CrashReport
{
    std::uint64_t m_crash = 0; // see processId()
    Millis m_at;               // when the connections ended
    std::vector<CrashSuspect> m_suspects;
};

constexpr std::size_t maxSuspects = 32; // in one report; those most suspect come first

// ---------------------------------------------------------------------------------------------
// 2. Suspicion
// ---------------------------------------------------------------------------------------------

/// One crash in which a cause was suspected.
struct Appearance
{
    std::uint64_t m_crash = 0;
    std::uint64_t m_request = 0;
    Millis m_at;     // of the crash
    Millis m_sentAt; // when the request was sent to the server
    AnswerStage m_stage = AnswerStage::NotBegun;
    std::size_t m_position = 0; // of the cause in the suspect's list
};

/// Crashes at nearly the same time may have a common cause, such as an outage of a data centre:
/// they count as one, unless the request was sent to the second server only after the first crash.
constexpr Millis sameCauseTime = {100};

/// Crashes with which a request is blamed, or a part that was never served before.
constexpr int crashesToBlame = 3;
/// For a part that was served before.
constexpr int crashesToBlameServed = 4;

/// Wait from the last crash to the verdict, so that reports of all hosts arrive before it.
constexpr Millis verdictDelay = {30};

constexpr std::size_t maxAppearances = 8;        // of one cause
constexpr std::size_t maxSuspectCauses = 4'096;  // the longest not suspected is dropped
constexpr std::size_t maxKnownCrashes = 256;     // the oldest is dropped
constexpr std::size_t servedPartsToKeep = 4'096; // of each of the two generations

struct KnownCrash
{
    std::uint64_t m_id = 0;
    /// The answer to a suspect was beginning: suspects whose answers had not begun don't count.
    bool m_answerBeginning = false;
    std::optional<CrashCause> m_cause; // one in quarantine that a suspect had
};

/// Parts that some request was served with. Requests aren't kept: most come only once. Bounded: of
/// two generations the older one is dropped when the newer one is full.
struct ServedParts
{
    std::set<CrashCause> m_newer;
    std::set<CrashCause> m_older;
};

bool wasServed(const ServedParts &served, CrashCause cause);

// ---------------------------------------------------------------------------------------------
// 3. Quarantine
// ---------------------------------------------------------------------------------------------

/// State of a cause that is or was in quarantine. Of two states of one cause that hosts have, the
/// one with the higher generation holds, then the one with more trials.
struct QuarantineState
{
    std::uint32_t m_generation = 0; // odd: in quarantine; even: released
    int m_trials = 0;               // requests let through to find out whether it became sound
    Millis m_changedAt;             // of either
};

constexpr int maxTrials = 3;
/// From the last change to the next trial, by the number of trials so far.
constexpr Millis partTrialDelays[maxTrials] = {{300'000}, {1'800'000}, {7'200'000}};
/// A request is repeated soon if at all, so a sound one that was blamed must be tried soon.
constexpr Millis requestTrialDelays[maxTrials] = {{60'000}, {1'800'000}, {7'200'000}};
/// Hosts try at different times, by their rank, so that normally one of them does.
constexpr Millis trialStagger = {1'000};
/// States older than this are dropped.
constexpr Millis quarantineLifetime = {24LL * 3'600'000};
/// Limits what callers can make hosts refuse; the state that changed longest ago is dropped.
constexpr std::size_t maxQuarantineStates = 256;

/// Everything a host knows of crashes and their causes.
struct Quarantine
{
    std::deque<KnownCrash> m_crashes;                          // oldest first
    std::map<CrashCause, std::vector<Appearance>> m_suspicion; // oldest appearance first
    std::set<CrashCause> m_candidates; // with enough crashes; verdict after verdictDelay
    ServedParts m_served;
    std::map<CrashCause, QuarantineState> m_states;
};

/// Takes over a report. Reports may arrive late, repeatedly, and in any order.
void applyCrashReport(Quarantine &quarantine, const CrashReport &report);

/// Puts the causes to blame into quarantine and returns them. Of several that the same crashes can
/// be due to, the one is blamed that was never served, then the one with more crashes, with answers
/// nearest to their beginning, and last in the list: rather a request than a part, which others
/// share. To be called often.
std::vector<CrashCause> passVerdicts(Quarantine &quarantine, Millis time);

/// Records that a server survived the beginning of an answer to a request with the cause. Ends its
/// suspicion and its quarantine. Returns true if other hosts have to know it: it was suspected or
/// in quarantine.
bool recordServed(Quarantine &quarantine, CrashCause cause, Millis time);

/// The first of the causes that is in quarantine; empty: none.
std::optional<CrashCause> findQuarantined(const Quarantine &quarantine,
                                          const std::vector<CrashCause> &causes);

/// Whether a host of that rank may let a request through, to find out whether the cause has become
/// sound.
bool isTrialDue(CauseKind kind, const QuarantineState &state, int rank, Millis time);

/// Time until a host lets the next request through at the earliest, or until the state is dropped.
Millis timeToTrial(CauseKind kind, const QuarantineState &state, Millis time);

/// Counts a trial. Returns the new state, which other hosts have to know at once.
QuarantineState recordTrial(Quarantine &quarantine, CrashCause cause, Millis time);

/// Takes over the state that another host has, if it is the later one. Returns true if the cause is
/// in quarantine now and wasn't before.
bool mergeState(Quarantine &quarantine, CrashCause cause, const QuarantineState &state,
                Millis time);

/// Number of causes in quarantine, of that kind or of all kinds.
std::size_t quarantinedCount(const Quarantine &quarantine, std::optional<CauseKind> kind = {});

} // namespace apricot
