// A gateway with real UDP sockets on loopback, without loops and other processes, for tests of the
// messages between hosts.
#pragma once

#include "machines.h"
#include "process/heartbeat.h"

#include <cppunit/TestAssert.h>

namespace apricot {

using udp = asio::ip::udp;

/// A UDP socket in the place of another host.
struct PeerSocket
{
    explicit PeerSocket(asio::io_context &io)
        : m_socket(io, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        m_socket.non_blocking(true);
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_socket.local_endpoint().port()}; }

    /// Returns all heartbeats received so far.
    std::vector<wire::BeatT> received()
    {
        std::vector<wire::BeatT> heartbeats;
        std::string bytes(60'000, '\0');
        boost::system::error_code error;
        while (true) {
            const std::size_t size = m_socket.receive(asio::buffer(bytes), 0, error);
            if (error)
                return heartbeats;
            CPPUNIT_ASSERT(size > 0);
            heartbeats.emplace_back();
            flatbuffers::GetRoot<wire::Beat>(bytes.data())->UnPackTo(&heartbeats.back());
        }
    }

    udp::socket m_socket;
};

/// A gateway on a manual clock that doesn't run its loops, with one other host.
struct TestGateway
{
    TestGateway()
    {
        GatewaySettings settings;
        settings.m_host = {"h0"};
        m_gateway = makeGateway(settings, "", platformProtocol());
        m_gateway->m_clock.m_manual = true;
        m_gateway->m_clock.m_now = {100'000};
        m_gateway->m_udp = std::make_unique<udp::socket>(
            m_gateway->m_io, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        m_peer = std::make_unique<PeerSocket>(m_gateway->m_io);
        Peer &peer = m_gateway->m_peers[{"h1"}];
        peer.m_entry.m_host = {"h1"};
        peer.m_entry.m_peer = m_peer->endpoint();
    }

    /// Sends a message from the other host; see hear().
    void send(const wire::BeatT &heartbeat)
    {
        m_peer->m_socket.send_to(asio::buffer(encodeHeartbeat(heartbeat)),
                                 m_gateway->m_udp->local_endpoint());
    }

    /// Sends the heartbeat from the other host and begins to receive it.
    void hear(const wire::BeatT &heartbeat)
    {
        send(heartbeat);
        begin(*m_gateway, "receive_heartbeats", receiveHeartbeats(*m_gateway));
    }

    /// Runs the started coroutines until `done`, at most for 5 s.
    template<typename Condition>
    bool runUntil(Condition done)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!done() && std::chrono::steady_clock::now() < end) {
            m_gateway->m_io.restart();
            m_gateway->m_io.run_one_for(std::chrono::milliseconds(5));
        }
        return done();
    }

    std::unique_ptr<Gateway> m_gateway;
    std::unique_ptr<PeerSocket> m_peer;
};

} // namespace apricot
