// The text form of a ticket, "HOST~ISSUER~NUMBER", and the state machine that lets a request that
// must not be repeated run at most once.
#include "apricot.h"

#include <charconv>

namespace apricot {

std::string toText(const Ticket &ticket)
{
    return ticket.m_host.m_text + "~" + toHex(ticket.m_issuer.m_value) + "~"
        + std::to_string(ticket.m_number);
}

std::optional<Ticket> parseTicket(std::string_view text)
{
    const auto last = text.rfind('~');
    const auto first = text.find('~');
    if (first == std::string_view::npos || last <= first + 1 || first == 0)
        return {};
    Ticket ticket;
    ticket.m_host.m_text = text.substr(0, first);
    const auto issuer = parseHex(text.substr(first + 1, last - first - 1));
    const std::string_view digits = text.substr(last + 1);
    const auto parsed
        = std::from_chars(digits.data(), digits.data() + digits.size(), ticket.m_number);
    const bool allDigitsParsed
        = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    if (!issuer || !allDigitsParsed || ticket.m_number == 0)
        return {};
    ticket.m_issuer.m_value = *issuer;
    return ticket;
}

TicketUse useTicket(TicketShard &shard, std::uint64_t number, std::uint64_t request, Millis time)
{
    const auto found = shard.m_entries.find(number);
    if (found == shard.m_entries.end() || found->second.m_expires < time)
        return TicketUse::Unknown;
    TicketEntry &entry = found->second;
    if (entry.m_state == TicketState::Issued) {
        entry.m_state = TicketState::Running;
        entry.m_request = request;
        return TicketUse::Run;
    }
    if (entry.m_request != request)
        return TicketUse::OtherRequest;
    return entry.m_state == TicketState::Running ? TicketUse::Wait : TicketUse::Replay;
}

} // namespace apricot
