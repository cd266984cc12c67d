// HTTP client for model engines: sends orders and fetches reports. docs/OUTSIDE.md describes the
// protocol.
#pragma once

#include "process/node.h"

namespace apricot {

/// An order to an engine. A load states the accelerator and the memory to take on it. An order of
/// kind "fence" loads and unloads nothing; it only raises the engine's fencing token.
struct EngineOrder
{
    const char *m_kind = "fence"; // "load", "unload", "fence"
    OrderId m_id;
    Epoch m_epoch; // fencing token
    Slot m_slot;   // unused for a fence
};

enum class OrderDelivery : std::uint8_t {
    NothingSent, // no connection
    Answered,    // the engine's response was received
    Broken,      // sent, perhaps in part, but no complete response was received
};

struct OrderReply
{
    OrderDelivery m_delivery = OrderDelivery::NothingSent;
    ReportedState m_reportedState = ReportedState::Nothing; // valid if Answered
    bool m_fenced = false; // true: refused for an older fencing token
    std::string m_detail;  // error message for the log; may be empty
};

/// Makes one attempt to send an order, on a new connection that is closed afterwards.
asio::awaitable<OrderReply> sendEngineOrder(HttpPool &pool, Endpoint engine, EngineOrder order,
                                            Millis timeout);

/// Fetches the engine's report; empty if there is no valid response within the timeout. The view's
/// m_requestedAt is set to `requestedAt`.
asio::awaitable<std::optional<EngineView>> fetchReport(HttpPool &pool, ServerSpec server,
                                                       Millis requestedAt, Millis timeout);

} // namespace apricot
