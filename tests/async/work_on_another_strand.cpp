#include "berylspring/async/await_on.h"
#include "berylspring/core/time.h"
#include "support/section.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <vector>

#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

asio::awaitable<int> sleepThenAnswer(std::shared_ptr<asio::steady_timer> timer, std::atomic<int> &cancelled)
{
    boost::system::error_code error;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
    cancelled += error ? 1 : 0;
    co_return 7;
}

asio::awaitable<int> fail()
{
    throw std::runtime_error("work failed");
    co_return 0;
}

/** Races the work, on its own strand, against a timer that expires at about the same time. */
asio::awaitable<void> raceOnce(asio::any_io_executor executor, core::Duration workTime, std::atomic<int> &cancelled)
{
    auto strand = asio::make_strand(executor);
    auto timer = std::make_shared<asio::steady_timer>(strand, workTime);
    asio::steady_timer other(co_await asio::this_coro::executor, std::chrono::microseconds(50));
    // A named variable, because g++ 12 destroys a temporary closure in a co_await expression twice.
    std::function<void()> cancel = [timer] { timer->cancel(); };
    auto work = async::awaitOn<int>(strand, sleepThenAnswer(timer, cancelled), std::move(cancel));
    using asio::experimental::awaitable_operators::operator||;
    co_await (std::move(work) || other.async_wait(asio::use_awaitable));
}

}

TEST_GROUP(WorkOnAnotherStrand)
{
    asio::thread_pool pool{4};
    std::atomic<int> cancelled{0};
};

TEST(WorkOnAnotherStrand, passesItsValueAndItsExceptionOn)
{
    auto strand = asio::make_strand(pool);
    section("a value", [&] {
        auto timer = std::make_shared<asio::steady_timer>(strand, 1us);
        auto work = async::awaitOn<int>(strand, sleepThenAnswer(timer, cancelled), [] {});
        LONGS_EQUAL(7, asio::co_spawn(pool, std::move(work), asio::use_future).get());
    });
    section("an exception", [&] {
        auto work = async::awaitOn<int>(strand, fail(), [] {});
        CHECK_THROWS(std::runtime_error, asio::co_spawn(pool, std::move(work), asio::use_future).get());
    });
}

TEST(WorkOnAnotherStrand, survivesACancellationThatRacesWithItsCompletion)
{
    // Guards against a use-after-free when Asio forwards a cancellation to work that completes at the same time, which
    // crashed daemons under load.
    constexpr int Races = 3000;
    std::vector<std::future<void>> races;
    for (int i = 0; i < Races; ++i) {
        // Every fourth work completes only when it is cancelled, the others at about the time of the cancellation.
        const core::Duration workTime = i % 4 == 0 ? core::Duration(1h) : core::Duration(30us + i % 40 * 1us);
        auto race = raceOnce(pool.get_executor(), workTime, cancelled);
        races.push_back(asio::co_spawn(asio::make_strand(pool), std::move(race), asio::use_future));
    }
    for (auto &race : races) {
        race.get();
    }
    pool.join();
    CHECK(cancelled >= Races / 4);
}
