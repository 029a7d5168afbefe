#include "http/scripted_server.h"

#include <array>
#include <chrono>
#include <thread>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace berylspring::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/** Keeps small what the kernel accepts from the server beyond what the client has read. */
constexpr int SendBufferBytes = 64 * 1024;

asio::awaitable<void> wait(core::Duration duration)
{
    if (duration > core::Duration::zero()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, duration);
        co_await timer.async_wait(UseTuple);
    }
}

}

ScriptedServer::ScriptedServer(std::function<Script(int)> scriptOf)
    : m_scriptOf(std::move(scriptOf))
    , m_acceptor(m_pool, tcp::v4())
{
    m_acceptor.set_option(asio::socket_base::send_buffer_size(SendBufferBytes));
    m_acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    m_acceptor.listen();
    asio::co_spawn(m_pool, accept(), asio::detached);
}

ScriptedServer::~ScriptedServer()
{
    m_pool.stop();
    m_pool.join();
}

std::string ScriptedServer::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

int ScriptedServer::accepted() const
{
    return m_accepted;
}

bool ScriptedServer::waitUntilClosed(int count, core::Duration timeout) const
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (m_closed < count) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

std::uint64_t ScriptedServer::sentBytes() const
{
    return m_sentBytes;
}

asio::awaitable<void> ScriptedServer::accept()
{
    for (;;) {
        auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
        if (error) {
            co_return;
        }
        Script script = m_scriptOf(m_accepted++);
        asio::co_spawn(m_pool, serve(std::move(socket), std::move(script)), asio::detached);
    }
}

asio::awaitable<void> ScriptedServer::serve(tcp::socket socket, Script script)
{
    socket.set_option(tcp::no_delay(true));
    std::string request;
    const auto [error, bytes] =
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", UseTuple);
    bool isOpen = !error && co_await write(socket, script.first);
    co_await wait(script.pause);
    if (script.ending != Ending::None) {
        boost::system::error_code ignored;
        if (script.ending == Ending::ShutdownThenReset) {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        if (script.ending != Ending::Close) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket.close(ignored);
        ++m_closed;
        co_return;
    }
    while (isOpen && !script.repeated.empty()) {
        isOpen = co_await write(socket, script.repeated);
        co_await wait(script.interval);
    }
    std::array<char, 1024> rest{};
    while (isOpen) {
        const auto [readError, count] = co_await socket.async_read_some(asio::buffer(rest), UseTuple);
        isOpen = !readError;
    }
    ++m_closed;
}

asio::awaitable<bool> ScriptedServer::write(tcp::socket &socket, const std::string &bytes)
{
    std::size_t position = 0;
    while (position < bytes.size()) {
        const auto [error, count] =
            co_await socket.async_write_some(asio::buffer(bytes.data() + position, bytes.size() - position), UseTuple);
        if (error) {
            co_return false;
        }
        m_sentBytes += count;
        position += count;
    }
    co_return true;
}

}
