// The protocol between hosts: FlatBuffers frames over TCP, each preceded by its length.
//
// A connection carries one exchange at a time: a request and its response, or a forwarded caller's
// request and its streamed response. So TCP flow control alone slows down a sender that is faster
// than its receiver. A response carries the id of its request; if the id differs, the connection is
// closed.
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
    std::size_t m_maxIdleConnections = 16; // per peer
    std::uint64_t m_nextId = 1;            // id of the next request
};

/// A frame that holds the given message.
template<typename Message>
FramePtr makeFrame(Message message)
{
    auto frame = std::make_unique<wire::FrameT>();
    frame->body.Set(std::move(message));
    return frame;
}

/// Serializes a frame, without its length.
std::string packFrame(const wire::FrameT &frame);

/// Parses a frame; null if the bytes aren't a valid frame.
FramePtr unpackFrame(const void *bytes, std::size_t size);

/// Sends one request and reads its response. If that fails on a pooled connection, the request is
/// sent once more, on a new connection: the peer may have closed the pooled one. The peer may thus
/// handle a request twice, so use this only for requests for which that does no harm.
asio::awaitable<Result<FramePtr>> callPeer(PeerPool &pool, Endpoint peer, FramePtr request,
                                           Millis timeout);

/// True only if the machine at that address refuses the connection. No process listens there then,
/// so the process instance that did has ended. A timeout proves nothing: the process may still run
/// behind a network failure.
asio::awaitable<bool> refusesConnections(PeerPool &pool, Endpoint peer, Millis timeout);

/// A pooled connection, or a new one if the pool has none or `forceNew` is set.
asio::awaitable<Result<PeerConnectionPtr>> openPeerConnection(PeerPool &pool, const Endpoint &peer,
                                                              Millis timeout, bool forceNew);

/// False if the peer can't be reached any more.
asio::awaitable<bool> sendFrame(PeerConnection &connection, const wire::FrameT &frame,
                                Millis timeout);

/// Null if the connection failed, the timeout passed or the bytes aren't a valid frame.
asio::awaitable<FramePtr> readFrame(PeerConnection &connection, Millis timeout);

/// Returns the connection to the pool; closes it if the pool is full.
void releasePeerConnection(PeerPool &pool, const Endpoint &peer, PeerConnectionPtr connection);
void closePeerConnection(PeerConnection &connection);

/// Calls `onDisconnect`, once, if the peer closes the connection before the returned token is
/// destroyed.
std::shared_ptr<void> watchPeerDisconnect(const PeerConnectionPtr &connection,
                                          std::function<void()> onDisconnect);

/// Handles one frame and writes the response to the connection. If it returns false, the connection
/// is closed.
using PeerHandler = std::function<asio::awaitable<bool>(PeerConnectionPtr, wire::FrameT &)>;

/// Listens and serves each frame with the handler. Failure if the port is taken.
Result<std::shared_ptr<TcpListener>> listenPeers(const std::vector<asio::io_context *> &ios,
                                                 const Endpoint &endpoint, PeerHandler handler);

} // namespace apricot
