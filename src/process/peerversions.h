// Which versions of the configuration other hosts have in force.
//
// The store may come back from a copy that lacks a version which hosts already have in force. What
// it answers then is older than what they know. So in each era of the store a host surveys others,
// that is, asks them for their version, before it takes an answer of the store for the newest
// configuration, and it never does while its own version is older than one that another host
// stated.
//
// What can't be known: a version that no host has in force that is asked, since all that had it are
// gone, don't reply in time, or never got it. Such a version counts again once a heartbeat states
// it, or the operator has written it again, or a later one.
#pragma once

#include "gateway.h"

#include <set>

namespace apricot {

struct Gateway;
struct WakeableTimer;

/// A question to the other hosts for their version of the configuration.
struct VersionSurvey
{
    bool m_running = false;
    std::optional<std::uint64_t> m_doneInEra; // of the store; empty: none was completed
    std::set<HostName> m_open;                // hosts that haven't replied to the one that runs
    std::unique_ptr<WakeableTimer> m_timer;   // woken when all have replied
};

struct PeerVersions
{
    std::uint64_t m_newest = 0; // highest version that another host stated, now or earlier
    Millis m_newestHeardAt;     // when it was stated first
    VersionSurvey m_survey;
    /// Begin of the last read of the configuration that waits for the survey of its era.
    std::optional<Millis> m_unconfirmedRead;
    bool m_storeIsOlder = false;             // the last read showed an older version than m_newest
    Millis m_olderReadAt = {-1'000'000'000}; // last read that showed that
    bool m_isStarting = false;               // see isHeldBackByVersions()
};

/// Takes over that another host has that version in force.
void hearVersion(Gateway &gateway, std::uint64_t version);

/// Whether another host stated a newer version than the one in force here.
bool isBehindPeers(const Gateway &gateway);

/// Whether the store answered a moment ago with an older version than other hosts have, so that
/// reading it again at once gains nothing.
bool isStoreKnownOlder(const Gateway &gateway);

/// Begins to ask the other hosts for their versions, unless that was done in this era of the store.
/// To be called when an era begins, as known here, and when the register of hosts was read.
void surveyVersionsIfDue(Gateway &gateway);

/// To be called when a new era of the store begins, as known here.
void noteEraForVersions(Gateway &gateway);

/// To be called when a host replied to a question for its confirmation.
void recordSurveyReply(Gateway &gateway, const HostName &host);

/// To be called when this host starts: it isn't ready before its survey, nor for a limited time
/// while it is behind other hosts.
void holdBackForVersions(Gateway &gateway);

/// Whether this host isn't ready for that reason.
bool isHeldBackByVersions(const Gateway &gateway);

/// To be called when the store answered with an older version than other hosts have.
void recordOlderRead(Gateway &gateway);

/// To be called when a version has come in force here, or the survey is complete: this host may
/// have caught up with the others.
void noteVersionInForce(Gateway &gateway);

} // namespace apricot
