// Reads the heads of responses, and fails on those that this host can't interpret.
#include "connection/responsehead.h"

#include "connection/httpconnection.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr std::uint32_t responseHeadLimit = 16 * 1024; // bytes of a head, and of trailers
constexpr int maxInformationalHeads = 8;               // before the head of one response
constexpr std::size_t statusLineLimit = 120;           // characters in logs

/// Parses what is in the buffer as far as it goes, and moves the bytes of the head to `head`. Bytes
/// that can't be a head are an error at once, not only when a whole head should be there.
boost::system::error_code parseBuffered(HttpConnection &connection, std::string &head)
{
    const auto bytes = connection.m_buffer.data();
    if (bytes.size() == 0)
        return {};
    boost::system::error_code error;
    const std::size_t parsed = connection.m_parser->put(bytes, error);
    head.append(static_cast<const char *>(bytes.data()), parsed);
    connection.m_buffer.consume(parsed);
    if (error == http::error::need_more)
        error = {};
    return error;
}

/// Receives more bytes. The buffer grows as bytes arrive: most connections need a small one only.
asio::awaitable<boost::system::error_code> receiveMore(HttpConnection &connection)
{
    const std::size_t size = beast::read_size(connection.m_buffer, connectionBufferLimit);
    const auto [error, count] = co_await connection.m_stream.async_read_some(
        connection.m_buffer.prepare(size), useAwaitable);
    connection.m_buffer.commit(count);
    if (error != asio::error::eof)
        co_return error;
    if (connection.m_parser->got_some())
        co_return http::error::partial_message;
    co_return http::error::end_of_stream;
}

/// Receives and parses one head, whose bytes `head` gets, within the time limit set before.
asio::awaitable<boost::system::error_code> receiveHead(HttpConnection &connection,
                                                       std::string &head)
{
    connection.m_parser.emplace();
    connection.m_parser->skip(connection.m_headRequest);
    connection.m_parser->body_limit(boost::none);
    connection.m_parser->header_limit(responseHeadLimit);
    auto error = parseBuffered(connection, head);
    while (!error && !connection.m_parser->is_header_done()) {
        error = co_await receiveMore(connection);
        if (!error)
            error = parseBuffered(connection, head);
    }
    co_return error;
}

/// Whether the field doesn't concern the transfer coding, or names the only one that this host
/// knows. Requests carry no TE field, so a server may use no other (RFC 9112, section 7.4).
bool hasKnownCoding(const HttpField &field)
{
    return !beast::iequals(field.m_name, "Transfer-Encoding")
        || beast::iequals(field.m_value, "chunked");
}

Failure uninterpretableHead(const std::string &why, const std::string &bytes)
{
    return makeFailure(ErrorKind::BackendBroken,
                       "the head can't be interpreted, " + why + ": '" + statusLineText(bytes)
                           + "'",
                       RunState::Unknown);
}

HttpHead parsedHead(const HttpConnection &connection)
{
    const auto &message = connection.m_parser->get();
    HttpHead head;
    head.m_status = message.result_int();
    head.m_fields = getFields(message);
    return head;
}

/// Reads one head, informational or not, within the time limit set before.
asio::awaitable<Result<HttpHead>> readOneHead(HttpConnection &connection)
{
    connection.m_responseRead = false;
    std::string bytes;
    const auto error = co_await receiveHead(connection, bytes);
    if (error)
        co_return connectionFailure(error, RunState::Unknown);
    if (hasFoldedLine(bytes))
        co_return uninterpretableHead("a line begins with a blank", bytes);
    HttpHead head = parsedHead(connection);
    const std::string defect = headDefect(head);
    if (!defect.empty())
        co_return uninterpretableHead(defect, bytes);
    co_return head;
}

} // namespace

bool isHttpStatus(unsigned status)
{
    return status >= 100 && status <= 599;
}

bool isFinalStatus(unsigned status)
{
    return isHttpStatus(status) && status >= 200;
}

bool hasFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos
        || head.find("\r\n\t") != std::string_view::npos;
}

std::string headDefect(const HttpHead &head)
{
    if (!isHttpStatus(head.m_status))
        return "HTTP has no such status";
    if (!std::all_of(head.m_fields.begin(), head.m_fields.end(), hasKnownCoding))
        return "the transfer coding is unknown";
    return {};
}

std::string statusLineText(std::string_view head)
{
    const std::string_view line = head.substr(0, head.find("\r\n"));
    std::string text(line.substr(0, statusLineLimit));
    std::replace_if(
        text.begin(), text.end(), [](char letter) { return letter < ' ' || letter > '~'; }, '?');
    return text;
}

asio::awaitable<Result<HttpHead>> readHead(HttpConnection &connection, Millis timeout)
{
    connection.m_stream.expires_after(toChrono(timeout));
    for (int heads = 0; heads <= maxInformationalHeads; ++heads) {
        auto head = co_await readOneHead(connection);
        if (!ok(head) || isFinalStatus(std::get<HttpHead>(head).m_status))
            co_return head;
    }
    co_return makeFailure(ErrorKind::BackendBroken, "only informational heads, no response");
}

} // namespace apricot
