#pragma once

#include <compare>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace berylspring::wire {

enum class ErrorCode {
    Unreachable, ///< No connection, or the peer is not known.
    Timeout, ///< No answer in time.
    ConnectionLost, ///< The connection ended or went silent before the answer.
    Malformed, ///< The input is not a valid message.
    TooLarge, ///< A frame or datagram is over its size limit.
    NotAuthenticated, ///< The peer did not prove the fleet secret.
    Cancelled, ///< The waiting coroutine was cancelled.
};

/** @brief Failure of the inner protocol. */
class Error
{
public:
    /**
     * @param code What failed.
     * @param maybeSent Whether the peer may have received any byte of the message.
     * @param detail Text for logs.
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
