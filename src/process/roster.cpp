// What a host knows of the backend servers, from the list, the lease holder and their answers.
#include "gateway.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr Millis noticeLead = {1'500}; // an entry may lag behind orders by a heartbeat

/// A word of an earlier start is always older.
bool isOlder(const ServerWord &word, const ServerWord &than)
{
    if (word.m_born != than.m_born)
        return word.m_born < than.m_born;
    return word.m_sequence < than.m_sequence;
}

} // namespace

const ServerWord &latestWord(const KnownServer &known)
{
    if (known.m_notice && known.m_entryHeard <= known.m_noticeHeard + noticeLead)
        return *known.m_notice;
    return known.m_server.m_word;
}

void takeEntry(Roster &roster, const BackendServer &server, Millis time)
{
    KnownServer &known = roster.m_servers[server.m_id];
    const bool restarted = known.m_server.m_word.m_born != server.m_word.m_born;
    known.m_server = server;
    known.m_entryHeard = time;
    known.m_missing = false;
    if (!restarted)
        return;
    known.m_failures = 0;
    known.m_avoidUntil = {};
    known.m_refusedUntil.clear();
    if (known.m_notice && known.m_notice->m_born != server.m_word.m_born)
        known.m_notice.reset();
}

bool takeNotice(Roster &roster, const InstanceId &server, const ServerWord &word, Millis time)
{
    const auto found = roster.m_servers.find(server);
    if (found == roster.m_servers.end())
        return false;
    KnownServer &known = found->second;
    if (word.m_born != known.m_server.m_word.m_born)
        return false; // of another start than the entry
    if (known.m_notice && isOlder(word, *known.m_notice))
        return false;
    known.m_notice = word;
    known.m_noticeHeard = time;
    known.m_refusedUntil.clear();
    return true;
}

bool loseEntry(Roster &roster, const InstanceId &server, Millis lapseEnd, Millis time)
{
    const auto found = roster.m_servers.find(server);
    if (found == roster.m_servers.end())
        return false;
    KnownServer &known = found->second;
    if (time >= lapseEnd || known.m_server.m_leaving) {
        roster.m_servers.erase(found);
        return false;
    }
    known.m_missing = true;
    known.m_missingUntil = lapseEnd;
    return true;
}

void dropMissing(Roster &roster, Millis time)
{
    std::erase_if(roster.m_servers, [&](const auto &entry) {
        return entry.second.m_missing && time >= entry.second.m_missingUntil;
    });
}

std::uint64_t digestOf(const Roster &roster)
{
    std::string text;
    for (const auto &[id, known] : roster.m_servers) {
        if (known.m_missing)
            continue;
        text += id.m_text + " " + std::to_string(known.m_server.m_word.m_born)
            + (known.m_server.m_leaving ? " leaving\n" : "\n");
    }
    return stableHash(text);
}

bool holdsModel(const ServerWord &word, const ModelName &model, const AdapterName &adapter)
{
    for (const LoadedModel &loaded : word.m_models) {
        if (loaded.m_name != model)
            continue;
        if (adapter.m_text.empty())
            return true;
        const auto &all = loaded.m_adapters;
        return std::find(all.begin(), all.end(), adapter) != all.end();
    }
    return false;
}

} // namespace apricot
