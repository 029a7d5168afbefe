#include "ctl/operator_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

namespace berylspring::ctl {

namespace {

namespace asio = boost::asio;

constexpr core::Duration RequestTimeout = std::chrono::seconds(15);

}

OperatorClient::OperatorClient(const Options &options)
    : m_address(options.address)
    , m_token(options.token)
    , m_client(m_context.get_executor(), options.address)
{
}

http::Result<http::Response> OperatorClient::send(const std::string &method,
                                                  const std::string &path,
                                                  const std::string &body,
                                                  const std::string &ifMatch)
{
    auto answer = asio::co_spawn(
        m_context, m_client.send(makeRequest(method, path, body, ifMatch), RequestTimeout), asio::use_future);
    m_context.restart();
    m_context.run();
    return answer.get();
}

http::Result<unsigned> OperatorClient::stream(const std::string &path, unsigned seconds, const http::LineReader &onLine)
{
    auto answer = asio::co_spawn(
        m_context, http::readLines(m_address, makeRequest("GET", path, {}, {}), onLine), asio::use_future);
    m_context.restart();
    if (seconds == 0) {
        m_context.run();
    } else {
        m_context.run_for(std::chrono::seconds(seconds));
    }
    if (answer.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        return tl::unexpected(
            http::Error(http::ErrorCode::Timeout, true, "no end within " + std::to_string(seconds) + " s"));
    }
    return answer.get();
}

http::Request OperatorClient::makeRequest(const std::string &method,
                                          const std::string &path,
                                          const std::string &body,
                                          const std::string &ifMatch) const
{
    wire::Headers headers{{"Authorization", "Bearer " + m_token}, {"Content-Type", "application/json"}};
    if (!ifMatch.empty()) {
        headers.push_back({"If-Match", "\"" + ifMatch + "\""});
    }
    return http::Request({.method = method, .target = path, .headers = std::move(headers), .body = body});
}

}
