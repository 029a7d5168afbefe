#include "berylspring/wire/peer_options.h"
#include "support/section.h"
#include "wire/envelope_codec.h"
#include "wire/frame_compression.h"
#include "wire/frame_reader.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;
using wire::detail::FrameCompression;

namespace {

constexpr std::size_t MaxFrameBytes = 1'000'000;

wire::Message callWith(const std::string &id, const std::string &body)
{
    return wire::CallRequest({.service = core::ServiceId("history"),
                              .route = core::RouteId("r-1"),
                              .method = "GET",
                              .target = "/past/" + id,
                              .headers = {{"Request-Id", id}, {"Caller-Service", "history"}, {"Host", "a.example"}},
                              .body = body,
                              .isNested = true,
                              .requestId = id});
}

wire::detail::EncodedFrame frameOf(const wire::Message &message)
{
    return wire::detail::encode(wire::detail::RequestKey{3, 7}, message, MaxFrameBytes).value();
}

std::vector<std::uint8_t> bytesOf(const wire::detail::EncodedFrame &frame)
{
    return {frame.bytes().begin(), frame.bytes().end()};
}

const std::string Dictionary = wire::makeDictionary({callWith("0123456789abcdef", "")});

}

TEST_GROUP(ACompressedFrame){};

// Guards against compression that saves nothing, loses data or breaks the framing.
TEST(ACompressedFrame, isShorterAndGivesTheSameBytes)
{
    const FrameCompression compression(Dictionary);
    const auto frame = frameOf(callWith("fedcba9876543210", ""));
    const auto compressed = compression.compressed(frame);
    section("a typical call takes less than half the bytes", [&] {
        CHECK_TRUE(FrameCompression::isCompressed(compressed.bytes()));
        CHECK_TRUE(2 * compressed.size() < frame.size());
    });
    section("it decompresses to the original bytes",
            [&] { CHECK_TRUE(compression.decompressed(compressed.bytes()).value() == bytesOf(frame)); });
    section("the frame reader extracts it from the stream", [&] {
        wire::detail::FrameReader reader(MaxFrameBytes);
        std::copy(compressed.bytes().begin(), compressed.bytes().end(), reader.prepare().begin());
        reader.commit(compressed.size());
        const auto found = reader.next();
        CHECK_TRUE(found.has_value() && found->has_value());
        LONGS_EQUAL(compressed.size(), (*found)->size());
    });
    section("a frame with a long body is not compressed", [&] {
        const auto large = frameOf(callWith("fedcba9876543210", std::string(100'000, 'x')));
        CHECK_FALSE(FrameCompression::isCompressed(compression.compressed(large).bytes()));
    });
    section("nothing is compressed without a dictionary", [&] {
        const FrameCompression none{std::string()};
        LONGS_EQUAL(0, none.dictionaryId());
        CHECK_FALSE(FrameCompression::isCompressed(none.compressed(frame).bytes()));
    });
}

// Guards against damaged or foreign frames that are accepted, or that do more harm than closing their connection.
TEST(ACompressedFrame, isRefusedWhenItIsDamaged)
{
    const FrameCompression compression(Dictionary);
    const auto whole = bytesOf(compression.compressed(frameOf(callWith("fedcba9876543210", ""))));
    section("when truncated", [&] {
        CHECK_FALSE(compression.decompressed(std::span(whole).first(whole.size() - 1)).has_value());
        CHECK_FALSE(compression.decompressed(std::span(whole).first(6)).has_value());
    });
    section("when compressed with another dictionary",
            [&] { CHECK_FALSE(FrameCompression("other text").decompressed(whole).has_value()); });
    section("when the length of the original frame is wrong", [&] {
        auto changed = whole;
        changed[4] ^= 1U;
        CHECK_FALSE(compression.decompressed(changed).has_value());
        changed[7] = 0xff;
        CHECK_FALSE(compression.decompressed(changed).has_value());
    });
    checkProperty("any changed byte is rejected, or leaves the decompressed frame intact", [&] {
        auto changed = whole;
        const auto place = *rc::gen::inRange<std::size_t>(8, changed.size());
        changed[place] = static_cast<std::uint8_t>(changed[place] ^ *rc::gen::inRange(1, 256));
        const auto inner = compression.decompressed(changed);
        if (inner) {
            RC_ASSERT(*inner == *compression.decompressed(whole));
        }
    });
}

// Guards against messages that do not survive compression.
TEST(ACompressedFrame, holdsAnyMessage)
{
    const FrameCompression compression(Dictionary);
    checkProperty("decompressing gives the original frame", [&](const std::string &id, const std::string &body) {
        const auto frame = frameOf(callWith(id, body));
        const auto packed = compression.compressed(frame);
        if (FrameCompression::isCompressed(packed.bytes())) {
            RC_ASSERT(compression.decompressed(packed.bytes()).value() == bytesOf(frame));
        } else {
            RC_ASSERT(bytesOf(packed) == bytesOf(frame));
        }
    });
}
