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

/** @brief A daemon of a fleet with the endpoint beside it. */
struct FleetNode
{
    std::string host;
    std::string dataCentre;
    std::size_t endpointIndex = 0; ///< In FleetConfig.
    std::uint16_t reservedPeerPort = 0; ///< 0: the daemon takes a free one.
    std::optional<Process> daemon;
    std::uint16_t callerPort = 0;
    std::uint16_t endpointPort = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t peerPort = 0;
    std::optional<Process> endpoint;
    std::uint16_t servicePort = 0; ///< Of the fake endpoint.
    std::uint16_t controlPort = 0; ///< Of the fake endpoint.
    int starts = 0; ///< Of the daemon, for names of files.
};

/**
 * @brief Platform log, data centres with daemons, and a fake endpoint beside each daemon, all as processes.
 * Node number i belongs to data centre i / nodesPerDataCentre().
 */
class Fleet
{
public:
    /** @brief Starts everything; the nodes become ready with the first resource. */
    explicit Fleet(FleetConfig config);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** @return Token that the operator ports of all nodes accept. */
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

    /** @brief Starts the daemon of a node again, after its end, with new ports and the same host name. */
    void restartDaemon(std::size_t index);
    /** @brief Starts the endpoint of a node and lets it announce itself. */
    void startEndpoint(std::size_t index);
    /** @brief Waits until /readyz of a node says 200. */
    void waitUntilReady(std::size_t index);

    /** @brief Changes the platform log, for example {{"refuse", true}}. */
    void controlLog(const boost::json::object &change);
    /** @brief Changes a fake endpoint, for example {{"service_ms", 20}}. */
    void controlEndpoint(std::size_t index, const boost::json::object &change);
    /** @return What the endpoint of a node has recorded (GET /record). */
    [[nodiscard]] boost::json::object record(std::size_t index);
    /** @return The sum over all endpoints of the counts in one member of their records, by key. */
    [[nodiscard]] std::map<std::string, std::uint64_t> totals(const std::string &member);
    /** @return The text of /metrics of a node. */
    [[nodiscard]] std::string metrics(std::size_t index);

    /** @brief Puts a resource at the first node that runs and waits until it is in force on all that run. */
    void put(const std::string &type, const std::string &name, const boost::json::object &body);
    /** @brief Declares workspace, key and limit; the key is "key-NAME". @param rate Also per second. */
    void addWorkspace(const std::string &name, double rate, double burst, double weight = 1);
    /** @brief Declares a priority of the same name and the route. */
    void addRoute(const std::string &name, const boost::json::object &body, int level, double worth = 1);
    /** @brief Calls the paths with a key until each has a complete answer at every node that runs. */
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
    /** @return Indices of the nodes whose daemon runs. */
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
