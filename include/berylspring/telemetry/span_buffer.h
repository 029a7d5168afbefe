#pragma once

#include "berylspring/telemetry/span.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

namespace berylspring::telemetry {

/** @brief Bounded buffer of completed spans for the exporter; drops new spans when it is full. */
class SpanBuffer
{
public:
    static constexpr std::size_t ShardCount = 8;
    static constexpr std::size_t SpansPerShard = 512;

    void add(Span span);
    /** @return All buffered spans, which are removed from the buffer. */
    [[nodiscard]] std::vector<Span> takeAll();
    /** @return Number of spans dropped since construction. */
    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

private:
    struct Shard
    {
        std::mutex mutex;
        std::vector<Span> spans;
    };
    std::array<Shard, ShardCount> m_shards;
    std::atomic<std::uint64_t> m_dropped{0};
};

}
