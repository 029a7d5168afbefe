#pragma once

#include "berylspring/eventlog/log_hooks.h"

#include <string>
#include <utility>
#include <vector>

namespace berylspring::test {

/** @brief A log in memory that keeps the records of one stream. */
class MemoryLog
{
public:
    [[nodiscard]] eventlog::LogHooks hooks()
    {
        using boost::asio::awaitable;
        eventlog::LogHooks hooks;
        hooks.append = [this](std::string, std::string data) -> awaitable<eventlog::Result<core::Offset>> {
            if (isDown) {
                co_return down();
            }
            records.push_back(std::move(data));
            co_return records.size() - 1;
        };
        hooks.read = [this](std::string,
                            core::Offset from,
                            std::uint32_t,
                            core::Duration) -> awaitable<eventlog::Result<eventlog::LogPage>> {
            if (isUnreadable) {
                co_return down();
            }
            eventlog::LogPageFields fields{.records = {}, .next = records.size(), .reachesEnd = true};
            for (std::size_t offset = from; offset < records.size(); ++offset) {
                fields.records.push_back({offset, records[offset]});
            }
            co_return eventlog::LogPage(std::move(fields));
        };
        return hooks;
    }

    std::vector<std::string> records;
    bool isDown = false; ///< Appends fail.
    bool isUnreadable = false; ///< Reads fail.

private:
    [[nodiscard]] static tl::unexpected<eventlog::Error> down()
    {
        return tl::unexpected(eventlog::Error(eventlog::ErrorCode::Unreachable, false, "down"));
    }
};

}
