#pragma once

#include "berylspring/routing/endpoint_traffic.h"
#include "berylspring/routing/endpoint_view.h"

namespace berylspring::routing {

/** @brief An endpoint with what is known of it; refers to values of the caller. */
struct Candidate
{
    const EndpointView *view = nullptr;
    const EndpointTraffic *traffic = nullptr; ///< Null when this node has sent it nothing yet.
};

}
