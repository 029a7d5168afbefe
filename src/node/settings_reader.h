#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/node/settings.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <boost/property_tree/ptree.hpp>

namespace berylspring::node::detail {

using boost::property_tree::ptree;

inline std::uint64_t millisecondsOf(core::Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/** @brief Internal exception; parseSettings() and loadSettings() convert it to an Error. */
struct InvalidValue
{
    std::string detail;
    std::vector<std::string> settings; ///< Names of the settings that the value depends on.
};

/** @param related Other settings that the range depends on. */
[[noreturn]] inline void reject(const std::string &name,
                                const std::string &value,
                                const std::string &range,
                                std::vector<std::string> related = {})
{
    related.insert(related.begin(), name);
    throw InvalidValue{"setting " + name + " = \"" + value + "\": must be " + range, std::move(related)};
}

/** @brief Reads values by "section.name" and records the names, so that unknown ones can be reported. */
class SettingsReader
{
public:
    SettingsReader(const ptree &tree, const SettingsEnvironment &environment)
        : m_tree(tree)
        , m_environment(environment)
    {
    }

    std::string
    text(const std::string &name, const std::string &fallback, SettingSource fallbackSource = SettingSource::Default)
    {
        if (auto value = textInFile(name)) {
            return record(name, std::move(*value), SettingSource::File);
        }
        if (auto value = m_environment.value(name)) {
            return record(name, std::move(*value), SettingSource::Environment);
        }
        return record(name, fallback, fallbackSource);
    }

    /** @brief Reads a text of which the environment is ignored. */
    std::string textWithoutEnvironment(const std::string &name)
    {
        auto value = textInFile(name);
        const SettingSource source = value ? SettingSource::File : SettingSource::Default;
        return record(name, std::move(value).value_or(std::string()), source);
    }

    /** @return Whether the setting has a value in the file that is not empty. */
    [[nodiscard]] bool isInFile(const std::string &name) const
    {
        return !textInFile(name).value_or(std::string()).empty();
    }

    std::string required(const std::string &name, const std::string &range)
    {
        std::string value = text(name, {});
        if (value.empty()) {
            reject(name, value, range);
        }
        return value;
    }

    std::uint64_t number(const std::string &name, std::uint64_t fallback, std::uint64_t low, std::uint64_t high)
    {
        return parseNumber(name, text(name, std::to_string(fallback)), low, high);
    }

    static std::uint64_t
    parseNumber(const std::string &name, const std::string &value, std::uint64_t low, std::uint64_t high)
    {
        std::uint64_t result = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), result);
        if (parsed.ec != std::errc{} || parsed.ptr != value.data() + value.size() || result < low || result > high) {
            reject(name, value, "a number from " + std::to_string(low) + " to " + std::to_string(high));
        }
        return result;
    }

    /** @brief Reads PORT or IP:PORT. The IP is ignored, since every port is bound to node.address. */
    std::uint16_t port(const std::string &name)
    {
        const std::string value = text(name, "0");
        const std::size_t colon = value.rfind(':');
        const std::string digits = colon == std::string::npos ? value : value.substr(colon + 1);
        return static_cast<std::uint16_t>(parseNumber(name, digits, 0, 65535));
    }

    std::chrono::milliseconds
    milliseconds(const std::string &name, std::uint64_t fallback, std::uint64_t low, std::uint64_t high)
    {
        return std::chrono::milliseconds(number(name, fallback, low, high));
    }

    /** @brief Reads a time whose default follows from a bound of the deployment, if that is known. */
    std::chrono::milliseconds derivedMilliseconds(const std::string &name,
                                                  const std::optional<core::Duration> &derived,
                                                  std::uint64_t fallback,
                                                  std::uint64_t low,
                                                  std::uint64_t high)
    {
        const auto milliseconds =
            derived ? std::optional(static_cast<std::uint32_t>(millisecondsOf(*derived))) : std::nullopt;
        return std::chrono::milliseconds(derivedNumber(name, milliseconds, fallback, low, high));
    }

    /** @brief Reads a number whose default follows from a bound of the deployment, if that is known. */
    std::uint32_t derivedNumber(const std::string &name,
                                const std::optional<std::uint32_t> &derived,
                                std::uint64_t fallback,
                                std::uint64_t low,
                                std::uint64_t high)
    {
        const std::string value = std::to_string(derived ? *derived : fallback);
        const SettingSource source = derived ? SettingSource::Bound : SettingSource::Default;
        return static_cast<std::uint32_t>(parseNumber(name, text(name, value, source), low, high));
    }

