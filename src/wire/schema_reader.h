#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "wire/generated/schema.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylspring::wire::detail {

/**
 * @brief Converts fields of a verified FlatBuffers buffer and records the first invalid value.
 *
 * The converted values may be used only if isValid() is true after the last conversion.
 */
class SchemaReader
{
public:
    /**
     * @param byteBudget Limit of the bytes that the reader copies. Without it, tables that share a large string or body
     * could expand a small input to any size.
     */
    explicit SchemaReader(std::size_t byteBudget)
        : m_byteBudget(byteBudget)
    {
    }

    [[nodiscard]] bool isValid() const noexcept
    {
        return m_fault.empty();
    }
    /** @return Description of the first fault; empty if there is none. */
    [[nodiscard]] std::string_view fault() const noexcept
    {
        return m_fault;
    }

    void fail(std::string_view fault) noexcept
    {
        if (m_fault.empty()) {
            m_fault = fault;
        }
    }

    [[nodiscard]] std::string text(const flatbuffers::String *value)
    {
        if (value == nullptr || !consumeBudget(value->size())) {
            return {};
        }
        return {value->c_str(), value->size()};
    }

    template<typename Name>
    [[nodiscard]] Name name(const flatbuffers::String *value)
    {
        return Name(text(value));
    }

    /** @brief Converts between enumerations that have the same enumerators in the same order. */
    template<typename To, typename From>
    [[nodiscard]] To enumerator(From value)
    {
        static_assert(static_cast<int>(From::MIN) == 0);
        if (value > From::MAX) {
            fail("enumerator out of range");
        }
        return static_cast<To>(value);
    }

    [[nodiscard]] double number(double value)
    {
        if (!std::isfinite(value)) {
            fail("number is not finite");
        }
        return value;
    }

    [[nodiscard]] core::PriorityLevel priority(std::uint8_t value)
    {
        if (value > core::MaxPriority) {
            fail("priority out of range");
        }
        return value;
    }

    /** @return The value; values that are negative or no number make the message malformed. */
    [[nodiscard]] double nonNegative(float value)
    {
        if (!(value >= 0) || std::isinf(value)) {
            fail("a value is negative or not a number");
            return 0;
        }
        return static_cast<double>(value);
    }

    /** @brief Accepts one level above MaxPriority, which a node reports while it admits nothing. */
    [[nodiscard]] core::PriorityLevel admittedLevel(std::uint8_t value)
    {
        if (value > core::MaxPriority + 1) {
            fail("admitted level out of range");
        }
        return value;
    }

    [[nodiscard]] core::Duration duration(std::int64_t nanoseconds) const noexcept
    {
        return std::chrono::nanoseconds(nanoseconds);
    }

    template<typename SchemaDigest>
    [[nodiscard]] core::Digest digest(const SchemaDigest *value)
    {
        core::Digest::Bytes bytes{};
        if (value == nullptr) {
            fail("digest is missing");
        } else {
            std::copy_n(value->bytes()->Data(), bytes.size(), bytes.begin());
        }
        return core::Digest(bytes);
    }

    /** @return The elements, converted by read(const Element &). */
    template<typename Value, typename Element, typename Read>
    [[nodiscard]] std::vector<Value> list(const flatbuffers::Vector<flatbuffers::Offset<Element>> *elements,
                                          Read &&read)
    {
        std::vector<Value> values;
        if (elements != nullptr) {
            if (!consumeBudget(elements->size() * MinElementBytes)) {
                return values;
            }
            values.reserve(elements->size());
            for (const Element *element : *elements) {
                values.push_back(read(*element));
            }
        }
        return values;
    }

protected:
    /** @return Whether the budget allows to copy the bytes; otherwise the input is marked as invalid. */
    [[nodiscard]] bool consumeBudget(std::size_t bytes)
    {
        if (bytes > m_byteBudget) {
            fail("shared values exceed the size of the input");
            return false;
        }
        m_byteBudget -= bytes;
        return true;
    }

private:
    static constexpr std::size_t MinElementBytes = 16; ///< Size of the smallest table in a list, with its offset.

    std::size_t m_byteBudget;
    std::string_view m_fault;
};

/** @return The bytes at an address that is aligned for all scalars: the input itself, or a copy in the storage. */
[[nodiscard]] inline std::span<const std::uint8_t> alignedBytes(std::span<const std::uint8_t> input,
                                                                std::vector<std::uint64_t> &storage)
{
    constexpr std::size_t Alignment = alignof(std::uint64_t);
    if (reinterpret_cast<std::uintptr_t>(input.data()) % Alignment == 0) {
        return input;
    }
    storage.resize((input.size() + Alignment - 1) / Alignment);
    auto *bytes = reinterpret_cast<std::uint8_t *>(storage.data());
    std::copy(input.begin(), input.end(), bytes);
    return {bytes, input.size()};
}

}
