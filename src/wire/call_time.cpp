#include "berylspring/wire/call_time.h"

#include <algorithm>
#include <utility>

namespace berylspring::wire {

CallRequest withTimes(const CallRequest &call, core::Duration remaining, core::Duration elapsed)
{
    CallRequestFields fields = *call;
    fields.remaining = remaining;
    const bool isRootKnown = fields.rootRemaining > core::Duration::zero();
    fields.rootRemaining =
        isRootKnown ? std::max(core::Duration(1), fields.rootRemaining - elapsed) : core::Duration::zero();
    return CallRequest(std::move(fields));
}

}
