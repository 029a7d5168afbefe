#pragma once

#include "berylspring/core/refusal.h"

#include <utility>

namespace berylspring::retry {

/** @brief Where in the call chain a failure arose. */
enum class FailureOrigin {
    NextHop, ///< At the node or endpoint that this node called, or on the connection to it.
    Deeper, ///< Behind it; the hop next to the failure has already decided about a retry.
};

/** @brief A failed attempt as the sender of the attempt sees it. */
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
 * @brief Whether another attempt is safe and may help, leaving allowance and budget aside.
 * @param failure The failed attempt.
 * @param isIdempotent Whether the request may run twice.
 * @return True for a failure of the next hop that is either a not-run refusal which another endpoint may not give, or
 * the lost connection of an idempotent request. False for `overloaded`: a retry would add to the load.
 */
[[nodiscard]] bool isRetryable(const Failure &failure, bool isIdempotent) noexcept;

}
