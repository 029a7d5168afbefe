#include "berylspring/retry/allowance.h"
#include "berylspring/retry/backoff.h"
#include "berylspring/retry/budget.h"
#include "berylspring/retry/failure.h"
#include "support/section.h"

#include <cstdint>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;
using namespace std::chrono_literals;

namespace {

constexpr int MaxDepth = 6;

/** @brief Simulates root requests through a tree of calls; a seeded generator decides which attempts fail and how. */
class CallTree
{
public:
    CallTree(int depth, int fanOut, std::uint32_t failurePercent, std::uint64_t seed)
        : m_depth(depth)
        , m_fanOut(fanOut)
        , m_failurePercent(failurePercent)
        , m_state(seed)
    {
    }

    /** @return Retries used by the call and all nested calls. */
    std::uint32_t call(int level, retry::RetryAllowance allowance)
    {
        const std::uint32_t given = allowance.retries();
        while (true) {
            allowance = runOnce(level, allowance);
            if (!fails()) {
                budgets.onSuccess(service(level));
                ++successes;
                break;
            }
            const auto left = allowance.afterRetry();
            if (!retry::isRetryable(failure(), true) || !left || !budgets.tryTakeRetry(service(level))) {
                break;
            }
            ++retries;
            allowance = *left;
        }
        return given - allowance.retries();
    }

    [[nodiscard]] static core::ServiceId service(int level)
    {
        return core::ServiceId("s" + std::to_string(level));
    }

    retry::RetryBudgets budgets;
    std::uint64_t attemptsAtDeepest = 0;
    std::uint64_t retries = 0;
    std::uint64_t successes = 0;

private:
    retry::RetryAllowance runOnce(int level, retry::RetryAllowance allowance)
    {
        if (level == m_depth) {
            ++attemptsAtDeepest;
            return allowance;
        }
        for (int child = 0; child < m_fanOut; ++child) {
            const auto parts = allowance.split();
            allowance = parts.kept.withReturned(parts.nested, call(level + 1, parts.nested));
        }
        return allowance;
    }

    bool fails()
    {
        return next() % 100 < m_failurePercent;
    }

    retry::Failure failure()
    {
        const auto outcome = next() % 2 == 0 ? core::Outcome::NotRun : core::Outcome::Unknown;
        const auto origin = next() % 4 == 0 ? retry::FailureOrigin::Deeper : retry::FailureOrigin::NextHop;
        return {core::Refusal(core::RefusalReason::ConnectionLost, outcome), origin};
    }

    std::uint64_t next()
    {
        m_state = m_state * 6364136223846793005U + 1442695040888963407U;
        return m_state >> 33U;
    }

    int m_depth;
    int m_fanOut;
    std::uint32_t m_failurePercent;
    std::uint64_t m_state;
};

retry::Failure
failed(core::RefusalReason reason, core::Outcome outcome, retry::FailureOrigin origin = retry::FailureOrigin::NextHop)
{
    return {core::Refusal(reason, outcome), origin};
}

}

TEST_GROUP(AChainOfRetries){};

// Guards against G1, load amplification: independent retries at each of six hops multiply the load on the last service.
TEST(AChainOfRetries, neverMultipliesAlongTheChain)
{
    checkProperty("attempts at the deepest level are at most 1 + allowance", [](std::uint64_t seed) {
        const int depth = *rc::gen::inRange(1, MaxDepth + 1);
        const auto allowance = *rc::gen::inRange<std::uint32_t>(0, 9);
        CallTree chain(depth, 1, *rc::gen::inRange<std::uint32_t>(0, 101), seed);
        const auto spent = chain.call(1, retry::RetryAllowance(allowance));
        RC_ASSERT(chain.attemptsAtDeepest <= 1 + allowance);
        RC_ASSERT(chain.retries == spent);
        RC_ASSERT(spent <= allowance);
    });
    checkProperty("a tree with several calls per hop spends at most its allowance", [](std::uint64_t seed) {
        const int depth = *rc::gen::inRange(1, MaxDepth);
        const auto allowance = *rc::gen::inRange<std::uint32_t>(0, 9);
        CallTree tree(depth, 3, *rc::gen::inRange<std::uint32_t>(0, 101), seed);
        RC_ASSERT(tree.call(1, retry::RetryAllowance(allowance)) <= allowance);
        RC_ASSERT(tree.retries <= allowance);
    });
}

