#include "config/fleet.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace berylspring::test {

namespace asio = boost::asio;

Fleet::Fleet()
    : log(m_context.get_executor())
{
    // Short pauses keep the tests fast; no check depends on their length.
    settings.longPoll = std::chrono::milliseconds(20);
    settings.slowPoll = std::chrono::hours(1);
    settings.roleCheck = std::chrono::milliseconds(1);
    settings.retryDelay = std::chrono::milliseconds(1);
    settings.writeTimeout = std::chrono::minutes(10);
    settings.confirmTimeout = std::chrono::milliseconds(2);
    settings.withdrawalWait = std::chrono::minutes(10);
    settings.withdrawalRetry = std::chrono::milliseconds(1);
}

Fleet::~Fleet()
{
    for (auto &[name, node] : m_nodes) {
        node.service.reset();
    }
    m_context.run(); // returns only if the stopped services have ended all their coroutines
}

Fleet::Node &Fleet::add(const std::string &name, bool isReader)
{
    Node &node = m_nodes[name];
    node.isReader = isReader;
    node.isReachable = true;
    node.service = std::make_unique<config::ConfigService>(m_context.get_executor(), settings, hooksOf(name));
    node.service->start();
    return node;
}

void Fleet::stop(const std::string &name)
{
    m_nodes.at(name).service.reset();
}

config::ConfigService &Fleet::service(const std::string &name)
{
    return *m_nodes.at(name).service;
}

void Fleet::wait(asio::awaitable<void> work)
{
    bool isDone = false;
    asio::co_spawn(m_context, std::move(work), [&](const std::exception_ptr &) { isDone = true; });
    until([&] { return isDone; });
}

void Fleet::until(const std::function<bool()> &condition)
{
    while (!condition()) {
        m_context.restart();
        CHECK_TRUE(m_context.run_one() > 0);
    }
}

core::Offset
Fleet::put(const std::string &node, config::ResourceType type, const std::string &name, const std::string &json)
{
    const auto outcome = wait(service(node).put(type, name, json, std::nullopt));
    CHECK_TRUE_TEXT(outcome.has_value(), outcome ? "" : outcome.error().detail().c_str());
    return outcome->change.value();
}

config::ConfigHooks Fleet::hooksOf(const std::string &name)
{
    config::ConfigHooks hooks;
    Node &node = m_nodes[name];
    hooks.log = log.hooks();
    hooks.call = [this, name](core::HostId to, wire::Message message, core::Duration) {
        return call(core::HostId(name), std::move(to), std::move(message));
    };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.random = [this] { return m_random += 0x9e3779b97f4a7c15ULL; };
    hooks.isReader = [&node] { return node.isReader; };
    hooks.snapshotRank = [&node] { return node.snapshotRank; };
    hooks.peers = [this, name] { return peersOf(name); };
    hooks.reader = [this, name]() -> std::optional<core::HostId> {
        const auto reader =
            std::find_if(m_nodes.begin(), m_nodes.end(), [](const auto &entry) { return entry.second.isReader; });
        const bool isOther = reader != m_nodes.end() && reader->first != name;
        return isOther ? std::optional(core::HostId(reader->first)) : std::nullopt;
    };
    hooks.report = [&node](std::string text) { node.reports.push_back(std::move(text)); };
    return hooks;
}

std::vector<core::HostId> Fleet::peersOf(const std::string &name) const
{
    std::vector<core::HostId> peers;
    for (const auto &[other, node] : m_nodes) {
        if (other != name && node.service) {
            peers.emplace_back(other);
        }
    }
    return peers;
}

asio::awaitable<wire::Result<wire::Message>> Fleet::call(core::HostId from, core::HostId to, wire::Message message)
{
    const auto target = m_nodes.find(to.value());
    if (target == m_nodes.end() || !target->second.service || !target->second.isReachable
        || !m_nodes.at(from.value()).isReachable) {
        co_return tl::unexpected(wire::Error(wire::ErrorCode::Unreachable, false));
    }
    co_return co_await target->second.service->handle(std::move(from), std::move(message));
}

}
