#include "berylspring/http/endpoint_announcement.h"

#include "http/address.h"

#include <algorithm>
#include <array>
#include <optional>
#include <span>

#include <boost/json.hpp>

namespace berylspring::http {

namespace {

constexpr std::uint64_t MaxSlots = 100'000;
constexpr std::uint64_t MaxReportedCount = 1'000'000;
/** Limits how long a wrong report can slow an endpoint down; it is the same on the platform. */
constexpr std::uint64_t MaxColdMs = 86'400'000;

using tl::unexpected;

tl::expected<boost::json::object, std::string> parseObject(std::string_view json,
                                                           std::span<const std::string_view> members)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error || !value.is_object()) {
        return unexpected<std::string>("the body is not a JSON object");
    }
    for (const auto &member : value.as_object()) {
        if (std::find(members.begin(), members.end(), std::string_view(member.key())) == members.end()) {
            return unexpected<std::string>("unknown member: " + std::string(member.key()));
        }
    }
    return value.as_object();
}

std::optional<std::string> textMember(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::optional<std::string>(value->as_string()) : std::nullopt;
}

std::optional<std::uint32_t>
countMember(const boost::json::object &object, std::string_view name, std::uint64_t low, std::uint64_t high)
{
    const boost::json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_int64()) {
        return std::nullopt;
    }
    const std::int64_t number = value->as_int64();
    const bool isInRange =
        number >= 0 && static_cast<std::uint64_t>(number) >= low && static_cast<std::uint64_t>(number) <= high;
    return isInRange ? std::optional<std::uint32_t>(static_cast<std::uint32_t>(number)) : std::nullopt;
}

}

bool isServerAddress(std::string_view text)
{
    return detail::parseAddress(text).has_value();
}

tl::expected<EndpointHeartbeat, std::string> parseAnnouncement(std::string_view json)
{
    constexpr std::array<std::string_view, 4> Members{"service", "address", "slots", "cold_ms"};
    const auto object = parseObject(json, Members);
    if (!object) {
        return unexpected(object.error());
    }
    const auto service = textMember(*object, "service");
    if (!service || !core::isValidName(*service)) {
        return unexpected<std::string>("service is not a name of 1 to 63 characters a-z, 0-9 and '-'");
    }
    const auto address = textMember(*object, "address");
    if (!address || !isServerAddress(*address)) {
        return unexpected<std::string>("address is not an IP number with a port");
    }
    const auto slots = countMember(*object, "slots", 1, MaxSlots);
    if (!slots) {
        return unexpected<std::string>("slots is not a number from 1 to 100000");
    }
    const auto coldMs = object->contains("cold_ms") ? countMember(*object, "cold_ms", 0, MaxColdMs) : 0;
    if (!coldMs) {
        return unexpected<std::string>("cold_ms is not a number from 0 to 86400000");
    }
    return EndpointHeartbeat{.announcement = {core::ServiceId(*service), *address, *slots},
                             .coldFor = std::chrono::milliseconds(*coldMs)};
}

tl::expected<LoadReport, std::string> parseLoadReport(std::string_view json)
{
    constexpr std::array<std::string_view, 2> Members{"running", "connections"};
    const auto object = parseObject(json, Members);
    if (!object) {
        return unexpected(object.error());
    }
    const auto running = countMember(*object, "running", 0, MaxReportedCount);
    const auto connections = countMember(*object, "connections", 0, MaxReportedCount);
    if (!running || !connections) {
        return unexpected<std::string>("running and connections are numbers from 0 to 1000000");
    }
    return LoadReport{*running, *connections};
}

}
