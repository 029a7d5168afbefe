#include "berylspring/limit/limit_service.h"

#include "bucket_manager.h"
#include "entry_limiter.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::limit {

namespace asio = boost::asio;

namespace detail {

namespace {

/** Several times shorter than LeaseDuration, so that a delayed timer does not expire the lease. */
constexpr core::Duration TickInterval = std::chrono::milliseconds(250);

}

/** @brief State of the service, kept alive by its coroutines. */
class LimitNode
{
public:
    LimitNode(asio::any_io_executor executor, LimitSettings settings, LimitHooks hooks)
        : m_strand(executor)
        , m_timer(m_strand)
        , m_context(std::make_shared<LimitContext>(std::move(executor), std::move(settings), std::move(hooks)))
        , m_bucketManager(std::make_shared<BucketManager>(m_context))
        , m_entryLimiter(std::make_shared<EntryLimiter>(m_context, m_bucketManager))
    {
    }

    static void start(const std::shared_ptr<LimitNode> &self)
    {
        asio::co_spawn(self->m_strand, watch(self), asio::detached);
    }
    static void stop(const std::shared_ptr<LimitNode> &self)
    {
        asio::post(self->m_strand, [self] {
            self->m_isStopped = true;
            self->m_timer.cancel();
        });
    }
    [[nodiscard]] BucketManager &bucketManager() const
    {
        return *m_bucketManager;
    }
    [[nodiscard]] EntryLimiter &entryLimiter() const
    {
        return *m_entryLimiter;
    }
    [[nodiscard]] const Totals &totals() const
    {
        return m_context->totals;
    }

private:
    static asio::awaitable<void> watch(std::shared_ptr<LimitNode> self)
    {
        while (!self->m_isStopped) {
            self->m_bucketManager->tick();
            self->m_entryLimiter->tick();
            self->m_timer.expires_after(TickInterval);
            co_await self->m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::strand<asio::any_io_executor> m_strand;
    asio::steady_timer m_timer; ///< Strand only.
    bool m_isStopped = false; ///< Strand only.
    std::shared_ptr<LimitContext> m_context;
    std::shared_ptr<BucketManager> m_bucketManager;
    std::shared_ptr<EntryLimiter> m_entryLimiter;
};

asio::awaitable<wire::Message>
answerGrant(std::shared_ptr<LimitNode> node, core::HostId from, wire::GrantRequest request)
{
    co_return co_await node->bucketManager().grant(std::move(from), std::move(request));
}

asio::awaitable<wire::Message> answerLoan(std::shared_ptr<LimitNode> node, wire::LoanRequest request)
{
    co_return co_await node->bucketManager().lend(std::move(request));
}

asio::awaitable<wire::Message> answer(wire::Message message)
{
    co_return message;
}

}

LimitService::LimitService(asio::any_io_executor executor, LimitSettings settings, LimitHooks hooks)
    : m_node(std::make_shared<detail::LimitNode>(std::move(executor), std::move(settings), std::move(hooks)))
{
}

LimitService::~LimitService()
{
    stop();
}

void LimitService::start()
{
    detail::LimitNode::start(m_node);
}

void LimitService::stop()
{
    detail::LimitNode::stop(m_node);
}

asio::awaitable<tl::expected<void, core::Refusal>> LimitService::admit(core::WorkspaceId workspace,
                                                                       core::Duration maxHold)
{
    return m_node->entryLimiter().admit(std::move(workspace), maxHold);
}

asio::awaitable<wire::Message> LimitService::handle(core::HostId from, wire::Message message)
{
    if (auto *grant = std::get_if<wire::GrantRequest>(&message)) {
        return detail::answerGrant(m_node, std::move(from), std::move(*grant));
    }
    if (auto *loan = std::get_if<wire::LoanRequest>(&message)) {
        return detail::answerLoan(m_node, std::move(*loan));
    }
    if (const auto *handover = std::get_if<wire::HandoverRequest>(&message)) {
        return detail::answer(m_node->bucketManager().handOverTo(from, *handover));
    }
    return detail::answer(wire::Refused(wire::RefusedFields{"not a message about limits"}));
}

asio::awaitable<void> LimitService::handOver()
{
    return m_node->bucketManager().stop();
}

LimitCounters LimitService::counters() const
{
    const detail::Totals &totals = m_node->totals();
    return {totals.admitted, totals.held, totals.refused, totals.grants, totals.loans, totals.handovers};
}

}
