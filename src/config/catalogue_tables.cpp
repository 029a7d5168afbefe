#include "config/catalogue_tables.h"

#include "config/json_reader.h"

#include <algorithm>
#include <utility>

namespace berylspring::config::detail {

namespace {

using Counts = PersistentMap<std::string, std::uint32_t>;

Counts increased(const Counts &counts, const std::string &name)
{
    const std::uint32_t *count = counts.find(name);
    return counts.with(name, count == nullptr ? 1 : *count + 1);
}

Counts decreased(const Counts &counts, const std::string &name)
{
    const std::uint32_t *count = counts.find(name);
    return count == nullptr || *count <= 1 ? counts.without(name) : counts.with(name, *count - 1);
}

void index(CatalogueTables &tables, const StoredResourcePtr &stored)
{
    if (const auto *key = std::get_if<Key>(&stored->resource)) {
        tables.keysByDigest = tables.keysByDigest.with((*key)->digest, stored);
        tables.workspaceUses = increased(tables.workspaceUses, (*key)->workspace.value());
    } else if (const auto *limit = std::get_if<Limit>(&stored->resource)) {
        const std::string &workspace = (*limit)->workspace.value();
        const auto *known = tables.limitsByWorkspace.find(workspace);
        auto limits = known == nullptr ? std::vector<StoredResourcePtr>() : *known;
        const auto place = std::upper_bound(
            limits.begin(), limits.end(), stored, [](const auto &a, const auto &b) { return a->version < b->version; });
        limits.insert(place, stored);
        tables.limitsByWorkspace = tables.limitsByWorkspace.with(workspace, std::move(limits));
        tables.workspaceUses = increased(tables.workspaceUses, workspace);
    } else if (const auto *route = std::get_if<Route>(&stored->resource)) {
        tables.routesByPrefix = tables.routesByPrefix.with(routeKey((*route)->host, (*route)->prefix), stored);
        tables.priorityUses = increased(tables.priorityUses, (*route)->priority.value());
    } else if (const auto *workspace = std::get_if<Workspace>(&stored->resource);
               workspace != nullptr && !(*workspace)->priority.isEmpty()) {
        tables.priorityUses = increased(tables.priorityUses, (*workspace)->priority.value());
    }
}

void removeFromIndex(CatalogueTables &tables, const StoredResourcePtr &stored)
{
    if (const auto *key = std::get_if<Key>(&stored->resource)) {
        tables.keysByDigest = tables.keysByDigest.without((*key)->digest);
        tables.workspaceUses = decreased(tables.workspaceUses, (*key)->workspace.value());
    } else if (const auto *limit = std::get_if<Limit>(&stored->resource)) {
        const std::string &workspace = (*limit)->workspace.value();
        const auto *known = tables.limitsByWorkspace.find(workspace);
        auto limits = known == nullptr ? std::vector<StoredResourcePtr>() : *known;
        std::erase(limits, stored);
        tables.limitsByWorkspace = limits.empty() ? tables.limitsByWorkspace.without(workspace)
                                                  : tables.limitsByWorkspace.with(workspace, std::move(limits));
        tables.workspaceUses = decreased(tables.workspaceUses, workspace);
    } else if (const auto *route = std::get_if<Route>(&stored->resource)) {
        tables.routesByPrefix = tables.routesByPrefix.without(routeKey((*route)->host, (*route)->prefix));
        tables.priorityUses = decreased(tables.priorityUses, (*route)->priority.value());
    } else if (const auto *workspace = std::get_if<Workspace>(&stored->resource);
               workspace != nullptr && !(*workspace)->priority.isEmpty()) {
        tables.priorityUses = decreased(tables.priorityUses, (*workspace)->priority.value());
    }
}

bool hasWorkspace(const CatalogueTables &tables, const core::WorkspaceId &workspace)
{
    return tables.find(ResourceType::Workspace, workspace.value()) != nullptr;
}

VoidReason checkKey(const CatalogueTables &tables, const Key &key, const StoredResourcePtr &current)
{
    if (tables.withdrawn.find(key->digest) != nullptr) {
        return VoidReason::DigestWithdrawn;
    }
    if (current && std::get<Key>(current->resource)->digest != key->digest) {
        return VoidReason::DigestFixed;
    }
    const StoredResourcePtr *holder = tables.keysByDigest.find(key->digest);
    if (holder != nullptr && *holder != current) {
        return VoidReason::DigestInUse;
    }
    return hasWorkspace(tables, key->workspace) ? VoidReason::None : VoidReason::MissingReference;
}

VoidReason checkPriorityReference(const CatalogueTables &tables, const PriorityId &priority)
{
    const bool hasPriority = tables.find(ResourceType::Priority, priority.value()) != nullptr;
    return hasPriority ? VoidReason::None : VoidReason::MissingReference;
}

VoidReason checkRoute(const CatalogueTables &tables, const Route &route, const StoredResourcePtr &current)
{
    const StoredResourcePtr *holder = tables.routesByPrefix.find(routeKey(route->host, route->prefix));
    if (holder != nullptr && *holder != current) {
        return VoidReason::PrefixInUse;
    }
    return checkPriorityReference(tables, route->priority);
}

VoidReason checkPut(const CatalogueTables &tables, const Resource &resource, const StoredResourcePtr &current)
{
    if (const auto *key = std::get_if<Key>(&resource)) {
        return checkKey(tables, *key, current);
    }
    if (const auto *limit = std::get_if<Limit>(&resource)) {
        return hasWorkspace(tables, (*limit)->workspace) ? VoidReason::None : VoidReason::MissingReference;
    }
    if (const auto *route = std::get_if<Route>(&resource)) {
        return checkRoute(tables, *route, current);
    }
    if (const auto *workspace = std::get_if<Workspace>(&resource)) {
        return (*workspace)->priority.isEmpty() ? VoidReason::None
                                                : checkPriorityReference(tables, (*workspace)->priority);
    }
    return VoidReason::None;
}

bool isExpected(const LogRecord &record, const StoredResourcePtr &current)
{
    return !record->expectedVersion || *record->expectedVersion == (current ? current->version : 0);
}

RecordEffect effectOfPut(const CatalogueTables &tables, core::Offset offset, const LogRecord &record)
{
    auto resource = parseResource(record->type, record->name, record->body);
    if (!resource) {
        return {tables, Verdict::Malformed, VoidReason::None};
    }
    const StoredResourcePtr current = tables.find(record->type, record->name);
    if (!isExpected(record, current)) {
        return {tables, Verdict::Void, VoidReason::VersionMismatch};
    }
    const VoidReason rejection = checkPut(tables, *resource, current);
    if (rejection != VoidReason::None) {
        return {tables, Verdict::Void, rejection};
    }
    const auto stored = std::make_shared<const StoredResource>(StoredResource{std::move(*resource), offset});
    return {tables.withStored(stored), Verdict::Accepted, VoidReason::None};
}

/**
 * Withdraws the digest of the record even if the key of that name was changed meanwhile: nodes have refused the digest
 * since its tombstone was announced, and the log must not contradict them.
 */
RecordEffect
effectOfWithdrawal(const CatalogueTables &tables, const LogRecord &record, const StoredResourcePtr &current)
{
    std::optional<core::Digest> digest;
    if (!record->body.empty()) {
        const auto object = parseObject(record->body);
        JsonReader reader(*object);
        digest = core::Digest::fromHex(reader.text("digest"));
        if (!digest || reader.finish()) {
            return {tables, Verdict::Malformed, VoidReason::None};
        }
    } else if (current) {
        digest = std::get<Key>(current->resource)->digest;
    } else {
        return {tables, Verdict::Void, VoidReason::NotFound};
    }
    if (tables.withdrawn.find(*digest) != nullptr) {
        return {tables, Verdict::Void, VoidReason::DigestWithdrawn};
    }
    const StoredResourcePtr *holder = tables.keysByDigest.find(*digest);
    const auto without =
        holder == nullptr ? tables : tables.withoutResource(ResourceType::Key, nameOf((*holder)->resource));
    return {without.withWithdrawn(*digest), Verdict::Accepted, VoidReason::None};
}

bool isInUse(const CatalogueTables &tables, const LogRecord &record)
{
    return (record->type == ResourceType::Workspace && tables.workspaceUses.find(record->name) != nullptr)
           || (record->type == ResourceType::Priority && tables.priorityUses.find(record->name) != nullptr);
}

RecordEffect effectOfDelete(const CatalogueTables &tables, const LogRecord &record)
{
    const StoredResourcePtr current = tables.find(record->type, record->name);
    if (!isExpected(record, current)) {
        return {tables, Verdict::Void, VoidReason::VersionMismatch};
    }
    if (record->type == ResourceType::Key) {
        return effectOfWithdrawal(tables, record, current);
    }
    if (!current) {
        return {tables, Verdict::Void, VoidReason::NotFound};
    }
    if (isInUse(tables, record)) {
        return {tables, Verdict::Void, VoidReason::InUse};
    }
    return {tables.withoutResource(record->type, record->name), Verdict::Accepted, VoidReason::None};
}

/** Withdrawn keys stay withdrawn, because nodes may already refuse them. */
RecordEffect effectOfReplacement(const CatalogueTables &tables, core::Offset offset, const LogRecord &record)
{
    CatalogueTables next;
    next.withdrawn = tables.withdrawn;
    next.operations = tables.operations;
    for (const Resource &resource : record->resources) {
        const VoidReason rejection = checkPut(next, resource, next.find(typeOf(resource), nameOf(resource)));
        if (rejection != VoidReason::None) {
            return {tables, Verdict::Void, rejection};
        }
        next = next.withStored(std::make_shared<const StoredResource>(StoredResource{resource, offset}));
    }
    return {next, Verdict::Accepted, VoidReason::None};
}

}

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size());
    return key.append(host).append(prefix);
}

