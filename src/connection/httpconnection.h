// A connection to a server. Used only by the files of the HTTP client.
#pragma once

#include "connection/httpsession.h"

namespace apricot {

/// A connection to a server. The parser is replaced for each response.
struct HttpConnection
{
    explicit HttpConnection(asio::io_context &io) : m_stream(io) { }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{connectionBufferLimit};
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    ConnectionUse m_use;
    bool m_pooled = false;        // was taken from the pool for this exchange
    bool m_headRequest = false;   // the request was a HEAD request: the response has no body
    bool m_responseRead = false;  // the response was read to its end
    bool m_earlyResponse = false; // the server responded or closed before it had read the request
    std::chrono::steady_clock::time_point m_idleUntil; // valid in the pool
};

/// A failure of an exchange on an open connection.
Failure connectionFailure(const boost::system::error_code &error, RunState run);

} // namespace apricot
