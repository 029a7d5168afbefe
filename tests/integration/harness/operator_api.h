#pragma once

#include "berylspring/core/types.h"
#include "integration/harness/http_calls.h"

#include <cstdint>
#include <string>

#include <boost/json/object.hpp>

namespace berylspring::test {

/** @brief Blocking calls of the operator ports. Functions throw std::runtime_error on any answer but 2xx. */
class OperatorApi
{
public:
    OperatorApi(HttpCalls &calls, std::string token);
    [[nodiscard]] const std::string &token() const noexcept
    {
        return m_token;
    }

    /** @brief Sends any operator request with the token and returns the answer as it is. */
    http::Result<http::Response> send(std::uint16_t port,
                                      std::string method,
                                      std::string target,
                                      std::string body = {},
                                      const std::string &ifMatch = {});
    /**
     * @brief Writes a resource, again after 503 (the platform log may refuse for a time) until Patience is over.
     * @param type "workspaces", "keys", "limits", "priorities" or "routes".
     * @return The number of the accepted change.
     */
    core::Offset
    put(std::uint16_t port, const std::string &type, const std::string &name, const boost::json::object &body);
    core::Offset remove(std::uint16_t port, const std::string &type, const std::string &name);
    /** @brief Declares a key of a workspace by its digest. */
    core::Offset
    createKey(std::uint16_t port, const std::string &name, const std::string &workspace, const std::string &key);
    /** @brief Waits until a change is in force on at least so many nodes. */
    void waitUntilInForce(std::uint16_t port, core::Offset change, std::size_t nodes);

private:
    core::Offset change(std::uint16_t port, const std::string &method, const std::string &target, std::string body);

    HttpCalls &m_calls;
    std::string m_token;
};

}
