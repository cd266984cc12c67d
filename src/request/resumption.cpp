// Streams that callers take up after they lost their connections: they go on only at servers of the
// software version that began them.
#include "process/log.h"
#include "request/relay.h"

#include <algorithm>

namespace apricot {

namespace {

/// Time for which a stream that is taken up waits for this host to read the records of streams
/// that began before it started.
constexpr Millis recordsTimeout = {1'500};
constexpr Millis recordsPollInterval = {20};

bool takesUpStream(const Relay &relay)
{
    const RequestMetadata &metadata = relay.m_metadata;
    return relay.m_route->m_stream
        && (!metadata.m_resumes.empty() || !metadata.m_resumeAfter.empty());
}

const char *toText(OriginSource source)
{
    switch (source) {
    case OriginSource::Unknown:
        return "unknown";
    case OriginSource::Here:
        return "here";
    case OriginSource::Host:
        return "host";
    case OriginSource::Record:
        return "record";
    case OriginSource::FirstVersion:
        return "first_version";
    }
    return "unknown";
}

void logOrigin(const Relay &relay, const OriginReplies &replies)
{
    logEvent("stream_origin",
             {{"id", relay.m_metadata.m_id},
              {"resumes", relay.m_metadata.m_resumes},
              {"resume_after", relay.m_metadata.m_resumeAfter},
              {"software", replies.m_software ? toHex(replies.m_software->m_hash) : ""},
              {"source", toText(replies.m_source)},
              {"asked", std::to_string(replies.m_asked)},
              {"replies", std::to_string(replies.m_received)},
              {"several_versions", replies.m_several ? "yes" : "no"}});
}

/// Whether a server of the version is listed that takes requests.
bool hasServerOf(const Relay &relay, SoftwareId software)
{
    const auto &servers = relay.m_gateway->m_serverTable.m_servers;
    return std::any_of(servers.begin(), servers.end(), [&](const auto &entry) {
        const BackendServer &server = entry.second.m_server;
        return server.m_service == relay.m_service && !isLeaving(entry.second)
            && softwareIdOf(server) == software;
    });
}

/// Waits until this host has read the records of streams. Returns false if it hasn't in time.
asio::awaitable<bool> waitForRecords(Relay &relay)
{
    Gateway &gateway = *relay.m_gateway;
    const Millis end = std::min(now(gateway) + recordsTimeout, relay.m_deadline);
    while (!gateway.m_originRecord.m_read && now(gateway) < end && !callerDisconnected(relay))
        co_await pauseFor(gateway, recordsPollInterval);
    co_return gateway.m_originRecord.m_read;
}

} // namespace

StreamId streamOf(const Relay &relay)
{
    return stableHash(firstAttemptOf(relay.m_metadata));
}

asio::awaitable<std::optional<Failure>> findOriginVersion(Relay &relay)
{
    if (!takesUpStream(relay))
        co_return std::nullopt;
    Gateway &gateway = *relay.m_gateway;
    if (!co_await waitForRecords(relay))
        co_return makeFailure(ErrorKind::NotReady,
                              "the versions of streams have not been read from the store yet",
                              shortRetryAfter);
    watchVersions(gateway);
    OriginReplies replies;
    replies.m_several = hasSeveralVersions(gateway.m_serviceVersions, relay.m_service);
    if (!relay.m_metadata.m_resumes.empty())
        replies = co_await askForOrigin(gateway, streamOf(relay), relay.m_service);
    logOrigin(relay, replies);
    relay.m_software = replies.m_software;
    if (callerDisconnected(relay))
        co_return makeFailure(ErrorKind::CallerGone, "the caller disconnected", RunState::NotRun);
    if (!relay.m_software && replies.m_several)
        co_return makeFailure(ErrorKind::NoBackendServer,
                              "the software version that began the stream isn't known",
                              defaultRetryAfter);
    co_return std::nullopt;
}

std::optional<Failure> versionRefusal(const Relay &relay)
{
    if (!relay.m_software || hasServerOf(relay, *relay.m_software))
        return {};
    return makeFailure(ErrorKind::NoBackendServer,
                       "no server of the software version that began the stream is left",
                       defaultRetryAfter);
}

} // namespace apricot
