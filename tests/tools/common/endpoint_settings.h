#pragma once

#include "berylspring/core/time.h"

#include <cstdint>
#include <string>

namespace berylspring::tools {

enum class LoadReporting {
    On, ///< Reports the current load.
    Stuck, ///< Repeats the first report.
    Off,
};

/** @brief Options of berylspring-fakeendpoint. */
struct EndpointSettings
{
    std::string service;
    std::string address = "127.0.0.1";
    std::string announcedAddress; ///< "IP:PORT" of a proxy to announce instead of the own address.
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    std::uint16_t nodeEndpointPort = 0; ///< 0: no announcement.
    std::uint16_t nodeCallerPort = 0; ///< 0: no nested calls.
    std::int64_t slots = 8;
    core::Duration serviceTime{}; ///< Mean time of a request.
    double jitter = 0; ///< The time of a request is uniform in mean x [1 - jitter, 1 + jitter).
    LoadReporting loadReporting = LoadReporting::On;
    bool doesAbortOnCrash = false;
    bool isHeaderRecordOn = true;
    [[nodiscard]] bool operator==(const EndpointSettings &) const = default;
};

/** @brief Behaviour that PUT /control changes while the endpoint runs. */
struct EndpointBehaviour
{
    core::Duration serviceTime{};
    bool isRefusing = false; ///< Every request gets status 503 immediately.
    bool isHanging = false; ///< Every request waits until its client disconnects.
    [[nodiscard]] bool operator==(const EndpointBehaviour &) const = default;
};

}
