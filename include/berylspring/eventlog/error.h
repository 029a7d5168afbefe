#pragma once

#include "berylspring/core/types.h"

#include <compare>
#include <optional>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace berylspring::eventlog {

enum class ErrorCode {
    Unreachable, ///< No connection could be opened, or it was lost.
    Refused, ///< The log responded with an error status.
    Expired, ///< The requested records are no longer retained (status 410).
    Timeout, ///< No response in time.
    Malformed, ///< The response violates the protocol.
};

/** @brief Failure of a call to the platform log. */
class Error
{
public:
    /**
     * @param code Kind of failure.
     * @param maybeApplied Whether an append may have taken effect; false for reads.
     * @param detail Text for logs.
     */
    Error(ErrorCode code, bool maybeApplied, std::string detail = {})
        : m_code(code)
        , m_maybeApplied(maybeApplied)
        , m_detail(std::move(detail))
    {
    }

    /** @param first First retained offset. */
    [[nodiscard]] static Error expired(core::Offset first)
    {
        Error error(ErrorCode::Expired, false, "records before offset " + std::to_string(first) + " have expired");
        error.m_first = first;
        return error;
    }

    [[nodiscard]] ErrorCode code() const noexcept
    {
        return m_code;
    }
    [[nodiscard]] bool maybeApplied() const noexcept
    {
        return m_maybeApplied;
    }
    [[nodiscard]] const std::string &detail() const noexcept
    {
        return m_detail;
    }
    /** @return First retained offset; present only with code Expired. */
    [[nodiscard]] std::optional<core::Offset> first() const noexcept
    {
        return m_first;
    }

    [[nodiscard]] bool operator==(const Error &) const = default;

private:
    ErrorCode m_code;
    bool m_maybeApplied;
    std::string m_detail;
    std::optional<core::Offset> m_first;
};

template<typename Value>
using Result = tl::expected<Value, Error>;

}
