#include "berylspring/core/outcome.h"

#include <algorithm>
#include <array>
#include <utility>

namespace berylspring::core {

namespace {

constexpr std::array<std::pair<Outcome, std::string_view>, 3> Outcomes{{
    {Outcome::Answered, "answered"},
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}};

constexpr std::array<std::pair<RefusalReason, std::string_view>, 17> Reasons{{
    {RefusalReason::BadRequest, "bad-request"},
    {RefusalReason::KeyMissing, "key-missing"},
    {RefusalReason::KeyInvalid, "key-invalid"},
    {RefusalReason::WorkspaceRefused, "workspace-refused"},
    {RefusalReason::RouteUnknown, "route-unknown"},
    {RefusalReason::LimitExceeded, "limit-exceeded"},
    {RefusalReason::Overloaded, "overloaded"},
    {RefusalReason::NoEndpoint, "no-endpoint"},
    {RefusalReason::Draining, "draining"},
    {RefusalReason::DeadlineExceeded, "deadline-exceeded"},
    {RefusalReason::BodyTooLarge, "body-too-large"},
    {RefusalReason::Quarantined, "quarantined"},
    {RefusalReason::ConnectionLost, "connection-lost"},
    {RefusalReason::HomeUnreachable, "home-unreachable"},
    {RefusalReason::ClaimUnknown, "claim-unknown"},
    {RefusalReason::NotReady, "not-ready"},
    {RefusalReason::Cancelled, "cancelled"},
}};

template<typename Table, typename Value>
std::string_view textOf(const Table &table, Value value) noexcept
{
    const auto found =
        std::find_if(table.begin(), table.end(), [&](const auto &entry) { return entry.first == value; });
    return found == table.end() ? std::string_view("invalid") : found->second;
}

template<typename Value, typename Table>
std::optional<Value> valueOf(const Table &table, std::string_view text) noexcept
{
    const auto found =
        std::find_if(table.begin(), table.end(), [&](const auto &entry) { return entry.second == text; });
    return found == table.end() ? std::nullopt : std::optional<Value>(found->first);
}

}

std::string_view toString(Outcome outcome) noexcept
{
    return textOf(Outcomes, outcome);
}

std::string_view toString(RefusalReason reason) noexcept
{
    return textOf(Reasons, reason);
}

std::optional<Outcome> outcomeFromString(std::string_view text) noexcept
{
    return valueOf<Outcome>(Outcomes, text);
}

std::optional<RefusalReason> refusalReasonFromString(std::string_view text) noexcept
{
    return valueOf<RefusalReason>(Reasons, text);
}

}
