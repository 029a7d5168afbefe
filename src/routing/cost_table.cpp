#include "berylspring/routing/cost_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <xxhash.h>

namespace berylspring::routing {

namespace {

/** Samples after which an estimate forgets the older ones: one sample of five times the mean moves it by 6%. */
constexpr double MaxWeight = 64;
/** Old samples lose weight even without new ones, so that a class that is rarely used is learned anew. */
constexpr core::Duration HalfLife = std::chrono::seconds(30);
/** Samples that the estimate of the service counts for in a class that is new. */
constexpr double PriorWeight = 2;

}

CostClass costClassOf(const core::RouteId &route, std::string_view method) noexcept
{
    const std::uint64_t seed = XXH64(method.data(), method.size(), 0);
    const std::uint64_t hash = XXH64(route.value().data(), route.value().size(), seed);
    return static_cast<CostClass>(std::max<std::uint64_t>(hash, 1));
}

bool showsCost(std::uint16_t status) noexcept
{
    constexpr std::uint16_t TooManyRequests = 429;
    constexpr std::uint16_t FirstServerError = 500;
    return status < FirstServerError && status != TooManyRequests;
}

CostEstimate::CostEstimate(double mean, double spread, double weight) noexcept
    : m_mean(mean)
    , m_variance(spread * spread)
    , m_weight(weight)
{
}

CostEstimate CostEstimate::withSample(double seconds, core::TimePoint now) const noexcept
{
    CostEstimate next = *this;
    const bool isFirst = m_usedAt == core::TimePoint();
    const auto age = static_cast<double>(std::max(core::Duration::zero(), now - m_usedAt).count());
    const double decay = isFirst ? 1 : std::exp2(-age / static_cast<double>(HalfLife.count()));
    next.m_weight = std::min(m_weight * decay, MaxWeight - 1) + 1;
    next.m_usedAt = now;
    const double difference = seconds - m_mean;
    next.m_mean += difference / next.m_weight;
    next.m_variance += (difference * (seconds - next.m_mean) - m_variance) / next.m_weight;
    return next;
}

double CostEstimate::spread() const noexcept
{
    return std::sqrt(std::max(0.0, m_variance));
}

void CostTable::record(CostClass costClass, double seconds, core::TimePoint now)
{
    m_overall = m_overall.withSample(seconds, now);
    if (costClass == CostClass::None) {
        return;
    }
    auto found = m_classes.find(costClass);
    if (found == m_classes.end()) {
        if (m_classes.size() >= MaxClasses) {
            evictOldest();
        }
        const CostEstimate prior(m_overall.mean(), m_overall.spread(), PriorWeight);
        found = m_classes.emplace(costClass, prior).first;
    }
    found->second = found->second.withSample(seconds, now);
}

const CostEstimate &CostTable::estimate(CostClass costClass) const
{
    const auto found = m_classes.find(costClass);
    return found == m_classes.end() ? m_overall : found->second;
}

void CostTable::evictOldest()
{
    m_classes.erase(std::min_element(m_classes.begin(), m_classes.end(), [](const auto &left, const auto &right) {
        return left.second.usedAt() < right.second.usedAt();
    }));
}

}
