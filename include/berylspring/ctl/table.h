#pragma once

#include <string>
#include <string_view>

namespace berylspring::ctl {

/**
 * @brief Lays out JSON as a table.
 * @param json An object with an array `items` of objects, or one object.
 * @return One line an item under a line of member names, or one line a member.
 */
[[nodiscard]] std::string toTable(std::string_view json);

}
