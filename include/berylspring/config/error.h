#pragma once

#include <compare>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace berylspring::config {

enum class ErrorCode {
    Invalid, ///< The input is not a valid resource or record (400).
    NotFound, ///< There is no such resource (404).
    Conflict, ///< Another change was accepted first, or the resource is in use (412).
    Unavailable, ///< The log did not accept or confirm the change (503).
};

/** @brief Failure of a configuration operation. */
class Error
{
public:
    Error(ErrorCode code, std::string detail)
        : m_code(code)
        , m_detail(std::move(detail))
    {
    }

    /**
     * @param member Invalid JSON member; empty for the whole document.
     * @param value Its value as JSON text.
     * @param range Description of the allowed values.
     */
    [[nodiscard]] static Error invalid(std::string member, std::string value, std::string range)
    {
        Error error(ErrorCode::Invalid, (member.empty() ? "document" : member) + ": " + value + " is not " + range);
        error.m_member = std::move(member);
        error.m_value = std::move(value);
        error.m_range = std::move(range);
        return error;
    }

    /** @param maybeApplied Whether the change may still take effect. */
    [[nodiscard]] static Error unavailable(std::string detail, bool maybeApplied)
    {
        Error error(ErrorCode::Unavailable, std::move(detail));
        error.m_maybeApplied = maybeApplied;
        return error;
    }

    [[nodiscard]] ErrorCode code() const noexcept
    {
        return m_code;
    }
    /** @return Human-readable description, with member, value and range if they are set. */
    [[nodiscard]] const std::string &detail() const noexcept
    {
        return m_detail;
    }
    [[nodiscard]] const std::string &member() const noexcept
    {
        return m_member;
    }
    [[nodiscard]] const std::string &value() const noexcept
    {
        return m_value;
    }
    [[nodiscard]] const std::string &range() const noexcept
    {
        return m_range;
    }
    [[nodiscard]] bool maybeApplied() const noexcept
    {
        return m_maybeApplied;
    }

    [[nodiscard]] bool operator==(const Error &) const = default;

private:
    ErrorCode m_code;
    std::string m_detail;
    std::string m_member;
    std::string m_value;
    std::string m_range;
    bool m_maybeApplied = false;
};

template<typename Value>
using Result = tl::expected<Value, Error>;

}
