#pragma once

#include "berylspring/http/body_budget.h"
#include "http/read_buffer.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace berylspring::http::detail {

/** @brief Share of the memory of one body in a budget; returned on destruction. */
class BodyShare
{
public:
    BodyShare(std::shared_ptr<BodyBudget> budget, std::uint64_t limitBytes)
        : m_budget(std::move(budget))
        , m_limitBytes(limitBytes)
    {
    }
    ~BodyShare()
    {
        if (m_budget) {
            m_budget->release(m_heldBytes);
        }
    }
    BodyShare(const BodyShare &) = delete;
    BodyShare &operator=(const BodyShare &) = delete;

    /** @return Whether the memory that the body has fits into the budget. */
    [[nodiscard]] bool cover(const std::string &body)
    {
        // A short string is stored within the object.
        return body.capacity() <= std::string().capacity() || growTo(body.capacity());
    }

    /**
     * Makes room for what one read can deliver, so that the parser never enlarges the string: a string doubles its
     * memory without regard to the limit, and before it can be reserved.
     * While the bytes are copied, the old memory exists beside the new one, which is the one that is reserved.
     * @return Whether the memory fits into the budget; if not, the body is unchanged.
     */
    [[nodiscard]] bool makeRoom(std::string &body)
    {
        const std::uint64_t wanted = std::max(body.size() + FirstBytes, std::uint64_t{2} * body.size());
        const std::uint64_t capacity = std::min(wanted, std::max<std::uint64_t>(m_limitBytes, body.size()));
        if (body.capacity() - body.size() >= FirstBytes || body.capacity() >= capacity) {
            return true;
        }
        if (!growTo(capacity)) {
            return false;
        }
        std::string enlarged;
        enlarged.reserve(capacity);
        enlarged.append(body);
        body = std::move(enlarged);
        return true;
    }

private:
    [[nodiscard]] bool growTo(std::uint64_t bytes)
    {
        if (m_budget && bytes > m_heldBytes) {
            if (!m_budget->reserve(m_heldBytes, bytes - m_heldBytes)) {
                return false;
            }
            m_heldBytes = bytes;
        }
        return true;
    }

    /** First size of a body whose length is not announced; takes what one read can deliver. */
    static constexpr std::uint64_t FirstBytes = ReadBufferBytes;

    std::shared_ptr<BodyBudget> m_budget;
    std::uint64_t m_limitBytes;
    std::uint64_t m_heldBytes = 0;
};

}
