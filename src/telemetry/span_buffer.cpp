#include "berylspring/telemetry/span_buffer.h"

#include <iterator>

namespace berylspring::telemetry {

void SpanBuffer::add(Span span)
{
    Shard &shard = m_shards[span->context.spanId() % ShardCount];
    const std::scoped_lock lock(shard.mutex);
    if (shard.spans.size() >= SpansPerShard) {
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    shard.spans.push_back(std::move(span));
}

std::vector<Span> SpanBuffer::takeAll()
{
    std::vector<Span> all;
    for (Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        std::move(shard.spans.begin(), shard.spans.end(), std::back_inserter(all));
        shard.spans.clear();
    }
    return all;
}

}
