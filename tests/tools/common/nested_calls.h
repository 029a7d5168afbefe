#pragma once

#include <string>
#include <vector>

namespace berylspring::tools {

/**
 * @brief Returns the nested calls that the endpoint makes for a request, in this order.
 *
 * `nested=/a,/b;/c` makes the endpoint call /a and /b, and each of them call /c. `depth` is the number of levels, by
 * default those listed; a greater one repeats the last level. `leaf=fail:503,work_ms:20` is added to the query of the
 * last level.
 *
 * @param target Target of the request.
 * @return Targets of the calls. The query parameter `root` is passed on.
 */
[[nodiscard]] std::vector<std::string> nestedTargets(const std::string &target);

}
