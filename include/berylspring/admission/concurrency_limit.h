#pragma once

#include "berylspring/admission/settings.h"
#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace berylspring::admission {

/** @brief Observation of one finished request. */
struct LimitSample
{
    core::Duration latency{}; ///< From start to end on the endpoint.
    std::uint32_t inFlight = 0; ///< Requests running when it finished, including itself.
    bool isOverloadError = false; ///< The endpoint itself refused the request because of overload.
    std::uint32_t nestedInFlight = 0; ///< Calls of the endpoint to other services in flight when it finished.
    [[nodiscard]] bool operator==(const LimitSample &) const = default;
};

/**
 * @brief Adaptive limit on the requests that run on an endpoint at once, derived from latency and errors.
 *
 * Samples are collected in windows. At the end of each window the rule computes the next limit, between 1 and the
 * slots that the endpoint announces.
 *
 * The time that requests spend in calls to other services tells nothing about contention on the endpoint, so Elasticity
 * leaves its changes out. By Little's law, its share of the latency is the share of the running requests that wait for
 * a call.
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
    /** @return The limit updated by one finished request. */
    [[nodiscard]] ConcurrencyLimit withSample(const LimitSample &sample, core::TimePoint now) const;
    /** @return The limit scaled to a new number of announced slots; the state is reset only if either number is 0. */
    [[nodiscard]] ConcurrencyLimit withSlots(std::uint32_t slots, core::TimePoint now) const;

    [[nodiscard]] bool operator==(const ConcurrencyLimit &) const = default;

private:
    /** Sums over the requests that finished in one window. */
    struct Window
    {
        core::TimePoint openedAt;
        core::TimePoint countsFrom; ///< Earlier samples still reflect the previous limit.
        std::uint32_t startedInside = 0;
        std::uint32_t samples = 0;
        std::uint32_t errors = 0;
        double inFlightSum = 0;
        double nestedSum = 0; ///< Of the calls in flight, each sample at most its requests in flight.
        double latencySum = 0; ///< Of the samples without overload errors, seconds.
        [[nodiscard]] bool operator==(const Window &) const = default;
        [[nodiscard]] double meanLatency() const noexcept;
        /** @return Mean time of a request in calls to other services, seconds. */
        [[nodiscard]] double nestedLatency() const noexcept;
    };
    /** A reduction of the limit that is kept only if the latency falls with it. */
    struct Trial
    {
        double limitBefore = 0;
        double latencyBefore = 0; ///< Seconds.
        [[nodiscard]] bool operator==(const Trial &) const = default;
    };

    [[nodiscard]] bool isSettling(const LimitSample &sample, core::TimePoint now) noexcept;
    [[nodiscard]] bool isWindowComplete(core::TimePoint now) const noexcept;
    [[nodiscard]] bool hasErrors() const noexcept;
    /** @return Mean latency as it would be if calls to other services took their usual time, seconds. */
    [[nodiscard]] double comparableLatency() const noexcept;
    void learnNestedLatency() noexcept;
    [[nodiscard]] bool isSaturated() const noexcept;
    void applyRule(core::TimePoint now);
    void cutAfterErrors();
    void applyElasticity(core::TimePoint now);
    void evaluateTrial(core::TimePoint now);
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
    std::optional<double> m_nestedLatency; ///< Usual time of a request in calls to other services, seconds.
    std::optional<double> m_knee; ///< Limit at which the endpoint was last found overloaded.
    std::optional<Trial> m_trial;
    core::TimePoint m_lastTrial;
    bool m_wasLastWindowSlow = false; ///< The last window exceeded the tolerated latency.
    Window m_window;
};

}
