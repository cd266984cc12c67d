// Which host may give orders to model servers: a timed lease in the platform's store.
//
// The holder counts from the moment at which it sent a renewal, a successor from the moment at
// which it saw that renewal: the holder stops first, whatever the network does. Times are on a
// clock that counts suspended time.
#include "gateway.h"

namespace apricot {

bool mayOrder(const Lease &lease, const LeaseTiming &timing, Millis time)
{
    return lease.m_fence > 0 && time + timing.m_margin < lease.m_validUntil;
}

void seeLease(Lease &lease, const LeaseRecord &record, std::uint64_t revision, Millis time)
{
    if (lease.m_anySeen && lease.m_revision == revision)
        return;
    lease.m_anySeen = true;
    lease.m_revision = revision;
    lease.m_seen = record;
    lease.m_seenSince = time;
}

Millis takeableAt(const Lease &lease, const LeaseTiming &timing, const HostName &self)
{
    if (!lease.m_anySeen || lease.m_seen.m_holder == self)
        return lease.m_seenSince;
    if (lease.m_seen.m_holder.m_text.empty()) // released: its last order was before that
        return lease.m_seenSince + timing.m_turn + timing.m_margin;
    return lease.m_seenSince + timing.m_length + timing.m_turn + timing.m_margin;
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
