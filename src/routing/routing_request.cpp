#include "berylspring/routing/routing_request.h"

namespace berylspring::routing {

std::string_view toString(ExclusionReason reason) noexcept
{
    switch (reason) {
    case ExclusionReason::OtherService:
        return "other-service";
    case ExclusionReason::Excluded:
        return "excluded";
    case ExclusionReason::Evacuated:
        return "evacuated";
    case ExclusionReason::NotAlive:
        return "not-alive";
    case ExclusionReason::Draining:
        return "draining";
    case ExclusionReason::NoSlots:
        return "no-slots";
    case ExclusionReason::LevelNotAdmitted:
        return "level-not-admitted";
    case ExclusionReason::Ejected:
        return "ejected";
    }
    return "unknown";
}

}
