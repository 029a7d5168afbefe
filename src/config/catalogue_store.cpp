#include "config/catalogue_store.h"

#include <algorithm>
#include <utility>

namespace berylspring::config::detail {

namespace {

/** Keeps a response below the maximum frame size (4 MiB). */
constexpr std::size_t MaxBatchBytes = 1024UL * 1024;

bool isBefore(const wire::LogEntry &entry, core::Offset offset) noexcept
{
    return entry.offset < offset;
}

}

CatalogueStore::CatalogueStore(std::size_t historyRecords)
    : m_historyRecords(historyRecords)
    , m_current(std::make_shared<const Catalogue>())
{
}

std::shared_ptr<const Catalogue> CatalogueStore::catalogue() const
{
    const std::scoped_lock lock(m_currentMutex);
    return m_current;
}

core::Offset CatalogueStore::appliedOffset() const
{
    return catalogue()->appliedOffset();
}

void CatalogueStore::publish(std::shared_ptr<const Catalogue> catalogue)
{
    const std::scoped_lock lock(m_currentMutex);
    m_current = std::move(catalogue);
}

StoreChange CatalogueStore::fold(core::Offset from, std::vector<wire::LogEntry> entries)
{
    const std::scoped_lock changing(m_changeMutex);
    Catalogue next = *catalogue();
    const core::Offset before = next.appliedOffset();
    StoreChange change{.appliedOffset = before};
    if (from > before) {
        return change;
    }
    std::erase_if(entries, [&](const wire::LogEntry &entry) { return isBefore(entry, before); });
    for (const wire::LogEntry &entry : entries) {
        FoldResult result = next.withRecord(entry.offset, entry.data);
        change.malformedCount += result.verdict == Verdict::Malformed ? 1 : 0;
        if (result.isReplacement) {
            change.rejection = result.reason;
        }
        next = std::move(result.catalogue);
    }
    if (entries.empty()) {
        return change;
    }
    change.appliedOffset = next.appliedOffset();
    change.hasAdvanced = true;
    {
        const std::scoped_lock lock(m_historyMutex);
        std::move(entries.begin(), entries.end(), std::back_inserter(m_history));
        m_historyEnd = change.appliedOffset;
        while (m_history.size() > m_historyRecords) {
            m_historyFrom = m_history.front().offset + 1;
            m_history.pop_front();
        }
    }
    publish(std::make_shared<const Catalogue>(std::move(next)));
    return change;
}

StoreChange CatalogueStore::replace(Catalogue catalogue)
{
    const std::scoped_lock changing(m_changeMutex);
    const core::Offset before = appliedOffset();
    const core::Offset after = catalogue.appliedOffset();
    if (after <= before) {
        return {.appliedOffset = before};
    }
    {
        const std::scoped_lock lock(m_historyMutex);
        m_history.clear();
        m_historyFrom = after;
        m_historyEnd = after;
    }
    publish(std::make_shared<const Catalogue>(std::move(catalogue)));
    return {.appliedOffset = after, .hasAdvanced = true};
}

std::optional<wire::RecordBatch> CatalogueStore::batchFromHistory(core::Offset from, std::uint32_t limit) const
{
    const std::scoped_lock lock(m_historyMutex);
    if (from < m_historyFrom) {
        return std::nullopt;
    }
    wire::RecordBatchFields batch;
    std::size_t bytes = 0;
    auto entry = std::lower_bound(m_history.begin(), m_history.end(), from, isBefore);
    for (; entry != m_history.end() && batch.records.size() < limit && bytes < MaxBatchBytes; ++entry) {
        bytes += entry->data.size();
        batch.records.push_back(*entry);
    }
    batch.next = entry == m_history.end() ? std::max(from, m_historyEnd) : entry->offset;
    return wire::RecordBatch(std::move(batch));
}

wire::RecordBatch CatalogueStore::batchFrom(core::Offset from, std::uint32_t limit) const
{
    if (auto batch = batchFromHistory(from, limit)) {
        return std::move(*batch);
    }
    const auto current = catalogue();
    return wire::RecordBatch({current->toJson(), current->appliedOffset(), {}});
}

std::optional<std::string> CatalogueStore::recordAt(core::Offset offset) const
{
    const std::scoped_lock lock(m_historyMutex);
    const auto entry = std::lower_bound(m_history.begin(), m_history.end(), offset, isBefore);
    if (entry == m_history.end() || entry->offset != offset) {
        return std::nullopt;
    }
    return entry->data;
}

}
