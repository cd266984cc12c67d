// What became of the orders that this run sent: the promise to a new owner that an order not yet
// sent never will be hangs on this table.
#include "process/celldriver.h"

namespace apricot {

namespace {

/// Told to a new owner: an order that hasn't gone out yet never will.
void forbidUnsent(Node &node, std::uint64_t number)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    OrderState &state = node.m_orders.m_orders[number];
    if (state.m_progress == OrderProgress::Decided)
        state.m_progress = OrderProgress::NeverSent;
}

} // namespace

void noteDecided(Node &node, OrderId order)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    const auto [entry, added] = node.m_orders.m_orders.try_emplace(order.m_number);
    if (added)
        entry->second.m_progress = OrderProgress::Decided;
}

bool beginSend(Node &node, OrderId order)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    OrderState &state = node.m_orders.m_orders[order.m_number];
    if (state.m_progress != OrderProgress::Decided)
        return false;
    state.m_progress = OrderProgress::Sent;
    return true;
}

void setOrder(Node &node, OrderId order, const OrderState &state)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    node.m_orders.m_orders[order.m_number] = state;
}

std::uint64_t reserveOrderNumbers(Node &node, std::uint64_t count)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    const std::uint64_t first = node.m_orders.m_next;
    node.m_orders.m_next += count;
    return first;
}

ForeignFate ownFate(Node &node, std::uint64_t number)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    const OrderState &state = node.m_orders.m_orders[number]; // unknown: NeverSent from now on
    switch (state.m_progress) {
    case OrderProgress::NeverSent:
        return {true, EngineSays::Nothing};
    case OrderProgress::Decided:
    case OrderProgress::Sent:
        return {false, EngineSays::Nothing};
    case OrderProgress::Answered:
        return {true, state.m_says};
    case OrderProgress::Broken:
        return {now(node) - state.m_brokenAt >= node.m_settings.m_orderDrain, EngineSays::Nothing};
    }
    return {};
}

wire::FateTellT answerFate(Node &node, const wire::FateAskT &ask)
{
    wire::FateTellT tell;
    tell.incarnation = node.m_incarnation.m_value;
    if (ask.incarnation != node.m_incarnation.m_value)
        return tell;
    for (const std::uint64_t order : ask.orders) {
        forbidUnsent(node, order);
        const ForeignFate fate = ownFate(node, order);
        auto entry = std::make_unique<wire::FateEntryT>();
        entry->order = order;
        entry->resolved = fate.m_resolved;
        entry->says = static_cast<std::uint8_t>(fate.m_says);
        tell.fates.push_back(std::move(entry));
    }
    return tell;
}

} // namespace apricot
