// Distributes published documents (configuration and machine list) to all hosts. A few hosts watch
// the platform; the number of the newest document that a host has spreads by gossip, and a host
// with an older one fetches the document from a host that has it. That works between hosts also
// while the platform is unavailable. A document never replaces a newer one.
#include "process/log.h"
#include "process/node.h"
#include "process/platform.h"
#include "version/publish.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr std::size_t watcherCount = 3;   // hosts
constexpr Millis longPollTime = {10'000}; // after which the platform ends a watch
constexpr Millis pollPeriod = {30'000};   // of hosts that aren't watchers
constexpr Millis retryPause = {500};      // after a failed call; jitter adds as much at most
constexpr Millis catchUpPeriod = {100};
constexpr Millis peerTimeout = {1'500};

PlatformClient clientOf(Node &node)
{
    return {node.m_settings.m_platform, node.m_settings.m_platformTimeout,
            &node.m_threads.front()->m_http, &node.m_metrics};
}

/// Puts the numbers of this host's documents into its own member entry, which gossip spreads.
void gossipDocumentNumbers(Node &node)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    Membership &membership = node.m_members.m_membership;
    const Member &own = membership.m_members.at(membership.m_self);
    SelfUpdate update = {own.m_leaving, own.m_configNumber, own.m_listNumber};
    {
        const std::lock_guard published(node.m_published.m_mutex);
        if (node.m_published.m_configuration)
            update.m_configNumber = node.m_published.m_configuration->m_number;
        update.m_listNumber = node.m_published.m_machines.m_number;
    }
    updateSelf(membership, update);
}

/// Puts a configuration in force unless the one in force is as new or newer.
bool applyConfiguration(Node &node, const std::string &text, const char *from)
{
    const auto before = configurationOf(node);
    auto parsed = parseConfiguration(text, before.get());
    if (!ok(parsed)) {
        logWarning("configuration_unreadable",
                   {{"from", from}, {"detail", std::get<Failure>(parsed).m_detail}});
        return false;
    }
    auto next = std::make_shared<const Configuration>(std::get<Configuration>(std::move(parsed)));
    {
        const std::lock_guard lock(node.m_published.m_mutex);
        const auto &current = node.m_published.m_configuration;
        if (current && current->m_number >= next->m_number)
            return false;
        node.m_published.m_configuration = next;
        node.m_published.m_configurationText = text;
    }
    logEvent("configuration",
             {{"number", std::to_string(next->m_number)},
              {"id", next->m_id},
              {"publisher", next->m_publisher},
              {"from", from}});
    gossipDocumentNumbers(node);
    return true;
}

/// Puts a machine list in force unless the one in force is as new or newer.
bool applyMachines(Node &node, const std::string &text, std::uint64_t number, const char *from)
{
    auto parsed = parseMachineList(text, number);
    if (!ok(parsed)) {
        logWarning("machines_unreadable",
                   {{"from", from}, {"detail", std::get<Failure>(parsed).m_detail}});
        return false;
    }
    {
        const std::lock_guard lock(node.m_published.m_mutex);
        if (node.m_published.m_machines.m_number >= number)
            return false;
        node.m_published.m_machines = std::get<MachineList>(parsed);
        node.m_published.m_machinesText = text;
    }
    logEvent("machines", {{"number", std::to_string(number)}, {"from", from}});
    gossipDocumentNumbers(node);
    return true;
}

std::uint64_t numberInForce(Node &node, DocumentKind kind)
{
    const std::lock_guard lock(node.m_published.m_mutex);
    if (kind == DocumentKind::MachineList)
        return node.m_published.m_machines.m_number;
    return node.m_published.m_configuration ? node.m_published.m_configuration->m_number : 0;
}

/// True if this host is one of the watchers: the first hosts in rendezvous order, with a host of
/// each data centre before any second one, so that no single data centre holds all watchers.
bool isWatcher(Node &node)
{
    std::vector<Member> ranked = rankMembers(liveMembersOf(node), "watch");
    std::set<DataCentre> seen;
    std::stable_partition(ranked.begin(), ranked.end(), [&](const Member &member) {
        return seen.insert(member.m_dataCentre).second;
    });
    ranked.resize(std::min(ranked.size(), watcherCount));
    return std::any_of(ranked.begin(), ranked.end(), [&](const Member &member) {
        return member.m_host == node.m_settings.m_host;
    });
}

/// Fetches the version that the head points to and applies it. False on failure.
asio::awaitable<bool> fetchHeadVersion(Node &node, ObjectRead read)
{
    const auto head = parseHead(read);
    if (!ok(head) || std::get<ConfigHead>(head).m_number == 0)
        co_return ok(head);
    const std::string id = std::get<ConfigHead>(head).m_id;
    const auto version = co_await readObject(clientOf(node), versionKey(id), 0, {});
    if (!ok(version))
        co_return false;
    applyConfiguration(node, std::get<ObjectRead>(version).m_value, "platform");
    co_return true;
}

/// Reads the document from the platform, as a watch if `wait` is above 0, and applies it if it is
/// newer than `seen`, which then becomes its version. False if a read failed.
asio::awaitable<bool> pollPlatform(Node &node, DocumentKind kind, std::uint64_t &seen, Millis wait)
{
    const char *key = kind == DocumentKind::Configuration ? configHeadKey : machineListKey;
    const auto read = co_await readObject(clientOf(node), key, seen, wait);
    if (!ok(read))
        co_return false;
    const ObjectRead object = std::get<ObjectRead>(read);
    if (object.m_unchanged || object.m_version == 0 || object.m_version <= seen)
        co_return true;
    if (kind == DocumentKind::Configuration) {
        if (!co_await fetchHeadVersion(node, object))
            co_return false;
    } else {
        applyMachines(node, object.m_value, object.m_version, "platform");
    }
    seen = object.m_version;
    co_return true;
}

/// A random live host that has a newer document, if there is one.
std::optional<Member> pickNewerMember(Node &node, DocumentKind kind)
{
    const std::uint64_t ownNumber = numberInForce(node, kind);
    std::vector<Member> newer;
    for (const Member &member : liveMembersOf(node)) {
        const std::uint64_t otherNumber
            = kind == DocumentKind::Configuration ? member.m_configNumber : member.m_listNumber;
        if (otherNumber > ownNumber)
            newer.push_back(member);
    }
    if (newer.empty())
        return {};
    return newer[randomId() % newer.size()];
}

/// Fetches the document from another host if that has a newer one.
asio::awaitable<void> catchUp(Node &node, DocumentKind kind)
{
    const auto newer = pickNewerMember(node, kind);
    if (!newer)
        co_return;
    wire::DocumentAskT request;
    request.kind = static_cast<std::uint8_t>(kind);
    request.above = numberInForce(node, kind);
    auto answer = co_await callPeer(node.m_threads.front()->m_peers, newer->m_peer,
                                    makeFrame(request), peerTimeout);
    if (!ok(answer))
        co_return;
    const auto *reply = std::get<FramePtr>(answer)->body.AsDocumentTell();
    if (!reply || reply->text.empty())
        co_return;
    if (kind == DocumentKind::Configuration)
        applyConfiguration(node, reply->text, "peer");
    else
        applyMachines(node, reply->text, reply->number, "peer");
}

/// A random time between once and twice the given one.
Millis jittered(Millis time)
{
    const auto spread = static_cast<std::uint64_t>(time.m_count);
    return time + Millis{static_cast<std::int64_t>(randomId() % spread)};
}

} // namespace

asio::awaitable<void> runWatch(Node &node, DocumentKind kind)
{
    std::uint64_t seen = 0;
    Millis lastPoll = {-pollPeriod.m_count};
    while (!node.m_stopped) {
        const bool watcher = isWatcher(node);
        const bool due = watcher || now(node) - lastPoll >= pollPeriod;
        if (!due) {
            co_await sleepFor(retryPause);
            continue;
        }
        const bool firstPoll = lastPoll < Millis{0};
        lastPoll = now(node);
        const Millis wait = watcher && !firstPoll ? longPollTime : Millis{};
        const std::uint64_t before = seen;
        const bool answered = co_await pollPlatform(node, kind, seen, wait);
        const bool early = seen == before && now(node) - lastPoll < wait;
        // A platform that ends each watch at once would otherwise be polled in a tight loop.
        if (answered && early)
            co_await sleepFor(jittered(retryPause));
        // After a failure every host retries soon, also one that isn't a watcher.
        if (!answered) {
            lastPoll = watcher ? lastPoll : now(node) - pollPeriod;
            co_await sleepFor(jittered(retryPause));
        }
    }
}

asio::awaitable<void> runCatchUp(Node &node)
{
    while (!node.m_stopped) {
        co_await catchUp(node, DocumentKind::Configuration);
        co_await catchUp(node, DocumentKind::MachineList);
        co_await sleepFor(catchUpPeriod);
    }
}

wire::DocumentTellT answerDocument(Node &node, const wire::DocumentAskT &request)
{
    const std::lock_guard lock(node.m_published.m_mutex);
    const PublishedState &published = node.m_published;
    wire::DocumentTellT reply;
    if (static_cast<DocumentKind>(request.kind) == DocumentKind::MachineList) {
        reply.number = published.m_machines.m_number;
        reply.text = published.m_machinesText;
    } else if (published.m_configuration) {
        reply.number = published.m_configuration->m_number;
        reply.text = published.m_configurationText;
    }
    if (reply.number <= request.above)
        reply.text.clear();
    return reply;
}

} // namespace apricot
