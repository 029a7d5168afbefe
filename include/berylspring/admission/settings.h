#pragma once

#include "berylspring/core/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace berylspring::admission {

/** @brief Algorithm that adapts a concurrency limit. docs/modules/admission.md compares them. */
enum class LimitRule {
    Elasticity, ///< Reduces the limit and keeps the reduction only if the latency falls with it.
    Gradient, ///< Scales the limit by baseline latency / observed latency.
    Aimd, ///< Additive increase, multiplicative decrease when latency is high.
    Fixed, ///< Always the announced slots.
};

/** @brief Settings of the admission at one endpoint. */
struct AdmissionSettings
{
    /** If false, each request is forwarded at once, without limit, queue, deadline check or quarantine. */
    bool areControlsOn = true;
    LimitRule limitRule = LimitRule::Elasticity;
    /** Longest queue time of a new request. The length of the queue is computed from it too. */
    core::Duration targetWait = std::chrono::milliseconds(100);
    /** Queue time that counts as a pressure of 1, in mean service times. Queue times add up along a call chain. */
    double pressureWait = 0.5;
    /** Lower bound of the queue time that counts as a pressure of 1; shorter ones occur without overload too. */
    core::Duration minPressureWait = std::chrono::milliseconds(10);
    /** Upper bound of the queue length, which applies when service times are short or unknown. */
    std::size_t maxQueueLength = 1000;
    core::Duration quarantineDuration = std::chrono::minutes(10);
    /** Time for which a request that ran during a crash must run alone. */
    core::Duration suspicionDuration = std::chrono::minutes(1);
    /** Time after the begin of a drain in which waiting requests still start; later ones may be cut by its end. */
    core::Duration drainStartWindow = std::chrono::seconds(1);
    /** Shortest time after which a refused caller should retry; the actual value is up to twice as long. */
    core::Duration retryAfter = std::chrono::seconds(1);

    [[nodiscard]] bool operator==(const AdmissionSettings &) const = default;
};

}
