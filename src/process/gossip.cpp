// Network side of the membership protocol. In each period this host sends a UDP probe and receives
// its ack; both carry gossip updates. A host that starts, or was partitioned from the others,
// fetches a snapshot of the membership from the seeds over TCP.
#include "process/log.h"
#include "process/node.h"

#include <boost/asio.hpp>

namespace apricot {

using udp = asio::ip::udp;

namespace {

constexpr Millis tickPeriod = {50};
constexpr Millis snapshotTimeout = {1'000};
constexpr Millis snapshotPeriod = {5'000};          // while a seed isn't a live member
constexpr Millis snapshotRetry = {200};             // until a seed answered
constexpr Millis bootstrapTimeout = {3'000};        // start without the seeds after this
constexpr std::size_t maxDatagramSize = 8UL * 1024; // bytes
constexpr auto useAwaitable = asio::as_tuple(asio::use_awaitable);

/// The UDP socket of this host's membership protocol, and the probes it relays.
struct Gossip
{
    explicit Gossip(Node &node, const udp::endpoint &at)
        : m_node(node), m_socket(node.m_threads.front()->m_io, at)
    {
    }

    Node &m_node;
    udp::socket m_socket;
    // The probes that this host sends for others, by the number under which it sends them:
    std::map<std::uint64_t, Endpoint> m_relayedFor;         // address of the requester
    std::map<std::uint64_t, std::uint64_t> m_relayedNumber; // number of the requester's probe
};

udp::endpoint toUdp(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.m_ip), endpoint.m_port};
}

wire::ClaimEntryT packClaim(const CellClaim &claim)
{
    wire::ClaimEntryT entry;
    entry.cell = claim.m_cell.m_text;
    entry.epoch = claim.m_epoch.m_value;
    entry.host = claim.m_host.m_text;
    entry.owner = claim.m_owner.m_value;
    return entry;
}

CellClaim unpackClaim(const wire::ClaimEntryT &entry)
{
    return {{entry.cell}, {entry.epoch}, {entry.host}, {entry.owner}};
}

template<typename Message>
void packUpdates(Message &message, const GossipBatch &updates)
{
    for (const Member &member : updates.m_members)
        message.members.push_back(std::make_unique<wire::MemberEntryT>(packMember(member)));
    for (const CellClaim &claim : updates.m_claims)
        message.claims.push_back(std::make_unique<wire::ClaimEntryT>(packClaim(claim)));
}

void logMemberChange(const Member &member)
{
    static constexpr std::array<const char *, 3> names = {"alive", "suspect", "dead"};
    logEvent("member",
             {{"peer", member.m_host.m_text},
              {"state", names.at(static_cast<std::size_t>(member.m_liveness))},
              {"leaving", member.m_leaving ? "yes" : "no"},
              {"incarnation", toHex(member.m_incarnation.m_value)},
              {"configuration", std::to_string(member.m_configNumber)}});
}

/// Merges a reported member state. Logs changes of liveness, leaving or incarnation, and not the
/// frequent changes of document numbers.
void mergeAndLog(Node &node, const Member &reported)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    Membership &membership = node.m_members.m_membership;
    const auto known = membership.m_members.find(reported.m_host);
    const bool worthLogging = known == membership.m_members.end()
        || known->second.m_liveness != reported.m_liveness
        || known->second.m_leaving != reported.m_leaving
        || known->second.m_incarnation != reported.m_incarnation;
    if (mergeMember(membership, reported, now(node)) && worthLogging
        && reported.m_host != membership.m_self)
        logMemberChange(reported);
}

template<typename Message>
void mergeAll(Node &node, const Message &message)
{
    for (const auto &entry : message.members)
        mergeAndLog(node, unpackMember(*entry));
    const std::lock_guard lock(node.m_members.m_mutex);
    for (const auto &entry : message.claims)
        mergeClaim(node.m_members.m_membership, unpackClaim(*entry));
}

void sendDatagram(Gossip &gossip, const Endpoint &to, const wire::FrameT &frame)
{
    const std::string bytes = packFrame(frame);
    boost::system::error_code ignored;
    gossip.m_socket.send_to(asio::buffer(bytes), toUdp(to), 0, ignored);
}

GossipBatch updatesFor(Node &node, const HostName &receiver)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    Membership &membership = node.m_members.m_membership;
    GossipBatch updates = takeGossipBatch(membership);
    // A member that is suspected or declared dead is sent that state: only it can refute it.
    const auto suspected = membership.m_members.find(receiver);
    if (suspected != membership.m_members.end() && suspected->second.m_liveness != Liveness::Alive)
        updates.m_members.push_back(suspected->second);
    return updates;
}

std::unique_ptr<wire::MemberEntryT> packSelf(Node &node)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    const Membership &membership = node.m_members.m_membership;
    return std::make_unique<wire::MemberEntryT>(
        packMember(membership.m_members.at(membership.m_self)));
}

