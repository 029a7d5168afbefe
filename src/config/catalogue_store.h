#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/core/types.h"
#include "berylspring/wire/messages.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace berylspring::config::detail {

/** @brief Result of a change to the store. */
struct StoreChange
{
    core::Offset appliedOffset = 0;
    bool hasAdvanced = false;
    std::size_t malformedCount = 0;
    VoidReason rejection = VoidReason::None; ///< Why the last replacement of all resources was not accepted.
};

/** @brief The current catalogue and its most recent records. Thread-safe. */
class CatalogueStore
{
public:
    /** @param historyRecords Maximum number of records kept for peers. */
    explicit CatalogueStore(std::size_t historyRecords);

    [[nodiscard]] std::shared_ptr<const Catalogue> catalogue() const;
    [[nodiscard]] core::Offset appliedOffset() const;

    /**
     * @brief Folds records; those that are already folded are skipped.
     * @param from Offset from which the entries are complete: the source has no records between it and the first entry.
     * Nothing is folded if it is above the applied offset, because records would be missing.
     * @param entries Records in ascending order of offset.
     */
    StoreChange fold(core::Offset from, std::vector<wire::LogEntry> entries);

    /** @brief Replaces the catalogue by a snapshot if the snapshot's offset is above the applied offset. */
    StoreChange replace(Catalogue catalogue);

    /**
     * @brief Builds the response to a peer's pull; the whole catalogue if the history does not reach back to `from`.
     * @param from First offset that the peer is missing.
     * @param limit Maximum number of records.
     */
    [[nodiscard]] wire::RecordBatch batchFrom(core::Offset from, std::uint32_t limit) const;

    /** @return The record at the offset, if it is still in the history. */
    [[nodiscard]] std::optional<std::string> recordAt(core::Offset offset) const;

private:
    void publish(std::shared_ptr<const Catalogue> catalogue);
    [[nodiscard]] std::optional<wire::RecordBatch> batchFromHistory(core::Offset from, std::uint32_t limit) const;

    const std::size_t m_historyRecords;
    std::mutex m_changeMutex; ///< Serializes changes; locked before the other mutexes.
    mutable std::mutex m_currentMutex;
    std::shared_ptr<const Catalogue> m_current;
    mutable std::mutex m_historyMutex;
    std::deque<wire::LogEntry> m_history;
    core::Offset m_historyFrom = 0; ///< The history is complete from here up to m_historyEnd.
    core::Offset m_historyEnd = 0;
};

}
