#pragma once

#include <compare>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace berylspring::membership {

enum class ErrorCode {
    AddressInvalid, ///< The address in the settings is not an IP number.
    BindFailed, ///< The UDP port cannot be opened.
    AlreadyStarted, ///< start() was called before.
};

/** @brief Failure to start the membership. */
class Error
{
public:
    explicit Error(ErrorCode code, std::string detail = {})
        : m_code(code)
        , m_detail(std::move(detail))
    {
    }

    [[nodiscard]] ErrorCode code() const noexcept
    {
        return m_code;
    }
    /** @return Text for logs. */
    [[nodiscard]] const std::string &detail() const noexcept
    {
        return m_detail;
    }

    [[nodiscard]] bool operator==(const Error &) const = default;

private:
    ErrorCode m_code;
    std::string m_detail;
};

template<typename Value>
using Result = tl::expected<Value, Error>;

}
