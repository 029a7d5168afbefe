#include "berylspring/config/catalogue.h"

#include "config/catalogue_tables.h"
#include "config/json_reader.h"
#include "config/resource_json.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/json.hpp>

namespace berylspring::config {

namespace json = boost::json;
using detail::CatalogueTables;
using detail::JsonReader;
using detail::StoredResourcePtr;

namespace {

constexpr core::Offset MaxOffset = std::numeric_limits<core::Offset>::max();

json::array resourcesOf(const CatalogueTables &tables)
{
    json::array resources;
    for (const ResourceType type : ResourceTypes) {
        std::vector<StoredResourcePtr> sorted;
        tables.byName.at(static_cast<std::size_t>(type))
            .forEach([&](const std::string &, const StoredResourcePtr &stored) { sorted.push_back(stored); });
        std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) {
            return nameOf(a->resource) < nameOf(b->resource);
        });
        for (const StoredResourcePtr &stored : sorted) {
            resources.push_back(json::object{{"type", json::string_view(toString(type))},
                                             {"version", stored->version},
                                             {"body", detail::writeResource(stored->resource)}});
        }
    }
    return resources;
}

json::array withdrawnOf(const CatalogueTables &tables)
{
    std::vector<core::Digest> sorted;
    tables.withdrawn.forEach([&](const core::Digest &digest, bool) { sorted.push_back(digest); });
    std::sort(sorted.begin(), sorted.end());
    json::array digests;
    for (const core::Digest &digest : sorted) {
        digests.emplace_back(digest.toHex());
    }
    return digests;
}

/** Omits operations outside the window, so that the text does not depend on when buckets were pruned. */
json::array operationsOf(const CatalogueTables &tables, core::Offset appliedOffset)
{
    std::vector<std::pair<OperationResult, std::string>> sorted;
    tables.operations.forEach([&](const std::string &id, const OperationResult &result) {
        if (result.offset + Catalogue::OperationWindow >= appliedOffset) {
            sorted.emplace_back(result, id);
        }
    });
    std::sort(sorted.begin(), sorted.end());
    json::array operations;
    for (const auto &[result, id] : sorted) {
        operations.push_back(
            json::object{{"id", id}, {"offset", result.offset}, {"reason", static_cast<unsigned>(result.reason)}});
    }
    return operations;
}

const json::object &objectOrEmpty(const json::value &value)
{
    static const json::object empty;
    const json::object *object = value.if_object();
    return object == nullptr ? empty : *object;
}

Result<CatalogueTables> withResourceFrom(const CatalogueTables &tables, const json::value &value)
{
    JsonReader reader(objectOrEmpty(value));
    const auto type = resourceTypeFromString(reader.text("type"));
    if (!type) {
        reader.fail("type", "a resource type");
    }
    const core::Offset version = reader.integer("version", 1, MaxOffset - 1);
    const json::object *body = reader.object("body");
    if (body == nullptr) {
        reader.fail("body", "an object");
    }
    if (auto error = reader.finish()) {
        return tl::unexpected(std::move(*error));
    }
    JsonReader nameReader(*body);
    const std::string name = nameReader.name("name");
    auto resource = detail::readResource(*type, name, *body);
    if (!resource) {
        return tl::unexpected(resource.error());
    }
    return tables.withStored(
        std::make_shared<const detail::StoredResource>(detail::StoredResource{std::move(*resource), version}));
}

Result<CatalogueTables> withWithdrawnFrom(const CatalogueTables &tables, const json::value &value)
{
    const json::string *text = value.if_string();
    const auto digest =
        text == nullptr ? std::nullopt : core::Digest::fromHex(std::string_view(text->data(), text->size()));
    if (!digest) {
        return tl::unexpected(Error::invalid("withdrawn", "an entry", "a digest of 64 hexadecimal digits"));
    }
    return tables.withWithdrawn(*digest);
}

Result<CatalogueTables> withOperationFrom(const CatalogueTables &tables, const json::value &value)
{
    JsonReader reader(objectOrEmpty(value));
    const std::string id = reader.name("id");
    const core::Offset offset = reader.integer("offset", 0, MaxOffset - 1);
    const auto reason = static_cast<VoidReason>(reader.integer("reason", 0, VoidReasonCount - 1));
    if (auto error = reader.finish()) {
        return tl::unexpected(std::move(*error));
    }
    return tables.withOperation(id, {offset, reason});
}

template<typename Add>
Result<CatalogueTables> foldArray(CatalogueTables tables, const json::array &values, Add add)
{
    for (const json::value &value : values) {
        auto next = add(tables, value);
        if (!next) {
            return next;
        }
        tables = std::move(*next);
    }
    return tables;
}

}

std::string Catalogue::toJson() const
{
    return json::serialize(json::object{{"as_of", m_appliedOffset},
                                        {"resources", resourcesOf(*m_tables)},
                                        {"withdrawn", withdrawnOf(*m_tables)},
                                        {"operations", operationsOf(*m_tables, m_appliedOffset)}});
}

Result<Catalogue> Catalogue::fromJson(std::string_view text)
{
    const auto object = detail::parseObject(text);
    if (!object) {
        return tl::unexpected(object.error());
    }
    JsonReader reader(*object);
    const core::Offset asOf = reader.integer("as_of", 0, MaxOffset - 1);
    const json::array *resources = reader.array("resources");
    const json::array *withdrawn = reader.array("withdrawn");
    const json::array *operations = reader.array("operations");
    if (auto error = reader.finish()) {
        return tl::unexpected(std::move(*error));
    }
    auto tables = foldArray(CatalogueTables(), *resources, withResourceFrom);
    if (tables) {
        tables = foldArray(std::move(*tables), *withdrawn, withWithdrawnFrom);
    }
    if (tables) {
        tables = foldArray(std::move(*tables), *operations, withOperationFrom);
    }
    if (!tables) {
        return tl::unexpected(tables.error());
    }
    return Catalogue(asOf, std::make_shared<const CatalogueTables>(std::move(*tables)));
}

}
