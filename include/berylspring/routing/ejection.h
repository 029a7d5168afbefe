#pragma once

#include "berylspring/core/time.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace berylspring::routing {

/** @brief Outlier detection for one endpoint: excludes it for a time after too many failures. */
class Ejection
{
public:
    static constexpr std::uint32_t MaxConsecutiveFailures = 5;
    static constexpr std::uint32_t HistoryLength = 20;
    static constexpr core::Duration FirstDuration = std::chrono::seconds(1);
    static constexpr core::Duration MaxDuration = std::chrono::seconds(30);

    /** @return The state after one more result. Results that arrive during an ejection are ignored. */
    [[nodiscard]] Ejection withResult(bool isOk, core::TimePoint now) const noexcept;
    [[nodiscard]] bool isEjected(core::TimePoint now) const noexcept
    {
        return now < m_until;
    }
    /** @return End of the last ejection; the epoch when there was none. */
    [[nodiscard]] core::TimePoint until() const noexcept
    {
        return m_until;
    }

    [[nodiscard]] bool operator==(const Ejection &) const = default;

private:
    void eject(core::TimePoint now) noexcept;

    std::uint32_t m_history = 0; ///< One bit per result, 1 for a failure, the newest in bit 0.
    std::uint32_t m_count = 0; ///< Results in the history.
    std::uint32_t m_consecutiveFailures = 0;
    core::Duration m_next = FirstDuration;
    core::TimePoint m_until;
};

}
