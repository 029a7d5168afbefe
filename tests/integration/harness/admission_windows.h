#pragma once

#include "berylspring/core/time.h"
#include "integration/harness/load_report.h"

#include <vector>

namespace berylspring::test {

/** @brief The window of a load in which a rate was exceeded the most. */
struct WorstWindow
{
    double excess = 0; ///< Answered calls minus rate x length; at most the burst if the limit holds.
    core::Duration begin{}; ///< From the start of the load.
    core::Duration end{};
    [[nodiscard]] bool operator==(const WorstWindow &) const = default;
};

/**
 * @brief Finds the window of a load with the largest excess of answered calls over rate x length.
 *
 * The moment of admission lies between the due time of a call and its answer, so a call counts in a window only when
 * both lie in it. Each counted call was therefore admitted within the window, whatever delay the measurement adds, and
 * the burst needs no tolerance.
 *
 * @param reports All classes of one load that use the workspace, each call sent at most once.
 * @param rate In calls per second.
 */
[[nodiscard]] WorstWindow worstWindow(const std::vector<LoadReport> &reports, double rate);

}
