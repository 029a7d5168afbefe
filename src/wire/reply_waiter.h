#pragma once

#include "berylspring/wire/error.h"
#include "berylspring/wire/messages.h"

#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/execution/outstanding_work.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/prefer.hpp>

namespace berylspring::wire::detail {

/** @brief How a waiting coroutine is resumed. */
enum class Resume {
    Inline, ///< On the calling thread if the executor permits, which saves a context switch.
    Posted, ///< Posted to its executor.
};

/** @brief Receiver of one answer; completed exactly once. */
class ReplyWaiter
{
public:
    ReplyWaiter() = default;
    virtual ~ReplyWaiter() = default;
    ReplyWaiter(const ReplyWaiter &) = delete;
    ReplyWaiter &operator=(const ReplyWaiter &) = delete;

    virtual void complete(Result<Message> reply, Resume resume) = 0;
};

/** @tparam Handler Completion handler of an asynchronous operation with the signature void(Result<Message>). */
template<typename Handler>
class HandlerWaiter : public ReplyWaiter
{
public:
    explicit HandlerWaiter(Handler handler)
        : m_handler(std::move(handler))
        , m_executor(boost::asio::prefer(boost::asio::any_io_executor(boost::asio::get_associated_executor(m_handler)),
                                         boost::asio::execution::outstanding_work.tracked))
    {
    }

    void complete(Result<Message> reply, Resume resume) override
    {
        auto run = [handler = std::move(m_handler), reply = std::move(reply)]() mutable {
            std::move(handler)(std::move(reply));
        };
        const auto executor = std::move(m_executor);
        if (resume == Resume::Inline) {
            boost::asio::dispatch(executor, std::move(run));
        } else {
            boost::asio::post(executor, std::move(run));
        }
    }

private:
    Handler m_handler;
    boost::asio::any_io_executor m_executor;
};

}
