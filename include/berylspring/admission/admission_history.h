#pragma once

#include "berylspring/admission/admission_state.h"
#include "berylspring/admission/quarantine.h"
#include "berylspring/admission/settings.h"

#include <atomic>
#include <cstdint>

namespace berylspring::admission {

/** @brief Counts of all endpoints that a host runs in turn. Thread-safe. */
struct AdmissionTotals
{
    std::atomic<std::uint64_t> started{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> overloaded{0};
    std::atomic<std::uint64_t> tooLate{0};
    std::atomic<std::uint64_t> quarantined{0};
    std::atomic<std::uint64_t> keyWithdrawn{0};
    std::atomic<std::uint64_t> cancelled{0};
    std::atomic<std::uint64_t> connectionsLost{0};
    std::atomic<std::uint64_t> coldStarted{0};
    std::atomic<std::uint64_t> coldRefused{0};
    std::atomic<std::uint64_t> evacuated{0};
    std::atomic<std::uint64_t> displaced{0};

    [[nodiscard]] AdmissionCounters counters() const noexcept
    {
        return {.started = started,
                .answered = answered,
                .overloaded = overloaded,
                .tooLate = tooLate,
                .quarantined = quarantined,
                .keyWithdrawn = keyWithdrawn,
                .cancelled = cancelled,
                .connectionsLost = connectionsLost,
                .coldStarted = coldStarted,
                .coldRefused = coldRefused,
                .evacuated = evacuated,
                .displaced = displaced};
    }
};

/** @brief What outlives the endpoints of a host, shared by their admission services. */
struct AdmissionHistory
{
    explicit AdmissionHistory(const AdmissionSettings &settings)
        : quarantine(settings.quarantineDuration, settings.suspicionDuration)
    {
    }

    Quarantine quarantine;
    AdmissionTotals totals;
};

}
