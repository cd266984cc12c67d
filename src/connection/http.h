// HTTP/1.1 server and client on Boost.Beast, with requests and responses as plain structs.
//
// A connection belongs to one I/O thread, so nothing here takes a lock. A failure tells whether
// bytes may have reached the other side: Failure::m_run is NotRun before the first byte is written
// and Unknown after it.
#pragma once

#include "admission/admission.h"
#include "apricot.h"
#include "connection/tcp.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>

namespace apricot {

struct HttpField
{
    std::string m_name;
    std::string m_value;
};

struct HttpRequest
{
    std::string m_method = "GET";
    std::string m_target = "/"; // path and query, percent-encoded
    std::vector<HttpField> m_fields;
    std::string m_body;
};

/// What marks the end of a message body.
enum class BodyFraming : std::uint8_t {
    Length,        // Content-Length, or a response that never has a body
    Chunks,        // the last chunk
    ConnectionEnd, // nothing but the orderly end of the connection
};

const char *toText(BodyFraming framing);

/// Status and header fields of a response.
struct HttpHead
{
    unsigned m_status = 200;
    std::vector<HttpField> m_fields;
};

struct HttpResponse
{
    HttpHead m_head;
    std::string m_body;
};

/// The value of the first field with that name, compared without regard to case; empty if there is
/// none.
std::string fieldOf(const std::vector<HttpField> &fields, std::string_view name);

/// Appends a field. Use it in coroutines in place of push_back({name, value}): GCC 12 miscompiles
/// braced initializers with strings there.
void addField(std::vector<HttpField> &fields, std::string name, std::string value);

/// The target of a request, split into its parts and percent-decoded.
struct Target
{
    std::vector<std::string> m_path; // segments of the path
    std::vector<HttpField> m_query;
};

/// Nothing if the target is malformed.
std::optional<Target> parseTarget(const std::string &target);

/// Percent-encodes a text for use in a query.
std::string escapeQuery(std::string_view text);

// --- server ---

struct HttpSession;

/// One request and the state of its response. The handler either sends a complete response or
/// begins a stream and ends it. A response that isn't complete when the handler returns is aborted.
struct HttpExchange
{
    HttpRequest m_request;
    HttpSession *m_session = nullptr;
    std::function<void()> m_onCallerDisconnect; // called on the thread of the connection
    bool m_callerDisconnected = false;
    bool m_closeAfter = false;       // set before the response: the connection closes after it
    bool m_responseStarted = false;  // sending of the head has begun
    bool m_responseComplete = false; // all of the response was sent
    bool m_aborted = false;          // the response was truncated and the connection shut down
};

/// Address that the request came from; its IP address is empty if the connection is gone.
Endpoint remoteEndpoint(const HttpExchange &exchange);

/// Sends a complete response. This and the stream functions return false if the write failed: the
/// caller can't be reached any more.
asio::awaitable<bool> sendResponse(HttpExchange &exchange, const HttpResponse &response);

/// Begins a response that is sent in chunks. To a caller of HTTP/1.0, which doesn't know chunks,
/// the bytes are sent without framing, and the orderly end of the connection completes the
/// response.
asio::awaitable<bool> beginStream(HttpExchange &exchange, const HttpHead &head);
asio::awaitable<bool> writeChunk(HttpExchange &exchange, std::string_view bytes);
asio::awaitable<bool> endStream(HttpExchange &exchange);

/// Ends the connection so that the caller sees that the response is truncated: without the last
/// chunk or the rest of the stated length; where only the end of the connection would complete the
/// response, with a reset.
void abortResponse(HttpExchange &exchange);

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange &)>;

/// Limits the memory and the number of the connections of one or more listeners, all on one I/O
/// thread.
struct AdmissionControl
{
    AdmissionTable m_table;
    std::map<ConnectionId, HttpSession *> m_sessions; // open ones
    std::uint64_t m_lastConnection = 0;
};

