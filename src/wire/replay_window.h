#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace berylspring::wire::detail {

/** @brief Sliding window of the sequence numbers received from one sender. Immutable; accept() returns a new window. */
class ReplayWindow
{
public:
    /**
     * Wide, because a sender numbers its datagrams over all receivers. A single receiver sees gaps in the numbers, and
     * reordered datagrams may be far apart.
     */
    static constexpr std::size_t Width = 256;

    /** @param bootId Boot id of the sender's first datagram. */
    explicit ReplayWindow(std::uint64_t bootId) noexcept
        : m_bootId(bootId)
    {
    }

    /**
     * @param bootId Boot id of the datagram.
     * @param sequence Sequence number of the datagram; 0 is rejected.
     * @return The window including the datagram, or nothing if it was seen before, is older than the window, or has an
     * outdated boot id.
     */
    [[nodiscard]] std::optional<ReplayWindow> accept(std::uint64_t bootId, std::uint64_t sequence) const
    {
        if (bootId < m_bootId || sequence == 0) {
            return std::nullopt;
        }
        ReplayWindow next = bootId == m_bootId ? *this : ReplayWindow(bootId);
        if (sequence > next.m_newest) {
            const std::uint64_t step = sequence - next.m_newest;
            next.m_seen = step >= Width ? std::bitset<Width>() : next.m_seen << static_cast<std::size_t>(step);
            next.m_newest = sequence;
            next.m_seen.set(0);
            return next;
        }
        const std::uint64_t age = next.m_newest - sequence;
        if (age >= Width || next.m_seen.test(static_cast<std::size_t>(age))) {
            return std::nullopt;
        }
        next.m_seen.set(static_cast<std::size_t>(age));
        return next;
    }

    [[nodiscard]] std::uint64_t bootId() const noexcept
    {
        return m_bootId;
    }

    [[nodiscard]] bool operator==(const ReplayWindow &) const = default;

private:
    std::uint64_t m_bootId;
    std::uint64_t m_newest = 0;
    std::bitset<Width> m_seen; ///< Bit i is set if the sequence number m_newest - i was received.
};

}
