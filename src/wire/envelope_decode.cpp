#include "wire/body_check.h"
#include "wire/envelope_codec.h"
#include "wire/schema_reader.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylspring::wire::detail {

namespace {

static_assert(static_cast<int>(schema::RefusalReason::MAX) == static_cast<int>(core::RefusalReason::Cancelled));
static_assert(static_cast<int>(schema::Outcome::MAX) == static_cast<int>(core::Outcome::Unknown));
static_assert(static_cast<int>(schema::GrantStatus::MAX) == static_cast<int>(GrantStatus::NotOwner));
static_assert(static_cast<int>(schema::ClaimState::MAX) == static_cast<int>(ClaimState::Released));

// Above the deepest nesting: Envelope > ClaimHandover > ClaimRecord > CallResponse > Header.
constexpr flatbuffers::uoffset_t MaxDepth = 16;
// A table in a list takes more than 16 bytes, so that a frame of 4 MiB cannot hold more tables than this.
constexpr flatbuffers::uoffset_t MaxTables = 262'144;

/** @brief Converts the tables of one verified envelope. */
class EnvelopeReader : public SchemaReader
{
public:
    EnvelopeReader(std::uint64_t requestNumber, std::size_t byteBudget)
        : SchemaReader(byteBudget)
        , m_requestNumber(requestNumber)
    {
    }

    [[nodiscard]] Payload payload(const schema::Envelope &envelope)
    {
        switch (envelope.payload_type()) {
        case schema::Payload::Hello:
            return read(*envelope.payload_as_Hello());
        case schema::Payload::HelloProof:
            return HelloProof(HelloProofFields{digest(envelope.payload_as_HelloProof()->proof())});
        case schema::Payload::CallCancel:
            return CallCancel{};
        case schema::Payload::Heartbeat:
            return Heartbeat{};
        default:
            return message(envelope);
        }
    }

private:
    [[nodiscard]] Message message(const schema::Envelope &envelope)
    {
        switch (envelope.payload_type()) {
        case schema::Payload::Ack:
            return Ack{};
        case schema::Payload::Refused:
            return Refused(RefusedFields{text(envelope.payload_as_Refused()->detail())});
        case schema::Payload::CallRequest:
            return read(*envelope.payload_as_CallRequest());
        case schema::Payload::CallResponse:
            return read(*envelope.payload_as_CallResponse());
        case schema::Payload::HomeRequest:
            return read(*envelope.payload_as_HomeRequest());
        case schema::Payload::GrantRequest:
            return read(*envelope.payload_as_GrantRequest());
        case schema::Payload::GrantReply:
            return read(*envelope.payload_as_GrantReply());
        case schema::Payload::LoanRequest:
            return read(*envelope.payload_as_LoanRequest());
        case schema::Payload::LoanReply:
            return read(*envelope.payload_as_LoanReply());
        case schema::Payload::HandoverRequest:
            return read(*envelope.payload_as_HandoverRequest());
        case schema::Payload::HandoverReply:
            return read(*envelope.payload_as_HandoverReply());
        default:
            return claimOrRecordMessage(envelope);
        }
    }

    [[nodiscard]] Message claimOrRecordMessage(const schema::Envelope &envelope)
    {
        switch (envelope.payload_type()) {
        case schema::Payload::ClaimRequest:
            return read(*envelope.payload_as_ClaimRequest());
        case schema::Payload::ClaimReply:
            return read(*envelope.payload_as_ClaimReply());
        case schema::Payload::ClaimHandover:
            return read(*envelope.payload_as_ClaimHandover());
        case schema::Payload::RecordPull:
            return read(*envelope.payload_as_RecordPull());
        case schema::Payload::RecordBatch:
            return read(*envelope.payload_as_RecordBatch());
        case schema::Payload::Tombstone:
            return read(*envelope.payload_as_Tombstone());
        case schema::Payload::QuarantineNotice:
            return read(*envelope.payload_as_QuarantineNotice());
        case schema::Payload::EndpointLeaveNotice:
            return read(*envelope.payload_as_EndpointLeaveNotice());
        case schema::Payload::EndpointLeaveQuery:
            return EndpointLeaveQuery();
        case schema::Payload::EndpointLeaveReply:
            return read(*envelope.payload_as_EndpointLeaveReply());
        default:
            fail("unknown message");
            return Ack{};
        }
    }

    [[nodiscard]] std::string body(const schema::Body *value)
    {
        const auto *bytes = value->bytes();
        if (value->length() != bytes->size() || value->end_mark() != BodyEndMark) {
            fail("body is incomplete");
        } else if (value->hash() != bodyHash(bytes->data(), bytes->size(), m_requestNumber)) {
            fail("body does not match its hash");
        }
        if (!consumeBudget(bytes->size())) {
            return {};
        }
        return {reinterpret_cast<const char *>(bytes->data()), bytes->size()};
    }

