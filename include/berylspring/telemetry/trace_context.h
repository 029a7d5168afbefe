#pragma once

#include "berylspring/core/types.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylspring::telemetry {

/** @brief Identity of a span according to the W3C Trace Context recommendation. */
class TraceContext
{
public:
    using TraceId = std::array<std::uint64_t, 2>;

    TraceContext() = default;
    TraceContext(TraceId traceId, std::uint64_t spanId, bool isSampled) noexcept
        : m_traceId(traceId)
        , m_spanId(spanId)
        , m_isSampled(isSampled)
    {
    }

    /** @return The root span of a new trace, sampled with the given probability (0 to 1). */
    [[nodiscard]] static TraceContext root(const core::RandomSource &random, double sampleRatio);
    /** @return The context of a `traceparent` field of version 00, or nothing if it is malformed. */
    [[nodiscard]] static std::optional<TraceContext> fromTraceParent(std::string_view text);

    /** @return A new span of the same trace. */
    [[nodiscard]] TraceContext child(const core::RandomSource &random) const;

    [[nodiscard]] const TraceId &traceId() const noexcept
    {
        return m_traceId;
    }
    [[nodiscard]] std::uint64_t spanId() const noexcept
    {
        return m_spanId;
    }
    [[nodiscard]] bool isSampled() const noexcept
    {
        return m_isSampled;
    }
    /** @return 32 hexadecimal digits. */
    [[nodiscard]] std::string traceIdText() const;
    /** @return 16 hexadecimal digits. */
    [[nodiscard]] std::string spanIdText() const;
    /** @return The value of a `traceparent` field. */
    [[nodiscard]] std::string traceParent() const;

    [[nodiscard]] auto operator<=>(const TraceContext &) const = default;

private:
    TraceId m_traceId{};
    std::uint64_t m_spanId = 0;
    bool m_isSampled = false;
};

}
