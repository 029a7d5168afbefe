#pragma once

#include "berylspring/core/time.h"
#include "berylspring/wire/messages.h"

namespace berylspring::wire {

/**
 * @param remaining Time left to the call itself. It may differ by more than `elapsed`, for example by a margin for the
 * response.
 * @param elapsed Time since the receipt of the call.
 * @return The call with the times of a message that is sent now. A known time of the root stays known: it is at least
 * 1 ns, because 0 means unknown.
 */
[[nodiscard]] CallRequest withTimes(CallRequest call, core::Duration remaining, core::Duration elapsed);

}
