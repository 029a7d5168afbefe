#pragma once

#include "berylspring/http/server.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace berylspring::test {

/**
 * @brief Emulates the keyed topics of the store of the users' platform on a port of 127.0.0.1: append, long-polling
 * read, and the newest record of each key. The header `Store-Era` of all answers counts the restores, from 1.
 */
class StoreStandIn
{
public:
    struct Record
    {
        std::string key;
        std::string value;
        [[nodiscard]] bool operator==(const Record &) const = default;
    };
    struct Topic
    {
        std::uint64_t first = 0; ///< Lowest offset that can be read.
        std::vector<Record> records;
        [[nodiscard]] bool operator==(const Topic &) const = default;
    };
    using Topics = std::map<std::string, Topic>;

    explicit StoreStandIn(boost::asio::any_io_executor executor);
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return m_port;
    }
    /** @brief Appends a record, as an operator of the platform does. */
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /** @brief Answers 503 to all calls while set. */
    void setUnavailable(bool isUnavailable)
    {
        m_isUnavailable = isUnavailable;
    }
    /** @brief Executes calls at once but delays their answers. */
    void setAnswerDelay(std::chrono::milliseconds delay)
    {
        m_delay = delay;
    }
    /** @brief Compacts a topic: reads of older offsets fail with 410, only the newest record of each key remains. */
    void compact(const std::string &topic);
    /** @return The present content of all topics. */
    [[nodiscard]] Topics copy();
    /** @brief Replaces all topics by a copy and starts a new era; calls in progress lose their connection. */
    void restore(const Topics &copy);

private:
    boost::asio::awaitable<http::Reply> answer(http::Request request);
    boost::asio::awaitable<http::Response> execute(http::Request request, std::uint64_t era);
    boost::asio::awaitable<http::Response> read(http::Request request, std::uint64_t era);
    http::Response append(const http::Request &request);
    http::Response newest(const http::Request &request);
    /** @brief Ends the connection of a call without an answer if the store has been restored since `era`. */
    void requireEra(std::uint64_t era) const;

    std::atomic<bool> m_isUnavailable{false};
    std::atomic<std::chrono::milliseconds> m_delay{std::chrono::milliseconds::zero()};
    std::atomic<std::uint64_t> m_era{1};
    std::mutex m_mutex;
    Topics m_topics;
    http::Server m_server;
    std::uint16_t m_port;
};

}
