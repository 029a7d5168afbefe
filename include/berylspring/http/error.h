#pragma once

#include <compare>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace berylspring::http {

enum class ErrorCode {
    Unreachable, ///< No connection could be opened.
    Timeout, ///< No complete response in time.
    ConnectionLost, ///< The connection was closed before the response was complete.
    Malformed, ///< The response is not valid HTTP, or belongs to another request.
    TooLarge, ///< The response exceeds the size limit.
    InvalidAddress, ///< An address is not an IP number with a port, or cannot be bound.
};

/** @brief Failure of an HTTP exchange. */
class Error
{
public:
    /** @param maybeSent Whether the peer may have received any byte of the request. */
    Error(ErrorCode code, bool maybeSent, std::string detail = {})
        : m_code(code)
        , m_maybeSent(maybeSent)
        , m_detail(std::move(detail))
    {
    }

    [[nodiscard]] ErrorCode code() const noexcept
    {
        return m_code;
    }
    [[nodiscard]] bool maybeSent() const noexcept
    {
        return m_maybeSent;
    }
    [[nodiscard]] const std::string &detail() const noexcept
    {
        return m_detail;
    }

    [[nodiscard]] bool operator==(const Error &) const = default;

private:
    ErrorCode m_code;
    bool m_maybeSent;
    std::string m_detail;
};

template<typename Value>
using Result = tl::expected<Value, Error>;

}
