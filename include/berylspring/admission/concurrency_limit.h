#pragma once

#include "berylspring/admission/settings.h"
#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace berylspring::admission {

/** @brief One finished request, as the concurrency limit sees it. */
struct LimitSample
{
    core::Duration latency{}; ///< From start to end on the endpoint.
    std::uint32_t inFlight = 0; ///< Running when it finished, itself included.
    bool isOverloadError = false; ///< The endpoint itself refused for overload.
    [[nodiscard]] bool operator==(const LimitSample &) const = default;
};

/**
 * @brief Number of requests that may run on an endpoint at once, learned from latency and errors.
 *
 * Samples are collected in windows. At the end of each window the rule computes the next limit, between 1 and the
 * announced slots.
 */
class ConcurrencyLimit
{
public:
    ConcurrencyLimit(LimitRule rule, std::uint32_t slots, core::TimePoint now);

    /** @return Requests that may run now; 0 without slots. */
    [[nodiscard]] std::uint32_t limit() const noexcept;
    [[nodiscard]] std::uint32_t slots() const noexcept
    {
        return m_slots;
    }
    /** @return The limit after one more finished request. */
    [[nodiscard]] ConcurrencyLimit withSample(const LimitSample &sample, core::TimePoint now) const;
    /** @return The limit with other announced slots; learning starts again only if there were none. */
    [[nodiscard]] ConcurrencyLimit withSlots(std::uint32_t slots, core::TimePoint now) const;

    [[nodiscard]] bool operator==(const ConcurrencyLimit &) const = default;

private:
    /** Sums over the requests that finished in one window. */
    struct Window
    {
        core::TimePoint openedAt;
        core::TimePoint countsFrom; ///< Earlier samples still show the previous limit.
        std::uint32_t startedInside = 0;
        std::uint32_t samples = 0;
        std::uint32_t errors = 0;
        double inFlightSum = 0;
        double latencySum = 0; ///< Of the samples that are no errors, seconds.
        [[nodiscard]] bool operator==(const Window &) const = default;
        [[nodiscard]] double meanLatency() const noexcept;
    };
    /** A cut that is kept only if latency falls with it. */
    struct Trial
    {
        double limitBefore = 0;
        double latencyBefore = 0; ///< Seconds.
        [[nodiscard]] bool operator==(const Trial &) const = default;
    };

    [[nodiscard]] bool isSettling(const LimitSample &sample, core::TimePoint now) noexcept;
    [[nodiscard]] bool isWindowComplete(core::TimePoint now) const noexcept;
    [[nodiscard]] bool hasErrors() const noexcept;
    [[nodiscard]] bool isSaturated() const noexcept;
    void applyRule(core::TimePoint now);
    void cutAfterErrors();
    void applyElasticity(core::TimePoint now);
    void judgeTrial(core::TimePoint now);
    void beginTrial(core::TimePoint now);
    void applyGradient();
    void applyAimd();
    void grow();
    void setLimit(double limit) noexcept;
    void openWindow(core::TimePoint now, core::Duration settling);

    LimitRule m_rule;
    std::uint32_t m_slots;
    double m_limit;
    std::optional<double> m_baseline; ///< Mean latency of an endpoint that is not saturated, seconds.
    std::optional<double> m_knee; ///< Limit at which the endpoint was last found overloaded.
    std::optional<Trial> m_trial;
    core::TimePoint m_lastTrial;
    bool m_isSuspicious = false; ///< The last window was slow.
    Window m_window;
};

}
