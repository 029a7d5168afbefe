#include "support/section.h"
#include "wire/envelope_codec.h"
#include "wire/frame_reader.h"
#include "wire/generators.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace berylspring::wire::detail;
using test::checkProperty;
using test::section;
namespace any = berylspring::test::any;

namespace {

constexpr std::size_t MaxFrameBytes = 1 << 20;

Envelope anyEnvelope(wire::Message message)
{
    return Envelope{RequestKey{any::value<std::uint64_t>(), any::value<std::uint64_t>()}, std::move(message)};
}

std::vector<std::uint8_t> bytesOf(const Envelope &envelope)
{
    const auto frame = encode(envelope, MaxFrameBytes);
    const auto bytes = frame.value().bytes();
    return {bytes.begin(), bytes.end()};
}

/** @return The body of the message, if its kind has one. */
std::optional<std::string> bodyOf(const Envelope &envelope)
{
    const auto *message = std::get_if<wire::Message>(&envelope.payload);
    if (message == nullptr) {
        return std::nullopt;
    }
    if (const auto *request = std::get_if<wire::CallRequest>(message)) {
        return (*request)->body;
    }
    if (const auto *response = std::get_if<wire::CallResponse>(message)) {
        return (*response)->body;
    }
    if (const auto *home = std::get_if<wire::HomeRequest>(message)) {
        return (*home)->call->body;
    }
    return std::nullopt;
}

void checkRefused(const wire::Result<Envelope> &result)
{
    CHECK_FALSE(result.has_value());
    CHECK(result.error().code() == wire::ErrorCode::Malformed);
}

}

TEST_GROUP(AMessageOnItsWay){};

// Guards against fields that the encoder or decoder omits or swaps.
TEST(AMessageOnItsWay, arrivesAsItWasSent)
{
    section("every kind of message", [] {
        for (std::size_t index = 0; index < std::variant_size_v<wire::Message>; ++index) {
            checkProperty("kind " + std::to_string(index), [index] {
                const auto envelope = anyEnvelope(any::message(index));
                const auto decoded = decode(bytesOf(envelope));
                RC_ASSERT(decoded == envelope);
            });
        }
    });
    section("the control frames of a connection", [] {
        checkProperty("hello and proof", [](std::uint64_t bootId, const Nonce &nonce) {
            const Envelope hello{RequestKey{}, Hello(HelloFields{1, core::HostId("host-1"), bootId, nonce})};
            const Envelope proof{RequestKey{}, HelloProof(HelloProofFields{any::digest()})};
            RC_ASSERT(decode(bytesOf(hello)).value() == hello);
            RC_ASSERT(decode(bytesOf(proof)).value() == proof);
        });
        const Envelope cancel{RequestKey{3, 4}, CallCancel{}};
        CHECK(decode(bytesOf(cancel)).value() == cancel);
        const Envelope heartbeat{RequestKey{}, Heartbeat{}};
        CHECK(decode(bytesOf(heartbeat)).value() == heartbeat);
    });
    section("at any alignment within a buffer", [] {
        const Envelope envelope{RequestKey{1, 2}, wire::Message(wire::Refused(wire::RefusedFields{"text"}))};
        for (std::size_t shift = 0; shift < 8; ++shift) {
            std::vector<std::uint8_t> bytes(shift);
            const auto frame = bytesOf(envelope);
            bytes.insert(bytes.end(), frame.begin(), frame.end());
            CHECK(decode(std::span(bytes).subspan(shift)).value() == envelope);
        }
    });
    section("but not if it exceeds the frame size limit", [] {
        const wire::Message message = wire::Refused(wire::RefusedFields{std::string(1000, 'x')});
        const auto frame = encode(RequestKey{}, message, 1000);
        CHECK(frame.error().code() == wire::ErrorCode::TooLarge);
        CHECK_FALSE(frame.error().maybeSent());
    });
}

