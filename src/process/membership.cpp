// Which hosts answer. Each host probes one other a period and passes rumours on with each probe
// and ack, so its cost doesn't grow with the members (after SWIM, Das, Gupta, Motivala, 2002).
#include "apricot.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <random>

namespace apricot {

namespace {

Member &self(Membership &membership)
{
    return membership.m_members.at(membership.m_self);
}

void spreadRumour(Membership &membership, const Rumour &about)
{
    std::erase_if(membership.m_rumours, [&](const Rumour &old) {
        return old.m_host == about.m_host && old.m_cell == about.m_cell;
    });
    const auto log2Members = static_cast<int>(std::bit_width(membership.m_members.size()));
    Rumour rumour = about;
    rumour.m_sendsLeft = std::max(membership.m_timing.m_sendsPerRumour, 3 * log2Members);
    membership.m_rumours.push_front(rumour);
}

void setLiveness(Membership &membership, Member &member, Liveness liveness, Millis time)
{
    if (member.m_liveness == liveness)
        return;
    member.m_liveness = liveness;
    member.m_changed = time;
    spreadRumour(membership, {member.m_host, {}, 0});
}

void refillProbeOrder(Membership &membership)
{
    for (const auto &[host, member] : membership.m_members) {
        if (host != membership.m_self && member.m_liveness != Liveness::Dead)
            membership.m_probeOrder.push_back(host);
    }
    std::minstd_rand random(static_cast<unsigned>(membership.m_seed++));
    std::shuffle(membership.m_probeOrder.begin(), membership.m_probeOrder.end(), random);
}

std::optional<Member> nextToProbe(Membership &membership)
{
    if (membership.m_probeOrder.empty())
        refillProbeOrder(membership);
    while (!membership.m_probeOrder.empty()) {
        const HostName host = membership.m_probeOrder.back();
        membership.m_probeOrder.pop_back();
        const auto found = membership.m_members.find(host);
        if (found != membership.m_members.end() && found->second.m_liveness != Liveness::Dead)
            return found->second;
    }
    return {};
}

std::vector<Member> pickHelpers(Membership &membership)
{
    std::vector<Member> helpers;
    for (const Member &member : liveMembers(membership)) {
        if (member.m_host != membership.m_self && member.m_host != membership.m_probed)
            helpers.push_back(member);
    }
    std::minstd_rand random(static_cast<unsigned>(membership.m_seed++));
    std::shuffle(helpers.begin(), helpers.end(), random);
    const auto most = static_cast<std::size_t>(membership.m_timing.m_helpers);
    helpers.resize(std::min(helpers.size(), most));
    return helpers;
}

void buryAndForget(Membership &membership, Millis time, ProbePlan &plan)
{
    for (auto &[host, member] : membership.m_members) {
        const Millis since = time - member.m_changed;
        if (member.m_liveness != Liveness::Suspect || since < membership.m_timing.m_suspicion)
            continue;
        setLiveness(membership, member, Liveness::Dead, time);
        plan.m_changed.push_back(member);
    }
    std::erase_if(membership.m_members, [&](const auto &entry) {
        return entry.second.m_liveness == Liveness::Dead
            && time - entry.second.m_changed >= membership.m_timing.m_forget;
    });
}

void probeFailed(Membership &membership, Millis time, ProbePlan &plan)
{
    const auto found = membership.m_members.find(membership.m_probed);
    if (found != membership.m_members.end() && found->second.m_liveness == Liveness::Alive) {
        setLiveness(membership, found->second, Liveness::Suspect, time);
        plan.m_changed.push_back(found->second);
    }
    membership.m_probed = {};
}

bool isNewer(const Member &said, const Member &known)
{
    if (said.m_incarnation != known.m_incarnation)
        return said.m_incarnation > known.m_incarnation;
    if (said.m_revision != known.m_revision)
        return said.m_revision > known.m_revision;
    return said.m_liveness > known.m_liveness;
}

bool refute(Membership &membership, const Member &said)
{
    Member &own = self(membership);
    const bool aboutThisRun = said.m_incarnation == own.m_incarnation;
    const bool doubtsUs = said.m_liveness != Liveness::Alive || said.m_revision > own.m_revision;
    if (!aboutThisRun || !doubtsUs || said.m_revision < own.m_revision)
        return false;
    own.m_revision = said.m_revision + 1;
    spreadRumour(membership, {own.m_host, {}, 0});
    return true;
}

} // namespace

Membership makeMembership(Member member, std::uint64_t seed)
{
    Membership membership;
    membership.m_self = member.m_host;
    membership.m_seed = seed;
    membership.m_members[member.m_host] = std::move(member);
    spreadRumour(membership, {membership.m_self, {}, 0});
    return membership;
}

ProbePlan tickMembership(Membership &membership, Millis time)
{
    ProbePlan plan;
    buryAndForget(membership, time, plan);
    const bool waiting = !membership.m_probed.m_text.empty();
    const Millis waited = time - membership.m_probeSent;
    if (waiting && !membership.m_helpAsked && waited >= membership.m_timing.m_ackWait) {
        membership.m_helpAsked = true;
        const auto target = membership.m_members.find(membership.m_probed);
        if (target != membership.m_members.end()) {
            plan.m_target = target->second;
            plan.m_helpers = pickHelpers(membership);
        }
    }
    if (waited < membership.m_timing.m_period)
        return plan;
    if (waiting)
        probeFailed(membership, time, plan);
    plan.m_direct = nextToProbe(membership);
    membership.m_probeSent = time;
    if (!plan.m_direct)
        return plan;
    membership.m_probed = plan.m_direct->m_host;
    membership.m_helpAsked = false;
    ++membership.m_probeNumber;
    return plan;
}

void ackReceived(Membership &membership, std::uint64_t probeNumber)
{
    if (probeNumber == membership.m_probeNumber)
        membership.m_probed = {};
}

bool mergeMember(Membership &membership, const Member &said, Millis time)
{
    if (said.m_host == membership.m_self)
        return refute(membership, said);
    const auto found = membership.m_members.find(said.m_host);
    if (found == membership.m_members.end() && said.m_liveness == Liveness::Dead)
        return false;
    if (found != membership.m_members.end() && !isNewer(said, found->second))
        return false;
    const bool sameLiveness = found != membership.m_members.end()
        && found->second.m_liveness == said.m_liveness
        && found->second.m_incarnation == said.m_incarnation;
    const Millis changed = sameLiveness ? found->second.m_changed : time;
    Member &member = membership.m_members[said.m_host];
    member = said;
    member.m_changed = changed;
    spreadRumour(membership, {said.m_host, {}, 0});
    return true;
}

bool mergeClaim(Membership &membership, const CellClaim &claim)
{
    CellClaim &known = membership.m_claims[claim.m_cell];
    if (claim.m_epoch <= known.m_epoch)
        return false;
    known = claim;
    spreadRumour(membership, {{}, claim.m_cell, 0});
    return true;
}

void changeSelf(Membership &membership, const SelfChange &change)
{
    Member &own = self(membership);
    assert(change.m_configNumber >= own.m_configNumber && "a configuration never goes back");
    own.m_leaving = change.m_leaving;
    own.m_configNumber = change.m_configNumber;
    own.m_listNumber = change.m_listNumber;
    ++own.m_revision;
    spreadRumour(membership, {own.m_host, {}, 0});
}

void markGone(Membership &membership, const HostName &host, Incarnation incarnation, Millis time)
{
    const auto found = membership.m_members.find(host);
    if (host == membership.m_self || found == membership.m_members.end())
        return;
    if (found->second.m_incarnation == incarnation)
        setLiveness(membership, found->second, Liveness::Dead, time);
}

Rumours takeRumours(Membership &membership)
{
    Rumours taken;
    std::deque<Rumour> kept;
    const auto most = static_cast<std::size_t>(membership.m_timing.m_rumoursPerMessage);
    std::size_t count = 0;
    for (Rumour &rumour : membership.m_rumours) {
        if (count < most) {
            ++count;
            --rumour.m_sendsLeft;
            const auto member = membership.m_members.find(rumour.m_host);
            const auto claim = membership.m_claims.find(rumour.m_cell);
            if (member != membership.m_members.end())
                taken.m_members.push_back(member->second);
            if (claim != membership.m_claims.end())
                taken.m_claims.push_back(claim->second);
        }
    }
    // Those sent least often go first next time; the stable order keeps the newest in front.
    for (const Rumour &rumour : membership.m_rumours) {
        if (rumour.m_sendsLeft > 0)
            kept.push_back(rumour);
    }
    std::stable_sort(kept.begin(), kept.end(), [](const Rumour &a, const Rumour &b) {
        return a.m_sendsLeft > b.m_sendsLeft;
    });
    membership.m_rumours = std::move(kept);
    return taken;
}

std::vector<Member> liveMembers(const Membership &membership)
{
    std::vector<Member> live;
    for (const auto &[host, member] : membership.m_members) {
        if (member.m_liveness == Liveness::Alive && !member.m_leaving)
            live.push_back(member);
    }
    return live;
}

std::vector<Member> rankMembers(std::vector<Member> members, std::string_view key)
{
    struct Scored
    {
        std::uint64_t m_score = 0;
        std::size_t m_index = 0;
    };
    std::vector<Scored> order;
    order.reserve(members.size());
    const std::string prefix = std::string(key) + "@";
    for (std::size_t i = 0; i < members.size(); ++i)
        order.push_back({stableHash(prefix + members[i].m_host.m_text), i});
    std::sort(order.begin(), order.end(), [](const Scored &a, const Scored &b) {
        return a.m_score != b.m_score ? a.m_score > b.m_score : a.m_index < b.m_index;
    });
    std::vector<Member> ranked;
    ranked.reserve(members.size());
    for (const Scored &scored : order)
        ranked.push_back(std::move(members[scored.m_index]));
    return ranked;
}

std::vector<Member> addressOrder(const std::vector<Member> &live, std::string_view key,
                                 std::size_t homes, const DataCentre &callerAt, std::size_t most)
{
    std::vector<Member> ranked = rankMembers(live, key);
    const auto isNear = [&](const Member &member) { return member.m_dataCentre == callerAt; };
    const auto homesEnd = ranked.begin()
        + static_cast<std::ptrdiff_t>(std::min(std::max<std::size_t>(homes, 1), ranked.size()));
    std::stable_partition(ranked.begin(), homesEnd, isNear);
    std::stable_partition(homesEnd, ranked.end(), isNear);
    ranked.resize(std::min(ranked.size(), most));
    return ranked;
}

} // namespace apricot
