#include "berylspring/wire/call_time.h"

#include <algorithm>
#include <utility>

namespace berylspring::wire {

CallRequest withTimes(CallRequest call, core::Duration remaining, core::Duration elapsed)
{
    return std::move(call).modified([&](CallRequestFields &fields) {
        fields.remaining = remaining;
        const bool isRootKnown = fields.rootRemaining > core::Duration::zero();
        fields.rootRemaining =
            isRootKnown ? std::max(core::Duration(1), fields.rootRemaining - elapsed) : core::Duration::zero();
    });
}

}
