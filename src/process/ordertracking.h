// Orders of the lease holder to model servers: sending, tracking until complete, and reading
// reports (ordertracking.cpp), and what the holder knows of each server (trackedservers.cpp). The
// plan that decides on the orders is made in holder.cpp.
#pragma once

#include "process/gatewaystate.h"

namespace apricot {

constexpr Millis reportLag = {250}; // ms, a report may describe a state this old

/// Returns a tracked server; null if it isn't tracked.
TrackedServer *findTracked(Gateway &gateway, const InstanceId &id);

/// Updates the tracked servers of a service from the server table. Servers that are new, restarted
/// or in an unexpected state get no order before a report was read, which this function starts.
void updateTrackedServers(Gateway &gateway, const ServiceName &service);

/// Takes over a report and broadcasts it. Returns false, and changes nothing, if the report is
/// older than the known status or shows an order in progress.
bool applyReport(Gateway &gateway, const InstanceId &id, TrackedServer &server,
                 const ServerStatus &status);

/// Reads reports of a server until one is as new as the known status and shows no order in
/// progress; that status is then broadcast. Gives up when orderTimeLimit has passed.
asio::awaitable<void> confirmServerStatus(Gateway &gateway, InstanceId id, Endpoint endpoint,
                                          Millis firstWait);

/// Sends one order and tracks it until the server can accept the next one.
asio::awaitable<void> executeOrder(Gateway &gateway, EngineCommand command, BackendServer target);

/// Executes a load from the weight store and counts it against the rate and concurrency limits.
asio::awaitable<void> executeStoreLoad(Gateway &gateway, EngineCommand command,
                                       BackendServer target);

} // namespace apricot