    [[nodiscard]] Headers headers(const flatbuffers::Vector<flatbuffers::Offset<schema::Header>> *values)
    {
        return list<Header>(values, [this](const schema::Header &value) {
            return Header{text(value.name()), text(value.value())};
        });
    }

    [[nodiscard]] Hello read(const schema::Hello &value)
    {
        HelloFields fields{value.protocol(), name<core::HostId>(value.host()), value.boot_id(), {}};
        if (!core::isValidName(fields.host.value())) {
            fail("host is not a valid name");
        }
        std::copy_n(value.nonce()->bytes()->Data(), fields.nonce.size(), fields.nonce.begin());
        fields.dataCentre = value.data_centre() == nullptr ? std::string() : text(value.data_centre());
        fields.dictionary = value.dictionary();
        return Hello(std::move(fields));
    }

    [[nodiscard]] core::Refusal read(const schema::Refusal &value)
    {
        const core::Refusal refusal(enumerator<core::RefusalReason>(value.reason()),
                                    enumerator<core::Outcome>(value.outcome()),
                                    text(value.detail()));
        return value.has_retry_after() ? refusal.withRetryAfter(duration(value.retry_after_ns())) : refusal;
    }

    [[nodiscard]] CallRequest read(const schema::CallRequest &value)
    {
        CallRequestFields fields;
        fields.service = name<core::ServiceId>(value.service());
        fields.route = name<core::RouteId>(value.route());
        fields.method = text(value.method());
        fields.target = text(value.target());
        fields.headers = headers(value.headers());
        fields.body = body(value.body());
        fields.workspace = name<core::WorkspaceId>(value.workspace());
        if (value.key_digest() != nullptr) {
            fields.keyDigest = digest(value.key_digest());
        }
        fields.priority = priority(value.priority());
        fields.isNested = value.is_nested();
        fields.isIdempotent = value.is_idempotent();
        fields.remaining = duration(value.remaining_ns());
        fields.retryAllowance = value.retry_allowance();
        fields.traceParent = text(value.trace_parent());
        fields.claimName = text(value.claim_name());
        fields.requestId = text(value.request_id());
        fields.isSuspect = value.is_suspect();
        fields.answerGrace = duration(value.answer_grace_ns());
        fields.rootRemaining = duration(value.root_remaining_ns());
        return CallRequest(std::move(fields));
    }

    [[nodiscard]] CallResponse read(const schema::CallResponse &value)
    {
        CallResponseFields fields;
        fields.status = value.status();
        fields.headers = headers(value.headers());
        fields.body = body(value.body());
        if (value.refusal() != nullptr) {
            fields.refusal = read(*value.refusal());
        }
        fields.retriesSpent = value.retries_spent();
        fields.admittedLevel = admittedLevel(value.admitted_level());
        fields.inFlight = value.in_flight();
        fields.pressure = static_cast<double>(value.pressure());
        fields.hasEndpointCrashed = value.has_endpoint_crashed();
        fields.queueTime = duration(value.queue_time_ns());
        fields.serviceTime = duration(value.service_time_ns());
        fields.outstandingWork = nonNegative(value.outstanding_work());
        fields.pace = nonNegative(value.pace());
        return CallResponse(std::move(fields));
    }

    [[nodiscard]] GrantRequest read(const schema::GrantRequest &value)
    {
        return GrantRequest(GrantRequestFields{name<core::WorkspaceId>(value.workspace()), value.tokens()});
    }

    [[nodiscard]] GrantReply read(const schema::GrantReply &value)
    {
        return GrantReply(GrantReplyFields{enumerator<GrantStatus>(value.status()),
                                           value.tokens(),
                                           duration(value.lifetime_ns()),
                                           duration(value.available_in_ns())});
    }

    [[nodiscard]] LoanRequest read(const schema::LoanRequest &value)
    {
        return LoanRequest(LoanRequestFields{name<core::WorkspaceId>(value.workspace()),
                                             name<core::DataCentreId>(value.borrower()),
                                             number(value.rate()),
                                             number(value.capacity())});
    }

    [[nodiscard]] LoanReply read(const schema::LoanReply &value)
    {
        return LoanReply(LoanReplyFields{value.is_granted(),
                                         number(value.rate()),
                                         number(value.capacity()),
                                         number(value.tokens()),
                                         duration(value.duration_ns())});
    }

    [[nodiscard]] LoanRecord read(const schema::LoanRecord &value)
    {
        return LoanRecord{name<core::DataCentreId>(value.data_centre()),
                          value.is_lent(),
                          number(value.rate()),
                          number(value.capacity()),
                          duration(value.remaining_ns())};
    }

    [[nodiscard]] HandoverRequest read(const schema::HandoverRequest &value)
    {
        return HandoverRequest(HandoverRequestFields{name<core::WorkspaceId>(value.workspace())});
    }

