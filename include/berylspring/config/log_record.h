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
    Replace, ///< The resources of the record take the place of all that were there.
};

/** @brief One change as it stands in the log stream `config`. */
struct LogRecordFields
{
    std::string operationId; ///< A valid name; repeated appends of one operation carry the same.
    RecordKind kind = RecordKind::Put;
    ResourceType type = ResourceType::Workspace;
    std::string name;
    std::optional<core::Offset> expectedVersion; ///< 0: the resource must not exist; nothing: any version.
    std::string body; ///< JSON object: of a put the resource, of a key's deletion its digest, else empty.
    std::vector<Resource> resources; ///< Of a replacement, each after those that it refers to.
    [[nodiscard]] bool operator==(const LogRecordFields &) const = default;
};

/** @brief Immutable record, read with `->`. */
class LogRecord : public core::Immutable<LogRecordFields>
{
public:
    using Immutable::Immutable;
};

[[nodiscard]] std::string toJson(const LogRecord &record);

/** @return The record, or Invalid with member, value and range. The body is checked to be an object only. */
[[nodiscard]] Result<LogRecord> parseLogRecord(std::string_view data);

}
