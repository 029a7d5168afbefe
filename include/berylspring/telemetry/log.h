#pragma once

#include "berylspring/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace berylspring::telemetry {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/** @brief One named value of a log line. Never pass a key or a token. */
struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
    [[nodiscard]] bool operator==(const LogField &) const = default;
};

/**
 * @brief Starts logging to standard output, one JSON object a line.
 * @param host Value of the member "host" of each line.
 * @param lowest Lines below are dropped.
 */
void startLogging(std::string_view host, Severity lowest);

/** @brief Changes the lowest severity that is written. */
void setLowestSeverity(Severity lowest);

/** @return The severity named "debug", "info", "warning" or "error", or nothing. */
[[nodiscard]] std::optional<Severity> severityFromString(std::string_view text) noexcept;

/**
 * @brief As log() with severity Info, for lines about single requests: at most DecisionsPerSecond on average.
 *
 * Lines beyond that are dropped and counted; the next line that is written tells their number in `dropped`.
 */
void logDecision(std::string_view message, std::vector<LogField> fields, core::TimePoint now);

/** @brief Lines about single requests that a process writes per second; the burst is as large. */
inline constexpr double DecisionsPerSecond = 50;

/**
 * @brief Writes one line with the members time, severity, host, message and the given fields.
 */
void log(Severity severity, std::string_view message, const std::vector<LogField> &fields = {});

}
