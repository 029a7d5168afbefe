#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/wire/messages.h"
#include "berylspring/wire/traffic_meter.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace berylspring::wire {

/** @brief Settings of PeerServer and PeerPool. The limits must be the same on all hosts of a fleet. */
struct PeerOptions
{
    core::HostId self;
    std::uint64_t bootId = 0; ///< Must be larger than at the previous start of this host.
    std::string secret; ///< Fleet secret.
    std::string dataCentre; ///< Of this host.
    /** Dictionary for the compression of short frames between data centres; empty: no compression. */
    std::string dictionary;
    std::size_t maxFrameBytes = std::size_t{4} * 1024 * 1024; ///< Size limit of a frame including its length prefix.
    /** In each interval of this length, both ends of a connection with a pending request send at least one frame. */
    core::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /** The same for a connection without one; an end of an earlier version expects a frame within silenceTimeout. */
    core::Duration idleHeartbeatInterval = std::chrono::milliseconds(1500);
    /** Timeout for connecting, for a missing reaction to a frame and for stalled writes. */
    core::Duration silenceTimeout = std::chrono::seconds(2);
    /** Timeout for receiving nothing at all. */
    core::Duration idleSilenceTimeout = std::chrono::seconds(4);
    core::Duration idleTimeout = std::chrono::seconds(30); ///< A connection without calls is closed after this time.
    /** The same to another data centre; after this time a new handshake takes fewer bytes than heartbeats. */
    core::Duration remoteIdleTimeout = std::chrono::seconds(6);
    std::size_t connectionsPerPeer = 1;
    /** Limit of the frames queued for writing on one connection. */
    std::size_t maxQueuedBytes = std::size_t{32} * 1024 * 1024;
    std::size_t maxConnections = 20'000; ///< Limit of the accepted connections of a server.
    std::size_t maxRunningRequests = 10'000; ///< Limit of the concurrent requests of one accepted connection.
    std::shared_ptr<TrafficMeter> traffic; ///< Counts the bytes of all connections; may be empty.
    [[nodiscard]] bool operator==(const PeerOptions &) const = default;
};

/**
 * @param typical Typical messages of the fleet; the most frequent one last, as the end is matched best.
 * @return The value for PeerOptions::dictionary; empty if there are no messages.
 */
[[nodiscard]] std::string makeDictionary(const std::vector<Message> &typical);

/** @brief Address on which a member accepts peer connections. */
struct PeerAddress
{
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    [[nodiscard]] auto operator<=>(const PeerAddress &) const = default;
};

}
