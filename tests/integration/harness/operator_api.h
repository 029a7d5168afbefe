#pragma once

#include "berylspring/core/types.h"
#include "integration/harness/http_calls.h"

#include <cstdint>
#include <string>

#include <boost/json/object.hpp>

namespace berylspring::test {

/** @brief Blocking calls of the operator ports. All but send() throw std::runtime_error on errors. */
class OperatorApi
{
public:
    OperatorApi(HttpCalls &calls, std::string token);
    [[nodiscard]] const std::string &token() const noexcept
    {
        return m_token;
    }

    /** @brief Sends a request with the operator token and returns the answer whatever its status. */
    http::Result<http::Response> send(std::uint16_t port,
                                      std::string method,
                                      std::string target,
                                      std::string body = {},
                                      const std::string &ifMatch = {});
    /**
     * @brief Writes a resource; repeats it on 503, which may mean that the platform log refuses, until DefaultTimeout
     * is over.
     * @param type "workspaces", "keys", "limits", "priorities" or "routes".
     * @return The number of the accepted change.
     */
    core::Offset
    put(std::uint16_t port, const std::string &type, const std::string &name, const boost::json::object &body);
    core::Offset remove(std::uint16_t port, const std::string &type, const std::string &name);
    /** @brief Declares a key of a workspace through its digest. */
    core::Offset
    createKey(std::uint16_t port, const std::string &name, const std::string &workspace, const std::string &key);
    /** @brief Waits until a change is in force on at least the given number of nodes. */
    void waitUntilInForce(std::uint16_t port, core::Offset change, std::size_t nodes);

private:
    core::Offset change(std::uint16_t port, const std::string &method, const std::string &target, std::string body);

    HttpCalls &m_calls;
    std::string m_token;
};

}
