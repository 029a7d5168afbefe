#include "berylspring/telemetry/metrics.h"

#include "berylspring/core/sharded_map.h"

#include <array>
#include <cstdint>
#include <mutex>

#include <prometheus/collectable.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace berylspring::telemetry {

namespace {

constexpr std::array<std::string_view, 3> HopNames{"entry", "queue", "endpoint"};

const prometheus::Histogram::BucketBoundaries HopBucketsSeconds{
    0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

/** @return A number for each combination of the labels of a counter of requests. */
std::uint32_t
requestKey(core::Outcome outcome, std::optional<core::RefusalReason> reason, core::PriorityLevel priority) noexcept
{
    constexpr std::uint32_t ValuesPerLabel = 256;
    const std::uint32_t reasonNumber = reason ? static_cast<std::uint32_t>(*reason) + 1 : 0;
    return (static_cast<std::uint32_t>(outcome) * ValuesPerLabel + reasonNumber) * ValuesPerLabel + priority;
}

}

class Metrics::Implementation
{
public:
    Implementation()
        : m_registry(std::make_shared<prometheus::Registry>())
        , m_requests(prometheus::BuildCounter()
                         .Name("berylspring_requests_total")
                         .Help("Finished requests of callers by outcome, reason of refusal and priority level")
                         .Register(*m_registry))
        , m_retries(prometheus::BuildCounter()
                        .Name("berylspring_retries_total")
                        .Help("Requests that this node sent again")
                        .Register(*m_registry)
                        .Add({}))
        , m_hopSeconds(prometheus::BuildHistogram()
                           .Name("berylspring_hop_seconds")
                           .Help("Time of requests by hop")
                           .Register(*m_registry))
    {
        for (std::size_t hop = 0; hop < HopNames.size(); ++hop) {
            m_hops[hop] = &m_hopSeconds.Add({{"hop", std::string(HopNames[hop])}}, HopBucketsSeconds);
        }
    }

    void countRequest(core::Outcome outcome, std::optional<core::RefusalReason> reason, core::PriorityLevel priority)
    {
        // Looking a counter up by its labels takes longer than all other work of a metric.
        const std::uint32_t key = requestKey(outcome, reason, priority);
        prometheus::Counter *counter = m_requestCounters.find(key).value_or(nullptr);
        if (counter == nullptr) {
            counter = &m_requests.Add({{"outcome", std::string(core::toString(outcome))},
                                       {"reason", reason ? std::string(core::toString(*reason)) : std::string()},
                                       {"priority", std::to_string(priority)}});
            m_requestCounters.insertOrAssign(key, counter);
        }
        counter->Increment();
    }

    void countRetry()
    {
        m_retries.Increment();
    }

    void observe(Hop hop, core::Duration time)
    {
        m_hops[static_cast<std::size_t>(hop)]->Observe(std::chrono::duration<double>(time).count());
    }

    void addSource(std::function<std::vector<Sample>()> source)
    {
        const std::scoped_lock lock(m_sourcesMutex);
        m_sources.push_back(std::move(source));
    }

    std::string text()
    {
        for (const auto &source : sources()) {
            for (const Sample &sample : source()) {
                prometheus::BuildGauge()
                    .Name(sample.name)
                    .Help(sample.name)
                    .Register(*m_registry)
                    .Add(sample.labels)
                    .Set(sample.value);
            }
        }
        return prometheus::TextSerializer().Serialize(m_registry->Collect());
    }

private:
    std::vector<std::function<std::vector<Sample>()>> sources()
    {
        const std::scoped_lock lock(m_sourcesMutex);
        return m_sources;
    }

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    core::ShardedMap<std::uint32_t, prometheus::Counter *> m_requestCounters; ///< By requestKey().
    prometheus::Counter &m_retries;
    prometheus::Family<prometheus::Histogram> &m_hopSeconds;
    std::array<prometheus::Histogram *, HopNames.size()> m_hops{};
    std::mutex m_sourcesMutex;
    std::vector<std::function<std::vector<Sample>()>> m_sources;
};

Metrics::Metrics()
    : m_implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(core::Outcome outcome,
                           std::optional<core::RefusalReason> reason,
                           core::PriorityLevel priority)
{
    m_implementation->countRequest(outcome, reason, priority);
}

void Metrics::countRetry()
{
    m_implementation->countRetry();
}

void Metrics::observe(Hop hop, core::Duration time)
{
    m_implementation->observe(hop, time);
}

void Metrics::addSource(std::function<std::vector<Sample>()> source)
{
    m_implementation->addSource(std::move(source));
}

std::string Metrics::text()
{
    return m_implementation->text();
}

}
