#pragma once

#include "berylspring/config/error.h"
#include "berylspring/config/log_record.h"
#include "berylspring/config/write_outcome.h"
#include "config/log_follower.h"

#include <memory>
#include <optional>

namespace berylspring::config::detail {

/** @brief Appends changes to the log and reads back their results. */
class Writer
{
public:
    Writer(ContextPtr context, FollowerPtr follower)
        : m_context(std::move(context))
        , m_follower(std::move(follower))
    {
    }

    /**
     * @brief Appends a record and waits until its operation is found in the log or the write times out.
     *
     * An unanswered append is repeated with the same operation identifier, so that a duplicate is void.
     */
    static boost::asio::awaitable<Result<WriteOutcome>> submit(std::shared_ptr<Writer> self, LogRecord record);

private:
    struct Progress
    {
        core::TimePoint deadline;
        bool maybeApplied = false;
        bool isAppended = false;
        std::uint32_t failures = 0;
        std::string detail = "the log did not confirm the change in time";
    };

    static boost::asio::awaitable<std::optional<OperationResult>>
    appendAndConfirm(std::shared_ptr<Writer> self, LogRecord record, std::shared_ptr<Progress> progress);
    static boost::asio::awaitable<void>
    append(std::shared_ptr<Writer> self, LogRecord record, std::shared_ptr<Progress> progress);
    static boost::asio::awaitable<std::optional<OperationResult>>
    readBack(std::shared_ptr<Writer> self, std::string operationId, core::TimePoint until);

    ContextPtr m_context;
    FollowerPtr m_follower;
};
using WriterPtr = std::shared_ptr<Writer>;

}
