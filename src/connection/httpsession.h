// A client's connection while this process serves it, and the reading of its requests. Used only by
// the files of the HTTP server.
#pragma once

#include "connection/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace apricot {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readChunkSize = 16UL * 1024; // bytes
/// Bytes read ahead on a connection. Chunk extensions have no limit of their own.
constexpr std::size_t connectionBufferLimit = 64UL * 1024;

template<typename Message>
std::vector<HttpField> getFields(const Message &message)
{
    std::vector<HttpField> fields;
    for (const auto &field : message.base())
        fields.push_back({std::string(field.name_string()), std::string(field.value())});
    return fields;
}

/// A caller's connection.
struct HttpSession
{
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<const HttpServerOptions> m_options;
    bool m_keepAlive = true;
    unsigned m_version = 11;           // HTTP version of the present request, 10 or 11
    bool m_endsWithConnection = false; // only the end of the connection completes the response
    ConnectionId m_id = {};            // in the admission table, if the options have one
    bool m_closing = false;            // closed to admit others
};

/// Counts a session in the admission table of its listener, as long as this object lives.
struct AdmittedSession
{
    explicit AdmittedSession(HttpSession &session);
    ~AdmittedSession();
    AdmittedSession(const AdmittedSession &) = delete;
    AdmittedSession &operator=(const AdmittedSession &) = delete;

    HttpSession &m_session;
    bool m_admitted = true;
};

/// A request while it arrives.
struct RequestReader
{
    RequestReader() { m_parser.eager(true); } // parses all that has arrived in one call

    http::request_parser<http::buffer_body> m_parser;
    std::string m_body;          // with room for further bytes, until the request is complete
    std::size_t m_bodyBytes = 0; // received of the body
    std::size_t m_headBytes = 0; // parsed of the head
    std::size_t m_headLines = 0; // of these, lines: at most one field each
};

/// Error of readRequest() if the request was ended to admit others.
inline boost::system::error_code notAdmitted()
{
    return asio::error::no_memory;
}

/// Waits for the first bytes of a request; false if none arrived within the idle timeout.
asio::awaitable<bool> waitForBytes(HttpSession &session);

/// Reads one request to its end. Its memory grows as its bytes arrive.
asio::awaitable<boost::system::error_code> readRequest(HttpSession &session, RequestReader &reader);

/// Records that the request was read completely, or that its answer is complete.
void recordHandling(HttpSession &session, const RequestReader &reader, std::size_t bodyBytes);
void recordIdle(HttpSession &session);

} // namespace apricot
