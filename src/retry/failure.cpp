#include "berylspring/retry/failure.h"

namespace berylspring::retry {

namespace {

/** Other reasons depend on the request or on the service as a whole, so another endpoint would refuse it too. */
bool mayDifferElsewhere(core::RefusalReason reason) noexcept
{
    switch (reason) {
    case core::RefusalReason::NoEndpoint:
    case core::RefusalReason::Draining:
    case core::RefusalReason::NotReady:
    case core::RefusalReason::ConnectionLost:
        return true;
    default:
        return false;
    }
}

}

bool isRetryable(const Failure &failure, bool isIdempotent) noexcept
{
    if (failure.origin() == FailureOrigin::Deeper) {
        return false;
    }
    const core::Refusal &refusal = failure.refusal();
    if (refusal.outcome() == core::Outcome::NotRun) {
        return mayDifferElsewhere(refusal.reason());
    }
    return isIdempotent && refusal.outcome() == core::Outcome::Unknown
           && refusal.reason() == core::RefusalReason::ConnectionLost;
}

}
