#include "berylspring/http/explain_json.h"

#include "berylspring/http/problem.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <map>
#include <set>

#include <boost/json.hpp>
#include <boost/url.hpp>

namespace berylspring::http {

namespace {

using Parameters = std::map<std::string, std::string>;

tl::unexpected<ExplainError> invalid(std::string detail)
{
    return tl::unexpected(ExplainError{ExplainErrorCode::Invalid, std::move(detail)});
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) { return character >= ' ' && character <= '~'; });
}

/** @return The decoded parameters. An unknown name is an error, so that a mistyped one does not change the question. */
tl::expected<Parameters, ExplainError> parametersOf(std::string_view target)
{
    static const std::set<std::string> names{
        "method", "path", "host", "workspace", "priority", "data_centre", "nested"};
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed) {
        return invalid("the query cannot be read");
    }
    Parameters parameters;
    for (const auto &parameter : parsed->params()) {
        if (!names.contains(parameter.key)) {
            // Other characters could break a log line or a terminal that shows the error.
            return invalid(isPrintable(parameter.key) ? "there is no parameter " + parameter.key
                                                      : "a parameter is unknown");
        }
        if (!parameters.emplace(parameter.key, parameter.value).second) {
            return invalid(parameter.key + " is given twice");
        }
    }
    return parameters;
}

bool isMethod(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= 'A' && character <= 'Z') || character == '-';
    });
}

std::optional<core::PriorityLevel> parsePriority(std::string_view text)
{
    core::PriorityLevel level = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), level);
    const bool isWhole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return isWhole && level <= core::MaxPriority ? std::optional(level) : std::nullopt;
}

std::int64_t milliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

boost::json::value nameOf(const std::optional<core::HostId> &host)
{
    return host ? boost::json::value(host->value()) : boost::json::value(nullptr);
}

boost::json::object jsonOf(const routing::EndpointExplanation &endpoint, bool isByCost)
{
    boost::json::object json{{"host", endpoint.host.value()},
                             {"data_centre", endpoint.dataCentre.value()},
                             {"eligible", !endpoint.exclusion.has_value()}};
    if (endpoint.exclusion) {
        json["reason"] = routing::toString(*endpoint.exclusion);
    }
    if (endpoint.isBeyondColdShare) {
        json["beyond_cold_share"] = true;
    }
    json["slots"] = endpoint.slots;
    json["slowness"] = endpoint.slowness;
    json["outstanding_s"] = endpoint.outstanding;
    json["outstanding_age_ms"] =
        endpoint.outstandingAge ? boost::json::value(milliseconds(*endpoint.outstandingAge)) : nullptr;
    json["in_flight"] = endpoint.inFlight;
    json["cold_rate"] = endpoint.coldRate;
    json[isByCost ? "expected_s" : "score"] = endpoint.figure;
    return json;
}

boost::json::object jsonOf(const ServiceExplanation &service)
{
    const routing::RouteExplanation &routing = service.routing;
    boost::json::array endpoints;
    for (const routing::EndpointExplanation &endpoint : routing.endpoints) {
        endpoints.push_back(jsonOf(endpoint, routing.isByCost));
    }
    return {{"service", routing.service.value()},
            {"share", service.share},
            {"shed_share", service.shedShare},
            {"policy", routing.isByCost ? "cost" : "load"},
            {"cost_s", routing.cost},
            {"compared", routing.compared},
            {"best_local", nameOf(routing.bestLocal)},
            {"best_remote", nameOf(routing.bestRemote)},
            {"chosen", nameOf(routing.chosen)},
            {"endpoints", std::move(endpoints)}};
}

}

tl::expected<ExplainQuestion, ExplainError> parseExplainQuestion(std::string_view target)
{
    const auto parameters = parametersOf(target);
    if (!parameters) {
        return tl::unexpected(parameters.error());
    }
    // An empty value counts as absent.
    const auto valueOf = [&](const std::string &name) {
        const auto found = parameters->find(name);
        return found == parameters->end() ? std::string() : found->second;
    };
    ExplainQuestion question{
        .path = valueOf("path"), .host = valueOf("host"), .workspace = core::WorkspaceId(valueOf("workspace"))};
    if (!question.path.starts_with('/')) {
        return invalid("path is missing or does not begin with /");
    }
    if (!question.workspace.isEmpty() && !core::isValidName(question.workspace.value())) {
        return invalid("workspace is not a valid name");
    }
    if (const std::string method = valueOf("method"); !method.empty()) {
        if (!isMethod(method)) {
            return invalid("method is not a method in capitals");
        }
        question.method = method;
    }
    if (const std::string priority = valueOf("priority"); !priority.empty()) {
        question.priority = parsePriority(priority);
        if (!question.priority) {
            return invalid("priority is not a number from 0 to " + std::to_string(core::MaxPriority));
        }
    }
    if (const std::string dataCentre = valueOf("data_centre"); !dataCentre.empty()) {
        if (!core::isValidName(dataCentre)) {
            return invalid("data_centre is not a valid name");
        }
        question.dataCentre = core::DataCentreId(dataCentre);
    }
    const std::string nested = valueOf("nested");
    if (!nested.empty() && nested != "true" && nested != "false") {
        return invalid("nested is not true or false");
    }
    question.isNested = nested == "true";
    return question;
}

std::string toJson(const RequestExplanation &explanation)
{
    boost::json::array services;
    for (const ServiceExplanation &service : explanation.services) {
        services.push_back(jsonOf(service));
    }
    boost::json::value limit = nullptr;
    if (explanation.limit) {
        limit = boost::json::object{{"rate", explanation.limit->rate}, {"burst", explanation.limit->burst}};
    }
    return boost::json::serialize(boost::json::object{{"route", explanation.route.value()},
                                                      {"priority", explanation.priority},
                                                      {"time_limit_ms", milliseconds(explanation.timeout)},
                                                      {"key_needed", explanation.isKeyNeeded},
                                                      {"nested", explanation.isNested},
                                                      {"shed_share", explanation.shedShare},
                                                      {"limit", std::move(limit)},
                                                      {"services", std::move(services)}});
}

Response problemResponse(const ExplainError &error)
{
    switch (error.code) {
    case ExplainErrorCode::RouteUnknown:
        return problemResponse(404, "route-unknown", error.detail);
    case ExplainErrorCode::WorkspaceUnknown:
        return problemResponse(404, "workspace-unknown", error.detail);
    case ExplainErrorCode::NotReady:
        return problemResponse(503, "not-ready", error.detail);
    case ExplainErrorCode::Invalid:
        break;
    }
    return problemResponse(400, "invalid", error.detail);
}

}
