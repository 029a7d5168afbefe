#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/types.h"

#include <cstddef>
#include <cstdint>

namespace berylspring::admission {

/** @brief Counts since the start of the process. */
struct AdmissionCounters
{
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t overloaded = 0; ///< Refused or evicted because the queue was full, or waited too long.
    std::uint64_t tooLate = 0; ///< Dropped before the start, as they could not finish before their deadlines.
    std::uint64_t quarantined = 0;
    std::uint64_t keyWithdrawn = 0; ///< Key withdrawn while waiting.
    std::uint64_t cancelled = 0; ///< Cancelled before the start.
    std::uint64_t connectionsLost = 0;
    std::uint64_t coldStarted = 0; ///< Started while the endpoint was cold.
    std::uint64_t coldRefused = 0; ///< Refused because a cold endpoint could not start them in time.
    std::uint64_t evacuated = 0; ///< Refused because the data centre of the endpoint is evacuated.
    std::uint64_t displaced = 0; ///< Waiting requests among `overloaded` whose place another one has taken.
    [[nodiscard]] bool operator==(const AdmissionCounters &) const = default;
};

/** @brief Admission state of one endpoint, for load reports and metrics. */
struct AdmissionStateFields
{
    std::uint32_t running = 0;
    std::size_t queued = 0;
    std::uint32_t limit = 0;
    std::uint32_t slots = 0;
    core::PriorityLevel admittedLevel = 0;
    bool isDraining = false;
    bool isEvacuated = false; ///< The data centre of the endpoint is evacuated.
    AdmissionCounters counters;
    [[nodiscard]] bool operator==(const AdmissionStateFields &) const = default;
};
using AdmissionState = core::Immutable<AdmissionStateFields>;

}
