// Reads and checks the settings file of a host.
#include "apricot.h"
#include "version/yamlreader.h"

namespace apricot {

namespace {

constexpr IntBounds threadBounds = {1, 64};
constexpr IntBounds sizeBounds = {1, 64 << 20};   // bytes
constexpr IntBounds queueBounds = {1, 1'000'000}; // requests

} // namespace

std::variant<Settings, std::vector<FileFault>> readSettings(const std::string &path)
{
    YamlFile file;
    file.m_path = path;
    std::optional<YamlMap> opened = openYamlFile(file);
    if (!opened)
        return file.m_faults;
    YamlMap &map = *opened;
    Settings settings;
    settings.m_host.m_text = readName(map, "host", true);
    settings.m_dataCentre.m_text = readName(map, "data-centre", true);
    settings.m_caller = readEndpoint(map, "caller-address", true);
    settings.m_peer = readEndpoint(map, "peer-address", true);
    settings.m_admin = readEndpoint(map, "admin-address", true);
    settings.m_platform = readEndpoints(map, "platform", true);
    settings.m_seeds = readEndpoints(map, "seeds", false);
    settings.m_threads
        = static_cast<int>(readInt(map, "threads", settings.m_threads, threadBounds));
    settings.m_bodyLimit = static_cast<std::size_t>(readInt(
        map, "body-limit-bytes", static_cast<std::int64_t>(settings.m_bodyLimit), sizeBounds));
    settings.m_queueLimit
        = static_cast<int>(readInt(map, "queue-limit", settings.m_queueLimit, queueBounds));
    settings.m_addressLifetime = readTime(map, "address-keep-ms", settings.m_addressLifetime);
    settings.m_ticketLifetime = readTime(map, "ticket-life-ms", settings.m_ticketLifetime);
    settings.m_drainTimeout = readTime(map, "drain-limit-ms", settings.m_drainTimeout);
    settings.m_orderDrainTime = readTime(map, "order-drain-ms", settings.m_orderDrainTime);
    settings.m_platformTimeout = readTime(map, "platform-timeout-ms", settings.m_platformTimeout);
    if (settings.m_drainTimeout <= settings.m_ticketLifetime)
        addFault(map, "drain-limit-ms",
                 "must be above ticket-life-ms, or a stop drops tickets still in use");
    checkKeys(map);
    if (!file.m_faults.empty())
        return file.m_faults;
    return settings;
}

} // namespace apricot
