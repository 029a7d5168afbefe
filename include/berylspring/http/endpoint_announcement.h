#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/wire/messages.h"

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace berylspring::http {

/** @brief Properties that an endpoint announces to its node; they do not change while the endpoint runs. */
struct EndpointAnnouncement
{
    core::ServiceId service;
    std::string address; ///< "IP:PORT" of its HTTP server.
    std::uint32_t slots = 0; ///< Requests that it can run concurrently, 1 to 100,000.
    std::string id; ///< Identifier chosen by the endpoint; empty if it has none.
    std::uint64_t incarnation = 0; ///< Increases with each start of an endpoint on this host; 0: unknown.
    [[nodiscard]] bool operator==(const EndpointAnnouncement &) const = default;
};

/** @brief One heartbeat of an endpoint. */
struct EndpointHeartbeat
{
    EndpointAnnouncement announcement;
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation; 0: unknown.
    bool isDraining = false; ///< The endpoint shuts down soon and accepts no new requests.
    core::Duration coldFor{}; ///< How long the endpoint is still cold, as of the heartbeat.
    [[nodiscard]] bool operator==(const EndpointHeartbeat &) const = default;
};

using EndpointLeave = wire::EndpointLeave;

/** @brief Load reported by an endpoint. */
struct LoadReport
{
    std::uint32_t running = 0; ///< Requests that are running.
    std::uint32_t connections = 0; ///< Open connections.
    [[nodiscard]] bool operator==(const LoadReport &) const = default;
};

/** @return Whether a text is the address of an HTTP server: an IP number of one host with a port from 1 to 65535. */
[[nodiscard]] bool isServerAddress(std::string_view text);

/**
 * @return The announcement `{service, address, slots}` with the optional member `cold_ms`, how long the endpoint is
 *         still cold, or an error message that names the invalid member.
 */
[[nodiscard]] tl::expected<EndpointHeartbeat, std::string> parseAnnouncement(std::string_view json);

/** @return The report `{running, connections}`, or an error message that names the invalid member. */
[[nodiscard]] tl::expected<LoadReport, std::string> parseLoadReport(std::string_view json);

}
