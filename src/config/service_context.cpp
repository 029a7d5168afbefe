#include "config/service_context.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::config::detail {

namespace asio = boost::asio;

void ServiceContext::recordLogContact()
{
    const core::TimePoint time = now();
    const std::scoped_lock lock(m_logMutex);
    m_lastLogContact = time;
    m_lastContact = time;
}

void ServiceContext::recordLogGeneration(std::uint64_t generation)
{
    std::uint64_t before = 0;
    {
        const std::scoped_lock lock(m_logMutex);
        before = std::exchange(m_logGeneration, std::max(m_logGeneration, generation));
    }
    if (before > 0 && generation > before) {
        report("the log was restored from a copy; its generation rose from " + std::to_string(before) + " to "
               + std::to_string(generation));
    }
}

std::uint64_t ServiceContext::logGeneration() const
{
    const std::scoped_lock lock(m_logMutex);
    return m_logGeneration;
}

std::optional<core::TimePoint> ServiceContext::lastLogContact() const
{
    const std::scoped_lock lock(m_logMutex);
    return m_lastLogContact;
}

void ServiceContext::recordProof(core::TimePoint at)
{
    const std::scoped_lock lock(m_logMutex);
    m_provenAt = m_provenAt ? std::max(*m_provenAt, at) : at;
}

std::optional<core::TimePoint> ServiceContext::provenAt() const
{
    const std::scoped_lock lock(m_logMutex);
    return m_provenAt;
}

core::Duration ServiceContext::proofAge(core::TimePoint now) const
{
    const auto at = provenAt();
    return at ? now - *at : core::Duration::max();
}

std::optional<core::TimePoint> ServiceContext::lastContact() const
{
    const std::scoped_lock lock(m_logMutex);
    return m_lastContact;
}

void ServiceContext::notifyChange(const StoreChange &change)
{
    if (change.malformedCount > 0) {
        report(std::to_string(change.malformedCount) + " malformed records of the configuration log were ignored");
    }
    if (change.rejection != VoidReason::None) {
        report("the newest configuration document was not accepted: " + std::string(toString(change.rejection)));
    }
    if (!change.hasAdvanced) {
        return;
    }
    const core::TimePoint time = now();
    {
        const std::scoped_lock lock(m_logMutex);
        m_lastContact = time;
    }
    if (m_hooks.applied) {
        m_hooks.applied(change.appliedOffset);
    }
    if (m_hooks.notify) {
        m_hooks.notify();
    }
}

void ServiceContext::report(std::string text) const
{
    // Failures of calls that stop() cancels are expected.
    if (m_hooks.report && !m_isStopped) {
        m_hooks.report(std::move(text));
    }
}

std::string ServiceContext::newOperationId() const
{
    constexpr std::size_t DigitCount = 32;
    std::array<char, DigitCount + 1> digits{};
    const unsigned long long high = m_hooks.random();
    const unsigned long long low = m_hooks.random();
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx", high, low);
    return {digits.data(), DigitCount};
}

core::Duration ServiceContext::jittered(core::Duration duration) const
{
    constexpr std::int64_t Steps = 512;
    const auto step = static_cast<std::int64_t>(m_hooks.random() % Steps);
    return duration * 3 / 4 + duration / 2 / Steps * step;
}

asio::awaitable<void> sleepFor(core::Duration duration)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

}
