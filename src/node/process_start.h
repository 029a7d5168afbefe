#pragma once

#include "berylspring/core/name.h"

namespace berylspring::node::detail {

/** @brief Start of a process, for what it learns of earlier processes of its host. */
struct ProcessStart
{
    core::HostId host;
    bool isFirstStart = false; ///< The whole fleet starts; there are no earlier processes.
    [[nodiscard]] bool operator==(const ProcessStart &) const = default;
};

}