void sendProbe(Gossip &gossip, const Member &to, std::uint64_t number,
               const std::optional<Member> &target)
{
    wire::ProbeT probe;
    probe.number = number;
    probe.sender = packSelf(gossip.m_node);
    if (target)
        probe.target = std::make_unique<wire::MemberEntryT>(packMember(*target));
    packUpdates(probe, updatesFor(gossip.m_node, to.m_host));
    sendDatagram(gossip, to.m_peer, *makeFrame(std::move(probe)));
}

void sendAck(Gossip &gossip, const Endpoint &to, const HostName &receiver, std::uint64_t number)
{
    wire::AckT ack;
    ack.number = number;
    packUpdates(ack, updatesFor(gossip.m_node, receiver));
    sendDatagram(gossip, to, *makeFrame(std::move(ack)));
}

/// Sends an ack, or relays the probe if it names another target (indirect probe).
void handleProbe(Gossip &gossip, const wire::ProbeT &probe)
{
    if (!probe.sender)
        return;
    const Member sender = unpackMember(*probe.sender);
    mergeAndLog(gossip.m_node, sender);
    mergeAll(gossip.m_node, probe);
    if (!probe.target) {
        sendAck(gossip, sender.m_peer, sender.m_host, probe.number);
        return;
    }
    // Entries of targets that never send an ack would accumulate. Clearing them all loses at most a
    // few acks, and a live member that is suspected because of that refutes it.
    constexpr std::size_t maxRelayedProbes = 256;
    if (gossip.m_relayedFor.size() >= maxRelayedProbes) {
        gossip.m_relayedFor.clear();
        gossip.m_relayedNumber.clear();
    }
    const std::uint64_t ownNumber = randomId();
    gossip.m_relayedFor[ownNumber] = sender.m_peer;
    gossip.m_relayedNumber[ownNumber] = probe.number;
    sendProbe(gossip, unpackMember(*probe.target), ownNumber, {});
}

/// An ack to an own probe, or to one that this host relayed and whose requester awaits the ack.
void handleAck(Gossip &gossip, const wire::AckT &ack)
{
    mergeAll(gossip.m_node, ack);
    const auto requester = gossip.m_relayedFor.find(ack.number);
    if (requester != gossip.m_relayedFor.end()) {
        sendAck(gossip, requester->second, {}, gossip.m_relayedNumber[ack.number]);
        gossip.m_relayedNumber.erase(ack.number);
        gossip.m_relayedFor.erase(requester);
        return;
    }
    const std::lock_guard lock(gossip.m_node.m_members.m_mutex);
    ackReceived(gossip.m_node.m_members.m_membership, ack.number);
}

asio::awaitable<void> receiveLoop(std::shared_ptr<Gossip> gossip)
{
    std::string bytes(maxDatagramSize, '\0');
    udp::endpoint from;
    while (!gossip->m_node.m_stopped) {
        const auto [error, size]
            = co_await gossip->m_socket.async_receive_from(asio::buffer(bytes), from, useAwaitable);
        if (error == asio::error::operation_aborted)
            co_return;
        const FramePtr frame = error ? nullptr : unpackFrame(bytes.data(), size);
        if (!frame)
            continue;
        if (const auto *probe = frame->body.AsProbe())
            handleProbe(*gossip, *probe);
        else if (const auto *ack = frame->body.AsAck())
            handleAck(*gossip, *ack);
    }
}

asio::awaitable<bool> fetchSnapshot(Node &node, Endpoint from)
{
    wire::SnapshotAskT request;
    request.sender = packSelf(node);
    auto response = co_await callPeer(node.m_threads.front()->m_peers, from,
                                      makeFrame(std::move(request)), snapshotTimeout);
    if (!ok(response))
        co_return false;
    const auto *snapshot = std::get<FramePtr>(response)->body.AsSnapshotTell();
    if (snapshot)
        mergeAll(node, *snapshot);
    co_return snapshot != nullptr;
}

