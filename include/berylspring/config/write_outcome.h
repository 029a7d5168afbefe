#pragma once

#include "berylspring/core/types.h"

#include <cstdint>
#include <optional>

namespace berylspring::config {

/** @brief Where an accepted change is stored. */
enum class WriteState {
    Recorded, ///< In the log; it was read back and is in force.
    Announced, ///< A key withdrawal that peers store; it is recorded once the log is available.
};

/** @brief An accepted change. */
struct WriteOutcome
{
    WriteState state = WriteState::Recorded;
    std::optional<core::Offset> change; ///< Offset of the record; no value while the change is only announced.
    std::uint32_t peers = 0; ///< Peers that have acknowledged a withdrawal so far.
    [[nodiscard]] bool operator==(const WriteOutcome &) const = default;
};

}
