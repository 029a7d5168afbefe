#pragma once

#include "berylspring/routing/endpoint_traffic.h"
#include "berylspring/routing/endpoint_view.h"

namespace berylspring::routing {

/** @brief An endpoint and its state, by non-owning pointers. */
struct Candidate
{
    const EndpointView *view = nullptr;
    const EndpointTraffic *traffic = nullptr; ///< Null if this node has not sent it a request yet.
};

}
