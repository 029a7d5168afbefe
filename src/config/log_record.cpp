#include "berylspring/config/log_record.h"

#include "config/json_reader.h"
#include "config/resource_json.h"

#include <limits>
#include <utility>

namespace berylspring::config {

namespace json = boost::json;

namespace {

std::string replacementToJson(const LogRecord &record)
{
    json::array resources;
    resources.reserve(record->resources.size());
    for (const Resource &resource : record->resources) {
        resources.push_back(json::object{{"type", json::string_view(toString(typeOf(resource)))},
                                         {"body", detail::writeResource(resource)}});
    }
    return json::serialize(
        json::object{{"operation_id", record->operationId}, {"kind", "replace"}, {"resources", std::move(resources)}});
}

Result<Resource> parseReplacement(const json::value &value)
{
    static const json::object empty;
    const json::object *object = value.if_object();
    detail::JsonReader reader(object == nullptr ? empty : *object);
    const auto type = resourceTypeFromString(reader.text("type"));
    if (!type) {
        reader.fail("type", "a resource type");
    }
    const json::object *body = reader.object("body");
    if (body == nullptr) {
        reader.fail("body", "an object");
    }
    if (auto error = reader.finish()) {
        return tl::unexpected(std::move(*error));
    }
    detail::JsonReader nameReader(*body);
    const std::string name = nameReader.name("name");
    return detail::readResource(*type, name, *body);
}

Result<LogRecord> parseReplacementRecord(detail::JsonReader &reader, LogRecordFields fields)
{
    fields.kind = RecordKind::Replace;
    const json::array *resources = reader.array("resources");
    if (resources == nullptr) {
        reader.fail("resources", "an array");
    }
    if (auto error = reader.finish()) {
        return tl::unexpected(std::move(*error));
    }
    fields.resources.reserve(resources->size());
    for (const json::value &value : *resources) {
        auto resource = parseReplacement(value);
        if (!resource) {
            return tl::unexpected(resource.error());
        }
        fields.resources.push_back(std::move(*resource));
    }
    return LogRecord(std::move(fields));
}

}

std::string toJson(const LogRecord &record)
{
    if (record->kind == RecordKind::Replace) {
        return replacementToJson(record);
    }
    json::object object{{"operation_id", record->operationId},
                        {"kind", record->kind == RecordKind::Put ? "put" : "delete"},
                        {"resource_type", json::string_view(toString(record->type))},
                        {"name", record->name}};
    if (record->expectedVersion) {
        object.emplace("expected_version", *record->expectedVersion);
    }
    if (!record->body.empty()) {
        object.emplace("body", json::parse(record->body));
    }
    return json::serialize(object);
}

Result<LogRecord> parseLogRecord(std::string_view data)
{
    const auto object = detail::parseObject(data);
    if (!object) {
        return tl::unexpected(object.error());
    }
    detail::JsonReader reader(*object);
    LogRecordFields fields;
    fields.operationId = reader.name("operation_id");
    const std::string kind = reader.text("kind");
    if (kind == "replace") {
        return parseReplacementRecord(reader, std::move(fields));
    }
    if (kind != "put" && kind != "delete") {
        reader.fail("kind", "\"put\", \"delete\" or \"replace\"");
    }
    fields.kind = kind == "delete" ? RecordKind::Delete : RecordKind::Put;
    const auto type = resourceTypeFromString(reader.text("resource_type"));
    if (!type) {
        reader.fail("resource_type", "a resource type");
    }
    fields.type = type.value_or(ResourceType::Workspace);
    fields.name = reader.name("name");
    if (reader.contains("expected_version")) {
        fields.expectedVersion = reader.integer("expected_version", 0, std::numeric_limits<core::Offset>::max());
    }
    if (const json::object *body = reader.object("body")) {
        fields.body = json::serialize(*body);
    } else if (fields.kind == RecordKind::Put) {
        reader.fail("body", "an object");
    }
    if (auto error = reader.finish()) {
        return tl::unexpected(std::move(*error));
    }
    return LogRecord(std::move(fields));
}

}
