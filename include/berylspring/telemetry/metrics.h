#pragma once

#include "berylspring/core/outcome.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylspring::telemetry {

/** @brief One gauge reading, collected at a scrape. */
struct Sample
{
    std::string name;
    double value = 0;
    std::map<std::string, std::string> labels;
    [[nodiscard]] bool operator==(const Sample &) const = default;
};

/** @brief Stage of the request path whose duration is measured. */
enum class Hop {
    Entry, ///< Total time at the entry node.
    Queue, ///< Waiting time in the admission queue.
    Endpoint, ///< Duration of the call to the endpoint.
};

/** @brief Metrics of one node in the Prometheus text format. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** @brief Counts a completed request of a caller. */
    void countRequest(core::Outcome outcome, std::optional<core::RefusalReason> reason, core::PriorityLevel priority);
    void countRetry();
    void observe(Hop hop, core::Duration time);
    /** @brief Registers a function that is called for gauge readings at each scrape. */
    void addSource(std::function<std::vector<Sample>()> source);
    /** @return All metrics in the text exposition format. */
    [[nodiscard]] std::string text();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
