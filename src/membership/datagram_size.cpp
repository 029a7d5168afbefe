#include "berylspring/membership/datagram_size.h"

#include <type_traits>
#include <variant>

namespace berylspring::membership {

namespace {

/** Length, terminating zero, padding and the offset that refers to it. */
constexpr std::size_t StringOverheadBytes = 12;
constexpr std::size_t RecordBytes = 64;
constexpr std::size_t EndpointBytes = 36;
/** Sequence number, target offset and list length of a message. */
constexpr std::size_t MessageBytes = 32;

std::size_t stringBytes(const std::string &text) noexcept
{
    return StringOverheadBytes + text.size();
}

}

std::size_t estimatedBytes(const wire::MemberUpdate &update) noexcept
{
    auto bytes = RecordBytes + stringBytes(update->host.value()) + stringBytes(update->dataCentre.value())
                 + stringBytes(update->address);
    if (update->endpoint) {
        bytes += EndpointBytes + stringBytes((*update->endpoint)->service.value());
    }
    return bytes;
}

std::size_t estimatedBytes(const wire::Datagram &datagram) noexcept
{
    return std::visit(
        [](const auto &message) {
            auto bytes = DatagramOverheadBytes + MessageBytes + estimatedBytes(message->sender);
            using Message = std::decay_t<decltype(message)>;
            if constexpr (!std::is_same_v<Message, wire::Ping> && !std::is_same_v<Message, wire::OffsetNotice>) {
                bytes += stringBytes(message->target.value());
            }
            if constexpr (std::is_same_v<Message, wire::Ping> || std::is_same_v<Message, wire::PingAck>) {
                for (const auto &update : message->updates) {
                    bytes += estimatedBytes(update);
                }
            }
            return bytes;
        },
        datagram);
}

}
