#include "integration/harness/scores.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace berylspring::test {

namespace {

constexpr auto RecoveryStep = std::chrono::milliseconds(100);
constexpr auto RecoveryWindow = std::chrono::milliseconds(500);
constexpr auto RecoveryHold = std::chrono::seconds(1);

/** @brief Totals of the calls of one tenant that were due in a period. */
struct TenantSum
{
    double asked = 0;
    double attempts = 0;
    double complete = 0;
    double limitRefusals = 0;
    double notRun = 0;
    double weight = 1;
    double limitPerSecond = 0;
};

std::map<std::string, TenantSum> tenantSums(const std::vector<ScoredClass> &classes, Period period)
{
    std::map<std::string, TenantSum> sums;
    for (const ScoredClass &scored : classes) {
        TenantSum &sum = sums[scored.tenant];
        sum.weight = scored.weight;
        sum.limitPerSecond = scored.limitPerSecond;
        for (const LoadSample &sample : scored.report.samples()) {
            if (sample.due < period.begin || sample.due >= period.end) {
                continue;
            }
            sum.asked += 1;
            sum.attempts += sample.attempts;
            sum.complete += sample.isComplete ? 1 : 0;
            const bool isRefused = !sample.isComplete && sample.outcome == core::Outcome::NotRun;
            sum.notRun += isRefused ? 1 : 0;
            sum.limitRefusals += isRefused && sample.reason == "limit-exceeded" ? 1 : 0;
        }
    }
    return sums;
}

}

double goodput(const std::vector<ScoredClass> &classes, Period period)
{
    double total = 0;
    for (const ScoredClass &scored : classes) {
        total += scored.report.goodput(period.begin, period.end);
    }
    return total;
}

std::optional<core::Duration>
recoveryTime(const std::vector<ScoredClass> &classes, core::Duration from, core::Duration end, double goodputPerSecond)
{
    std::optional<core::Duration> recoveredSince;
    for (core::Duration begin = from; begin + RecoveryWindow <= end; begin += RecoveryStep) {
        if (goodput(classes, {begin, begin + RecoveryWindow}) < goodputPerSecond) {
            recoveredSince.reset();
            continue;
        }
        recoveredSince = recoveredSince.value_or(begin);
        if (begin + RecoveryWindow - *recoveredSince >= RecoveryHold) {
            return *recoveredSince - from;
        }
    }
    return std::nullopt;
}

double worstServed(const std::vector<ScoredClass> &classes, Period period)
{
    std::vector<Demand> demands;
    std::vector<double> complete;
    double total = 0;
    for (const auto &entry : tenantSums(classes, period)) {
        const TenantSum &sum = entry.second;
        demands.push_back({.asked = sum.asked, .weight = sum.weight});
        complete.push_back(sum.complete);
        total += sum.complete;
    }
    const std::vector<double> fair = fairShares(demands, total);
    double worst = total > 0 ? 1 : 0;
    for (std::size_t i = 0; i < fair.size(); ++i) {
        worst = fair[i] > 0 ? std::min(worst, complete[i] / fair[i]) : worst;
    }
    return worst;
}

double worthServed(const std::vector<ScoredClass> &classes, Period period)
{
    double served = 0;
    double asked = 0;
    for (const ScoredClass &scored : classes) {
        for (const LoadSample &sample : scored.report.samples()) {
            if (sample.due >= period.begin && sample.due < period.end) {
                asked += scored.worth;
                served += sample.isComplete ? scored.worth : 0;
            }
        }
    }
    return asked > 0 ? served / asked : 0;
}

RefusalsWithinRate refusalsWithinRate(const std::vector<ScoredClass> &classes, Period period)
{
    double asked = 0;
    RefusalsWithinRate refusals;
    for (const auto &entry : tenantSums(classes, period)) {
        const TenantSum &sum = entry.second;
        if (sum.attempts > sum.limitPerSecond * period.seconds()) {
            continue;
        }
        asked += sum.asked;
        refusals.byLimiter += sum.limitRefusals;
        refusals.forAnyReason += sum.notRun;
    }
    return asked > 0 ? RefusalsWithinRate{refusals.byLimiter / asked, refusals.forAnyReason / asked}
                     : RefusalsWithinRate{};
}

std::vector<double> fairShares(const std::vector<Demand> &demands, double total)
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<bool> isSatisfied(demands.size(), false);
    double remaining = total;
    // Each round but the last satisfies at least one demand.
    for (std::size_t round = 0; round <= demands.size(); ++round) {
        double weight = 0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            weight += isSatisfied[i] ? 0 : demands[i].weight;
        }
        if (weight <= 0) {
            break;
        }
        const double perWeight = remaining / weight;
        bool hasSatisfied = false;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (!isSatisfied[i] && demands[i].asked <= perWeight * demands[i].weight) {
                shares[i] = demands[i].asked;
                remaining -= shares[i];
                isSatisfied[i] = true;
                hasSatisfied = true;
            }
        }
        if (!hasSatisfied) {
            for (std::size_t i = 0; i < demands.size(); ++i) {
                shares[i] = isSatisfied[i] ? shares[i] : perWeight * demands[i].weight;
            }
            break;
        }
    }
    return shares;
}

}
