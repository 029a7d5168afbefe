#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace berylspring::routing {

/** @brief Identifies requests that are expected to need similar amounts of work. */
enum class CostClass : std::uint64_t {
    None = 0, ///< Not known; the estimate of the whole service applies.
};

/** @return The class of the requests with this route and method. */
[[nodiscard]] CostClass costClassOf(const core::RouteId &route, std::string_view method) noexcept;

/**
 * @return Whether the time of a response with this status shows what its request costs. Errors, also 502 to 504 and
 * 429, are often fast.
 */
[[nodiscard]] bool showsCost(std::uint16_t status) noexcept;

/** @brief Mean and spread of the service times of one class, with exponential decay. */
class CostEstimate
{
public:
    CostEstimate() = default;
    /** @param weight Number of samples that the mean counts for. */
    CostEstimate(double mean, double spread, double weight) noexcept;

    [[nodiscard]] CostEstimate withSample(double seconds, core::TimePoint now) const noexcept;

    /** @return Expected service time in seconds. */
    [[nodiscard]] double mean() const noexcept
    {
        return m_mean;
    }
    /** @return Standard deviation in seconds. */
    [[nodiscard]] double spread() const noexcept;
    /** @return Time of the last sample. */
    [[nodiscard]] core::TimePoint usedAt() const noexcept
    {
        return m_usedAt;
    }

    [[nodiscard]] bool operator==(const CostEstimate &) const = default;

private:
    double m_mean = 0;
    double m_variance = 0;
    double m_weight = 0; ///< Decayed number of samples.
    core::TimePoint m_usedAt;
};

/** @brief Learned costs of the requests of one service by class, in bounded memory. Not thread-safe. */
class CostTable
{
public:
    /** Limits the memory, since callers choose methods. */
    static constexpr std::size_t MaxClasses = 256;

    /** @brief Adds a service time. Beyond MaxClasses, the class without a sample for the longest time is evicted. */
    void record(CostClass costClass, double seconds, core::TimePoint now);
    /** @return The estimate of the class, or that of the whole service for a class without samples. */
    [[nodiscard]] const CostEstimate &estimate(CostClass costClass) const;
    /** @return The estimate of the whole service. */
    [[nodiscard]] const CostEstimate &overall() const noexcept
    {
        return m_overall;
    }
    /** @return Number of classes with samples. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_classes.size();
    }

private:
    void evictOldest();

    static constexpr double FirstCost = 0.01; ///< Seconds. As all requests cost the same at first, any value would do.
    CostEstimate m_overall{FirstCost, FirstCost, 0};
    std::unordered_map<CostClass, CostEstimate> m_classes;
};

}
