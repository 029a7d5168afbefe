#pragma once

#include <compare>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace berylspring::node {

enum class ErrorCode {
    InvalidSettings,
    StartFailed, ///< A port could not be bound or a file could not be read.
};

/** @brief Why a node cannot start. */
class Error
{
public:
    Error(ErrorCode code, std::string detail)
        : m_code(code)
        , m_detail(std::move(detail))
    {
    }

    [[nodiscard]] ErrorCode code() const noexcept
    {
        return m_code;
    }
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
