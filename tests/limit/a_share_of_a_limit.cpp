#include "berylspring/limit/entry_tokens.h"
#include "berylspring/limit/owner_bucket.h"
#include "berylspring/limit/ownership.h"
#include "berylspring/limit/tuning.h"
#include "support/section.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

constexpr core::TimePoint Start{1000s};
const core::DataCentreId other("dc-b");

limit::OwnerBucket fullBucket(limit::Share share)
{
    return {share, {other}, {share.capacity(), {}}, Start};
}

}

TEST_GROUP(AShareOfALimit){};

// Guards against granting more than the capacity within a window.
TEST(AShareOfALimit, grantsOnlyWhatItHas)
{
    auto bucket = fullBucket({100, 10});
    section("a full bucket grants its capacity once", [&] {
        LONGS_EQUAL(10, bucket.grant(12, Start).tokens);
        LONGS_EQUAL(0, bucket.grant(1, Start).tokens);
    });
    section("unexpired grants take up capacity, so that no window gets both the capacity and its refill twice", [&] {
        LONGS_EQUAL(0, bucket.grant(10, Start + 9ms).tokens);
        const auto later = bucket.grant(10, Start + 150ms);
        CHECK(later.tokens >= 9);
        CHECK(later.tokens <= 10);
    });
}

// Guards against two data centres using the same rate or tokens, also with duplicated messages.
TEST(AShareOfALimit, lendsWithoutHavingItTwice)
{
    auto bucket = fullBucket({100, 10});
    section("a lent rate does not refill the lender until the loan has expired on every clock", [&] {
        LONGS_EQUAL(10, bucket.grant(10, Start).tokens);
        const auto loan = bucket.lend(other, 100, 0, Start + 900ms);
        CHECK(loan.rate > 90);
        CHECK(bucket.grant(10, Start + 900ms).tokens >= 9);
        CHECK(bucket.grant(10, Start + 900ms + limit::RateLoanDuration + 20ms).tokens <= 1);
        CHECK(bucket.grant(10, Start + 900ms + limit::RateLoanDuration + 130ms).tokens >= 9);
    });
    section("a duplicated rate request lends no second share, and a smaller one does not reduce the first", [&] {
        auto lender = fullBucket({100, 10});
        DOUBLES_EQUAL(100, lender.lend(other, 100, 0, Start).rate, 1e-9);
        DOUBLES_EQUAL(100, lender.lend(other, 100, 0, Start + 1ms).rate, 1e-9);
        DOUBLES_EQUAL(10, lender.lend(other, 10, 0, Start + 2ms).rate, 1e-9);
        DOUBLES_EQUAL(0, lender.lend(core::DataCentreId("dc-c"), 100, 0, Start + 3ms).rate, 1e-9);
    });
    section("lent tokens are deducted, and their capacity stays lent during the transfer", [&] {
        auto lender = fullBucket({1000, 10});
        DOUBLES_EQUAL(10, lender.lend(other, 0, 20, Start).tokens, 1e-9);
        LONGS_EQUAL(0, lender.grant(1, Start + limit::TokenLoanDuration + 2ms).tokens);
        CHECK(lender.grant(10, Start + 2 * limit::TokenLoanDuration).tokens > 0);
    });
}

// Guards against using lent tokens after the lender counts them as its own again.
TEST(AShareOfALimit, dropsTokensThatCameTooLate)
{
    auto bucket = fullBucket({100, 10});
    LONGS_EQUAL(10, bucket.grant(10, Start).tokens);
    const limit::LoanNeed need{other, 0, 5};
    bucket.applyLoan(need, {0, 5, limit::TokenLoanDuration}, Start, Start + limit::TokenLoanTimeout);
    LONGS_EQUAL(0, bucket.grant(5, Start + limit::TokenLoanTimeout).tokens);
}

// Guards against using granted tokens after their owner has granted them again.
TEST(AShareOfALimit, isUsedUpAtTheEntryBeforeItExpires)
{
    const auto tokens = limit::EntryTokens().granted(2, Start + 10ms, Start);
    section("tokens expire while an entry node is paused", [&] {
        CHECK(tokens.taken(Start + 9ms).has_value());
        CHECK_FALSE(tokens.taken(Start + 10ms).has_value());
    });
    section("the token that expires first is used first", [&] {
        const auto more = tokens.granted(1, Start + 5ms, Start);
        LONGS_EQUAL(3, more.available(Start));
        LONGS_EQUAL(2, more.taken(Start)->available(Start + 6ms));
    });
    section("a third grant loses no token of the first two", [&] {
        const auto three = tokens.granted(1, Start + 5ms, Start).granted(4, Start + 20ms, Start);
        LONGS_EQUAL(7, three.available(Start));
        LONGS_EQUAL(4, three.available(Start + 5ms));
    });
}

// Guards against an owner that grants after a pause, when another host may own the bucket.
TEST(AShareOfALimit, isVoidAfterItsOwnerWasPaused)
{
    const limit::NodeLease lease(Start);
    section("acknowledgements in time keep the epoch", [&] {
        const auto renewed = lease.observed(Start + 1s, Start + 900ms, true, 0);
        LONGS_EQUAL(0, renewed.epoch());
        CHECK(renewed.until() == Start + 900ms + limit::LeaseDuration);
    });
    section("an acknowledgement read after a pause does not renew an expired lease", [&] {
        const auto resumed = lease.observed(Start + 3s, Start + 3s, true, 0);
        LONGS_EQUAL(1, resumed.epoch());
        CHECK(limit::Ownership::active(0).under(resumed).phase() == limit::OwnershipPhase::Idle);
    });
    section("a pause that the process detected ends the epoch as well",
            [&] { LONGS_EQUAL(1, lease.observed(Start + 1s, Start + 1s, true, 1).epoch()); });
}
