#include "berylspring/admission/return_schedule.h"

#include "admission/service_returns.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace berylspring::admission {

namespace {

/** Random part of a time without a promise, as a share of it. */
constexpr double JitterShare = 0.25;
constexpr std::uint64_t RandomSteps = 1ULL << 32U;

}

ReturnSchedule::ReturnSchedule(core::RandomSource random)
    : m_random(std::move(random))
{
}

ReturnSchedule::~ReturnSchedule() = default;

template<typename Action>
auto ReturnSchedule::withService(const core::ServiceId &service, Action &&action)
{
    return m_services.update(service, [&](std::optional<std::shared_ptr<ServiceReturns>> &returns) {
        if (!returns) {
            returns = std::make_shared<ServiceReturns>();
        }
        return action(**returns);
    });
}

core::Duration ReturnSchedule::longestWait(core::Duration remaining) noexcept
{
    return std::clamp((remaining - TransitTime) / WaitDivisor, core::Duration::zero(), Horizon);
}

double ReturnSchedule::randomShare()
{
    return static_cast<double>(m_random() % RandomSteps) / static_cast<double>(RandomSteps);
}

void ReturnSchedule::recordAdmitted(const core::ServiceId &service, core::TimePoint now)
{
    withService(service, [&](ServiceReturns &returns) { returns.recordAdmitted(now); });
}

void ReturnSchedule::recordArrival(const core::ServiceId &service,
                                   const core::WorkspaceId &workspace,
                                   core::TimePoint now)
{
    withService(service, [&](ServiceReturns &returns) { returns.recordArrival(workspace, now); });
}

bool ReturnSchedule::hasPromises(const core::ServiceId &service, core::TimePoint now)
{
    return withService(service, [&](ServiceReturns &returns) { return returns.hasPromises(now); });
}

bool ReturnSchedule::takePromise(const ReturningRequest &request, core::TimePoint now)
{
    return withService(request.service,
                       [&](ServiceReturns &returns) { return returns.takePromise(request.digest, now); });
}

ReturnTime ReturnSchedule::promise(const ReturningRequest &request, core::Duration remaining, core::TimePoint now)
{
    // Drawn before the lock of the shard is taken, since the source is a hook.
    const double position = randomShare();
    const core::TimePoint latest = now + longestWait(remaining);
    const auto at = withService(
        request.service, [&](ServiceReturns &returns) { return returns.promise(request, latest, position, now); });
    return at ? ReturnTime{.wait = *at - now, .isPromised = true} : withoutPromise(remaining);
}

ReturnTime ReturnSchedule::withoutPromise(core::Duration remaining)
{
    const auto wait =
        std::chrono::duration_cast<core::Duration>(longestWait(remaining) * (1 - JitterShare * randomShare()));
    return {.wait = std::max(wait, MinWait)};
}

double ReturnSchedule::admittedPerSecond(const core::ServiceId &service, core::TimePoint now)
{
    return withService(service, [&](const ServiceReturns &returns) { return returns.admittedPerSecond(now); });
}

ReturnTotals ReturnSchedule::totals() const
{
    ReturnTotals sum;
    m_services.forEach([&](const core::ServiceId &, const std::shared_ptr<ServiceReturns> &returns) {
        const ReturnTotals totals = returns->totals();
        sum.promised += totals.promised;
        sum.late += totals.late;
    });
    return sum;
}

}
