#include "berylspring/core/ip_address.h"

#include <string>

namespace berylspring::core {

std::optional<boost::asio::ip::address> parseHostAddress(std::string_view text)
{
    // make_address() reads the text only up to a NUL byte.
    if (text.find('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(text), error);
    if (error || address.is_unspecified() || address.is_multicast()
        || address == boost::asio::ip::address_v4::broadcast()) {
        return std::nullopt;
    }
    return address;
}

}
