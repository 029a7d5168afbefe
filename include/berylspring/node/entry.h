#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"
#include "berylspring/http/caller_request.h"
#include "berylspring/node/call_plan.h"
#include "berylspring/node/call_time.h"
#include "berylspring/node/in_flight_table.h"
#include "berylspring/node/root_control.h"
#include "berylspring/node/stop_schedule.h"
#include "berylspring/routing/weighted_splitter.h"
#include "berylspring/telemetry/metrics.h"
#include "berylspring/telemetry/span.h"
#include "berylspring/wire/messages.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

namespace berylspring::node {

/** @brief Dependencies of the entry on other parts of the node. */
struct EntryHooks
{
    std::function<std::shared_ptr<const config::Catalogue>()> catalogue; ///< Null while the node is not ready.
    std::function<bool(const core::Digest &)> isKeyWithdrawn;
    std::function<core::Duration()> configurationAge;
    std::function<std::optional<StopSchedule>()> stopSchedule; ///< Has a value during a graceful stop.
    /** Applies the rate limit of a workspace. */
    std::function<boost::asio::awaitable<tl::expected<void, core::Refusal>>(core::WorkspaceId)> admit;
    std::function<boost::asio::awaitable<wire::CallResponse>(wire::CallRequest)> dispatch;
    /** Runs a call at most once per claim name, through the home of the name. */
    std::function<boost::asio::awaitable<wire::CallResponse>(wire::CallRequest)> runOnce;
    RootControlHooks roots;
    std::function<core::TimePoint()> now;
    core::RandomSource random;
    telemetry::SpanSink spans;
};

struct EntrySettings
{
    double sampleRatio = 0; ///< Fraction of new traces that is sampled, 0 to 1.
    RootControlSettings roots;
    core::Duration denialStaleness{}; ///< See PlanContext.
};

/** @brief Handles callers' requests on the node that receives them. Thread-safe. */
class Entry
{
public:
    Entry(InFlightTable &inFlight, telemetry::Metrics &metrics, EntrySettings settings, EntryHooks hooks);

    /** @return The endpoint's response, or a refusal. */
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse> call(http::CallerRequest request);
    [[nodiscard]] const RootControl &rootControl() const noexcept
    {
        return m_rootControl;
    }

    /** @return Nested calls of the endpoint of this host that are in flight. */
    [[nodiscard]] std::uint32_t nestedInFlight() const noexcept
    {
        return m_nestedInFlight;
    }

private:
    /** @brief What the log line and the metrics of a request name besides its response. */
    struct Summary
    {
        core::PriorityLevel priority = 0;
        bool isPromised = false; ///< The refusal names a time at which room is reserved.
        double workspaceShedShare = 0; ///< See RootRefusal.
    };

    [[nodiscard]] boost::asio::awaitable<wire::CallResponse>
    run(http::CallerRequest request, telemetry::TraceContext trace, Summary &summary);
    [[nodiscard]] boost::asio::awaitable<tl::expected<void, core::Refusal>>
    admit(const http::CallerRequest &request, const CallPlan &plan, Summary &summary);
    /** @return The plan within the time that a graceful stop leaves, or a refusal. */
    [[nodiscard]] tl::expected<CallPlan, core::Refusal> planWithinStop(const CallPlan &plan, core::TimePoint now) const;
    /** @return Time left to the root of a nested call; 0 if it is not known. */
    [[nodiscard]] core::Duration
    rootRemaining(const http::CallerRequest &request, const CallPlan &plan, core::TimePoint startedAt) const;
    /** @return Time that few calls of the route exceed; the timeout if none has ended yet. */
    [[nodiscard]] core::Duration expectedNestedTime(const CallPlan &plan) const;
    void recordNestedTime(const CallPlan &plan, const wire::CallResponse &response, core::Duration time);
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse>
    forward(wire::CallRequest call, http::CallerRequest request, CallPlan plan);
    [[nodiscard]] tl::expected<CallPlan, core::Refusal> plan(const http::CallerRequest &request, core::TimePoint now);
    [[nodiscard]] telemetry::TraceContext traceOf(const http::CallerRequest &request) const;
    void finish(const http::CallerRequest &request,
                const wire::CallResponse &response,
                const Summary &summary,
                core::Duration time);

    InFlightTable &m_inFlight;
    telemetry::Metrics &m_metrics;
    EntrySettings m_settings;
    EntryHooks m_hooks;
    routing::WeightedSplitter m_splitter;
    RootControl m_rootControl;
    core::ShardedMap<core::RouteId, CallTime> m_nestedTimes;
    std::atomic<std::uint32_t> m_nestedInFlight{0};
};

}