StoredResourcePtr CatalogueTables::find(ResourceType type, std::string_view name) const
{
    const StoredResourcePtr *stored = byName.at(static_cast<std::size_t>(type)).find(name);
    return stored == nullptr ? nullptr : *stored;
}

CatalogueTables CatalogueTables::withStored(const StoredResourcePtr &stored) const
{
    CatalogueTables copy = *this;
    const ResourceType type = typeOf(stored->resource);
    const std::string &name = nameOf(stored->resource);
    if (const StoredResourcePtr current = find(type, name)) {
        removeFromIndex(copy, current);
    }
    auto &table = copy.byName.at(static_cast<std::size_t>(type));
    table = table.with(name, stored);
    index(copy, stored);
    return copy;
}

CatalogueTables CatalogueTables::withoutResource(ResourceType type, const std::string &name) const
{
    CatalogueTables copy = *this;
    if (const StoredResourcePtr current = find(type, name)) {
        removeFromIndex(copy, current);
    }
    auto &table = copy.byName.at(static_cast<std::size_t>(type));
    table = table.without(name);
    return copy;
}

CatalogueTables CatalogueTables::withWithdrawn(const core::Digest &digest) const
{
    CatalogueTables copy = *this;
    copy.withdrawn = withdrawn.with(digest, true);
    return copy;
}

CatalogueTables CatalogueTables::withOperation(const std::string &operationId, OperationResult result) const
{
    CatalogueTables copy = *this;
    copy.operations = operations.with(operationId, result, [&](const OperationResult &known) {
        return known.offset + Catalogue::OperationWindow >= result.offset;
    });
    return copy;
}

RecordEffect effectOf(const CatalogueTables &tables, core::Offset offset, const LogRecord &record)
{
    switch (record->kind) {
    case RecordKind::Put:
        return effectOfPut(tables, offset, record);
    case RecordKind::Replace:
        return effectOfReplacement(tables, offset, record);
    case RecordKind::Delete:
        break;
    }
    return effectOfDelete(tables, record);
}

}
