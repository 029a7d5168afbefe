#pragma once

#include "berylspring/admission/return_schedule.h"
#include "berylspring/admission/root_admission.h"
#include "berylspring/core/refusal.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/http/caller_request.h"
#include "berylspring/node/call_plan.h"
#include "berylspring/node/return_times.h"
#include "berylspring/node/workspace_shares_mode.h"
#include "berylspring/wire/messages.h"

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace berylspring::node {

struct RootControlSettings
{
    bool areControlsOn = true; ///< False: no request is shed.
    ReturnTimes returnTimes = ReturnTimes::Auto;
    WorkspaceSharesMode workspaceShares = WorkspaceSharesMode::Off;
    [[nodiscard]] bool operator==(const RootControlSettings &) const = default;
};

/** @brief What the fair shares of workspaces are computed from. Called only while the part is on; both are optional. */
struct RootControlHooks
{
    std::function<double(const core::WorkspaceId &)> weightOf; ///< Default: 1.
    /** Expected work of a request, in a unit that is the same for all requests. Default: 1. Must be positive. */
    std::function<double(const CallPlan &, std::string_view method)> costOf;
};

/** @brief A refusal and whether the caller has a promise for the time to return that it names. */
struct RootRefusal
{
    core::Refusal refusal;
    bool isPromised = false;
    double workspaceShedShare = 0; ///< See admission::RootDecision.
    [[nodiscard]] bool operator==(const RootRefusal &) const = default;
};

/** @brief Numbers of promised returns since the start of the process. */
struct RootReturns
{
    std::uint64_t promised = 0;
    std::uint64_t admitted = 0; ///< Admitted at the promised time.
    std::uint64_t late = 0; ///< See admission::ReturnTotals.
    [[nodiscard]] bool operator==(const RootReturns &) const = default;
};

/**
 * @brief Sheds root requests at the entry and gives refused ones a time to return. Thread-safe; does no I/O.
 *
 * With return times off, refusals name constant times, and no state of returns is kept.
 */
class RootControl
{
public:
    RootControl(RootControlSettings settings, core::RandomSource random, RootControlHooks hooks = {});

    /** @return Nothing if the request may be sent, else its refusal. */
    [[nodiscard]] std::optional<RootRefusal>
    admit(const http::CallerRequest &request, const CallPlan &plan, core::TimePoint now);
    /**
     * @param refusal The refusal that the request got after it was admitted here.
     * @param remaining Time that the caller has left.
     * @return The refusal, with a time to return from the schedule if it is an overload.
     */
    [[nodiscard]] RootRefusal withReturnTime(const core::Refusal &refusal,
                                             const http::CallerRequest &request,
                                             const CallPlan &plan,
                                             core::Duration remaining,
                                             core::TimePoint now);
    void
    recordResult(const CallPlan &plan, const wire::CallResponse &response, core::Duration latency, core::TimePoint now);
    /** @brief Notes whether the response, of any call of this node, shows that endpoints report their pace. */
    void recordPace(const wire::CallResponse &response, core::TimePoint now);

    /** @return Whether endpoints of the fleet report their pace. */
    [[nodiscard]] bool isPaceReported(core::TimePoint now) const
    {
        return now < m_paceHoldsUntil.load();
    }
    /** @return Share of the demand that this node sheds, 0 to 1; the highest over all services. */
    [[nodiscard]] double shedding(core::TimePoint now) const
    {
        return m_rootAdmission.highestShedding(now);
    }
    /** @return Share of the root requests with this plan and without a promise that this node sheds, 0 to 1. */
    [[nodiscard]] double shedShare(const CallPlan &plan, std::string_view method, core::TimePoint now) const;
    /** @return The largest share that this node sheds of any workspace, 0 to 1; 0 while fair shares are off. */
    [[nodiscard]] double workspaceShedding(core::TimePoint now) const
    {
        return hasWorkspaceShares(now) ? m_rootAdmission.highestWorkspaceShedding(now) : 0;
    }
    [[nodiscard]] RootReturns returns() const;

private:
    [[nodiscard]] bool hasReturnTimes(core::TimePoint now) const;
    [[nodiscard]] bool hasWorkspaceShares(core::TimePoint now) const;
    [[nodiscard]] admission::WorkspaceLoad loadOf(const CallPlan &plan, std::string_view method) const;

    RootControlSettings m_settings;
    core::RandomSource m_random;
    RootControlHooks m_hooks;
    admission::RootAdmission m_rootAdmission;
    admission::ReturnSchedule m_schedule;
    std::atomic<core::TimePoint> m_paceHoldsUntil{core::TimePoint::min()};
    std::atomic<std::uint64_t> m_returnsAdmitted{0};
};

}
