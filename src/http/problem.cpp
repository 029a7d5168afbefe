#include "berylspring/http/problem.h"

#include <boost/json.hpp>

namespace berylspring::http {

namespace {

Response problemDocument(std::uint16_t status, const boost::json::object &members)
{
    return Response({.status = status,
                     .headers = {{"Content-Type", "application/problem+json"}},
                     .body = boost::json::serialize(members)});
}

}

std::uint16_t statusOf(core::RefusalReason reason) noexcept
{
    using core::RefusalReason;
    switch (reason) {
    case RefusalReason::BadRequest:
        return 400;
    case RefusalReason::KeyMissing:
    case RefusalReason::KeyInvalid:
        return 401;
    case RefusalReason::WorkspaceRefused:
        return 403;
    case RefusalReason::RouteUnknown:
        return 404;
    case RefusalReason::BodyTooLarge:
        return 413;
    case RefusalReason::LimitExceeded:
        return 429;
    case RefusalReason::DeadlineExceeded:
        return 504;
    case RefusalReason::Overloaded:
    case RefusalReason::NoEndpoint:
    case RefusalReason::Draining:
    case RefusalReason::Quarantined:
    case RefusalReason::ConnectionLost:
    case RefusalReason::HomeUnreachable:
    case RefusalReason::ClaimUnknown:
    case RefusalReason::NotReady:
    case RefusalReason::Cancelled:
        return 503;
    }
    return 500;
}

Response problemResponse(const core::Refusal &refusal)
{
    const std::uint16_t status = statusOf(refusal.reason());
    Response response = problemDocument(status,
                                        {{"type", "about:blank"},
                                         {"title", core::toString(refusal.reason())},
                                         {"status", status},
                                         {"detail", refusal.detail()},
                                         {"outcome", core::toString(refusal.outcome())},
                                         {"reason", core::toString(refusal.reason())}});
    if (!refusal.retryAfter()) {
        return response;
    }
    wire::Headers headers = response->headers;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter());
    headers.push_back({"Retry-After", std::to_string(seconds.count())});
    return response.with(&ResponseFields::headers, std::move(headers));
}

Response problemResponse(std::uint16_t status, const std::string &title, const std::string &detail)
{
    return problemDocument(status, {{"type", "about:blank"}, {"title", title}, {"status", status}, {"detail", detail}});
}

}
