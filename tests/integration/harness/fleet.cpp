#include "integration/harness/fleet.h"

#include "berylspring/core/digest.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include <boost/json.hpp>

namespace berylspring::test {

namespace json = boost::json;

namespace {

constexpr const char *OperatorToken = "operator-token-of-the-tests";
constexpr const char *FleetSecret = "fleet-secret-of-the-tests";

std::string program(const std::string &name)
{
    const std::string directory = BERYLSPRING_BINARY_DIR;
    return name == "berylspringd" ? directory + "/" + name : directory + "/tests/" + name;
}

std::string join(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

}

Fleet::Fleet(FleetConfig config)
    : m_config(std::move(config))
    , m_operators(m_calls, OperatorToken)
{
    m_log.emplace("fakelog",
                  std::vector<std::string>{program("berylspring-fakelog"), "--port", "0"},
                  m_directory.file("log.out"));
    m_logPort = m_log->waitForPort();
    for (const std::string &dataCentre : m_config->dataCentres) {
        for (std::size_t i = 0; i < nodesPerDataCentre(); ++i) {
            m_nodes.push_back({.host = dataCentre + "-host-" + std::to_string(i),
                               .dataCentre = dataCentre,
                               .endpointIndex = i,
                               .fixedPeerPort = i == 0 ? findFreePort() : std::uint16_t{0}});
        }
    }
    for (FleetNode &node : m_nodes) {
        startDaemon(node);
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        waitForDaemonPorts(m_nodes[i]);
        startEndpoint(i);
    }
}

void Fleet::startDaemon(FleetNode &node)
{
    const std::string name = node.host + "." + std::to_string(node.starts++);
    const std::string settingsFile = m_directory.file(name + ".ini");
    std::ofstream(settingsFile) << settingsOf(node);
    const std::vector<std::string> arguments{program("berylspringd"), "--settings", settingsFile};
    node.daemon.reset();
    node.daemon.emplace(node.host, arguments, m_directory.file(name + ".out"));
}

void Fleet::waitForDaemonPorts(FleetNode &node)
{
    node.callerPort = node.daemon->waitForPort("caller");
    node.endpointPort = node.daemon->waitForPort("endpoint");
    node.operatorPort = node.daemon->waitForPort("operator");
    node.peerPort = node.daemon->waitForPort("peer");
}

std::string Fleet::settingsOf(const FleetNode &node) const
{
    std::vector<std::string> seeds;
    for (const FleetNode &other : m_nodes) {
        if (other.fixedPeerPort != 0) {
            seeds.push_back("127.0.0.1:" + std::to_string(other.fixedPeerPort));
        }
    }
    std::ostringstream text;
    text << "[node]\nhost = " << node.host << "\ndata_centre = " << node.dataCentre << "\naddress = 127.0.0.1\n"
         << "[ports]\npeer = " << node.fixedPeerPort << "\n"
         << "[fleet]\ndata_centres = " << join(m_config->dataCentres) << "\nsecret = " << FleetSecret
         << "\nseeds = " << join(seeds) << "\n"
         << "[operator]\ntoken_digest = " << core::sha256(OperatorToken).toHex() << "\n"
         << "[platform]\nlog = 127.0.0.1:" << m_logPort << "\n"
         << "[controls]\nenabled = " << (m_config->areControlsOn ? "on" : "off") << "\n"
         << m_config->extraSettings;
    return text.str();
}

std::string Fleet::operatorToken()
{
    return OperatorToken;
}

void Fleet::restartDaemon(std::size_t index)
{
    FleetNode &node = m_nodes.at(index);
    startDaemon(node);
    waitForDaemonPorts(node);
    startEndpoint(index);
    waitUntilReady(index);
}

void Fleet::startEndpoint(std::size_t index)
{
    FleetNode &node = m_nodes.at(index);
    const EndpointConfig &config = m_config->endpoints.at(node.endpointIndex);
    node.endpoint.reset();
    if (config.service.empty()) {
        return;
    }
    std::vector<std::string> arguments{program("berylspring-fakeendpoint"),
                                       "--service=" + config.service,
                                       "--node-endpoint-port=" + std::to_string(node.endpointPort),
                                       "--node-caller-port=" + std::to_string(node.callerPort),
                                       "--slots=" + std::to_string(config.slots),
                                       "--service-ms=" + std::to_string(config.serviceMs),
                                       "--jitter=" + std::to_string(config.jitter),
                                       "--report-load=" + config.reportLoad};
    arguments.insert(arguments.end(), config.extraOptions.begin(), config.extraOptions.end());
    const std::string output = m_directory.file(node.host + ".endpoint." + std::to_string(node.starts++) + ".out");
    node.endpoint.emplace(node.host + " endpoint", arguments, output);
    node.servicePort = node.endpoint->waitForPort("service");
    node.controlPort = node.endpoint->waitForPort("control");
}

void Fleet::waitUntilReady(std::size_t index)
{
    FleetNode &node = m_nodes.at(index);
    const http::Request request({.method = "GET", .target = "/readyz"});
    const auto isReady = [&] {
        const auto response = m_calls.send(node.operatorPort, request, DefaultTimeout);
        return response && (*response)->status == 200;
    };
    if (!waitUntil(isReady)) {
        throw std::runtime_error(node.host + " did not become ready; output:\n" + node.daemon->output());
    }
}

void Fleet::controlLog(const json::object &change)
{
    m_calls.json(m_logPort, "PUT", "/control", json::serialize(change));
}

void Fleet::controlEndpoint(std::size_t index, const json::object &change)
{
    m_calls.json(m_nodes.at(index).controlPort, "PUT", "/control", json::serialize(change));
}

json::object Fleet::record(std::size_t index)
{
    return m_calls.json(m_nodes.at(index).controlPort, "GET", "/record").as_object();
}

std::map<std::string, std::uint64_t> Fleet::totals(const std::string &member)
{
    std::map<std::string, std::uint64_t> sums;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!m_nodes[i].endpoint || m_nodes[i].endpoint->poll()) {
            continue;
        }
        const json::object all = record(i);
        for (const auto &entry : all.at(member).as_object()) {
            sums[std::string(entry.key())] += entry.value().to_number<std::uint64_t>();
        }
    }
    return sums;
}