/// Limits and timeouts for the connections of a listener.
struct HttpServerOptions
{
    std::size_t m_bodyLimit = 1 << 20;  // bytes of a request body
    std::size_t m_headLimit = 16 << 10; // bytes of request line and header fields
    Millis m_idleTimeout = {75'000};    // ms to wait for the first byte of a request
    Millis m_headTimeout = {75'000};    // ms to receive a request, from its first byte
    Millis m_writeTimeout = {30'000};   // ms for one write, however slow the caller reads
    std::function<HttpResponse(const Failure &)>
        m_makeErrorResponse; // for invalid requests; empty: close without a response
    /// Bounds what clients may hold together; null: each is bounded by itself only.
    std::shared_ptr<AdmissionControl> m_admission;
};

/// Listens and serves each request with the handler. Connections are assigned to the io_contexts
/// round-robin. Failure if the port is taken.
Result<std::shared_ptr<TcpListener>> listenHttp(const std::vector<asio::io_context *> &ios,
                                                const Endpoint &endpoint, HttpHandler handler,
                                                HttpServerOptions options);

/// As above, with options that the owner may change while the listener runs: each request is served
/// with the values at that moment.
Result<std::shared_ptr<TcpListener>> listenHttp(const std::vector<asio::io_context *> &ios,
                                                const Endpoint &endpoint, HttpHandler handler,
                                                std::shared_ptr<const HttpServerOptions> options);

/// Removes hop-by-hop fields: those that concern one connection only, and those that the Connection
/// field names. An intermediary must not forward them.
void removeHopByHopFields(std::vector<HttpField> &fields);

// --- client ---

struct HttpConnection;
using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/// Identifies one exchange on a connection.
struct ConnectionUse
{
    std::uint64_t m_connection = 0; // number of the connection within its pool, from 1 on
    std::uint64_t m_requests = 0;   // sent on it so far, with the present one
};

/// Idle connections of one I/O thread, by endpoint.
struct HttpPool
{
    asio::io_context *m_io = nullptr;
    std::map<Endpoint, std::vector<HttpConnectionPtr>> m_idle;
    std::size_t m_maxIdleConnections = 64; // per endpoint
    Millis m_maxIdleTime = {60'000};       // ms; a connection idle for longer isn't reused
    std::uint64_t m_opened = 0;            // connections so far
    Millis m_ackTimeout = {0}; // ms until unacknowledged data fails a connection; 0: system default
};

/// Connections of one pool, see ConnectionUse::m_connection.
using ConnectionNumbers = std::set<std::uint64_t>;

/// A pooled connection, or a new one if the pool has none or `forceNew` is set. Set `forceNew` for
/// a request that must not be repeated: a pooled connection may turn out to be closed only after
/// bytes were written, and then nobody knows whether the request ran. The connections in `except`,
/// if given, are left in the pool; it must stay valid until the function has returned.
asio::awaitable<Result<HttpConnectionPtr>>
openHttpConnection(HttpPool &pool, const Endpoint &endpoint, Millis timeout, bool forceNew,
                   const ConnectionNumbers *except = nullptr);

/// Sends a request. `endpoint` becomes its Host field unless the request has one.
asio::awaitable<std::optional<Failure>> sendRequest(HttpConnection &connection,
                                                    const Endpoint &endpoint,
                                                    const HttpRequest &request, Millis timeout);

/// As above, with the body `body` in place of the request's own, which needn't be copied then. It
/// must stay valid until the function has returned.
asio::awaitable<std::optional<Failure>> sendRequest(HttpConnection &connection,
                                                    const Endpoint &endpoint,
                                                    const HttpRequest &request,
                                                    std::string_view body, Millis timeout);

/// The connection, and how many requests were sent on it.
ConnectionUse useOf(const HttpConnection &connection);

/// Whether all of the last request was sent. If a response came first, the rest was left out.
bool wasSentWhole(const HttpConnection &connection);

/// Reads the head of the response. Informational heads (1xx) before it are skipped, a few at most.
/// May be called again after the body, if the server sent a response that belongs to no request.
asio::awaitable<Result<HttpHead>> readHead(HttpConnection &connection, Millis timeout);

/// How the body of the response is framed whose head was read last.
BodyFraming bodyFramingOf(const HttpConnection &connection);

/// Limits the memory of bodies that are read at the same time. A body that would exceed the limit
/// fails, so that endless responses can't fill the memory of the process.
struct BodyBudget
{
    std::size_t m_limit = 32UL << 20; // bytes
    std::size_t m_used = 0;           // bytes of the bodies held now
};

/// Bytes of one body that are counted in a budget, as long as this object lives.
struct HeldBytes
{
    explicit HeldBytes(BodyBudget &budget) : m_budget(budget) { }
    ~HeldBytes() { m_budget.m_used -= m_count; }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    BodyBudget &m_budget;
    std::size_t m_count = 0;
};

/// Counts further bytes; false, and counts nothing, if the budget doesn't allow them.
bool holdBytes(HeldBytes &held, std::size_t count);

/// The next bytes of the body as they arrive; empty once the body is complete.
asio::awaitable<Result<std::string>> readBodyPart(HttpConnection &connection, Millis timeout);

/// Reads the rest of the body within `timeout` in all, however slowly the bytes arrive. Failure if
/// it is larger than the limit, in bytes, or than what the budget of `held`, if given, still
/// allows.
asio::awaitable<Result<std::string>> readBody(HttpConnection &connection, Millis timeout,
                                              std::size_t limit, HeldBytes *held = nullptr);

/// Returns the connection to the pool if its response was read to the end and the server keeps the
/// connection open; else closes it.
void releaseHttpConnection(HttpPool &pool, const Endpoint &endpoint, HttpConnectionPtr connection);
void closeHttpConnection(HttpConnection &connection);

/// Sends one request and reads its complete response. If a pooled connection turns out to be
/// closed, a GET request is sent once more, on a new connection.
asio::awaitable<Result<HttpResponse>> fetchHttp(HttpPool &pool, Endpoint endpoint,
                                                HttpRequest request, Millis timeout);

} // namespace apricot
