#pragma once

#include "berylspring/membership/error.h"
#include "berylspring/membership/hooks.h"
#include "berylspring/membership/settings.h"
#include "berylspring/membership/swim_protocol.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>
#include <set>
#include <string_view>

namespace berylspring::membership::detail {

/** @brief State that the coroutines share and keep alive. The socket and timers are used only on the strand. */
class ServiceState : public std::enable_shared_from_this<ServiceState>
{
public:
    ServiceState(const boost::asio::any_io_executor &executor,
                 const MembershipSettings &settings,
                 MembershipHooks hooks);

    [[nodiscard]] Result<std::uint16_t> start();
    /** @brief Closes the socket on the strand. No hook is called on the strand after it returned there. */
    void stop();
    [[nodiscard]] static boost::asio::awaitable<void> leave(std::shared_ptr<ServiceState> state);

    /** @brief Calls the hooks here and sends the datagrams on the strand. */
    void perform(const Actions &actions);

    [[nodiscard]] core::TimePoint now() const;
    [[nodiscard]] SwimProtocol &protocol() noexcept
    {
        return m_protocol;
    }

private:
    using Udp = boost::asio::ip::udp;

    [[nodiscard]] static boost::asio::awaitable<void> receive(std::shared_ptr<ServiceState> state);
    [[nodiscard]] static boost::asio::awaitable<void> runTicks(std::shared_ptr<ServiceState> state);
    void handle(std::string_view bytes);
    void send(const Outgoing &outgoing);
    void countSent(const PeerAddress &to, std::size_t bytes);

    MembershipHooks m_hooks;
    MembershipSettings m_settings;
    SwimProtocol m_protocol;
    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    Udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::set<PeerAddress> m_localAddresses; ///< Of the members in the own data centre; strand only.
    std::atomic<bool> m_isStarted{false};
    std::atomic<bool> m_isStopped{false};
};

}
