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

/** @brief Size that no record of a snapshot reaches. */
inline constexpr std::size_t MaxSnapshotRecordBytes = 256UL * 1024;

/**
 * @brief Splits a catalogue into records for the stream `snapshot`.
 * @param catalogue The catalogue.
 * @param snapshotId A valid name, different for each call, so that chunks of two writers are not mixed.
 * @return Records below MaxSnapshotRecordBytes, in the order in which they are to be appended.
 */
[[nodiscard]] std::vector<std::string> toSnapshotRecords(const Catalogue &catalogue, std::string_view snapshotId);

/** @brief Puts snapshots together from their records, in any order; used by one coroutine at a time. */
class SnapshotAssembler
{
public:
    /** @brief Takes one record; malformed, stale and surplus ones are ignored. */
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
