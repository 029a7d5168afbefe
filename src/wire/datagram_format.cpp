#include "wire/datagram_format.h"

#include "wire/generated/schema.h"
#include "wire/schema_reader.h"

#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace berylspring::wire::detail {

namespace {

static_assert(static_cast<int>(schema::MemberState::MAX) == static_cast<int>(MemberState::Left));

template<typename Table>
using Offset = flatbuffers::Offset<Table>;

constexpr flatbuffers::uoffset_t MaxDepth = 8;
constexpr flatbuffers::uoffset_t MaxTables = 128;

/** @brief Encodes datagrams; stores equal strings once to save space. */
class DatagramWriter
{
public:
    [[nodiscard]] std::string write(const OpenedDatagram &datagram)
    {
        const auto sender = text(datagram.sender.value());
        const auto payload = std::visit([this](const auto &value) { return write(value).Union(); }, datagram.datagram);
        const auto type = static_cast<schema::DatagramPayload>(datagram.datagram.index() + 1);
        m_builder.Finish(
            schema::CreateSealedDatagram(m_builder, sender, datagram.bootId, datagram.sequence, type, payload));
        return {reinterpret_cast<const char *>(m_builder.GetBufferPointer()), m_builder.GetSize()};
    }

private:
    [[nodiscard]] Offset<flatbuffers::String> text(const std::string &value)
    {
        return m_builder.CreateSharedString(value);
    }

    Offset<schema::EndpointState> write(const EndpointState &value)
    {
        return schema::CreateEndpointState(m_builder,
                                           text(value->service.value()),
                                           value->slots,
                                           value->isDraining,
                                           value->load,
                                           value->admittedLevel,
                                           static_cast<float>(value->coldRate));
    }

    Offset<schema::MemberUpdate> write(const MemberUpdate &value)
    {
        const auto host = text(value->host.value());
        const auto dataCentre = text(value->dataCentre.value());
        const auto address = text(value->address);
        const auto endpoint = value->endpoint ? write(*value->endpoint) : Offset<schema::EndpointState>();
        return schema::CreateMemberUpdate(m_builder,
                                          host,
                                          dataCentre,
                                          address,
                                          value->port,
                                          value->incarnation,
                                          static_cast<schema::MemberState>(value->state),
                                          value->version,
                                          value->appliedOffset,
                                          endpoint);
    }

    [[nodiscard]] auto list(const std::vector<MemberUpdate> &updates)
    {
        std::vector<Offset<schema::MemberUpdate>> offsets;
        offsets.reserve(updates.size());
        for (const auto &update : updates) {
            offsets.push_back(write(update));
        }
        return m_builder.CreateVector(offsets);
    }

    Offset<schema::Ping> write(const Ping &value)
    {
        const auto sender = write(value->sender);
        return schema::CreatePing(m_builder, value->sequence, sender, list(value->updates));
    }

    Offset<schema::PingAck> write(const PingAck &value)
    {
        const auto target = text(value->target.value());
        const auto sender = write(value->sender);
        return schema::CreatePingAck(m_builder, value->sequence, target, sender, list(value->updates));
    }

    Offset<schema::PingRequest> write(const PingRequest &value)
    {
        const auto target = text(value->target.value());
        return schema::CreatePingRequest(m_builder, value->sequence, target, write(value->sender));
    }

    Offset<schema::OffsetNotice> write(const OffsetNotice &value)
    {
        return schema::CreateOffsetNotice(m_builder, write(value->sender));
    }

    flatbuffers::FlatBufferBuilder m_builder{MaxDatagramBytes};
};

/** @brief Converts the tables of one verified datagram. */
class DatagramReader : public SchemaReader
{
public:
    using SchemaReader::SchemaReader;

    [[nodiscard]] Datagram payload(const schema::SealedDatagram &datagram)
    {
        switch (datagram.payload_type()) {
        case schema::DatagramPayload::Ping: {
            const auto &ping = *datagram.payload_as_Ping();
            return Ping(PingFields{ping.sequence(), read(*ping.sender()), updates(ping.updates())});
        }
        case schema::DatagramPayload::PingAck: {
            const auto &ack = *datagram.payload_as_PingAck();
            return PingAck(PingAckFields{
                ack.sequence(), name<core::HostId>(ack.target()), read(*ack.sender()), updates(ack.updates())});
        }
        case schema::DatagramPayload::PingRequest: {
            const auto &request = *datagram.payload_as_PingRequest();
            return PingRequest(
                PingRequestFields{request.sequence(), name<core::HostId>(request.target()), read(*request.sender())});
        }
        case schema::DatagramPayload::OffsetNotice:
            return OffsetNotice(OffsetNoticeFields{read(*datagram.payload_as_OffsetNotice()->sender())});
        default:
            fail("unknown datagram type");
            return Ping();
        }
    }

private:
    [[nodiscard]] EndpointState read(const schema::EndpointState &value)
    {
        return EndpointState(EndpointStateFields{name<core::ServiceId>(value.service()),
                                                 value.slots(),
                                                 value.is_draining(),
                                                 value.load(),
                                                 admittedLevel(value.admitted_level()),
                                                 nonNegative(value.cold_rate())});
    }

    [[nodiscard]] MemberUpdate read(const schema::MemberUpdate &value)
    {
        MemberUpdateFields fields;
        fields.host = name<core::HostId>(value.host());
        fields.dataCentre = name<core::DataCentreId>(value.data_centre());
        fields.address = text(value.address());
        fields.port = value.port();
        fields.incarnation = value.incarnation();
        fields.state = enumerator<MemberState>(value.state());
        fields.version = value.version();
        fields.appliedOffset = value.applied_offset();
        if (value.endpoint() != nullptr) {
            fields.endpoint = read(*value.endpoint());
        }
        return MemberUpdate(std::move(fields));
    }

    [[nodiscard]] std::vector<MemberUpdate>
    updates(const flatbuffers::Vector<flatbuffers::Offset<schema::MemberUpdate>> *values)
    {
        return list<MemberUpdate>(values, [this](const schema::MemberUpdate &update) { return read(update); });
    }
};

}

std::string encodeDatagram(const OpenedDatagram &datagram)
{
    return DatagramWriter().write(datagram);
}

Result<OpenedDatagram> decodeDatagram(std::string_view bytes)
{
    // Equal strings are stored once, so that a valid datagram may decode to more bytes than its encoding.
    constexpr std::size_t ByteBudget = 16 * MaxDatagramBytes;
    std::vector<std::uint64_t> storage;
    const auto input = alignedBytes({reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size()}, storage);
    flatbuffers::Verifier verifier(input.data(), input.size(), MaxDepth, MaxTables);
    if (input.empty() || !schema::VerifySealedDatagramBuffer(verifier)) {
        return tl::unexpected(Error(ErrorCode::Malformed, false, "datagram is not a valid FlatBuffers message"));
    }
    const auto *root = schema::GetSealedDatagram(input.data());
    DatagramReader reader(ByteBudget);
    OpenedDatagram opened{
        reader.name<core::HostId>(root->sender()), root->boot_id(), root->sequence(), reader.payload(*root)};
    if (!reader.isValid()) {
        return tl::unexpected(Error(ErrorCode::Malformed, false, std::string(reader.fault())));
    }
    return opened;
}

}
