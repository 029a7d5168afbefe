#include "berylspring/idempotency/claim_name.h"

namespace berylspring::idempotency {

namespace {

constexpr char Separator = '/';

}

std::string claimName(const core::WorkspaceId &workspace, const core::RouteId &route, std::string_view key)
{
    std::string name = workspace.value();
    name += Separator;
    name += route.value();
    name += Separator;
    name += key;
    return name;
}

std::string_view keyOf(std::string_view claimName) noexcept
{
    const auto first = claimName.find(Separator);
    if (first == std::string_view::npos) {
        return claimName;
    }
    const auto second = claimName.find(Separator, first + 1);
    return second == std::string_view::npos ? claimName : claimName.substr(second + 1);
}

std::string oneTimeKey(const core::DataCentreId &dataCentre, const core::RandomSource &random)
{
    return dataCentre.value() + Separator + "once-" + std::to_string(random()) + "-" + std::to_string(random());
}

}
