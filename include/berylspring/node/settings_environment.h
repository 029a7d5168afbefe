#pragma once

#include "berylspring/core/immutable.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylspring::node {

/** @brief Variables that may hold settings. */
struct SettingsEnvironmentFields
{
    std::map<std::string, std::string> values; ///< Not empty, without surrounding spaces, by name of the variable.
    [[nodiscard]] bool operator==(const SettingsEnvironmentFields &) const = default;
};

/**
 * @brief The part of the environment of a process that may hold settings.
 *
 * A copy is taken at the start, so that later changes of the environment have no effect. It may contain secrets:
 * neither it nor the values of unknown variables are logged.
 */
class SettingsEnvironment : public core::Immutable<SettingsEnvironmentFields>
{
public:
    using Immutable::Immutable;

    /** @return The value of the variable of a setting; empty if it is missing or blank. */
    [[nodiscard]] std::optional<std::string> value(const std::string &setting) const;
};

/** @return Name of the variable of a setting, for example BERYLSPRING_NODE_HOST of node.host. */
[[nodiscard]] std::string settingsVariable(std::string_view setting);

/**
 * @param entries Entries of the form NAME=VALUE, as in environ.
 * @return The variables that begin with BERYLSPRING_ and are not blank, except those of other uses
 * (BERYLSPRING_CONFIG and BERYLSPRING_TOKEN).
 */
[[nodiscard]] SettingsEnvironment settingsEnvironment(const std::vector<std::string> &entries);

}
