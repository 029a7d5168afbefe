#pragma once

#include "berylspring/ctl/options.h"
#include "berylspring/http/client.h"
#include "berylspring/http/line_stream.h"

#include <string>

#include <boost/asio/io_context.hpp>

namespace berylspring::ctl {

/** @brief Blocking client of the operator port of one node. */
class OperatorClient
{
public:
    explicit OperatorClient(const Options &options);

    [[nodiscard]] http::Result<http::Response>
    send(const std::string &method, const std::string &path, const std::string &body, const std::string &ifMatch = {});
    /** @brief Reads the lines of a streamed response until the reader stops or the timeout expires; 0 s: no timeout. */
    [[nodiscard]] http::Result<unsigned>
    stream(const std::string &path, unsigned seconds, const http::LineReader &onLine);

private:
    [[nodiscard]] http::Request makeRequest(const std::string &method,
                                            const std::string &path,
                                            const std::string &body,
                                            const std::string &ifMatch) const;

    std::string m_address;
    std::string m_token;
    boost::asio::io_context m_context;
    http::Client m_client;
};

}
