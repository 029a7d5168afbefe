#pragma once

#include "berylspring/core/types.h"

#include <compare>
#include <optional>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace berylspring::eventlog {

enum class ErrorCode {
    Unreachable, ///< No connection, or it was lost.
    Refused, ///< The log answered with an error status.
    Expired, ///< The records asked for are no longer retained (410).
    Timeout, ///< No answer in time.
    Malformed, ///< The answer does not follow the protocol.
};

/** @brief Failure of a call to the platform log. */
class Error
{
public:
    /**
     * @param code What failed.
     * @param maybeApplied Whether an append may have taken effect; false for reads.
     * @param detail Text for logs.
     */
    Error(ErrorCode code, bool maybeApplied, std::string detail = {})
        : m_code(code)
        , m_maybeApplied(maybeApplied)
        , m_detail(std::move(detail))
    {
    }

    /** @param first First offset that is still retained. */
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
    /** @return First retained offset, with code Expired. */
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