// Guards against a retry storm of many root requests: each has an allowance of its own, the service one budget.
TEST(AChainOfRetries, staysWithinTheBudgetOfTheService)
{
    checkProperty("retries over a service are at most 10 + a tenth of its successes", [](std::uint64_t seed) {
        CallTree roots(1, 1, *rc::gen::inRange<std::uint32_t>(0, 101), seed);
        const auto count = *rc::gen::inRange(1, 300);
        for (int root = 0; root < count; ++root) {
            roots.call(1, retry::RetryAllowance(2));
        }
        RC_ASSERT(10 * roots.retries <= 100 + roots.successes);
        const auto tokens = roots.budgets.budgetOf(CallTree::service(1)).tokens();
        RC_ASSERT(tokens >= 0);
        RC_ASSERT(tokens <= 10);
    });
    section("concurrent threads take each token of a shared budget once", [] {
        constexpr int ThreadCount = 4;
        retry::RetryBudgets budgets;
        std::vector<int> taken(ThreadCount, 0);
        {
            std::vector<std::jthread> threads;
            for (int t = 0; t < ThreadCount; ++t) {
                threads.emplace_back([&budgets, &mine = taken[t]] {
                    for (int i = 0; i < 1000; ++i) {
                        mine += budgets.tryTakeRetry(core::ServiceId("s")) ? 1 : 0;
                    }
                });
            }
        }
        LONGS_EQUAL(10, taken[0] + taken[1] + taken[2] + taken[3]);
        budgets.forget(core::ServiceId("s"));
        LONGS_EQUAL(0, budgets.size());
    });
}

// Guards against running a request twice, and against retries that cannot succeed or add load.
TEST(AChainOfRetries, isDecidedByTheHopNextToTheFailure)
{
    using core::Outcome;
    using core::RefusalReason;
    section("a not-run refusal with a reason that may not apply to another endpoint is retried, even if not idempotent",
            [] {
                CHECK(retry::isRetryable(failed(RefusalReason::Draining, Outcome::NotRun), false));
                CHECK(retry::isRetryable(failed(RefusalReason::ConnectionLost, Outcome::NotRun), false));
            });
    section("an overloaded refusal is not retried, since that would add load",
            [] { CHECK_FALSE(retry::isRetryable(failed(RefusalReason::Overloaded, Outcome::NotRun), true)); });
    section("a lost connection is retried only for an idempotent request", [] {
        CHECK(retry::isRetryable(failed(RefusalReason::ConnectionLost, Outcome::Unknown), true));
        CHECK_FALSE(retry::isRetryable(failed(RefusalReason::ConnectionLost, Outcome::Unknown), false));
    });
    section("a failure caused by the request or by the service as a whole is not retried", [] {
        for (const auto reason :
             {RefusalReason::BadRequest, RefusalReason::Quarantined, RefusalReason::DeadlineExceeded}) {
            CHECK_FALSE(retry::isRetryable(failed(reason, Outcome::NotRun), true));
        }
    });
    section("a failure further down the chain is not retried, since the hop next to it has decided", [] {
        const auto deeper = retry::FailureOrigin::Deeper;
        CHECK_FALSE(retry::isRetryable(failed(RefusalReason::Draining, Outcome::NotRun, deeper), true));
        CHECK_FALSE(retry::isRetryable(failed(RefusalReason::ConnectionLost, Outcome::Unknown, deeper), true));
    });
}

// Guards against synchronised retries of many callers, and against a delay that outlasts the caller.
TEST(AChainOfRetries, pausesWithinTheTimeThatIsLeft)
{
    checkProperty("a pause is positive and at most half of the remaining time", [](std::uint64_t random) {
        const retry::BackoffPolicy policy(5ms, 200ms);
        const core::Duration remaining(*rc::gen::inRange<std::int64_t>(-1'000'000, 2'000'000'000));
        const auto attempt = *rc::gen::inRange<std::uint32_t>(0, 100);
        const auto pause = policy.pause(attempt, remaining, random);
        RC_ASSERT(pause.has_value() == (remaining >= 2ns));
        if (pause) {
            RC_ASSERT(*pause > 0ns);
            RC_ASSERT(*pause <= remaining / 2);
            RC_ASSERT(*pause <= 200ms);
            RC_ASSERT(attempt > 0 || *pause <= 5ms);
        }
    });
}
