#pragma once

#include "berylspring/config/config_service.h"
#include "config/peer_sync.h"
#include "config/snapshot_writer.h"
#include "config/withdrawals.h"

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>

namespace berylspring::config::detail {

/** @brief Components and background loops of the ConfigService. Coroutines share its ownership. */
class ServiceCore
{
public:
    ServiceCore(boost::asio::any_io_executor executor, ConfigSettings settings, ConfigHooks hooks);

    static void start(const std::shared_ptr<ServiceCore> &self);
    void stop();

    [[nodiscard]] const ContextPtr &context() const noexcept
    {
        return m_context;
    }
    [[nodiscard]] const FollowerPtr &follower() const noexcept
    {
        return m_follower;
    }
    [[nodiscard]] const PeerSyncPtr &peerSync() const noexcept
    {
        return m_peerSync;
    }
    [[nodiscard]] const WithdrawalsPtr &withdrawals() const noexcept
    {
        return m_withdrawals;
    }

    static boost::asio::awaitable<Result<WriteOutcome>> put(std::shared_ptr<ServiceCore> self,
                                                            ResourceType type,
                                                            std::string name,
                                                            std::string json,
                                                            std::optional<core::Offset> expectedVersion);
    static boost::asio::awaitable<Result<WriteOutcome>> remove(std::shared_ptr<ServiceCore> self,
                                                               ResourceType type,
                                                               std::string name,
                                                               std::optional<core::Offset> expectedVersion);
    static boost::asio::awaitable<wire::Message>
    handle(std::shared_ptr<ServiceCore> self, core::HostId from, wire::Message message);

private:
    static boost::asio::awaitable<Result<WriteOutcome>>
    withdraw(std::shared_ptr<ServiceCore> self, std::string name, std::optional<core::Offset> expectedVersion);

    /** @brief A background loop. Its cancellation signal must be used only on its strand. */
    struct Loop
    {
        explicit Loop(boost::asio::any_io_executor strandExecutor)
            : strand(std::move(strandExecutor))
        {
        }
        boost::asio::any_io_executor strand;
        boost::asio::cancellation_signal signal;
    };
    using Step = std::function<boost::asio::awaitable<core::Duration>()>;

    void startLoop(Step step);
    static boost::asio::awaitable<void> runLoop(ContextPtr context, Step step);
    static boost::asio::awaitable<core::Duration> followStep(std::shared_ptr<ServiceCore> self);
    /**
     * @brief Requests a proof that the configuration is current from a reader, if the known proof is too old.
     * @return False if this node has to read the log itself.
     */
    static boost::asio::awaitable<bool> refreshProof(std::shared_ptr<ServiceCore> self);
    static boost::asio::awaitable<void> bootstrap(std::shared_ptr<ServiceCore> self);
    [[nodiscard]] core::Duration nextRetryDelay();

    ContextPtr m_context;
    FollowerPtr m_follower;
    WriterPtr m_writer;
    PeerSyncPtr m_peerSync;
    WithdrawalsPtr m_withdrawals;
    core::Duration m_slowPoll;
    unsigned m_failures = 0; ///< Used only by the loop that follows the log.
    std::vector<std::shared_ptr<Loop>> m_loops; ///< Set by start().
};

}
