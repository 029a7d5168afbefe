#include "node/quarantine_record.h"

#include "node/json_text.h"

#include <chrono>
#include <optional>

#include <boost/json.hpp>

namespace berylspring::node::detail {

namespace {

namespace json = boost::json;

std::optional<RecordedQuarantine> quarantineOf(const json::value &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.as_object();
    const auto digest = core::Digest::fromHex(textOf(object, "digest"));
    const std::string service = textOf(object, "service");
    const json::value *until = object.if_contains("until_ms");
    // The conversion to the finer ticks of the clock must not overflow.
    constexpr std::int64_t MaxUntilMs =
        std::chrono::floor<std::chrono::milliseconds>(core::WallTime::max().time_since_epoch()).count();
    const bool isTime =
        until != nullptr && until->is_int64() && until->as_int64() >= 0 && until->as_int64() <= MaxUntilMs;
    if (!digest || !core::isValidName(service) || !isTime) {
        return std::nullopt;
    }
    return RecordedQuarantine{
        *digest, core::ServiceId(service), core::WallTime(std::chrono::milliseconds(until->as_int64()))};
}

}

std::string toJson(const QuarantineRecord &record)
{
    json::array quarantines;
    for (const RecordedQuarantine &quarantine : record->quarantines) {
        const auto until = std::chrono::floor<std::chrono::milliseconds>(quarantine.until.time_since_epoch());
        quarantines.push_back(json::object{{"digest", quarantine.requestDigest.toHex()},
                                           {"service", quarantine.service.value()},
                                           {"until_ms", std::int64_t{until.count()}}});
    }
    return json::serialize(json::object{{"host", record->host.value()}, {"quarantines", std::move(quarantines)}});
}

tl::expected<QuarantineRecord, std::string> parseQuarantineRecord(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return tl::unexpected<std::string>("not a JSON object");
    }
    const std::string host = textOf(value.as_object(), "host");
    const json::value *quarantines = value.as_object().if_contains("quarantines");
    if (!core::isValidName(host) || quarantines == nullptr || !quarantines->is_array()) {
        return tl::unexpected<std::string>("host is not a name, or quarantines is not a list");
    }
    QuarantineRecordFields fields{.host = core::HostId(host), .quarantines = {}};
    for (const json::value &entry : quarantines->as_array()) {
        const auto quarantine = quarantineOf(entry);
        if (!quarantine) {
            return tl::unexpected<std::string>("a quarantine has no digest, service name or end");
        }
        fields.quarantines.push_back(*quarantine);
    }
    return QuarantineRecord(std::move(fields));
}

}