    [[nodiscard]] HandoverReply read(const schema::HandoverReply &value)
    {
        auto loans = list<LoanRecord>(value.loans(), [this](const schema::LoanRecord &loan) { return read(loan); });
        return HandoverReply(HandoverReplyFields{value.was_owner(), number(value.tokens()), std::move(loans)});
    }

    [[nodiscard]] HomeRequest read(const schema::HomeRequest &value)
    {
        return HomeRequest(HomeRequestFields{read(*value.call()), duration(value.age_ns()), value.challenge()});
    }

    [[nodiscard]] ClaimRecord read(const schema::ClaimRecord &value)
    {
        ClaimRecordFields fields;
        fields.name = text(value.name());
        fields.home = name<core::HostId>(value.home());
        fields.requestDigest = digest(value.request_digest());
        fields.state = enumerator<ClaimState>(value.state());
        if (value.response() != nullptr) {
            fields.response = read(*value.response());
        }
        fields.age = duration(value.age_ns());
        fields.boot = value.boot();
        fields.attempt = value.attempt();
        return ClaimRecord(std::move(fields));
    }

    [[nodiscard]] ClaimRequest read(const schema::ClaimRequest &value)
    {
        return ClaimRequest(ClaimRequestFields{read(*value.record()), value.is_release(), duration(value.memory_ns())});
    }

    [[nodiscard]] ClaimReply read(const schema::ClaimReply &value)
    {
        ClaimReplyFields fields;
        fields.isAccepted = value.is_accepted();
        if (value.existing() != nullptr) {
            fields.existing = read(*value.existing());
        }
        fields.uptime = duration(value.memory_ns());
        fields.challenge = value.challenge();
        return ClaimReply(std::move(fields));
    }

    [[nodiscard]] ClaimHandover read(const schema::ClaimHandover &value)
    {
        return ClaimHandover(ClaimHandoverFields{
            list<ClaimRecord>(value.records(), [this](const schema::ClaimRecord &record) { return read(record); })});
    }

    [[nodiscard]] RecordPull read(const schema::RecordPull &value)
    {
        return RecordPull(RecordPullFields{value.from(), value.limit()});
    }

    [[nodiscard]] RecordBatch read(const schema::RecordBatch &value)
    {
        RecordBatchFields fields;
        if (value.snapshot() != nullptr) {
            fields.snapshot = text(value.snapshot());
        }
        fields.next = value.next();
        fields.records = list<LogEntry>(value.records(), [this](const schema::LogEntry &entry) {
            return LogEntry{entry.offset(), text(entry.data())};
        });
        if (value.has_proof()) {
            fields.proofAge = duration(value.proof_age_ns());
        }
        return RecordBatch(std::move(fields));
    }

    [[nodiscard]] Tombstone read(const schema::Tombstone &value)
    {
        return Tombstone(
            TombstoneFields{name<core::KeyId>(value.key()), digest(value.digest()), text(value.operation_id())});
    }

    [[nodiscard]] QuarantineNotice read(const schema::QuarantineNotice &value)
    {
        return QuarantineNotice(QuarantineNoticeFields{digest(value.request_digest()), duration(value.remaining_ns())});
    }

    [[nodiscard]] EndpointLeaveNotice read(const schema::EndpointLeaveNotice &value)
    {
        return EndpointLeaveNotice(EndpointLeaveNoticeFields{leaves(value.leaves())});
    }

    [[nodiscard]] EndpointLeaveReply read(const schema::EndpointLeaveReply &value)
    {
        return EndpointLeaveReply(EndpointLeaveReplyFields{leaves(value.leaves()), value.is_restored()});
    }

    [[nodiscard]] std::vector<EndpointLeave>
    leaves(const flatbuffers::Vector<flatbuffers::Offset<schema::EndpointLeave>> *values)
    {
        return list<EndpointLeave>(values, [this](const schema::EndpointLeave &leave) {
            return EndpointLeave{text(leave.id()), leave.last_incarnation()};
        });
    }

    std::uint64_t m_requestNumber;
};

}

Result<Envelope> decode(std::span<const std::uint8_t> frame)
{
    std::vector<std::uint64_t> storage;
    const auto bytes = alignedBytes(frame, storage);
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), MaxDepth, MaxTables);
    if (bytes.empty() || !schema::VerifySizePrefixedEnvelopeBuffer(verifier)) {
        return tl::unexpected(Error(ErrorCode::Malformed, false, "frame is not a valid envelope"));
    }
    const auto *root = schema::GetSizePrefixedEnvelope(bytes.data());
    EnvelopeReader reader(root->number(), bytes.size());
    Envelope envelope{RequestKey{root->epoch(), root->number()}, reader.payload(*root)};
    if (!reader.isValid()) {
        return tl::unexpected(Error(ErrorCode::Malformed, false, std::string(reader.fault())));
    }
    return envelope;
}

}
