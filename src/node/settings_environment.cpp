#include "berylspring/node/settings_environment.h"

#include <algorithm>
#include <array>
#include <locale>
#include <utility>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace berylspring::node {

namespace {

constexpr std::string_view Prefix = "BERYLSPRING_";
/** Read by other programs, which may share their environment with the daemon. */
constexpr std::array<std::string_view, 2> OtherVariables{"BERYLSPRING_CONFIG", "BERYLSPRING_TOKEN"};

}

std::optional<std::string> SettingsEnvironment::value(const std::string &setting) const
{
    const auto &values = (*this)->values;
    const auto found = values.find(settingsVariable(setting));
    return found == values.end() ? std::nullopt : std::optional(found->second);
}

std::string settingsVariable(std::string_view setting)
{
    std::string name = boost::algorithm::to_upper_copy(std::string(setting), std::locale::classic());
    std::replace(name.begin(), name.end(), '.', '_');
    return std::string(Prefix) + name;
}

SettingsEnvironment settingsEnvironment(const std::vector<std::string> &entries)
{
    SettingsEnvironmentFields fields;
    for (const std::string &entry : entries) {
        const std::size_t end = entry.find('=');
        if (!entry.starts_with(Prefix) || end == std::string::npos) {
            continue;
        }
        const std::string name = entry.substr(0, end);
        // The format of the file ignores surrounding spaces, too.
        std::string value = boost::algorithm::trim_copy(entry.substr(end + 1), std::locale::classic());
        const bool isOther = std::find(OtherVariables.begin(), OtherVariables.end(), name) != OtherVariables.end();
        if (!value.empty() && !isOther) {
            fields.values.emplace(name, std::move(value));
        }
    }
    return SettingsEnvironment(std::move(fields));
}

}
