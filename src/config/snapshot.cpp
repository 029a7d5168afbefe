#include "berylspring/config/snapshot.h"

#include "berylspring/core/digest.h"
#include "config/json_reader.h"

#include <algorithm>
#include <limits>

namespace berylspring::config {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxChunks = 4096;
/** More than the two writers and their predecessors can leave incomplete at a time. */
constexpr std::size_t MaxPartialSnapshots = 8;

}

std::vector<std::string>
toSnapshotRecords(const Catalogue &catalogue, std::string_view snapshotId, std::size_t chunkBytes)
{
    const std::string text = catalogue.toJson();
    const std::string digest = core::sha256(text).toHex();
    const std::size_t chunkCount = (text.size() + chunkBytes - 1) / chunkBytes;
    std::vector<std::string> records;
    for (std::size_t chunk = 0; chunk < chunkCount; ++chunk) {
        records.push_back(json::serialize(json::object{{"as_of", catalogue.appliedOffset()},
                                                       {"id", json::string_view(snapshotId)},
                                                       {"chunk", chunk},
                                                       {"chunks", chunkCount},
                                                       {"digest", digest},
                                                       {"data", text.substr(chunk * chunkBytes, chunkBytes)}}));
    }
    return records;
}

void SnapshotAssembler::add(std::string_view data)
{
    const auto object = detail::parseObject(data);
    if (!object) {
        return;
    }
    detail::JsonReader reader(*object);
    const GroupId id(reader.integer("as_of", 0, std::numeric_limits<core::Offset>::max() - 1), reader.name("id"));
    const std::size_t chunkCount = reader.integer("chunks", 1, MaxChunks);
    const std::size_t chunk = reader.integer("chunk", 0, chunkCount - 1);
    const std::string digest = reader.text("digest");
    std::string text = reader.text("data");
    const bool isStale = m_newest && id.first <= m_newest->appliedOffset();
    if (reader.finish() || isStale) {
        return;
    }
    Group &group = m_partial.try_emplace(id, Group{digest, chunkCount, {}}).first->second;
    if (group.digest != digest || group.chunkCount != chunkCount) {
        return;
    }
    group.chunks.insert_or_assign(chunk, std::move(text));
    if (group.chunks.size() == group.chunkCount) {
        complete(id);
    } else if (m_partial.size() > MaxPartialSnapshots) {
        m_partial.erase(m_partial.begin());
    }
}

void SnapshotAssembler::complete(const GroupId &id)
{
    const Group &group = m_partial.at(id);
    std::string text;
    for (const auto &[chunk, part] : group.chunks) {
        text += part;
    }
    const bool isIntact = core::sha256(text).toHex() == group.digest;
    m_partial.erase(id);
    auto catalogue = isIntact ? Catalogue::fromJson(text) : tl::unexpected(Error(ErrorCode::Invalid, "digest"));
    if (catalogue && catalogue->appliedOffset() == id.first) {
        m_newest = std::move(*catalogue);
        std::erase_if(m_partial, [&](const auto &entry) { return entry.first.first <= id.first; });
    }
}

}
