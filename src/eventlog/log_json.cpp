#include "eventlog/log_json.h"

#include <optional>
#include <utility>

#include <boost/json.hpp>

namespace berylspring::eventlog::detail {

namespace json = boost::json;

namespace {

std::optional<json::object> parseObject(std::string_view body)
{
    boost::system::error_code ec;
    json::value value = json::parse(json::string_view(body.data(), body.size()), ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::optional<core::Offset> offsetMember(const json::object &object, json::string_view name)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto offset = member->to_number<core::Offset>(ec);
    return ec ? std::nullopt : std::optional(offset);
}

std::optional<LogEntry> parseEntry(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const auto offset = offsetMember(*object, "offset");
    const json::value *data = object->if_contains("data");
    if (!offset || data == nullptr || !data->is_string()) {
        return std::nullopt;
    }
    return LogEntry{*offset, std::string(data->get_string())};
}

Error malformed(const char *what, bool maybeApplied = false)
{
    return {ErrorCode::Malformed, maybeApplied, std::string("answer of the log: ") + what};
}

}

Result<core::Offset> parseAppendResponse(std::string_view body)
{
    const auto object = parseObject(body);
    const auto offset = object ? offsetMember(*object, "offset") : std::nullopt;
    if (!offset) {
        return tl::unexpected(malformed("no offset of the appended record", true));
    }
    return *offset;
}

Result<LogPage> parseLogPage(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object) {
        return tl::unexpected(malformed("no JSON object"));
    }
    const auto first = offsetMember(*object, "first");
    const auto next = offsetMember(*object, "next");
    const json::value *records = object->if_contains("records");
    if (!first || !next || records == nullptr || !records->is_array()) {
        return tl::unexpected(malformed("records, first or next is missing"));
    }
    LogPageFields page{{}, *first, *next};
    for (const json::value &value : records->get_array()) {
        auto entry = parseEntry(value);
        if (!entry) {
            return tl::unexpected(malformed("a record without offset or data"));
        }
        if (!page.records.empty() && entry->offset <= page.records.back().offset) {
            return tl::unexpected(malformed("offsets do not ascend"));
        }
        page.records.push_back(std::move(*entry));
    }
    return LogPage(std::move(page));
}

Error parseExpired(std::string_view body)
{
    const auto object = parseObject(body);
    const auto first = object ? offsetMember(*object, "first") : std::nullopt;
    return first ? Error::expired(*first) : malformed("status 410 without the first offset");
}

}
