#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/core/name.h"
#include "berylspring/core/types.h"

#include <memory>
#include <mutex>
#include <vector>

namespace berylspring::node::detail {

/** @brief Data centres whose evacuation has begun or ended with a change of the configuration. */
struct EvacuationChange
{
    std::vector<core::DataCentreId> evacuated;
    std::vector<core::DataCentreId> returned;
    [[nodiscard]] bool operator==(const EvacuationChange &) const = default;
};

/** @brief The evacuations that are in force on this node. Thread-safe; a single shard under its own lock. */
class Evacuations
{
public:
    /**
     * @brief Puts the evacuations of a catalogue in force. A catalogue older than the last one is ignored, since
     * changes may be reported out of order.
     * @return What differs from before.
     */
    [[nodiscard]] EvacuationChange apply(const config::Catalogue &catalogue);
    /** @return Whether apply() has not been called yet for a catalogue with this applied offset or a later one. */
    [[nodiscard]] bool isBehind(core::Offset appliedOffset) const;
    /** @return The evacuated data centres, sorted by name; never null. */
    [[nodiscard]] std::shared_ptr<const std::vector<core::DataCentreId>> dataCentres() const;
    [[nodiscard]] bool isEvacuated(const core::DataCentreId &dataCentre) const;

private:
    mutable std::mutex m_mutex;
    core::Offset m_appliedOffset = 0;
    std::shared_ptr<const std::vector<core::DataCentreId>> m_dataCentres =
        std::make_shared<const std::vector<core::DataCentreId>>();
};

}
