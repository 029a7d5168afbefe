#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>

namespace berylspring::wire::detail {

/** @brief A request whose handler is running, and its cancellation state. */
class RunningRequest
{
public:
    /** @param strand Strand on which the handler runs. */
    explicit RunningRequest(boost::asio::any_io_executor strand);

    [[nodiscard]] const boost::asio::any_io_executor &strand() const noexcept
    {
        return m_strand;
    }

    /** @brief Cancellation slot of the handler's coroutine; must be used on the strand. */
    [[nodiscard]] boost::asio::cancellation_slot slot() noexcept
    {
        return m_signal.slot();
    }

    /** @brief Cancels the handler unless it has finished. Thread-safe. */
    static void cancel(const std::shared_ptr<RunningRequest> &self);

    /** @brief Whether the request was cancelled; must be called on the strand. */
    [[nodiscard]] bool isCancelled() const noexcept
    {
        return m_isCancelled;
    }

    /**
     * @brief Marks the request as finished; must be called on the strand.
     * @return False if the request was cancelled and its answer must not be sent.
     */
    [[nodiscard]] bool finish() noexcept;

private:
    boost::asio::any_io_executor m_strand;
    boost::asio::cancellation_signal m_signal;
    bool m_isFinished = false;
    bool m_isCancelled = false;
};

/** @brief The running requests of one accepted connection. Thread-safe. */
class RunningRequests
{
public:
    using Pointer = std::shared_ptr<RunningRequest>;

    enum class AddResult {
        Added,
        TooMany,
        Duplicate, ///< A request with this number is running.
        Closed,
    };

    explicit RunningRequests(std::size_t limit) noexcept;

    [[nodiscard]] AddResult add(std::uint64_t number, const Pointer &request);
    void remove(std::uint64_t number);
    /** @brief Cancels a request if it is still running. */
    void cancel(std::uint64_t number);
    /** @brief Cancels all requests and rejects new ones. */
    void close();
    [[nodiscard]] std::size_t size() const;

private:
    const std::size_t m_limit;
    mutable std::mutex m_mutex; ///< Protects the members below.
    std::unordered_map<std::uint64_t, Pointer> m_requests;
    bool m_isClosed = false;
};

}
