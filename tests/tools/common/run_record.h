#pragma once

#include "berylspring/core/sharded_map.h"
#include "berylspring/http/messages.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace berylspring::tools {

/** @brief Counts the requests that an endpoint received and ran, for tests to read. */
class RunRecord
{
public:
    /** @param isHeaderRecordOn Whether header names and values are counted, too. */
    explicit RunRecord(bool isHeaderRecordOn);

    /** @brief A complete request has arrived. */
    void received(const http::Request &request);
    /** @brief The endpoint begins to run a request. Its effect counts from here on, even without a response. */
    void started(const http::Request &request);
    void finished();
    /** @brief The client disconnected before the response. */
    void cancelled();
    void crashed();

    /** @return JSON: effects and received by Idempotency-Key, runs by path, roots, headers and totals. */
    [[nodiscard]] std::string json() const;

private:
    using Counts = core::ShardedMap<std::string, std::uint64_t>;

    bool m_isHeaderRecordOn;
    Counts m_effects; ///< Runs by Idempotency-Key.
    Counts m_received; ///< Arrivals by Idempotency-Key.
    Counts m_runs; ///< Runs by path.
    Counts m_roots; ///< Runs by the query parameter root.
    Counts m_headers; ///< Arrivals by "name: value".
    std::atomic<std::uint64_t> m_arrivals{0};
    std::atomic<std::uint64_t> m_started{0};
    std::atomic<std::uint64_t> m_finished{0};
    std::atomic<std::uint64_t> m_cancelled{0};
    std::atomic<std::uint64_t> m_crashes{0};
    std::atomic<bool> m_isHeaderRecordFull{false};
};

}
