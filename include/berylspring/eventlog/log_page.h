#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylspring::eventlog {

/** @brief One record of a stream. */
struct LogEntry
{
    core::Offset offset = 0;
    std::string data;
    [[nodiscard]] bool operator==(const LogEntry &) const = default;
};

/** @brief Consecutive records of a stream, in ascending order of their offsets. */
struct LogPageFields
{
    std::vector<LogEntry> records;
    core::Offset first = 0; ///< First retained offset of the stream.
    core::Offset next = 0; ///< Offset after the last record of the page; if the page is empty, the end of the stream.
    /** Whether the page reaches the end of the stream; if absent, callers infer it from the number of records. */
    std::optional<bool> reachesEnd;
    /**
     * Rises each time the log is restored from a copy, which loses its latest records; 0 if the log does not tell. A
     * lost record that is written again has its former offset again.
     */
    std::uint64_t generation = 0;
    [[nodiscard]] bool operator==(const LogPageFields &) const = default;
};
using LogPage = core::Immutable<LogPageFields>;

}
