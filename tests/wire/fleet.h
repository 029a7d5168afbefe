#pragma once

#include "berylspring/wire/peer_pool.h"
#include "berylspring/wire/peer_server.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::test {

/** @brief Timeout long enough that reaching it means failure even on a slow machine. */
inline constexpr core::Duration LongTimeout = std::chrono::seconds(60);

inline wire::PeerOptions peerOptions(const std::string &host, const std::string &secret = "fleet secret")
{
    wire::PeerOptions options;
    options.self = core::HostId(host);
    options.bootId = 1;
    options.secret = secret;
    return options;
}

/** @brief Peer addresses set by a test. Thread-safe. */
class Addresses
{
public:
    void set(const std::string &host, std::uint16_t port)
    {
        const std::scoped_lock lock(m_mutex);
        m_ports[core::HostId(host)] = port;
    }

    [[nodiscard]] wire::AddressLookup lookup()
    {
        return [this](const core::HostId &host) -> std::optional<wire::PeerAddress> {
            const std::scoped_lock lock(m_mutex);
            const auto found = m_ports.find(host);
            if (found == m_ports.end()) {
                return std::nullopt;
            }
            return wire::PeerAddress{"127.0.0.1", found->second};
        };
    }

private:
    std::mutex m_mutex;
    std::map<core::HostId, std::uint16_t> m_ports;
};

/** @brief Event that one coroutine awaits and another signals; for a single-threaded io_context. */
class Event
{
public:
    explicit Event(boost::asio::io_context &context)
        : m_timer(context, boost::asio::steady_timer::time_point::max())
    {
    }

    void signal()
    {
        m_isSignalled = true;
        m_timer.cancel();
    }

    boost::asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        while (!m_isSignalled) {
            auto token = boost::asio::redirect_error(boost::asio::use_awaitable, ignored);
            co_await m_timer.async_wait(token);
        }
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_isSignalled = false;
};

/**
 * @brief Runs a coroutine on a number of threads, until the context has no work left.
 * @param body Coroutine; must close all pools and servers, otherwise the run does not end.
 */
inline void runToCompletion(boost::asio::io_context &context,
                            int threadCount,
                            const std::function<boost::asio::awaitable<void>()> &body)
{
    std::exception_ptr failure;
    auto running = body();
    boost::asio::co_spawn(context, std::move(running), [&](const std::exception_ptr &error) {
        failure = error;
        if (error) {
            context.stop(); // A failed check leaves connections open, so that the run would not end.
        }
    });
    {
        std::vector<std::jthread> threads;
        for (int i = 1; i < threadCount; ++i) {
            threads.emplace_back([&] { context.run(); });
        }
        context.run();
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

}
