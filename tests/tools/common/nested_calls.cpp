#include "tools/common/nested_calls.h"

#include "berylspring/http/messages.h"
#include "tools/common/response_body.h"

#include <algorithm>
#include <sstream>

namespace berylspring::tools {

namespace {

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

/** @return Query parameters, each with a leading "&", from "name:value,name:value". */
std::string leafQuery(const std::string &leaf)
{
    std::string query;
    for (std::string member : split(leaf, ',')) {
        std::replace(member.begin(), member.end(), ':', '=');
        query += "&" + member;
    }
    return query;
}

}

std::vector<std::string> nestedTargets(const std::string &target)
{
    const std::string nested = http::queryParameter(target, "nested");
    const auto levelCount = static_cast<double>(split(nested, ';').size());
    const double depth = queryNumber(target, "depth", levelCount);
    if (nested.empty() || depth < 1) {
        return {};
    }
    const std::size_t firstEnd = nested.find(';');
    const std::string root = http::queryParameter(target, "root");
    const std::string leaf = http::queryParameter(target, "leaf");
    std::string query = "?root=" + root;
    if (depth < 2) {
        query += leafQuery(leaf);
    } else {
        query += "&nested=" + (firstEnd == std::string::npos ? nested : nested.substr(firstEnd + 1));
        query += "&depth=" + std::to_string(static_cast<int>(depth) - 1);
        query += leaf.empty() ? std::string() : "&leaf=" + leaf;
    }
    std::vector<std::string> targets;
    for (const std::string &path : split(nested.substr(0, firstEnd), ',')) {
        targets.push_back(path + query);
    }
    return targets;
}

}
