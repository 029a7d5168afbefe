#include "berylspring/node/settings.h"

#include "node/settings_reader.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace berylspring::node {

namespace {

using boost::property_tree::ptree;
using detail::InvalidValue;
using detail::millisecondsOf;
using detail::reject;
using detail::SettingsReader;

constexpr std::size_t MinSecretLength = 16;
constexpr const char *SecretName = "fleet.secret";
constexpr const char *SecretFileName = "fleet.secret_file";
constexpr std::uint64_t MaxBoundMs = 3'600'000;
constexpr std::uint64_t MaxLimitExcess = 1'000'000;
constexpr double MaxColdExcess = 100;

/** @param settings Settings that the path comes from. */
std::string readFile(const std::string &path, std::vector<std::string> settings = {})
{
    std::ifstream file(path);
    if (!file) {
        throw InvalidValue{"cannot read " + path, std::move(settings)};
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::string ipAddress(SettingsReader &reader, const std::string &name)
{
    std::string value = reader.required(name, "an IP address");
    boost::system::error_code error;
    boost::asio::ip::make_address(value, error);
    if (error) {
        reject(name, value, "an IP address");
    }
    return value;
}

DeploymentBounds readBounds(SettingsReader &reader)
{
    return DeploymentBounds({.stopGrace = reader.bound("bounds.stop_grace_ms", 500, MaxBoundMs),
                             .drain = reader.bound("bounds.drain_ms", 100, MaxBoundMs),
                             .changeApply = reader.bound("bounds.change_apply_ms", 500, MaxBoundMs),
                             .keyWithdrawal = reader.bound("bounds.key_withdrawal_ms", 500, MaxBoundMs),
                             .limitExcess = reader.optionalNumber("bounds.limit_excess_requests", 0, MaxLimitExcess),
                             .coldExcess = reader.optionalFactor("bounds.cold_excess", 1, MaxColdExcess),
                             .coldSlack = reader.optionalNumber("bounds.cold_slack_requests", 0, MaxLimitExcess),
                             .retryExcess = reader.optionalNumber("bounds.retry_excess_requests", 0, MaxLimitExcess)});
}

void readNode(SettingsReader &reader, SettingsFields &fields)
{
    fields.host = core::HostId(reader.validName("node.host"));
    fields.dataCentre = core::DataCentreId(reader.validName("node.data_centre"));
    fields.address = ipAddress(reader, "node.address");
    fields.threads = static_cast<std::uint32_t>(reader.number("node.threads", 2, 1, 64));
    if (!reader.text("node.service", {}).empty()) {
        fields.service = core::ServiceId(reader.validName("node.service"));
    }
    const DerivedSettings derived = derivedSettings(fields.bounds);
    fields.stopTimeout = reader.derivedMilliseconds("node.stop_timeout_ms", derived->stopTimeout, 30'000, 100, 600'000);
    fields.drainStartWindow =
        reader.derivedMilliseconds("node.drain_start_window_ms", derived->drainStartWindow, 1'000, 0, 600'000);
    fields.stopLinger = reader.derivedMilliseconds(
        "node.stop_linger_ms", derived->stopLinger, 0, 0, millisecondsOf(fields.stopTimeout));
    fields.callerPort = reader.port("ports.caller");
    fields.endpointPort = reader.port("ports.endpoint");
    fields.operatorPort = reader.port("ports.operator");
    fields.peerPort = reader.port("ports.peer");
}

std::string readSecret(SettingsReader &reader)
{
    std::string secret = reader.text(SecretName, {});
    // A path from the environment must not replace the secret of the file.
    const std::string path =
        reader.isInFile(SecretName) ? reader.textWithoutEnvironment(SecretFileName) : reader.text(SecretFileName, {});
    if (!path.empty()) {
        secret = readFile(path, {SecretFileName});
        secret.erase(secret.find_last_not_of(" \r\n") + 1);
    }
    if (secret.size() < MinSecretLength) {
        reject(SecretName, "...", "at least 16 characters, here or in the file fleet.secret_file", {SecretFileName});
    }
    return secret;
}

void readFleet(SettingsReader &reader, SettingsFields &fields)
{
    for (const std::string &name : reader.list("fleet.data_centres")) {
        if (!core::isValidName(name)) {
            reject("fleet.data_centres", name, "names of 1 to 63 characters a-z, 0-9 and '-'");
        }
        fields.dataCentres.emplace_back(name);
    }
    const auto &all = fields.dataCentres;
    if (std::find(all.begin(), all.end(), fields.dataCentre) == all.end()) {
        reject("fleet.data_centres",
               reader.text("fleet.data_centres", {}),
               "a list that contains node.data_centre",
               {"node.data_centre"});
    }
    fields.secret = readSecret(reader);
    fields.seeds = reader.list("fleet.seeds");
    fields.isFirstStart = reader.flag("fleet.first_start", false);
    const std::string digest = reader.required("operator.token_digest", "64 hexadecimal digits");
    const auto parsed = core::Digest::fromHex(digest);
    if (!parsed) {
        reject("operator.token_digest", digest, "64 hexadecimal digits");
    }
    fields.operatorTokenDigest = *parsed;
}

void readPlatform(SettingsReader &reader, SettingsFields &fields)
{
    fields.logAddress = reader.required("platform.log", "an IP address with a port");
    const std::string kind = reader.text("platform.kind", "own");
    if (kind != "own" && kind != "store") {
        reject("platform.kind", kind, "own or store");
    }
    fields.protocolKind = kind == "store" ? ProtocolKind::Store : ProtocolKind::Native;
    // Only the store confirms the configuration, so that nodes with another log derive no proof from the bounds.
    const bool hasProof = fields.protocolKind == ProtocolKind::Store;
    const DerivedSettings derived = hasProof ? derivedSettings(fields.bounds) : DerivedSettings();
    fields.logPoll = reader.derivedMilliseconds("platform.poll_ms", derived->logPoll, 10'000, 100, 30'000);
    fields.proofRefresh = reader.derivedMilliseconds("platform.proof_refresh_ms", derived->proofRefresh, 0, 0, 600'000);
    fields.proofFallback =
        reader.derivedMilliseconds("platform.proof_fallback_ms", derived->proofFallback, 0, 0, 600'000);
    fields.readersPerDataCentre = static_cast<std::uint32_t>(reader.number("platform.readers", 3, 1, 100));
    fields.denialStaleness =
        reader.derivedMilliseconds("platform.denial_staleness_ms", derived->denialStaleness, 300'000, 0, 3'600'000);
    fields.keyStaleness = reader.derivedMilliseconds("platform.key_staleness_ms", derived->keyStaleness, 0, 0, 600'000);
    fields.snapshotInterval = reader.milliseconds("platform.snapshot_interval_ms", 600'000, 100, 86'400'000);
}

void readLimits(SettingsReader &reader, SettingsFields &fields)
{
    fields.maxHeaderBytes =
        static_cast<std::uint32_t>(reader.number("limits.max_header_bytes", 16'384, 1024, 1'048'576));
    fields.maxBodyBytes =
        static_cast<std::uint32_t>(reader.number("limits.max_body_bytes", 1'048'576, 1024, 67'108'864));
    fields.maxFrameBytes =
        static_cast<std::uint32_t>(reader.number("limits.max_frame_bytes", 4'194'304, 65'536, 268'435'456));
    fields.maxLimitHold = reader.milliseconds("limits.max_hold_ms", 30, 0, 1000);
    fields.burstTolerance = reader.derivedNumber(
        "limits.burst_tolerance", derivedSettings(fields.bounds)->burstTolerance, 0, 0, MaxLimitExcess);
    if (fields.maxFrameBytes < fields.maxBodyBytes + 2 * fields.maxHeaderBytes) {
        reject("limits.max_frame_bytes",
               std::to_string(fields.maxFrameBytes),
               "at least max_body_bytes + 2 x max_header_bytes",
               {"limits.max_body_bytes", "limits.max_header_bytes"});
    }
}

/** @brief Reads the mode of a part that may follow the reported pace. */
template<typename Mode>
Mode readMode(SettingsReader &reader, const std::string &name, const std::string &fallback)
{
    const std::string value = reader.text(name, fallback);
    if (value != "auto" && value != "on" && value != "off") {
        reject(name, value, "auto, on or off");
    }
    if (value == "auto") {
        return Mode::Auto;
    }
    return value == "on" ? Mode::On : Mode::Off;
}

/** @brief Reports a time that is not below the bound that it has to keep. */
void checkBelow(const std::string &name,
                core::Duration time,
                const std::string &boundName,
                const std::optional<core::Duration> &bound)
{
    if (bound && time >= *bound) {
        reject(name,
               std::to_string(millisecondsOf(time)),
               "below " + boundName + " = " + std::to_string(millisecondsOf(*bound)),
               {boundName});
    }
}

/** @brief Reports settings that contradict the bounds of the deployment. */
void checkBounds(const SettingsFields &fields)
{
    const DeploymentBounds &bounds = fields.bounds;
    checkBelow("node.stop_timeout_ms", fields.stopTimeout, "bounds.stop_grace_ms", bounds->stopGrace);
    checkBelow("platform.key_staleness_ms", fields.keyStaleness, "bounds.key_withdrawal_ms", bounds->keyWithdrawal);
    checkBelow("platform.proof_fallback_ms", fields.proofFallback, "bounds.change_apply_ms", bounds->changeApply);
    if (bounds->limitExcess && fields.burstTolerance > *bounds->limitExcess) {
        reject("limits.burst_tolerance",
               std::to_string(fields.burstTolerance),
               "at most bounds.limit_excess_requests = " + std::to_string(*bounds->limitExcess),
               {"bounds.limit_excess_requests"});
    }
    if (fields.keyStaleness > core::Duration::zero()) {
        checkBelow(
            "platform.proof_fallback_ms", fields.proofFallback, "platform.key_staleness_ms", fields.keyStaleness);
    }
}

void readRouting(SettingsReader &reader, SettingsFields &fields)
{
    const std::string policy = reader.text("routing.policy", "auto");
    if (policy != "auto" && policy != "load" && policy != "cost") {
        reject("routing.policy", policy, "auto, load or cost");
    }
    fields.routingPolicy = policy == "auto"   ? routing::RoutingPolicy::Auto
                           : policy == "load" ? routing::RoutingPolicy::Load
                                              : routing::RoutingPolicy::Cost;
}

void readTelemetry(SettingsReader &reader, SettingsFields &fields)
{
    fields.otlpAddress = reader.text("traces.otlp", {});
    fields.spanFile = reader.text("traces.file", {});
    fields.sampleRatio = reader.ratio("traces.sample_ratio", 0.01);
    const std::string level = reader.text("log.level", "info");
    const auto severity = telemetry::severityFromString(level);
    if (!severity) {
        reject("log.level", level, "debug, info, warning or error");
    }
    fields.logLevel = *severity;
    fields.areControlsOn = reader.flag("controls.enabled", true);
}

}

Result<SettingsDocument> parseDocument(const std::string &text, const SettingsEnvironment &environment)
{
    ptree tree;
    SettingsReader reader(tree, environment);
    try {
        std::istringstream stream(text);
        boost::property_tree::read_ini(stream, tree);
        SettingsFields fields;
        fields.bounds = readBounds(reader);
        readNode(reader, fields);
        readFleet(reader, fields);
        readPlatform(reader, fields);
        readLimits(reader, fields);
        fields.returnTimes = readMode<ReturnTimes>(reader, "admission.return_times", "auto");
        fields.workspaceShares = readMode<WorkspaceSharesMode>(reader, "admission.workspace_shares", "off");
        readRouting(reader, fields);
        readTelemetry(reader, fields);
        reader.rejectUnknown();
        checkBounds(fields);
        std::vector<EffectiveSetting> effective = reader.effective();
        for (EffectiveSetting &setting : effective) {
            setting.value = setting.name == SecretName ? "..." : setting.value;
        }
        return SettingsDocument{Settings(std::move(fields)), std::move(effective), reader.unknownVariables()};
    } catch (const InvalidValue &invalid) {
        return tl::unexpected(Error(ErrorCode::InvalidSettings, reader.describe(invalid)));
    } catch (const boost::property_tree::ini_parser_error &error) {
        return tl::unexpected(
            Error(ErrorCode::InvalidSettings, error.message() + " in line " + std::to_string(error.line())));
    }
}

Result<Settings> parseSettings(const std::string &text, const SettingsEnvironment &environment)
{
    return parseDocument(text, environment).map(&SettingsDocument::settings);
}

Result<SettingsDocument> loadDocument(const std::string &path, const SettingsEnvironment &environment)
{
    try {
        return parseDocument(readFile(path), environment);
    } catch (const InvalidValue &invalid) {
        return tl::unexpected(Error(ErrorCode::StartFailed, invalid.detail));
    }
}

Result<Settings> loadSettings(const std::string &path, const SettingsEnvironment &environment)
{
    return loadDocument(path, environment).map(&SettingsDocument::settings);
}

}
