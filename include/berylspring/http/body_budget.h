#pragma once

#include <cstdint>
#include <mutex>

namespace berylspring::http {

/**
 * @brief Limits the memory of response bodies that are being read at the same time; shared by the clients of one owner.
 *
 * What counts is the memory that is allocated for a body, which may be more than it holds so far. Each body may take as
 * many bytes as are left (a dynamic threshold): one body alone may take half of the limit, and of n endless bodies each
 * fails at 1/(n + 1) of it, which always leaves room for shorter ones.
 */
class BodyBudget
{
public:
    explicit BodyBudget(std::uint64_t limitBytes);

    /**
     * @brief Reserves memory for more bytes of a body.
     * @param held Bytes that the same body has reserved before.
     * @return Whether they fit; if not, nothing is reserved.
     */
    [[nodiscard]] bool reserve(std::uint64_t held, std::uint64_t more);
    void release(std::uint64_t bytes);
    [[nodiscard]] std::uint64_t reservedBytes() const;

private:
    const std::uint64_t m_limitBytes;
    mutable std::mutex m_mutex;
    std::uint64_t m_reservedBytes = 0;
};

}
