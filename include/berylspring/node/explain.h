#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/http/explanation.h"
#include "berylspring/node/call_plan.h"
#include "berylspring/node/limit_in_force.h"
#include "berylspring/routing/explanation.h"
#include "berylspring/wire/messages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace berylspring::node {

/** @brief Parts of the node that an explanation joins. None may change state. */
struct ExplainHooks
{
    std::function<std::shared_ptr<const config::Catalogue>()> catalogue; ///< Null without usable configuration.
    std::function<bool(const core::DataCentreId &)> isDeclared;
    std::function<LimitSettings()> limitSettings;
    /** Share of such root requests that this node sheds, 0 to 1. */
    std::function<double(const CallPlan &, const std::string &method, core::TimePoint now)> shedShare;
    /** Routing of the call, as if the node were in the data centre, if one is given. See Dispatcher::explain(). */
    std::function<routing::RouteExplanation(
        const wire::CallRequest &, const std::optional<core::DataCentreId> &dataCentre, core::TimePoint now)>
        route;
};

/** @brief Explains how this node would treat a request now. Sends nothing and takes no token of a limit. */
[[nodiscard]] tl::expected<http::RequestExplanation, http::ExplainError>
explainRequest(const http::ExplainQuestion &question, const ExplainHooks &hooks, core::TimePoint now);

}
