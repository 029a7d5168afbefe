#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/config/log_record.h"

#include <optional>
#include <string>
#include <vector>

namespace berylspring::test {

/** @return The serialized log record of a put. */
inline std::string putRecord(const std::string &operationId,
                             config::ResourceType type,
                             const std::string &name,
                             const std::string &body,
                             std::optional<core::Offset> expectedVersion = {})
{
    return config::toJson(config::LogRecord({operationId, config::RecordKind::Put, type, name, expectedVersion, body}));
}

inline std::string deleteRecord(const std::string &operationId,
                                config::ResourceType type,
                                const std::string &name,
                                std::optional<core::Offset> expectedVersion = {},
                                const std::string &body = {})
{
    return config::toJson(
        config::LogRecord({operationId, config::RecordKind::Delete, type, name, expectedVersion, body}));
}

inline std::string keyBody(const std::string &workspace, const std::string &secret)
{
    return R"({"workspace":")" + workspace + R"(","digest":")" + core::sha256(secret).toHex() + "\"}";
}

/** @return The catalogue after folding the records at consecutive offsets from its applied offset. */
inline config::Catalogue folded(config::Catalogue catalogue, const std::vector<std::string> &records)
{
    for (const auto &record : records) {
        catalogue = catalogue.withRecord(catalogue.appliedOffset(), record).catalogue;
    }
    return catalogue;
}

/** @return An empty catalogue whose next offset can be a version. */
inline config::Catalogue startedCatalogue()
{
    return folded(config::Catalogue(), {"the first record never takes effect"});
}

}
