// Reads the requests of clients piece by piece, within what admission control allows.
#include "connection/httpsession.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr std::size_t firstReadSize = 2UL * 1024;  // bytes; of most requests without a body
constexpr std::size_t firstBodySpace = 2UL * 1024; // bytes, if the length isn't stated
/// The bytes of a head are held as received, as parsed, and in the request that is sent on.
constexpr std::size_t copiesOfHead = 3;
/// What each field takes besides its bytes, in all those places.
constexpr std::size_t fieldOverhead = 320;

Millis timeNow()
{
    return now(Clock());
}

void closeSessions(AdmissionControl &control, const std::vector<ConnectionId> &ids)
{
    for (const ConnectionId id : ids) {
        const auto session = control.m_sessions.find(id);
        if (session == control.m_sessions.end())
            continue;
        session->second->m_closing = true;
        session->second->m_stream.cancel();
    }
}

std::size_t headBytesHeld(const HttpSession &session, const RequestReader &reader)
{
    return session.m_buffer.capacity() + copiesOfHead * reader.m_headBytes
        + fieldOverhead * reader.m_headLines;
}

/// Whether the session may hold what it has received so far.
bool mayGoOn(HttpSession &session, const RequestReader &reader)
{
    AdmissionControl *control = session.m_options->m_admission.get();
    if (!control)
        return true;
    const AdmissionDecision decision
        = growTo(control->m_table, session.m_id,
                 headBytesHeld(session, reader) + reader.m_body.capacity(), timeNow());
    closeSessions(*control, decision.m_close);
    return decision.m_admitted && !session.m_closing;
}

/// Gives the parser room for further bytes of the body: what is left of it, or a little more.
void provideRoom(RequestReader &reader)
{
    std::string &body = reader.m_body;
    if (reader.m_bodyBytes == body.size()) {
        std::size_t room = std::clamp(body.size(), firstBodySpace, readChunkSize);
        if (const auto left = reader.m_parser.content_length_remaining()) {
            const std::uint64_t whole = body.size() + *left;
            room = static_cast<std::size_t>(std::min<std::uint64_t>(room, *left));
            if (body.size() + room > body.capacity()) // twice as much, but no more than the whole
                body.reserve(static_cast<std::size_t>(
                    std::min<std::uint64_t>(whole, body.size() + std::max(body.size(), room))));
        }
        body.resize(body.size() + room);
    }
    auto &target = reader.m_parser.get().body();
    target.data = body.data() + reader.m_bodyBytes;
    target.size = body.size() - reader.m_bodyBytes;
    target.more = true;
}

/// Parses the next part of what has arrived. The error is need_more if the rest is incomplete.
boost::system::error_code parseNext(HttpSession &session, RequestReader &reader)
{
    auto &parser = reader.m_parser;
    const bool inBody = parser.is_header_done();
    if (inBody)
        provideRoom(reader);
    boost::system::error_code error;
    const auto bytes = session.m_buffer.data();
    const std::size_t parsed = parser.put(bytes, error);
    if (inBody) {
        reader.m_bodyBytes = reader.m_body.size() - parser.get().body().size;
    } else {
        const auto *const begin = static_cast<const char *>(bytes.data());
        reader.m_headBytes += parsed;
        reader.m_headLines += static_cast<std::size_t>(std::count(begin, begin + parsed, '\n'));
    }
    session.m_buffer.consume(parsed);
    return error == http::error::need_buffer ? boost::system::error_code() : error;
}

/// Parses all that has arrived. The error is need_more if the request isn't complete.
boost::system::error_code parseArrived(HttpSession &session, RequestReader &reader)
{
    while (!reader.m_parser.is_done()) {
        if (session.m_buffer.size() == 0)
            return http::error::need_more;
        if (const auto error = parseNext(session, reader))
            return error;
    }
    return {};
}

/// Receives the first or further bytes of a request.
asio::awaitable<boost::system::error_code> receive(HttpSession &session, std::size_t size)
{
    auto &buffer = session.m_buffer;
    const std::size_t room = std::min(size, buffer.max_size() - buffer.size());
    if (room == 0)
        co_return http::error::buffer_overflow; // an endless line
    const auto [error, count]
        = co_await session.m_stream.async_read_some(buffer.prepare(room), useAwaitable);
    buffer.commit(count);
    co_return error;
}

} // namespace

AdmittedSession::AdmittedSession(HttpSession &session) : m_session(session)
{
    AdmissionControl *control = session.m_options->m_admission.get();
    if (!control)
        return;
    session.m_id = {++control->m_lastConnection};
    const AdmissionDecision decision = admitConnection(control->m_table, session.m_id, timeNow());
    m_admitted = decision.m_admitted;
    if (m_admitted)
        control->m_sessions[session.m_id] = &session;
    closeSessions(*control, decision.m_close);
}

AdmittedSession::~AdmittedSession()
{
    AdmissionControl *control = m_session.m_options->m_admission.get();
    if (!control)
        return;
    removeConnection(control->m_table, m_session.m_id);
    control->m_sessions.erase(m_session.m_id);
}

asio::awaitable<bool> waitForBytes(HttpSession &session)
{
    if (session.m_buffer.size() > 0)
        co_return true;
    session.m_stream.expires_after(toChrono(session.m_options->m_idleTimeout));
    co_return !co_await receive(session, firstReadSize);
}

asio::awaitable<boost::system::error_code> readRequest(HttpSession &session, RequestReader &reader)
{
    while (true) {
        auto error = parseArrived(session, reader);
        if (session.m_closing || !mayGoOn(session, reader))
            co_return notAdmitted();
        if (error != http::error::need_more) {
            reader.m_body.resize(reader.m_bodyBytes);
            co_return error;
        }
        const std::size_t size = reader.m_parser.is_header_done() ? readChunkSize : firstReadSize;
        error = co_await receive(session, size);
        if (session.m_closing)
            co_return notAdmitted();
        if (error == asio::error::eof)
            co_return reader.m_parser.got_some() ? http::error::partial_message
                                                 : http::error::end_of_stream;
        if (error)
            co_return error;
    }
}

void recordHandling(HttpSession &session, const RequestReader &reader, std::size_t bodyBytes)
{
    if (AdmissionControl *control = session.m_options->m_admission.get())
        setStage(control->m_table, session.m_id, ConnectionStage::Handling,
                 headBytesHeld(session, reader) + bodyBytes, timeNow());
}

void recordIdle(HttpSession &session)
{
    if (session.m_buffer.size() == 0)
        session.m_buffer.shrink_to_fit();
    if (AdmissionControl *control = session.m_options->m_admission.get())
        setStage(control->m_table, session.m_id, ConnectionStage::Idle,
                 std::max(session.m_buffer.capacity(), firstReadSize), timeNow());
}

} // namespace apricot
