#pragma once

#include "berylspring/http/client.h"
#include "berylspring/http/server.h"
#include "tools/common/endpoint_settings.h"
#include "tools/common/run_record.h"
#include "tools/common/slot_queue.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::tools {

/** @brief HTTP endpoint with configurable service time, failures and crashes, which records the requests it ran. */
class FakeEndpoint : public std::enable_shared_from_this<FakeEndpoint>
{
public:
    FakeEndpoint(boost::asio::any_io_executor executor, EndpointSettings settings);

    /**
     * @brief Starts both servers, and the announcements and load reports to the node.
     * @return An error if a port cannot be bound.
     */
    http::Result<void> start();
    /** @brief Withdraws the announcement and completes when the endpoint has been idle for some time. */
    boost::asio::awaitable<void> stop();

    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return m_port;
    }
    [[nodiscard]] std::uint16_t controlPort() const noexcept
    {
        return m_controlPort;
    }

private:
    boost::asio::awaitable<http::Reply> handleRequest(http::Request request);
    boost::asio::awaitable<http::Reply> runRequest(http::Request request);
    boost::asio::awaitable<http::Reply> handleControl(http::Request request);
    http::Response changeBehaviour(const std::string &body);
    /** @return Status of the first nested call that failed, or 0 if none did. */
    boost::asio::awaitable<std::uint16_t> makeNestedCalls(http::Request request);
    boost::asio::awaitable<void> waitForever();
    boost::asio::awaitable<void> sleepFor(core::Duration time);
    void crash();
    static boost::asio::awaitable<void> restart(std::shared_ptr<FakeEndpoint> self);
    static boost::asio::awaitable<void> announceLoop(std::shared_ptr<FakeEndpoint> self);
    static boost::asio::awaitable<void> reportLoop(std::shared_ptr<FakeEndpoint> self);
    boost::asio::awaitable<bool> sendToNode(http::Request request);
    [[nodiscard]] std::string announcement() const;
    [[nodiscard]] core::Duration serviceTimeFor(const std::string &target);
    [[nodiscard]] EndpointBehaviour behaviour() const;
    std::unique_ptr<http::Server> makeServer();

    boost::asio::any_io_executor m_executor;
    EndpointSettings m_settings;
    RunRecord m_record;
    SlotQueue m_slots;
    std::atomic<std::int64_t> m_announcedSlots;
    http::Client m_nodeClient;
    http::Client m_nestedClient;
    mutable std::mutex m_mutex; ///< Guards m_behaviour and m_server.
    EndpointBehaviour m_behaviour;
    std::unique_ptr<http::Server> m_server;
    std::unique_ptr<http::Server> m_controlServer;
    std::uint16_t m_port = 0;
    std::uint16_t m_controlPort = 0;
    std::atomic<std::int64_t> m_activeRequests{0}; ///< Requests received and not yet responded to.
    std::atomic<bool> m_isDown{false}; ///< True between a crash and the restart.
    std::atomic<bool> m_isStopping{false};
};

}
