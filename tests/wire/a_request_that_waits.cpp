#include "support/section.h"
#include "wire/envelope_codec.h"
#include "wire/frame_queue.h"
#include "wire/pending_requests.h"
#include "wire/silence_monitor.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace berylspring::wire::detail;
using namespace std::chrono_literals;
using test::checkProperty;
using test::section;

namespace {

const core::TimePoint startTime = core::TimePoint() + 1h;

EncodedFrame frameOf(std::size_t size, std::uint8_t content)
{
    auto bytes = std::make_shared<std::vector<std::uint8_t>>(size, content);
    const std::span<const std::uint8_t> view(*bytes);
    return {std::move(bytes), view};
}

std::string join(const std::vector<std::span<const std::uint8_t>> &batch, std::size_t maxBytes)
{
    std::string text;
    for (const auto &bytes : batch) {
        text.append(bytes.begin(), bytes.end());
    }
    return text.substr(0, maxBytes);
}

}

TEST_GROUP(ARequestThatWaits){};

// Guards against a caller that receives the answer to another request.
TEST(ARequestThatWaits, isMatchedByEpochAndNumber)
{
    PendingRequests<std::string> pending(7);
    pending.add(1, startTime + 1s, "first");
    pending.add(2, startTime + 2s, "second");
    section("answers may arrive out of order", [&] { CHECK(pending.match({7, 2}) == "second"); });
    section("another epoch, an unknown number and a second answer are dropped and counted", [&] {
        CHECK_FALSE(pending.match({6, 1}).has_value());
        CHECK_FALSE(pending.match({7, 3}).has_value());
        CHECK_FALSE(pending.match({7, 2}).has_value());
        LONGS_EQUAL(3, pending.droppedAnswers());
        LONGS_EQUAL(1, pending.size());
    });
    section("an answer after the deadline is dropped", [&] {
        CHECK(pending.nextDeadline() == startTime + 1s);
        CHECK(pending.removeExpired(startTime + 1s - 1ns).empty());
        CHECK(pending.removeExpired(startTime + 1s).at(0).second == "first");
        CHECK_FALSE(pending.match({7, 1}).has_value());
        CHECK_FALSE(pending.nextDeadline().has_value());
    });
}

// Guards against a request that is reported as not sent although bytes of its frame were written.
TEST(ARequestThatWaits, isWithdrawnOnlyBeforeItsFirstByte)
{
    checkProperty("frames are written completely and in order, and withdrawn ones never", [] {
        FrameQueue queue(1'000'000);
        std::map<std::uint64_t, std::size_t> sizes;
        std::set<std::uint64_t> withdrawn;
        std::string written;
        const auto writeOnce = [&](std::size_t maxBytes) {
            const auto batch = queue.takeBatch();
            const auto text = join(batch, maxBytes);
            queue.finishBatch(text.size());
            written += text;
        };
        for (std::uint64_t number = 1; number <= 20; ++number) {
            sizes[number] = *rc::gen::inRange<std::size_t>(1, 50);
            RC_ASSERT(queue.push(number, frameOf(sizes[number], static_cast<std::uint8_t>(number))));
            writeOnce(*rc::gen::inRange<std::size_t>(0, 60));
            const auto candidate = *rc::gen::inRange<std::uint64_t>(1, number + 1);
            const bool isWaiting = queue.waitingRequests().contains(candidate);
            RC_ASSERT(queue.withdraw(candidate) == isWaiting);
            if (isWaiting) {
                RC_ASSERT(written.find(static_cast<char>(candidate)) == std::string::npos);
                withdrawn.insert(candidate);
            }
        }
        while (!queue.isEmpty()) {
            writeOnce(1000);
        }
        std::string expected;
        for (const auto &[number, size] : sizes) {
            expected += withdrawn.contains(number) ? "" : std::string(size, static_cast<char>(number));
        }
        RC_ASSERT(written == expected);
        RC_ASSERT(queue.waitingBytes() == 0U);
    });
    section("a batch that is being written is neither withdrawn nor freed", [] {
        FrameQueue queue(100);
        CHECK(queue.push(1, frameOf(10, 'a')));
        const auto batch = queue.takeBatch();
        CHECK_FALSE(queue.withdraw(1));
        queue.discardWaiting();
        CHECK(join(batch, 10) == std::string(10, 'a'));
    });
    section("a full queue refuses frames", [] {
        FrameQueue queue(100);
        CHECK(queue.push(1, frameOf(100, 'a')));
        CHECK_FALSE(queue.push(2, frameOf(1, 'b')));
        CHECK(queue.withdraw(1));
        CHECK(queue.push(2, frameOf(100, 'b')));
    });
}

// Guards against silent connections that are never closed, and against closing good ones after this process paused.
TEST(ARequestThatWaits, isGivenUpWhenThePeerIsSilent)
{
    SilenceMonitor monitor(500ms, 2s, 4s, startTime);
    section("silence is tolerated up to the limit", [&] {
        for (auto time = startTime + 500ms; time < startTime + 2s; time += 500ms) {
            monitor = monitor.ticked(time);
            CHECK_FALSE(monitor.isSilent(time));
        }
        CHECK(monitor.ticked(startTime + 2s).isSilent(startTime + 2s));
    });
    section("a received frame restarts the timeout", [&] {
        const auto received =
            monitor.withReceipt(startTime + 1900ms).withFrameOwed(startTime + 1900ms).ticked(startTime + 2s);
        CHECK_FALSE(received.isSilent(startTime + 3899ms));
        CHECK(received.isSilent(startTime + 3900ms));
    });
    section("further frames to a peer that owes one do not extend the timeout", [&] {
        const auto received = monitor.withReceipt(startTime + 1900ms).withFrameOwed(startTime + 1900ms);
        CHECK(received.withFrameOwed(startTime + 3s).isSilent(startTime + 3900ms));
    });
    section("a peer that owes nothing may be silent for longer, but not for good", [&] {
        const auto received = monitor.withReceipt(startTime + 1900ms);
        CHECK_FALSE(received.isSilent(startTime + 5899ms));
        CHECK(received.isSilent(startTime + 5900ms));
    });
    section("time in which this process was paused does not count", [&] {
        const auto before = SilenceMonitor(500ms, 2s, 4s, startTime).ticked(startTime + 500ms);
        const auto resumed = before.ticked(startTime + 1h).ticked(startTime + 1h + 500ms);
        CHECK_FALSE(resumed.isSilent(startTime + 1h + 500ms));
        CHECK(resumed.ticked(startTime + 1h + 1s).isSilent(startTime + 1h + 1s));
    });
}
