#pragma once

#include "berylspring/core/outcome.h"
#include "berylspring/core/time.h"

#include <compare>
#include <optional>
#include <string>
#include <utility>

namespace berylspring::core {

/** @brief Why a request got no response from an endpoint, and what is known about its execution. */
class Refusal
{
public:
    Refusal(RefusalReason reason, Outcome outcome, std::string detail = {})
        : m_reason(reason)
        , m_outcome(outcome)
        , m_detail(std::move(detail))
    {
    }

    [[nodiscard]] RefusalReason reason() const noexcept
    {
        return m_reason;
    }
    [[nodiscard]] Outcome outcome() const noexcept
    {
        return m_outcome;
    }
    /** @return Human-readable text; never contains a key. */
    [[nodiscard]] const std::string &detail() const noexcept
    {
        return m_detail;
    }
    /** @return How long the caller should wait before a retry; nothing if waiting does not help. */
    [[nodiscard]] std::optional<Duration> retryAfter() const noexcept
    {
        return m_retryAfter;
    }

    [[nodiscard]] Refusal withOutcome(Outcome outcome) const
    {
        Refusal copy = *this;
        copy.m_outcome = outcome;
        return copy;
    }
    [[nodiscard]] Refusal withRetryAfter(Duration wait) const
    {
        Refusal copy = *this;
        copy.m_retryAfter = wait;
        return copy;
    }

    [[nodiscard]] bool operator==(const Refusal &) const = default;

private:
    RefusalReason m_reason;
    Outcome m_outcome;
    std::string m_detail;
    std::optional<Duration> m_retryAfter;
};

}
