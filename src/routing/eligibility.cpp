#include "berylspring/routing/eligibility.h"

#include <algorithm>
#include <optional>

namespace berylspring::routing {

namespace {

bool isEjected(const Candidate &candidate, core::TimePoint now) noexcept
{
    return candidate.traffic != nullptr && candidate.traffic->ejection().isEjected(now);
}

/** @return The first exclusion reason that does not depend on other endpoints. */
std::optional<ExclusionReason> exclusionReason(const RoutingRequest &request, const EndpointView &view)
{
    const auto &excluded = request.excludedHosts;
    if (view->service != request.service) {
        return ExclusionReason::OtherService;
    }
    if (std::find(excluded.begin(), excluded.end(), view->host) != excluded.end()) {
        return ExclusionReason::Excluded;
    }
    if (isEvacuated(request, view)) {
        return ExclusionReason::Evacuated;
    }
    if (!view->isAlive) {
        return ExclusionReason::NotAlive;
    }
    if (view->isDraining) {
        return ExclusionReason::Draining;
    }
    if (view->slots == 0) {
        return ExclusionReason::NoSlots;
    }
    if (request.priority < view->admittedLevel) {
        return ExclusionReason::LevelNotAdmitted;
    }
    return std::nullopt;
}

void excludeEjected(EligibilityResult &result, core::TimePoint now)
{
    auto &eligible = result.eligible;
    const auto firstEjected = std::stable_partition(
        eligible.begin(), eligible.end(), [&](const Candidate &candidate) { return !isEjected(candidate, now); });
    const auto maxExcluded = static_cast<std::ptrdiff_t>(eligible.size() / 2);
    const auto ejected = eligible.end() - firstEjected;
    if (ejected > maxExcluded) {
        std::sort(firstEjected, eligible.end(), [](const Candidate &left, const Candidate &right) {
            return left.traffic->ejection().until() < right.traffic->ejection().until();
        });
    }
    const auto firstExcluded = eligible.end() - std::min(ejected, maxExcluded);
    for (auto it = firstExcluded; it != eligible.end(); ++it) {
        result.exclusions.push_back(Exclusion{(*it->view)->host, ExclusionReason::Ejected});
    }
    eligible.erase(firstExcluded, eligible.end());
}

}

bool isEvacuated(const RoutingRequest &request, const EndpointView &view)
{
    const auto &evacuated = request.evacuatedDataCentres;
    return std::find(evacuated.begin(), evacuated.end(), view->dataCentre) != evacuated.end();
}

EligibilityResult
checkEligibility(const RoutingRequest &request, std::span<const Candidate> candidates, core::TimePoint now)
{
    EligibilityResult result;
    result.eligible.reserve(candidates.size());
    bool hasEjected = false;
    for (const Candidate &candidate : candidates) {
        const auto reason = exclusionReason(request, *candidate.view);
        if (!reason) {
            result.eligible.push_back(candidate);
            hasEjected = hasEjected || isEjected(candidate, now);
        } else if (*reason != ExclusionReason::OtherService) {
            result.exclusions.push_back(Exclusion{(*candidate.view)->host, *reason});
        }
    }
    if (hasEjected) {
        excludeEjected(result, now);
    }
    return result;
}

}
