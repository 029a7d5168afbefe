#pragma once

#include "berylspring/core/outcome.h"
#include "berylspring/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief One call of a load, including its resends. */
struct LoadSample
{
    core::Duration due{}; ///< From the start of the load.
    core::Duration latency{}; ///< From the due time to the last answer.
    core::Outcome outcome = core::Outcome::Unknown; ///< Of the last attempt.
    std::string reason;
    std::uint16_t status = 0;
    bool isComplete = false;
    bool isMismatch = false; ///< An answer did not belong to the call.
    std::uint32_t attempts = 0; ///< 0: not sent, since too many calls were open.
    [[nodiscard]] bool operator==(const LoadSample &) const = default;
};

/** @brief Results of one class of a load. */
class LoadReport
{
public:
    LoadReport(std::string name, std::vector<LoadSample> samples);

    [[nodiscard]] const std::string &name() const noexcept
    {
        return m_name;
    }
    /** @return The samples in order of their due time. */
    [[nodiscard]] const std::vector<LoadSample> &samples() const noexcept
    {
        return m_samples;
    }
    [[nodiscard]] std::uint64_t complete() const;
    [[nodiscard]] std::uint64_t count(core::Outcome outcome) const;
    [[nodiscard]] std::uint64_t mismatches() const;
    [[nodiscard]] std::uint64_t attempts() const;
    /** @return Calls that were never sent because of the limits of the load generator. */
    [[nodiscard]] std::uint64_t notSent() const;
    /** @return Sent calls without a complete answer, by "outcome reason". */
    [[nodiscard]] std::map<std::string, std::uint64_t> failures() const;
    /** @return A latency quantile of the complete calls, or zero without any. @param quantile 0 to 1. */
    [[nodiscard]] core::Duration latency(double quantile) const;
    /** @return Complete answers per second that arrived in [begin, end). */
    [[nodiscard]] double goodput(core::Duration begin, core::Duration end) const;

    [[nodiscard]] bool operator==(const LoadReport &) const = default;

private:
    std::string m_name;
    std::vector<LoadSample> m_samples;
};

}
