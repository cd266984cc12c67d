// Runs the lease on one host: takes it over, renews it, requests extensions from the other hosts
// and releases it. The rules are in lease.cpp.
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/json.hpp>

namespace apricot {

namespace {

/// Name of the lease record in the store.
/// Without a heartbeat for longer than this the holder may be gone.
constexpr Millis holderSilenceLimit = {1'300};
constexpr Millis leasePollInterval = {100}; // between two steps of the lease loop
/// Kept free at the end of a planned stop for releasing the lease.
constexpr Millis releaseTimeReserve = {600};
constexpr Millis startupSpread = {400}; // mean delay of the first step, except on the last holder
/// Between the start of the first hosts and the first lease: by then the register lists all hosts.
constexpr Millis firstLeaseWait = {2'000};
/// A host waits so much longer for a free lease if the register has larger ones: the work of the
/// holder fills a small host, which serves callers besides.
constexpr Millis largerHostsHeadStart = {1'000};
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
                               {"number", record.m_fencingToken},
                               {"store-era", record.m_storeEra}};
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
    const auto *storeEra = fields.if_contains("store-era");
    if (holder && holder->is_string())
        record.m_holder.m_text = std::string(holder->get_string());
    if (run && run->is_string())
        record.m_run = std::string(run->get_string());
    if (fencingToken && fencingToken->is_number())
        record.m_fencingToken = fencingToken->to_number<std::uint64_t>();
    if (storeEra && storeEra->is_number())
        record.m_storeEra = storeEra->to_number<std::uint64_t>();
    return record;
}

void observeStoredRecord(Gateway &gateway, const StoredObject &object)
{
    observeLease(gateway.m_lease, decodeLeaseRecord(object.m_content), object.m_revision,
                 now(gateway));
}

/// Reads the lease record from the store. The waiting time before a takeover counts from the time
/// at which its current revision, or its absence, was first seen.
asio::awaitable<void> fetchLeaseRecord(Gateway &gateway)
{
    HttpRequest request = gateway.m_protocol->getObject(ObjectKind::Lease, leaseObjectName);
    const StoreReply reply = co_await requestStoreObject(gateway, "lease", std::move(request));
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object)
        observeStoredRecord(gateway, *reply.m_object);
    else if (reply.m_outcome == StoreOutcome::Missing)
        observeMissingLease(gateway.m_lease, reply.m_era, now(gateway));
}

/// Whether what this host knows of the lease record is from before the store came back from a copy.
bool knowsOlderEraOnly(const Gateway &gateway)
{
    return gateway.m_lease.m_recordSeen
        && storeEra(gateway.m_lease.m_revision) < gateway.m_storeEra.value_or(0);
}

/// A write of the lease record, and the store's answer.
struct SentLeaseWrite
{
    LeaseWrite m_write;
    StoreReply m_reply;
};

/// Replaces the lease record, provided that it still has the revision last seen, or creates it.
asio::awaitable<SentLeaseWrite> sendLeaseRecord(Gateway &gateway, LeaseRecord record)
{
    Lease &lease = gateway.m_lease;
    SentLeaseWrite sent;
    sent.m_write.m_began = now(gateway);
    sent.m_write.m_over
        = lease.m_recordSeen ? lease.m_revision : storePosition(gateway.m_storeEra.value_or(0), 0);
    record.m_storeEra = storeEra(sent.m_write.m_over);
    sent.m_write.m_record = record;
    const auto content = encodeLeaseRecord(record);
    HttpRequest request = lease.m_recordSeen
        ? gateway.m_protocol->replaceObject(ObjectKind::Lease, leaseObjectName, lease.m_revision,
                                            content)
        : gateway.m_protocol->createObject(ObjectKind::Lease, leaseObjectName, content);
    sent.m_reply = co_await requestStoreObject(gateway, "lease", std::move(request));
    if (sent.m_reply.m_outcome == StoreOutcome::Missing)
        observeMissingLease(lease, sent.m_reply.m_era, now(gateway));
    co_return sent;
}

/// Writes the lease record and takes over the result. Returns false if it shows that this host
/// doesn't hold the lease, nothing if there is no result or the lease was lost meanwhile.
asio::awaitable<std::optional<bool>> writeLeaseRecord(Gateway &gateway, LeaseRecord record)
{
    const SentLeaseWrite sent = co_await sendLeaseRecord(gateway, record);
    Lease &lease = gateway.m_lease;
    const StoreReply &reply = sent.m_reply;
    if (reply.m_outcome != StoreOutcome::Unknown)
        lease.m_unconfirmedWriteUntil
            = std::min(lease.m_unconfirmedWriteUntil, sent.m_write.m_began);
    const bool answered
        = reply.m_outcome == StoreOutcome::Done || reply.m_outcome == StoreOutcome::Conflict;
    const bool stillValid
        = lease.m_fencingToken == 0 || lease.m_fencingToken == record.m_fencingToken;
    if (!answered || !reply.m_object || !stillValid)
        co_return std::nullopt;
    LeaseWriteResult result;
    result.m_done = reply.m_outcome == StoreOutcome::Done;
    result.m_inStore
        = result.m_done ? sent.m_write.m_record : decodeLeaseRecord(reply.m_object->m_content);
    result.m_position = reply.m_object->m_revision;
    co_return applyLeaseWrite(lease, gateway.m_leaseTiming, sent.m_write, result, now(gateway));
}

/// Renews this host's lease. After the store came back from a copy, the record is read first: the
/// lease stays valid, but its record has to be written over what the copy has.
asio::awaitable<void> renewLease(Gateway &gateway)
{
    const std::uint64_t fencingToken = gateway.m_lease.m_fencingToken;
    if (knowsOlderEraOnly(gateway))
        co_await fetchLeaseRecord(gateway);
    const bool held = gateway.m_lease.m_fencingToken == fencingToken && holdsLease(gateway);
    if (!held) {
        gateway.m_renewing = false;
        co_return; // the lease was lost while the record was read
    }
    // The store keeps the revision of a record that is replaced by an equal one, and the other
    // hosts see a renewal only by a new revision. So the "run" field contains the time of the
    // renewal.
    const LeaseRecord record
        = {machineIdentity(gateway), gateway.m_run + "/" + std::to_string(now(gateway).m_count),
           fencingToken};
    const auto holds = co_await writeLeaseRecord(gateway, record);
    gateway.m_renewing = false;
    if (!holds || gateway.m_lease.m_fencingToken != fencingToken)
        co_return; // no result, or the lease was lost while the renewal was under way
    if (*holds)
        gateway.m_extensionRequest.m_extendedByHosts = false;
    else
        loseLease(gateway, "replaced_by_another_holder");
}

/// Discards what belongs to one lease. Updates of an earlier one would contradict its successor's.
void discardHolderState(Gateway &gateway)
{
    gateway.m_placement = HolderState();
    gateway.m_statusUpdates = StatusUpdates();
}

asio::awaitable<void> takeLease(Gateway &gateway)
{
    const LeaseRecord record = {machineIdentity(gateway), gateway.m_run,
                                nextFencingToken(gateway.m_lease, gateway.m_storeEra.value_or(0))};
    gateway.m_lease.m_unconfirmedWriteUntil = now(gateway) + lateWriteWindow;
    co_await writeLeaseRecord(gateway, record);
    if (gateway.m_lease.m_fencingToken != record.m_fencingToken)
        co_return;
    discardHolderState(gateway);
    gateway.m_takeoverBackoff = {};
    gateway.m_holder = gateway.m_settings.m_host;
    gateway.m_holderHeartbeatAt = now(gateway);
    logEvent("lease_taken",
             {{"fence", std::to_string(record.m_fencingToken)},
              {"revision", positionText(gateway.m_lease.m_revision)}});
    broadcastHeartbeat(gateway);
    wake(*gateway.m_planTrigger);
}

/// Whether another host holds the lease, as its recent heartbeat shows.
bool isOtherHolderAlive(const Gateway &gateway)
{
    return !gateway.m_holder.m_text.empty() && gateway.m_holder != gateway.m_settings.m_host
        && now(gateway) - gateway.m_holderHeartbeatAt < holderSilenceLimit;
}

/// Whether no host has held a lease yet and the register may still lack larger hosts: the machines
/// of a system start at about the same time.
bool waitsForLargerHosts(const Gateway &gateway)
{
    if (gateway.m_settings.m_capacity.m_cores == 0 || gateway.m_lease.m_recordSeen)
        return false;
    const Millis wait
        = hasLargerHost(gateway) ? firstLeaseWait + largerHostsHeadStart : firstLeaseWait;
    return now(gateway) < *gateway.m_candidateSince + wait;
}

/// Whether this host can't order anything, but another one that it hears of perhaps can.
bool leavesLeaseToOthers(const Gateway &gateway)
{
    if (!isCutFromModelServers(gateway))
        return false;
    const auto &unreachable = gateway.m_paths.m_unreachable;
    return std::any_of(gateway.m_peers.begin(), gateway.m_peers.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        const bool reachesOne
            = std::any_of(unreachable.begin(), unreachable.end(), [&](const auto &service) {
                  return !peer.m_unreachableServices.contains(serviceHash(service.first));
              });
        return peer.m_ready && isPeerAlive(gateway, peer) && reachesOne;
    });
}

/// One step of a host without the lease: takes it over if the rules allow that.
asio::awaitable<void> stepAsCandidate(Gateway &gateway)
{
    // A holder requests extensions only from registered hosts: a takeover by an unregistered one
    // could coincide with an extension that all registered hosts granted.
    const bool isCandidate
        = isReady(gateway) && gateway.m_hostEntryRevision > 0 && !gateway.m_stopping;
    if (!isCandidate || isOtherHolderAlive(gateway) || leavesLeaseToOthers(gateway))
        co_return;
    if (!gateway.m_candidateSince)
        gateway.m_candidateSince = now(gateway);
    if (waitsForLargerHosts(gateway))
        co_return;
    if (knowsOlderEraOnly(gateway)) {
        co_await fetchLeaseRecord(gateway);
        co_return;
    }
    if (!gateway.m_lease.m_recordSeen) {
        // While a lost record delays the takeover, a holder that writes it again is heard of by its
        // heartbeats, without a call to the store.
        const bool mustWait = gateway.m_lease.m_recordLost
            && now(gateway) < takeoverAllowedAt(gateway.m_lease, gateway.m_leaseTiming,
                                                machineIdentity(gateway));
        if (mustWait)
            co_return;
        co_await pauseFor(gateway, jittered(gateway, leasePollInterval));
        co_await fetchLeaseRecord(gateway);
        const Millis allowedAt
            = takeoverAllowedAt(gateway.m_lease, gateway.m_leaseTiming, machineIdentity(gateway));
        if (!gateway.m_lease.m_recordSeen && now(gateway) >= allowedAt
            && !isOtherHolderAlive(gateway))
            co_await takeLease(gateway);
        co_return;
    }
    const Millis headStart = hasLargerHost(gateway) ? largerHostsHeadStart : Millis{0};
    const Millis attemptAt
        = takeoverAttemptAt(gateway.m_lease, gateway.m_leaseTiming, machineIdentity(gateway),
                            hostRank(gateway), headStart);
    if (now(gateway) < std::max(attemptAt, gateway.m_nextTakeoverAt))
        co_return;
    gateway.m_takeoverBackoff
        = std::min(gateway.m_takeoverBackoff * 2 + initialTakeoverBackoff, maxTakeoverBackoff);
    gateway.m_nextTakeoverAt = now(gateway) + jittered(gateway, gateway.m_takeoverBackoff);
    logEvent("lease_takeable",
             {{"holder", gateway.m_lease.m_lastSeenRecord.m_holder.m_text},
              {"revision", positionText(gateway.m_lease.m_revision)}});
    if (gateway.m_lease.m_tokenUnknown) {
        co_await fetchLeaseRecord(gateway);
        co_return; // the next attempt knows the token, or that another host took the lease
    }
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
    discardHolderState(gateway);
    // Grants that still arrive were for the lease that ended.
    const std::uint64_t lastNumber = gateway.m_extensionRequest.m_number;
    gateway.m_extensionRequest = ExtensionRequest();
    gateway.m_extensionRequest.m_number = lastNumber;
    if (gateway.m_holder == gateway.m_settings.m_host)
        gateway.m_holder = {};
}

namespace {

/// Ends this host's lease and writes that it is free.
asio::awaitable<void> writeRelease(Gateway &gateway, const char *why)
{
    const LeaseRecord record = {{}, gateway.m_run, gateway.m_lease.m_fencingToken};
    loseLease(gateway, why);
    const SentLeaseWrite sent = co_await sendLeaseRecord(gateway, record);
    const auto &object = sent.m_reply.m_object;
    const bool done = sent.m_reply.m_outcome == StoreOutcome::Done && object
        && storeEra(object->m_revision) == storeEra(sent.m_write.m_over);
    if (done)
        broadcastRelease(gateway, object->m_revision, record.m_fencingToken);
    logEvent("lease_released", {{"done", done ? "yes" : "no"}});
}

} // namespace

bool holdsLease(const Gateway &gateway)
{
    return mayOrder(gateway.m_lease, gateway.m_leaseTiming, now(gateway));
}

HostName machineIdentity(const HostName &host, const Endpoint &peer)
{
    return {host.m_text + "@" + peer.m_ip};
}

asio::awaitable<void> stepLease(Gateway &gateway)
{
    if (gateway.m_lease.m_fencingToken == 0)
        co_await stepAsCandidate(gateway);
    else if (!holdsLease(gateway))
        loseLease(gateway, "not_renewed_in_time");
    else if (leavesLeaseToOthers(gateway) && !gateway.m_storeHealth.m_unavailable)
        co_await writeRelease(gateway, "reaches_no_model_server");
    else
        stepAsHolder(gateway);
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
        co_await stepLease(gateway);
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
    if (gateway.m_lease.m_fencingToken != 0)
        co_await writeRelease(gateway, "stopping");
}

} // namespace apricot
