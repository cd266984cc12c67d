// Orders of the lease holder to model servers: sending, tracking until complete, and reading
// reports. The plan that decides on the orders is made in holder.cpp.
#pragma once

#include "process/gatewaystate.h"

namespace apricot {

constexpr Millis reportLag = {250}; // ms, a report may describe a state this old

/// Returns a tracked server; null if it isn't tracked.
TrackedServer *findTracked(Gateway &gateway, const InstanceId &id);

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
