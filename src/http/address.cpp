#include "http/address.h"

#include "berylspring/core/ip_address.h"

#include <charconv>
#include <string>

namespace berylspring::http::detail {

Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text)
{
    const auto invalid = [&] {
        return tl::unexpected(
            Error(ErrorCode::InvalidAddress, false, "not an IP number with a port: " + std::string(text)));
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid();
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    const auto address = core::parseHostAddress(host);
    if (!address || parsed.ec != std::errc{} || parsed.ptr != portText.data() + portText.size() || port == 0) {
        return invalid();
    }
    return boost::asio::ip::tcp::endpoint(*address, port);
}

}
