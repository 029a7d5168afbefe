#pragma once

#include "integration/harness/caller.h"
#include "integration/harness/load_report.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief A class of calls, sent at fixed times independently of the answers. */
struct LoadClass
{
    std::string name;
    double ratePerSecond = 1;
    core::Duration begin{}; ///< Time of the first call, from the start of the load.
    core::Duration duration = std::chrono::seconds(1);
    std::function<Call(std::uint64_t)> makeCall; ///< Makes call number n; called on any thread of the load.
    std::function<http::Client &(std::uint64_t)> chooseClient; ///< Client for call number n; each resend adds 1 to n.
    std::uint32_t resends = 0; ///< Maximum, while the call is not complete.
    core::Duration resendDelay{};
};

/** @return When call number n of a class is due, from the start of the load. */
[[nodiscard]] core::Duration dueTime(const LoadClass &loadClass, std::uint64_t number);
/** @return Number of calls of a class. */
[[nodiscard]] std::uint64_t callCount(const LoadClass &loadClass);

/**
 * @brief Open-loop load: each call has a due time fixed in advance, and its latency is measured from that time, so a
 * stalled system cannot slow the generator down and hide its own delay (coordinated omission).
 * Blocks until the last call has ended.
 * @return One report per class, in the same order.
 */
[[nodiscard]] std::vector<LoadReport> runLoad(HttpCalls &calls, const std::vector<LoadClass> &classes);

}
