#pragma once

#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/eventlog/error.h"
#include "berylspring/eventlog/log_page.h"

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace berylspring::eventlog {

/** @brief Access to the platform log. Both hooks must be safe to call from several threads. */
struct LogHooks
{
    /** @brief Appends a record and returns its offset. */
    std::function<boost::asio::awaitable<Result<core::Offset>>(std::string stream, std::string data)> append;

    /**
     * @brief Reads at most `limit` records from the offset `from` on.
     *
     * Waits up to `wait` if there are none. Fails with Expired if `from` is below the first retained offset. A log that
     * keeps only the newest records may skip others instead.
     */
    std::function<boost::asio::awaitable<Result<LogPage>>(
        std::string stream, core::Offset from, std::uint32_t limit, core::Duration wait)>
        read;
};

}
