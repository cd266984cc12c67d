// The register of hosts in the store: every host that serves callers has an entry there.
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/json.hpp>

namespace apricot {

namespace {

/// A host that is silent for longer than this is removed from the register.
constexpr Millis registrationRemovalDelay = {6'000};
constexpr Millis registerCheckInterval = {2'000}; // between two searches for silent hosts

boost::json::value encodeHostEntry(const Gateway &gateway)
{
    const GatewaySettings &settings = gateway.m_settings;
    return boost::json::object{{"data-centre", settings.m_dataCentre.m_text},
                               {"caller", toText(settings.m_caller)},
                               {"peer", toText(settings.m_peer)},
                               {"run", gateway.m_run}};
}

std::string textAt(const boost::json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
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
    return HostEntry{{object.m_name}, {textAt(fields, "data-centre")}, *caller,
                     *peer,           textAt(fields, "run"),           object.m_revision};
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

asio::awaitable<void> removeSilentHosts(Gateway &gateway)
{
    while (true) {
        co_await pauseFor(gateway, jittered(gateway, registerCheckInterval));
        if (!holdsLease(gateway) || gateway.m_storeHealth.m_unavailable)
            continue;
        std::vector<HostEntry> silent;
        for (const auto &[host, peer] : gateway.m_peers) {
            const bool ofThisEra
                = storeEra(peer.m_entry.m_revision) == gateway.m_storeEra.value_or(0);
            if (ofThisEra
                && now(gateway) - std::max(peer.m_receivedAt, peer.m_entrySeenAt)
                    > registrationRemovalDelay)
                silent.push_back(peer.m_entry);
        }
        for (const HostEntry &entry : silent) {
            HttpRequest request = gateway.m_protocol->deleteObject(
                ObjectKind::Hosts, entry.m_host.m_text, entry.m_revision);
            const StoreReply reply
                = co_await requestStoreObject(gateway, "clear", std::move(request));
            logEvent("silent_host_removed",
                     {{"peer", entry.m_host.m_text}, {"outcome", reply.m_detail}});
        }
    }
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
        gateway.m_peers.erase(host);
        logEvent("host_gone", {{"peer", object.m_name}});
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
        logEvent("host_known", {{"peer", object.m_name}, {"at", toText(entry->m_caller)}});
    }
    peer.m_entry = *entry;
}

} // namespace apricot
