#pragma once

#include "berylspring/core/time.h"
#include "berylspring/http/error.h"
#include "berylspring/http/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::http {

/** @brief Writes one chunk of a streamed body; an error means that the client has disconnected. */
using ChunkWriter = std::function<boost::asio::awaitable<Result<void>>(std::string)>;

/** @brief A response whose body is written in chunks until the function returns. */
struct StreamedResponse
{
    std::string contentType;
    std::function<boost::asio::awaitable<void>(ChunkWriter)> write;
};

using Reply = std::variant<Response, StreamedResponse>;

/**
 * @brief Handles a request; runs on the strand of the connection, concurrently with its earlier pipelined requests.
 *
 * The coroutine is cancelled when the client closes the connection.
 */
using Handler = std::function<boost::asio::awaitable<Reply>(Request)>;

/** @brief Limits of a server. */
struct ServerOptions
{
    std::uint32_t headerLimitBytes = 16'384;
    std::uint64_t bodyLimitBytes = 1'048'576;
    core::Duration idleTimeout = std::chrono::seconds(60); ///< Until the next request on a connection begins.
    core::Duration headerTimeout = std::chrono::seconds(10); ///< For the header fields, from their first byte.
    core::Duration readTimeout = std::chrono::seconds(10); ///< For the body, and for writing a response.
    core::Duration stopGrace = std::chrono::seconds(1); ///< Idle timeout of connections after stopAccepting().
    [[nodiscard]] bool operator==(const ServerOptions &) const = default;
};

/** @brief Returns the current limits; called for each request on the threads of the server. */
using ServerOptionsSource = std::function<ServerOptions()>;

/** @brief A request that the server answered itself because it could not be read. */
struct RejectedRequest
{
    std::uint16_t status = 0; ///< Status that the client receives.
    std::string target; ///< Request target; empty if the request line could not be read.
    std::string detail;
    [[nodiscard]] bool operator==(const RejectedRequest &) const = default;
};

/** @brief Called for each rejected request, and each one whose handler has thrown, on the threads of the server. */
using RejectionHook = std::function<void(const RejectedRequest &)>;

/** @brief HTTP/1.1 server; each connection has its own strand. */
class Server
{
public:
    Server(boost::asio::any_io_executor executor, ServerOptions options, Handler handler);
    /** @param options Limits that may change at run time; the read limits of a request are those at its first byte. */
    Server(boost::asio::any_io_executor executor,
           Handler handler,
           ServerOptionsSource options,
           RejectionHook rejected = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /**
     * @brief Starts accepting connections.
     * @param address IP number.
     * @param port TCP port, 0 for any free port.
     * @return The port on which the server listens.
     */
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);
    /** @brief From now on, the last pending response of each connection has `Connection: close`. */
    void closeAfterResponses();
    /** @brief Stops accepting connections; the last pending response of each one has `Connection: close`. */
    void stopAccepting();
    /** @brief Cancels all running handlers; what a cancelled handler returns is still sent to its client. */
    void cancelRequests();
    /** @brief Completes when no connection is open; call stopAccepting() first. */
    boost::asio::awaitable<void> waitUntilDrained();
    /** @brief Closes the listening socket and all connections immediately. */
    void close();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
