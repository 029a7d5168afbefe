#include "berylspring/node/explain.h"

#include <numeric>

namespace berylspring::node {

namespace {

using http::ExplainError;
using http::ExplainErrorCode;

/** @return The limit that the request has to pass. Nested calls pass none. */
std::optional<http::LimitExplanation>
limitOf(const config::Catalogue &catalogue, const CallPlanFields &plan, const LimitSettings &settings)
{
    const auto limit = plan.isNested ? std::nullopt : limitInForce(catalogue, plan.workspace, settings);
    return limit ? std::optional(http::LimitExplanation{.rate = limit->rate(), .burst = limit->burst()}) : std::nullopt;
}

CallPlanFields
planOf(const http::ExplainQuestion &question, const config::Catalogue &catalogue, const config::Route &route)
{
    CallPlanFields plan = planOfRoute(route, question.workspace, question.method, catalogue);
    plan.priority = question.priority.value_or(plan.priority);
    plan.isNested = plan.isNested || question.isNested;
    return plan;
}

/** @return The properties of the planned request by which it is routed. */
wire::CallRequest routingCallOf(const CallPlan &plan, const std::string &method)
{
    return wire::CallRequest({.service = plan->service,
                              .route = plan->route,
                              .method = method,
                              .priority = plan->priority,
                              .isNested = plan->isNested});
}

}

tl::expected<http::RequestExplanation, ExplainError>
explainRequest(const http::ExplainQuestion &question, const ExplainHooks &hooks, core::TimePoint now)
{
    const std::shared_ptr<const config::Catalogue> catalogue = hooks.catalogue();
    if (!catalogue) {
        return tl::unexpected(ExplainError{ExplainErrorCode::NotReady, "the node has no usable configuration"});
    }
    if (question.dataCentre && !hooks.isDeclared(*question.dataCentre)) {
        return tl::unexpected(ExplainError{ExplainErrorCode::Invalid,
                                           "the data centre " + question.dataCentre->value() + " is not declared"});
    }
    const config::Route *route = catalogue->findRoute(question.host, http::pathOf(question.path));
    if (route == nullptr) {
        return tl::unexpected(ExplainError{ExplainErrorCode::RouteUnknown, "no route has a prefix of the path"});
    }
    if (!question.workspace.isEmpty() && catalogue->findWorkspace(question.workspace) == nullptr) {
        return tl::unexpected(ExplainError{ExplainErrorCode::WorkspaceUnknown,
                                           "the workspace " + question.workspace.value() + " does not exist"});
    }
    CallPlanFields plan = planOf(question, *catalogue, *route);
    http::RequestExplanation explanation{.route = plan.route,
                                         .priority = plan.priority,
                                         .timeout = plan.timeout,
                                         .isKeyNeeded = !(*route)->isOpen,
                                         .isNested = plan.isNested,
                                         .limit = limitOf(*catalogue, plan, hooks.limitSettings())};
    const auto &services = (*route)->services;
    const double sum = std::accumulate(services.begin(), services.end(), 0.0, [](double total, const auto &service) {
        return total + service.weight;
    });
    for (const config::ServiceShare &service : services) {
        plan.service = service.service;
        const CallPlan planned(plan);
        const double share = service.weight / sum;
        const double shedShare = plan.isNested ? 0 : hooks.shedShare(planned, question.method, now);
        explanation.shedShare += share * shedShare;
        explanation.services.push_back(
            {.share = share,
             .shedShare = shedShare,
             .routing = hooks.route(routingCallOf(planned, question.method), question.dataCentre, now)});
    }
    return explanation;
}

}
