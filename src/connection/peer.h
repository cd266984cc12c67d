// The channel between hosts: FlatBuffers frames, each after its length, over TCP.
//
// A connection carries one exchange at a time: an ask and its answer, or a forwarded request and
// the stream that answers it, so TCP itself holds back a fast sender. Answers carry the id of
// their ask, and an answer with another id breaks the connection.
#pragma once

#include "apricot.h"
#include "connection/http.h"
#include "generated/peer_generated.h"

namespace apricot {

using FramePtr = std::unique_ptr<wire::FrameT>;

struct PeerConnection;
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

/// Idle connections of one I/O thread, by peer address.
struct PeerPool
{
    asio::io_context *m_io = nullptr;
    std::map<Endpoint, std::vector<PeerConnectionPtr>> m_idle;
    std::size_t m_idleLimit = 16; // for each peer
    std::uint64_t m_nextId = 1;   // of asks
};

/// A frame that holds the given message.
template<typename Message>
FramePtr makeFrame(Message message)
{
    auto frame = std::make_unique<wire::FrameT>();
    frame->body.Set(std::move(message));
    return frame;
}

/// The frame as bytes, and back; nothing if the bytes aren't a valid frame.
std::string packFrame(const wire::FrameT &frame);
FramePtr unpackFrame(const void *bytes, std::size_t size);

/// One ask, one answer. Tried again on a fresh connection if a pooled one was closed.
asio::awaitable<Result<FramePtr>> callPeer(PeerPool &pool, Endpoint peer, FramePtr ask,
                                           Millis timeout);

/// True only if the machine at that address answers that no process listens there: then the run
/// that listened there is over. Silence proves nothing.
asio::awaitable<bool> provesGone(PeerPool &pool, Endpoint peer, Millis timeout);

asio::awaitable<Result<PeerConnectionPtr>> openPeer(PeerPool &pool, const Endpoint &peer,
                                                    Millis timeout, bool fresh);

/// False if the peer can't be reached any more.
asio::awaitable<bool> sendFrame(PeerConnection &connection, const wire::FrameT &frame,
                                Millis timeout);

/// Nothing if the connection broke, the time ran out or the bytes are no frame.
asio::awaitable<FramePtr> readFrame(PeerConnection &connection, Millis timeout);
void releasePeer(PeerPool &pool, const Endpoint &peer, PeerConnectionPtr connection);
void closePeer(PeerConnection &connection);

/// Calls back, once, if the other side hangs up before the returned token is dropped.
std::shared_ptr<void> watchPeer(const PeerConnectionPtr &connection, std::function<void()> gone);

/// Answers one frame, on the connection it came by; false closes the connection.
using PeerHandler = std::function<asio::awaitable<bool>(PeerConnectionPtr, wire::FrameT &)>;

Result<std::shared_ptr<TcpListener>> listenPeers(const std::vector<asio::io_context *> &ios,
                                                 const Endpoint &endpoint, PeerHandler handler);

} // namespace apricot
