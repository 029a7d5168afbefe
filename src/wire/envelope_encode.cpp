#include "wire/body_check.h"
#include "wire/envelope_codec.h"
#include "wire/generated/schema.h"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace berylspring::wire::detail {

namespace {

template<typename Table>
using Offset = flatbuffers::Offset<Table>;

/** @brief Encodes one message into a FlatBuffers buffer; each write() returns the offset of its table. */
class EnvelopeWriter
{
public:
    EnvelopeWriter(const RequestKey &key, std::size_t initialBytes)
        : m_builder(initialBytes)
        , m_key(key)
    {
    }

    template<typename Value>
    void writePayload(schema::Payload type, const Value &value)
    {
        const auto payload = write(value).Union();
        const auto root = schema::CreateEnvelope(m_builder, m_key.epoch, m_key.number, type, payload);
        schema::FinishSizePrefixedEnvelopeBuffer(m_builder, root);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_builder.GetSize();
    }

    [[nodiscard]] EncodedFrame release()
    {
        auto buffer = std::make_shared<flatbuffers::DetachedBuffer>(m_builder.Release());
        const std::span<const std::uint8_t> bytes(buffer->data(), buffer->size());
        return {std::move(buffer), bytes};
    }

private:
    [[nodiscard]] Offset<flatbuffers::String> text(std::string_view value)
    {
        return m_builder.CreateString(value.data(), value.size());
    }

    template<typename Tag>
    [[nodiscard]] Offset<flatbuffers::String> text(const core::Name<Tag> &name)
    {
        return text(std::string_view(name.value()));
    }

    [[nodiscard]] static schema::Digest digest(const core::Digest &value)
    {
        return schema::Digest(flatbuffers::span<const std::uint8_t, core::Digest::ByteCount>(value.bytes()));
    }

    template<typename Table, typename Value>
    [[nodiscard]] auto list(const std::vector<Value> &values)
    {
        std::vector<Offset<Table>> offsets;
        offsets.reserve(values.size());
        for (const auto &value : values) {
            offsets.push_back(write(value));
        }
        return m_builder.CreateVector(offsets);
    }

    [[nodiscard]] Offset<schema::Body> body(const std::string &value)
    {
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(value.data());
        const auto vector = m_builder.CreateVector(bytes, value.size());
        return schema::CreateBody(
            m_builder, vector, value.size(), bodyHash(bytes, value.size(), m_key.number), BodyEndMark);
    }