    /** @return A bound of the deployment; without a value if the setting is missing or empty. */
    std::optional<core::Duration> bound(const std::string &name, std::uint64_t low, std::uint64_t high)
    {
        const auto value = optionalNumber(name, low, high);
        return value ? std::optional<core::Duration>(std::chrono::milliseconds(*value)) : std::nullopt;
    }

    /** @return Empty if the setting is missing or empty. */
    std::optional<std::uint32_t> optionalNumber(const std::string &name, std::uint64_t low, std::uint64_t high)
    {
        const std::string value = text(name, {});
        if (value.empty()) {
            return std::nullopt;
        }
        return static_cast<std::uint32_t>(parseNumber(name, value, low, high));
    }

    double ratio(const std::string &name, double fallback)
    {
        return parseFactor(name, text(name, std::to_string(fallback)), 0, 1);
    }

    /** @return Empty if the setting is missing or empty. */
    std::optional<double> optionalFactor(const std::string &name, double low, double high)
    {
        const std::string value = text(name, {});
        return value.empty() ? std::nullopt : std::optional(parseFactor(name, value, low, high));
    }

    static double parseFactor(const std::string &name, const std::string &value, double low, double high)
    {
        std::istringstream stream(value);
        double result = low - 1;
        stream >> result;
        if (!stream.eof() || stream.fail() || result < low || result > high) {
            std::ostringstream range;
            range << "a number from " << low << " to " << high;
            reject(name, value, range.str());
        }
        return result;
    }

    bool flag(const std::string &name, bool fallback)
    {
        const std::string value = text(name, fallback ? "on" : "off");
        if (value != "on" && value != "off") {
            reject(name, value, "on or off");
        }
        return value == "on";
    }

    std::string validName(const std::string &name)
    {
        const std::string range = "1 to 63 characters a-z, 0-9 and '-'";
        std::string value = required(name, range);
        if (!core::isValidName(value)) {
            reject(name, value, range);
        }
        return value;
    }

    /** @return The items of a comma-separated value, without surrounding spaces. */
    std::vector<std::string> list(const std::string &name)
    {
        std::vector<std::string> words;
        std::istringstream stream(text(name, {}));
        for (std::string word; std::getline(stream, word, ',');) {
            word.erase(0, word.find_first_not_of(' '));
            word.erase(word.find_last_not_of(' ') + 1);
            if (!word.empty()) {
                words.push_back(word);
            }
        }
        return words;
    }

    /** @brief Reports the first setting that no earlier call has read. */
    void rejectUnknown() const
    {
        for (const auto &[section, values] : m_tree) {
            if (values.empty()) {
                throw InvalidValue{"unknown setting " + section};
            }
            for (const auto &entry : values) {
                const std::string name = section + "." + entry.first;
                if (!m_effective.contains(name)) {
                    throw InvalidValue{"unknown setting " + name};
                }
            }
        }
    }

    /** @return The names of the variables that belong to no setting that has been read. */
    [[nodiscard]] std::vector<std::string> unknownVariables() const
    {
        std::set<std::string> known;
        for (const auto &entry : m_effective) {
            known.insert(settingsVariable(entry.first));
        }
        std::vector<std::string> names;
        for (const auto &entry : m_environment->values) {
            if (!known.contains(entry.first)) {
                names.push_back(entry.first);
            }
        }
        return names;
    }

    /** @return The error text, with the names of the variables that the value depends on. */
    [[nodiscard]] std::string describe(const InvalidValue &invalid) const
    {
        std::string variables;
        for (const std::string &name : invalid.settings) {
            const auto found = m_effective.find(name);
            if (found != m_effective.end() && found->second.source == SettingSource::Environment) {
                variables += (variables.empty() ? " (from the environment: " : ", ") + settingsVariable(name);
            }
        }
        return invalid.detail + variables + (variables.empty() ? "" : ")");
    }

    /** @return The settings that have been read, by name. */
    [[nodiscard]] std::vector<EffectiveSetting> effective() const
    {
        std::vector<EffectiveSetting> settings;
        for (const auto &[name, setting] : m_effective) {
            settings.push_back(setting);
        }
        return settings;
    }

private:
    [[nodiscard]] std::optional<std::string> textInFile(const std::string &name) const
    {
        const auto value = m_tree.get_optional<std::string>(ptree::path_type(name, '.'));
        return value ? std::optional(*value) : std::nullopt;
    }

    std::string record(const std::string &name, std::string value, SettingSource source)
    {
        m_effective.insert_or_assign(name, EffectiveSetting{name, value, source});
        return value;
    }

    const ptree &m_tree;
    const SettingsEnvironment &m_environment;
    std::map<std::string, EffectiveSetting> m_effective;
};

}