std::string Fleet::metrics(std::size_t index)
{
    const http::Request request({.method = "GET", .target = "/metrics"});
    const auto response = m_calls.send(m_nodes.at(index).operatorPort, request, DefaultTimeout);
    if (!response || (*response)->status != 200) {
        throw std::runtime_error("cannot read the metrics of " + m_nodes.at(index).host);
    }
    return (*response)->body;
}

void Fleet::put(const std::string &type, const std::string &name, const json::object &body)
{
    const std::vector<std::size_t> indices = running();
    const std::uint16_t port = m_nodes.at(indices.at(0)).operatorPort;
    const core::Offset change = m_operators.put(port, type, name, body);
    m_operators.waitUntilInForce(port, change, indices.size());
}

void Fleet::addWorkspace(const std::string &name, double rate, double burst, double weight)
{
    put("workspaces", name, {{"weight", weight}});
    put("limits", name, {{"workspace", name}, {"rate", rate}, {"burst", burst}});
    put("keys", name, {{"workspace", name}, {"digest", core::sha256("key-" + name).toHex()}});
}

void Fleet::addRoute(const std::string &name, const json::object &body, int level, double worth)
{
    put("priorities", name, {{"level", level}, {"worth", worth}});
    json::object route = body;
    route["priority"] = name;
    put("routes", name, route);
}

void Fleet::waitUntilServing(const std::vector<std::string> &paths, const std::string &key)
{
    for (const std::size_t index : running()) {
        for (const std::string &path : paths) {
            CallResult last;
            const Call probe({.target = path, .key = key});
            const auto isServing = [&] {
                last = call(index, probe);
                return last.isComplete();
            };
            if (!waitUntil(isServing)) {
                throw std::runtime_error(m_nodes[index].host + " does not serve " + path + ": " + last->reason + " "
                                         + std::to_string(last->status) + " " + last->body + " " + last->mismatch);
            }
        }
    }
}

CallResult Fleet::call(std::size_t index, const Call &call)
{
    return test::call(m_calls, m_nodes.at(index).callerPort, call);
}

std::vector<std::size_t> Fleet::running()
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].daemon && !m_nodes[i].daemon->poll()) {
            indices.push_back(i);
        }
    }
    return indices;
}

}
