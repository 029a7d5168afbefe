#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/node/deployment_bounds.h"
#include "berylspring/node/error.h"
#include "berylspring/node/return_times.h"
#include "berylspring/node/settings_environment.h"
#include "berylspring/node/workspace_shares_mode.h"
#include "berylspring/routing/service_work.h"
#include "berylspring/telemetry/log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylspring::node {

/** @brief Protocol family that a node uses with callers, endpoints and the log. */
enum class ProtocolKind {
    Native, ///< Native protocols of the product.
    Store, ///< Protocols of the users' platform.
};

/** @brief Validated settings of a daemon. docs/settings.md lists their names and ranges. */
struct SettingsFields
{
    core::HostId host;
    core::DataCentreId dataCentre;
    std::string address; ///< IP address that all ports are bound to and that peers connect to.
    core::ServiceId service; ///< Service of the endpoint on this host; empty: unknown until it announces itself.
    std::uint32_t threads = 2;

    std::uint16_t callerPort = 0; ///< 0, here and below: any free port.
    std::uint16_t endpointPort = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t peerPort = 0;

    std::vector<core::DataCentreId> dataCentres; ///< All declared data centres; the same on every host.
    std::string secret; ///< Shared secret of the fleet.
    std::vector<std::string> seeds; ///< Peers to contact first, "IP:PORT".
    core::Digest operatorTokenDigest;
    std::string logAddress; ///< Log of the platform, "IP:PORT".
    core::Duration snapshotInterval{};
    ProtocolKind protocolKind = ProtocolKind::Native;
    core::Duration logPoll{}; ///< Long-poll timeout of a log reader.
    core::Duration proofRefresh{}; ///< Age at which the configuration is confirmed with a peer; 0: never.
    core::Duration proofFallback{}; ///< Age at which it is confirmed by reading the log directly; 0: never.
    std::uint32_t readersPerDataCentre = 3; ///< Nodes of each data centre that tail the log.
    core::Duration denialStaleness{}; ///< Maximum configuration age for denying unknown keys and routes; 0: any.
    core::Duration keyStaleness{}; ///< Maximum configuration age for accepting keys; 0: set by each workspace.

    std::uint32_t maxHeaderBytes = 0;
    std::uint32_t maxBodyBytes = 0;
    std::uint32_t maxFrameBytes = 0;
    std::uint32_t burstTolerance = 0; ///< Requests that each workspace may send over its declared burst.
    core::Duration maxLimitHold{}; ///< Longest wait of a request for rate limit tokens.
    DeploymentBounds bounds;
    core::Duration stopTimeout{}; ///< Upper bound of a graceful stop.
    core::Duration drainStartWindow{}; ///< Part of a drain in which requests that wait for the endpoint still start.
    core::Duration stopLinger{}; ///< Initial phase of a graceful stop in which new requests are still accepted.

    routing::RoutingPolicy routingPolicy = routing::RoutingPolicy::Auto;

    std::string otlpAddress; ///< OTLP collector, "IP:PORT"; empty: none.
    std::string spanFile; ///< File that spans are appended to as JSON lines; empty: none.
    double sampleRatio = 0; ///< Fraction of new traces that is sampled, 0 to 1.

    telemetry::Severity logLevel = telemetry::Severity::Info;
    bool isFirstStart = false; ///< Initial start of the whole fleet.
    ReturnTimes returnTimes = ReturnTimes::Auto;
    WorkspaceSharesMode workspaceShares = WorkspaceSharesMode::Off;
    bool areControlsOn = true; ///< False: no limits, queues, shedding or retry budgets, for comparison runs.
    [[nodiscard]] bool operator==(const SettingsFields &) const = default;
};

class Settings : public core::Immutable<SettingsFields>
{
public:
    using Immutable::Immutable;
};

/** @brief Where the value of a setting comes from. */
enum class SettingSource {
    File,
    Environment, ///< Variable of the process.
    Bound, ///< Derived from a bound of the deployment.
    Default,
};

/** @brief A setting as the daemon uses it. */
struct EffectiveSetting
{
    std::string name; ///< "section.name".
    std::string value; ///< Empty: none. Secrets are masked.
    SettingSource source = SettingSource::Default;
    [[nodiscard]] bool operator==(const EffectiveSetting &) const = default;
};

/** @brief Validated settings and the values that they were read from. */
struct SettingsDocument
{
    Settings settings;
    std::vector<EffectiveSetting> effective; ///< Sorted by name.
    std::vector<std::string> unknownVariables; ///< Names of the variables that belong to no setting, sorted.
    [[nodiscard]] bool operator==(const SettingsDocument &) const = default;
};

/**
 * @brief Parses settings in INI format.
 * @param text Content of the settings file.
 * @param environment Values of the settings that the file does not have.
 * @return The settings, or InvalidSettings with the name, value and allowed range of the first invalid setting, and
 * with the variables that it comes from. Unknown sections and names are errors, unknown variables are not.
 */
[[nodiscard]] Result<Settings> parseSettings(const std::string &text, const SettingsEnvironment &environment = {});
/** @return As parseSettings(), with the value of each setting and where it comes from. */
[[nodiscard]] Result<SettingsDocument> parseDocument(const std::string &text,
                                                     const SettingsEnvironment &environment = {});

/** @return parseSettings() of the content of a file; StartFailed if the file cannot be read. */
[[nodiscard]] Result<Settings> loadSettings(const std::string &path, const SettingsEnvironment &environment = {});
/** @return parseDocument() of the content of a file; StartFailed if the file cannot be read. */
[[nodiscard]] Result<SettingsDocument> loadDocument(const std::string &path,
                                                    const SettingsEnvironment &environment = {});

}
