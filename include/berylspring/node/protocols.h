#pragma once

#include "berylspring/core/refusal.h"
#include "berylspring/eventlog/log_hooks.h"
#include "berylspring/http/caller_request.h"
#include "berylspring/http/messages.h"
#include "berylspring/node/endpoint_api.h"
#include "berylspring/node/settings.h"
#include "berylspring/wire/messages.h"

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <tl/expected.hpp>

namespace berylspring::node {

/** @brief A request to the endpoint of this host, with the data that this node adds. */
struct EndpointCall
{
    wire::CallRequest request; ///< `remaining` is the time left when the request is sent.
    std::string endpointId; ///< From the endpoint's announcement.
    std::string contextToken; ///< Identifies this request as the parent of the endpoint's nested calls.
    std::string traceParent;
};

/**
 * @brief Protocols that a node uses with callers, endpoints and the log.
 *
 * The hooks only encode and decode messages; they make no decisions. All of them must be thread-safe.
 */
struct Protocols
{
    std::function<tl::expected<http::CallerRequest, core::Refusal>(http::Request)> decodeCall;
    /** The second argument is the request of the caller. */
    std::function<http::Response(wire::CallResponse, const http::Request &)> encodeResponse;
    std::function<http::Request(EndpointCall)> encodeEndpointCall;
    /** The endpoint's response, or the refusal that it signals; the outcome tells whether the request has run. */
    std::function<tl::expected<wire::CallResponse, core::Refusal>(http::Response)> decodeEndpointResponse;
    /** Whether a response on an endpoint's connection belongs to the request. */
    std::function<bool(const http::Request &, const http::Response &)> isAnswerTo;
    /** Whether an endpoint's connection may carry another request after the response. */
    std::function<bool(const http::Response &)> allowsReuse;
    std::function<http::Response(const http::Request &, const EndpointApiHooks &)> handleEndpoint;
    std::function<eventlog::LogHooks(boost::asio::any_io_executor, const Settings &)> makeLog;
    /** Samples for the dictionary that compresses short frames between data centres; empty: no dictionary. */
    std::vector<wire::Message> typicalMessages;
    std::string readinessPath; ///< Path of the readiness probe on the operator port.
};

/** @return The native protocols of the product; docs/design.md describes them. */
[[nodiscard]] Protocols nativeProtocols();

}
