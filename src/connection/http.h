// HTTP/1.1 over Beast, both sides, as plain requests and answers.
//
// A connection belongs to one I/O thread; nothing here takes a lock. Failures tell whether bytes
// may have reached the other side: Failure::m_run is NotRun before the first byte is written and
// Unknown after it.
#pragma once

#include "apricot.h"
#include "connection/tcp.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace apricot {

struct HttpField
{
    std::string m_name;
    std::string m_value;
};

struct HttpRequest
{
    std::string m_method = "GET";
    std::string m_target = "/"; // path and query, still escaped
    std::vector<HttpField> m_fields;
    std::string m_body;
};

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

/// The first field of that name, any case; empty if there is none.
std::string fieldOf(const std::vector<HttpField> &fields, std::string_view name);

/// Adds a field. Also for coroutines: GCC 12 miscompiles braces around strings in them.
void addField(std::vector<HttpField> &fields, std::string name, std::string value);

/// A target taken apart and unescaped.
struct Target
{
    std::vector<std::string> m_path; // segments
    std::vector<HttpField> m_query;
};

/// Nothing if the target is malformed.
std::optional<Target> parseTarget(const std::string &target);

/// Escapes a text for use in a query.
std::string escapeQuery(std::string_view text);

// --- answering ---

struct HttpSession;

/// One request being answered. The handler sends a whole answer, or begins a stream and ends it;
/// a stream neither ended nor broken off when the handler returns is broken off.
struct HttpExchange
{
    HttpRequest m_request;
    HttpSession *m_session = nullptr;
    std::function<void()> m_onCallerGone; // called on the thread of the connection
    bool m_callerGone = false;
    bool m_lastOne = false; // set before answering: the connection closes after it
    bool m_begun = false;   // the head of the answer is out
    bool m_ended = false;   // the answer is out, whole
    bool m_broken = false;  // cut short; the connection closes
};

/// False if the caller can't be reached any more.
asio::awaitable<bool> sendWhole(HttpExchange &exchange, const HttpResponse &response);
asio::awaitable<bool> beginStream(HttpExchange &exchange, const HttpHead &head);
asio::awaitable<bool> writeChunk(HttpExchange &exchange, std::string_view bytes);
asio::awaitable<bool> endStream(HttpExchange &exchange);

/// Closes without the end of the stream, so that the caller sees that the answer isn't whole.
void breakOff(HttpExchange &exchange);

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange &)>;

/// How a listener treats its connections.
struct HttpServerOptions
{
    std::size_t m_bodyLimit = 1 << 20;                     // bytes
    std::size_t m_headLimit = 16 << 10;                    // bytes
    Millis m_idleTimeout = {75'000};                       // ms between requests
    Millis m_headTimeout = {75'000};                       // ms from the first byte to the last
    Millis m_writeTimeout = {30'000};                      // ms for one write to a slow caller
    std::function<HttpResponse(const Failure &)> m_refuse; // answers malformed requests
};

/// Listens and serves; connections go round the io_contexts. Failure if the port is taken.
Result<std::shared_ptr<TcpListener>> listenHttp(const std::vector<asio::io_context *> &ios,
                                                const Endpoint &endpoint, HttpHandler handler,
                                                HttpServerOptions options);

/// The same with options that the owner may change: each request goes by them as they are then.
Result<std::shared_ptr<TcpListener>> listenHttp(const std::vector<asio::io_context *> &ios,
                                                const Endpoint &endpoint, HttpHandler handler,
                                                std::shared_ptr<const HttpServerOptions> options);

/// Drops fields that concern one connection only, and those that its Connection field names.
void dropHopFields(std::vector<HttpField> &fields);

// --- asking ---

struct HttpConnection;
using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/// Idle connections of one I/O thread, by endpoint.
struct HttpPool
{
    asio::io_context *m_io = nullptr;
    std::map<Endpoint, std::vector<HttpConnectionPtr>> m_idle;
    std::size_t m_idleLimit = 64; // for each endpoint
    Millis m_idleTime = {60'000}; // ms; one that was idle for longer isn't used again
    Millis m_deadAfter = {0};     // ms without an acknowledgement; 0: as the system does
};

/// A fresh connection, or a pooled one unless `fresh`. Use fresh for what may not be repeated: a
/// pooled connection may turn out closed only after bytes were written.
asio::awaitable<Result<HttpConnectionPtr>> openHttp(HttpPool &pool, const Endpoint &endpoint,
                                                    Millis timeout, bool fresh);
asio::awaitable<std::optional<Failure>> sendRequest(HttpConnection &connection,
                                                    const Endpoint &endpoint,
                                                    const HttpRequest &request, Millis timeout);

asio::awaitable<Result<HttpHead>> readHead(HttpConnection &connection, Millis timeout);

/// The next bytes of the body as they come; empty at its whole end.
asio::awaitable<Result<std::string>> readSome(HttpConnection &connection, Millis timeout);

/// The rest of the body; a failure if it is larger than the limit, in bytes.
asio::awaitable<Result<std::string>> readBody(HttpConnection &connection, Millis timeout,
                                              std::size_t limit);

/// Back to the pool if its answer was read to the end; else closed.
void releaseHttp(HttpPool &pool, const Endpoint &endpoint, HttpConnectionPtr connection);
void closeHttp(HttpConnection &connection);

/// One whole exchange. An idempotent request is tried again, once, on a fresh connection when a
/// pooled one turns out closed.
asio::awaitable<Result<HttpResponse>> fetchHttp(HttpPool &pool, Endpoint endpoint,
                                                HttpRequest request, Millis timeout);

} // namespace apricot
