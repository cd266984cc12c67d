// Endpoints, hashing, hex numbers and the clock.
#include "apricot.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <ctime>
#include <xxhash.h>

namespace apricot {

std::string toText(const Endpoint &endpoint)
{
    return endpoint.m_ip + ":" + std::to_string(endpoint.m_port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    const std::string ip(text.substr(0, colon));
    boost::system::error_code error;
    boost::asio::ip::make_address(ip, error);
    if (error)
        return {};
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (read.ec != std::errc() || read.ptr != digits.data() + digits.size() || port == 0)
        return {};
    return Endpoint{ip, port};
}

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::string toHex(std::uint64_t value)
{
    constexpr int digitsOf64Bits = 16;
    std::string text(digitsOf64Bits, '0');
    for (int i = digitsOf64Bits - 1; i >= 0; --i) {
        text[static_cast<std::size_t>(i)] = "0123456789abcdef"[value & 0xF];
        value >>= 4;
    }
    return text;
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    constexpr int hexBase = 16;
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
    if (text.empty() || read.ec != std::errc() || read.ptr != text.data() + text.size())
        return {};
    return value;
}

Millis now(const Clock &clock)
{
    if (clock.m_manual)
        return clock.m_now;
    timespec time = {};
    clock_gettime(CLOCK_BOOTTIME, &time); // unlike CLOCK_MONOTONIC it counts time in suspend
    return {std::int64_t{time.tv_sec} * 1'000 + time.tv_nsec / 1'000'000};
}

} // namespace apricot
