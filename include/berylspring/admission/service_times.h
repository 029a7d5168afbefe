#pragma once

#include "berylspring/core/time.h"

#include <array>
#include <compare>
#include <cstdint>

namespace berylspring::admission {

/**
 * @brief Distribution of recent service times: a histogram with logarithmic buckets over two windows.
 *
 * Old windows are discarded. An estimate from a slow phase must not outlast the phase, because requests that are
 * dropped due to it produce no new samples.
 */
class ServiceTimes
{
public:
    /** @return The distribution with one more service time. */
    [[nodiscard]] ServiceTimes withSample(core::Duration serviceTime, core::TimePoint now) const;
    /** @return Lower bound of the 10% quantile of recent service times; zero while there are too few samples. */
    [[nodiscard]] core::Duration lowQuantile(core::TimePoint now) const noexcept;
    /** @return Mean of the recent service times; zero without samples. */
    [[nodiscard]] core::Duration mean(core::TimePoint now) const noexcept;

    [[nodiscard]] bool operator==(const ServiceTimes &) const = default;

private:
    static constexpr std::size_t BucketCount = 48;

    struct Window
    {
        core::TimePoint openedAt;
        std::array<std::uint16_t, BucketCount> buckets{};
        std::uint32_t samples = 0;
        core::Duration sum{};
        [[nodiscard]] bool operator==(const Window &) const = default;
    };

    [[nodiscard]] bool isRecent(const Window &window, core::TimePoint now) const noexcept;

    Window m_current;
    Window m_previous;
};

}
