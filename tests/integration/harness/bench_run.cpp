#include "integration/harness/bench_run.h"

#include "integration/harness/bench_scenario.h"
#include "integration/harness/scores.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <sstream>
#include <thread>

#include <boost/json.hpp>

namespace berylspring::test {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LoadThreads = 3;
constexpr auto IdleTime = 3s; ///< Without calls, to measure the cost of control traffic alone.
constexpr auto CallTimeout = 2s;
constexpr auto WarmUp = 1s; ///< Excluded start of the first phase.
constexpr auto StartDelay = 50ms; ///< As in runLoad().
constexpr double RecoveredShare = 0.95; ///< Fraction of the ordinary goodput that counts as recovered.

double millisecondsOf(core::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/** @return The sum of a metric over its labels, or nothing if the node does not have it. */
std::optional<double> metricSum(const std::string &text, const std::string &name)
{
    std::optional<double> sum;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const bool isMetric = line.starts_with(name) && line.size() > name.size()
                              && (line[name.size()] == '{' || line[name.size()] == ' ');
        if (isMetric) {
            sum = sum.value_or(0) + std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

/** @brief Processor time, memory and control traffic of all running nodes at one moment. */
struct NodeCost
{
    double processorSeconds = 0;
    double residentBytes = 0;
    std::optional<double> controlBytes;
    std::size_t nodes = 0;
};

NodeCost costOf(Fleet &fleet)
{
    NodeCost cost;
    for (const std::size_t index : fleet.running()) {
        const ProcessUsage usage = fleet.node(index).daemon->usage();
        cost.processorSeconds += std::chrono::duration<double>(usage.processorTime).count();
        cost.residentBytes += static_cast<double>(usage.residentBytes);
        const auto bytes = metricSum(fleet.metrics(index), "berylspring_control_bytes_total");
        if (bytes) {
            cost.controlBytes = cost.controlBytes.value_or(0) + *bytes;
        }
        ++cost.nodes;
    }
    return cost;
}

/** @brief Measures what the nodes of an idle fleet spend on control traffic. */
void addIdleCost(Fleet &fleet, json::object &result)
{
    const NodeCost before = costOf(fleet);
    std::this_thread::sleep_for(IdleTime);
    const NodeCost after = costOf(fleet);
    const double nodeSeconds = std::chrono::duration<double>(IdleTime).count() * static_cast<double>(after.nodes);
    result["idle_cores_per_node"] = (after.processorSeconds - before.processorSeconds) / nodeSeconds;
    result["resident_mb_per_node"] = after.residentBytes / static_cast<double>(after.nodes) / 1e6;
    result["idle_control_bytes_per_s_node"] = nullptr;
    if (after.controlBytes && before.controlBytes) {
        result["idle_control_bytes_per_s_node"] = (*after.controlBytes - *before.controlBytes) / nodeSeconds;
    }
}

/** @brief Runs the actions of a scenario concurrently with its load, at the start and end of the middle phase. */
class FaultActions
{
public:
    FaultActions(Fleet &fleet, const Deployment &deployment, const BenchScenario &scenario, core::Duration phase)
        : m_thread([&fleet, &deployment, &scenario, phase, this] {
            const auto start = std::chrono::steady_clock::now() + StartDelay;
            try {
                std::this_thread::sleep_until(start + phase);
                if (scenario.beginFault) {
                    scenario.beginFault(fleet, deployment);
                }
                std::this_thread::sleep_until(start + 2 * phase);
                if (scenario.endFault) {
                    scenario.endFault(fleet, deployment);
                }
            } catch (const std::exception &) {
                m_error = std::current_exception();
            }
        })
    {
    }
    void join()
    {
        m_thread.join();
        if (m_error) {
            std::rethrow_exception(m_error);
        }
    }

private:
    std::exception_ptr m_error;
    std::jthread m_thread;
};

/** @return The node for call number n. Number n + 1, which a resend uses, goes to another data centre. */
std::size_t entryNode(const Fleet &fleet, std::uint64_t number)
{
    const std::size_t dataCentres = fleet.size() / fleet.nodesPerDataCentre();
    return (number % dataCentres) * fleet.nodesPerDataCentre() + (number / dataCentres) % fleet.nodesPerDataCentre();
}

/** @brief The classes of a load and the scoring data of each. */
struct PlannedLoad
{
    std::vector<LoadClass> classes;
    std::vector<ScoredClass> scored; ///< Same order, reports empty.
};

class LoadPlanner
{
public:
    LoadPlanner(Fleet &fleet, HttpCalls &calls, const Deployment &deployment, const BenchScenario &scenario)
        : m_fleet(fleet)
        , m_calls(calls)
        , m_deployment(deployment)
        , m_scenario(scenario)
        , m_rate(deployment.capacityPerSecond() * scenario.ordinaryLoad)
    {
    }

    PlannedLoad plan(core::Duration phase)
    {
        for (const Tenant &tenant : Deployment::tenants()) {
            const auto ownFactor = m_scenario.loadFactors.find(tenant.name);
            const auto defaultFactor = m_scenario.loadFactors.find("");
            const double factor = ownFactor != m_scenario.loadFactors.end()       ? ownFactor->second
                                  : defaultFactor != m_scenario.loadFactors.end() ? defaultFactor->second
                                                                                  : 1;
            for (const CallKind &kind : Deployment::kinds()) {
                add(tenant, kind, 1, {.begin = {}, .end = 3 * phase});
                if (factor > 1) {
                    add(tenant, kind, factor - 1, {.begin = phase, .end = 2 * phase});
                }
            }
        }
        return std::move(m_planned);
    }

private:
    void add(const Tenant &tenant, const CallKind &kind, double factor, Period period)
    {
        const std::string key = "key-" + tenant.name;
        const std::string prefix = tenant.name + "-" + kind.name + "-" + std::to_string(m_planned.classes.size()) + "-";
        const auto makeCall = [kind, key, prefix](std::uint64_t number) {
            const bool isPost = kind.method == "POST";
            return Call({.method = kind.method,
                         .target = kind.target,
                         .body = isPost ? prefix + std::to_string(number) : std::string(),
                         .key = key,
                         .idempotencyKey = isPost ? prefix + std::to_string(number) : std::string(),
                         .timeout = CallTimeout});
        };
        const std::size_t offset = m_planned.classes.size();
        m_planned.classes.push_back(
            {.name = tenant.name + " " + kind.name,
             .ratePerSecond = m_rate * tenant.share * kind.share * factor,
             .begin = period.begin,
             .duration = period.end - period.begin,
             .makeCall = makeCall,
             .chooseClient = [&calls = m_calls, &fleet = m_fleet, offset](std::uint64_t number) -> http::Client & {
                 return calls.client(fleet.node(entryNode(fleet, number + offset)).callerPort);
             },
             .resends = m_scenario.resends,
             .resendDelay = m_scenario.resendDelay});
        m_planned.scored.push_back({.tenant = tenant.name,
                                    .kind = kind.name,
                                    .worth = kind.worth,
                                    .weight = tenant.share,
                                    .limitPerSecond = m_deployment.limitOf(tenant, m_rate),
                                    .report = LoadReport(kind.name, {})});
    }

    Fleet &m_fleet;
    HttpCalls &m_calls;
    const Deployment &m_deployment;
    const BenchScenario &m_scenario;
    double m_rate;
    PlannedLoad m_planned;
};

/** @brief Adds totals over all classes: outcomes, reasons and the latency of complete calls. */
void addTotals(const std::vector<ScoredClass> &classes, json::object &result)
{
    std::vector<LoadSample> all;
    for (const ScoredClass &scored : classes) {
        all.insert(all.end(), scored.report.samples().begin(), scored.report.samples().end());
    }
    const LoadReport total("total", std::move(all));
    result["calls"] = total.samples().size();
    result["attempts"] = total.attempts();
    result["complete"] = total.complete();
    result["not_sent_by_generator"] = total.notSent();
    result["mismatched"] = total.mismatches();
    result["latency_p50_ms"] = millisecondsOf(total.latency(0.5));
    result["latency_p99_ms"] = millisecondsOf(total.latency(0.99));
    json::object failures;
    for (const auto &[reason, count] : total.failures()) {
        failures[reason] = count;
    }
    result["failures"] = std::move(failures);
}

/** @return The daemons that ended without being killed by the scenario, with signal and status. */
json::object endedDaemons(Fleet &fleet)
{
    json::object ended;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto end = fleet.node(i).daemon->poll();
        if (end && end->signal != SIGKILL) {
            ended[fleet.node(i).host] = {{"signal", end->signal}, {"status", end->exitStatus}};
        }
    }
    return ended;
}

/** @return Effects beyond the first of each non-idempotent request, over all running endpoints. */
std::uint64_t duplicateEffects(Fleet &fleet)
{
    std::uint64_t extra = 0;
    for (const auto &entry : fleet.totals("effects")) {
        extra += entry.second - std::min<std::uint64_t>(entry.second, 1);
    }
    return extra;
}

void addScores(const std::vector<ScoredClass> &classes,
               const BenchScenario &scenario,
               core::Duration phase,
               json::object &result)
{
    const Period steady{.begin = WarmUp, .end = phase};
    const Period fault{.begin = phase, .end = 2 * phase};
    const double ordinary = goodput(classes, steady);
    const double duringFault = goodput(classes, fault);
    result["steady_goodput_per_s"] = ordinary;
    result["fault_goodput_per_s"] = duringFault;
    result["fault_goodput_ratio"] = ordinary > 0 ? duringFault / ordinary : 0;
    const core::Duration from = scenario.isFaultPermanent ? phase : 2 * phase;
    const auto recovery = recoveryTime(classes, from, 3 * phase, RecoveredShare * ordinary);
    result["recovery_s"] = nullptr;
    if (recovery) {
        result["recovery_s"] = std::chrono::duration<double>(*recovery).count();
    }
    result["worst_served_steady"] = worstServed(classes, steady);
    result["worst_served_fault"] = worstServed(classes, fault);
    result["worth_served_steady"] = worthServed(classes, steady);
    result["worth_served_fault"] = worthServed(classes, fault);
    result["limit_refusals_within_rate_steady"] = refusalsWithinRate(classes, steady).byLimiter;
    result["limit_refusals_within_rate_fault"] = refusalsWithinRate(classes, fault).byLimiter;
    result["all_refusals_within_rate_steady"] = refusalsWithinRate(classes, steady).forAnyReason;
    result["all_refusals_within_rate_fault"] = refusalsWithinRate(classes, fault).forAnyReason;
}

json::object runPhases(const std::string &name, const BenchSettings &settings)
{
    const BenchScenario scenario = benchScenario(name);
    const Deployment deployment(settings.size.with(&DeploymentSizeFields::limitFactor, scenario.limitFactor));
    Fleet fleet(deployment.fleetConfig(settings.areControlsOn, scenario.reportLoad));
    deployment.declare(fleet, deployment.capacityPerSecond() * scenario.ordinaryLoad);
    json::object result;
    result["capacity_per_s"] = deployment.capacityPerSecond();
    HttpCalls calls(LoadThreads);
    PlannedLoad planned = LoadPlanner(fleet, calls, deployment, scenario).plan(settings.phase);
    const NodeCost before = costOf(fleet);
    FaultActions faultActions(fleet, deployment, scenario, settings.phase);
    const std::vector<LoadReport> reports = runLoad(calls, planned.classes);
    faultActions.join();
    const NodeCost after = costOf(fleet);
    for (std::size_t i = 0; i < reports.size(); ++i) {
        planned.scored[i].report = reports[i];
    }
    addScores(planned.scored, scenario, settings.phase, result);
    addTotals(planned.scored, result);
    result["double_runs"] = duplicateEffects(fleet);
    json::object ended = endedDaemons(fleet);
    result["daemons_ended"] = ended.size();
    result["ended"] = std::move(ended);
    result["loaded_cores_per_node"] = nullptr;
    if (after.nodes == before.nodes) {
        const double nodeSeconds =
            std::chrono::duration<double>(3 * settings.phase).count() * static_cast<double>(after.nodes);
        result["loaded_cores_per_node"] = (after.processorSeconds - before.processorSeconds) / nodeSeconds;
    }
    addIdleCost(fleet, result);
    return result;
}

LoadClass latencyLoad(const std::string &name, core::Duration duration, const std::function<http::Client &()> &client)
{
    constexpr double CallsPerSecond = 300;
    return {.name = name,
            .ratePerSecond = CallsPerSecond,
            .duration = duration,
            .makeCall = [](std::uint64_t) { return Call({.target = "/front/x?work_ms=0", .key = "key-tenant"}); },
            .chooseClient = [client](std::uint64_t) -> http::Client & { return client(); }};
}

void addLatencies(const LoadReport &report, json::object &result)
{
    result[report.name() + "_complete"] = report.complete();
    result[report.name() + "_p50_ms"] = millisecondsOf(report.latency(0.5));
    result[report.name() + "_p99_ms"] = millisecondsOf(report.latency(0.99));
    result[report.name() + "_p999_ms"] = millisecondsOf(report.latency(0.999));
}

/** @brief Compares direct calls of an endpoint with calls that enter at the node of another host. */
json::object runAddedLatency(const BenchSettings &settings)
{
    constexpr double TenantRate = 10'000;
    Fleet fleet(FleetConfig({.endpoints = {{.service = "front", .slots = 64, .serviceMs = 0}, {.service = ""}},
                             .areControlsOn = settings.areControlsOn}));
    fleet.addWorkspace("tenant", TenantRate, TenantRate);
    fleet.addRoute("front", {{"prefix", "/front"}, {"service", "front"}}, 3);
    fleet.waitUntilServing({"/front/x"}, "key-tenant");
    HttpCalls calls(LoadThreads);
    const auto direct = [&]() -> http::Client & { return calls.client(fleet.node(0).servicePort); };
    const auto nodes = [&]() -> http::Client & { return calls.client(fleet.node(1).callerPort); };
    json::object result;
    std::vector<LoadReport> reports;
    for (const LoadClass &loadClass :
         {latencyLoad("direct", settings.phase, direct), latencyLoad("two_nodes", settings.phase, nodes)}) {
        (void)runLoad(calls, {loadClass}); // Warm-up that opens the connections.
        reports.push_back(runLoad(calls, {loadClass}).front());
        addLatencies(reports.back(), result);
    }
    for (const auto &[name, quantile] : {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}, std::pair{"p999", 0.999}}) {
        result["added_" + std::string(name) + "_ms"] =
            millisecondsOf(reports[1].latency(quantile) - reports[0].latency(quantile));
    }
    return result;
}

}

json::object runScenario(const std::string &name, const BenchSettings &settings)
{
    return name == AddedLatency ? runAddedLatency(settings) : runPhases(name, settings);
}

}
