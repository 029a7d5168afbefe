#pragma once

#include "berylspring/core/time.h"
#include "integration/harness/load_report.h"

#include <optional>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief The calls of one kind of a tenant, which are scored together. */
struct ScoredClass
{
    std::string tenant;
    std::string kind;
    double worth = 1;
    double weight = 1; ///< Weight of the tenant.
    double limitPerSecond = 0; ///< Declared rate of the tenant.
    LoadReport report;
    [[nodiscard]] bool operator==(const ScoredClass &) const = default;
};

/** @brief A period of a load; times count from the start of the load. */
struct Period
{
    core::Duration begin{};
    core::Duration end{};
    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(end - begin).count();
    }
    [[nodiscard]] bool operator==(const Period &) const = default;
};

/** @return Complete answers per second that arrived in a period. */
[[nodiscard]] double goodput(const std::vector<ScoredClass> &classes, Period period);

/**
 * @return Time from the given moment to the start of the first second in which every half second has at least the
 * goodput, or nothing if there is none before the end.
 */
[[nodiscard]] std::optional<core::Duration>
recoveryTime(const std::vector<ScoredClass> &classes, core::Duration from, core::Duration end, double goodputPerSecond);

/**
 * @return The lowest ratio over all tenants of the complete answers to calls due in the period to the fair share of
 * the tenant: its max-min fair share by weight of all these answers.
 */
[[nodiscard]] double worstServed(const std::vector<ScoredClass> &classes, Period period);

/** @return Fraction of the calls due in the period, weighted by worth, that were answered completely. */
[[nodiscard]] double worthServed(const std::vector<ScoredClass> &classes, Period period);

/** @brief Refusals of tenants that, including resends, sent no more than their declared rate in the period. */
struct RefusalsWithinRate
{
    double byLimiter = 0; ///< Fraction of their calls that the limiter refused.
    double forAnyReason = 0; ///< Fraction of their calls that was refused as not-run for any reason.
    [[nodiscard]] bool operator==(const RefusalsWithinRate &) const = default;
};
[[nodiscard]] RefusalsWithinRate refusalsWithinRate(const std::vector<ScoredClass> &classes, Period period);

/** @brief Demand of one tenant in fairShares(). */
struct Demand
{
    double asked = 0;
    double weight = 1;
    [[nodiscard]] bool operator==(const Demand &) const = default;
};
/** @return The max-min fair division of a total by weight, in which no share exceeds its demand. */
[[nodiscard]] std::vector<double> fairShares(const std::vector<Demand> &demands, double total);

}
