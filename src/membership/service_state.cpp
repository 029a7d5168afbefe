#include "service_state.h"

#include "berylspring/membership/datagram_size.h"
#include "berylspring/membership/timing.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace berylspring::membership::detail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t ReceiveBufferBytes = 2048;
/** Holds the acks of a push and a transfer of the table between two runs of the receiver. */
constexpr int SocketBufferBytes = 1 << 20;

MembershipHooks withDefaults(MembershipHooks hooks)
{
    if (!hooks.random) {
        hooks.random = core::systemRandom();
    }
    if (!hooks.now) {
        hooks.now = [] { return std::chrono::steady_clock::now(); };
    }
    return hooks;
}

/** The datagram with half of its updates, for use if the estimate of its size was too low. */
wire::Datagram withFewerUpdates(const wire::Datagram &datagram)
{
    const auto halved = [](const auto &updates) {
        const auto count = static_cast<std::ptrdiff_t>(updates.size() / 2);
        return std::vector<wire::MemberUpdate>(updates.begin(), updates.begin() + count);
    };
    if (const auto *ping = std::get_if<wire::Ping>(&datagram)) {
        return ping->with(&wire::PingFields::updates, halved((*ping)->updates));
    }
    if (const auto *ack = std::get_if<wire::PingAck>(&datagram)) {
        return ack->with(&wire::PingAckFields::updates, halved((*ack)->updates));
    }
    return datagram;
}

}

ServiceState::ServiceState(const asio::any_io_executor &executor,
                           const MembershipSettings &settings,
                           MembershipHooks hooks)
    : m_hooks(withDefaults(std::move(hooks)))
    , m_settings(settings)
    , m_protocol(settings, m_hooks.random)
    , m_strand(asio::make_strand(executor))
    , m_socket(m_strand)
    , m_timer(m_strand)
{
}

core::TimePoint ServiceState::now() const
{
    return m_hooks.now();
}

Result<std::uint16_t> ServiceState::start()
{
    if (m_isStarted.exchange(true)) {
        return tl::unexpected(Error(ErrorCode::AlreadyStarted, m_settings.host.value()));
    }
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(m_settings.address, failure);
    if (failure) {
        return tl::unexpected(Error(ErrorCode::AddressInvalid, m_settings.address));
    }
    const Udp::endpoint endpoint(address, m_settings.port);
    m_socket.open(endpoint.protocol(), failure);
    if (!failure) {
        m_socket.bind(endpoint, failure);
    }
    if (failure) {
        return tl::unexpected(Error(ErrorCode::BindFailed, failure.message()));
    }
    // The system may grant less; the protocol also works with the default.
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::receive_buffer_size(SocketBufferBytes), ignored);
    m_socket.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes), ignored);
    m_socket.non_blocking(true, ignored);
    const auto port = m_socket.local_endpoint(failure).port();
    if (failure) {
        return tl::unexpected(Error(ErrorCode::BindFailed, failure.message()));
    }
    m_protocol.setPort(port);
    asio::co_spawn(m_strand, receive(shared_from_this()), asio::detached);
    asio::co_spawn(m_strand, runTicks(shared_from_this()), asio::detached);
    return port;
}

void ServiceState::stop()
{
    m_isStopped = true;
    asio::post(m_strand, [state = shared_from_this()] {
        boost::system::error_code ignored;
        state->m_socket.close(ignored);
        state->m_timer.cancel();
    });
}

asio::awaitable<void> ServiceState::leave(std::shared_ptr<ServiceState> state)
{
    auto actions = state->m_protocol.leave(state->now());
    asio::steady_timer pause(state->m_strand);
    while (!actions.datagrams.empty()) {
        state->perform(actions);
        pause.expires_after(TickInterval);
        co_await pause.async_wait(asio::use_awaitable);
        actions = state->m_protocol.nextPushes(state->now());
    }
    state->stop();
}

asio::awaitable<void> ServiceState::receive(std::shared_ptr<ServiceState> state)
{
    std::array<char, ReceiveBufferBytes> buffer{};
    Udp::endpoint sender;
    while (!state->m_isStopped) {
        boost::system::error_code failure;
        auto token = asio::redirect_error(asio::use_awaitable, failure);
        const auto size = co_await state->m_socket.async_receive_from(asio::buffer(buffer), sender, token);
        if (failure == asio::error::operation_aborted || failure == asio::error::bad_descriptor) {
            break;
        }
        // Other errors report that an earlier datagram was not delivered.
        if (!failure) {
            state->handle(std::string_view(buffer.data(), size));
        }
    }
}

asio::awaitable<void> ServiceState::runTicks(std::shared_ptr<ServiceState> state)
{
    state->m_timer.expires_after(core::Duration::zero());
    while (!state->m_isStopped) {
        boost::system::error_code failure;
        auto token = asio::redirect_error(asio::use_awaitable, failure);
        co_await state->m_timer.async_wait(token);
        if (failure || state->m_isStopped) {
            break;
        }
        state->m_timer.expires_after(TickInterval);
        state->perform(state->m_protocol.tick(state->now()));
    }
}

void ServiceState::handle(std::string_view bytes)
{
    const auto opened = m_hooks.open(bytes);
    if (opened) {
        perform(m_protocol.receive(opened->first, opened->second, now()));
    }
}

void ServiceState::perform(const Actions &actions)
{
    if (m_isStopped) {
        return;
    }
    if (m_hooks.changed) {
        for (const auto &member : actions.changed) {
            m_hooks.changed(member);
        }
    }
    if (m_hooks.offsetReported) {
        for (const auto &reported : actions.offsets) {
            m_hooks.offsetReported(reported.host, reported.offset);
        }
    }
    if (m_hooks.sent) {
        for (const auto &member : actions.changed) {
            if (member.dataCentre() == m_settings.dataCentre) {
                asio::dispatch(m_strand,
                               [state = shared_from_this(), address = PeerAddress{member.address(), member.port()}] {
                                   state->m_localAddresses.insert(address);
                               });
            }
        }
    }
    if (!actions.datagrams.empty()) {
        asio::dispatch(m_strand, [state = shared_from_this(), datagrams = actions.datagrams] {
            for (const auto &outgoing : datagrams) {
                state->send(outgoing);
            }
        });
    }
}

void ServiceState::send(const Outgoing &outgoing)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(outgoing.to.address, failure);
    if (failure || !m_socket.is_open()) {
        return;
    }
    auto sealed = m_hooks.seal(outgoing.datagram);
    for (auto smaller = outgoing.datagram; sealed && sealed->size() > MaxDatagramBytes;) {
        auto next = withFewerUpdates(smaller);
        if (next == smaller) {
            return;
        }
        smaller = std::move(next);
        sealed = m_hooks.seal(smaller);
    }
    if (sealed) {
        // A datagram that the socket cannot take now is dropped; the protocol tolerates losses.
        m_socket.send_to(asio::buffer(*sealed), Udp::endpoint(address, outgoing.to.port), 0, failure);
        countSent(outgoing.to, sealed->size());
    }
}

void ServiceState::countSent(const PeerAddress &to, std::size_t bytes)
{
    if (m_hooks.sent) {
        m_hooks.sent(!m_localAddresses.contains(to), bytes);
    }
}

}
