#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/config/log_record.h"
#include "config/persistent_map.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace berylspring::config::detail {

/** @brief A resource with the offset of the record that wrote it. */
struct StoredResource
{
    Resource resource;
    core::Offset version = 0;
};
using StoredResourcePtr = std::shared_ptr<const StoredResource>;

/** @return Index key of a route; unambiguous because a host has no slash and a prefix begins with one. */
[[nodiscard]] std::string routeKey(std::string_view host, std::string_view prefix);

/** @brief Contents of a catalogue and their indexes; changes return a modified copy. */
struct CatalogueTables
{
    std::array<PersistentMap<std::string, StoredResourcePtr>, ResourceTypes.size()> byName;
    PersistentMap<core::Digest, StoredResourcePtr> keysByDigest;
    PersistentMap<core::Digest, bool> withdrawn;
    PersistentMap<std::string, std::vector<StoredResourcePtr>> limitsByWorkspace; ///< By ascending version.
    PersistentMap<std::string, StoredResourcePtr> routesByPrefix; ///< By routeKey().
    PersistentMap<std::string, std::uint32_t> workspaceUses; ///< Number of keys and limits.
    PersistentMap<std::string, std::uint32_t> priorityUses; ///< Number of routes and workspaces.
    PersistentMap<std::string, OperationResult> operations;

    [[nodiscard]] StoredResourcePtr find(ResourceType type, std::string_view name) const;
    /** @return A copy in which the resource is added, or replaces the one with the same type and name. */
    [[nodiscard]] CatalogueTables withStored(const StoredResourcePtr &stored) const;
    [[nodiscard]] CatalogueTables withoutResource(ResourceType type, const std::string &name) const;
    [[nodiscard]] CatalogueTables withWithdrawn(const core::Digest &digest) const;
    [[nodiscard]] CatalogueTables withOperation(const std::string &operationId, OperationResult result) const;
};

/** @brief Result of applying a record to the tables. */
struct RecordEffect
{
    CatalogueTables tables;
    Verdict verdict = Verdict::Void;
    VoidReason reason = VoidReason::None;
};

/** @return The effect of a record with a new operation at an offset above 0. */
[[nodiscard]] RecordEffect effectOf(const CatalogueTables &tables, core::Offset offset, const LogRecord &record);

}