// Guards against out-of-bounds reads, and against accepting a corrupt response or that of another request.
TEST(AMessageOnItsWay, isRefusedWhenItArrivesDamaged)
{
    section("random bytes", [] {
        checkProperty("never crash the decoder", [](const std::vector<std::uint8_t> &bytes) { (void)decode(bytes); });
        checkProperty("nor behind a valid length", [](const std::vector<std::uint8_t> &content) {
            const auto size = static_cast<std::uint8_t>(std::min<std::size_t>(content.size(), 255));
            std::vector<std::uint8_t> bytes{size, 0, 0, 0};
            bytes.insert(bytes.end(), content.begin(), content.begin() + size);
            (void)decode(bytes);
        });
    });
    section("truncated frames", [] {
        checkProperty("are never accepted", [] {
            const auto bytes = bytesOf(anyEnvelope(any::message()));
            const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
            RC_ASSERT_FALSE(decode(std::span(bytes).first(size)).has_value());
        });
    });
    section("flipped bits", [] {
        checkProperty("never yield a wrong body", [] {
            const std::vector<wire::Message> kinds{any::callRequest(), any::callResponse()};
            const auto envelope = anyEnvelope(*rc::gen::elementOf(kinds));
            auto bytes = bytesOf(envelope);
            for (int flips = *rc::gen::inRange(1, 4); flips > 0; --flips) {
                const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
                bytes[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
            }
            const auto decoded = decode(bytes);
            if (decoded && bodyOf(*decoded)) {
                RC_ASSERT(bodyOf(*decoded) == bodyOf(envelope));
            }
        });
        checkProperty("never crash the decoder of any message", [] {
            auto bytes = bytesOf(anyEnvelope(any::message()));
            const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
            bytes[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
            (void)decode(bytes);
        });
    });
    section("a body in the frame of another request", [] {
        checkProperty("is rejected", [](std::uint64_t number, std::uint64_t second) {
            // Distinct from every other field, so that the search below finds the request number.
            const std::uint64_t first = number ^ 0x9e3779b97f4a7c15U;
            RC_PRE(first != second && first != 0U);
            auto bytes = bytesOf(Envelope{RequestKey{1, first}, wire::Message(any::callResponse())});
            const auto *from = reinterpret_cast<const std::uint8_t *>(&first);
            const auto found = std::search(bytes.begin(), bytes.end(), from, from + sizeof(first));
            RC_PRE(found != bytes.end());
            std::copy_n(reinterpret_cast<const std::uint8_t *>(&second), sizeof(second), found);
            RC_ASSERT_FALSE(decode(bytes).has_value());
        });
    });
}

// Guards against values that later code cannot handle; an enumerator out of range is undefined behaviour there.
TEST(AMessageOnItsWay, isRefusedWhenAValueIsOutOfRange)
{
    section("non-finite numbers", [] {
        for (const double bad : {std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
            const wire::Message message = wire::HandoverReply(wire::HandoverReplyFields{true, bad, {}});
            checkRefused(decode(bytesOf(Envelope{RequestKey{}, message})));
        }
    });
    section("unknown enumerators", [] {
        const auto state = static_cast<wire::GrantStatus>(3);
        checkRefused(decode(bytesOf(Envelope{RequestKey{}, wire::Message(wire::GrantReply({state, 0, {}, {}}))})));
        const core::Refusal refusal(static_cast<core::RefusalReason>(17), core::Outcome::NotRun);
        const auto response = wire::CallResponse().with(&wire::CallResponseFields::refusal, refusal);
        checkRefused(decode(bytesOf(Envelope{RequestKey{}, wire::Message(response)})));
    });
    section("priorities above the highest", [] {
        const auto request = wire::CallRequest().with(&wire::CallRequestFields::priority, core::MaxPriority + 1);
        checkRefused(decode(bytesOf(Envelope{RequestKey{}, wire::Message(request)})));
    });
    section("invalid host names in a hello", [] {
        checkRefused(decode(bytesOf(Envelope{RequestKey{}, Hello(HelloFields{1, core::HostId("a/b"), 1, {}})})));
    });
}

// Guards against frames that are lost or merged at read boundaries, and against allocating announced lengths.
TEST(AMessageOnItsWay, isExtractedFromTheStream)
{
    section("for any division into reads", [] {
        checkProperty("all frames are extracted in order", [] {
            std::vector<std::vector<std::uint8_t>> sent;
            std::vector<std::uint8_t> stream;
            for (int count = *rc::gen::inRange(0, 6); count > 0; --count) {
                const auto size = *rc::gen::inRange(1, 20'000);
                const Envelope envelope{RequestKey{},
                                        wire::Message(wire::Refused(wire::RefusedFields{std::string(size, 'x')}))};
                sent.push_back(bytesOf(envelope));
                stream.insert(stream.end(), sent.back().begin(), sent.back().end());
            }
            FrameReader reader(MaxFrameBytes);
            std::vector<std::vector<std::uint8_t>> received;
            std::size_t position = 0;
            while (position < stream.size()) {
                const auto room = reader.prepare();
                const auto maxBytes = std::min(room.size(), stream.size() - position);
                const auto count = *rc::gen::inRange<std::size_t>(1, maxBytes + 1);
                std::copy_n(stream.begin() + static_cast<std::ptrdiff_t>(position), count, room.begin());
                position += count;
                reader.commit(count);
                while (reader.hasFrame()) {
                    const auto frame = reader.next().value().value();
                    received.emplace_back(frame.begin(), frame.end());
                }
            }
            RC_ASSERT(received == sent);
        });
    });
    section("unless its length is zero or over the limit", [] {
        FrameReader reader(100);
        const std::vector<std::uint8_t> large{97, 0, 0, 0};
        std::copy(large.begin(), large.end(), reader.prepare().begin());
        reader.commit(large.size());
        CHECK(reader.next().error().code() == wire::ErrorCode::TooLarge);
        reader.setMaxFrameBytes(101);
        CHECK_FALSE(reader.next().value().has_value());
        FrameReader other(100);
        std::fill_n(other.prepare().begin(), 4, std::uint8_t{0});
        other.commit(4);
        CHECK(other.next().error().code() == wire::ErrorCode::Malformed);
    });
    section("with a buffer no larger than the received bytes require", [] {
        FrameReader reader(std::size_t{1} << 31);
        const std::vector<std::uint8_t> huge{0, 0, 0, 0x70};
        std::copy(huge.begin(), huge.end(), reader.prepare().begin());
        reader.commit(huge.size());
        CHECK(reader.prepare().size() < 100'000);
    });
}