    Offset<schema::Hello> write(const Hello &value)
    {
        const schema::Nonce nonce(flatbuffers::span<const std::uint8_t, NonceByteCount>(value->nonce));
        const auto host = text(value->host);
        const auto dataCentre = text(value->dataCentre);
        return schema::CreateHello(
            m_builder, value->protocol, host, value->bootId, &nonce, dataCentre, value->dictionary);
    }
    Offset<schema::HelloProof> write(const HelloProof &value)
    {
        const auto proof = digest(value->proof);
        return schema::CreateHelloProof(m_builder, &proof);
    }
    Offset<schema::CallCancel> write(const CallCancel &)
    {
        return schema::CreateCallCancel(m_builder);
    }
    Offset<schema::Heartbeat> write(const Heartbeat &)
    {
        return schema::CreateHeartbeat(m_builder);
    }
    Offset<schema::Ack> write(const Ack &)
    {
        return schema::CreateAck(m_builder);
    }
    Offset<schema::Refused> write(const Refused &value)
    {
        return schema::CreateRefused(m_builder, text(value->detail));
    }
    Offset<schema::Header> write(const Header &value)
    {
        const auto name = text(value.name);
        return schema::CreateHeader(m_builder, name, text(value.value));
    }
    Offset<schema::Refusal> write(const core::Refusal &value)
    {
        return schema::CreateRefusal(m_builder,
                                     static_cast<schema::RefusalReason>(value.reason()),
                                     static_cast<schema::Outcome>(value.outcome()),
                                     text(value.detail()),
                                     value.retryAfter().has_value(),
                                     value.retryAfter().value_or(core::Duration{}).count());
    }
    Offset<schema::CallRequest> write(const CallRequest &value)
    {
        schema::Digest keyDigest;
        if (value->keyDigest) {
            keyDigest = digest(*value->keyDigest);
        }
        const auto bodyOffset = body(value->body);
        const auto headers = list<schema::Header>(value->headers);
        const auto service = text(value->service);
        const auto route = text(value->route);
        const auto method = text(value->method);
        const auto target = text(value->target);
        const auto workspace = text(value->workspace);
        const auto traceParent = text(value->traceParent);
        const auto claimName = text(value->claimName);
        const auto requestId = text(value->requestId);
        return schema::CreateCallRequest(m_builder,
                                         service,
                                         route,
                                         method,
                                         target,
                                         headers,
                                         bodyOffset,
                                         workspace,
                                         value->keyDigest ? &keyDigest : nullptr,
                                         value->priority,
                                         value->isNested,
                                         value->isIdempotent,
                                         value->remaining.count(),
                                         value->retryAllowance,
                                         traceParent,
                                         claimName,
                                         requestId,
                                         value->isSuspect,
                                         value->answerGrace.count(),
                                         value->rootRemaining.count());
    }
    Offset<schema::CallResponse> write(const CallResponse &value)
    {
        const auto bodyOffset = body(value->body);
        const auto headers = list<schema::Header>(value->headers);
        const auto refusal = value->refusal ? write(*value->refusal) : Offset<schema::Refusal>();
        return schema::CreateCallResponse(m_builder,
                                          value->status,
                                          headers,
                                          bodyOffset,
                                          refusal,
                                          value->retriesSpent,
                                          value->admittedLevel,
                                          value->inFlight,
                                          value->queueTime.count(),
                                          value->serviceTime.count(),
                                          static_cast<float>(value->pressure),
                                          value->hasEndpointCrashed,
                                          static_cast<float>(value->outstandingWork),
                                          static_cast<float>(value->pace));
    }
    Offset<schema::HomeRequest> write(const HomeRequest &value)
    {
        return schema::CreateHomeRequest(m_builder, write(value->call), value->age.count(), value->challenge);
    }
    Offset<schema::GrantRequest> write(const GrantRequest &value)
    {
        return schema::CreateGrantRequest(m_builder, text(value->workspace), value->tokens);
    }
    Offset<schema::GrantReply> write(const GrantReply &value)
    {
        return schema::CreateGrantReply(m_builder,
                                        static_cast<schema::GrantStatus>(value->status),
                                        value->tokens,
                                        value->lifetime.count(),
                                        value->availableIn.count());
    }
    Offset<schema::LoanRequest> write(const LoanRequest &value)
    {
        const auto workspace = text(value->workspace);
        return schema::CreateLoanRequest(m_builder, workspace, text(value->borrower), value->rate, value->capacity);
    }
    Offset<schema::LoanReply> write(const LoanReply &value)
    {
        return schema::CreateLoanReply(
            m_builder, value->isGranted, value->rate, value->capacity, value->tokens, value->duration.count());
    }
    Offset<schema::LoanRecord> write(const LoanRecord &value)
    {
        return schema::CreateLoanRecord(
            m_builder, text(value.dataCentre), value.isLent, value.rate, value.capacity, value.remaining.count());
    }
    Offset<schema::HandoverRequest> write(const HandoverRequest &value)
    {
        return schema::CreateHandoverRequest(m_builder, text(value->workspace));
    }
    Offset<schema::HandoverReply> write(const HandoverReply &value)
    {
        return schema::CreateHandoverReply(
            m_builder, value->wasOwner, value->tokens, list<schema::LoanRecord>(value->loans));
    }
    Offset<schema::ClaimRecord> write(const ClaimRecord &value)
    {
        const auto requestDigest = digest(value->requestDigest);
        const auto name = text(value->name);
        const auto home = text(value->home);
        const auto response = value->response ? write(*value->response) : Offset<schema::CallResponse>();
        return schema::CreateClaimRecord(m_builder,
                                         name,
                                         home,
                                         &requestDigest,
                                         static_cast<schema::ClaimState>(value->state),
                                         response,
                                         value->age.count(),
                                         value->boot,
                                         value->attempt);
    }
    Offset<schema::ClaimRequest> write(const ClaimRequest &value)
    {
        return schema::CreateClaimRequest(m_builder, write(value->record), value->isRelease, value->uptime.count());
    }
    Offset<schema::ClaimReply> write(const ClaimReply &value)
    {
        const auto existing = value->existing ? write(*value->existing) : Offset<schema::ClaimRecord>();
        return schema::CreateClaimReply(
            m_builder, value->isAccepted, existing, value->uptime.count(), value->challenge);
    }
    Offset<schema::ClaimHandover> write(const ClaimHandover &value)
    {
        return schema::CreateClaimHandover(m_builder, list<schema::ClaimRecord>(value->records));
    }
    Offset<schema::RecordPull> write(const RecordPull &value)
    {
        return schema::CreateRecordPull(m_builder, value->from, value->limit);
    }
    Offset<schema::LogEntry> write(const LogEntry &value)
    {
        return schema::CreateLogEntry(m_builder, value.offset, text(value.data));
    }
    Offset<schema::RecordBatch> write(const RecordBatch &value)
    {
        const auto snapshot = value->snapshot ? text(*value->snapshot) : Offset<flatbuffers::String>();
        return schema::CreateRecordBatch(m_builder,
                                         snapshot,
                                         value->next,
                                         list<schema::LogEntry>(value->records),
                                         value->proofAge.has_value(),
                                         value->proofAge.value_or(core::Duration::zero()).count());
    }
    Offset<schema::Tombstone> write(const Tombstone &value)
    {
        const auto keyDigest = digest(value->digest);
        const auto key = text(value->key);
        return schema::CreateTombstone(m_builder, key, &keyDigest, text(value->operationId));
    }
    Offset<schema::QuarantineNotice> write(const QuarantineNotice &value)
    {
        const auto requestDigest = digest(value->requestDigest);
        return schema::CreateQuarantineNotice(m_builder, &requestDigest, value->remaining.count());
    }
    Offset<schema::EndpointLeave> write(const EndpointLeave &value)
    {
        return schema::CreateEndpointLeave(m_builder, text(value.id), value.lastIncarnation);
    }
    Offset<schema::EndpointLeaveNotice> write(const EndpointLeaveNotice &value)
    {
        return schema::CreateEndpointLeaveNotice(m_builder, list<schema::EndpointLeave>(value->leaves));
    }
    Offset<schema::EndpointLeaveQuery> write(const EndpointLeaveQuery &)
    {
        return schema::CreateEndpointLeaveQuery(m_builder);
    }
    Offset<schema::EndpointLeaveReply> write(const EndpointLeaveReply &value)
    {
        return schema::CreateEndpointLeaveReply(
            m_builder, list<schema::EndpointLeave>(value->leaves), value->isRestored);
    }

