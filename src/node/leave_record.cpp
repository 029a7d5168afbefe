#include "node/leave_record.h"

#include "node/json_text.h"

#include <optional>

#include <boost/json.hpp>

namespace berylspring::node::detail {

namespace {

namespace json = boost::json;

std::optional<wire::EndpointLeave> leaveOf(const json::value &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    const json::value *incarnation = value.as_object().if_contains("last_incarnation");
    if (incarnation == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code error;
    wire::EndpointLeave leave{.id = textOf(value.as_object(), "id"),
                              .lastIncarnation = incarnation->to_number<std::uint64_t>(error)};
    return error || leave.id.empty() ? std::nullopt : std::optional(std::move(leave));
}

}

std::string toJson(const LeaveRecord &record)
{
    json::array leaves;
    for (const wire::EndpointLeave &leave : record->leaves.list()) {
        leaves.push_back(json::object{{"id", leave.id}, {"last_incarnation", leave.lastIncarnation}});
    }
    return json::serialize(json::object{{"host", record->host.value()}, {"leaves", std::move(leaves)}});
}

tl::expected<LeaveRecord, std::string> parseLeaveRecord(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return tl::unexpected<std::string>("not a JSON object");
    }
    const std::string host = textOf(value.as_object(), "host");
    const json::value *leaves = value.as_object().if_contains("leaves");
    if (!core::isValidName(host) || leaves == nullptr || !leaves->is_array()) {
        return tl::unexpected<std::string>("host is not a name, or leaves is not a list");
    }
    std::vector<wire::EndpointLeave> list;
    for (const json::value &entry : leaves->as_array()) {
        auto leave = leaveOf(entry);
        if (!leave) {
            return tl::unexpected<std::string>("a leave has no id or last incarnation");
        }
        list.push_back(std::move(*leave));
    }
    return LeaveRecord({.host = core::HostId(host), .leaves = EndpointLeaves(list)});
}

}
