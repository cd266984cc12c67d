// How a published document reaches every host: a few hosts watch the platform, the newest number
// spreads as a rumour, and whoever is behind fetches the document from a host that has it. With
// the platform away this goes on between hosts. Nothing older is ever put in force.
#include "process/log.h"
#include "process/node.h"
#include "process/platform.h"
#include "version/publish.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr std::size_t watcherCount = 3;
constexpr Millis watchTime = {10'000};
constexpr Millis pollPeriod = {30'000}; // of hosts that don't watch
constexpr Millis retryPause = {500};    // after a failed call, before jitter
constexpr Millis catchUpPeriod = {100};
constexpr Millis peerTimeout = {1'500};

PlatformClient clientOf(Node &node)
{
    return {node.m_settings.m_platform, node.m_settings.m_platformTimeout,
            &node.m_threads.front()->m_http, &node.m_metrics};
}

void announce(Node &node)
{
    const std::lock_guard lock(node.m_members.m_mutex);
    Membership &membership = node.m_members.m_membership;
    const Member &own = membership.m_members.at(membership.m_self);
    SelfChange change = {own.m_leaving, own.m_configNumber, own.m_listNumber};
    {
        const std::lock_guard published(node.m_published.m_mutex);
        if (node.m_published.m_configuration)
            change.m_configNumber = node.m_published.m_configuration->m_number;
        change.m_listNumber = node.m_published.m_machines.m_number;
    }
    changeSelf(membership, change);
}

/// Puts a configuration in force unless one as new already is.
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
    announce(node);
    return true;
}

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
    announce(node);
    return true;
}

std::uint64_t numberInForce(Node &node, DocumentKind kind)
{
    const std::lock_guard lock(node.m_published.m_mutex);
    if (kind == DocumentKind::MachineList)
        return node.m_published.m_machines.m_number;
    return node.m_published.m_configuration ? node.m_published.m_configuration->m_number : 0;
}

/// One of the few hosts that watch: the best ranked, from different data centres first.
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

asio::awaitable<bool> takeHead(Node &node, ObjectRead read)
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

/// One look at the platform; false if it didn't answer.
asio::awaitable<bool> look(Node &node, DocumentKind kind, std::uint64_t &seen, Millis wait)
{
    const char *key = kind == DocumentKind::Configuration ? configHeadKey : machineListKey;
    const auto read = co_await readObject(clientOf(node), key, seen, wait);
    if (!ok(read))
        co_return false;
    const ObjectRead object = std::get<ObjectRead>(read);
    if (object.m_unchanged || object.m_version == 0 || object.m_version <= seen)
        co_return true;
    if (kind == DocumentKind::Configuration) {
        if (!co_await takeHead(node, object))
            co_return false;
    } else {
        applyMachines(node, object.m_value, object.m_version, "platform");
    }
    seen = object.m_version;
    co_return true;
}

/// A live host that has a newer document; nothing if none has.
std::optional<Member> someoneAhead(Node &node, DocumentKind kind)
{
    const std::uint64_t ours = numberInForce(node, kind);
    std::vector<Member> ahead;
    for (const Member &member : liveMembersOf(node)) {
        const std::uint64_t theirs
            = kind == DocumentKind::Configuration ? member.m_configNumber : member.m_listNumber;
        if (theirs > ours)
            ahead.push_back(member);
    }
    if (ahead.empty())
        return {};
    return ahead[randomId() % ahead.size()];
}

asio::awaitable<void> catchUp(Node &node, DocumentKind kind)
{
    const auto ahead = someoneAhead(node, kind);
    if (!ahead)
        co_return;
    wire::DocumentAskT ask;
    ask.kind = static_cast<std::uint8_t>(kind);
    ask.above = numberInForce(node, kind);
    auto answer = co_await callPeer(node.m_threads.front()->m_peers, ahead->m_peer, makeFrame(ask),
                                    peerTimeout);
    if (!ok(answer))
        co_return;
    const auto *tell = std::get<FramePtr>(answer)->body.AsDocumentTell();
    if (!tell || tell->text.empty())
        co_return;
    if (kind == DocumentKind::Configuration)
        applyConfiguration(node, tell->text, "peer");
    else
        applyMachines(node, tell->text, tell->number, "peer");
}

Millis jittered(Millis time)
{
    const auto spread = static_cast<std::uint64_t>(time.m_count);
    return time + Millis{static_cast<std::int64_t>(randomId() % spread)};
}

} // namespace

asio::awaitable<void> runWatch(Node &node, DocumentKind kind)
{
    std::uint64_t seen = 0;
    Millis lastLook = {-pollPeriod.m_count};
    while (!node.m_stopped) {
        const bool watcher = isWatcher(node);
        const bool due = watcher || now(node) - lastLook >= pollPeriod;
        if (!due) {
            co_await sleepFor(retryPause);
            continue;
        }
        const bool firstLook = lastLook < Millis{0};
        lastLook = now(node);
        const Millis wait = watcher && !firstLook ? watchTime : Millis{};
        const std::uint64_t before = seen;
        const bool answered = co_await look(node, kind, seen, wait);
        const bool early = seen == before && now(node) - lastLook < wait;
        if (answered && early) // nothing new, and it didn't wait: no answer may skip the pause
            co_await sleepFor(jittered(retryPause));
        if (!answered) {
            lastLook = watcher ? lastLook : now(node) - pollPeriod;
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

wire::DocumentTellT answerDocument(Node &node, const wire::DocumentAskT &ask)
{
    const std::lock_guard lock(node.m_published.m_mutex);
    const PublishedState &published = node.m_published;
    wire::DocumentTellT tell;
    if (static_cast<DocumentKind>(ask.kind) == DocumentKind::MachineList) {
        tell.number = published.m_machines.m_number;
        tell.text = published.m_machinesText;
    } else if (published.m_configuration) {
        tell.number = published.m_configuration->m_number;
        tell.text = published.m_configurationText;
    }
    if (tell.number <= ask.above)
        tell.text.clear();
    return tell;
}

} // namespace apricot
