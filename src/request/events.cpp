// Splits the stream of server-sent events that an engine sends into complete events.
#include "apricot.h"

#include <charconv>

namespace apricot {

namespace {

constexpr std::string_view blankLine = "\n\n";

/// The rest of the first line that begins with `name`; empty if there is none.
std::string_view fieldIn(std::string_view event, std::string_view name)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        const std::string_view line = event.substr(at, end - at);
        if (line.starts_with(name))
            return line.substr(name.size());
        at = end + 1;
    }
    return {};
}

StreamEvent readEvent(std::string_view text)
{
    StreamEvent event;
    event.m_text = std::string(text);
    event.m_kind = std::string(fieldIn(text, "event: "));
    const std::string_view id = fieldIn(text, "id: ");
    const std::size_t slash = id.rfind('/');
    if (slash == std::string_view::npos)
        return event;
    event.m_request = std::string(id.substr(0, slash));
    const std::string_view digits = id.substr(slash + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), event.m_index);
    return event;
}

} // namespace

std::vector<StreamEvent> splitEvents(EventSplitter &splitter, std::string_view bytes)
{
    splitter.m_partialEvent += bytes;
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = splitter.m_partialEvent.find(blankLine, begin);
        if (end == std::string::npos)
            break;
        const std::size_t next = end + blankLine.size();
        events.push_back(
            readEvent(std::string_view(splitter.m_partialEvent).substr(begin, next - begin)));
        begin = next;
    }
    splitter.m_partialEvent.erase(0, begin);
    return events;
}

} // namespace apricot
