// Which host may give orders to model servers: a timed lease in the platform's store.
//
// The holder counts from the moment at which it sent a renewal, a successor from the moment at
// which it saw that renewal: the holder stops first, whatever the network does. Times are on a
// clock that counts suspended time. While the store is away the holder may go on if every other
// host promises to leave the lease alone: nobody who could take it is left.
#include "gateway.h"

#include <algorithm>

namespace apricot {

bool mayOrder(const Lease &lease, const LeaseTiming &timing, Millis time)
{
    return lease.m_fence > 0 && time + timing.m_margin < lease.m_validUntil;
}

void seeLease(Lease &lease, const LeaseRecord &record, std::uint64_t revision, Millis since)
{
    if (lease.m_anySeen && revision <= lease.m_revision)
        return;
    lease.m_anySeen = true;
    lease.m_revision = revision;
    lease.m_seen = record;
    lease.m_seenSince = since;
    lease.m_doubtUntil = {-1'000'000}; // a record of ours would have needed the earlier revision
}

void seeRelease(Lease &lease, const std::string &run, std::uint64_t revision, Millis time)
{
    if (!lease.m_anySeen)
        return;
    seeLease(lease, {{}, run, lease.m_seen.m_fence}, revision, time);
}

bool promiseLease(Lease &lease, std::uint64_t fence, Millis time)
{
    const bool newerSeen = lease.m_anySeen && lease.m_seen.m_fence > fence;
    if (newerSeen || lease.m_fence > 0 || time < lease.m_doubtUntil)
        return false;
    lease.m_promisedAt = time;
    return true;
}

void extendLease(Lease &lease, const LeaseTiming &timing, Millis asked)
{
    lease.m_validUntil = std::max(lease.m_validUntil, asked + timing.m_length);
}

Millis takeableAt(const Lease &lease, const LeaseTiming &timing, const HostName &self)
{
    const Millis wait = timing.m_length + timing.m_turn + timing.m_margin;
    const Millis promised = lease.m_promisedAt + wait;
    if (!lease.m_anySeen || lease.m_seen.m_holder == self)
        return std::max(lease.m_seenSince, promised);
    if (lease.m_seen.m_holder.m_text.empty()) // released: its last order was before that
        return std::max(lease.m_seenSince + timing.m_turn + timing.m_margin, promised);
    return std::max(lease.m_seenSince + wait, promised);
}

bool ownsRecord(const Lease &lease, const HostName &self)
{
    return lease.m_anySeen && lease.m_seen.m_holder == self;
}

Millis seekAt(const Lease &lease, const LeaseTiming &timing, const HostName &self, int rank)
{
    constexpr Millis seekTurn = {150}; // a write to the store and the beat that tells of it
    const Millis at = takeableAt(lease, timing, self);
    return ownsRecord(lease, self) ? at : at + seekTurn * rank;
}

void holdLease(Lease &lease, const LeaseTiming &timing, const LeaseRecord &record,
               std::uint64_t revision, Millis began, Millis time)
{
    lease.m_anySeen = true;
    lease.m_revision = revision;
    lease.m_seen = record;
    lease.m_seenSince = time;
    lease.m_fence = record.m_fence;
    lease.m_validUntil = began + timing.m_length;
}

void dropLease(Lease &lease)
{
    lease.m_fence = 0;
    lease.m_validUntil = {};
}

} // namespace apricot
