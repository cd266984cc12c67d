// This host's record in the platform's store of the streams that it began, for hosts that start
// after all of them have ended, and for streams that no other host knows. The decisions are in
// streamorigins.h.
//
// Only this host writes its record, but a write of an earlier process may still be applied late. So
// a write names the position of the record that it replaces. If the store has another one, the host
// takes that over and writes both together.
#include "process/gatewaystate.h"
#include "process/log.h"

#include <boost/json.hpp>

namespace apricot {

namespace {

namespace json = boost::json;

/// The longest that the first event of a stream waits for its record: a caller is served also while
/// the store is slow or away, and only loses its stream if all hosts end then.
constexpr Millis recordWait = {60};
/// The record is looked at again at this interval if nothing wakes the loop.
constexpr Millis checkInterval = {500};
/// Shortest time between two reads of all records for streams that no host knows, for each host in
/// the register, as each has a record; and the longest such time.
constexpr Millis lookupIntervalPerHost = {2};
constexpr Millis longestLookupInterval = {800};
constexpr std::size_t hexDigits = 16; // of a stream or a version

json::object encodeVersions(const VersionSets &sets)
{
    json::object services;
    for (const auto &[service, softwares] : sets) {
        json::array list;
        for (const SoftwareId software : softwares)
            list.push_back(json::string(toHex(software.m_hash)));
        services[service.m_text] = std::move(list);
    }
    return services;
}

/// The streams of a version are one text, since there are many.
json::value encodeRecord(const OriginRecord &record)
{
    json::object versions;
    for (const auto &[software, streams] : record.m_streams) {
        std::string text;
        for (const StreamId stream : streams)
            text += toHex(stream);
        versions[toHex(software.m_hash)] = text;
    }
    json::object first;
    for (const auto &[service, software] : record.m_first)
        first[service.m_text] = toHex(software.m_hash);
    return json::object{{"services", encodeVersions(record.m_versions)},
                        {"streams", std::move(versions)},
                        {"first", std::move(first)},
                        {"era", record.m_era.value_or(0)}};
}

const json::object *partOf(const json::value &content, const char *key)
{
    const auto *fields = content.if_object();
    const auto *part = fields ? fields->if_contains(key) : nullptr;
    return part ? part->if_object() : nullptr;
}

std::optional<std::set<SoftwareId>> decodeVersions(const json::value &list)
{
    if (!list.is_array())
        return {};
    std::set<SoftwareId> versions;
    for (const json::value &entry : list.get_array()) {
        const auto software
            = entry.is_string() ? parseHex(std::string(entry.get_string())) : std::nullopt;
        if (!software)
            return {};
        versions.insert(SoftwareId{*software});
    }
    return versions;
}

std::optional<std::vector<StreamId>> decodeStreams(const json::value &value)
{
    if (!value.is_string() || value.get_string().size() % hexDigits != 0)
        return {};
    const std::string text(value.get_string());
    std::vector<StreamId> streams;
    for (std::size_t at = 0; at < text.size(); at += hexDigits) {
        const auto stream = parseHex(text.substr(at, hexDigits));
        if (!stream)
            return {};
        streams.push_back(*stream);
    }
    return streams;
}

/// Reads the first versions of services. Records of older builds lack them; there the only version
/// of a service is its first one.
bool decodeFirst(const json::value &content, OriginRecord &record)
{
    const json::object *first = partOf(content, "first");
    for (const auto &[service, softwares] : record.m_versions) {
        if (!first && softwares.size() == 1)
            record.m_first[service] = *softwares.begin();
    }
    if (!first)
        return true;
    for (const auto &[service, value] : *first) {
        const auto software
            = value.is_string() ? parseHex(std::string(value.get_string())) : std::nullopt;
        if (!software)
            return false;
        record.m_first[{std::string(service)}] = SoftwareId{*software};
    }
    return true;
}

std::optional<OriginRecord> decodeRecord(const json::value &content)
{
    const json::object *services = partOf(content, "services");
    const json::object *versions = partOf(content, "streams");
    if (!services || !versions)
        return {};
    OriginRecord record;
    for (const auto &[service, list] : *services) {
        auto softwares = decodeVersions(list);
        if (!softwares)
            return {};
        record.m_versions[{std::string(service)}] = std::move(*softwares);
    }
    for (const auto &[version, value] : *versions) {
        const auto software = parseHex(std::string(version));
        auto streams = decodeStreams(value);
        if (!software || !streams)
            return {};
        record.m_streams[SoftwareId{*software}] = std::move(*streams);
    }
    if (!decodeFirst(content, record))
        return {};
    const json::value *era = content.get_object().if_contains("era");
    if (era && era->is_number())
        record.m_era = era->to_number<std::uint64_t>();
    return record;
}

/// Decodes a record. Logs it if it can't be read.
std::optional<OriginRecord> readRecord(const StoredObject &object)
{
    auto record = decodeRecord(object.m_content);
    if (!record)
        logWarning("origins_unreadable", {{"host", object.m_name}});
    return record;
}

/// Writes this host's record over the one that it knows. Returns false if that has to be tried
/// again.
asio::awaitable<bool> writeRecord(Gateway &gateway, json::value content)
{
    OriginRecordState &state = gateway.m_originRecord;
    const std::string &name = gateway.m_settings.m_host.m_text;
    HttpRequest request = state.m_position == 0
        ? gateway.m_protocol->createObject(ObjectKind::Origins, name, content)
        : gateway.m_protocol->replaceObject(ObjectKind::Origins, name, state.m_position, content);
    const StoreReply reply = co_await requestStoreObject(gateway, "origins", std::move(request));
    if (reply.m_outcome == StoreOutcome::Missing)
        state.m_position = 0;
    if (reply.m_outcome == StoreOutcome::Conflict && reply.m_object)
        applyOriginRecord(gateway, *reply.m_object);
    if (reply.m_outcome == StoreOutcome::Done && reply.m_object)
        state.m_position = reply.m_object->m_revision;
    if (reply.m_outcome != StoreOutcome::Done)
        logEvent("origins_not_written", {{"why", reply.m_detail}});
    co_return reply.m_outcome == StoreOutcome::Done;
}

/// Writes the record if it lacks streams, or if the versions have changed. Returns false if that
/// has to be tried again.
asio::awaitable<bool> updateRecord(Gateway &gateway)
{
    OriginRecordState &state = gateway.m_originRecord;
    const std::uint64_t wanted = state.m_wanted; // more may arrive while the write is under way
    OriginRecord record
        = makeOriginRecord(gateway.m_streamOrigins, gateway.m_serviceVersions, now(gateway));
    record.m_era = gateway.m_storeEra.value_or(0);
    if (wanted == state.m_stored && record.m_versions == state.m_written.m_versions
        && record.m_first == state.m_written.m_first && record.m_era == state.m_written.m_era)
        co_return true;
    if (!co_await writeRecord(gateway, encodeRecord(record)))
        co_return false;
    state.m_written = std::move(record);
    state.m_stored = wanted;
    for (WakeableTimer *waiting : state.m_waiting)
        wake(*waiting);
    co_return true;
}

} // namespace

void applyOriginRecord(Gateway &gateway, const StoredObject &object)
{
    const bool own = object.m_name == gateway.m_settings.m_host.m_text;
    if (own)
        gateway.m_originRecord.m_position = object.m_revision;
    const auto record = readRecord(object);
    if (!record)
        return;
    addOriginRecord(gateway.m_streamOrigins, gateway.m_serviceVersions, *record, own, now(gateway));
    const std::uint64_t era = gateway.m_storeEra.value_or(0);
    if (record->m_era.value_or(era) < era)
        gateway.m_originRecord.m_incompleteUntil = now(gateway) + recordedTime;
}

void applyListedOriginRecord(Gateway &gateway, const StoredObject &object)
{
    const OriginRecordState &state = gateway.m_originRecord;
    if (!state.m_read)
        return applyOriginRecord(gateway, object);
    if (object.m_name == gateway.m_settings.m_host.m_text)
        return; // this host knows its own streams
    if (const auto record = readRecord(object))
        addWantedOrigins(gateway.m_streamOrigins, *record, state.m_lookedUp, now(gateway));
}

asio::awaitable<void> readOriginRecords(Gateway &gateway)
{
    co_await readObjects(gateway, ObjectKind::Origins);
    gateway.m_originRecord.m_read = true;
    logEvent("origins_read", {{"streams", std::to_string(gateway.m_streamOrigins.m_known.size())}});
}

asio::awaitable<void> keepOriginRecord(Gateway &gateway)
{
    co_await readOriginRecords(gateway);
    constexpr Millis firstPause = {50}; // after a write that failed
    constexpr Millis longestPause = {1'000};
    Millis pause = firstPause;
    while (true) {
        co_await sleepUntilWoken(*gateway.m_originRecord.m_trigger, checkInterval);
        if (!gateway.m_originRecord.m_read)
            continue;
        if (co_await updateRecord(gateway)) {
            pause = firstPause;
            continue;
        }
        co_await backOff(gateway, pause, longestPause);
        wake(*gateway.m_originRecord.m_trigger);
    }
}

namespace {

/// Reads all records, again and again, while requests wait for a read that begins after their call.
asio::awaitable<void> runLookups(Gateway &gateway)
{
    OriginRecordState &state = gateway.m_originRecord;
    while (!state.m_lookups.empty()) {
        const Millis interval
            = std::min(lookupIntervalPerHost * hostCount(gateway), longestLookupInterval);
        const Millis since = now(gateway) - state.m_lookupBeganAt;
        if (since < interval)
            co_await pauseFor(gateway, interval - since);
        state.m_lookupBeganAt = now(gateway);
        const std::list<OriginLookupPtr> batch = std::exchange(state.m_lookups, {});
        state.m_lookedUp.clear();
        for (const OriginLookupPtr &lookup : batch)
            state.m_lookedUp.insert(lookup->m_stream);
        const bool read = co_await readObjectsOnce(gateway, ObjectKind::Origins);
        logEvent("origins_looked_up",
                 {{"streams", std::to_string(batch.size())}, {"read", read ? "yes" : "no"}});
        for (const OriginLookupPtr &lookup : batch) {
            lookup->m_read = read;
            wake(lookup->m_timer);
        }
    }
    state.m_lookingUp = false;
}

} // namespace

asio::awaitable<bool> lookUpOrigin(Gateway &gateway, StreamId stream, Millis timeout)
{
    OriginRecordState &state = gateway.m_originRecord;
    const auto lookup = std::make_shared<OriginLookup>(gateway.m_io, stream);
    state.m_lookups.push_back(lookup);
    if (!std::exchange(state.m_lookingUp, true))
        begin(gateway, "look_up_origins", runLookups(gateway));
    co_await sleepUntilWoken(lookup->m_timer, timeout);
    state.m_lookups.remove(lookup);
    co_return lookup->m_read;
}

asio::awaitable<bool> waitForOriginRecord(Gateway &gateway)
{
    OriginRecordState &state = gateway.m_originRecord;
    const std::uint64_t number = ++state.m_wanted;
    wake(*state.m_trigger);
    WakeableTimer timer(gateway.m_io);
    const auto place = state.m_waiting.insert(state.m_waiting.end(), &timer);
    bool woken = true;
    while (woken && state.m_stored < number)
        woken = co_await sleepUntilWoken(timer, recordWait);
    state.m_waiting.erase(place);
    co_return state.m_stored >= number;
}

namespace {

/// Sends the keepers the origins in the record of a host that is gone, as its streams may still be
/// taken up.
void handOverOrigins(Gateway &gateway, const StoredObject &object)
{
    const auto record = readRecord(object);
    if (!record)
        return;
    std::vector<std::pair<StreamId, SoftwareId>> origins;
    for (const auto &[software, streams] : record->m_streams) {
        for (const StreamId stream : streams) {
            recordOrigin(gateway.m_streamOrigins, stream, {software, now(gateway), false});
            origins.emplace_back(stream, software);
        }
    }
    sendOriginsToKeepers(gateway, origins);
}

} // namespace

asio::awaitable<void> removeOriginRecord(Gateway &gateway, HostName host)
{
    HttpRequest read = gateway.m_protocol->getObject(ObjectKind::Origins, host.m_text);
    const StoreReply known = co_await requestStoreObject(gateway, "origins", std::move(read));
    if (known.m_outcome != StoreOutcome::Done || !known.m_object)
        co_return;
    if (host != gateway.m_settings.m_host)
        handOverOrigins(gateway, *known.m_object);
    HttpRequest request = gateway.m_protocol->deleteObject(ObjectKind::Origins, host.m_text,
                                                           known.m_object->m_revision);
    const StoreReply reply = co_await requestStoreObject(gateway, "origins", std::move(request));
    logEvent("origins_removed", {{"host", host.m_text}, {"outcome", reply.m_detail}});
}

} // namespace apricot
