#include "integration/harness/http_calls.h"

#include "integration/harness/process.h"

#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

namespace berylspring::test {

namespace asio = boost::asio;

namespace {

constexpr std::size_t IdleConnections = 4096;
constexpr std::uint64_t BodyLimit = 64ULL * 1024 * 1024;

}

HttpCalls::HttpCalls(std::size_t threads)
    : m_pool(threads)
{
}

HttpCalls::~HttpCalls()
{
    m_pool.stop();
    m_pool.join();
}

http::Result<http::Response> HttpCalls::send(std::uint16_t port, const http::Request &request, core::Duration timeout)
{
    return asio::co_spawn(m_pool, client(port).send(request, timeout), asio::use_future).get();
}

boost::json::value
HttpCalls::json(std::uint16_t port, std::string method, std::string target, std::string body, wire::Headers headers)
{
    const http::Request request({.method = std::move(method),
                                 .target = std::move(target),
                                 .headers = std::move(headers),
                                 .body = std::move(body)});
    const auto response = send(port, request, DefaultTimeout);
    const std::string what = request->method + " " + request->target + " at port " + std::to_string(port) + ": ";
    if (!response) {
        throw std::runtime_error(what + response.error().detail());
    }
    if ((*response)->status >= 300) {
        throw std::runtime_error(what + std::to_string((*response)->status) + " " + (*response)->body);
    }
    return (*response)->body.empty() ? boost::json::value() : boost::json::parse((*response)->body);
}

http::Client &HttpCalls::client(std::uint16_t port)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<http::Client> &client = m_clients[port];
    if (!client) {
        client = std::make_unique<http::Client>(
            m_pool.get_executor(),
            "127.0.0.1:" + std::to_string(port),
            http::ClientOptions{.bodyLimitBytes = BodyLimit, .maxIdleConnections = IdleConnections});
    }
    return *client;
}

}
