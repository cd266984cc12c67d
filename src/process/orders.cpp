// Table of the orders decided by this process instance, and of their outcomes. When a new owner of
// a cell requests the outcome of an order that hasn't been sent yet, the table cancels the order,
// so that the new owner can rely on it never being sent.
#include "process/celldriver.h"

namespace apricot {

namespace {

/// Cancels an order that hasn't been sent: beginSend() refuses it from then on.
void cancelUnsent(Node &node, std::uint64_t number)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    OrderState &state = node.m_orders.m_orders[number];
    if (state.m_progress == OrderProgress::Decided)
        state.m_progress = OrderProgress::NeverSent;
}

} // namespace

void recordDecided(Node &node, OrderId order)
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

void setOrderState(Node &node, OrderId order, const OrderState &state)
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

OrderOutcome ownOutcome(Node &node, std::uint64_t number)
{
    const std::lock_guard lock(node.m_orders.m_mutex);
    const OrderState &state = node.m_orders.m_orders[number]; // adds an unknown one as NeverSent
    switch (state.m_progress) {
    case OrderProgress::NeverSent:
        return {true, ReportedState::Nothing};
    case OrderProgress::Decided:
    case OrderProgress::Sent:
        return {false, ReportedState::Nothing};
    case OrderProgress::Answered:
        return {true, state.m_reportedState};
    case OrderProgress::Broken:
        // After the drain time, no bytes of the broken connection can reach the engine any more.
        return {now(node) - state.m_brokenAt >= node.m_settings.m_orderDrainTime,
                ReportedState::Nothing};
    }
    return {};
}

wire::FateTellT answerOutcomeRequest(Node &node, const wire::FateAskT &request)
{
    wire::FateTellT answer;
    answer.incarnation = node.m_incarnation.m_value;
    if (request.incarnation != node.m_incarnation.m_value)
        return answer;
    for (const std::uint64_t order : request.orders) {
        cancelUnsent(node, order);
        const OrderOutcome outcome = ownOutcome(node, order);
        auto entry = std::make_unique<wire::FateEntryT>();
        entry->order = order;
        entry->resolved = outcome.m_resolved;
        entry->says = static_cast<std::uint8_t>(outcome.m_reportedState);
        answer.fates.push_back(std::move(entry));
    }
    return answer;
}

} // namespace apricot
