// The gateway's own settings file.
#include "gateway.h"
#include "version/yamlreader.h"

#include <fstream>
#include <sstream>

namespace apricot {

std::variant<GatewaySettings, std::vector<FileFault>> readGatewaySettings(const std::string &path)
{
    constexpr IntBounds timeBounds = {1, 3'600'000}; // ms
    std::ifstream stream(path);
    if (!stream)
        return std::vector<FileFault>{{path, 0, "", "the file can't be opened"}};
    std::stringstream text;
    text << stream.rdbuf();
    YamlFile file;
    file.m_path = path;
    YamlMap map = openYaml(file, text.str());
    GatewaySettings settings;
    const auto time = [&](const char *key, Millis fallback) {
        return Millis{readInt(map, key, fallback.m_count, timeBounds)};
    };
    settings.m_host.m_text = readName(map, "host", true);
    settings.m_dataCentre.m_text = readName(map, "data-centre", true);
    settings.m_caller = readEndpoint(map, "caller-address", true);
    settings.m_ready = readEndpoint(map, "ready-address", true);
    settings.m_metrics = readEndpoint(map, "metrics-address", false);
    settings.m_directory = readEndpoint(map, "directory-address", true);
    settings.m_peer = readEndpoint(map, "peer-address", true);
    settings.m_platform = readEndpoint(map, "platform", true);
    settings.m_stopWithin = time("stop-within-ms", settings.m_stopWithin);
    settings.m_leaseTurn = time("lease-turn-ms", settings.m_leaseTurn);
    settings.m_retryWindow = time("retry-window-ms", settings.m_retryWindow);
    settings.m_addressKeep = time("address-keep-ms", settings.m_addressKeep);
    settings.m_retryRatio = readReal(map, "retry-ratio", settings.m_retryRatio, 0);
    settings.m_retrySlack = readReal(map, "retry-slack", settings.m_retrySlack, 0);
    finishMap(map);
    if (!file.m_faults.empty())
        return file.m_faults;
    return settings;
}

} // namespace apricot
