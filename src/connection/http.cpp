// HTTP/1.1 server and client on Boost.Beast. Each accepted connection is served by one coroutine,
// on the I/O thread that the listener assigned to it.
#include "connection/httpconnection.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/url.hpp>

namespace apricot {

using tcp = asio::ip::tcp;

constexpr std::size_t responseLimit = 8UL * 1024 * 1024;   // bytes of a body, in fetchHttp()
constexpr std::size_t discardLimit = 64UL * 1024 * 1024;   // bytes; see discardRestOfRequest()
constexpr std::size_t earlyResponseBodySize = 32UL * 1024; // bytes; see writeRequest()
constexpr std::size_t discardChunkSize = 4UL * 1024;       // bytes
constexpr Millis discardTimeout = {2'000};                 // see discardRestOfRequest()

namespace {

bool equalFieldNames(std::string_view a, std::string_view b)
{
    return beast::iequals(beast::string_view(a.data(), a.size()),
                          beast::string_view(b.data(), b.size()));
}

template<typename Message>
void setFields(Message &message, const std::vector<HttpField> &fields)
{
    for (const HttpField &field : fields)
        message.insert(field.m_name, field.m_value);
}

/// Notifies the exchange if the caller closes the connection before its response is complete.
void watchCallerDisconnect(const std::shared_ptr<HttpSession> &session,
                           const std::shared_ptr<HttpExchange> &exchange)
{
    // Neither is kept alive: the wait lasts until the caller sends or closes, which may be never.
    const std::weak_ptr<HttpExchange> weakExchange = exchange;
    const std::weak_ptr<HttpSession> weakSession = session;
    session->m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [weakSession, weakExchange](const boost::system::error_code &error) {
            const auto watched = weakExchange.lock();
            const auto session = weakSession.lock();
            if (!watched || !session || watched->m_responseComplete || watched->m_aborted)
                return;
            boost::system::error_code ignored;
            const bool nextRequestArrived
                = !error && session->m_stream.socket().available(ignored) > 0;
            if (nextRequestArrived)
                return; // the caller sent its next request already
            watched->m_callerDisconnected = true;
            if (watched->m_onCallerDisconnect)
                watched->m_onCallerDisconnect();
        });
}

Failure requestFailure(const boost::system::error_code &error)
{
    if (error == http::error::body_limit)
        return makeFailure(ErrorKind::TooLarge, "the body is over the size limit");
    if (error == http::error::header_limit)
        return makeFailure(ErrorKind::TooLarge, "the head is over the size limit");
    if (error == notAdmitted())
        return makeFailure(ErrorKind::Overloaded,
                           "the memory for requests is needed for other clients");
    return makeFailure(ErrorKind::BadRequest, error.message());
}

bool isHttpError(const boost::system::error_code &error)
{
    return error.category() == boost::system::error_code(http::error::body_limit).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

/// Reads and discards what the caller still sends, within limits. Closing the socket with unread
/// bytes would reset the connection, and a caller that is still sending might never read the
/// refusal.
asio::awaitable<void> discardRestOfRequest(HttpSession &session)
{
    std::string bytes(discardChunkSize, '\0');
    std::size_t remaining = discardLimit;
    boost::system::error_code ignored;
    session.m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    session.m_stream.expires_after(toChrono(discardTimeout));
    while (remaining > 0) {
        const auto [error, count]
            = co_await session.m_stream.async_read_some(asio::buffer(bytes), useAwaitable);
        if (error)
            break;
        remaining -= std::min(remaining, count);
    }
}

/// Counts a request in its listener's m_openRequests, as long as this object lives.
struct OpenRequest
{
    explicit OpenRequest(TcpListener &listener) : m_listener(listener)
    {
        m_listener.m_openRequests += 1;
    }
    ~OpenRequest() { m_listener.m_openRequests -= 1; }
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

    TcpListener &m_listener;
};

/// Serves one request; true if the connection can be used for another one.
asio::awaitable<bool> serveRequest(std::shared_ptr<HttpSession> session, const HttpHandler &handler,
                                   TcpListener &listener)
{
    RequestReader reader;
    auto &parser = reader.m_parser;
    parser.body_limit(session->m_options->m_bodyLimit);
    parser.header_limit(static_cast<std::uint32_t>(session->m_options->m_headLimit));
    session->m_buffer.max_size(session->m_options->m_headLimit + connectionBufferLimit);
    if (!co_await waitForBytes(*session))
        co_return false;
    const OpenRequest open(listener);
    session->m_stream.expires_after(toChrono(session->m_options->m_headTimeout));
    const auto error = co_await readRequest(*session, reader);
    session->m_stream.expires_never();
    auto exchange = std::make_shared<HttpExchange>();
    exchange->m_session = session.get();
    if (error) {
        session->m_keepAlive = false;
        reader.m_body = std::string();
        const bool refused = error == notAdmitted() || isHttpError(error);
        if (refused && session->m_options->m_makeErrorResponse) {
            const HttpResponse refusal
                = session->m_options->m_makeErrorResponse(requestFailure(error));
            co_await sendResponse(*exchange, refusal);
            // What isn't admitted isn't read on: the client may send for as long as it likes.
            if (error != notAdmitted())
                co_await discardRestOfRequest(*session);
        }
        co_return false;
    }
    auto &message = parser.get();
    session->m_keepAlive = message.keep_alive();
    session->m_version = message.version();
    exchange->m_request.m_method = std::string(message.method_string());
    exchange->m_request.m_target = std::string(message.target());
    exchange->m_request.m_fields = getFields(message);
    exchange->m_request.m_body = std::move(reader.m_body);
    recordHandling(*session, reader, exchange->m_request.m_body.capacity());
    watchCallerDisconnect(session, exchange);
    co_await handler(*exchange);
    exchange->m_onCallerDisconnect = nullptr;
    if (!exchange->m_responseComplete)
        abortResponse(*exchange);
    recordIdle(*session);
    co_return exchange->m_responseComplete && session->m_keepAlive;
}

asio::awaitable<void> serveConnection(std::shared_ptr<TcpListener> listener, tcp::socket socket,
                                      const HttpHandler &handler,
                                      std::shared_ptr<const HttpServerOptions> options)
{
    auto session = std::make_shared<HttpSession>(
        HttpSession{beast::tcp_stream(std::move(socket)), {}, std::move(options), true});
    const AdmittedSession admitted(*session);
    while (admitted.m_admitted && co_await serveRequest(session, handler, *listener)) {
        if (listener->m_stopped)
            break;
    }
    // Sends a FIN after the last response, so that the caller can read it to its end. Closing at
    // once would reset the connection if the caller has sent more.
    if (admitted.m_admitted && !session->m_closing)
        co_await discardRestOfRequest(*session);
}

/// Whether the error says that the other side closed or reset the connection.
bool endedByPeer(const boost::system::error_code &error)
{
    return error == asio::error::eof || error == asio::error::connection_reset
        || error == asio::error::connection_aborted || error == asio::error::broken_pipe
        || error == http::error::end_of_stream || error == http::error::partial_message;
}

bool mayRepeat(const HttpRequest &request)
{
    return request.m_method == "GET";
}

asio::awaitable<Result<HttpResponse>> fetchOn(HttpPool &pool, const Endpoint &endpoint,
                                              const HttpRequest &request, Millis timeout,
                                              HttpConnectionPtr connection)
{
    const auto sendFailure = co_await sendRequest(*connection, endpoint, request, timeout);
    if (sendFailure)
        co_return *sendFailure;
    auto head = co_await readHead(*connection, timeout);
    if (!ok(head))
        co_return std::get<Failure>(head);
    HttpResponse response;
    response.m_head = std::move(std::get<HttpHead>(head));
    auto body = co_await readBody(*connection, timeout, responseLimit);
    if (!ok(body))
        co_return std::get<Failure>(body);
    response.m_body = std::get<std::string>(std::move(body));
    releaseHttpConnection(pool, endpoint, std::move(connection));
    co_return response;
}

} // namespace

Failure connectionFailure(const boost::system::error_code &error, RunState run)
{
    Failure failure = makeFailure(ErrorKind::BackendBroken, error.message());
    if (error == beast::error::timeout)
        failure = makeFailure(ErrorKind::DeadlinePassed, "the server did not respond in time");
    failure.m_run = run;
    failure.m_connectionEnded = endedByPeer(error);
    return failure;
}

std::string fieldOf(const std::vector<HttpField> &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (equalFieldNames(field.m_name, name))
            return field.m_value;
    }
    return {};
}

void removeHopByHopFields(std::vector<HttpField> &fields)
{
    static const std::vector<std::string> hopByHopNames
        = {"Connection",          "Keep-Alive", "Proxy-Connection", "TE",     "Trailer",
           "Transfer-Encoding",   "Upgrade",    "Content-Length",   "Expect", "Proxy-Authenticate",
           "Proxy-Authorization", "Close"};
    const std::string connectionOptions = fieldOf(fields, "Connection");
    std::erase_if(fields, [&](const HttpField &field) {
        const bool isHopByHop
            = std::any_of(hopByHopNames.begin(), hopByHopNames.end(), [&](const std::string &name) {
                  return equalFieldNames(field.m_name, name);
              });
        return isHopByHop
            || (!connectionOptions.empty()
                && http::token_list(connectionOptions).exists(field.m_name));
    });
}

void addField(std::vector<HttpField> &fields, std::string name, std::string value)
{
    HttpField field;
    field.m_name = std::move(name);
    field.m_value = std::move(value);
    fields.push_back(std::move(field));
}

std::optional<Target> parseTarget(const std::string &text)
{
    const auto url = boost::urls::parse_origin_form(text);
    if (!url)
        return {};
    Target target;
    for (const auto &segment : url->segments())
        target.m_path.push_back(segment);
    for (const auto &parameter : url->params())
        target.m_query.push_back({parameter.key, parameter.value});
    return target;
}

std::string escapeQuery(std::string_view text)
{
    return boost::urls::encode(boost::urls::string_view(text.data(), text.size()),
                               boost::urls::unreserved_chars);
}

asio::awaitable<bool> sendResponse(HttpExchange &exchange, const HttpResponse &response)
{
    HttpSession &session = *exchange.m_session;
    http::response<http::span_body<const char>> message;
    message.version(11);
    message.result(response.m_head.m_status);
    setFields(message, response.m_head.m_fields);
    message.body() = beast::span<const char>(response.m_body.data(), response.m_body.size());
    session.m_keepAlive = session.m_keepAlive && !exchange.m_closeAfter;
    message.keep_alive(session.m_keepAlive);
    message.prepare_payload();
    exchange.m_responseStarted = true;
    session.m_stream.expires_after(toChrono(session.m_options->m_writeTimeout));
    const auto [error, bytes] = co_await http::async_write(session.m_stream, message, useAwaitable);
    session.m_stream.expires_never();
    exchange.m_responseComplete = !error;
    exchange.m_callerDisconnected = exchange.m_callerDisconnected || error;
    co_return !error;
}

asio::awaitable<bool> beginStream(HttpExchange &exchange, const HttpHead &head)
{
    HttpSession &session = *exchange.m_session;
    http::response<http::empty_body> message;
    message.version(11);
    message.result(head.m_status);
    setFields(message, head.m_fields);
    session.m_endsWithConnection = session.m_version < 11;
    session.m_keepAlive
        = session.m_keepAlive && !exchange.m_closeAfter && !session.m_endsWithConnection;
    message.keep_alive(session.m_keepAlive);
    message.chunked(!session.m_endsWithConnection);
    http::response_serializer<http::empty_body> serializer(message);
    exchange.m_responseStarted = true;
    session.m_stream.expires_after(toChrono(session.m_options->m_writeTimeout));
    const auto [error, bytes]
        = co_await http::async_write_header(session.m_stream, serializer, useAwaitable);
    session.m_stream.expires_never();
    exchange.m_callerDisconnected = exchange.m_callerDisconnected || error;
    co_return !error;
}

Endpoint remoteEndpoint(const HttpExchange &exchange)
{
    boost::system::error_code error;
    const auto remote = exchange.m_session->m_stream.socket().remote_endpoint(error);
    return error ? Endpoint() : Endpoint{remote.address().to_string(), remote.port()};
}

asio::awaitable<bool> writeChunk(HttpExchange &exchange, std::string_view bytes)
{
    if (bytes.empty())
        co_return !exchange.m_callerDisconnected;
    HttpSession &session = *exchange.m_session;
    session.m_stream.expires_after(toChrono(session.m_options->m_writeTimeout));
    const asio::const_buffer buffer(bytes.data(), bytes.size());
    const auto [error, count] = session.m_endsWithConnection
        ? co_await asio::async_write(session.m_stream, buffer, useAwaitable)
        : co_await asio::async_write(session.m_stream, http::make_chunk(buffer), useAwaitable);
    session.m_stream.expires_never();
    exchange.m_callerDisconnected = exchange.m_callerDisconnected || error;
    co_return !error;
}

asio::awaitable<bool> endStream(HttpExchange &exchange)
{
    HttpSession &session = *exchange.m_session;
    if (session.m_endsWithConnection) { // serveConnection() ends the connection in order
        exchange.m_responseComplete = !exchange.m_callerDisconnected;
        co_return exchange.m_responseComplete;
    }
    session.m_stream.expires_after(toChrono(session.m_options->m_writeTimeout));
    const auto [error, count]
        = co_await asio::async_write(session.m_stream, http::make_chunk_last(), useAwaitable);
    session.m_stream.expires_never();
    exchange.m_responseComplete = !error;
    co_return !error;
}

void abortResponse(HttpExchange &exchange)
{
    exchange.m_aborted = true;
    tcp::socket &socket = exchange.m_session->m_stream.socket();
    boost::system::error_code ignored;
    if (exchange.m_session->m_endsWithConnection) {
        socket.set_option(asio::socket_base::linger(true, 0), ignored); // close with a reset
        socket.close(ignored);
        return;
    }
    socket.shutdown(tcp::socket::shutdown_both, ignored);
}

Result<std::shared_ptr<TcpListener>> listenHttp(const std::vector<asio::io_context *> &ios,
                                                const Endpoint &endpoint, HttpHandler handler,
                                                HttpServerOptions options)
{
    return listenHttp(ios, endpoint, std::move(handler),
                      std::make_shared<const HttpServerOptions>(std::move(options)));
}

Result<std::shared_ptr<TcpListener>> listenHttp(const std::vector<asio::io_context *> &ios,
                                                const Endpoint &endpoint, HttpHandler handler,
                                                std::shared_ptr<const HttpServerOptions> options)
{
    const auto serve = [handler = std::move(handler), options = std::move(options)](
                           std::shared_ptr<TcpListener> listener, tcp::socket socket) {
        return serveConnection(std::move(listener), std::move(socket), handler, options);
    };
    return listenTcp(ios, endpoint, serve);
}

asio::awaitable<Result<HttpConnectionPtr>> openHttpConnection(HttpPool &pool,
                                                              const Endpoint &endpoint,
                                                              Millis timeout, bool forceNew,
                                                              const ConnectionNumbers *except)
{
    const auto mayUse = [except](const HttpConnection &idle) {
        return !except || !except->contains(idle.m_use.m_connection);
    };
    HttpConnectionPtr connection
        = forceNew ? nullptr : takeIdleConnection(pool.m_idle, endpoint, mayUse);
    if (connection && connection->m_idleUntil > std::chrono::steady_clock::now())
        co_return connection;
    connection = std::make_shared<HttpConnection>(*pool.m_io);
    pool.m_opened += 1;
    connection->m_use.m_connection = pool.m_opened;
    connection->m_stream.expires_after(toChrono(timeout));
    const tcp::endpoint at = toTcpEndpoint(endpoint);
    const auto [error] = co_await connection->m_stream.async_connect(at, useAwaitable);
    if (error) {
        Failure failure = makeFailure(ErrorKind::NoBackendServer,
                                      toText(endpoint) + ": " + error.message(), {1'000});
        co_return failure;
    }
    boost::system::error_code ignored;
    connection->m_stream.socket().set_option(tcp::no_delay(true), ignored);
    if (pool.m_ackTimeout.m_count > 0)
        enableDeadPeerDetection(connection->m_stream.socket(), pool.m_ackTimeout);
    co_return connection;
}

namespace {

/// Writes a request. A server may respond before it has read a large body, for example to refuse
/// it. For bodies of earlyResponseBodySize or more, the rest of the body is then not sent, and the
/// connection can't be reused.
asio::awaitable<boost::system::error_code>
writeRequest(HttpConnection &connection, const http::request<http::span_body<const char>> &message)
{
    using namespace asio::experimental::awaitable_operators;
    if (message.body().size() < earlyResponseBodySize) {
        const auto [error, bytes]
            = co_await http::async_write(connection.m_stream, message, useAwaitable);
        co_return error;
    }
    const auto first = co_await (
        http::async_write(connection.m_stream, message, useAwaitable)
        || connection.m_stream.socket().async_wait(tcp::socket::wait_read, useAwaitable));
    connection.m_earlyResponse = first.index() == 1;
    if (connection.m_earlyResponse)
        co_return boost::system::error_code();
    co_return std::get<0>(std::get<0>(first));
}

} // namespace

asio::awaitable<std::optional<Failure>> sendRequest(HttpConnection &connection,
                                                    const Endpoint &endpoint,
                                                    const HttpRequest &request, Millis timeout)
{
    return sendRequest(connection, endpoint, request, request.m_body, timeout);
}

asio::awaitable<std::optional<Failure>> sendRequest(HttpConnection &connection,
                                                    const Endpoint &endpoint,
                                                    const HttpRequest &request,
                                                    std::string_view body, Millis timeout)
{
    http::request<http::span_body<const char>> message;
    message.version(11);
    message.method_string(request.m_method);
    message.target(request.m_target);
    if (fieldOf(request.m_fields, "Host").empty())
        message.set(http::field::host, toText(endpoint));
    setFields(message, request.m_fields);
    message.body() = beast::span<const char>(body.data(), body.size());
    message.prepare_payload();
    connection.m_use.m_requests += 1;
    connection.m_responseRead = false;
    connection.m_headRequest = request.m_method == "HEAD";
    connection.m_stream.expires_after(toChrono(timeout));
    const auto error = co_await writeRequest(connection, message);
    if (!error)
        co_return std::nullopt;
    co_return connectionFailure(error, RunState::Unknown);
}

ConnectionUse useOf(const HttpConnection &connection)
{
    return connection.m_use;
}

bool wasSentWhole(const HttpConnection &connection)
{
    return !connection.m_earlyResponse;
}

const char *toText(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::ConnectionEnd:
        return "connection_end";
    }
    return "connection_end";
}

BodyFraming bodyFramingOf(const HttpConnection &connection)
{
    if (connection.m_parser->chunked())
        return BodyFraming::Chunks;
    return connection.m_parser->need_eof() ? BodyFraming::ConnectionEnd : BodyFraming::Length;
}

asio::awaitable<Result<std::string>> readBodyPart(HttpConnection &connection, Millis timeout)
{
    auto &parser = *connection.m_parser;
    std::string bytes(readChunkSize, '\0');
    connection.m_stream.expires_after(toChrono(timeout));
    while (!parser.is_done()) {
        auto &body = parser.get().body();
        body.data = bytes.data();
        body.size = bytes.size();
        const auto [error, count] = co_await http::async_read_some(
            connection.m_stream, connection.m_buffer, parser, useAwaitable);
        if (error && error != http::error::need_buffer)
            co_return connectionFailure(error, RunState::Unknown);
        const std::size_t received = bytes.size() - body.size;
        if (received > 0) {
            bytes.resize(received);
            co_return bytes;
        }
    }
    connection.m_responseRead = true;
    connection.m_stream.expires_never();
    co_return std::string();
}

bool holdBytes(HeldBytes &held, std::size_t count)
{
    if (held.m_budget.m_used + count > held.m_budget.m_limit)
        return false;
    held.m_budget.m_used += count;
    held.m_count += count;
    return true;
}

asio::awaitable<Result<std::string>> readBody(HttpConnection &connection, Millis timeout,
                                              std::size_t limit, HeldBytes *held)
{
    const auto end = std::chrono::steady_clock::now() + toChrono(timeout);
    std::string body;
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        const auto bytes = co_await readBodyPart(connection, {left.count()});
        if (!ok(bytes))
            co_return std::get<Failure>(bytes);
        const std::string &text = std::get<std::string>(bytes);
        if (text.empty())
            co_return body;
        body += text;
        if (body.size() > limit)
            co_return makeFailure(ErrorKind::BackendBroken, "the response is over the size limit");
        if (held && !holdBytes(*held, text.size()))
            co_return makeFailure(ErrorKind::BackendBroken,
                                  "the responses read now are over the memory limit");
    }
}

namespace {

/// How long the connection may be idle and still be reused: the limit of the pool, or 60 % of the
/// timeout in the server's Keep-Alive field if that is less. The rest is a margin, so that a
/// request isn't sent on a connection that the server is about to close.
Millis idleTimeOf(const HttpPool &pool, HttpConnection &connection)
{
    const std::string keep(connection.m_parser->get()[http::field::keep_alive]);
    const std::size_t at = keep.find("timeout=");
    if (at == std::string::npos)
        return pool.m_maxIdleTime;
    const std::int64_t seconds = std::strtol(keep.c_str() + at + 8, nullptr, 10);
    return std::min(pool.m_maxIdleTime, Millis{seconds * 600});
}

} // namespace

void releaseHttpConnection(HttpPool &pool, const Endpoint &endpoint, HttpConnectionPtr connection)
{
    // Bytes after the response belong to no request. The next response on such a connection might
    // be the wrong one, so it is closed.
    const bool reusable = connection->m_responseRead && !connection->m_earlyResponse
        && connection->m_buffer.size() == 0 && connection->m_parser->get().keep_alive();
    auto &idle = pool.m_idle[endpoint];
    if (reusable && idle.size() < pool.m_maxIdleConnections) {
        connection->m_stream.expires_never();
        connection->m_idleUntil
            = std::chrono::steady_clock::now() + toChrono(idleTimeOf(pool, *connection));
        idle.push_back(std::move(connection));
    }
}

void closeHttpConnection(HttpConnection &connection)
{
    connection.m_stream.close();
}

asio::awaitable<Result<HttpResponse>> fetchHttp(HttpPool &pool, Endpoint endpoint,
                                                HttpRequest request, Millis timeout)
{
    auto opened = co_await openHttpConnection(pool, endpoint, timeout, false);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    auto response = co_await fetchOn(pool, endpoint, request, timeout, connection);
    const bool pooledClosed = !ok(response) && connection->m_pooled
        && std::get<Failure>(response).m_kind == ErrorKind::BackendBroken;
    if (!pooledClosed || !mayRepeat(request))
        co_return response;
    auto reopened = co_await openHttpConnection(pool, endpoint, timeout, true);
    if (!ok(reopened))
        co_return std::get<Failure>(reopened);
    co_return co_await fetchOn(pool, endpoint, request, timeout,
                               std::get<HttpConnectionPtr>(reopened));
}

} // namespace apricot
