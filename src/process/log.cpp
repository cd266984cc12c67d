// Log lines.
#include "process/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace apricot {

namespace {

void appendValue(std::string &line, const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n") == std::string::npos;
    if (plain) {
        line += value;
        return;
    }
    line += '"';
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            line += '\\';
        line += letter == '\n' ? ' ' : letter;
    }
    line += '"';
}

std::string makeLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + std::string(event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.m_key;
        line += '=';
        appendValue(line, field.m_value);
    }
    return line;
}

} // namespace

void startLog(const std::string &host)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level host=" + host
                             + " %msg");
    el::Loggers::reconfigureLogger("default", settings);
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(INFO) << makeLine(event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(WARNING) << makeLine(event, fields);
}

} // namespace apricot
