#pragma once

#include "berylspring/core/types.h"

#include <cstdint>
#include <optional>

namespace berylspring::config {

/** @brief Where an accepted change is held. */
enum class WriteState {
    Recorded, ///< In the log, read back and found valid.
    Announced, ///< A key withdrawal that peers hold; it is recorded when the log answers.
};

/** @brief An accepted change. */
struct WriteOutcome
{
    WriteState state = WriteState::Recorded;
    std::optional<core::Offset> change; ///< Offset of the record; nothing while it is only announced.
    std::uint32_t peers = 0; ///< Peers that have acknowledged a withdrawal so far.
    [[nodiscard]] bool operator==(const WriteOutcome &) const = default;
};

}