    flatbuffers::FlatBufferBuilder m_builder;
    RequestKey m_key;
};

/** @brief Maps a payload value type to its schema::Payload enumerator. */
template<typename Value>
struct PayloadType;
#define BERYLSPRING_PAYLOAD(name) \
    template<> \
    struct PayloadType<name> \
    { \
        static constexpr auto Value = schema::Payload::name; \
    }
BERYLSPRING_PAYLOAD(Hello);
BERYLSPRING_PAYLOAD(HelloProof);
BERYLSPRING_PAYLOAD(CallCancel);
BERYLSPRING_PAYLOAD(Heartbeat);
BERYLSPRING_PAYLOAD(Ack);
BERYLSPRING_PAYLOAD(Refused);
BERYLSPRING_PAYLOAD(CallRequest);
BERYLSPRING_PAYLOAD(CallResponse);
BERYLSPRING_PAYLOAD(HomeRequest);
BERYLSPRING_PAYLOAD(GrantRequest);
BERYLSPRING_PAYLOAD(GrantReply);
BERYLSPRING_PAYLOAD(LoanRequest);
BERYLSPRING_PAYLOAD(LoanReply);
BERYLSPRING_PAYLOAD(HandoverRequest);
BERYLSPRING_PAYLOAD(HandoverReply);
BERYLSPRING_PAYLOAD(ClaimRequest);
BERYLSPRING_PAYLOAD(ClaimReply);
BERYLSPRING_PAYLOAD(ClaimHandover);
BERYLSPRING_PAYLOAD(RecordPull);
BERYLSPRING_PAYLOAD(RecordBatch);
BERYLSPRING_PAYLOAD(Tombstone);
BERYLSPRING_PAYLOAD(QuarantineNotice);
BERYLSPRING_PAYLOAD(EndpointLeaveNotice);
BERYLSPRING_PAYLOAD(EndpointLeaveQuery);
BERYLSPRING_PAYLOAD(EndpointLeaveReply);
#undef BERYLSPRING_PAYLOAD

/** Initial capacity for a message without body, so that most buffers never grow. */
constexpr std::size_t BaseBytes = 512;

std::size_t estimatedHeaderBytes(const Headers &headers)
{
    constexpr std::size_t OverheadPerHeader = 32; // Table, offsets and padding.
    std::size_t bytes = 0;
    for (const auto &header : headers) {
        bytes += header.name.size() + header.value.size() + OverheadPerHeader;
    }
    return bytes;
}

/** @brief Estimated size of the frame, so that the builder does not reallocate and copy the body. */
template<typename Value>
std::size_t estimatedBytes(const Value &value)
{
    if constexpr (std::is_same_v<Value, HomeRequest>) {
        return estimatedBytes(value->call);
    } else if constexpr (std::is_same_v<Value, CallRequest> || std::is_same_v<Value, CallResponse>) {
        return BaseBytes + estimatedHeaderBytes(value->headers) + value->body.size();
    } else {
        return BaseBytes;
    }
}

template<typename Value>
Result<EncodedFrame> encodeValue(const RequestKey &key, const Value &value, std::size_t maxFrameBytes)
{
    const auto estimate = estimatedBytes(value);
    if (estimate > maxFrameBytes + BaseBytes + maxFrameBytes / 2) {
        return tl::unexpected(Error(ErrorCode::TooLarge, false, "message is larger than a frame"));
    }
    EnvelopeWriter writer(key, estimate);
    writer.writePayload(PayloadType<Value>::Value, value);
    if (writer.size() > maxFrameBytes) {
        return tl::unexpected(Error(ErrorCode::TooLarge, false, "message is larger than a frame"));
    }
    return writer.release();
}

}

Result<EncodedFrame> encode(const RequestKey &key, const Message &message, std::size_t maxFrameBytes)
{
    return std::visit([&](const auto &value) { return encodeValue(key, value, maxFrameBytes); }, message);
}

Result<EncodedFrame> encode(const Envelope &envelope, std::size_t maxFrameBytes)
{
    return std::visit(
        [&](const auto &payload) -> Result<EncodedFrame> {
            if constexpr (std::is_same_v<std::decay_t<decltype(payload)>, Message>) {
                return encode(envelope.key, payload, maxFrameBytes);
            } else {
                return encodeValue(envelope.key, payload, maxFrameBytes);
            }
        },
        envelope.payload);
}

}
