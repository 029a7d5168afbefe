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

/** @brief What a change of the store came to. */
struct StoreChange
{
    core::Offset appliedOffset = 0;
    bool hasAdvanced = false;
    std::size_t malformedCount = 0;
};

/** @brief The current catalogue and the records that led to it, for use by several threads. */
class CatalogueStore
{
public:
    /** @param historyRecords Number of records that are kept for peers. */
    explicit CatalogueStore(std::size_t historyRecords);

    [[nodiscard]] std::shared_ptr<const Catalogue> catalogue() const;
    [[nodiscard]] core::Offset appliedOffset() const;

    /**
     * @brief Folds records; those that are folded already are skipped.
     * @param from The source has no records from here to the first one; nothing happens if this is not yet reached.
     * @param entries Records in ascending order.
     */
    StoreChange fold(core::Offset from, std::vector<wire::LogEntry> entries);

    /** @brief Takes a snapshot, unless its offset is not above the applied one. */
    StoreChange replace(Catalogue catalogue);

    /**
     * @brief The answer to a peer.
     * @param from First offset that the peer lacks.
     * @param limit Most records.
     */
    [[nodiscard]] wire::RecordBatch batchFrom(core::Offset from, std::uint32_t limit) const;

    /** @return The record at an offset, if it is still in the history. */
    [[nodiscard]] std::optional<std::string> recordAt(core::Offset offset) const;

private:
    void publish(std::shared_ptr<const Catalogue> catalogue);
    [[nodiscard]] std::optional<wire::RecordBatch> batchFromHistory(core::Offset from, std::uint32_t limit) const;

    const std::size_t m_historyRecords;
    std::mutex m_changeMutex; ///< Held by the one thread that folds; taken before the others.
    mutable std::mutex m_currentMutex;
    std::shared_ptr<const Catalogue> m_current;
    mutable std::mutex m_historyMutex;
    std::deque<wire::LogEntry> m_history;
    core::Offset m_historyFrom = 0; ///< The history has all records from here to m_historyEnd.
    core::Offset m_historyEnd = 0;
};

}
