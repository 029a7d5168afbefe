#pragma once

#include "berylspring/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace berylspring::node {

/**
 * @brief The latest endpoints of a host that have announced their end, by a drain or a leave. Immutable.
 *
 * A late heartbeat of one of them must not register it again.
 */
class EndpointLeaves
{
public:
    /** A few are enough, since a host runs one endpoint at a time. */
    static constexpr std::size_t MaxLeaves = 8;

    EndpointLeaves() = default;
    /** @param leaves Oldest first; all but the last MaxLeaves and those without an id are left out. */
    explicit EndpointLeaves(const std::vector<wire::EndpointLeave> &leaves);

    /** @return These leaves and a later one, which replaces an earlier one of the same id if its incarnation is higher.
     */
    [[nodiscard]] EndpointLeaves with(const wire::EndpointLeave &leave) const;
    /** @return These leaves and all later ones. */
    [[nodiscard]] EndpointLeaves with(const EndpointLeaves &later) const;
    /** @return Whether the endpoint of that incarnation has announced its end. */
    [[nodiscard]] bool cover(const std::string &id, std::uint64_t incarnation) const;
    /** @return Oldest first. */
    [[nodiscard]] const std::vector<wire::EndpointLeave> &list() const noexcept
    {
        return m_list;
    }
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_list.empty();
    }

    [[nodiscard]] bool operator==(const EndpointLeaves &) const = default;

private:
    void add(const wire::EndpointLeave &leave);

    std::vector<wire::EndpointLeave> m_list;
};

}
