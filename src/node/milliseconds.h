#pragma once

#include "berylspring/core/time.h"

#include <chrono>

namespace berylspring::node::detail {

/** @return The duration as the value of a log field. */
[[nodiscard]] inline double milliseconds(core::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

}
