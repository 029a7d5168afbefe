#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace berylspring::core {

/**
 * @brief Strongly typed name, so that a host cannot be passed where a workspace is expected.
 * @tparam Tag Distinguishes the types; never instantiated.
 */
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const std::string &value() const noexcept
    {
        return m_value;
    }
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_value.empty();
    }

    [[nodiscard]] auto operator<=>(const Name &) const = default;

private:
    std::string m_value;
};

template<typename Tag>
std::ostream &operator<<(std::ostream &out, const Name<Tag> &name)
{
    return out << name.value();
}

using HostId = Name<struct HostTag>;
using DataCentreId = Name<struct DataCentreTag>;
using WorkspaceId = Name<struct WorkspaceTag>;
using ServiceId = Name<struct ServiceTag>;
using KeyId = Name<struct KeyTag>;
using RouteId = Name<struct RouteTag>;

/**
 * @brief Whether the text is a valid name of a resource, host or data centre.
 * @return True for 1 to 63 characters of a-z, 0-9 and '-' that start and end with a letter or digit.
 */
[[nodiscard]] bool isValidName(std::string_view text) noexcept;

}

template<typename Tag>
struct std::hash<berylspring::core::Name<Tag>>
{
    [[nodiscard]] std::size_t operator()(const berylspring::core::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.value());
    }
};
