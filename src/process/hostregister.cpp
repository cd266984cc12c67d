// The register of hosts in the store: every host that serves callers has an entry there.
#include "process/accountgate.h"
#include "process/heartbeat.h"
#include "process/log.h"

#include <boost/json.hpp>

namespace apricot {

namespace {

/// A holder that has heard no host at all for this long may be deaf itself: it removes none, until
/// it has been alone for so long that the others must be gone.
constexpr Millis deafAfter = {3'000};
constexpr Millis aloneAfter = {30'000};
constexpr Millis hostLogInterval = {1'000};
constexpr std::size_t maxLoggedNames = 200; // characters

boost::json::value encodeHostEntry(const Gateway &gateway)
{
    const GatewaySettings &settings = gateway.m_settings;
    return boost::json::object{{"data-centre", settings.m_dataCentre.m_text},
                               {"caller", toText(settings.m_caller)},
                               {"peer", toText(settings.m_peer)},
                               {"run", gateway.m_run},
                               {"core-share", settings.m_capacity.m_cores},
                               {"link-mbps", settings.m_capacity.m_linkMbps}};
}

std::string textAt(const boost::json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

double numberAt(const boost::json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_number() ? value->to_number<double>() : 0;
}

std::optional<HostEntry> decodeHostEntry(const StoredObject &object)
{
    if (!object.m_content.is_object())
        return {};
    const auto &fields = object.m_content.get_object();
    const auto caller = parseEndpoint(textAt(fields, "caller"));
    const auto peer = parseEndpoint(textAt(fields, "peer"));
    if (!caller || !peer)
        return {};
    return HostEntry{{object.m_name},
                     {textAt(fields, "data-centre")},
                     *caller,
                     *peer,
                     textAt(fields, "run"),
                     object.m_revision,
                     {numberAt(fields, "core-share"), numberAt(fields, "link-mbps")}};
}

/// Creates or replaces this host's entry in the register; false if the store didn't confirm it.
asio::awaitable<bool> writeOwnRegistration(Gateway &gateway)
{
    const std::string &name = gateway.m_settings.m_host.m_text;
    const boost::json::value content = encodeHostEntry(gateway);
    HttpRequest create = gateway.m_protocol->createObject(ObjectKind::Hosts, name, content);
    StoreReply reply = co_await requestStoreObject(gateway, "register", std::move(create));
    if (reply.m_outcome == StoreOutcome::Conflict && reply.m_object) {
        HttpRequest replace = gateway.m_protocol->replaceObject(
            ObjectKind::Hosts, name, reply.m_object->m_revision, content);
        reply = co_await requestStoreObject(gateway, "register", std::move(replace));
    }
    if (reply.m_outcome != StoreOutcome::Done)
        co_return false;
    gateway.m_hostEntryRevision = reply.m_object ? reply.m_object->m_revision : 1;
    // The holder sends extension requests to this host only from now on, and the other hosts may
    // have granted one before. So the waiting time before a takeover starts here, not when the
    // record was first seen.
    gateway.m_lease.m_recordSeenSince = std::max(gateway.m_lease.m_recordSeenSince, now(gateway));
    co_return true;
}

} // namespace

asio::awaitable<void> registerHost(Gateway &gateway)
{
    Millis pause = {100};
    constexpr Millis longest = {2'000};
    while (!gateway.m_stopping && !co_await writeOwnRegistration(gateway)) {
        co_await backOff(gateway, pause, longest);
    }
    logEvent("registered", {{"revision", positionText(gateway.m_hostEntryRevision)}});
}

asio::awaitable<void> registerAgain(Gateway &gateway)
{
    constexpr Millis spread = {400}; // mean wait: all hosts notice the return at the same time
    co_await pauseFor(gateway, jittered(gateway, spread));
    gateway.m_hostEntryRevision = 0;
    co_await registerHost(gateway);
}

asio::awaitable<void> unregisterHost(Gateway &gateway)
{
    HttpRequest request = gateway.m_protocol->deleteObject(
        ObjectKind::Hosts, gateway.m_settings.m_host.m_text, gateway.m_hostEntryRevision);
    gateway.m_hostEntryRevision = 0;
    const StoreReply reply = co_await requestStoreObject(gateway, "unregister", std::move(request));
    if (reply.m_outcome != StoreOutcome::Done)
        logWarning("unregister_failed", {{"why", reply.m_detail}});
}

asio::awaitable<bool> verifyRegistration(Gateway &gateway)
{
    HttpRequest request
        = gateway.m_protocol->getObject(ObjectKind::Hosts, gateway.m_settings.m_host.m_text);
    const StoreReply reply = co_await requestStoreObject(gateway, "register", std::move(request));
    if (reply.m_outcome == StoreOutcome::Missing && !gateway.m_stopping) {
        gateway.m_hostEntryRevision = 0;
        co_await registerHost(gateway);
    }
    co_return reply.m_outcome == StoreOutcome::Done;
}

namespace {

/// Whether this host hears so little that it can't tell which hosts are gone.
bool mayBeDeaf(const Gateway &gateway)
{
    Millis lastHeard = {0};
    for (const auto &[host, peer] : gateway.m_peers)
        lastHeard = std::max({lastHeard, peer.m_receivedAt, peer.m_entrySeenAt});
    const Millis silent = now(gateway) - lastHeard;
    return silent >= deafAfter && silent < aloneAfter;
}

/// Probes the hosts that are silent. Returns those that are gone.
std::vector<HostEntry> probeSilentHosts(Gateway &gateway)
{
    const Millis time = now(gateway);
    std::vector<HostEntry> gone;
    for (auto &[host, peer] : gateway.m_peers) {
        // After the store came back from a copy, all hosts write their entries again.
        if (storeEra(peer.m_entry.m_revision) != gateway.m_storeEra.value_or(0))
            continue;
        HostSilence silence
            = {std::max(peer.m_receivedAt, peer.m_entrySeenAt), peer.m_probes, peer.m_probedAt};
        const SilenceStep step = nextStep(silence, time);
        if (step == SilenceStep::Remove)
            gone.push_back(peer.m_entry);
        if (step != SilenceStep::Probe)
            continue;
        recordProbe(silence, time);
        peer.m_probes = silence.m_probes;
        peer.m_probedAt = silence.m_probedAt;
        probeHost(gateway, peer);
    }
    return gone;
}

} // namespace

asio::awaitable<void> checkSilentHosts(Gateway &gateway)
{
    if (!holdsLease(gateway) || gateway.m_storeHealth.m_unavailable)
        co_return;
    const std::vector<HostEntry> gone = probeSilentHosts(gateway);
    if (mayBeDeaf(gateway))
        co_return;
    for (const HostEntry &entry : gone) {
        HttpRequest request = gateway.m_protocol->deleteObject(
            ObjectKind::Hosts, entry.m_host.m_text, entry.m_revision);
        const StoreReply reply = co_await requestStoreObject(gateway, "clear", std::move(request));
        logEvent("silent_host_removed",
                 {{"peer", entry.m_host.m_text}, {"outcome", reply.m_detail}});
        co_await removeOriginRecord(gateway, entry.m_host);
    }
}

asio::awaitable<void> removeSilentHosts(Gateway &gateway)
{
    while (true) {
        co_await pauseFor(gateway, probeInterval);
        co_await checkSilentHosts(gateway);
    }
}

void countHostChange(HostChanges &changes, int &counter, const HostName &host)
{
    counter += 1;
    if (changes.m_some.size() < maxLoggedNames)
        changes.m_some += (changes.m_some.empty() ? "" : " ") + host.m_text;
}

void logHostChanges(Gateway &gateway)
{
    HostChanges &changes = gateway.m_hostChanges;
    if (changes.m_some.empty() || now(gateway) - changes.m_loggedAt < hostLogInterval)
        return;
    logEvent("hosts_changed",
             {{"known", std::to_string(changes.m_known)},
              {"gone", std::to_string(changes.m_gone)},
              {"ready", std::to_string(changes.m_ready)},
              {"not_ready", std::to_string(changes.m_notReady)},
              {"some", changes.m_some},
              {"hosts", std::to_string(hostCount(gateway))}});
    changes = HostChanges();
    changes.m_loggedAt = now(gateway);
}

void removePeer(Gateway &gateway, const HostName &host)
{
    const auto peer = gateway.m_peers.find(host);
    if (peer == gateway.m_peers.end())
        return;
    rememberDeparted(gateway, peer->second.m_entry);
    noteHostLeft(gateway.m_permits.m_standing, host, now(gateway));
    gateway.m_peers.erase(peer);
}

void applyHostEntry(Gateway &gateway, const StoredObject &object)
{
    const HostName host = {object.m_name};
    if (host == gateway.m_settings.m_host) {
        const bool lost = object.m_deleted && object.m_revision > gateway.m_hostEntryRevision
            && gateway.m_hostEntryRevision > 0 && !gateway.m_stopping;
        if (lost) {
            logWarning("registration_lost", {{"revision", positionText(object.m_revision)}});
            gateway.m_hostEntryRevision = 0;
            begin(gateway, "register", registerHost(gateway));
        }
        return;
    }
    if (object.m_deleted) {
        removePeer(gateway, host);
        countHostChange(gateway.m_hostChanges, gateway.m_hostChanges.m_gone, host);
        return;
    }
    const auto entry = decodeHostEntry(object);
    if (!entry) {
        logWarning("host_unreadable", {{"peer", object.m_name}});
        return;
    }
    gateway.m_unregisteredHosts.erase(host);
    Peer &peer = gateway.m_peers[host];
    if (peer.m_entry.m_run != entry->m_run) {
        peer = Peer();
        peer.m_entrySeenAt = now(gateway);
        countHostChange(gateway.m_hostChanges, gateway.m_hostChanges.m_known, host);
    }
    peer.m_entry = *entry;
}

} // namespace apricot
