// Formats log lines, and drops those that would block or exceed the rate limit.
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

constexpr std::size_t maxLineSize = 3'500; // bytes; a writable pipe takes this much at once
constexpr double linesPerSecond = 1'000;
constexpr double burstLines = 2'000;

/// Token bucket of the log rate.
struct LineBudget
{
    std::mutex m_mutex;
    double m_lines = burstLines; // that could be written at m_updatedAt
    std::chrono::steady_clock::time_point m_updatedAt = std::chrono::steady_clock::now();
};

LineBudget &lineBudget()
{
    static LineBudget budget;
    return budget;
}

std::atomic<std::uint64_t> droppedLines = 0; // since the last line that was written

bool takeLine()
{
    LineBudget &budget = lineBudget();
    const std::lock_guard lock(budget.m_mutex);
    const auto time = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(time - budget.m_updatedAt).count();
    budget.m_lines = std::min(burstLines, budget.m_lines + seconds * linesPerSecond);
    budget.m_updatedAt = time;
    if (budget.m_lines < 1)
        return false;
    budget.m_lines -= 1;
    return true;
}

/// True if standard output takes a line without waiting for its reader.
bool outputTakesLine()
{
    pollfd output = {STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

/// False if the line would block or exceed the rate: it is dropped and counted.
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
    for (const char character : value) {
        if (character == '"' || character == '\\')
            line += '\\';
        line += character == '\n' ? ' ' : character;
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
    if (line.size() > maxLineSize)
        line.resize(maxLineSize);
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
