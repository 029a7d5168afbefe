#include "berylspring/limit/limit_service.h"

#include "entry_side.h"
#include "owner_side.h"

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
        , m_owners(std::make_shared<OwnerSide>(m_context))
        , m_entries(std::make_shared<EntrySide>(m_context, m_owners))
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
    [[nodiscard]] OwnerSide &owners() const
    {
        return *m_owners;
    }
    [[nodiscard]] EntrySide &entries() const
    {
        return *m_entries;
    }
    [[nodiscard]] const Totals &totals() const
    {
        return m_context->totals;
    }

private:
    static asio::awaitable<void> watch(std::shared_ptr<LimitNode> self)
    {
        while (!self->m_isStopped) {
            self->m_owners->tick();
            self->m_entries->tick();
            self->m_timer.expires_after(TickInterval);
            co_await self->m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::strand<asio::any_io_executor> m_strand;
    asio::steady_timer m_timer; ///< Strand only.
    bool m_isStopped = false; ///< Strand only.
    std::shared_ptr<LimitContext> m_context;
    std::shared_ptr<OwnerSide> m_owners;
    std::shared_ptr<EntrySide> m_entries;
};

asio::awaitable<wire::Message>
answerGrant(std::shared_ptr<LimitNode> node, core::HostId from, wire::GrantRequest request)
{
    co_return co_await node->owners().grant(std::move(from), std::move(request));
}

asio::awaitable<wire::Message> answerLoan(std::shared_ptr<LimitNode> node, wire::LoanRequest request)
{
    co_return co_await node->owners().lend(std::move(request));
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
    return m_node->entries().admit(std::move(workspace), maxHold);
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
        return detail::answer(m_node->owners().handOverTo(from, *handover));
    }
    return detail::answer(wire::Refused(wire::RefusedFields{"not a message about limits"}));
}

asio::awaitable<void> LimitService::handOver()
{
    return m_node->owners().stop();
}

LimitCounters LimitService::counters() const
{
    const detail::Totals &totals = m_node->totals();
    return {totals.admitted, totals.held, totals.refused, totals.grants, totals.loans, totals.handovers};
}

}
