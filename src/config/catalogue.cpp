#include "berylspring/config/catalogue.h"

#include "config/catalogue_tables.h"
#include "config/path.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace berylspring::config {

using detail::CatalogueTables;
using detail::StoredResourcePtr;

namespace {

constexpr std::array<std::string_view, VoidReasonCount> ReasonTexts{
    "accepted",
    "the first record of the log never takes effect",
    "the operation is in the log already",
    "another change was made first",
    "there is no such resource",
    "the digest was withdrawn and is never accepted again",
    "the digest of a key cannot change",
    "another key has the digest",
    "another route has the prefix",
    "the workspace or priority does not exist",
    "other resources refer to it",
    "the offset was folded already",
};

template<typename Value>
const Value *valueOf(const StoredResourcePtr *stored)
{
    return stored == nullptr ? nullptr : std::get_if<Value>(&(*stored)->resource);
}

ResourceView viewOf(const detail::StoredResource &stored)
{
    return {nameOf(stored.resource), stored.version, toJson(stored.resource)};
}

}

std::string_view toString(VoidReason reason) noexcept
{
    return ReasonTexts.at(static_cast<std::size_t>(reason));
}

Catalogue::Catalogue()
    : m_tables(std::make_shared<const CatalogueTables>())
{
}

FoldResult Catalogue::withRecord(core::Offset offset, std::string_view data) const
{
    if (offset < m_appliedOffset) {
        return {*this, Verdict::Void, VoidReason::AlreadyFolded};
    }
    const Catalogue unchanged(offset + 1, m_tables);
    const auto record = parseLogRecord(data);
    if (!record) {
        return {unchanged, Verdict::Malformed, VoidReason::None};
    }
    if (offset == 0) {
        // Kept so that the writer finds its operation and repeats it.
        auto tables = m_tables->withOperation((*record)->operationId, {offset, VoidReason::FirstOffset});
        return {Catalogue(1, std::make_shared<const CatalogueTables>(std::move(tables))),
                Verdict::Void,
                VoidReason::FirstOffset};
    }
    const OperationResult *known = m_tables->operations.find((*record)->operationId);
    const bool isRepeatable = known == nullptr || known->reason == VoidReason::FirstOffset;
    if (!isRepeatable && known->offset + OperationWindow >= offset) {
        return {unchanged, Verdict::Void, VoidReason::Duplicate};
    }
    const detail::RecordEffect effect = detail::effectOf(*m_tables, offset, *record);
    if (effect.verdict == Verdict::Malformed) {
        return {unchanged, Verdict::Malformed, VoidReason::None};
    }
    auto tables = effect.tables.withOperation((*record)->operationId, {offset, effect.reason});
    return {Catalogue(offset + 1, std::make_shared<const CatalogueTables>(std::move(tables))),
            effect.verdict,
            effect.reason,
            (*record)->kind == RecordKind::Replace};
}

const Key *Catalogue::findKey(const core::Digest &digest) const
{
    return valueOf<Key>(m_tables->keysByDigest.find(digest));
}

bool Catalogue::isWithdrawn(const core::Digest &digest) const
{
    return m_tables->withdrawn.find(digest) != nullptr;
}

const Workspace *Catalogue::findWorkspace(const core::WorkspaceId &name) const
{
    return valueOf<Workspace>(m_tables->byName[static_cast<std::size_t>(ResourceType::Workspace)].find(name.value()));
}

const Limit *Catalogue::findLimit(const core::WorkspaceId &workspace) const
{
    const auto *limits = m_tables->limitsByWorkspace.find(workspace.value());
    return limits == nullptr ? nullptr : valueOf<Limit>(&limits->back());
}

const Priority *Catalogue::findPriority(const PriorityId &name) const
{
    return valueOf<Priority>(m_tables->byName[static_cast<std::size_t>(ResourceType::Priority)].find(name.value()));
}

const RequestLimits *Catalogue::requestLimits() const
{
    return valueOf<RequestLimits>(
        m_tables->byName[static_cast<std::size_t>(ResourceType::RequestLimits)].find(std::string_view("default")));
}

const Service *Catalogue::findService(const core::ServiceId &name) const
{
    return valueOf<Service>(m_tables->byName[static_cast<std::size_t>(ResourceType::Service)].find(name.value()));
}

bool Catalogue::isEvacuated(const core::DataCentreId &dataCentre) const
{
    return m_tables->byName[static_cast<std::size_t>(ResourceType::Evacuation)].find(dataCentre.value()) != nullptr;
}

const Key *Catalogue::findKeyNamed(std::string_view name) const
{
    return valueOf<Key>(m_tables->byName[static_cast<std::size_t>(ResourceType::Key)].find(name));
}

const Route *Catalogue::findRoute(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find_first_of("?#"));
    std::string buffer;
    if (path.find('%') != std::string_view::npos) {
        auto decoded = detail::decoded(path);
        if (!decoded) {
            return nullptr;
        }
        buffer = std::move(*decoded);
        path = buffer;
    }
    if (!detail::isUnambiguous(path)) {
        return nullptr;
    }
    // Prefixes are not longer than this. Without the limit, a long path would cost one lookup per segment.
    bool hasFinalSlash = false;
    if (path.size() > detail::MaxPrefixLength) {
        path = path.substr(0, path.rfind('/', detail::MaxPrefixLength));
        hasFinalSlash = true;
    }
    if (path.size() > 1 && path.back() == '/') {
        path.remove_suffix(1);
        hasFinalSlash = true;
    }
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const Route *route = name.empty() ? nullptr : findRouteOfHost(name, path, hasFinalSlash);
    return route != nullptr ? route : findRouteOfHost({}, path, hasFinalSlash);
}

const Route *Catalogue::findRouteOfHost(std::string_view host, std::string_view path, bool hasFinalSlash) const
{
    bool hasSlashBehind = hasFinalSlash;
    while (!path.empty() && path != "/") {
        const Route *route = valueOf<Route>(m_tables->routesByPrefix.find(detail::routeKey(host, path)));
        if (route != nullptr && (hasSlashBehind || (*route)->isForPrefixItself)) {
            return route;
        }
        path = path.substr(0, path.rfind('/'));
        hasSlashBehind = true;
    }
    return valueOf<Route>(m_tables->routesByPrefix.find(detail::routeKey(host, "/")));
}

std::optional<ResourceView> Catalogue::resource(ResourceType type, std::string_view name) const
{
    const StoredResourcePtr stored = m_tables->find(type, name);
    return stored ? std::optional(viewOf(*stored)) : std::nullopt;
}

std::vector<ResourceView> Catalogue::list(ResourceType type) const
{
    std::vector<ResourceView> views;
    m_tables->byName.at(static_cast<std::size_t>(type))
        .forEach([&](const std::string &, const StoredResourcePtr &stored) { views.push_back(viewOf(*stored)); });
    std::sort(views.begin(), views.end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    return views;
}

std::size_t Catalogue::resourceCount() const
{
    std::size_t count = 0;
    for (const auto &table : m_tables->byName) {
        count += table.size();
    }
    return count;
}

std::size_t Catalogue::withdrawnCount() const
{
    return m_tables->withdrawn.size();
}

std::optional<OperationResult> Catalogue::findOperation(std::string_view operationId) const
{
    const OperationResult *known = m_tables->operations.find(operationId);
    return known == nullptr ? std::nullopt : std::optional(*known);
}

}
