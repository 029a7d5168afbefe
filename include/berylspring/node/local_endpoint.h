#pragma once

#include "berylspring/admission/admission_service.h"
#include "berylspring/core/time.h"
#include "berylspring/http/client.h"
#include "berylspring/http/endpoint_announcement.h"
#include "berylspring/node/in_flight_table.h"
#include "berylspring/telemetry/span.h"
#include "berylspring/wire/datagrams.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::node {

/** @brief The endpoint on this host: what it has announced, and the HTTP calls to it. Thread-safe. */
class LocalEndpoint
{
public:
    /** An endpoint that does not renew its announcement for this time is taken to be gone. */
    static constexpr core::Duration AnnouncementLifetime = std::chrono::seconds(5);

    LocalEndpoint(boost::asio::any_io_executor executor,
                  std::uint64_t maxBodyBytes,
                  InFlightTable &inFlight,
                  core::RandomSource random,
                  telemetry::SpanSink spans);

    /** @return Whether it changes the endpoint rather than renewing the announcement. */
    bool announce(const http::EndpointAnnouncement &announcement, core::TimePoint now);
    void drain();
    void reportLoad(const http::LoadReport &report);
    /** @return Slots as announced and not expired; 0 without an endpoint. */
    [[nodiscard]] std::uint32_t slots(core::TimePoint now) const;
    [[nodiscard]] bool isDraining() const;
    /** @return State for the membership, with the load and level of the admission; nothing without an endpoint. */
    [[nodiscard]] std::optional<wire::EndpointState> state(const admission::AdmissionState &admission,
                                                           core::TimePoint now) const;

    /** @brief Sends a request to the endpoint with a context token for its nested calls. */
    [[nodiscard]] boost::asio::awaitable<admission::EndpointResult> call(wire::CallRequest request);

private:
    struct Known
    {
        http::EndpointAnnouncement announcement;
        core::TimePoint renewedAt;
        bool isDraining = false;
        std::uint32_t reportedRunning = 0;
        std::shared_ptr<http::Client> client;
    };
    [[nodiscard]] std::shared_ptr<http::Client> client() const;

    boost::asio::any_io_executor m_executor;
    std::uint64_t m_maxBodyBytes;
    InFlightTable &m_inFlight;
    core::RandomSource m_random;
    telemetry::SpanSink m_spans;
    mutable std::mutex m_mutex;
    std::optional<Known> m_known;
};

}
