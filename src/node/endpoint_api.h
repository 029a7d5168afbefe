#pragma once

#include "berylspring/http/endpoint_announcement.h"
#include "berylspring/http/server.h"

#include <functional>

#include <boost/asio/awaitable.hpp>

namespace berylspring::node::detail {

/** @brief What the endpoint interface passes on. */
struct EndpointApiHooks
{
    std::function<void(const http::EndpointAnnouncement &)> announce;
    std::function<void()> drain;
    std::function<void(const http::LoadReport &)> reportLoad;
};

/** @return The answer to a request on the endpoint port. */
[[nodiscard]] http::Response handleEndpointRequest(const http::Request &request, const EndpointApiHooks &hooks);

}
