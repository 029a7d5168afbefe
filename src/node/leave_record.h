#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/node/endpoint_leaves.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace berylspring::node::detail {

/** @brief The leaves that a host has acknowledged. A later record of the host replaces an earlier one. */
struct LeaveRecordFields
{
    core::HostId host;
    EndpointLeaves leaves;
    [[nodiscard]] bool operator==(const LeaveRecordFields &) const = default;
};
using LeaveRecord = core::Immutable<LeaveRecordFields>;

/** @return The record as JSON. */
[[nodiscard]] std::string toJson(const LeaveRecord &record);

/** @return The record, or a description of the first error. */
[[nodiscard]] tl::expected<LeaveRecord, std::string> parseLeaveRecord(std::string_view json);

}
