// Reads and checks YAML fields. On a wrong value a reader adds a fault and returns the fallback, so
// that one pass over a file finds all its faults.
#include "version/yamlreader.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <fstream>
#include <sstream>

namespace apricot {

namespace {

constexpr std::size_t maxNameLength = 128; // characters

/// Line number from 1; 0 if the node doesn't exist.
int lineOf(const YAML::Node &node)
{
    return node.IsDefined() ? node.Mark().line + 1 : 0;
}

std::string fieldPath(const YamlMap &map, const std::string &key)
{
    return map.m_field.empty() ? key : map.m_field + "." + key;
}

/// The node under a key, which is noted as requested. An empty value counts as missing.
std::optional<YAML::Node> fetchNode(YamlMap &map, const std::string &key, bool required)
{
    map.m_requestedKeys.insert(key);
    if (map.m_node.IsMap()) {
        YAML::Node found = map.m_node[key];
        if (found.IsDefined() && !found.IsNull())
            return found;
    }
    if (required)
        addFault(map, key, "is missing");
    return {};
}

template<typename T>
std::optional<T> scalar(YamlMap &map, const std::string &key, const YAML::Node &node,
                        const char *expected)
{
    T value{};
    if (node.IsScalar() && YAML::convert<T>::decode(node, value))
        return value;
    addFault(map, key, std::string("must be ") + expected);
    return {};
}

std::string boundsText(IntBounds bounds)
{
    return "must be from " + std::to_string(bounds.m_min) + " to " + std::to_string(bounds.m_max);
}

std::optional<YAML::Node> fetchList(YamlMap &map, const std::string &key, bool required)
{
    std::optional<YAML::Node> node = fetchNode(map, key, required);
    if (node && !node->IsSequence()) {
        addFault(map, key, "must be a list");
        return {};
    }
    return node;
}

} // namespace

YamlMap openYaml(YamlFile &file, const std::string &text)
{
    YamlMap map;
    map.m_file = &file;
    try {
        map.m_node = YAML::Load(text);
    } catch (const YAML::Exception &error) {
        file.m_faults.push_back({file.m_path, error.mark.line + 1, "", error.msg});
        map.m_node = YAML::Node(YAML::NodeType::Map);
        return map;
    }
    if (!map.m_node.IsMap())
        file.m_faults.push_back({file.m_path, 1, "", "the file must be a mapping"});
    return map;
}

std::optional<YamlMap> openYamlFile(YamlFile &file)
{
    std::ifstream stream(file.m_path);
    if (!stream) {
        file.m_faults.push_back({file.m_path, 0, "", "the file can't be opened"});
        return {};
    }
    std::stringstream text;
    text << stream.rdbuf();
    return openYaml(file, text.str());
}

void addFault(const YamlMap &map, const std::string &key, const std::string &message)
{
    int line = lineOf(map.m_node);
    if (map.m_node.IsMap() && map.m_node[key].IsDefined())
        line = lineOf(map.m_node[key]);
    map.m_file->m_faults.push_back({map.m_file->m_path, line, fieldPath(map, key), message});
}

bool hasKey(const YamlMap &map, const std::string &key)
{
    return map.m_node.IsMap() && map.m_node[key].IsDefined();
}

std::string readText(YamlMap &map, const std::string &key, bool required)
{
    const auto node = fetchNode(map, key, required);
    if (!node)
        return {};
    return scalar<std::string>(map, key, *node, "a string").value_or("");
}

std::string readName(YamlMap &map, const std::string &key, bool required)
{
    std::string name = readText(map, key, required);
    const bool allowedCharacters
        = std::all_of(name.begin(), name.end(), [](unsigned char character) {
              return std::isalnum(character) || character == '-' || character == '_'
                  || character == '.';
          });
    if (!allowedCharacters || name.size() > maxNameLength)
        addFault(map, key, "must be at most 128 letters, digits, '-', '_' or '.'");
    return name;
}

std::int64_t readInt(YamlMap &map, const std::string &key, std::int64_t fallback, IntBounds bounds)
{
    const auto node = fetchNode(map, key, false);
    if (!node)
        return fallback;
    const auto value = scalar<std::int64_t>(map, key, *node, "a whole number");
    if (!value)
        return fallback;
    if (*value >= bounds.m_min && *value <= bounds.m_max)
        return *value;
    addFault(map, key, boundsText(bounds));
    return fallback;
}

Millis readTime(YamlMap &map, const std::string &key, Millis fallback)
{
    constexpr IntBounds bounds = {1, 3'600'000}; // ms
    return {readInt(map, key, fallback.m_count, bounds)};
}

namespace {

/// A finite number that is valid; else adds the fault and returns the fallback.
template<typename IsValid>
double readNumber(YamlMap &map, const std::string &key, double fallback, IsValid isValid,
                  const std::string &fault)
{
    const auto node = fetchNode(map, key, false);
    if (!node)
        return fallback;
    const auto value = scalar<double>(map, key, *node, "a number");
    if (!value)
        return fallback;
    if (std::isfinite(*value) && isValid(*value))
        return *value;
    addFault(map, key, fault);
    return fallback;
}

} // namespace

double readReal(YamlMap &map, const std::string &key, double fallback, double above)
{
    return readNumber(
        map, key, fallback, [above](double value) { return value > above; },
        "must be above " + std::to_string(above));
}

double readAmount(YamlMap &map, const std::string &key, double fallback)
{
    return readNumber(
        map, key, fallback, [](double value) { return value >= 0; }, "must be 0 or more");
}

bool readBool(YamlMap &map, const std::string &key, bool fallback)
{
    const auto node = fetchNode(map, key, false);
    if (!node)
        return fallback;
    return scalar<bool>(map, key, *node, "true or false").value_or(fallback);
}

Endpoint readEndpoint(YamlMap &map, const std::string &key, bool required)
{
    const auto node = fetchNode(map, key, required);
    if (!node)
        return {};
    const auto text = scalar<std::string>(map, key, *node, "IP:PORT").value_or("");
    const auto endpoint = parseEndpoint(text);
    if (!endpoint)
        addFault(map, key, "must be an IP address and a port, such as 10.0.0.1:8080");
    return endpoint.value_or(Endpoint{});
}

std::vector<std::int64_t> readInts(YamlMap &map, const std::string &key, IntBounds bounds)
{
    std::vector<std::int64_t> values;
    const auto list = fetchList(map, key, false);
    if (!list)
        return values;
    for (const YAML::Node &item : *list) {
        std::int64_t value = 0;
        const bool read = item.IsScalar() && YAML::convert<std::int64_t>::decode(item, value);
        if (!read || value < bounds.m_min || value > bounds.m_max)
            addFault(map, key, "each " + boundsText(bounds));
        values.push_back(value);
    }
    return values;
}

std::vector<Endpoint> readEndpoints(YamlMap &map, const std::string &key, bool required)
{
    std::vector<Endpoint> endpoints;
    const auto list = fetchList(map, key, required);
    if (!list)
        return endpoints;
    for (const YAML::Node &item : *list) {
        const auto endpoint = parseEndpoint(item.IsScalar() ? item.Scalar() : "");
        if (!endpoint)
            addFault(map, key, "each must be an IP address and a port, such as 10.0.0.1:8080");
        endpoints.push_back(endpoint.value_or(Endpoint{}));
    }
    return endpoints;
}

std::optional<YamlMap> readMap(YamlMap &map, const std::string &key)
{
    const auto node = fetchNode(map, key, false);
    if (!node)
        return {};
    if (!node->IsMap()) {
        addFault(map, key, "must be a mapping");
        return {};
    }
    YamlMap inner;
    inner.m_file = map.m_file;
    inner.m_node = *node;
    inner.m_field = fieldPath(map, key);
    return inner;
}

std::vector<YamlMap> readMaps(YamlMap &map, const std::string &key)
{
    std::vector<YamlMap> maps;
    const auto list = fetchList(map, key, false);
    if (!list)
        return maps;
    std::size_t index = 0;
    for (const YAML::Node &item : *list) {
        YamlMap inner;
        inner.m_file = map.m_file;
        inner.m_node = item;
        inner.m_field = fieldPath(map, key) + "[" + std::to_string(index++) + "]";
        if (item.IsMap())
            maps.push_back(inner);
        else
            map.m_file->m_faults.push_back(
                {map.m_file->m_path, lineOf(item), inner.m_field, "must be a mapping"});
    }
    return maps;
}

std::size_t readChoice(YamlMap &map, const std::string &key,
                       const std::vector<std::string> &choices)
{
    const auto node = fetchNode(map, key, false);
    if (!node)
        return 0;
    const std::string text = node->IsScalar() ? node->Scalar() : "";
    const auto found = std::find(choices.begin(), choices.end(), text);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    std::string all;
    for (const std::string &choice : choices)
        all += (all.empty() ? "" : ", ") + choice;
    addFault(map, key, "must be one of " + all);
    return 0;
}

void checkKeys(YamlMap &map)
{
    if (!map.m_node.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto &entry : map.m_node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
        std::string message;
        if (!map.m_requestedKeys.contains(key))
            message = "is not a known key";
        else if (!seen.insert(key).second)
            message = "occurs twice";
        if (!message.empty())
            map.m_file->m_faults.push_back(
                {map.m_file->m_path, lineOf(entry.first), fieldPath(map, key), message});
    }
}

} // namespace apricot
