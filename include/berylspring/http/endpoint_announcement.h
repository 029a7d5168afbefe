#pragma once

#include "berylspring/core/name.h"

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace berylspring::http {

/** @brief What an endpoint tells its node. */
struct EndpointAnnouncement
{
    core::ServiceId service;
    std::string address; ///< "IP:PORT" of its HTTP server.
    std::uint32_t slots = 0; ///< Requests that it can run at a time, 1 to 100,000.
    [[nodiscard]] bool operator==(const EndpointAnnouncement &) const = default;
};

/** @brief Load reported by an endpoint. */
struct LoadReport
{
    std::uint32_t running = 0; ///< Requests running now.
    std::uint32_t connections = 0; ///< Open connections.
    [[nodiscard]] bool operator==(const LoadReport &) const = default;
};

/** @return The announcement `{service, address, slots}`, or a text that names the wrong member. */
[[nodiscard]] tl::expected<EndpointAnnouncement, std::string> parseAnnouncement(std::string_view json);

/** @return The report `{running, connections}`, or a text that names the wrong member. */
[[nodiscard]] tl::expected<LoadReport, std::string> parseLoadReport(std::string_view json);

}
