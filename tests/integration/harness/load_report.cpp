#include "integration/harness/load_report.h"

#include <algorithm>
#include <cmath>

namespace berylspring::test {

LoadReport::LoadReport(std::string name, std::vector<LoadSample> samples)
    : m_name(std::move(name))
    , m_samples(std::move(samples))
{
    std::sort(
        m_samples.begin(), m_samples.end(), [](const auto &left, const auto &right) { return left.due < right.due; });
}

std::uint64_t LoadReport::complete() const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_samples.begin(), m_samples.end(), [](const auto &sample) { return sample.isComplete; }));
}

std::uint64_t LoadReport::count(core::Outcome outcome) const
{
    return static_cast<std::uint64_t>(std::count_if(m_samples.begin(), m_samples.end(), [&](const auto &sample) {
        return sample.attempts > 0 && sample.outcome == outcome;
    }));
}

std::uint64_t LoadReport::mismatches() const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_samples.begin(), m_samples.end(), [](const auto &sample) { return sample.isMismatch; }));
}

std::uint64_t LoadReport::attempts() const
{
    std::uint64_t total = 0;
    for (const LoadSample &sample : m_samples) {
        total += sample.attempts;
    }
    return total;
}

std::uint64_t LoadReport::notSent() const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_samples.begin(), m_samples.end(), [](const auto &sample) { return sample.attempts == 0; }));
}

std::map<std::string, std::uint64_t> LoadReport::failures() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const LoadSample &sample : m_samples) {
        if (!sample.isComplete && sample.attempts > 0) {
            const std::string why = sample.reason.empty() ? std::to_string(sample.status) : sample.reason;
            ++counts[std::string(core::toString(sample.outcome)) + " " + why];
        }
    }
    return counts;
}

core::Duration LoadReport::latency(double quantile) const
{
    std::vector<core::Duration> latencies;
    for (const LoadSample &sample : m_samples) {
        if (sample.isComplete) {
            latencies.push_back(sample.latency);
        }
    }
    if (latencies.empty()) {
        return {};
    }
    const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(latencies.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, latencies.size()) - 1;
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(index), latencies.end());
    return latencies[index];
}

double LoadReport::goodput(core::Duration begin, core::Duration end) const
{
    const auto isIn = [&](const LoadSample &sample) {
        const core::Duration answered = sample.due + sample.latency;
        return sample.isComplete && answered >= begin && answered < end;
    };
    const auto count = std::count_if(m_samples.begin(), m_samples.end(), isIn);
    return static_cast<double>(count) / std::chrono::duration<double>(end - begin).count();
}

}
