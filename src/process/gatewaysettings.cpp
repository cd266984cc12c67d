// Reads the settings file of a gateway process.
#include "gateway.h"
#include "version/yamlreader.h"

#include <cctype>
#include <cstdlib>

namespace apricot {

namespace {

/// Settings that the environment of the process may state too.
const std::vector<std::string> &environmentSettings()
{
    static const std::vector<std::string> names
        = {"key-check-within-ms", "account-limit-slack", "memory-mb", "max-descriptors"};
    return names;
}

/// Name of the variable for a setting: APRICOTGW_MEMORY_MB for memory-mb.
std::string variableFor(const std::string &setting)
{
    std::string variable = "APRICOTGW_";
    for (const char letter : setting)
        variable += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    return variable;
}

/// Adds to the map what only the environment states. An empty variable states nothing.
void addFromEnvironment(YamlMap &map)
{
    for (const std::string &setting : environmentSettings()) {
        const char *const value = std::getenv(variableFor(setting).c_str());
        if (value && *value && !hasKey(map, setting))
            map.m_node[setting] = std::string(value);
    }
}

} // namespace

std::variant<GatewaySettings, std::vector<FileFault>> readGatewaySettings(const std::string &path)
{
    YamlFile file;
    file.m_path = path;
    std::optional<YamlMap> opened = openYamlFile(file);
    if (!opened)
        return file.m_faults;
    YamlMap &map = *opened;
    addFromEnvironment(map);
    GatewaySettings settings;
    settings.m_host.m_text = readName(map, "host", true);
    settings.m_dataCentre.m_text = readName(map, "data-centre", true);
    settings.m_caller = readEndpoint(map, "caller-address", true);
    settings.m_ready = readEndpoint(map, "ready-address", true);
    settings.m_metrics = readEndpoint(map, "metrics-address", false);
    settings.m_directory = readEndpoint(map, "directory-address", true);
    settings.m_peer = readEndpoint(map, "peer-address", true);
    settings.m_platform = readEndpoint(map, "platform", true);
    settings.m_stopTimeLimit = readTime(map, "stop-within-ms", settings.m_stopTimeLimit);
    settings.m_leaseHandoverDelay = readTime(map, "lease-turn-ms", settings.m_leaseHandoverDelay);
    settings.m_retryWindow = readTime(map, "retry-window-ms", settings.m_retryWindow);
    settings.m_addressLifetime = readTime(map, "address-keep-ms", settings.m_addressLifetime);
    settings.m_retryRatio = readReal(map, "retry-ratio", settings.m_retryRatio, 0);
    settings.m_retrySlack = readReal(map, "retry-slack", settings.m_retrySlack, 0);
    settings.m_capacity.m_cores = readReal(map, "core-share", settings.m_capacity.m_cores, 0);
    settings.m_capacity.m_linkMbps = readReal(map, "link-mbps", settings.m_capacity.m_linkMbps, 0);
    settings.m_keyCheckWithin = readTime(map, "key-check-within-ms", settings.m_keyCheckWithin);
    settings.m_accountSlack = readAmount(map, "account-limit-slack", settings.m_accountSlack);
    settings.m_machine.m_memoryMb = readReal(map, "memory-mb", 0, 0);
    settings.m_machine.m_descriptors = readReal(map, "max-descriptors", 0, 0);
    checkKeys(map);
    if (!file.m_faults.empty())
        return file.m_faults;
    return settings;
}

} // namespace apricot
