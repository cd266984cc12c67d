// Membership: which hosts are alive. In each period a host probes one other host, and each probe
// and ack carries a few gossip updates, so the cost for a host doesn't grow with the number of
// members (after SWIM; Das, Gupta, Motivala, 2002).
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

/// Queues a gossip update in place of an older one on the same host or cell. The number of times
/// it is sent grows with the logarithm of the number of members, which lets it reach all of them.
void queueUpdate(Membership &membership, const GossipUpdate &about)
{
    std::erase_if(membership.m_gossipQueue, [&](const GossipUpdate &old) {
        return old.m_host == about.m_host && old.m_cell == about.m_cell;
    });
    const auto log2Members = static_cast<int>(std::bit_width(membership.m_members.size()));
    GossipUpdate update = about;
    update.m_sendsLeft = std::max(membership.m_timing.m_sendsPerUpdate, 3 * log2Members);
    membership.m_gossipQueue.push_front(update);
}

void setLiveness(Membership &membership, Member &member, Liveness liveness, Millis time)
{
    if (member.m_liveness == liveness)
        return;
    member.m_liveness = liveness;
    member.m_changed = time;
    queueUpdate(membership, {member.m_host, {}, 0});
}

/// Every member is probed once in a random order before any is probed again, which bounds the time
/// to detect a failure.
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

/// Random live members that probe the target in place of this host.
std::vector<Member> pickIndirectProbers(Membership &membership)
{
    std::vector<Member> probers;
    for (const Member &member : liveMembers(membership)) {
        if (member.m_host != membership.m_self && member.m_host != membership.m_probed)
            probers.push_back(member);
    }
    std::minstd_rand random(static_cast<unsigned>(membership.m_seed++));
    std::shuffle(probers.begin(), probers.end(), random);
    const auto limit = static_cast<std::size_t>(membership.m_timing.m_indirectProbers);
    probers.resize(std::min(probers.size(), limit));
    return probers;
}

/// Declares members dead that were suspected for m_suspicionTimeout, and removes those that have
/// been dead for m_deadRetention.
void expireMembers(Membership &membership, Millis time, ProbePlan &plan)
{
    for (auto &[host, member] : membership.m_members) {
        const Millis since = time - member.m_changed;
        if (member.m_liveness != Liveness::Suspect
            || since < membership.m_timing.m_suspicionTimeout)
            continue;
        setLiveness(membership, member, Liveness::Dead, time);
        plan.m_changed.push_back(member);
    }
    std::erase_if(membership.m_members, [&](const auto &entry) {
        return entry.second.m_liveness == Liveness::Dead
            && time - entry.second.m_changed >= membership.m_timing.m_deadRetention;
    });
}

/// Suspects the probed member: no ack arrived within the probe period, neither directly nor through
/// another member.
void probeFailed(Membership &membership, Millis time, ProbePlan &plan)
{
    const auto found = membership.m_members.find(membership.m_probed);
    if (found != membership.m_members.end() && found->second.m_liveness == Liveness::Alive) {
        setLiveness(membership, found->second, Liveness::Suspect, time);
        plan.m_changed.push_back(found->second);
    }
    membership.m_probed = {};
}

/// Order of two states of one member. At the same revision the worse liveness wins; only the member
/// itself can revert that, by raising its revision.
bool isNewer(const Member &reported, const Member &known)
{
    if (reported.m_incarnation != known.m_incarnation)
        return reported.m_incarnation > known.m_incarnation;
    if (reported.m_revision != known.m_revision)
        return reported.m_revision > known.m_revision;
    return reported.m_liveness > known.m_liveness;
}

/// A report on this process that suspects it, declares it dead, or has a higher revision than its
/// own is refuted: the process raises its revision above that one. True if it did.
bool refute(Membership &membership, const Member &reported)
{
    Member &own = self(membership);
    const bool sameIncarnation = reported.m_incarnation == own.m_incarnation;
    const bool contradictsUs
        = reported.m_liveness != Liveness::Alive || reported.m_revision > own.m_revision;
    if (!sameIncarnation || !contradictsUs || reported.m_revision < own.m_revision)
        return false;
    own.m_revision = reported.m_revision + 1;
    queueUpdate(membership, {own.m_host, {}, 0});
    return true;
}

} // namespace

Membership makeMembership(Member member, std::uint64_t seed)
{
    Membership membership;
    membership.m_self = member.m_host;
    membership.m_seed = seed;
    membership.m_members[member.m_host] = std::move(member);
    queueUpdate(membership, {membership.m_self, {}, 0});
    return membership;
}

