// Log lines.
#include "process/log.h"

#include <algorithm>
#include <atomic>
#include <easylogging++.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace apricot {

namespace {

constexpr std::size_t lineLimit = 3'500; // bytes; a pipe that polls as ready takes that much
constexpr double linesPerSecond = 1'000;
constexpr double burst = 2'000; // lines

/// Lines that may still be written now.
struct Allowance
{
    std::mutex m_mutex;
    double m_lines = burst;
    std::chrono::steady_clock::time_point m_at = std::chrono::steady_clock::now();
};

Allowance &allowance()
{
    static Allowance all;
    return all;
}

std::atomic<std::uint64_t> droppedLines = 0; // since the last line that was written

bool takeLine()
{
    Allowance &all = allowance();
    const std::lock_guard lock(all.m_mutex);
    const auto time = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(time - all.m_at).count();
    all.m_lines = std::min(burst, all.m_lines + seconds * linesPerSecond);
    all.m_at = time;
    if (all.m_lines < 1)
        return false;
    all.m_lines -= 1;
    return true;
}

/// Whether a line can be written without waiting for whoever reads it.
bool outputTakesLine()
{
    pollfd output = {STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

/// A line that would be one too many, or would block, is dropped and counted in the next one.
bool mayWrite()
{
    if (outputTakesLine() && takeLine())
        return true;
    ++droppedLines;
    return false;
}

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
    if (line.size() > lineLimit)
        line.resize(lineLimit);
    if (const std::uint64_t dropped = droppedLines.exchange(0))
        line += " dropped=" + std::to_string(dropped);
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
    if (mayWrite())
        LOG(INFO) << makeLine(event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    if (mayWrite())
        LOG(WARNING) << makeLine(event, fields);
}

} // namespace apricot
