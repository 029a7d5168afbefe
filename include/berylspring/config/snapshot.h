#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/core/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylspring::config {

/** @brief Exclusive upper bound of the size of a snapshot record. */
inline constexpr std::size_t MaxSnapshotRecordBytes = 256UL * 1024;
/** @brief Catalogue text in one record: escaping at most doubles it, and the other members take less than 1 KiB. */
inline constexpr std::size_t SnapshotChunkBytes = 120UL * 1024;

/**
 * @brief Splits a catalogue into records for the stream `snapshot`.
 * @param catalogue The catalogue.
 * @param snapshotId A valid name that is unique per call, so that chunks of two writers are not mixed.
 * @param chunkBytes Maximum size of the catalogue text in one record, at least 1.
 * @return The records in the order in which they are to be appended; with the default chunkBytes each is smaller than
 * MaxSnapshotRecordBytes.
 */
[[nodiscard]] std::vector<std::string>
toSnapshotRecords(const Catalogue &catalogue, std::string_view snapshotId, std::size_t chunkBytes = SnapshotChunkBytes);

/** @brief Assembles snapshots from records in any order. Not safe for concurrent use. */
class SnapshotAssembler
{
public:
    /** @brief Adds one record; malformed, stale and duplicate records are ignored. */
    void add(std::string_view data);

    /** @return The complete snapshot with the highest offset. */
    [[nodiscard]] const std::optional<Catalogue> &newest() const noexcept
    {
        return m_newest;
    }

private:
    using GroupId = std::pair<core::Offset, std::string>; ///< Offset and identifier of a snapshot.
    struct Group
    {
        std::string digest;
        std::size_t chunkCount = 0;
        std::map<std::size_t, std::string> chunks;
    };

    void complete(const GroupId &id);

    std::map<GroupId, Group> m_partial;
    std::optional<Catalogue> m_newest;
};

}
