// Reads the heads of responses, and fails on those that this host can't interpret.
#include "connection/responsehead.h"

#include "connection/httpconnection.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr std::uint32_t responseHeadLimit = 16 * 1024; // bytes of a head, and of trailers
constexpr int maxInformationalHeads = 8;               // before the head of one response
constexpr std::size_t statusLineLimit = 120;           // characters in logs
constexpr std::string_view headEnd = "\r\n\r\n";

std::string_view bufferedText(const HttpConnection &connection)
{
    const auto bytes = connection.m_buffer.data();
    return {static_cast<const char *>(bytes.data()), bytes.size()};
}

/// Receives until a whole head is in the buffer, within the time limit set before. The buffer grows
/// as bytes arrive: most connections never need more than a small one.
asio::awaitable<boost::system::error_code> receiveHead(HttpConnection &connection)
{
    std::size_t searched = 0; // bytes in which no end of the head begins
    while (bufferedText(connection).find(headEnd, searched) == std::string_view::npos) {
        const std::size_t size = bufferedText(connection).size();
        if (size > responseHeadLimit)
            co_return http::error::header_limit;
        searched = size - std::min(size, headEnd.size() - 1);
        const auto [error, count] = co_await connection.m_stream.async_read_some(
            connection.m_buffer.prepare(
                beast::read_size(connection.m_buffer, connectionBufferLimit)),
            useAwaitable);
        connection.m_buffer.commit(count);
        if (error == asio::error::eof && size == 0)
            co_return http::error::end_of_stream;
        if (error == asio::error::eof)
            co_return http::error::partial_message;
        if (error)
            co_return error;
    }
    co_return boost::system::error_code();
}

/// The head in the buffer, to the end of its last line.
std::string_view wholeHead(const HttpConnection &connection)
{
    const std::string_view text = bufferedText(connection);
    return text.substr(0, text.find(headEnd));
}

/// Parses the head that is in the buffer, and removes it there.
asio::awaitable<boost::system::error_code> parseHead(HttpConnection &connection)
{
    connection.m_parser.emplace();
    connection.m_parser->skip(connection.m_headRequest);
    connection.m_parser->body_limit(boost::none);
    connection.m_parser->header_limit(responseHeadLimit);
    const auto [error, bytes] = co_await http::async_read_header(
        connection.m_stream, connection.m_buffer, *connection.m_parser, useAwaitable);
    co_return error;
}

/// Whether the field doesn't concern the transfer coding, or names the only one that this host
/// knows. Requests carry no TE field, so a server may use no other (RFC 9112, section 7.4).
bool hasKnownCoding(const HttpField &field)
{
    return !beast::iequals(field.m_name, "Transfer-Encoding")
        || beast::iequals(field.m_value, "chunked");
}

Failure uninterpretableHead(const std::string &why, const std::string &statusLine)
{
    return makeFailure(ErrorKind::BackendBroken,
                       "the head can't be interpreted, " + why + ": '" + statusLine + "'",
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
    auto error = co_await receiveHead(connection);
    if (error)
        co_return connectionFailure(error, RunState::Unknown);
    const std::string statusLine = statusLineText(wholeHead(connection));
    if (hasFoldedLine(wholeHead(connection)))
        co_return uninterpretableHead("a line begins with a blank", statusLine);
    error = co_await parseHead(connection);
    if (error)
        co_return connectionFailure(error, RunState::Unknown);
    HttpHead head = parsedHead(connection);
    const std::string defect = headDefect(head);
    if (!defect.empty())
        co_return uninterpretableHead(defect, statusLine);
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
