#pragma once

#include "integration/harness/caller.h"
#include "integration/harness/fleet_config.h"
#include "integration/harness/http_calls.h"
#include "integration/harness/operator_api.h"
#include "integration/harness/process.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace berylspring::test {

/** @brief A daemon of a fleet and the endpoint on the same host. */
struct FleetNode
{
    std::string host;
    std::string dataCentre;
    std::size_t endpointIndex = 0; ///< In FleetConfig.
    std::uint16_t fixedPeerPort = 0; ///< 0: the daemon binds any free port.
    std::optional<Process> daemon;
    std::uint16_t callerPort = 0;
    std::uint16_t endpointPort = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t peerPort = 0;
    std::optional<Process> endpoint;
    std::uint16_t servicePort = 0; ///< Of the fake endpoint.
    std::uint16_t controlPort = 0; ///< Of the fake endpoint.
    int starts = 0; ///< Starts of the daemon and the endpoint; makes file names unique.
};

/**
 * @brief A platform log, daemons in data centres, and a fake endpoint for each daemon, each in a process of its own.
 * Node number i belongs to data centre i / nodesPerDataCentre().
 */
class Fleet
{
public:
    /** @brief Starts all processes; nodes become ready when the first resource has been written. */
    explicit Fleet(FleetConfig config);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** @return The token that the operator ports of all nodes accept. */
    [[nodiscard]] static std::string operatorToken();
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_nodes.size();
    }
    [[nodiscard]] std::size_t nodesPerDataCentre() const noexcept
    {
        return m_config->endpoints.size();
    }
    [[nodiscard]] FleetNode &node(std::size_t index)
    {
        return m_nodes.at(index);
    }

    /** @brief Restarts the ended daemon of a node, and its endpoint, with new ports and the same host name. */
    void restartDaemon(std::size_t index);
    /** @brief Starts the endpoint of a node, which then announces itself. */
    void startEndpoint(std::size_t index);
    /** @brief Waits until GET /readyz of a node returns 200. */
    void waitUntilReady(std::size_t index);

    /** @brief Changes the behaviour of the platform log, for example {{"refuse", true}}. */
    void controlLog(const boost::json::object &change);
    /** @brief Changes the behaviour of a fake endpoint, for example {{"service_ms", 20}}. */
    void controlEndpoint(std::size_t index, const boost::json::object &change);
    /** @return The record of the endpoint of a node (GET /record). */
    [[nodiscard]] boost::json::object record(std::size_t index);
    /** @return The counts in one member of the records, by key and summed over all running endpoints. */
    [[nodiscard]] std::map<std::string, std::uint64_t> totals(const std::string &member);
    /** @return The body of GET /metrics of a node. */
    [[nodiscard]] std::string metrics(std::size_t index);

    /** @brief Writes a resource at the first running node and waits until it is in force on all running nodes. */
    void put(const std::string &type, const std::string &name, const boost::json::object &body);
    /** @brief Declares a workspace with its limit and the key "key-NAME". @param rate In calls per second. */
    void addWorkspace(const std::string &name, double rate, double burst, double weight = 1);
    /** @brief Declares a route and a priority of the same name. */
    void addRoute(const std::string &name, const boost::json::object &body, int level, double worth = 1);
    /** @brief Calls the paths with a key until every running node has answered each of them completely. */
    void waitUntilServing(const std::vector<std::string> &paths, const std::string &key);

    [[nodiscard]] CallResult call(std::size_t index, const Call &call);
    [[nodiscard]] OperatorApi &operators()
    {
        return m_operators;
    }
    [[nodiscard]] HttpCalls &calls()
    {
        return m_calls;
    }
    [[nodiscard]] std::uint16_t logPort() const noexcept
    {
        return m_logPort;
    }
    /** @return Indices of the nodes whose daemon is running. */
    [[nodiscard]] std::vector<std::size_t> running();

private:
    void startDaemon(FleetNode &node);
    void waitForDaemonPorts(FleetNode &node);
    [[nodiscard]] std::string settingsOf(const FleetNode &node) const;

    FleetConfig m_config;
    TemporaryDirectory m_directory;
    HttpCalls m_calls;
    OperatorApi m_operators;
    std::optional<Process> m_log;
    std::uint16_t m_logPort = 0;
    std::vector<FleetNode> m_nodes;
};

}
