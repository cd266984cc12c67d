// Shared declarations of the files that drive the cells owned by this host. spec/cell.pml models
// this code and uses the same names.
//
//   orders.cpp        outcomes of the orders sent by this process instance
//   cellresolve.cpp   resolving order attempts, engine reports, outcomes from earlier owners
//   cellowner.cpp     the planning loop: plan, write the record, send the orders
//   celltakeover.cpp  taking cells without an owner, handing cells over (declared in node.h)
//   cellask.cpp       answering replica requests of homes (declared in node.h)
//
// All of it runs on the first I/O thread, except that replica requests and requests for the
// outcomes of orders are answered on the thread of their connection.
#pragma once

#include "process/engineclient.h"
#include "process/platform.h"

namespace apricot {

using CellPtr = std::shared_ptr<OwnedCell>;

/// Key of the cell's record in the platform.
std::string cellKey(const CellName &cell);

/// The I/O thread on which cells are driven.
IoThread &cellThread(Node &node);
PlatformClient platformClientOf(Node &node);

/// The cell's state, null if this host never owned it. It stays when the cell is lost; see
/// stillOwned().
CellPtr ownedCell(Node &node, const CellName &name);
bool stillOwned(const CellPtr &cell);

/// Starts the next planning round at once. Call with the cell's lock held.
void wakePlanLoop(OwnedCell &cell);

/// Lets the waiting replica requests check the cell again. Call with the cell's lock held.
void wakeWaitingHomes(OwnedCell &cell);

/// Notes that m_record has changes to be written to the platform. Call with the cell's lock held.
void markUnwritten(Node &node, OwnedCell &cell);

/// The entry for a slot in the last report of its engine; null if the engine is unreachable or
/// doesn't list it. Call with the cell's lock held.
const EngineEntry *engineEntryOf(const OwnedCell &cell, const Slot &slot);

// --- orders.cpp ---

/// Marks an order that is in the platform's record as about to be sent. Has no effect if the order
/// was already reported to a new owner as never sent.
void recordDecided(Node &node, OrderId order);

/// Marks the order as sent; false if it must not be sent.
bool beginSend(Node &node, OrderId order);

/// Replaces the state of an order after the attempt to send it.
void setOrderState(Node &node, OrderId order, const OrderState &state);

/// Reserves consecutive order numbers and returns the first.
std::uint64_t reserveOrderNumbers(Node &node, std::uint64_t count);

/// The outcome of an order of this process instance. An unknown number is entered as never sent, so
/// that the order can't be sent later either.
OrderOutcome ownOutcome(Node &node, std::uint64_t number);

// --- cellresolve.cpp ---

/// Removes from the record all order attempts whose outcome is known; true if there was one. Call
/// with the cell's lock held.
bool resolveAttempts(Node &node, OwnedCell &cell);

/// Updates slots without unresolved attempts from the engines' reports; true if one changed. Call
/// with the cell's lock held.
bool reconcileSlots(Node &node, OwnedCell &cell);

/// Polls the reports of the cell's servers and raises their fencing tokens, until the cell is lost.
asio::awaitable<void> watchServers(Node &node, CellPtr cell);

/// Requests the outcomes of earlier owners' orders, until the cell is lost.
asio::awaitable<void> outcomeRequestLoop(Node &node, CellPtr cell);

// --- cellowner.cpp ---

/// Plans periodically and when woken, until the cell is lost.
asio::awaitable<void> planLoop(Node &node, CellPtr cell);

} // namespace apricot
