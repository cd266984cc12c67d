// The software versions that began streams, as one host knows them. Messages between hosts are
// handled in process/originexchange.cpp.
#include "streamorigins.h"

#include <algorithm>

namespace apricot {

namespace {

void dropOldest(StreamOrigins &origins)
{
    const auto [at, stream] = origins.m_oldestFirst.front();
    origins.m_oldestFirst.pop_front();
    const auto found = origins.m_known.find(stream);
    if (found != origins.m_known.end() && found->second.m_recordedAt == at)
        origins.m_known.erase(found); // else it was recorded again
}

} // namespace

void recordOrigin(StreamOrigins &origins, StreamId stream, const StreamOrigin &origin)
{
    const Millis time = origin.m_recordedAt;
    const auto [entry, isNew] = origins.m_known.try_emplace(stream, origin);
    StreamOrigin &known = entry->second;
    if (isNew || known.m_recordedAt != time)
        origins.m_oldestFirst.emplace_back(time, stream);
    known = {origin.m_software, time, origin.m_own || known.m_own};
    while (origins.m_oldestFirst.size() > maxOrigins
           || origins.m_oldestFirst.front().first + originLifetime < time)
        dropOldest(origins);
}

std::optional<SoftwareId> findOrigin(const StreamOrigins &origins, StreamId stream)
{
    const auto found = origins.m_known.find(stream);
    return found == origins.m_known.end() ? std::nullopt
                                          : std::optional<SoftwareId>(found->second.m_software);
}

bool updateVersions(ServiceVersions &versions, const ServerTable &servers, Millis time)
{
    bool becameSeveral = false;
    for (const auto &[id, known] : servers.m_servers) {
        auto &listedAt = versions.m_listedAt[known.m_server.m_service];
        const std::size_t before = listedAt.size();
        listedAt[softwareIdOf(known.m_server)] = time;
        becameSeveral = becameSeveral || (before == 1 && listedAt.size() == 2);
    }
    for (auto &[service, listedAt] : versions.m_listedAt) {
        std::erase_if(listedAt,
                      [&](const auto &version) { return version.second + originLifetime < time; });
        std::set<SoftwareId> &first = versions.m_first[service];
        if (listedAt.size() == 1)
            first = {listedAt.begin()->first};
        std::erase_if(
            first, [&listed = listedAt](SoftwareId version) { return !listed.contains(version); });
    }
    return becameSeveral;
}

bool hasSeveralVersions(const ServiceVersions &versions, const ServiceName &service)
{
    const auto found = versions.m_listedAt.find(service);
    return found != versions.m_listedAt.end() && found->second.size() > 1;
}

std::optional<SoftwareId> firstVersion(const ServiceVersions &versions, const ServiceName &service)
{
    const auto found = versions.m_first.find(service);
    const bool known = found != versions.m_first.end() && found->second.size() == 1;
    return known ? std::optional<SoftwareId>(*found->second.begin()) : std::nullopt;
}

VersionSets versionSetsOf(const ServiceVersions &versions)
{
    VersionSets sets;
    for (const auto &[service, listedAt] : versions.m_listedAt) {
        for (const auto &[software, at] : listedAt)
            sets[service].insert(software);
    }
    return sets;
}

OriginRecord makeOriginRecord(const StreamOrigins &origins, const ServiceVersions &versions,
                              Millis time)
{
    OriginRecord record = {versionSetsOf(versions), {}, {}};
    for (const auto &[service, softwares] : record.m_versions) {
        if (const auto first = firstVersion(versions, service))
            record.m_first[service] = *first;
    }
    for (const auto &[stream, origin] : origins.m_known) {
        if (origin.m_own && origin.m_recordedAt + recordedTime >= time)
            record.m_streams[origin.m_software].push_back(stream);
    }
    return record;
}

void addOriginRecord(StreamOrigins &origins, ServiceVersions &versions, const OriginRecord &record,
                     bool own, Millis time)
{
    for (const auto &[service, softwares] : record.m_versions) {
        for (const SoftwareId software : softwares)
            versions.m_listedAt[service][software] = time;
    }
    for (const auto &[service, first] : record.m_first)
        versions.m_first[service].insert(first);
    for (const auto &[software, streams] : record.m_streams) {
        for (const StreamId stream : streams)
            recordOrigin(origins, stream, {software, time, own});
    }
}

void addWantedOrigins(StreamOrigins &origins, const OriginRecord &record,
                      const std::set<StreamId> &wanted, Millis time)
{
    for (const auto &[software, streams] : record.m_streams) {
        for (const StreamId stream : streams) {
            if (wanted.contains(stream))
                recordOrigin(origins, stream, {software, time, false});
        }
    }
}

} // namespace apricot
