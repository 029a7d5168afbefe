#include "integration/harness/paced_load.h"

#include <atomic>
#include <cmath>
#include <memory>
#include <mutex>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

namespace berylspring::test {

namespace asio = boost::asio;

namespace {

/** More open calls than any scenario needs; with more, the load generator would run out of sockets. */
constexpr std::int64_t MaxOpenCalls = 8000;
constexpr auto StartDelay = std::chrono::milliseconds(50);

/** @brief State of one class of calls while the load runs. */
class RunningClass
{
public:
    RunningClass(const LoadClass &loadClass, core::TimePoint start, std::atomic<std::int64_t> &open)
        : m_class(loadClass)
        , m_start(start)
        , m_open(open)
        , m_unfinished(callCount(loadClass))
    {
        m_samples.reserve(m_unfinished);
    }

    /** @brief Sends all calls at their due times and completes when the last one has ended. */
    static asio::awaitable<void> run(std::shared_ptr<RunningClass> self)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const std::uint64_t count = callCount(self->m_class);
        for (std::uint64_t number = 0; number < count; ++number) {
            timer.expires_at(self->m_start + dueTime(self->m_class, number));
            co_await timer.async_wait(asio::use_awaitable);
            if (self->m_open >= MaxOpenCalls) {
                self->add({.due = dueTime(self->m_class, number)});
                continue;
            }
            ++self->m_open;
            asio::co_spawn(timer.get_executor(), callOnce(self, number), asio::detached);
        }
        constexpr auto PollInterval = std::chrono::milliseconds(5);
        while (self->m_unfinished > 0) {
            timer.expires_after(PollInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    [[nodiscard]] LoadReport report() const
    {
        const std::scoped_lock lock(m_mutex);
        return {m_class.name, m_samples};
    }

private:
    static asio::awaitable<void> callOnce(std::shared_ptr<RunningClass> self, std::uint64_t number)
    {
        const Call call = self->m_class.makeCall(number);
        LoadSample sample{.due = dueTime(self->m_class, number)};
        asio::steady_timer timer(co_await asio::this_coro::executor);
        for (std::uint32_t attempt = 0; attempt <= self->m_class.resends && !sample.isComplete; ++attempt) {
            if (attempt > 0) {
                timer.expires_after(self->m_class.resendDelay);
                co_await timer.async_wait(asio::use_awaitable);
            }
            http::Client &client = self->m_class.chooseClient(number + attempt);
            const CallResult result = co_await callAsync(client, call);
            sample.outcome = result->outcome;
            sample.reason = result->reason;
            sample.status = result->status;
            sample.isComplete = result.isComplete();
            sample.isMismatch = sample.isMismatch || !result->mismatch.empty();
            ++sample.attempts;
        }
        sample.latency = std::chrono::steady_clock::now() - (self->m_start + sample.due);
        --self->m_open;
        self->add(std::move(sample));
    }

    void add(LoadSample sample)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_samples.push_back(std::move(sample));
        }
        --m_unfinished;
    }

    const LoadClass &m_class;
    core::TimePoint m_start;
    std::atomic<std::int64_t> &m_open;
    std::atomic<std::uint64_t> m_unfinished;
    mutable std::mutex m_mutex;
    std::vector<LoadSample> m_samples;
};

}

core::Duration dueTime(const LoadClass &loadClass, std::uint64_t number)
{
    const std::chrono::duration<double> offset(static_cast<double>(number) / loadClass.ratePerSecond);
    return loadClass.begin + std::chrono::duration_cast<core::Duration>(offset);
}

std::uint64_t callCount(const LoadClass &loadClass)
{
    const double seconds = std::chrono::duration<double>(loadClass.duration).count();
    return static_cast<std::uint64_t>(std::llround(seconds * loadClass.ratePerSecond));
}

std::vector<LoadReport> runLoad(HttpCalls &calls, const std::vector<LoadClass> &classes)
{
    const core::TimePoint start = std::chrono::steady_clock::now() + StartDelay;
    std::atomic<std::int64_t> open{0};
    std::vector<std::shared_ptr<RunningClass>> running;
    std::vector<std::future<void>> ends;
    for (const LoadClass &loadClass : classes) {
        running.push_back(std::make_shared<RunningClass>(loadClass, start, open));
        ends.push_back(asio::co_spawn(calls.pool(), RunningClass::run(running.back()), asio::use_future));
    }
    std::vector<LoadReport> reports;
    for (std::size_t i = 0; i < ends.size(); ++i) {
        ends[i].get();
        reports.push_back(running[i]->report());
    }
    return reports;
}

}
