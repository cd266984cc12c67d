// Reads the requests of clients piece by piece, within what admission control allows.
#include "connection/httpsession.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr std::size_t firstReadSize = 2UL * 1024;  // bytes; of most requests without a body
constexpr std::size_t firstBodySpace = 2UL * 1024; // bytes, if the length isn't stated
/// The fields of a head are held as received and once more as parsed.
constexpr std::size_t copiesOfHead = 2;

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

std::size_t bytesHeld(const HttpSession &session, const RequestReader &reader)
{
    return session.m_buffer.capacity() + copiesOfHead * reader.m_headBytes
        + reader.m_body.capacity();
}

/// Whether the session may hold what it has received so far.
bool mayGoOn(HttpSession &session, const RequestReader &reader)
{
    AdmissionControl *control = session.m_options->m_admission.get();
    if (!control)
        return true;
    const AdmissionDecision decision
        = growTo(control->m_table, session.m_id, bytesHeld(session, reader), timeNow());
    closeSessions(*control, decision.m_close);
    return decision.m_admitted && !session.m_closing;
}

/// Makes room in the body for the next bytes, for at most twice of what it holds already.
void makeRoom(RequestReader &reader)
{
    const std::size_t held = reader.m_body.size();
    std::size_t room = std::clamp(held, firstBodySpace, readChunkSize);
    if (const auto left = reader.m_parser.content_length_remaining()) {
        room = static_cast<std::size_t>(std::min<std::uint64_t>(room, *left));
        const std::uint64_t whole = held + *left;
        if (held + room > reader.m_body.capacity())
            reader.m_body.reserve(static_cast<std::size_t>(
                std::min<std::uint64_t>(whole, std::max(2 * held, held + room))));
    }
    reader.m_body.resize(held + room);
    auto &body = reader.m_parser.get().body();
    body.data = reader.m_body.data() + held;
    body.size = room;
    body.more = true;
}

/// Cuts the room that received no bytes.
void takeReceived(RequestReader &reader)
{
    auto &body = reader.m_parser.get().body();
    reader.m_body.resize(reader.m_body.size() - body.size);
    body.data = nullptr;
    body.size = 0;
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
    const auto [error, count] = co_await session.m_stream.async_read_some(
        session.m_buffer.prepare(firstReadSize), useAwaitable);
    session.m_buffer.commit(count);
    co_return !error;
}

asio::awaitable<boost::system::error_code> readRequest(HttpSession &session, RequestReader &reader)
{
    auto &parser = reader.m_parser;
    while (!parser.is_done()) {
        const bool inBody = parser.is_header_done();
        if (inBody)
            makeRoom(reader);
        const auto [error, count] = co_await http::async_read_some(
            session.m_stream, session.m_buffer, parser, useAwaitable);
        if (inBody)
            takeReceived(reader);
        else
            reader.m_headBytes += count;
        if (session.m_closing || !mayGoOn(session, reader))
            co_return notAdmitted();
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    co_return boost::system::error_code();
}

void recordHandling(HttpSession &session, const RequestReader &reader, std::size_t bodyBytes)
{
    if (AdmissionControl *control = session.m_options->m_admission.get())
        setStage(control->m_table, session.m_id, ConnectionStage::Handling,
                 session.m_buffer.capacity() + copiesOfHead * reader.m_headBytes + bodyBytes,
                 timeNow());
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
