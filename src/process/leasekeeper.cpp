// Runs the lease on one host: takes it over, renews it, requests extensions from the other hosts
// and releases it. The rules are in lease.cpp.
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/json.hpp>

namespace apricot {

namespace {

/// Name of the lease record in the store.
const char *const leaseObjectName = "orders";
/// Without a heartbeat for longer than this the holder may be gone.
constexpr Millis holderSilenceLimit = {1'300};
constexpr Millis leasePollInterval = {100}; // between two steps of the lease loop
/// Kept free at the end of a planned stop for releasing the lease.
constexpr Millis releaseTimeReserve = {600};
constexpr Millis startupSpread = {400}; // mean delay of the first step, except on the last holder
/// A renewal unanswered for longer than this makes the holder request an extension.
constexpr Millis renewalOverdueAfter = {300};
constexpr Millis initialTakeoverBackoff = {200};
constexpr Millis maxTakeoverBackoff = {1'600};
/// A write to the store whose answer is missing may still be applied up to this long after it was
/// sent.
constexpr Millis lateWriteWindow = {10'000};

HostName machineIdentity(const Gateway &gateway)
{
    return machineIdentity(gateway.m_settings.m_host, gateway.m_settings.m_peer);
}

boost::json::value encodeLeaseRecord(const LeaseRecord &record)
{
    return boost::json::object{{"holder", record.m_holder.m_text},
                               {"run", record.m_run},
                               {"number", record.m_fencingToken}};
}

LeaseRecord decodeLeaseRecord(const boost::json::value &content)
{
    LeaseRecord record;
    if (!content.is_object())
        return record;
    const auto &fields = content.get_object();
    const auto *holder = fields.if_contains("holder");
    const auto *run = fields.if_contains("run");
    const auto *fencingToken = fields.if_contains("number");
    if (holder && holder->is_string())
        record.m_holder.m_text = std::string(holder->get_string());
    if (run && run->is_string())
        record.m_run = std::string(run->get_string());
    if (fencingToken && fencingToken->is_number())
        record.m_fencingToken = fencingToken->to_number<std::uint64_t>();
    return record;
}

void observeStoredRecord(Gateway &gateway, const StoredObject &object)
{
    observeLease(gateway.m_lease, decodeLeaseRecord(object.m_content), object.m_revision,
                 now(gateway));
}

/// Replaces the lease record, provided that it still has the revision last seen, or creates it.
asio::awaitable<StoreReply> writeLeaseRecord(Gateway &gateway, const LeaseRecord &record)
{
    const auto content = encodeLeaseRecord(record);
    HttpRequest request = gateway.m_lease.m_recordSeen
        ? gateway.m_protocol->replaceObject(ObjectKind::Lease, leaseObjectName,
                                            gateway.m_lease.m_revision, content)
        : gateway.m_protocol->createObject(ObjectKind::Lease, leaseObjectName, content);
    co_return co_await requestStoreObject(gateway, "lease", std::move(request));
}

asio::awaitable<void> renewLease(Gateway &gateway)
{
    const Millis began = now(gateway);
    // The store keeps the revision of a record that is replaced by an equal one, and the other
    // hosts see a renewal only by a new revision. So the "run" field contains the time of the
    // renewal.
    const LeaseRecord record
        = {machineIdentity(gateway), gateway.m_run + "/" + std::to_string(began.m_count),
           gateway.m_lease.m_fencingToken};
    const StoreReply reply = co_await writeLeaseRecord(gateway, record);
    gateway.m_renewing = false;
    if (gateway.m_lease.m_fencingToken != record.m_fencingToken)
        co_return; // the lease was lost while the renewal was under way
    if (reply.m_outcome == StoreOutcome::Missing)
        gateway.m_lease.m_recordSeen = false;
    if (!reply.m_object)
        co_return;
    if (reply.m_outcome == StoreOutcome::Done) {
        gateway.m_extensionRequest.m_extendedByHosts = false;
        confirmLease(gateway.m_lease, gateway.m_leaseTiming, record, reply.m_object->m_revision,
                     began, now(gateway));
    } else if (reply.m_outcome == StoreOutcome::Conflict) {
        const LeaseRecord other = decodeLeaseRecord(reply.m_object->m_content);
        observeStoredRecord(gateway, *reply.m_object);
        // The same holder and fencing token: an earlier renewal of this host whose answer was lost.
        if (other.m_holder != record.m_holder || other.m_fencingToken != record.m_fencingToken)
            loseLease(gateway, "replaced_by_another_holder");
    }
}

asio::awaitable<void> takeLease(Gateway &gateway)
{
    const Millis began = now(gateway);
    LeaseRecord record = {machineIdentity(gateway), gateway.m_run, 1};
    if (gateway.m_lease.m_recordSeen)
        record.m_fencingToken = gateway.m_lease.m_lastSeenRecord.m_fencingToken + 1;
    gateway.m_lease.m_unconfirmedWriteUntil = began + lateWriteWindow;
    const StoreReply reply = co_await writeLeaseRecord(gateway, record);
    if (reply.m_outcome != StoreOutcome::Unknown)
        gateway.m_lease.m_unconfirmedWriteUntil = began;
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object) {
        gateway.m_placement = HolderState();
        gateway.m_takeoverBackoff = {};
        confirmLease(gateway.m_lease, gateway.m_leaseTiming, record, reply.m_object->m_revision,
                     began, now(gateway));
        gateway.m_holder = gateway.m_settings.m_host;
        gateway.m_holderHeartbeatAt = now(gateway);
        logEvent("lease_taken",
                 {{"fence", std::to_string(record.m_fencingToken)},
                  {"revision", std::to_string(reply.m_object->m_revision)}});
        broadcastHeartbeat(gateway);
        wake(*gateway.m_planTrigger);
    } else if (reply.m_outcome == StoreOutcome::Conflict && reply.m_object) {
        observeStoredRecord(gateway, *reply.m_object);
    } else if (reply.m_outcome == StoreOutcome::Missing) {
        gateway.m_lease.m_recordSeen = false;
    }
}

/// Reads the lease record from the store. The waiting time before a takeover counts from the time
/// at which its current revision was first seen.
asio::awaitable<void> fetchLeaseRecord(Gateway &gateway)
{
    HttpRequest request = gateway.m_protocol->getObject(ObjectKind::Lease, leaseObjectName);
    const StoreReply reply = co_await requestStoreObject(gateway, "lease", std::move(request));
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object)
        observeStoredRecord(gateway, *reply.m_object);
    else if (reply.m_outcome == StoreOutcome::Missing)
        gateway.m_lease.m_recordSeen = false;
}

/// Whether another host holds the lease, as its recent heartbeat shows.
bool isOtherHolderAlive(const Gateway &gateway)
{
    return !gateway.m_holder.m_text.empty() && gateway.m_holder != gateway.m_settings.m_host
        && now(gateway) - gateway.m_holderHeartbeatAt < holderSilenceLimit;
}

/// One step of a host without the lease: takes it over if the rules allow that.
asio::awaitable<void> stepAsCandidate(Gateway &gateway)
{
    // A holder requests extensions only from registered hosts: a takeover by an unregistered one
    // could coincide with an extension that all registered hosts granted.
    const bool isCandidate
        = isReady(gateway) && gateway.m_hostEntryRevision > 0 && !gateway.m_stopping;
    if (!isCandidate || isOtherHolderAlive(gateway))
        co_return;
    if (!gateway.m_lease.m_recordSeen) {
        co_await pauseFor(gateway, jittered(gateway, leasePollInterval));
        co_await fetchLeaseRecord(gateway);
        if (!gateway.m_lease.m_recordSeen && !isOtherHolderAlive(gateway))
            co_await takeLease(gateway);
        co_return;
    }
    const Millis attemptAt = takeoverAttemptAt(gateway.m_lease, gateway.m_leaseTiming,
                                               machineIdentity(gateway), hostRank(gateway));
    if (now(gateway) < std::max(attemptAt, gateway.m_nextTakeoverAt))
        co_return;
    gateway.m_takeoverBackoff
        = std::min(gateway.m_takeoverBackoff * 2 + initialTakeoverBackoff, maxTakeoverBackoff);
    gateway.m_nextTakeoverAt = now(gateway) + jittered(gateway, gateway.m_takeoverBackoff);
    logEvent("lease_takeable",
             {{"holder", gateway.m_lease.m_lastSeenRecord.m_holder.m_text},
              {"revision", std::to_string(gateway.m_lease.m_revision)}});
    if (co_await verifyRegistration(gateway) && !isOtherHolderAlive(gateway))
        co_await takeLease(gateway);
}

/// One step of the holder: renews the lease when due. If the store fails to answer, requests an
/// extension from the other hosts.
void stepAsHolder(Gateway &gateway)
{
    const Millis time = now(gateway);
    const Millis age
        = time - (gateway.m_lease.m_validUntil - gateway.m_leaseTiming.m_leaseDuration);
    if (age >= gateway.m_leaseTiming.m_renewInterval && !gateway.m_renewing) {
        gateway.m_renewing = true;
        begin(gateway, "renew", renewLease(gateway));
    }
    const bool overdue = age >= gateway.m_leaseTiming.m_renewInterval + renewalOverdueAfter
        || gateway.m_storeHealth.m_unavailable;
    if (overdue)
        requestExtension(gateway);
}

} // namespace

void loseLease(Gateway &gateway, const char *why)
{
    if (gateway.m_lease.m_fencingToken == 0)
        return;
    logWarning("lease_lost",
               {{"fence", std::to_string(gateway.m_lease.m_fencingToken)}, {"why", why}});
    dropLease(gateway.m_lease);
    gateway.m_placement = HolderState();
    // Grants that still arrive were for the lease that ended.
    const std::uint64_t lastNumber = gateway.m_extensionRequest.m_number;
    gateway.m_extensionRequest = ExtensionRequest();
    gateway.m_extensionRequest.m_number = lastNumber;
    if (gateway.m_holder == gateway.m_settings.m_host)
        gateway.m_holder = {};
}

bool holdsLease(const Gateway &gateway)
{
    return mayOrder(gateway.m_lease, gateway.m_leaseTiming, now(gateway));
}

HostName machineIdentity(const HostName &host, const Endpoint &peer)
{
    return {host.m_text + "@" + peer.m_ip};
}

asio::awaitable<void> maintainLease(Gateway &gateway)
{
    // When all hosts start at the same time the last holder tries first, since it need not wait for
    // expiry and handover delay. The others start after random delays, so that one of them writes
    // the record and a heartbeat informs the rest of it.
    co_await fetchLeaseRecord(gateway);
    if (!wasLastHolder(gateway.m_lease, machineIdentity(gateway)))
        co_await pauseFor(gateway, jittered(gateway, startupSpread));
    while (true) {
        if (gateway.m_lease.m_fencingToken == 0)
            co_await stepAsCandidate(gateway);
        else if (!holdsLease(gateway))
            loseLease(gateway, "not_renewed_in_time");
        else
            stepAsHolder(gateway);
        co_await sleepUntilWoken(*gateway.m_leaseTrigger, leasePollInterval);
    }
}

asio::awaitable<void> releaseLease(Gateway &gateway)
{
    // During a store outage no other host can take the lease over: if this host released it, no
    // host could order the loads that callers wait for.
    const Millis releaseAt = stopDeadline(gateway) - releaseTimeReserve;
    while (holdsLease(gateway) && gateway.m_storeHealth.m_unavailable && now(gateway) < releaseAt)
        co_await pauseFor(gateway, leasePollInterval);
    if (gateway.m_lease.m_fencingToken == 0)
        co_return;
    const LeaseRecord record = {{}, gateway.m_run, gateway.m_lease.m_fencingToken};
    loseLease(gateway, "stopping");
    const StoreReply reply = co_await writeLeaseRecord(gateway, record);
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object)
        broadcastRelease(gateway, reply.m_object->m_revision);
    logEvent("lease_released", {{"done", reply.m_outcome == StoreOutcome::Done ? "yes" : "no"}});
}

} // namespace apricot
