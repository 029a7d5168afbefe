#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace berylspring::config {

enum class ResourceType {
    Workspace,
    Key,
    Limit,
    Priority,
    Route,
    RequestLimits,
    Service,
    Evacuation,
};

inline constexpr std::array<ResourceType, 8> ResourceTypes{ResourceType::Workspace,
                                                           ResourceType::Key,
                                                           ResourceType::Limit,
                                                           ResourceType::Priority,
                                                           ResourceType::Route,
                                                           ResourceType::RequestLimits,
                                                           ResourceType::Service,
                                                           ResourceType::Evacuation};

/** @return The plural name used in URL paths and log records, for example "workspaces". */
[[nodiscard]] std::string_view toString(ResourceType type) noexcept;
[[nodiscard]] std::optional<ResourceType> resourceTypeFromString(std::string_view text) noexcept;

}
