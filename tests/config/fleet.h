#pragma once

#include "berylspring/config/config_service.h"
#include "config/in_memory_log.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace berylspring::test {

/** @brief Configuration services of several nodes that share one log, all run by one thread. */
class Fleet
{
public:
    struct Node
    {
        bool isReader = true;
        bool isReachable = true;
        int snapshotRank = -1;
        std::vector<std::string> reports;
        std::unique_ptr<config::ConfigService> service;
    };

    Fleet();
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** @brief Adds a node, or replaces the one of that name, and starts its service. */
    Node &add(const std::string &name, bool isReader = true);
    void stop(const std::string &name);
    [[nodiscard]] config::ConfigService &service(const std::string &name);

    /** @brief Runs the coroutine to its end and returns its result. */
    template<typename Value>
    Value wait(boost::asio::awaitable<Value> work);
    void wait(boost::asio::awaitable<void> work);
    /** @brief Runs the event loop until the condition holds; there is no timeout except that of the test program. */
    void until(const std::function<bool()> &condition);

    /** @return Offset of the accepted change; the test fails if the change is not accepted. */
    core::Offset
    put(const std::string &node, config::ResourceType type, const std::string &name, const std::string &json);

    config::ConfigSettings settings;

private:
    [[nodiscard]] config::ConfigHooks hooksOf(const std::string &name);
    boost::asio::awaitable<wire::Result<wire::Message>> call(core::HostId from, core::HostId to, wire::Message message);
    [[nodiscard]] std::vector<core::HostId> peersOf(const std::string &name) const;

    boost::asio::io_context m_context;
    std::map<std::string, Node> m_nodes;
    std::uint64_t m_random = 0;

public:
    InMemoryLog log;
};

template<typename Value>
Value Fleet::wait(boost::asio::awaitable<Value> work)
{
    std::optional<Value> result;
    boost::asio::co_spawn(m_context, std::move(work), [&](const std::exception_ptr &failure, Value value) {
        if (failure) {
            std::rethrow_exception(failure);
        }
        result = std::move(value);
    });
    until([&] { return result.has_value(); });
    return std::move(*result);
}

}
