#pragma once

#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace berylspring::node::detail {

/** @return The member if it is a string; otherwise empty. */
[[nodiscard]] inline std::string textOf(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *member = object.if_contains(name);
    return member != nullptr && member->is_string() ? std::string(member->as_string()) : std::string();
}

}
