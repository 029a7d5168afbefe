#pragma once

#include <compare>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace berylspring::wire {

enum class ErrorCode {
    Unreachable, ///< No connection can be opened, or the peer is unknown.
    Timeout, ///< No answer before the deadline.
    ConnectionLost, ///< The connection was closed or timed out before the answer arrived.
    Malformed, ///< The input does not decode to a valid message.
    TooLarge, ///< A frame or datagram exceeds its size limit.
    NotAuthenticated, ///< The peer failed authentication with the fleet secret, or uses another protocol version.
    Cancelled, ///< The awaiting coroutine was cancelled.
};

/** @brief Error of the peer protocol. */
class Error
{
public:
    /**
     * @param code Kind of the failure.
     * @param maybeSent Whether any byte of the message may have reached the peer.
     * @param detail Description for logs.
     */
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
