// Orders to model engines, and their reports. docs/OUTSIDE.md gives the protocol.
#pragma once

#include "process/node.h"

namespace apricot {

/// An order as it goes out. A load names memory on an accelerator; a fence only raises the number.
struct EngineOrder
{
    const char *m_kind = "fence"; // "load", "unload", "fence"
    OrderId m_id;
    Epoch m_epoch;
    Slot m_slot; // unused for a fence
};

enum class OrderEnd : std::uint8_t {
    NothingSent,
    Answered,
    Broken, // sent, maybe in part; no answer came
};

struct OrderReply
{
    OrderEnd m_end = OrderEnd::NothingSent;
    EngineSays m_says = EngineSays::Nothing; // valid if Answered
    bool m_fenced = false;                   // refused for its old fencing number
    std::string m_detail;
};

/// Sends one copy of an order, on a connection of its own.
asio::awaitable<OrderReply> sendEngineOrder(HttpPool &pool, Endpoint engine, EngineOrder order,
                                            Millis timeout);

/// The engine's report, or nothing if it gave none.
asio::awaitable<std::optional<EngineView>> fetchReport(HttpPool &pool, ServerSpec server,
                                                       Millis asked, Millis timeout);

} // namespace apricot
