#include "berylspring/config/log_record.h"

#include "config/json_reader.h"

#include <limits>
#include <utility>

namespace berylspring::config {

namespace json = boost::json;

std::string toJson(const LogRecord &record)
{
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
    if (kind != "put" && kind != "delete") {
        reader.fail("kind", "\"put\" or \"delete\"");
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
