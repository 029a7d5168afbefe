#pragma once

#include "berylspring/core/time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace berylspring::admission {

/** @return Part that is left of an exponentially decaying quantity; 1 for a negative time. */
[[nodiscard]] inline double decayOver(core::Duration time, double timeConstantSeconds) noexcept
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(time).count()) / timeConstantSeconds);
}

}
