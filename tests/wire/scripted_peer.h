#pragma once

#include "wire/envelope_codec.h"
#include "wire/frame_reader.h"
#include "wire/handshake.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace berylspring::test {

/** @brief One end of a peer connection that a test drives frame by frame, to violate the protocol. */
class ScriptedPeer
{
public:
    using Tcp = boost::asio::ip::tcp;

    explicit ScriptedPeer(Tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    /** @brief Connects to a server and sends nothing. */
    static boost::asio::awaitable<ScriptedPeer> connect(std::uint16_t port)
    {
        const auto executor = co_await boost::asio::this_coro::executor;
        ScriptedPeer peer{Tcp::socket(executor)};
        const Tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
        co_await peer.m_socket.async_connect(endpoint, boost::asio::use_awaitable);
        co_return peer;
    }

    /** @return A connection that has sent its proof, or nothing if the server closed it before. */
    static boost::asio::awaitable<std::optional<ScriptedPeer>>
    connect(std::uint16_t port, std::string secret, std::string host)
    {
        ScriptedPeer peer = co_await connect(port);
        const auto own = hello(host, 1);
        co_await peer.send(wire::detail::RequestKey(), own);
        const auto first = co_await peer.receive();
        const auto second = co_await peer.receive();
        if (!first || !second) {
            co_return std::nullopt;
        }
        const auto server = std::get<wire::detail::Hello>(first->payload);
        const auto proof = wire::detail::proofOf(secret, wire::detail::Role::Client, own, server);
        co_await peer.send(wire::detail::RequestKey(), proof);
        co_return std::optional<ScriptedPeer>(std::move(peer));
    }

    /** @brief Accepts a client and completes the handshake. */
    static boost::asio::awaitable<ScriptedPeer>
    accept(Tcp::acceptor &acceptor, std::string secret, std::string host, std::uint64_t bootId)
    {
        ScriptedPeer peer(co_await acceptor.async_accept(boost::asio::use_awaitable));
        const auto first = co_await peer.receive();
        const auto client = std::get<wire::detail::Hello>(first.value().payload);
        const auto own = hello(host, bootId);
        const auto proof = wire::detail::proofOf(secret, wire::detail::Role::Server, client, own);
        co_await peer.send(wire::detail::RequestKey(), own);
        co_await peer.send(wire::detail::RequestKey(), proof);
        const auto second = co_await peer.receive();
        if (!second) {
            throw std::runtime_error("the client ended the handshake");
        }
        co_return peer;
    }

    /** @brief Not a coroutine: GCC 12 destroys aggregates twice that are temporary arguments of an awaited one. */
    boost::asio::awaitable<void> send(const wire::detail::RequestKey &key, const wire::detail::Payload &payload)
    {
        const wire::detail::Envelope envelope{key, payload};
        const auto frame = wire::detail::encode(envelope, MaxFrameBytes).value();
        return sendBytes({frame.bytes().begin(), frame.bytes().end()});
    }

    boost::asio::awaitable<void> sendBytes(std::vector<std::uint8_t> bytes)
    {
        const auto buffer = boost::asio::buffer(bytes);
        co_await boost::asio::async_write(m_socket, buffer, boost::asio::use_awaitable);
    }

    /** @return The next frame other than a heartbeat, or nothing if the other end closed the connection. */
    boost::asio::awaitable<std::optional<wire::detail::Envelope>> receive()
    {
        for (;;) {
            while (const auto frame = m_reader.next().value()) {
                auto envelope = wire::detail::decode(*frame).value();
                if (!std::holds_alternative<wire::detail::Heartbeat>(envelope.payload)) {
                    co_return envelope;
                }
            }
            const auto room = m_reader.prepare();
            const auto buffer = boost::asio::buffer(room.data(), room.size());
            boost::system::error_code error;
            auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
            const auto byteCount = co_await m_socket.async_read_some(buffer, token);
            if (error) {
                co_return std::nullopt;
            }
            m_reader.commit(byteCount);
        }
    }

private:
    static constexpr std::size_t MaxFrameBytes = std::size_t{4} * 1024 * 1024;

    static wire::detail::Hello hello(const std::string &host, std::uint64_t bootId)
    {
        return wire::detail::Hello(
            wire::detail::HelloFields{wire::detail::ProtocolVersion, core::HostId(host), bootId, {}});
    }

    Tcp::socket m_socket;
    wire::detail::FrameReader m_reader{MaxFrameBytes};
};

}
