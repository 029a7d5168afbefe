#pragma once

#include "integration/harness/fleet.h"
#include "integration/harness/paced_load.h"

#include <cstddef>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief Size of a deployment from the design page, scaled down to run on one machine. */
struct DeploymentSizeFields
{
    std::string name;
    std::size_t endpointsPerService = 1; ///< Per data centre.
    std::size_t slots = 4; ///< Per endpoint of the deepest service.
    double serviceMs = 10;
    double limitFactor = 4; ///< Declared rate of a workspace / its ordinary rate.
    [[nodiscard]] bool operator==(const DeploymentSizeFields &) const = default;
};
using DeploymentSize = core::Immutable<DeploymentSizeFields>;

/** @return The size "abay" or "ozolzars" with scaled slots; throws std::invalid_argument for any other name. */
[[nodiscard]] DeploymentSize deploymentSize(const std::string &name, double scale);

/** @brief A tenant of the deployment and its share of all ordinary calls. */
struct Tenant
{
    std::string name;
    double share = 0;
    [[nodiscard]] bool operator==(const Tenant &) const = default;
};

/** @brief A kind of call that callers of the deployment send. */
struct CallKind
{
    std::string name;
    std::string method;
    std::string target; ///< Path, and a query that names the nested calls.
    double share = 0; ///< Of all calls.
    int level = 0;
    double worth = 1;
    [[nodiscard]] bool operator==(const CallKind &) const = default;
};

/**
 * @brief Three data centres, four services in call chains whose deepest service is "roster", and eight workspaces of
 * unequal size.
 */
class Deployment
{
public:
    explicit Deployment(DeploymentSize size);

    [[nodiscard]] static const std::vector<Tenant> &tenants();
    [[nodiscard]] static const std::vector<CallKind> &kinds();

    /** @return Calls of callers per second at which the service "roster" is at its capacity. */
    [[nodiscard]] double capacityPerSecond() const;
    /** @return Settings of a fleet. @param reportLoad For half of the endpoints of each service: "on" or "stuck". */
    [[nodiscard]] FleetConfig fleetConfig(bool areControlsOn, const std::string &reportLoad = "on") const;
    /** @brief Declares workspaces, keys, limits, priorities and routes and waits until all nodes serve. */
    void declare(Fleet &fleet, double ordinaryRate) const;
    /** @return Declared rate of a tenant. */
    [[nodiscard]] double limitOf(const Tenant &tenant, double ordinaryRate) const;
    /** @return Indices of the nodes whose endpoint runs the service. */
    [[nodiscard]] std::vector<std::size_t> nodesOf(const std::string &service) const;
    [[nodiscard]] const DeploymentSize &size() const noexcept
    {
        return m_size;
    }

private:
    DeploymentSize m_size;
};

}
