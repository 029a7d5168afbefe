#pragma once

#include "berylspring/core/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/thread_pool.hpp>

namespace berylspring::test {

/** @brief What a server does after the first bytes of its script. */
enum class Ending {
    None, ///< It goes on with `repeated`.
    Close, ///< It closes the connection in an orderly way.
    Reset,
    ShutdownThenReset, ///< It ends its side in an orderly way and resets the connection right after that.
};

/** @brief Bytes that a server sends on one connection after it has received a request. */
struct Script
{
    std::string first; ///< Sent once.
    core::Duration pause{}; ///< Time between `first` and `repeated`.
    std::string repeated; ///< Sent without end, until the client closes; if empty, the server waits for the close.
    core::Duration interval{}; ///< Time between two repetitions.
    Ending ending = Ending::None;
};

/** @brief TCP server on loopback that sends scripted bytes, whether or not they are HTTP. */
class ScriptedServer
{
public:
    /** @param scriptOf Script of a connection; connections are numbered from 0. */
    explicit ScriptedServer(std::function<Script(int connection)> scriptOf);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] int accepted() const;
    /** @return Whether the clients have closed `count` connections before the timeout. */
    [[nodiscard]] bool waitUntilClosed(int count, core::Duration timeout) const;
    /** @return Bytes that all connections were able to send, including those in the buffers of the kernel. */
    [[nodiscard]] std::uint64_t sentBytes() const;

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, Script script);
    boost::asio::awaitable<bool> write(boost::asio::ip::tcp::socket &socket, const std::string &bytes);

    std::function<Script(int)> m_scriptOf;
    boost::asio::thread_pool m_pool{2};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_accepted{0};
    std::atomic<int> m_closed{0};
    std::atomic<std::uint64_t> m_sentBytes{0};
};

}
