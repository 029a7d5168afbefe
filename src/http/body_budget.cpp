#include "berylspring/http/body_budget.h"

namespace berylspring::http {

BodyBudget::BodyBudget(std::uint64_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

bool BodyBudget::reserve(std::uint64_t held, std::uint64_t more)
{
    const std::scoped_lock lock(m_mutex);
    const std::uint64_t left = m_limitBytes - m_reservedBytes;
    if (more > left || held + more > left - more) {
        return false;
    }
    m_reservedBytes += more;
    return true;
}

void BodyBudget::release(std::uint64_t bytes)
{
    const std::scoped_lock lock(m_mutex);
    m_reservedBytes -= bytes;
}

std::uint64_t BodyBudget::reservedBytes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_reservedBytes;
}

}
