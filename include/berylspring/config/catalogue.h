#pragma once

#include "berylspring/config/error.h"
#include "berylspring/config/fold_result.h"
#include "berylspring/config/resource.h"
#include "berylspring/core/digest.h"
#include "berylspring/core/types.h"

#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylspring::config {

namespace detail {
struct CatalogueTables;
}

/** @brief A resource as the operator API returns it. */
struct ResourceView
{
    std::string name;
    core::Offset version = 0; ///< Offset of the record that wrote the resource; used as its ETag.
    std::string json;
    [[nodiscard]] bool operator==(const ResourceView &) const = default;
};

/** @brief Result of an operation in the log. */
struct OperationResult
{
    core::Offset offset = 0;
    VoidReason reason = VoidReason::None; ///< None: the operation was accepted.
    [[nodiscard]] auto operator<=>(const OperationResult &) const = default;
};

struct FoldResult;

/**
 * @brief The configuration that results from folding all records of the log below an offset. Immutable.
 *
 * Folding is deterministic: the same records give the same catalogue on every node. Copies share their unchanged parts.
 * Pointers returned by lookups stay valid for the lifetime of the catalogue that returned them.
 */
class Catalogue
{
public:
    /** Number of offsets for which operations are kept to detect duplicates. */
    static constexpr core::Offset OperationWindow = 4096;

    /** @brief The empty configuration at offset 0. */
    Catalogue();

    /** @return First offset that has not been folded. */
    [[nodiscard]] core::Offset appliedOffset() const noexcept
    {
        return m_appliedOffset;
    }

    /**
     * @brief Folds one record.
     * @param offset Offset of the record, at least appliedOffset().
     * @param data The record's data from the log.
     * @return A catalogue with applied offset offset + 1. The resources are unchanged if the record is void or
     * malformed. An offset below appliedOffset() returns this catalogue and AlreadyFolded.
     */
    [[nodiscard]] FoldResult withRecord(core::Offset offset, std::string_view data) const;

    /** @return The key with this digest, or null if it does not exist or was withdrawn. */
    [[nodiscard]] const Key *findKey(const core::Digest &digest) const;
    [[nodiscard]] bool isWithdrawn(const core::Digest &digest) const;
    [[nodiscard]] const Workspace *findWorkspace(const core::WorkspaceId &name) const;
    /** @return The workspace's limit with the highest version, or null. */
    [[nodiscard]] const Limit *findLimit(const core::WorkspaceId &workspace) const;
    [[nodiscard]] const Priority *findPriority(const PriorityId &name) const;
    /** @return The configured request limits, or null. */
    [[nodiscard]] const RequestLimits *requestLimits() const;
    /** @return The properties of the endpoints of a service, or null. */
    [[nodiscard]] const Service *findService(const core::ServiceId &name) const;
    /** @return Whether nothing may be sent to the endpoints of the data centre. */
    [[nodiscard]] bool isEvacuated(const core::DataCentreId &dataCentre) const;
    /** @return The key with this name, or null. */
    [[nodiscard]] const Key *findKeyNamed(std::string_view name) const;
    /**
     * @brief Finds the route with the longest prefix that ends at a segment boundary.
     *
     * Routes for any host are considered only if no route of the host matches.
     * @param host Value of `Host`; port and case are ignored.
     * @param path Path as received; the query and fragment are ignored.
     * @return Null if no route matches, and for paths that servers interpret differently (dot segments, empty segments,
     *         encoded slashes, backslashes, ';').
     */
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;

    [[nodiscard]] std::optional<ResourceView> resource(ResourceType type, std::string_view name) const;
    /** @return All resources of a type, sorted by name. */
    [[nodiscard]] std::vector<ResourceView> list(ResourceType type) const;
    /** @return Number of resources of all types. */
    [[nodiscard]] std::size_t resourceCount() const;
    [[nodiscard]] std::size_t withdrawnCount() const;
    /** @return The result of an operation within the last OperationWindow offsets. */
    [[nodiscard]] std::optional<OperationResult> findOperation(std::string_view operationId) const;

    /** @return The whole catalogue as ASCII-only JSON; equal catalogues give equal text. */
    [[nodiscard]] std::string toJson() const;
    [[nodiscard]] static Result<Catalogue> fromJson(std::string_view text);

private:
    /**
     * @param path Path without a trailing slash, except for "/".
     * @param hasFinalSlash Whether a trailing slash was removed.
     */
    [[nodiscard]] const Route *findRouteOfHost(std::string_view host, std::string_view path, bool hasFinalSlash) const;

    Catalogue(core::Offset appliedOffset, std::shared_ptr<const detail::CatalogueTables> tables)
        : m_appliedOffset(appliedOffset)
        , m_tables(std::move(tables))
    {
    }

    core::Offset m_appliedOffset = 0;
    std::shared_ptr<const detail::CatalogueTables> m_tables;
};

/** @brief Result of folding one record into a catalogue. */
struct FoldResult
{
    Catalogue catalogue;
    Verdict verdict = Verdict::Malformed;
    VoidReason reason = VoidReason::None; ///< Set if the verdict is Void.
    bool isReplacement = false; ///< The record replaces all resources.
};

}
