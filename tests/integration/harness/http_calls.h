#pragma once

#include "berylspring/core/time.h"
#include "berylspring/http/client.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/thread_pool.hpp>
#include <boost/json/value.hpp>

namespace berylspring::test {

/** @brief Blocking HTTP calls to ports of 127.0.0.1. */
class HttpCalls
{
public:
    explicit HttpCalls(std::size_t threads = 2);
    ~HttpCalls();
    HttpCalls(const HttpCalls &) = delete;
    HttpCalls &operator=(const HttpCalls &) = delete;

    http::Result<http::Response> send(std::uint16_t port, const http::Request &request, core::Duration timeout);
    /** @return The JSON body, null if empty; throws std::runtime_error on an error or a status of 300 or more. */
    boost::json::value
    json(std::uint16_t port, std::string method, std::string target, std::string body = {}, wire::Headers headers = {});

    /** @return The client of a port, which keeps its connections between calls. */
    http::Client &client(std::uint16_t port);
    boost::asio::thread_pool &pool()
    {
        return m_pool;
    }

private:
    boost::asio::thread_pool m_pool;
    std::mutex m_mutex;
    std::map<std::uint16_t, std::unique_ptr<http::Client>> m_clients;
};

}
