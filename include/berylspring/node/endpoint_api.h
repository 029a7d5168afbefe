#pragma once

#include "berylspring/http/endpoint_announcement.h"
#include "berylspring/http/messages.h"

#include <functional>
#include <string>

namespace berylspring::node {

/** @brief Callbacks for the requests that an endpoint sends to the endpoint port. */
struct EndpointApiHooks
{
    std::function<void(const http::EndpointHeartbeat &)> heartbeat;
    std::function<void(const http::EndpointLeave &)> leave; ///< The endpoint accepts no new requests.
    std::function<void(const http::LoadReport &)> reportLoad;
};

/** @return The response to a request on the endpoint port. */
[[nodiscard]] http::Response handleEndpointRequest(const http::Request &request, const EndpointApiHooks &hooks);

}
