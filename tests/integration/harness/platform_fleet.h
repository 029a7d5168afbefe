#pragma once

#include "berylspring/http/server.h"
#include "integration/harness/http_calls.h"
#include "integration/harness/process.h"
#include "integration/harness/store_stand_in.h"
#include "tools/common/fault_route.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace berylspring::test {

inline const std::string ConfigTopic = "keyed.op";
inline const std::string ConfigKey = "config";

/**
 * @brief Configuration document of the users' platform with the open route /open/, the route /past/ and one workspace.
 * @param version Version of the document.
 * @param keys JSON strings of the workspace's keys, separated by commas.
 * @param maxBodyBytes Limit on the body of a caller's request.
 * @param routes JSON objects of further routes, each followed by a comma.
 */
[[nodiscard]] std::string
platformDocument(int version, const std::string &keys, int maxBodyBytes = 1'000'000, const std::string &routes = {});

/** @brief An endpoint that stamps its answers and keeps the headers of the last request. */
class StampingEndpoint
{
public:
    explicit StampingEndpoint(boost::asio::any_io_executor executor);
    ~StampingEndpoint();
    StampingEndpoint(const StampingEndpoint &) = delete;
    StampingEndpoint &operator=(const StampingEndpoint &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return m_port;
    }
    [[nodiscard]] int runs() const noexcept
    {
        return m_runs;
    }
    [[nodiscard]] std::string lastHeader(const std::string &name);

private:
    boost::asio::awaitable<http::Reply> answer(http::Request request);

    std::atomic<int> m_runs{0};
    std::mutex m_mutex;
    http::Request m_last;
    http::Server m_server;
    std::uint16_t m_port;
};

/** @brief A daemon whose settings select the users' platform. */
struct PlatformNode
{
    PlatformNode(const std::string &host,
                 const std::string &dataCentre,
                 const std::string &service,
                 std::uint16_t storePort,
                 const TemporaryDirectory &directory,
                 std::uint16_t fixedPeerPort = 0);

    Process process;
    std::uint16_t callerPort;
    std::uint16_t endpointPort;
    std::uint16_t operatorPort;
    std::uint16_t peerPort;
};

/**
 * @brief Two nodes in two data centres; the endpoint of the routes is attached to the first. The second node reaches
 * the store through a route of its own.
 */
class PlatformFleet
{
public:
    PlatformFleet();

    /** @return Status of the answer, 0 without one. */
    int status(std::uint16_t port,
               const std::string &method,
               const std::string &target,
               const std::string &body = {},
               const std::string &key = {});
    /** @brief Sends a heartbeat of the endpoint to its node. @return The HTTP status. */
    int heartbeat(const std::string &state);
    /** @brief Sends a heartbeat of an endpoint at the same address to any node. @return The HTTP status. */
    int heartbeatTo(std::uint16_t port, const std::string &id, const std::string &state, int sequence);
    /** @brief Tells a node that an endpoint has left. @return The HTTP status. */
    int leaveAt(std::uint16_t port, const std::string &id);
    /** @brief Repeats a request until its answer has the status; keeps the endpoint announced. @return False on
     * timeout. */
    bool waitForStatus(int expected, std::uint16_t port, const std::string &target, const std::string &key);
    /** @brief Starts a further node, which reaches the store directly. */
    [[nodiscard]] PlatformNode
    start(const std::string &host, const std::string &dataCentre, const std::string &service) const;
    /** @brief Kills the first node and starts its host again, at the same peer port. */
    [[nodiscard]] PlatformNode restartFirst();

private:
    TemporaryDirectory m_directory;
    HttpCalls m_calls{4};
    int m_requests = 0;
    int m_sequence = 0;

public:
    StoreStandIn store;
    StampingEndpoint upstream;
    std::shared_ptr<tools::FaultRoute> secondToStore;
    PlatformNode first;
    PlatformNode second;
};

}
