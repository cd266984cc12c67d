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

void setBytes(AdmissionTable &table, AdmittedConnection &connection, std::size_t bytes)
{
    table.m_bytes = table.m_bytes - connection.m_bytes + bytes;
    connection.m_bytes = bytes;
}

void markClosing(AdmissionTable &table, AdmittedConnection &connection)
{
    setBytes(table, connection, 0);
    connection.m_stage = ConnectionStage::Closing;
}

/// How much a request that is being read keeps from others, and for how long.
double weightOf(const AdmittedConnection &connection, Millis time)
{
    const Millis idle = time - connection.m_progressAt + progressGrace;
    return static_cast<double>(connection.m_bytes) * static_cast<double>(idle.m_count);
}

/// The request being read that has the highest weight; null if none is being read.
std::pair<const ConnectionId, AdmittedConnection> *heaviest(AdmissionTable &table, Millis time)
{
    std::pair<const ConnectionId, AdmittedConnection> *found = nullptr;
    for (auto &entry : table.m_connections) {
        if (entry.second.m_stage != ConnectionStage::Reading)
            continue;
        if (!found || weightOf(entry.second, time) > weightOf(found->second, time))
            found = &entry;
    }
    return found;
}

/// The connection without a complete request that has been without progress for the longest time.
std::pair<const ConnectionId, AdmittedConnection> *longestInactive(AdmissionTable &table)
{
    std::pair<const ConnectionId, AdmittedConnection> *found = nullptr;
    for (auto &entry : table.m_connections) {
        const ConnectionStage stage = entry.second.m_stage;
        if (stage != ConnectionStage::Idle && stage != ConnectionStage::Reading)
            continue;
        if (!found || entry.second.m_progressAt < found->second.m_progressAt)
            found = &entry;
    }
    return found;
}

std::size_t openConnections(const AdmissionTable &table)
{
    const auto open = std::count_if(
        table.m_connections.begin(), table.m_connections.end(),
        [](const auto &entry) { return entry.second.m_stage != ConnectionStage::Closing; });
    return static_cast<std::size_t>(open);
}

/// Bytes that requests of that size may use together.
std::size_t bytesFor(const AdmissionLimits &limits, std::size_t requestBytes)
{
    return requestBytes <= smallRequestBytes ? limits.m_bytes
                                             : limits.m_bytes - limits.m_reservedBytes;
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
    if (limit > 0 && table.m_connections.size() >= limit && openConnections(table) >= limit) {
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
    while (table.m_bytes > bytesFor(table.m_limits, bytes)) {
        auto *victim = heaviest(table, time); // this request at least is being read
        if (victim->first == id) {
            table.m_refused += 1;
            markClosing(table, connection);
            decision.m_admitted = false;
            return decision;
        }
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
    setBytes(table, found->second, 0);
    table.m_connections.erase(found);
}

} // namespace apricot
