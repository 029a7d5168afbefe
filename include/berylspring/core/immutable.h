#pragma once

#include <compare>
#include <utility>

namespace berylspring::core {

/**
 * @brief Immutable record: fields are read with `->`; with() returns a modified copy.
 * @tparam Fields Aggregate with a defaulted operator==.
 */
template<typename Fields>
class Immutable
{
public:
    Immutable() = default;
    explicit Immutable(Fields fields)
        : m_fields(std::move(fields))
    {
    }

    [[nodiscard]] const Fields &operator*() const noexcept
    {
        return m_fields;
    }
    [[nodiscard]] const Fields *operator->() const noexcept
    {
        return &m_fields;
    }

    /**
     * @param member Pointer to the member to replace.
     * @param value Its new value.
     * @return A copy with that member replaced.
     */
    template<typename Member, typename Value>
    [[nodiscard]] Immutable with(Member Fields::*member, Value &&value) const
    {
        Fields copy = m_fields;
        copy.*member = std::forward<Value>(value);
        return Immutable(std::move(copy));
    }

    [[nodiscard]] bool operator==(const Immutable &) const = default;

private:
    Fields m_fields{};
};

}
