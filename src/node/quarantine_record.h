#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace berylspring::node::detail {

/** @brief A quarantine with its end in the time of day, which processes on all hosts share. */
struct RecordedQuarantine
{
    core::Digest requestDigest;
    core::ServiceId service;
    core::WallTime until;
    [[nodiscard]] bool operator==(const RecordedQuarantine &) const = default;
};

/** @brief The quarantines that a host has imposed. A later record of the host replaces an earlier one. */
struct QuarantineRecordFields
{
    core::HostId host;
    std::vector<RecordedQuarantine> quarantines;
    [[nodiscard]] bool operator==(const QuarantineRecordFields &) const = default;
};
using QuarantineRecord = core::Immutable<QuarantineRecordFields>;

/** @return The record as JSON; times have milliseconds. */
[[nodiscard]] std::string toJson(const QuarantineRecord &record);

/** @return The record, or a description of the first error. */
[[nodiscard]] tl::expected<QuarantineRecord, std::string> parseQuarantineRecord(std::string_view json);

}
