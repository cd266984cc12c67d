// Asks the other hosts for their versions of the configuration, and compares them with the store's.
#include "process/peerversions.h"
#include "process/accountgate.h"
#include "process/log.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis surveyReplyTimeout = {150}; // some round trips, and a busy event loop
constexpr int surveyAsks = 2;                // of one host: datagrams may be lost
/// Hosts that are asked, at random: if half of all have a newer version, all but one in 60,000
/// surveys hear of it. The next heartbeats tell of it in any case.
constexpr std::size_t maxSurveyedHosts = 16;
/// Time between two reads of a store whose version is known to be older.
constexpr Millis olderReadInterval = {500};
/// Longest time for which a host that starts isn't ready since it is behind. The operator writes
/// again within a few seconds what the store lost.
constexpr Millis longestHoldBack = {10'000};

void askOpenHosts(Gateway &gateway)
{
    for (const HostName &host : gateway.m_accounts->m_peerVersions.m_survey.m_open) {
        const auto peer = gateway.m_peers.find(host);
        if (peer != gateway.m_peers.end())
            askForConfirmation(gateway, &peer->second);
    }
}

using LogFunction = void (*)(std::string_view, std::initializer_list<LogField>);

void logVersions(const Gateway &gateway, LogFunction log, const char *event)
{
    log(event,
        {{"in_force", std::to_string(gateway.m_routes->m_version)},
         {"newest", std::to_string(gateway.m_accounts->m_peerVersions.m_newest)},
         {"era", std::to_string(gateway.m_storeEra.value_or(0))}});
}

std::set<HostName> drawHosts(Gateway &gateway)
{
    std::vector<HostName> all;
    for (const auto &[host, peer] : gateway.m_peers)
        all.push_back(host);
    std::set<HostName> drawn;
    std::sample(all.begin(), all.end(), std::inserter(drawn, drawn.end()), maxSurveyedHosts,
                gateway.m_random);
    return drawn;
}

asio::awaitable<void> askDrawnHosts(Gateway &gateway)
{
    VersionSurvey &survey = gateway.m_accounts->m_peerVersions.m_survey;
    survey.m_timer->m_woken = false;
    survey.m_open = drawHosts(gateway);
    for (int asked = 0; asked < surveyAsks && !survey.m_open.empty(); ++asked) {
        askOpenHosts(gateway);
        co_await sleepUntilWoken(*survey.m_timer, surveyReplyTimeout);
    }
}

void finishSurvey(Gateway &gateway, std::uint64_t era)
{
    PeerVersions &versions = gateway.m_accounts->m_peerVersions;
    versions.m_survey.m_doneInEra = era;
    logEvent("versions_surveyed",
             {{"era", std::to_string(era)},
              {"hosts", std::to_string(gateway.m_peers.size())},
              {"silent", std::to_string(versions.m_survey.m_open.size())},
              {"newest", std::to_string(versions.m_newest)},
              {"in_force", std::to_string(gateway.m_routes ? gateway.m_routes->m_version : 0)}});
    versions.m_survey.m_open.clear();
    confirmByRead(gateway);
    noteVersionInForce(gateway);
}

asio::awaitable<void> surveyVersions(Gateway &gateway)
{
    VersionSurvey &survey = gateway.m_accounts->m_peerVersions.m_survey;
    while (survey.m_doneInEra != gateway.m_storeEra) {
        const std::uint64_t era = gateway.m_storeEra.value_or(0);
        co_await askDrawnHosts(gateway);
        // The answers of before a return of the store say nothing about the era that it began.
        if (era == gateway.m_storeEra.value_or(0))
            finishSurvey(gateway, era);
    }
    survey.m_running = false;
}

} // namespace

void hearVersion(Gateway &gateway, std::uint64_t version)
{
    PeerVersions &versions = gateway.m_accounts->m_peerVersions;
    if (version <= versions.m_newest)
        return;
    versions.m_newest = version;
    versions.m_newestHeardAt = now(gateway);
}

bool isBehindPeers(const Gateway &gateway)
{
    return gateway.m_routes
        && gateway.m_routes->m_version < gateway.m_accounts->m_peerVersions.m_newest;
}

bool isStoreKnownOlder(const Gateway &gateway)
{
    const PeerVersions &versions = gateway.m_accounts->m_peerVersions;
    return versions.m_storeIsOlder && now(gateway) - versions.m_olderReadAt < olderReadInterval;
}

void surveyVersionsIfDue(Gateway &gateway)
{
    VersionSurvey &survey = gateway.m_accounts->m_peerVersions.m_survey;
    if (!gateway.m_storeEra || !gateway.m_registerRead || survey.m_doneInEra == gateway.m_storeEra
        || std::exchange(survey.m_running, true))
        return;
    begin(gateway, "survey_versions", surveyVersions(gateway));
}

void noteEraForVersions(Gateway &gateway)
{
    gateway.m_accounts->m_peerVersions.m_unconfirmedRead.reset();
    surveyVersionsIfDue(gateway);
}

void recordSurveyReply(Gateway &gateway, const HostName &host)
{
    VersionSurvey &survey = gateway.m_accounts->m_peerVersions.m_survey;
    if (survey.m_open.erase(host) > 0 && survey.m_open.empty())
        wake(*survey.m_timer);
}

void holdBackForVersions(Gateway &gateway)
{
    gateway.m_accounts->m_peerVersions.m_isStarting = true;
}

bool isHeldBackByVersions(const Gateway &gateway)
{
    return gateway.m_accounts->m_peerVersions.m_isStarting
        && now(gateway) - gateway.m_startedAt < longestHoldBack;
}

void recordOlderRead(Gateway &gateway)
{
    PeerVersions &versions = gateway.m_accounts->m_peerVersions;
    versions.m_olderReadAt = now(gateway);
    if (!std::exchange(versions.m_storeIsOlder, true))
        logVersions(gateway, &logWarning, "configuration_lost_by_store");
}

void noteVersionInForce(Gateway &gateway)
{
    PeerVersions &versions = gateway.m_accounts->m_peerVersions;
    if (!gateway.m_routes || isBehindPeers(gateway))
        return;
    if (std::exchange(versions.m_storeIsOlder, false))
        logVersions(gateway, &logEvent, "configuration_caught_up");
    if (versions.m_survey.m_doneInEra)
        versions.m_isStarting = false;
}

} // namespace apricot
