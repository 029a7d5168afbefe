#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>

namespace berylspring::wire::detail {

/** @brief A request whose handler runs, with what is needed to cancel it. */
class RunningRequest
{
public:
    /** @param strand Runs the handler. */
    explicit RunningRequest(boost::asio::any_io_executor strand);

    [[nodiscard]] const boost::asio::any_io_executor &strand() const noexcept
    {
        return m_strand;
    }

    /** @brief Slot of the handler's coroutine; used on the strand. */
    [[nodiscard]] boost::asio::cancellation_slot slot() noexcept
    {
        return m_signal.slot();
    }

    /** @brief Cancels the handler unless it has finished. Callable from any thread. */
    static void cancel(const std::shared_ptr<RunningRequest> &self);

    /** @brief Whether it was cancelled; called on the strand. */
    [[nodiscard]] bool isCancelled() const noexcept
    {
        return m_isCancelled;
    }

    /**
     * @brief Ends the request; called on the strand.
     * @return Whether its answer is still wanted.
     */
    [[nodiscard]] bool finish() noexcept;

private:
    boost::asio::any_io_executor m_strand;
    boost::asio::cancellation_signal m_signal;
    bool m_isFinished = false;
    bool m_isCancelled = false;
};

/** @brief The running requests of one accepted connection. Safe to use from several threads. */
class RunningRequests
{
public:
    using Pointer = std::shared_ptr<RunningRequest>;

    enum class Added {
        Yes,
        TooMany,
        Duplicate, ///< A request with this number runs.
        Closed,
    };

    explicit RunningRequests(std::size_t limit) noexcept;

    [[nodiscard]] Added add(std::uint64_t number, const Pointer &request);
    void remove(std::uint64_t number);
    /** @brief Cancels a request if it still runs. */
    void cancel(std::uint64_t number);
    /** @brief Cancels all requests and accepts no more. */
    void close();
    [[nodiscard]] std::size_t size() const;

private:
    const std::size_t m_limit;
    mutable std::mutex m_mutex; ///< Protects the members below.
    std::unordered_map<std::uint64_t, Pointer> m_requests;
    bool m_isClosed = false;
};

}
