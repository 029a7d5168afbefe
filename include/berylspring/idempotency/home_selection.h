#pragma once

#include "berylspring/core/name.h"

#include <string_view>
#include <vector>

namespace berylspring::idempotency {

/** @brief Home data centre of a name. All nodes with the same declared data centres agree on it at any time. */
class HomeSelection
{
public:
    /** @param declared All data centres of the deployment, live or not, in any order. */
    explicit HomeSelection(std::vector<core::DataCentreId> declared);

    /**
     * @param claimName Name made by claimName().
     * @return The prefix of the key, "DC/rest", if it is declared, else a choice by hash; empty without declared ones.
     */
    [[nodiscard]] core::DataCentreId dataCentreOf(std::string_view claimName) const;

    [[nodiscard]] bool operator==(const HomeSelection &) const = default;

private:
    std::vector<core::DataCentreId> m_declared; ///< Sorted, so that the order in the settings does not matter.
};

}
