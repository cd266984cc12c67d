// HTTP/1.1 over Beast. Each connection is one coroutine on the thread that accepted it.
#include "connection/http.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url.hpp>

namespace apricot {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t readChunkSize = 16UL * 1024;       // bytes
constexpr std::size_t answerLimit = 8UL * 1024 * 1024;   // bytes of an answer read whole
constexpr std::size_t swallowLimit = 64UL * 1024 * 1024; // bytes read after a refusal
constexpr std::size_t longBody = 32UL * 1024; // bytes that a server may answer before it has read
constexpr Millis swallowTime = {2'000};
constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);

/// A caller's connection.
struct HttpSession
{
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<const HttpServerOptions> m_options;
    bool m_keepAlive = true;
};

/// A connection to a server; the parser lives as long as one answer.
struct HttpConnection
{
    explicit HttpConnection(asio::io_context &io) : m_stream(io) { }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    bool m_pooled = false;                             // was idle in the pool before this use
    bool m_whole = false;                              // the answer was read to its end
    bool m_cutShort = false;                           // the server answered, or closed, early
    std::chrono::steady_clock::time_point m_idleUntil; // valid in the pool
};

namespace {

bool sameName(std::string_view a, std::string_view b)
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

template<typename Message>
std::vector<HttpField> getFields(const Message &message)
{
    std::vector<HttpField> fields;
    for (const auto &field : message.base())
        fields.push_back({std::string(field.name_string()), std::string(field.value())});
    return fields;
}

/// Tells the exchange when the caller hangs up while its answer is being made.
void watchCaller(const std::shared_ptr<HttpSession> &session,
                 const std::shared_ptr<HttpExchange> &exchange)
{
    const std::weak_ptr<HttpExchange> weak = exchange;
    session->m_stream.socket().async_wait(
        tcp::socket::wait_read, [session, weak](const boost::system::error_code &error) {
            const auto watched = weak.lock();
            if (!watched || watched->m_ended || watched->m_broken)
                return;
            boost::system::error_code ignored;
            const bool more = !error && session->m_stream.socket().available(ignored) > 0;
            if (more)
                return; // the next request, sent early
            watched->m_callerGone = true;
            if (watched->m_onCallerGone)
                watched->m_onCallerGone();
        });
}

Failure requestFailure(const boost::system::error_code &error)
{
    if (error == http::error::body_limit)
        return makeFailure(ErrorKind::TooLarge, "the body is over the size limit");
    if (error == http::error::header_limit)
        return makeFailure(ErrorKind::TooLarge, "the head is over the size limit");
    return makeFailure(ErrorKind::BadRequest, error.message());
}

bool isHttpError(const boost::system::error_code &error)
{
    return error.category() == boost::system::error_code(http::error::body_limit).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

/// Reads on for a while, so that a caller still sending gets to read the refusal.
asio::awaitable<void> swallowRest(HttpSession &session)
{
    std::string bytes(readChunkSize, '\0');
    std::size_t left = swallowLimit;
    boost::system::error_code ignored;
    session.m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    session.m_stream.expires_after(toChrono(swallowTime));
    while (left > 0) {
        const auto [error, count]
            = co_await session.m_stream.async_read_some(asio::buffer(bytes), useAwaitable);
        if (error)
            break;
        left -= std::min(left, count);
    }
}

/// Waits for the first bytes of a request; false if none came in time.
asio::awaitable<bool> waitForBytes(HttpSession &session)
{
    if (session.m_buffer.size() > 0)
        co_return true;
    session.m_stream.expires_after(toChrono(session.m_options->m_idleTimeout));
    const auto [error, count] = co_await session.m_stream.async_read_some(
        session.m_buffer.prepare(readChunkSize), useAwaitable);
    session.m_buffer.commit(count);
    co_return !error;
}

asio::awaitable<bool> serveOne(std::shared_ptr<HttpSession> session, const HttpHandler &handler)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(session->m_options->m_bodyLimit);
    parser.header_limit(static_cast<std::uint32_t>(session->m_options->m_headLimit));
    if (!co_await waitForBytes(*session))
        co_return false;
    session->m_stream.expires_after(toChrono(session->m_options->m_headTimeout));
    const auto [error, bytes]
        = co_await http::async_read(session->m_stream, session->m_buffer, parser, useAwaitable);
    session->m_stream.expires_never();
    auto exchange = std::make_shared<HttpExchange>();
    exchange->m_session = session.get();
    if (error) {
        session->m_keepAlive = false;
        if (isHttpError(error) && session->m_options->m_refuse) {
            const HttpResponse refusal = session->m_options->m_refuse(requestFailure(error));
            co_await sendWhole(*exchange, refusal);
            co_await swallowRest(*session);
        }
        co_return false;
    }
    auto &message = parser.get();
    session->m_keepAlive = message.keep_alive();
    exchange->m_request.m_method = std::string(message.method_string());
    exchange->m_request.m_target = std::string(message.target());
    exchange->m_request.m_fields = getFields(message);
    exchange->m_request.m_body = std::move(message.body());
    watchCaller(session, exchange);
    co_await handler(*exchange);
    exchange->m_onCallerGone = nullptr;
    if (!exchange->m_ended)
        breakOff(*exchange);
    co_return exchange->m_ended && session->m_keepAlive;
}

asio::awaitable<void> serveConnection(std::shared_ptr<TcpListener> listener, tcp::socket socket,
                                      const HttpHandler &handler,
                                      std::shared_ptr<const HttpServerOptions> options)
{
    auto session = std::make_shared<HttpSession>(
        HttpSession{beast::tcp_stream(std::move(socket)), {}, std::move(options), true});
    while (co_await serveOne(session, handler)) {
        if (listener->m_stopped)
            break;
    }
    // Let the caller read the last answer before the socket goes.
    boost::system::error_code ignored;
    session->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

Failure brokenFailure(const boost::system::error_code &error, RunState run)
{
    Failure failure = makeFailure(ErrorKind::BackendBroken, error.message());
    if (error == beast::error::timeout)
        failure = makeFailure(ErrorKind::DeadlinePassed, "no answer in time");
    failure.m_run = run;
    return failure;
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
    auto body = co_await readBody(*connection, timeout, answerLimit);
    if (!ok(body))
        co_return std::get<Failure>(body);
    response.m_body = std::get<std::string>(std::move(body));
    releaseHttp(pool, endpoint, std::move(connection));
    co_return response;
}

} // namespace

std::string fieldOf(const std::vector<HttpField> &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (sameName(field.m_name, name))
            return field.m_value;
    }
    return {};
}

void dropHopFields(std::vector<HttpField> &fields)
{
    static const std::vector<std::string> always
        = {"Connection",          "Keep-Alive", "Proxy-Connection", "TE",     "Trailer",
           "Transfer-Encoding",   "Upgrade",    "Content-Length",   "Expect", "Proxy-Authenticate",
           "Proxy-Authorization", "Close"};
    const std::string named = fieldOf(fields, "Connection");
    std::erase_if(fields, [&](const HttpField &field) {
        const bool hop = std::any_of(always.begin(), always.end(), [&](const std::string &name) {
            return sameName(field.m_name, name);
        });
        return hop || (!named.empty() && http::token_list(named).exists(field.m_name));
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

asio::awaitable<bool> sendWhole(HttpExchange &exchange, const HttpResponse &response)
{
    HttpSession &session = *exchange.m_session;
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.m_head.m_status);
    setFields(message, response.m_head.m_fields);
    message.body() = response.m_body;
    session.m_keepAlive = session.m_keepAlive && !exchange.m_lastOne;
    message.keep_alive(session.m_keepAlive);
    message.prepare_payload();
    exchange.m_begun = true;
    session.m_stream.expires_after(toChrono(session.m_options->m_writeTimeout));
    const auto [error, bytes] = co_await http::async_write(session.m_stream, message, useAwaitable);
    session.m_stream.expires_never();
    exchange.m_ended = !error;
    exchange.m_callerGone = exchange.m_callerGone || error;
    co_return !error;
}

asio::awaitable<bool> beginStream(HttpExchange &exchange, const HttpHead &head)
{
    HttpSession &session = *exchange.m_session;
    http::response<http::empty_body> message;
    message.version(11);
    message.result(head.m_status);
    setFields(message, head.m_fields);
    session.m_keepAlive = session.m_keepAlive && !exchange.m_lastOne;
    message.keep_alive(session.m_keepAlive);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    exchange.m_begun = true;
    session.m_stream.expires_after(toChrono(session.m_options->m_writeTimeout));
    const auto [error, bytes]
        = co_await http::async_write_header(session.m_stream, serializer, useAwaitable);
    session.m_stream.expires_never();
    exchange.m_callerGone = exchange.m_callerGone || error;
    co_return !error;
}

asio::awaitable<bool> writeChunk(HttpExchange &exchange, std::string_view bytes)
{
    if (bytes.empty())
        co_return !exchange.m_callerGone;
    HttpSession &session = *exchange.m_session;
    session.m_stream.expires_after(toChrono(session.m_options->m_writeTimeout));
    const auto chunk = http::make_chunk(asio::buffer(bytes.data(), bytes.size()));
    const auto [error, count] = co_await asio::async_write(session.m_stream, chunk, useAwaitable);
    session.m_stream.expires_never();
    exchange.m_callerGone = exchange.m_callerGone || error;
    co_return !error;
}

asio::awaitable<bool> endStream(HttpExchange &exchange)
{
    HttpSession &session = *exchange.m_session;
    session.m_stream.expires_after(toChrono(session.m_options->m_writeTimeout));
    const auto [error, count]
        = co_await asio::async_write(session.m_stream, http::make_chunk_last(), useAwaitable);
    session.m_stream.expires_never();
    exchange.m_ended = !error;
    co_return !error;
}

void breakOff(HttpExchange &exchange)
{
    exchange.m_broken = true;
    boost::system::error_code ignored;
    exchange.m_session->m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
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

asio::awaitable<Result<HttpConnectionPtr>> openHttp(HttpPool &pool, const Endpoint &endpoint,
                                                    Millis timeout, bool fresh)
{
    HttpConnectionPtr connection = fresh ? nullptr : takeIdle(pool.m_idle, endpoint);
    if (connection && connection->m_idleUntil > std::chrono::steady_clock::now())
        co_return connection;
    connection = std::make_shared<HttpConnection>(*pool.m_io);
    connection->m_stream.expires_after(toChrono(timeout));
    const tcp::endpoint at = toTcp(endpoint);
    const auto [error] = co_await connection->m_stream.async_connect(at, useAwaitable);
    if (error) {
        Failure failure = makeFailure(ErrorKind::NoBackendServer,
                                      toText(endpoint) + ": " + error.message(), {1'000});
        co_return failure;
    }
    boost::system::error_code ignored;
    connection->m_stream.socket().set_option(tcp::no_delay(true), ignored);
    if (pool.m_deadAfter.m_count > 0)
        watchSilence(connection->m_stream.socket(), pool.m_deadAfter);
    co_return connection;
}

namespace {

/// Writes a request. A server may answer before it has read a long body: the rest is then left out,
/// and the connection can't be used again.
asio::awaitable<boost::system::error_code>
writeRequest(HttpConnection &connection, const http::request<http::string_body> &message)
{
    using namespace asio::experimental::awaitable_operators;
    if (message.body().size() < longBody) {
        const auto [error, bytes]
            = co_await http::async_write(connection.m_stream, message, useAwaitable);
        co_return error;
    }
    const auto first = co_await (
        http::async_write(connection.m_stream, message, useAwaitable)
        || connection.m_stream.socket().async_wait(tcp::socket::wait_read, useAwaitable));
    connection.m_cutShort = first.index() == 1;
    if (connection.m_cutShort)
        co_return boost::system::error_code();
    co_return std::get<0>(std::get<0>(first));
}

} // namespace

asio::awaitable<std::optional<Failure>> sendRequest(HttpConnection &connection,
                                                    const Endpoint &endpoint,
                                                    const HttpRequest &request, Millis timeout)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.m_method);
    message.target(request.m_target);
    if (fieldOf(request.m_fields, "Host").empty())
        message.set(http::field::host, toText(endpoint));
    setFields(message, request.m_fields);
    message.body() = request.m_body;
    message.prepare_payload();
    connection.m_whole = false;
    connection.m_parser.emplace();
    connection.m_parser->skip(request.m_method == "HEAD");
    connection.m_parser->body_limit(boost::none);
    connection.m_stream.expires_after(toChrono(timeout));
    const auto error = co_await writeRequest(connection, message);
    if (!error)
        co_return std::nullopt;
    co_return brokenFailure(error, RunState::Unknown);
}

asio::awaitable<Result<HttpHead>> readHead(HttpConnection &connection, Millis timeout)
{
    connection.m_stream.expires_after(toChrono(timeout));
    const auto [error, bytes] = co_await http::async_read_header(
        connection.m_stream, connection.m_buffer, *connection.m_parser, useAwaitable);
    if (error)
        co_return brokenFailure(error, RunState::Unknown);
    HttpHead head;
    head.m_status = connection.m_parser->get().result_int();
    head.m_fields = getFields(connection.m_parser->get());
    co_return head;
}

asio::awaitable<Result<std::string>> readSome(HttpConnection &connection, Millis timeout)
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
            co_return brokenFailure(error, RunState::Unknown);
        const std::size_t got = bytes.size() - body.size;
        if (got > 0) {
            bytes.resize(got);
            co_return bytes;
        }
    }
    connection.m_whole = true;
    connection.m_stream.expires_never();
    co_return std::string();
}

asio::awaitable<Result<std::string>> readBody(HttpConnection &connection, Millis timeout,
                                              std::size_t limit)
{
    std::string body;
    while (true) {
        const auto bytes = co_await readSome(connection, timeout);
        if (!ok(bytes))
            co_return std::get<Failure>(bytes);
        const std::string &text = std::get<std::string>(bytes);
        if (text.empty())
            co_return body;
        body += text;
        if (body.size() > limit)
            co_return makeFailure(ErrorKind::BackendBroken, "the answer is over the size limit");
    }
}

namespace {

/// How long the connection may be idle and still be used: well within what the server says.
Millis idleTimeOf(const HttpPool &pool, HttpConnection &connection)
{
    const std::string keep(connection.m_parser->get()[http::field::keep_alive]);
    const std::size_t at = keep.find("timeout=");
    if (at == std::string::npos)
        return pool.m_idleTime;
    const std::int64_t seconds = std::strtol(keep.c_str() + at + 8, nullptr, 10);
    return std::min(pool.m_idleTime, Millis{seconds * 600});
}

} // namespace

void releaseHttp(HttpPool &pool, const Endpoint &endpoint, HttpConnectionPtr connection)
{
    // Bytes beyond the answer belong to no request: such a connection can't be trusted.
    const bool reusable = connection->m_whole && !connection->m_cutShort
        && connection->m_buffer.size() == 0 && connection->m_parser->get().keep_alive();
    auto &idle = pool.m_idle[endpoint];
    if (reusable && idle.size() < pool.m_idleLimit) {
        connection->m_stream.expires_never();
        connection->m_idleUntil
            = std::chrono::steady_clock::now() + toChrono(idleTimeOf(pool, *connection));
        idle.push_back(std::move(connection));
    }
}

void closeHttp(HttpConnection &connection)
{
    connection.m_stream.close();
}

asio::awaitable<Result<HttpResponse>> fetchHttp(HttpPool &pool, Endpoint endpoint,
                                                HttpRequest request, Millis timeout)
{
    auto opened = co_await openHttp(pool, endpoint, timeout, false);
    if (!ok(opened))
        co_return std::get<Failure>(opened);
    HttpConnectionPtr connection = std::get<HttpConnectionPtr>(opened);
    auto response = co_await fetchOn(pool, endpoint, request, timeout, connection);
    const bool stale = !ok(response) && connection->m_pooled
        && std::get<Failure>(response).m_kind == ErrorKind::BackendBroken;
    if (!stale || !mayRepeat(request))
        co_return response;
    auto again = co_await openHttp(pool, endpoint, timeout, true);
    if (!ok(again))
        co_return std::get<Failure>(again);
    co_return co_await fetchOn(pool, endpoint, request, timeout,
                               std::get<HttpConnectionPtr>(again));
}

} // namespace apricot
