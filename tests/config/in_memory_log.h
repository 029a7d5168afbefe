#pragma once

#include "berylspring/eventlog/log_hooks.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace berylspring::test {

/** @brief In-process substitute for the platform's log with fault injection. Not thread-safe. */
class InMemoryLog
{
public:
    explicit InMemoryLog(const boost::asio::any_io_executor &executor);

    [[nodiscard]] eventlog::LogHooks hooks();

    void push(const std::string &stream, std::string data);
    /** @brief Drops the records below the offset, as the expiry of the retention period does. */
    void dropBefore(const std::string &stream, core::Offset offset);
    /** @brief Drops all records; offsets start at 0 again. */
    void clear(const std::string &stream);
    /** @brief Returns to the first `count` records, as a restore from an older copy does; the generation rises. */
    void restore(const std::string &stream, std::size_t count);
    [[nodiscard]] std::size_t size(const std::string &stream) const;
    [[nodiscard]] const std::vector<std::string> &records(const std::string &stream);

    bool isDown = false;
    std::uint64_t generation = 0; ///< Reported with each page.
    bool keepsOnlyNewest = false; ///< Reads return only the last record, as a log of whole documents does.
    /** Number of next reads whose page has no records and ends at offset 1, before the end of the stream. */
    std::uint32_t emptyPagesBeforeEnd = 0;
    std::uint32_t answersToLose = 0; ///< Number of next appends that take effect but fail with a timeout.
    std::uint32_t appendsToLose = 0; ///< Number of next appends that fail with a timeout without effect.

private:
    struct Stream
    {
        core::Offset first = 0;
        std::vector<std::string> records;
    };

    boost::asio::awaitable<eventlog::Result<core::Offset>> append(std::string stream, std::string data);
    boost::asio::awaitable<eventlog::Result<eventlog::LogPage>>
    read(std::string stream, core::Offset from, std::uint32_t limit, core::Duration wait);

    std::map<std::string, Stream> m_streams;
    boost::asio::steady_timer m_changed;
};

}
