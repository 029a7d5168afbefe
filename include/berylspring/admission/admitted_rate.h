#pragma once

#include "berylspring/core/time.h"

#include <compare>

namespace berylspring::admission {

/** @brief Smoothed number of admitted requests per second. Immutable; each request replaces the value. */
class AdmittedRate
{
public:
    [[nodiscard]] AdmittedRate withRequest(core::TimePoint now) const noexcept;
    [[nodiscard]] double perSecond(core::TimePoint now) const noexcept;

    [[nodiscard]] bool operator==(const AdmittedRate &) const = default;

private:
    double m_requests = 0; ///< Decays exponentially with age.
    core::TimePoint m_startedAt; ///< First request.
    core::TimePoint m_updatedAt;
};

}