bool seedIsLive(Node &node, const Endpoint &seed)
{
    for (const Member &member : liveMembersOf(node)) {
        if (member.m_peer == seed)
            return true;
    }
    return false;
}

/// Requests a snapshot from each seed that isn't a live member, again and again, so that the two
/// sides of a network partition find each other once it has healed.
asio::awaitable<void> snapshotLoop(Node &node)
{
    const Millis began = now(node);
    while (!node.m_stopped) {
        bool bootstrapped = node.m_settings.m_seeds.empty();
        for (const Endpoint &seed : node.m_settings.m_seeds) {
            const bool known = seed == node.m_settings.m_peer || seedIsLive(node, seed);
            if (known)
                continue;
            const bool answered = co_await fetchSnapshot(node, seed);
            bootstrapped = bootstrapped || answered;
        }
        if (bootstrapped || now(node) - began >= bootstrapTimeout)
            node.m_bootstrapped = true;
        co_await sleepFor(node.m_bootstrapped ? snapshotPeriod : snapshotRetry);
    }
}

ProbePlan tick(Node &node, std::uint64_t &number)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    Membership &membership = node.m_members.m_membership;
    ProbePlan plan = tickMembership(membership, now(node));
    number = membership.m_probeNumber;
    for (const Member &member : plan.m_changed)
        logMemberChange(member);
    return plan;
}

} // namespace

wire::MemberEntryT packMember(const Member &member)
{
    wire::MemberEntryT entry;
    entry.host = member.m_host.m_text;
    entry.incarnation = member.m_incarnation.m_value;
    entry.revision = member.m_revision;
    entry.liveness = static_cast<std::uint8_t>(member.m_liveness);
    entry.leaving = member.m_leaving;
    entry.data_centre = member.m_dataCentre.m_text;
    entry.caller_ip = member.m_caller.m_ip;
    entry.caller_port = member.m_caller.m_port;
    entry.peer_ip = member.m_peer.m_ip;
    entry.peer_port = member.m_peer.m_port;
    entry.config_number = member.m_configNumber;
    entry.list_number = member.m_listNumber;
    return entry;
}

Member unpackMember(const wire::MemberEntryT &entry)
{
    Member member;
    member.m_host.m_text = entry.host;
    member.m_incarnation.m_value = entry.incarnation;
    member.m_revision = entry.revision;
    member.m_liveness = static_cast<Liveness>(std::min<std::uint8_t>(entry.liveness, 2));
    member.m_leaving = entry.leaving;
    member.m_dataCentre.m_text = entry.data_centre;
    member.m_caller = {entry.caller_ip, entry.caller_port};
    member.m_peer = {entry.peer_ip, entry.peer_port};
    member.m_configNumber = entry.config_number;
    member.m_listNumber = entry.list_number;
    return member;
}

wire::SnapshotTellT answerSnapshot(Node &node, const wire::SnapshotAskT &request)
{
    if (request.sender)
        mergeAndLog(node, unpackMember(*request.sender));
    const std::lock_guard lock(node.m_members.m_mutex);
    const Membership &membership = node.m_members.m_membership;
    GossipBatch everything;
    for (const auto &[host, member] : membership.m_members)
        everything.m_members.push_back(member);
    for (const auto &[cell, claim] : membership.m_claims)
        everything.m_claims.push_back(claim);
    wire::SnapshotTellT response;
    packUpdates(response, everything);
    return response;
}

asio::awaitable<void> runGossip(Node &node)
{
    const udp::endpoint at = toUdp(node.m_settings.m_peer);
    auto gossip = std::make_shared<Gossip>(node, at);
    asio::io_context &io = node.m_threads.front()->m_io;
    spawn(io, receiveLoop(gossip));
    spawn(io, snapshotLoop(node));
    while (!node.m_stopped) {
        std::uint64_t number = 0;
        const ProbePlan plan = tick(node, number);
        if (plan.m_direct)
            sendProbe(*gossip, *plan.m_direct, number, {});
        for (const Member &prober : plan.m_indirectProbers)
            sendProbe(*gossip, prober, number, plan.m_target);
        co_await sleepFor(tickPeriod);
    }
    boost::system::error_code ignored;
    gossip->m_socket.close(ignored);
}

} // namespace apricot
