#include "berylspring/routing/weighted_splitter.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace berylspring::routing {

core::ServiceId WeightedSplitter::choose(const core::RouteId &route, const std::vector<config::ServiceShare> &shares)
{
    if (shares.size() == 1) {
        return shares.front().service;
    }
    return m_splits.update(route, [&](std::optional<Split> &split) {
        if (!split || split->shares != shares) {
            split = Split{shares, std::vector<std::int64_t>(shares.size(), 0)};
        }
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            split->credits[i] += shares[i].weight;
            sum += shares[i].weight;
        }
        const auto best = std::max_element(split->credits.begin(), split->credits.end());
        *best -= sum;
        return shares[static_cast<std::size_t>(best - split->credits.begin())].service;
    });
}

}
