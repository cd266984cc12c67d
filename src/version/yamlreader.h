// Reads YAML with a line and a field for every fault, and collects all faults of a file.
#pragma once

#include "apricot.h"

#include <set>
#include <yaml-cpp/yaml.h>

namespace apricot {

/// What stands between two bounds, both allowed.
struct IntBounds
{
    std::int64_t m_least = 0;
    std::int64_t m_most = 0;
};

/// One file being read.
struct YamlFile
{
    std::string m_path;
    std::vector<FileFault> m_faults;
};

/// One mapping in it. Keys that were never asked for are faults once finishMap() is called.
struct YamlMap
{
    YamlFile *m_file = nullptr;
    YAML::Node m_node;
    std::string m_field; // "models[2]"; empty at the top
    std::set<std::string> m_known;
};

/// Parses the text; on a syntax error a fault and an empty map.
YamlMap openYaml(YamlFile &file, const std::string &text);

/// The same for the file at file.m_path; nothing, and a fault, if it can't be opened.
std::optional<YamlMap> openYamlFile(YamlFile &file);

void addFault(const YamlMap &map, const std::string &key, const std::string &message);

bool hasKey(const YamlMap &map, const std::string &key);
std::string readText(YamlMap &map, const std::string &key, bool required);

/// A text that may stand in a URL, a log line and a key: letters, digits, '-', '_', '.'.
std::string readName(YamlMap &map, const std::string &key, bool required);
std::int64_t readInt(YamlMap &map, const std::string &key, std::int64_t fallback, IntBounds bounds);

/// Milliseconds, from 1 ms to an hour.
Millis readTime(YamlMap &map, const std::string &key, Millis fallback);
double readReal(YamlMap &map, const std::string &key, double fallback, double above);
bool readBool(YamlMap &map, const std::string &key, bool fallback);
Endpoint readEndpoint(YamlMap &map, const std::string &key, bool required);
std::vector<std::int64_t> readInts(YamlMap &map, const std::string &key, IntBounds bounds);
std::vector<Endpoint> readEndpoints(YamlMap &map, const std::string &key, bool required);

/// A mapping inside the mapping, if there is one.
std::optional<YamlMap> readMap(YamlMap &map, const std::string &key);
std::vector<YamlMap> readMaps(YamlMap &map, const std::string &key);

/// Index of the text among the choices; 0 and a fault if it is none of them.
std::size_t readChoice(YamlMap &map, const std::string &key,
                       const std::vector<std::string> &choices);

/// Faults for keys nobody asked for.
void finishMap(YamlMap &map);

} // namespace apricot
