#pragma once

#include "berylspring/admission/entry_shedding.h"
#include "berylspring/admission/pressure.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"
#include "berylspring/node/endpoint_views.h"
#include "berylspring/retry/backoff.h"
#include "berylspring/retry/budget.h"
#include "berylspring/routing/router.h"
#include "berylspring/telemetry/span.h"
#include "berylspring/wire/peer_call.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace berylspring::node {

/** @brief Dependencies of the dispatcher on other parts of the node. */
struct DispatcherHooks
{
    wire::PeerCall call;
    /** Runs a call on the endpoint of this host. */
    std::function<boost::asio::awaitable<wire::CallResponse>(wire::CallRequest)> runLocally;
    std::function<std::shared_ptr<const EndpointViews>(const core::ServiceId &)> endpoints;
    /** Data centres whose endpoints take no requests, never null; empty hook: none. */
    std::function<std::shared_ptr<const std::vector<core::DataCentreId>>()> evacuatedDataCentres;
    std::function<std::size_t()> liveNodes; ///< Nodes that may send to the same endpoints, with this one.
    std::function<core::TimePoint()> now;
    core::RandomSource random;
    std::function<void()> retried; ///< Called for each retry, to count it.
    std::function<retry::BudgetBounds()> retryBounds; ///< Null: the default bounds of retry budgets.
    /** Reports that requests of a service are routed by cost from now on, or no longer. */
    std::function<void(const core::ServiceId &, bool isByCost)> policyChanged;
    telemetry::SpanSink spans; ///< Receives one span for each attempt of a sampled trace.
};

/** @brief Nested calls of the endpoint of this host to one service, by their results. */
struct NestedCallCounts
{
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0; ///< Refused before they ran.
    std::uint64_t unknown = 0; ///< Failed, and may have run.
    [[nodiscard]] bool operator==(const NestedCallCounts &) const = default;
};

/** @brief Sends requests to the nodes of endpoints and retries failures that are safe to retry. Thread-safe. */
class Dispatcher
{
public:
    Dispatcher(core::HostId self,
               core::DataCentreId dataCentre,
               bool areControlsOn,
               DispatcherHooks hooks,
               const routing::RouterSettings &routing = {});

    /**
     * @brief Routes and sends a request, and retries it within its retry allowance and the retry budget of the service.
     * @return The endpoint's response, or a refusal. NotRun as its outcome means that no attempt ran the request.
     */
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse> dispatch(wire::CallRequest call);

    /**
     * @brief Explains to which endpoint the call would be sent now. Sends nothing and changes no state.
     *
     * Endpoints whose admitted level is above the priority of a root call count as excluded. The few probes that
     * dispatch() sends them are left out.
     * @param call Service, route, method, priority and whether it is nested are read.
     * @param dataCentre Routes as if the node were there.
     */
    [[nodiscard]] routing::RouteExplanation
    explain(const wire::CallRequest &call, const core::DataCentreId &dataCentre, core::TimePoint now) const;

    /** @return Highest pressure among the services that the endpoint of this host calls. */
    [[nodiscard]] double nestedPressure(core::TimePoint now) const;
    /** @return Finished nested calls by service, in order of the service; without those that were given up. */
    [[nodiscard]] std::map<core::ServiceId, NestedCallCounts> nestedCalls() const;
    /** @return Number of requests for which no endpoint was left because of an evacuation. */
    [[nodiscard]] std::uint64_t evacuatedRefusals() const noexcept
    {
        return m_evacuatedRefusals;
    }
    /** @return Expected cost in seconds of a request, see routing::Router::expectedCost(). */
    [[nodiscard]] double
    expectedCost(const core::ServiceId &service, const core::RouteId &route, std::string_view method) const
    {
        return m_router.expectedCost(service, routing::costClassOf(route, method));
    }
    /** @return The endpoints of the services whose requests are routed by cost. */
    [[nodiscard]] std::vector<routing::EndpointWorkState> workStates(core::TimePoint now) const
    {
        return m_router.workStates(now);
    }
    /**
     * @brief Removes what was learned about endpoints that have left permanently. Those with requests in flight are
     * left to a later call.
     */
    void forgetDeparted(const membership::MemberSnapshot &members);

private:
    struct Attempts;

    [[nodiscard]] routing::RoutingRequest routingRequestOf(const wire::CallRequest &call) const;
    [[nodiscard]] routing::RoutingDecision
    chooseEndpoint(const wire::CallRequest &call, Attempts &attempts, core::TimePoint now);
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse> attempt(wire::CallRequest call, core::HostId host);
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse> send(wire::CallRequest call, core::HostId host);
    [[nodiscard]] static bool
    mayReroute(const wire::CallRequest &call, const core::Refusal &refusal, const Attempts &attempts);
    [[nodiscard]] bool mayRetry(const wire::CallRequest &call, const core::Refusal &refusal, const Attempts &attempts);
    void recordNestedPressure(const core::ServiceId &service,
                              std::optional<double> reported,
                              bool hasTimedOut,
                              core::TimePoint now);
    void countNestedCall(const wire::CallRequest &call, core::Outcome outcome);
    [[nodiscard]] boost::asio::awaitable<void> backOffBeforeRetry(const Attempts &attempts);

    core::HostId m_self;
    core::DataCentreId m_dataCentre;
    bool m_areControlsOn;
    DispatcherHooks m_hooks;
    routing::Router m_router;
    retry::RetryBudgets m_budgets;
    retry::BackoffPolicy m_backoff;
    admission::EntryShedding m_shedding;
    std::atomic<std::uint64_t> m_evacuatedRefusals{0};
    core::ShardedMap<core::ServiceId, admission::Pressure> m_nestedPressure; ///< By target of nested calls.
    core::ShardedMap<core::ServiceId, NestedCallCounts> m_nestedCalls;
};

}
