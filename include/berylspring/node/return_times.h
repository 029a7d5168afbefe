#pragma once

namespace berylspring::node {

/** @brief Whether refused root requests get times to return at which there is room (setting admission.return_times). */
enum class ReturnTimes {
    Auto, ///< While responses show that an endpoint of the fleet reports its pace.
    On,
    Off, ///< Constant times with jitter.
};

}
