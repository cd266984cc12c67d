// Heartbeats as messages: how they are made, sent and taken apart. The schema is
// connection/beat.fbs.
#pragma once

#include "generated/beat_generated.h"
#include "process/gatewaystate.h"

namespace apricot {

/// Makes a heartbeat with this host's current state and none of the further parts.
wire::BeatT makeHeartbeat(const Gateway &gateway);

/// Makes a heartbeat that states only that this host is ready, for messages to many hosts.
wire::BeatT makeBriefHeartbeat(const Gateway &gateway);

std::string encodeHeartbeat(const wire::BeatT &heartbeat);

/// Sends an encoded heartbeat and counts its bytes under its kind. Not blocking; it may be lost.
void sendDatagram(Gateway &gateway, MessageKind kind, const Endpoint &endpoint,
                  const std::string &bytes);
void sendToAllPeers(Gateway &gateway, MessageKind kind, const std::string &bytes);

/// Counts a change of a host, in one of the counters of `changes`, for the log.
void countHostChange(HostChanges &changes, int &counter, const HostName &host);

/// Takes bytes out of the budget; false, and nothing is taken, if it lacks them.
bool takeBytes(ByteBudget &budget, Millis time, double bytes);

/// Sends the lease holder the demand report that is due at this time, if any.
void sendDueDemandReport(Gateway &gateway);

/// Sends the status updates that are due at this time to the other hosts.
void sendDueStatusUpdates(Gateway &gateway);

/// Takes over the demand of a host's callers, if the heartbeat contains it.
void applyDemandReport(Gateway &gateway, Peer &peer, const wire::BeatT &heartbeat);

/// Adds entries of a map to a heartbeat in rotation, so that each gets its turn however many there
/// are: calls `add` with those after the key `last`, and from the first one on after the end, until
/// `count` were added. `add` returns whether it added the entry. `last` becomes the key added last.
template<typename Map, typename Add>
void addInTurn(const Map &entries, typename Map::key_type &last, std::size_t count, Add add)
{
    auto next = entries.upper_bound(last);
    for (std::size_t seen = 0, added = 0; seen < entries.size() && added < count; ++seen, ++next) {
        if (next == entries.end())
            next = entries.begin();
        if (!add(*next))
            continue;
        last = next->first;
        ++added;
    }
}

/// Adds states of what is in quarantine, in rotation.
void addQuarantineStates(Gateway &gateway, wire::BeatT &heartbeat);

/// Takes over what the heartbeat contains of crashes, parts that were served, and quarantine.
void applyCrashNews(Gateway &gateway, const wire::BeatT &heartbeat);

/// Adds limits of servers in rotation: those that are new, then others.
void addServerLimits(Gateway &gateway, wire::BeatT &heartbeat);

/// Takes over limits of servers, and requests for permits and their replies.
void applyPermits(Gateway &gateway, const Peer &peer, const wire::BeatT &heartbeat);

/// Takes over origins of streams, and questions for them and their replies.
void applyOrigins(Gateway &gateway, const Peer &peer, const wire::BeatT &heartbeat);

/// Adds servers that began to leave a moment ago, as far as this host knows, in rotation.
void addLeavingServers(Gateway &gateway, wire::BeatT &heartbeat);

/// Takes over which servers leave: a hint that comes sooner than the store's.
void applyLeavingServers(Gateway &gateway, const wire::BeatT &heartbeat);

/// Adds the services of which this host reaches no server.
void addUnreachableServices(const Gateway &gateway, wire::BeatT &heartbeat);

/// Takes over the services of which the other host reaches no server.
void applyUnreachableServices(Peer &peer, const wire::BeatT &heartbeat);

/// Updates the gauges of servers that leave, are paused or named a limit.
void updateStatementCounts(Gateway &gateway);

/// Sends a heartbeat to the next few hosts in turn. `nextPeer` counts the hosts that were sent to.
void sendPeriodicHeartbeat(Gateway &gateway, std::size_t &nextPeer);

/// Applies the status updates of model servers in the heartbeat.
void applyStatusUpdates(Gateway &gateway, const wire::BeatT &heartbeat);

} // namespace apricot
