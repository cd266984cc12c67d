// One line of key=value pairs for each event and each decision, through easylogging++.
//
// Writing never blocks, and the volume is bounded: a line that standard output can't take at once,
// or that is over the rate, is dropped; the next line that is written says how many were.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace apricot {

struct LogField
{
    std::string_view m_key;
    std::string m_value;
};

/// Once at start: lines go to standard output, each with time, level and host.
void startLog(const std::string &host);

/// event=NAME key=value ...; values with spaces or quotes are quoted.
void logEvent(std::string_view event, std::initializer_list<LogField> fields);

/// The same for what an operator should look at.
void logWarning(std::string_view event, std::initializer_list<LogField> fields);

} // namespace apricot
