// Decisions on which clients are admitted, and which are closed for others.
#include "admission/admission.h"

#include <algorithm>

namespace apricot {

namespace {

constexpr double bytesPerMb = 1'000'000;
/// The other memory is for the program, connections to servers, and answers on their way.
constexpr double requestShare = 0.35;
constexpr double reservedShare = 0.25;  // of the memory for requests
constexpr double fileDescriptors = 200; // of the machine's descriptors, for files only
/// The other sockets are connections to servers, to other hosts and to the platform's store.
constexpr double clientShare = 0.5;
/// Added to the time without progress, so that among active requests the largest is ended first.
constexpr Millis progressGrace = {100};

bool isLarge(std::size_t bytes)
{
    return bytes > smallRequestBytes;
}

void setBytes(AdmissionTable &table, AdmittedConnection &connection, std::size_t bytes)
{
    const std::size_t before = connection.m_bytes;
    table.m_bytes = table.m_bytes - before + bytes;
    table.m_largeBytes
        = table.m_largeBytes - (isLarge(before) ? before : 0) + (isLarge(bytes) ? bytes : 0);
    connection.m_bytes = bytes;
}

void markClosing(AdmissionTable &table, AdmittedConnection &connection)
{
    setBytes(table, connection, 0);
    connection.m_stage = ConnectionStage::Closing;
    table.m_open -= 1;
}

/// How much a request that is being read keeps from others, and for how long.
double weightOf(const AdmittedConnection &connection, Millis time)
{
    const Millis idle = time - connection.m_progressAt + progressGrace;
    return static_cast<double>(connection.m_bytes) * static_cast<double>(idle.m_count);
}

using Entry = std::pair<const ConnectionId, AdmittedConnection>;

/// Bytes that have to become free for a request that holds so many; 0: none.
std::size_t lackingBytes(const AdmissionTable &table, std::size_t requestBytes)
{
    const AdmissionLimits &limits = table.m_limits;
    const auto beyond = [](std::size_t held, std::size_t limit) {
        return held > limit ? held - limit : std::size_t{0};
    };
    const std::size_t forAll = beyond(table.m_bytes, limits.m_bytes);
    if (!isLarge(requestBytes))
        return forAll;
    return std::max(forAll, beyond(table.m_largeBytes, limits.m_bytes - limits.m_reservedBytes));
}

/// The requests to be closed so that so many bytes become free for `requester`, the heaviest first;
/// empty: those that are heavier than it don't suffice.
std::vector<Entry *> chooseVictims(AdmissionTable &table, const AdmittedConnection &requester,
                                   std::size_t lacking, Millis time)
{
    std::vector<Entry *> victims;
    const double ownWeight = weightOf(requester, time);
    for (auto &entry : table.m_connections) {
        const AdmittedConnection &other = entry.second;
        const bool maySuffer = other.m_stage == ConnectionStage::Reading
            && (!isLarge(requester.m_bytes) || isLarge(other.m_bytes));
        if (maySuffer && weightOf(other, time) > ownWeight)
            victims.push_back(&entry);
    }
    std::sort(victims.begin(), victims.end(), [&](const Entry *a, const Entry *b) {
        return weightOf(a->second, time) > weightOf(b->second, time);
    });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < victims.size() && freed < lacking)
        freed += victims[count++]->second.m_bytes;
    victims.resize(freed < lacking ? 0 : count);
    return victims;
}

/// The connection without a complete request that has been without progress for the longest time.
Entry *longestInactive(AdmissionTable &table)
{
    Entry *found = nullptr;
    for (auto &entry : table.m_connections) {
        const ConnectionStage stage = entry.second.m_stage;
        if (stage != ConnectionStage::Idle && stage != ConnectionStage::Reading)
            continue;
        if (!found || entry.second.m_progressAt < found->second.m_progressAt)
            found = &entry;
    }
    return found;
}

} // namespace

AdmissionLimits admissionLimitsOf(const MachineLimits &machine)
{
    AdmissionLimits limits;
    if (machine.m_memoryMb > 0) {
        const double bytes = machine.m_memoryMb * bytesPerMb * requestShare;
        limits.m_bytes = static_cast<std::size_t>(bytes);
        limits.m_reservedBytes = static_cast<std::size_t>(bytes * reservedShare);
    }
    if (machine.m_descriptors > 0) {
        const double sockets = std::max(machine.m_descriptors - fileDescriptors, 2.0);
        limits.m_connections = static_cast<std::size_t>(sockets * clientShare);
    }
    return limits;
}

AdmissionDecision admitConnection(AdmissionTable &table, ConnectionId id, Millis time)
{
    AdmissionDecision decision;
    const std::size_t limit = table.m_limits.m_connections;
    if (limit > 0 && table.m_open >= limit) {
        auto *inactive = longestInactive(table);
        if (!inactive) {
            table.m_refused += 1;
            decision.m_admitted = false;
            return decision;
        }
        decision.m_close.push_back(inactive->first);
        markClosing(table, inactive->second);
        table.m_closed += 1;
    }
    table.m_connections[id].m_progressAt = time;
    table.m_open += 1;
    return decision;
}

AdmissionDecision growTo(AdmissionTable &table, ConnectionId id, std::size_t bytes, Millis time)
{
    AdmissionDecision decision;
    const auto found = table.m_connections.find(id);
    if (found == table.m_connections.end() || found->second.m_stage == ConnectionStage::Closing) {
        decision.m_admitted = false;
        return decision;
    }
    AdmittedConnection &connection = found->second;
    connection.m_stage = ConnectionStage::Reading;
    connection.m_progressAt = time;
    setBytes(table, connection, bytes);
    const std::size_t lacking = lackingBytes(table, bytes);
    if (lacking == 0)
        return decision;
    const std::vector<Entry *> victims = chooseVictims(table, connection, lacking, time);
    if (victims.empty()) {
        table.m_refused += 1;
        markClosing(table, connection);
        decision.m_admitted = false;
        return decision;
    }
    for (Entry *victim : victims) {
        decision.m_close.push_back(victim->first);
        markClosing(table, victim->second);
        table.m_closed += 1;
    }
    return decision;
}

void setStage(AdmissionTable &table, ConnectionId id, ConnectionStage stage, std::size_t bytes,
              Millis time)
{
    const auto found = table.m_connections.find(id);
    if (found == table.m_connections.end() || found->second.m_stage == ConnectionStage::Closing)
        return;
    found->second.m_stage = stage;
    found->second.m_progressAt = time;
    setBytes(table, found->second, bytes);
}

void removeConnection(AdmissionTable &table, ConnectionId id)
{
    const auto found = table.m_connections.find(id);
    if (found == table.m_connections.end())
        return;
    if (found->second.m_stage != ConnectionStage::Closing)
        markClosing(table, found->second);
    table.m_connections.erase(found);
}

} // namespace apricot
