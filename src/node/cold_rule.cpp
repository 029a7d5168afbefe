#include "berylspring/node/cold_rule.h"

#include <algorithm>

namespace berylspring::node {

namespace {

/**
 * Share of the tolerated excess over the rate that the burst uses. The rest is for requests that are delayed between
 * the decision to start them and their arrival at the endpoint.
 */
constexpr double BurstShare = 0.5;

}

admission::ColdRule coldRule(const config::Service *service, const DeploymentBounds &bounds)
{
    if (service == nullptr || (*service)->coldRate <= 0) {
        return {};
    }
    const double rate = (*service)->coldRate;
    const double excess = rate * (bounds->coldExcess.value_or(1) - 1) + bounds->coldSlack.value_or(0);
    return {.rate = rate, .burst = std::max(1.0, BurstShare * excess), .coldTime = (*service)->coldTime};
}

}
