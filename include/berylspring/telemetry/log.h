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

/** @brief One named value of a log line. Must not contain a key or a token. */
struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
    [[nodiscard]] bool operator==(const LogField &) const = default;
};

/**
 * @brief Starts logging to standard output, one JSON object per line.
 * @param host Value of the member "host" of each line.
 * @param lowest Lines below this severity are dropped.
 */
void startLogging(std::string_view host, Severity lowest);

/** @brief Sets the lowest severity that is written. */
void setLowestSeverity(Severity lowest);

/** @return The severity named "debug", "info", "warning" or "error", or nothing. */
[[nodiscard]] std::optional<Severity> severityFromString(std::string_view text) noexcept;

/**
 * @brief Writes a line about a single request with severity Info, at most RequestEventsPerSecond lines on average.
 *
 * Excess lines are dropped; the next line that is written has their number in the member `dropped`.
 */
void logRequestEvent(std::string_view message, std::vector<LogField> fields, core::TimePoint now);

/** @brief Rate limit for lines about single requests per process; also the size of a burst. */
inline constexpr double RequestEventsPerSecond = 50;

/**
 * @brief Writes one line with the members time, severity, host, message and the given fields.
 */
void log(Severity severity, std::string_view message, const std::vector<LogField> &fields = {});

}
