#pragma once

#include "berylspring/core/time.h"
#include "berylspring/http/body_budget.h"
#include "berylspring/http/error.h"
#include "berylspring/http/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::http {

/** @brief Limits of a client. */
struct ClientOptions
{
    std::uint64_t bodyLimitBytes = 1'048'576;
    /** Limit of all bodies that are being read; a body that does not fit is TooLarge. If null, there is none. */
    std::shared_ptr<BodyBudget> bodyBudget;
    core::Duration connectTimeout = std::chrono::seconds(1);
    std::size_t maxIdleConnections = 64; ///< Maximum number of connections kept open for later requests.
    /**
     * Time between two checks that close idle connections which the server has closed or has sent bytes on. If zero, an
     * idle connection is checked only before it is reused. While connections are idle, the checks keep the executor
     * busy.
     */
    core::Duration idleCheckInterval{};
    /** Whether a timeout closes the idle connections, since the server may not respond on them either. */
    bool dropsIdleOnTimeout = false;
    /**
     * Whether a response belongs to the request. If not, the response is dropped and the next one on the connection is
     * read; a server may respond late to an earlier request. If empty, every response belongs to the request.
     */
    std::function<bool(const Request &, const Response &)> isAnswerTo;
    /**
     * Whether the connection may carry another request after the response; a faulty server may write the response once
     * more. If empty, it may after every response.
     */
    std::function<bool(const Response &)> allowsReuse;
};

/** @brief HTTP/1.1 client of one server with keep-alive connections; never retries a request. */
class Client
{
public:
    /** @param address IP number and port, "127.0.0.1:80". */
    Client(boost::asio::any_io_executor executor, std::string address, ClientOptions options = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /**
     * @brief Sends a request and waits for the complete response. Cancelling the wait closes the connection.
     * @param timeout Timeout of the whole exchange.
     */
    boost::asio::awaitable<Result<Response>> send(Request request, core::Duration timeout);

    /**
     * @brief Probes whether the server process has ended.
     * @param timeout Bounds the probe; with a server that listens, it takes some milliseconds.
     * @return Whether a connection was refused, if need be after one that the server has closed.
     */
    boost::asio::awaitable<bool> isRefusingConnections(core::Duration timeout);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
