// What the files of the cells' driver share. Names follow spec/cell.pml.
//
//   orders.cpp        what became of the orders that this run sent
//   cellresolve.cpp   copies in doubt, the engines' word, earlier owners
//   cellowner.cpp     the planning loop: plan, record, order
//   celltakeover.cpp  cells without an owner, hand-over
//   cellask.cpp       homes asking for replicas
//
// All but the asks runs on the first I/O thread.
#pragma once

#include "process/engineclient.h"
#include "process/platform.h"

namespace apricot {

using CellPtr = std::shared_ptr<OwnedCell>;

std::string cellKey(const CellName &cell);
IoThread &ownThread(Node &node);
PlatformClient platformOf(Node &node);
CellPtr ownedCell(Node &node, const CellName &name);
bool stillOwned(const CellPtr &cell);

/// Call these with the cell's lock held.
void wakeLoop(OwnedCell &cell);
void wakeAsks(OwnedCell &cell);
void noteUnwritten(Node &node, OwnedCell &cell);
const EngineEntry *entryOf(const OwnedCell &cell, const Slot &slot);

// --- orders.cpp ---

/// The order is in the record and about to go out, unless a new owner was told otherwise.
void noteDecided(Node &node, OrderId order);

/// True if the order may go out now; from then on it counts as sent.
bool beginSend(Node &node, OrderId order);
void setOrder(Node &node, OrderId order, const OrderState &state);
std::uint64_t reserveOrderNumbers(Node &node, std::uint64_t count);

/// What a copy sent, or not, by this run amounts to now.
ForeignFate ownFate(Node &node, std::uint64_t number);

// --- cellresolve.cpp ---

/// Takes off every copy whose fate is known; true if there was one. With the cell's lock held.
bool resolveCopies(Node &node, OwnedCell &cell);

/// The engines' own word wins for what is loaded, once nothing is in doubt. With the lock held.
bool settleSlots(Node &node, OwnedCell &cell);

/// Reports and fences of the cell's servers, until the cell is lost.
asio::awaitable<void> watchServers(Node &node, CellPtr cell);

/// Asks earlier owners about their orders, until the cell is lost.
asio::awaitable<void> fateLoop(Node &node, CellPtr cell);

// --- cellowner.cpp ---

asio::awaitable<void> planLoop(Node &node, CellPtr cell);

} // namespace apricot
