#pragma once

#include "berylspring/core/name.h"

#include <string_view>
#include <vector>

namespace berylspring::idempotency {

/** @brief Maps a name to its home data centre, identically on all nodes with the same declared data centres. */
class HomeSelection
{
public:
    /** @param declared All data centres of the deployment, reachable or not, in any order. */
    explicit HomeSelection(std::vector<core::DataCentreId> declared);

    /**
     * @param claimName Name made by claimName().
     * @return The prefix of a key "DC/rest" if DC is declared, else a choice by hash; empty if none is declared.
     */
    [[nodiscard]] core::DataCentreId dataCentreOf(std::string_view claimName) const;

    [[nodiscard]] bool operator==(const HomeSelection &) const = default;

private:
    std::vector<core::DataCentreId> m_declared; ///< Sorted, so that the order in the settings does not matter.
};

}
