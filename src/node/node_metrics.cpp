// Gauges of a node, for /metrics and the status lines of its log.

#include "node/milliseconds.h"
#include "node/node_implementation.h"

#include "berylspring/core/clock.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace berylspring::node {

namespace {

std::vector<telemetry::Sample> admissionSamples(const admission::AdmissionState &state)
{
    return {{"berylspring_admission_running", static_cast<double>(state->running), {}},
            {"berylspring_admission_queued", static_cast<double>(state->queued), {}},
            {"berylspring_admission_limit", static_cast<double>(state->limit), {}},
            {"berylspring_admission_level", static_cast<double>(state->admittedLevel), {}},
            {"berylspring_admission_started", static_cast<double>(state->counters.started), {}},
            {"berylspring_admission_answered", static_cast<double>(state->counters.answered), {}},
            {"berylspring_admission_overloaded", static_cast<double>(state->counters.overloaded), {}},
            {"berylspring_admission_displaced", static_cast<double>(state->counters.displaced), {}},
            {"berylspring_admission_too_late", static_cast<double>(state->counters.tooLate), {}},
            {"berylspring_admission_quarantined", static_cast<double>(state->counters.quarantined), {}},
            {"berylspring_admission_connections_lost", static_cast<double>(state->counters.connectionsLost), {}},
            {"berylspring_cold_starts", static_cast<double>(state->counters.coldStarted), {}},
            {"berylspring_cold_refused", static_cast<double>(state->counters.coldRefused), {}}};
}

void addNestedCallSamples(std::vector<telemetry::Sample> &samples,
                          const std::map<core::ServiceId, NestedCallCounts> &calls)
{
    for (const auto &[service, counts] : calls) {
        const auto add = [&samples, &name = service.value()](const char *result, std::uint64_t count) {
            samples.push_back(
                {"berylspring_nested_calls", static_cast<double>(count), {{"result", result}, {"service", name}}});
        };
        add("answered", counts.answered);
        add("not-run", counts.notRun);
        add("unknown", counts.unknown);
    }
}

void addWorkSamples(std::vector<telemetry::Sample> &samples, const std::vector<routing::EndpointWorkState> &states)
{
    std::map<std::string, double> costs;
    for (const routing::EndpointWorkState &state : states) {
        const std::map<std::string, std::string> labels{{"service", state.service.value()},
                                                        {"endpoint", state.host.value()}};
        costs.insert_or_assign(state.service.value(), state.cost);
        samples.push_back({"berylspring_endpoint_slowness", state.slowness, labels});
        samples.push_back({"berylspring_endpoint_outstanding_seconds", state.outstanding, labels});
        samples.push_back({"berylspring_endpoint_chosen", static_cast<double>(state.chosen), labels});
    }
    for (const auto &[service, cost] : costs) {
        samples.push_back({"berylspring_route_cost_seconds", cost, {{"service", service}}});
    }
}

}

std::vector<telemetry::Sample> Node::Implementation::samples() const
{
    std::vector<telemetry::Sample> samples = admissionSamples(admission()->state());
    const limit::LimitCounters limits = m_limits.counters();
    const wire::PeerPoolCounters peers = m_peers.counters();
    const auto add = [&](const char *name, auto value) { samples.push_back({name, static_cast<double>(value), {}}); };
    add("berylspring_endpoint_cold", m_endpoint.coldLimit().reason(now()) ? 1 : 0);
    const RootReturns returns = m_entry.rootControl().returns();
    add("berylspring_roots_shed_share", m_entry.rootControl().shedding(now()));
    add("berylspring_workspace_shed_share", m_entry.rootControl().workspaceShedding(now()));
    add("berylspring_returns_promised", returns.promised);
    add("berylspring_returns_admitted", returns.admitted);
    add("berylspring_returns_late", returns.late);
    add("berylspring_nested_pressure", m_dispatcher.nestedPressure(now()));
    add("berylspring_limit_admitted", limits.admitted);
    add("berylspring_limit_held", limits.held);
    add("berylspring_limit_refused", limits.refused);
    add("berylspring_limit_grants", limits.grants);
    add("berylspring_limit_loans", limits.loans);
    add("berylspring_peer_connections", peers.connections);
    add("berylspring_peer_connections_lost", peers.connectionsLost);
    add("berylspring_peer_answers_dropped", peers.droppedAnswers);
    add("berylspring_members_live", m_membership->snapshot()->liveMembers().size());
    add("berylspring_config_applied_offset", m_config.catalogue()->appliedOffset());
    add("berylspring_config_log_behind", m_config.isLogBehind() ? 1 : 0);
    add("berylspring_config_log_generation", m_config.logGeneration());
    add("berylspring_evacuated_data_centres", m_evacuations.dataCentres()->size());
    add("berylspring_evacuated_refused",
        m_admissionHistory->totals.evacuated.load() + m_dispatcher.evacuatedRefusals());
    add("berylspring_requests_in_flight", m_inFlight.size());
    add("berylspring_spans_dropped", m_spans->dropped());
    addNestedCallSamples(samples, m_dispatcher.nestedCalls());
    add("berylspring_processor_seconds", std::chrono::duration<double>(core::processorTime()).count());
    const telemetry::LoopDelay loopDelay = this->loopDelay();
    add("berylspring_loop_delay_ms", detail::milliseconds(loopDelay.mean()));
    add("berylspring_loop_delay_max_ms", detail::milliseconds(loopDelay.longest()));
    addWorkSamples(samples, m_dispatcher.workStates(now()));
    for (std::size_t i = 0; i < wire::TrafficClassCount; ++i) {
        const auto trafficClass = static_cast<wire::TrafficClass>(i);
        const wire::TrafficCount count = m_traffic->count(trafficClass);
        const std::string name(wire::toString(trafficClass));
        samples.push_back({"berylspring_peer_sent_bytes",
                           static_cast<double>(count.withinDataCentre),
                           {{"class", name}, {"scope", "data_centre"}}});
        samples.push_back({"berylspring_peer_sent_bytes",
                           static_cast<double>(count.betweenDataCentres),
                           {{"class", name}, {"scope", "fleet"}}});
    }
    return samples;
}

}
