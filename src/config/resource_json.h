#pragma once

#include "berylspring/config/resource.h"

#include <string_view>

#include <boost/json.hpp>

namespace berylspring::config::detail {

/** @brief Like parseResource(), for an already parsed JSON object. */
[[nodiscard]] Result<Resource>
readResource(ResourceType type, std::string_view name, const boost::json::object &object);
[[nodiscard]] boost::json::object writeResource(const Resource &resource);

}
