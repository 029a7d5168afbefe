#pragma once

#include "berylspring/core/time.h"
#include "integration/harness/load_report.h"

#include <optional>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief Part of a load that counts as one: a tenant's calls of one kind. */
struct ScoredClass
{
    std::string tenant;
    std::string kind;
    double worth = 1;
    double weight = 1; ///< Of the tenant.
    double limitPerSecond = 0; ///< Declared rate of the tenant.
    LoadReport report;
    [[nodiscard]] bool operator==(const ScoredClass &) const = default;
};

/** @brief A period of a load, from its start. */
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

/** @return Complete answers per second in a period. */
[[nodiscard]] double goodput(const std::vector<ScoredClass> &classes, Period period);

/**
 * @return Time from the given moment to the begin of the first second in which every half second has at least the
 * goodput; nothing if there is none before the end.
 */
[[nodiscard]] std::optional<core::Duration>
recoveryTime(const std::vector<ScoredClass> &classes, core::Duration from, core::Duration end, double goodputPerSecond);

/**
 * @return The lowest share of a tenant: its complete answers of calls due in the period / its fair part of all
 * complete answers by weight, where no tenant's fair part is more than it asked for.
 */
[[nodiscard]] double worstServed(const std::vector<ScoredClass> &classes, Period period);

/** @return Share of the calls due in the period, weighted by worth, that were answered completely. */
[[nodiscard]] double worthServed(const std::vector<ScoredClass> &classes, Period period);

/** @brief Refusals of tenants that, with their resends, sent no more than their declared rate in the period. */
struct WrongRefusals
{
    double ofLimit = 0; ///< Share of their calls that was refused by the limit.
    double ofAll = 0; ///< Share that was refused for any reason, as not run.
    [[nodiscard]] bool operator==(const WrongRefusals &) const = default;
};
[[nodiscard]] WrongRefusals wrongRefusals(const std::vector<ScoredClass> &classes, Period period);

/** @brief One tenant in fairShares(). */
struct Demand
{
    double asked = 0;
    double weight = 1;
    [[nodiscard]] bool operator==(const Demand &) const = default;
};
/** @return What each gets if a total is divided by weight and nobody gets more than it asked for. */
[[nodiscard]] std::vector<double> fairShares(const std::vector<Demand> &demands, double total);

}
