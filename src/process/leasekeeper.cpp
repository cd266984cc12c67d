// The lease: taking it, renewing it, giving it back. The rules are in lease.cpp.
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/json.hpp>

namespace apricot {

namespace {

const char *const leaseName = "orders";
constexpr Millis holderSilent = {1'300}; // a holder unheard for so long may be gone
constexpr Millis leaseLook = {100};      // between looks at the lease's state
constexpr Millis releaseTime = {600};    // to give the lease back before the process ends
constexpr Millis startSpread = {400};
constexpr Millis renewalLate = {300};    // a renewal that takes longer: ask the other hosts
constexpr Millis askPause = {250};       // between two asks
constexpr Millis firstTakePause = {200}; // after a try that the store didn't grant
constexpr Millis longestTakePause = {1'600};
constexpr Millis lateWrite = {10'000}; // a write without an answer may be done so late

HostName machineOf(const Gateway &gateway)
{
    return machineOf(gateway.m_settings.m_host, gateway.m_settings.m_peer);
}

boost::json::value writeLease(const LeaseRecord &record)
{
    return boost::json::object{
        {"holder", record.m_holder.m_text}, {"run", record.m_run}, {"number", record.m_fence}};
}

LeaseRecord readLease(const boost::json::value &content)
{
    LeaseRecord record;
    if (!content.is_object())
        return record;
    const auto &fields = content.get_object();
    const auto *holder = fields.if_contains("holder");
    const auto *run = fields.if_contains("run");
    const auto *fence = fields.if_contains("number");
    if (holder && holder->is_string())
        record.m_holder.m_text = std::string(holder->get_string());
    if (run && run->is_string())
        record.m_run = std::string(run->get_string());
    if (fence && fence->is_number())
        record.m_fence = fence->to_number<std::uint64_t>();
    return record;
}

void seeObject(Gateway &gateway, const StoredObject &object)
{
    seeLease(gateway.m_lease, readLease(object.m_content), object.m_revision, now(gateway));
}

/// Writes a record over the one last seen, or creates it.
asio::awaitable<StoreReply> writeRecord(Gateway &gateway, const LeaseRecord &record)
{
    const auto content = writeLease(record);
    HttpRequest request = gateway.m_lease.m_anySeen
        ? gateway.m_protocol->replaceObject(ObjectKind::Lease, leaseName,
                                            gateway.m_lease.m_revision, content)
        : gateway.m_protocol->createObject(ObjectKind::Lease, leaseName, content);
    co_return co_await changeStore(gateway, "lease", std::move(request));
}

asio::awaitable<void> renewLease(Gateway &gateway)
{
    const Millis began = now(gateway);
    // A record that changes nothing would keep its revision: the run tells renewals apart.
    const LeaseRecord record
        = {machineOf(gateway), gateway.m_run + "/" + std::to_string(began.m_count),
           gateway.m_lease.m_fence};
    const StoreReply reply = co_await writeRecord(gateway, record);
    gateway.m_renewing = false;
    if (gateway.m_lease.m_fence != record.m_fence)
        co_return; // lost meanwhile
    if (reply.m_outcome == StoreOutcome::Missing)
        gateway.m_lease.m_anySeen = false;
    if (!reply.m_object)
        co_return;
    if (reply.m_outcome == StoreOutcome::Done) {
        gateway.m_leaseAsk.m_extended = false;
        holdLease(gateway.m_lease, gateway.m_leaseTiming, record, reply.m_object->m_revision, began,
                  now(gateway));
    } else if (reply.m_outcome == StoreOutcome::Conflict) {
        const LeaseRecord other = readLease(reply.m_object->m_content);
        seeObject(gateway, *reply.m_object);
        // The same fence: an earlier renewal of ours whose answer was lost.
        if (other.m_holder != record.m_holder || other.m_fence != record.m_fence)
            loseLease(gateway, "another_record");
    }
}

asio::awaitable<void> takeLease(Gateway &gateway)
{
    const Millis began = now(gateway);
    LeaseRecord record = {machineOf(gateway), gateway.m_run, 1};
    if (gateway.m_lease.m_anySeen)
        record.m_fence = gateway.m_lease.m_seen.m_fence + 1;
    gateway.m_lease.m_doubtUntil = began + lateWrite;
    const StoreReply reply = co_await writeRecord(gateway, record);
    if (reply.m_outcome != StoreOutcome::Unknown)
        gateway.m_lease.m_doubtUntil = began;
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object) {
        gateway.m_placement = HolderState();
        gateway.m_takePause = {};
        holdLease(gateway.m_lease, gateway.m_leaseTiming, record, reply.m_object->m_revision, began,
                  now(gateway));
        gateway.m_holder = gateway.m_settings.m_host;
        gateway.m_holderHeard = now(gateway);
        logEvent("lease_taken",
                 {{"fence", std::to_string(record.m_fence)},
                  {"revision", std::to_string(reply.m_object->m_revision)}});
        beatNow(gateway);
        wake(*gateway.m_planNow);
    } else if (reply.m_outcome == StoreOutcome::Conflict && reply.m_object) {
        seeObject(gateway, *reply.m_object);
    } else if (reply.m_outcome == StoreOutcome::Missing) {
        gateway.m_lease.m_anySeen = false;
    }
}

/// Looks at the record in the store, and notes since when it stands unchanged.
asio::awaitable<void> lookAtLease(Gateway &gateway)
{
    HttpRequest request = gateway.m_protocol->getObject(ObjectKind::Lease, leaseName);
    const StoreReply reply = co_await changeStore(gateway, "lease", std::move(request));
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object)
        seeObject(gateway, *reply.m_object);
    else if (reply.m_outcome == StoreOutcome::Missing)
        gateway.m_lease.m_anySeen = false;
}

bool holderHeard(const Gateway &gateway)
{
    return !gateway.m_holder.m_text.empty() && gateway.m_holder != gateway.m_settings.m_host
        && now(gateway) - gateway.m_holderHeard < holderSilent;
}

/// One step of a host without the lease.
asio::awaitable<void> seekLease(Gateway &gateway)
{
    // Unregistered, the holder could not ask us for a promise.
    const bool mayTake = isReady(gateway) && gateway.m_hostRevision > 0 && !gateway.m_stopping;
    if (!mayTake || holderHeard(gateway))
        co_return;
    if (!gateway.m_lease.m_anySeen) {
        co_await pauseFor(gateway, jittered(gateway, leaseLook));
        co_await lookAtLease(gateway);
        if (!gateway.m_lease.m_anySeen && !holderHeard(gateway))
            co_await takeLease(gateway);
        co_return;
    }
    const Millis at
        = seekAt(gateway.m_lease, gateway.m_leaseTiming, machineOf(gateway), hostRank(gateway));
    if (now(gateway) < std::max(at, gateway.m_nextTake))
        co_return;
    gateway.m_takePause = std::min(gateway.m_takePause * 2 + firstTakePause, longestTakePause);
    gateway.m_nextTake = now(gateway) + jittered(gateway, gateway.m_takePause);
    logEvent("lease_takeable",
             {{"holder", gateway.m_lease.m_seen.m_holder.m_text},
              {"revision", std::to_string(gateway.m_lease.m_revision)}});
    if (co_await isRegistered(gateway) && !holderHeard(gateway))
        co_await takeLease(gateway);
}

/// One step of the holder.
void tendLease(Gateway &gateway)
{
    const Millis time = now(gateway);
    const Millis age = time - (gateway.m_lease.m_validUntil - gateway.m_leaseTiming.m_length);
    if (age >= gateway.m_leaseTiming.m_renew && !gateway.m_renewing) {
        gateway.m_renewing = true;
        begin(gateway, "renew", renewLease(gateway));
    }
    const bool late
        = age >= gateway.m_leaseTiming.m_renew + renewalLate || gateway.m_storeHealth.m_away;
    if (late && time - gateway.m_leaseAsk.m_asked >= askPause)
        askForLease(gateway);
}

} // namespace

void loseLease(Gateway &gateway, const char *why)
{
    if (gateway.m_lease.m_fence == 0)
        return;
    logWarning("lease_lost", {{"fence", std::to_string(gateway.m_lease.m_fence)}, {"why", why}});
    dropLease(gateway.m_lease);
    gateway.m_placement = HolderState();
    if (gateway.m_holder == gateway.m_settings.m_host)
        gateway.m_holder = {};
}

bool holdsLease(const Gateway &gateway)
{
    return mayOrder(gateway.m_lease, gateway.m_leaseTiming, now(gateway));
}

HostName machineOf(const HostName &host, const Endpoint &peer)
{
    return {host.m_text + "@" + peer.m_ip};
}

asio::awaitable<void> keepLease(Gateway &gateway)
{
    // Of the hosts that start at once the last holder comes first, since it need not wait for a
    // turn; the others are spread, so that one writes and the others hear of it.
    co_await lookAtLease(gateway);
    if (!ownsRecord(gateway.m_lease, machineOf(gateway)))
        co_await pauseFor(gateway, jittered(gateway, startSpread));
    while (true) {
        if (gateway.m_lease.m_fence == 0)
            co_await seekLease(gateway);
        else if (!holdsLease(gateway))
            loseLease(gateway, "not_renewed_in_time");
        else
            tendLease(gateway);
        co_await sleepUntilWoken(*gateway.m_leaseNow, leaseLook);
    }
}

asio::awaitable<void> releaseLease(Gateway &gateway)
{
    // With the store away nobody could take it, and callers would wait for nothing.
    const Millis last = stopBy(gateway) - releaseTime;
    while (holdsLease(gateway) && gateway.m_storeHealth.m_away && now(gateway) < last)
        co_await pauseFor(gateway, leaseLook);
    if (gateway.m_lease.m_fence == 0)
        co_return;
    const LeaseRecord record = {{}, gateway.m_run, gateway.m_lease.m_fence};
    loseLease(gateway, "stopping");
    const StoreReply reply = co_await writeRecord(gateway, record);
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object)
        tellRelease(gateway, reply.m_object->m_revision);
    logEvent("lease_released", {{"done", reply.m_outcome == StoreOutcome::Done ? "yes" : "no"}});
}

} // namespace apricot
