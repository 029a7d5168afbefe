#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace berylspring::core {

/**
 * @brief Immutable record whose copies share one set of fields; for records that are large and passed along.
 *
 * Fields are read with `->`. with() and modified() return a changed copy. On an rvalue that is the only owner they
 * change the fields in place, so a record that is passed on with std::move() is never copied.
 * @tparam Fields Aggregate with a defaulted operator==.
 */
template<typename Fields>
class SharedImmutable
{
public:
    SharedImmutable() = default;
    explicit SharedImmutable(Fields fields)
        : m_fields(std::make_shared<Fields>(std::move(fields)))
    {
    }

    [[nodiscard]] const Fields &operator*() const noexcept
    {
        static const Fields defaults{};
        return m_fields ? *m_fields : defaults;
    }
    [[nodiscard]] const Fields *operator->() const noexcept
    {
        return &**this;
    }

    /**
     * @param member Pointer to the member to replace.
     * @param value Its new value.
     * @return A record with that member replaced.
     */
    template<typename Member, typename Value>
    [[nodiscard]] SharedImmutable with(Member Fields::*member, Value &&value) const &
    {
        return SharedImmutable(*this).with(member, std::forward<Value>(value));
    }
    template<typename Member, typename Value>
    [[nodiscard]] SharedImmutable with(Member Fields::*member, Value &&value) &&
    {
        return std::move(*this).modified([&](Fields &fields) { fields.*member = std::forward<Value>(value); });
    }

    /**
     * @param change Called as change(Fields &).
     * @return The changed record.
     */
    template<typename Change>
    [[nodiscard]] SharedImmutable modified(Change &&change) &&
    {
        SharedImmutable result(std::move(*this));
        if (!result.isOnlyOwner()) {
            result = SharedImmutable(*result);
        }
        std::forward<Change>(change)(*result.m_fields);
        return result;
    }

    /** @return The fields, moved out if this record is their only owner. */
    [[nodiscard]] Fields release() &&
    {
        const SharedImmutable source(std::move(*this));
        return source.isOnlyOwner() ? std::move(*source.m_fields) : *source;
    }

    [[nodiscard]] bool operator==(const SharedImmutable &other) const
    {
        return m_fields == other.m_fields || **this == *other;
    }

private:
    [[nodiscard]] bool isOnlyOwner() const noexcept
    {
        if (m_fields.use_count() != 1) {
            return false;
        }
        // Reads of an owner on another thread that has just released the fields come before a change of them.
        std::atomic_thread_fence(std::memory_order_acquire);
        return true;
    }

    std::shared_ptr<Fields> m_fields; ///< Null: all fields have their defaults. Never changed while it is shared.
};

}
