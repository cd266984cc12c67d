// Reads YAML files and checks each field. All faults of a file are collected in one pass, each with
// its line and field. A reader returns its fallback, or an empty value, if the key is missing or
// its value is wrong; a wrong value and a missing required key also add a fault.
#pragma once

#include "apricot.h"

#include <set>
#include <yaml-cpp/yaml.h>

namespace apricot {

/// Allowed range of a number, both ends included.
struct IntBounds
{
    std::int64_t m_min = 0;
    std::int64_t m_max = 0;
};

/// The file being read, and the faults found so far.
struct YamlFile
{
    std::string m_path;
    std::vector<FileFault> m_faults;
};

/// A mapping in the file. checkKeys() reports the keys that no reader has requested.
struct YamlMap
{
    YamlFile *m_file = nullptr;
    YAML::Node m_node;   // the mapping; may be another kind of node if the file is wrong
    std::string m_field; // path of the mapping, such as "models[2]"; empty at the top
    std::set<std::string> m_requestedKeys;
};

/// Parses the text. A syntax error adds a fault and gives an empty map.
YamlMap openYaml(YamlFile &file, const std::string &text);

/// Parses the file at file.m_path. If it can't be opened, adds a fault and gives nothing.
std::optional<YamlMap> openYamlFile(YamlFile &file);

void addFault(const YamlMap &map, const std::string &key, const std::string &message);

bool hasKey(const YamlMap &map, const std::string &key);
std::string readText(YamlMap &map, const std::string &key, bool required);

/// A name that needs no escaping in a URL, a log line or an object key: letters, digits, '-', '_',
/// '.', at most 128 characters.
std::string readName(YamlMap &map, const std::string &key, bool required);
std::int64_t readInt(YamlMap &map, const std::string &key, std::int64_t fallback, IntBounds bounds);

/// Milliseconds, from 1 ms to an hour.
Millis readTime(YamlMap &map, const std::string &key, Millis fallback);

/// A finite number greater than `above`.
double readReal(YamlMap &map, const std::string &key, double fallback, double above);

/// A finite number of 0 or more.
double readAmount(YamlMap &map, const std::string &key, double fallback);
bool readBool(YamlMap &map, const std::string &key, bool fallback);
Endpoint readEndpoint(YamlMap &map, const std::string &key, bool required);
std::vector<std::int64_t> readInts(YamlMap &map, const std::string &key, IntBounds bounds);
std::vector<Endpoint> readEndpoints(YamlMap &map, const std::string &key, bool required);

/// The nested mapping under a key, if there is one.
std::optional<YamlMap> readMap(YamlMap &map, const std::string &key);

/// The mappings in the list under a key.
std::vector<YamlMap> readMaps(YamlMap &map, const std::string &key);

/// Index of the value among the choices. 0 if the key is missing; 0 and a fault if the value is
/// none of them.
std::size_t readChoice(YamlMap &map, const std::string &key,
                       const std::vector<std::string> &choices);

/// Adds a fault for each key that no reader has requested, and for each key that occurs twice.
void checkKeys(YamlMap &map);

} // namespace apricot
