#include "berylspring/telemetry/trace_context.h"

#include <charconv>

namespace berylspring::telemetry {

namespace {

constexpr std::size_t SpanDigits = 16;
constexpr std::size_t TraceParentLength = 55; // "00-" + 32 digits + "-" + 16 digits + "-" + 2 digits

std::string hexText(std::uint64_t value)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text(SpanDigits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = Digits[value & 0xfU];
        value >>= 4U;
    }
    return text;
}

template<typename Number>
bool parseHex(std::string_view text, Number &value)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

/** The recommendation defines zero as an invalid identifier. */
std::uint64_t randomNonZero(const core::RandomSource &random)
{
    std::uint64_t value = 0;
    while (value == 0) {
        value = random();
    }
    return value;
}

}

TraceContext TraceContext::root(const core::RandomSource &random, double sampleRatio)
{
    constexpr double RandomRange = 18446744073709551616.0; // 2^64
    const bool isSampled = static_cast<double>(random()) < sampleRatio * RandomRange;
    const TraceId traceId{randomNonZero(random), randomNonZero(random)};
    return {traceId, randomNonZero(random), isSampled};
}

std::optional<TraceContext> TraceContext::fromTraceParent(std::string_view text)
{
    if (text.size() != TraceParentLength || !text.starts_with("00-") || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    TraceId traceId{};
    std::uint64_t spanId = 0;
    unsigned flags = 0;
    const bool isParsed = parseHex(text.substr(3, SpanDigits), traceId[0])
                          && parseHex(text.substr(19, SpanDigits), traceId[1])
                          && parseHex(text.substr(36, SpanDigits), spanId) && parseHex(text.substr(53, 2), flags);
    if (!isParsed || spanId == 0 || traceId == TraceId{}) {
        return std::nullopt;
    }
    return TraceContext(traceId, spanId, (flags & 1U) != 0);
}

TraceContext TraceContext::child(const core::RandomSource &random) const
{
    return {m_traceId, randomNonZero(random), m_isSampled};
}

std::string TraceContext::traceIdText() const
{
    return hexText(m_traceId[0]) + hexText(m_traceId[1]);
}

std::string TraceContext::spanIdText() const
{
    return hexText(m_spanId);
}

std::string TraceContext::traceParent() const
{
    return "00-" + traceIdText() + "-" + spanIdText() + (m_isSampled ? "-01" : "-00");
}

}
