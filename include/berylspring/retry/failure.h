#pragma once

#include "berylspring/core/refusal.h"

#include <utility>

namespace berylspring::retry {

/** @brief Where in the call chain a failure occurred. */
enum class FailureOrigin {
    NextHop, ///< At the node or endpoint that this node called, or on the connection to it.
    Deeper, ///< Further down the chain; the hop next to the failure has already decided about a retry.
};

/** @brief A failed attempt, as observed by its sender. */
class Failure
{
public:
    Failure(core::Refusal refusal, FailureOrigin origin)
        : m_refusal(std::move(refusal))
        , m_origin(origin)
    {
    }

    [[nodiscard]] const core::Refusal &refusal() const noexcept
    {
        return m_refusal;
    }
    [[nodiscard]] FailureOrigin origin() const noexcept
    {
        return m_origin;
    }

    [[nodiscard]] bool operator==(const Failure &) const = default;

private:
    core::Refusal m_refusal;
    FailureOrigin m_origin;
};

/**
 * @brief Whether another attempt is safe and may succeed; allowance and budget are not considered.
 * @param failure The failed attempt.
 * @param isIdempotent Whether the request may run twice.
 * @return True for a failure of the next hop that is either a not-run refusal with a reason that may not apply to
 * another endpoint, or the lost connection of an idempotent request. False for `overloaded`: a retry would add to the
 * load.
 */
[[nodiscard]] bool isRetryable(const Failure &failure, bool isIdempotent) noexcept;

}
