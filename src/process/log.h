// Structured log: one line of key=value pairs for each event, through easylogging++.
//
// Logging never blocks an I/O thread, and its rate is limited. A line is dropped if standard
// output can't take it at once or if it exceeds the rate; the next line that is written has the
// number of dropped lines in its field `dropped`.
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

/// Call once at start. Lines go to standard output, each with time, level and host.
void startLog(const std::string &host);

/// Writes "event=NAME key=value ..." at level INFO. Empty values, and values with a space, quote,
/// '=' or line break, are quoted.
void logEvent(std::string_view event, std::initializer_list<LogField> fields);

/// Writes the same line at level WARNING, for events that an operator should look at.
void logWarning(std::string_view event, std::initializer_list<LogField> fields);

} // namespace apricot
