#pragma once

#include "berylspring/config/error.h"
#include "berylspring/config/resource.h"
#include "berylspring/config/resource_type.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylspring::config {

enum class RecordKind {
    Put,
    Delete,
    Replace, ///< Replaces all resources by those of the record.
};

/** @brief One change in the log stream `config`. */
struct LogRecordFields
{
    std::string operationId; ///< A valid name; the same for repeated appends of one operation.
    RecordKind kind = RecordKind::Put;
    ResourceType type = ResourceType::Workspace;
    std::string name;
    std::optional<core::Offset> expectedVersion; ///< 0: the resource must not exist; no value: any version.
    std::string body; ///< JSON object: the resource of a put or the digest of a key deletion; else empty.
    std::vector<Resource> resources; ///< For a replacement; each resource follows those that it refers to.
    [[nodiscard]] bool operator==(const LogRecordFields &) const = default;
};

/** @brief Immutable record, read with `->`. */
class LogRecord : public core::Immutable<LogRecordFields>
{
public:
    using Immutable::Immutable;
};

[[nodiscard]] std::string toJson(const LogRecord &record);

/** @return The record, or Invalid with member, value and range. Of the body, only its JSON type is checked. */
[[nodiscard]] Result<LogRecord> parseLogRecord(std::string_view data);

}