ProbePlan tickMembership(Membership &membership, Millis time)
{
    ProbePlan plan;
    expireMembers(membership, time, plan);
    const bool waiting = !membership.m_probed.m_text.empty();
    const Millis waited = time - membership.m_probeSent;
    // No ack yet: other members probe the target too, in case only the path from here is broken.
    if (waiting && !membership.m_indirectProbesSent
        && waited >= membership.m_timing.m_probeAckTimeout) {
        membership.m_indirectProbesSent = true;
        const auto target = membership.m_members.find(membership.m_probed);
        if (target != membership.m_members.end()) {
            plan.m_target = target->second;
            plan.m_indirectProbers = pickIndirectProbers(membership);
        }
    }
    if (waited < membership.m_timing.m_probePeriod)
        return plan;
    if (waiting)
        probeFailed(membership, time, plan);
    plan.m_direct = nextToProbe(membership);
    membership.m_probeSent = time;
    if (!plan.m_direct)
        return plan;
    membership.m_probed = plan.m_direct->m_host;
    membership.m_indirectProbesSent = false;
    ++membership.m_probeNumber;
    return plan;
}

void ackReceived(Membership &membership, std::uint64_t probeNumber)
{
    if (probeNumber == membership.m_probeNumber)
        membership.m_probed = {};
}

bool mergeMember(Membership &membership, const Member &reported, Millis time)
{
    if (reported.m_host == membership.m_self)
        return refute(membership, reported);
    const auto found = membership.m_members.find(reported.m_host);
    // A dead member that was removed from the table must not return through a late update.
    if (found == membership.m_members.end() && reported.m_liveness == Liveness::Dead)
        return false;
    if (found != membership.m_members.end() && !isNewer(reported, found->second))
        return false;
    const bool sameLiveness = found != membership.m_members.end()
        && found->second.m_liveness == reported.m_liveness
        && found->second.m_incarnation == reported.m_incarnation;
    const Millis changed = sameLiveness ? found->second.m_changed : time;
    Member &member = membership.m_members[reported.m_host];
    member = reported;
    member.m_changed = changed;
    queueUpdate(membership, {reported.m_host, {}, 0});
    return true;
}

bool mergeClaim(Membership &membership, const CellClaim &claim)
{
    CellClaim &known = membership.m_claims[claim.m_cell];
    if (claim.m_epoch <= known.m_epoch)
        return false;
    known = claim;
    queueUpdate(membership, {{}, claim.m_cell, 0});
    return true;
}

void updateSelf(Membership &membership, const SelfUpdate &update)
{
    Member &own = self(membership);
    assert(update.m_configNumber >= own.m_configNumber
           && "the configuration number must not decrease");
    own.m_leaving = update.m_leaving;
    own.m_configNumber = update.m_configNumber;
    own.m_listNumber = update.m_listNumber;
    ++own.m_revision;
    queueUpdate(membership, {own.m_host, {}, 0});
}

void markDead(Membership &membership, const HostName &host, Incarnation incarnation, Millis time)
{
    const auto found = membership.m_members.find(host);
    if (host == membership.m_self || found == membership.m_members.end())
        return;
    if (found->second.m_incarnation == incarnation)
        setLiveness(membership, found->second, Liveness::Dead, time);
}

GossipBatch takeGossipBatch(Membership &membership)
{
    GossipBatch taken;
    std::deque<GossipUpdate> kept;
    const auto limit = static_cast<std::size_t>(membership.m_timing.m_updatesPerMessage);
    std::size_t count = 0;
    for (GossipUpdate &update : membership.m_gossipQueue) {
        if (count < limit) {
            ++count;
            --update.m_sendsLeft;
            const auto member = membership.m_members.find(update.m_host);
            const auto claim = membership.m_claims.find(update.m_cell);
            if (member != membership.m_members.end())
                taken.m_members.push_back(member->second);
            if (claim != membership.m_claims.end())
                taken.m_claims.push_back(claim->second);
        }
    }
    // The updates that were sent least often go first next time. The sort is stable, so among
    // equals the newest stays in front.
    for (const GossipUpdate &update : membership.m_gossipQueue) {
        if (update.m_sendsLeft > 0)
            kept.push_back(update);
    }
    std::stable_sort(kept.begin(), kept.end(), [](const GossipUpdate &a, const GossipUpdate &b) {
        return a.m_sendsLeft > b.m_sendsLeft;
    });
    membership.m_gossipQueue = std::move(kept);
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
                                 std::size_t homes, const DataCentre &callerDataCentre,
                                 std::size_t limit)
{
    std::vector<Member> ranked = rankMembers(live, key);
    const auto isNear
        = [&](const Member &member) { return member.m_dataCentre == callerDataCentre; };
    const auto homesEnd = ranked.begin()
        + static_cast<std::ptrdiff_t>(std::min(std::max<std::size_t>(homes, 1), ranked.size()));
    std::stable_partition(ranked.begin(), homesEnd, isNear);
    std::stable_partition(homesEnd, ranked.end(), isNear);
    ranked.resize(std::min(ranked.size(), limit));
    return ranked;
}

} // namespace apricot
