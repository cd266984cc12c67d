// apricot-slopes: measures how the costs of membership, configuration, cell planning and address
// lookup grow with the numbers of hosts, models and servers. docs/CAPACITY.md quotes the results.
//
// Calls the daemon's own functions in one process. Hosts exchange datagrams through a simulated
// network with a manual clock; the sizes of the datagrams are those of the encoded frames.
#include "process/node.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <queue>
#include <sstream>

namespace {

using namespace apricot;

constexpr Millis tickTime = {50};       // between calls of tickMembership()
constexpr Millis oneWayDelay = {2};     // network delay between two hosts, one way
constexpr std::size_t udpOverhead = 28; // bytes of the IP and UDP headers
const std::vector<int> memberCounts = {9, 50, 100, 400};

/// The mean time of one call, in microseconds.
double meanMicroseconds(const std::function<void()> &work, int rounds)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        work();
    const auto spent = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::micro>(spent).count() / rounds;
}

Member makeMember(int number)
{
    Member member;
    member.m_host = {"host-" + std::to_string(number)};
    member.m_incarnation = {1'000U + static_cast<std::uint64_t>(number)};
    member.m_dataCentre = {"dc" + std::to_string(number % 5)};
    member.m_caller = {"10.1.0." + std::to_string(number % 250), 8'080};
    member.m_peer = {"10.1.0." + std::to_string(number % 250), 8'081};
    return member;
}

// --- membership over a simulated network ---

struct Datagram
{
    Millis m_arrivesAt;
    std::uint64_t m_sequenceNumber = 0; // order of sending; decides if the times are equal
    int m_from = 0;
    int m_to = 0;
    bool m_ack = false;             // false: a probe
    std::uint64_t m_number = 0;     // number of the probe, repeated in its ack
    std::optional<Member> m_target; // set: the receiver is to probe this member (indirect probe)
    int m_ackReceiver = -1;         // the host that started the probe and gets the ack
    GossipBatch m_gossipBatch;      // the gossip updates that it carries
};

/// Sorts the queue by arrival time.
struct ArrivesLater
{
    bool operator()(const Datagram &a, const Datagram &b) const
    {
        return std::tie(a.m_arrivesAt, a.m_sequenceNumber)
            > std::tie(b.m_arrivesAt, b.m_sequenceNumber);
    }
};

struct Network
{
    std::vector<Membership> m_hosts;
    std::vector<bool> m_dead; // by host: true once it was killed
    std::priority_queue<Datagram, std::vector<Datagram>, ArrivesLater> m_datagramsInFlight;
    std::uint64_t m_sent = 0;  // datagrams
    std::uint64_t m_bytes = 0; // sent, with IP and UDP headers
    Millis m_time = {1'000};
};

/// The number in "host-NUMBER".
int indexOf(const Member &member)
{
    return std::stoi(member.m_host.m_text.substr(5));
}

/// The size on the wire: the encoded frame, and the IP and UDP headers. An ack is encoded as a
/// probe without sender and target, which leaves the fields that an ack has.
std::size_t sizeOnWire(const Network &network, const Datagram &datagram)
{
    wire::ProbeT probe;
    probe.number = datagram.m_number;
    const Membership &from = network.m_hosts[static_cast<std::size_t>(datagram.m_from)];
    if (!datagram.m_ack)
        probe.sender
            = std::make_unique<wire::MemberEntryT>(packMember(from.m_members.at(from.m_self)));
    if (datagram.m_target)
        probe.target = std::make_unique<wire::MemberEntryT>(packMember(*datagram.m_target));
    for (const Member &member : datagram.m_gossipBatch.m_members)
        probe.members.push_back(std::make_unique<wire::MemberEntryT>(packMember(member)));
    return packFrame(*makeFrame(std::move(probe))).size() + udpOverhead;
}

/// Sends a datagram, with the gossip updates that its sender has queued.
void sendDatagram(Network &network, Datagram datagram)
{
    datagram.m_gossipBatch
        = takeGossipBatch(network.m_hosts[static_cast<std::size_t>(datagram.m_from)]);
    datagram.m_arrivesAt = network.m_time + oneWayDelay;
    datagram.m_sequenceNumber = network.m_sent++;
    network.m_bytes += sizeOnWire(network, datagram);
    network.m_datagramsInFlight.push(std::move(datagram));
}

/// Handles a datagram at its receiver as a host does: answers a probe with an ack, forwards an
/// indirect probe to its target and an ack to the host that started the probe.
void deliver(Network &network, const Datagram &datagram)
{
    if (network.m_dead[static_cast<std::size_t>(datagram.m_to)])
        return;
    Membership &at = network.m_hosts[static_cast<std::size_t>(datagram.m_to)];
    const Membership &from = network.m_hosts[static_cast<std::size_t>(datagram.m_from)];
    if (!datagram.m_ack)
        mergeMember(at, from.m_members.at(from.m_self), network.m_time);
    for (const Member &member : datagram.m_gossipBatch.m_members)
        mergeMember(at, member, network.m_time);
    Datagram reply;
    reply.m_from = datagram.m_to;
    reply.m_number = datagram.m_number;
    if (datagram.m_ack && datagram.m_ackReceiver == datagram.m_to) {
        ackReceived(at, datagram.m_number);
    } else if (datagram.m_ack) {
        reply.m_to = datagram.m_ackReceiver;
        reply.m_ack = true;
        reply.m_ackReceiver = datagram.m_ackReceiver;
        sendDatagram(network, reply);
    } else {
        reply.m_to = datagram.m_target ? indexOf(*datagram.m_target) : datagram.m_from;
        reply.m_ack = !datagram.m_target;
        reply.m_ackReceiver = datagram.m_ackReceiver;
        sendDatagram(network, reply);
    }
}

/// Ticks the membership of every live host and sends the probes that it plans.
void tickAll(Network &network)
{
    for (std::size_t i = 0; i < network.m_hosts.size(); ++i) {
        if (network.m_dead[i])
            continue;
        const ProbePlan plan = tickMembership(network.m_hosts[i], network.m_time);
        Datagram probe;
        probe.m_from = static_cast<int>(i);
        probe.m_ackReceiver = static_cast<int>(i);
        probe.m_number = network.m_hosts[i].m_probeNumber;
        if (plan.m_direct) {
            probe.m_to = indexOf(*plan.m_direct);
            sendDatagram(network, probe);
        }
        for (const Member &prober : plan.m_indirectProbers) {
            probe.m_to = indexOf(prober);
            probe.m_target = plan.m_target;
            sendDatagram(network, probe);
        }
    }
}

/// Advances the manual clock in steps of tickTime, delivering datagrams when they arrive.
void advance(Network &network, Millis time)
{
    const Millis until = network.m_time + time;
    while (network.m_time < until) {
        const Millis next = network.m_time + tickTime;
        while (!network.m_datagramsInFlight.empty()
               && network.m_datagramsInFlight.top().m_arrivesAt <= next) {
            const Datagram datagram = network.m_datagramsInFlight.top();
            network.m_datagramsInFlight.pop();
            network.m_time = std::max(network.m_time, datagram.m_arrivesAt);
            deliver(network, datagram);
        }
        network.m_time = next;
        tickAll(network);
    }
}

/// A network in which every host knows all others and has no gossip updates to send.
Network makeNetwork(int members)
{
    Network network;
    for (int i = 0; i < members; ++i) {
        const auto seed = static_cast<std::uint64_t>(i) + 1;
        network.m_hosts.push_back(makeMembership(makeMember(i), seed));
        for (int j = 0; j < members; ++j)
            mergeMember(network.m_hosts.back(), makeMember(j), network.m_time);
        network.m_hosts.back().m_gossipQueue.clear();
    }
    network.m_dead.assign(static_cast<std::size_t>(members), false);
    return network;
}

/// Advances until the predicate holds for every live host. The time that this took, or -1 ms if it
/// took more than a minute.
Millis timeUntil(Network &network, const std::function<bool(const Membership &)> &predicate)
{
    const Millis begin = network.m_time;
    while (network.m_time - begin < Millis{60'000}) {
        bool all = true;
        for (std::size_t i = 0; i < network.m_hosts.size(); ++i)
            all = all && (network.m_dead[i] || predicate(network.m_hosts[i]));
        if (all)
            return network.m_time - begin;
        advance(network, tickTime);
    }
    return {-1};
}

/// Measures traffic and processor time per host at rest, the time until a change has spread to all
/// hosts, and the time until all hosts consider a killed host dead. all_to_all_bytes_s is for
/// comparison: the traffic if each host sent its entry to every other one in each probe period.
void measureMembership(int members)
{
    Network network = makeNetwork(members);
    advance(network, {5'000});
    const std::uint64_t bytesBefore = network.m_bytes;
    const auto begin = std::chrono::steady_clock::now();
    constexpr std::int64_t seconds = 10;
    advance(network, {seconds * 1'000});
    const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
    const double idleBytesPerSecond = static_cast<double>(network.m_bytes - bytesBefore)
        / static_cast<double>(seconds * members);
    const double corePercent = spent.count() / static_cast<double>(seconds * members) * 100;
    updateSelf(network.m_hosts[1], {false, 7, 0});
    const Millis spreadTime = timeUntil(network, [](const Membership &membership) {
        return membership.m_members.at({"host-1"}).m_configNumber == 7;
    });
    network.m_dead[0] = true;
    const Millis detectionTime = timeUntil(network, [](const Membership &membership) {
        return membership.m_members.at({"host-0"}).m_liveness == Liveness::Dead;
    });
    const double entrySize = static_cast<double>(
        packFrame(*makeFrame([&] {
            wire::ProbeT probe;
            probe.sender = std::make_unique<wire::MemberEntryT>(packMember(makeMember(1)));
            return probe;
        }()))
            .size()
        + udpOverhead);
    const double allToAll = entrySize * (members - 1) * 4; // 4 probe periods per second
    std::cout << "membership members=" << members << " sent_bytes_s=" << std::fixed
              << std::setprecision(0) << idleBytesPerSecond << std::setprecision(3)
              << " core_percent=" << corePercent << " spread_ms=" << spreadTime.m_count
              << " kill_noticed_ms=" << detectionTime.m_count << std::setprecision(0)
              << " all_to_all_bytes_s=" << allToAll << "\n";
}

// --- configuration, cell planning, address lookup ---

Configuration makeConfiguration(int models, int servers, int cells)
{
    std::ostringstream deployment;
    deployment << "deployment: size\nservers:\n";
    for (int i = 0; i < servers; ++i)
        deployment << "  - {name: engine-" << i << ", address: \"10.2." << i / 250 << "."
                   << i % 250 + 1 << ":9000\", data-centre: dc" << i % 5 << ", cell: cell-"
                   << i % cells << ", accelerators-mb: [80000, 80000, 80000, 80000, 80000, 80000, "
                   << "80000, 80000]}\n";
    Configuration configuration;
    readPublishedFile({"", deployment.str(), "deployment.yaml"}, configuration);
    constexpr int modelsPerService = 20;
    for (int first = 0; first < models; first += modelsPerService) {
        std::ostringstream service;
        service << "service: service-" << first << "\nwork: [{name: draft, idempotent: true}]\n"
                << "models:\n";
        for (int i = first; i < std::min(models, first + modelsPerService); ++i)
            service << "  - {name: model-" << i << ", memory-mb: 16000, max-replicas: 2, "
                    << "adapters: [{name: adapter-" << i << "}]}\n";
        readPublishedFile({"", service.str(), "service.yaml"}, configuration);
    }
    assignCells(configuration);
    return configuration;
}

/// Measures parsing a configuration, and parsing it again when no file has changed.
void measureConfiguration(int models)
{
    const Configuration configuration = makeConfiguration(models, models / 2, 30);
    const std::string text = writeConfiguration(configuration);
    const double parseCost = meanMicroseconds([&] { parseConfiguration(text); }, 3);
    const double unchanged = meanMicroseconds([&] { parseConfiguration(text, &configuration); }, 3);
    std::cout << "configuration models=" << models << " bytes=" << text.size() << std::fixed
              << std::setprecision(0) << " parse_us=" << parseCost << " unchanged_us=" << unchanged
              << "\n";
}

/// A cell record with up to 8 slots per server, one per accelerator.
CellRecord fillRecord(const Configuration &configuration, int slots)
{
    CellRecord record;
    record.m_cell = {"cell-0"};
    takeOver(record, {"host-1"}, {1});
    std::uint64_t number = 1;
    for (const ServerSpec &server : configuration.m_servers) {
        for (int i = 0; i < 8 && static_cast<int>(record.m_slots.size()) < slots; ++i) {
            LoadRequest request;
            request.m_model = {"model-" + std::to_string(number)};
            request.m_memory = {16'000};
            request.m_server = server.m_name;
            request.m_accelerator = i;
            request.m_order = {{1}, number++};
            reserveLoad(record, request, server);
        }
    }
    return record;
}

/// Measures one planning round of a cell: without demand, and with demand for a model to load.
void measureCell(int servers)
{
    const Configuration configuration = makeConfiguration(40, servers, 1);
    const CellRecord record = fillRecord(configuration, servers * 4);
    PlanInput input;
    input.m_configuration = &configuration;
    input.m_record = &record;
    input.m_firstOrder = {{1}, 1'000'000};
    input.m_loadTokens = 4;
    for (const ServerSpec &server : configuration.m_servers) {
        ServerReport report;
        report.m_server = server.m_name;
        report.m_reachable = true;
        input.m_reports.push_back(report);
    }
    const double idleCost = meanMicroseconds([&] { planCell(input, {1'000}); }, 200);
    Demand demand;
    demand.m_model = {"model-39"};
    demand.m_waiting = 5;
    demand.m_latestDeadline = {60'000};
    input.m_demands.push_back(demand);
    const double loadCost = meanMicroseconds([&] { planCell(input, {1'000}); }, 200);
    std::cout << "cell servers=" << servers << " slots=" << record.m_slots.size()
              << " record_bytes=" << writeCellRecord(record).size() << std::fixed
              << std::setprecision(0) << " plan_idle_us=" << idleCost
              << " plan_wake_us=" << loadCost << "\n";
}

/// Measures choosing the hosts for one address request.
void measureAddress(int members)
{
    std::vector<Member> live;
    live.reserve(static_cast<std::size_t>(members));
    for (int i = 0; i < members; ++i)
        live.push_back(makeMember(i));
    const double lookupCost
        = meanMicroseconds([&] { addressOrder(live, "model:m", 1, {"dc1"}, 4); }, 500);
    std::cout << "address members=" << members << std::fixed << std::setprecision(0)
              << " each_us=" << lookupCost << "\n";
}

} // namespace

int main()
{
    for (const int members : memberCounts)
        measureMembership(members);
    for (const int models : {50, 300, 1'200})
        measureConfiguration(models);
    for (const int servers : {5, 10, 20})
        measureCell(servers);
    for (const int members : memberCounts)
        measureAddress(members);
    return 0;
}
