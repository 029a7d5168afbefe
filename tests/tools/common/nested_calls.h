#pragma once

#include <string>
#include <vector>

namespace berylspring::tools {

/**
 * @brief The calls that a request asks its endpoint to make, one after the other.
 *
 * `nested=/a,/b;/c` makes the endpoint call /a and /b, and each of them call /c. `depth` (default: the number of
 * levels) repeats the last level until it is used up. `leaf=fail:503,work_ms:20` becomes the query of the last level.
 *
 * @param target Target of the request.
 * @return Targets of the calls; `root` is passed on.
 */
[[nodiscard]] std::vector<std::string> nestedTargets(const std::string &target);

}
