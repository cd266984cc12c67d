// The rules of the lease that decides which host may send orders to model servers. The lease is a
// record in the platform's store, valid for a limited time.
//
// The holder counts the lease's duration from the time at which it sent a renewal, a successor from
// the time at which it saw that renewal. So the holder stops first, however long messages are
// delayed. All times are on a clock that also counts the time during which the machine is
// suspended. During a store outage the holder may continue if every other host grants it an
// extension: then no host is left that could take the lease over.
#include "gateway.h"

#include <algorithm>

namespace apricot {

namespace {

/// Records the fencing token of the record last seen.
void learnToken(Lease &lease, std::uint64_t fencingToken)
{
    lease.m_lastSeenRecord.m_fencingToken = fencingToken;
    lease.m_highestToken = std::max(lease.m_highestToken, fencingToken);
    lease.m_tokenUnknown = false;
}

} // namespace

std::string positionText(std::uint64_t position)
{
    const std::string revision = std::to_string(storeRevision(position));
    return storeEra(position) == 0 ? revision : std::to_string(storeEra(position)) + "/" + revision;
}

bool mayOrder(const Lease &lease, const LeaseTiming &timing, Millis time)
{
    return lease.m_fencingToken > 0 && time + timing.m_safetyMargin < lease.m_validUntil;
}

void observeLease(Lease &lease, const LeaseRecord &record, std::uint64_t revision, Millis since)
{
    if (lease.m_recordSeen && revision <= lease.m_revision) {
        if (lease.m_tokenUnknown && revision == lease.m_revision)
            learnToken(lease, record.m_fencingToken);
        return;
    }
    // An unanswered write of this host was conditional on the earlier revision, so the store can no
    // longer apply it, unless it gives that revision out again in a later era.
    if (!lease.m_recordSeen || storeEra(revision) == storeEra(lease.m_revision))
        lease.m_unconfirmedWriteUntil = {-1'000'000};
    lease.m_recordSeen = true;
    lease.m_recordLost = false;
    lease.m_revision = revision;
    lease.m_lastSeenRecord = record;
    lease.m_recordSeenSince = since;
    learnToken(lease, record.m_fencingToken);
}

void observeMissingLease(Lease &lease, std::uint64_t era, Millis time)
{
    constexpr std::uint64_t firstEra = 1; // of a store that never came back from a copy
    if (lease.m_recordLost && era == lease.m_missingEra)
        return;
    lease.m_missingEra = era;
    lease.m_recordLost = lease.m_recordSeen || lease.m_highestToken > 0 || era > firstEra;
    lease.m_missingSince = time;
    lease.m_recordSeen = false;
}

bool isFromCopy(const LeaseRecord &record, std::uint64_t position)
{
    return record.m_storeEra != storeEra(position);
}

std::uint64_t nextFencingToken(const Lease &lease, std::uint64_t era)
{
    constexpr std::uint64_t tokensPerEra = 1'000'000; // more than there are takeovers in one era
    return std::max(lease.m_highestToken, era * tokensPerEra) + 1;
}

bool applyLeaseWrite(Lease &lease, const LeaseTiming &timing, const LeaseWrite &write,
                     const LeaseWriteResult &result, Millis time)
{
    const bool sameEra = storeEra(write.m_over) == storeEra(result.m_position);
    if (result.m_done && sameEra) {
        confirmLease(lease, timing, write.m_record, result.m_position, write.m_began, time);
        return true;
    }
    observeLease(lease, result.m_inStore, result.m_position, time);
    if (result.m_done)
        return false;
    // The same holder and fencing token: an earlier renewal of this host whose answer was lost.
    const bool own = result.m_inStore.m_holder == write.m_record.m_holder
        && result.m_inStore.m_fencingToken == write.m_record.m_fencingToken;
    return own || isFromCopy(result.m_inStore, result.m_position);
}

void observeRelease(Lease &lease, const LeaseRelease &release, Millis time)
{
    if (!lease.m_recordSeen || release.m_position <= lease.m_revision)
        return;
    const LeaseRecord record
        = {{}, release.m_run, release.m_fencingToken, storeEra(release.m_position)};
    observeLease(lease, record, release.m_position, time);
    lease.m_tokenUnknown = release.m_fencingToken == 0;
}

bool grantExtension(Lease &lease, std::uint64_t fencingToken, Millis time)
{
    const bool newerSeen
        = lease.m_recordSeen && lease.m_lastSeenRecord.m_fencingToken > fencingToken;
    if (newerSeen || lease.m_fencingToken > 0 || time < lease.m_unconfirmedWriteUntil)
        return false;
    lease.m_extensionGrantedAt = time;
    return true;
}

void extendLease(Lease &lease, const LeaseTiming &timing, Millis requestedAt)
{
    lease.m_validUntil = std::max(lease.m_validUntil, requestedAt + timing.m_leaseDuration);
}

Millis takeoverAllowedAt(const Lease &lease, const LeaseTiming &timing, const HostName &self)
{
    const Millis takeoverWait
        = timing.m_leaseDuration + timing.m_handoverDelay + timing.m_safetyMargin;
    const Millis extensionEnd = lease.m_extensionGrantedAt + takeoverWait;
    if (!lease.m_recordSeen) {
        const Millis lostEnd = lease.m_recordLost ? lease.m_missingSince + takeoverWait : Millis{0};
        return std::max({lease.m_recordSeenSince, lostEnd, extensionEnd});
    }
    if (wasLastHolder(lease, self))
        return std::max(lease.m_recordSeenSince, extensionEnd);
    // An empty holder means released, and the release was written after the holder's last order.
    if (lease.m_lastSeenRecord.m_holder.m_text.empty()
        && !isFromCopy(lease.m_lastSeenRecord, lease.m_revision))
        return std::max(lease.m_recordSeenSince + timing.m_handoverDelay + timing.m_safetyMargin,
                        extensionEnd);
    return std::max(lease.m_recordSeenSince + takeoverWait, extensionEnd);
}

bool wasLastHolder(const Lease &lease, const HostName &self)
{
    return lease.m_recordSeen && lease.m_lastSeenRecord.m_holder == self
        && !isFromCopy(lease.m_lastSeenRecord, lease.m_revision);
}

Millis takeoverAttemptAt(const Lease &lease, const LeaseTiming &timing, const HostName &self,
                         int rank, Millis headStart)
{
    // Time for a write to the store and for the heartbeat that informs the other hosts of it.
    constexpr Millis rankDelay = {150};
    const Millis allowedAt = takeoverAllowedAt(lease, timing, self);
    return wasLastHolder(lease, self) ? allowedAt : allowedAt + headStart + rankDelay * rank;
}

void confirmLease(Lease &lease, const LeaseTiming &timing, const LeaseRecord &record,
                  std::uint64_t revision, Millis began, Millis time)
{
    lease.m_recordSeen = true;
    lease.m_revision = revision;
    lease.m_lastSeenRecord = record;
    lease.m_recordSeenSince = time;
    lease.m_fencingToken = record.m_fencingToken;
    learnToken(lease, record.m_fencingToken);
    lease.m_recordLost = false;
    lease.m_validUntil = began + timing.m_leaseDuration;
}

void dropLease(Lease &lease)
{
    lease.m_fencingToken = 0;
    lease.m_validUntil = {};
}

} // namespace apricot
