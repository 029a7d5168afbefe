#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/refusal.h"
#include "berylspring/core/shared_immutable.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylspring::wire {

/** @brief One HTTP header field. */
struct Header
{
    std::string name;
    std::string value;
    [[nodiscard]] bool operator==(const Header &) const = default;
};
using Headers = std::vector<Header>;

/** @brief A request forwarded by the entry node, or by the home of its claim, to the endpoint's node. */
struct CallRequestFields
{
    core::ServiceId service;
    core::RouteId route;
    std::string method;
    std::string target; ///< Path and query exactly as received from the caller.
    Headers headers; ///< Without Authorization and Berylspring-* fields.
    std::string body;
    core::WorkspaceId workspace; ///< Empty for a request without a key on an open route.
    std::optional<core::Digest> keyDigest; ///< Lets a downstream node refuse a key that was withdrawn meanwhile.
    core::PriorityLevel priority = 0;
    bool isNested = false; ///< Sent by an endpoint while it processes another request.
    bool isIdempotent = true;
    core::Duration remaining{}; ///< Time until the caller's deadline, as of the encoding of the message.
    std::uint32_t retryAllowance = 0; ///< Retries that this request and its nested calls may still make.
    std::string traceParent; ///< W3C traceparent of the sending span.
    std::string claimName; ///< Idempotency name of a non-idempotent request; empty otherwise.
    std::string requestId; ///< Correlates log lines of one attempt of the caller; may be empty.
    bool isSuspect = false; ///< Ran while an endpoint crashed, so it must run alone.
    /** Time after `remaining` for which the endpoint's own answer, which may be that its time is over, is awaited. */
    core::Duration answerGrace{};
    /** Of a nested call: time until the deadline of its root request, if that orders waiting calls; 0: not known. */
    core::Duration rootRemaining{};
    [[nodiscard]] bool operator==(const CallRequestFields &) const = default;
};
using CallRequest = core::SharedImmutable<CallRequestFields>;

/** @brief Response of the endpoint or a refusal, with load feedback for the sender. */
struct CallResponseFields
{
    std::uint16_t status = 0; ///< HTTP status of the endpoint; 0 for a refusal.
    Headers headers;
    std::string body;
    std::optional<core::Refusal> refusal;
    std::uint32_t retriesSpent = 0; ///< Retries made by this request and its nested calls.
    core::PriorityLevel admittedLevel = 0; ///< Lowest priority level that the answering node currently admits.
    std::uint32_t inFlight = 0; ///< Requests in flight on the endpoint at the time of the answer.
    /**
     * Highest queue pressure among the services that the endpoint calls; for a nested call, its own service counts
     * too. 1 means that requests wait for the target time.
     */
    double pressure = 0;
    bool hasEndpointCrashed = false; ///< The endpoint ended while it ran the request.
    core::Duration queueTime{};
    core::Duration serviceTime{};
    double outstandingWork = 0; ///< Expected time of all work that runs or waits at the endpoint, in seconds.
    /** How long work takes on the endpoint at present, as it reports: 1 as usual, 2 twice as long; 0: no report. */
    double pace = 0;
    [[nodiscard]] bool operator==(const CallResponseFields &) const = default;
};
using CallResponse = core::SharedImmutable<CallResponseFields>;

/**
 * @brief Forwards a non-idempotent request to the home of its name.
 *
 * The answer is a CallResponse, a ClaimReply with a challenge, or Refused if the receiver is not the home.
 */
struct HomeRequestFields
{
    CallRequest call;
    core::Duration age{}; ///< Time since the entry node received the request, as of the encoding of the message.
    std::uint64_t challenge = 0; ///< From the ClaimReply that asked for a resend; 0 otherwise.
    [[nodiscard]] bool operator==(const HomeRequestFields &) const = default;
};
using HomeRequest = core::Immutable<HomeRequestFields>;

/** @brief Requests tokens from the owner of a workspace's token bucket. */
struct GrantRequestFields
{
    core::WorkspaceId workspace;
    std::uint32_t tokens = 1;
    [[nodiscard]] bool operator==(const GrantRequestFields &) const = default;
};
using GrantRequest = core::Immutable<GrantRequestFields>;

enum class GrantStatus : std::uint8_t {
    Granted,
    Later, ///< Tokens become available after availableIn.
    NotOwner, ///< The receiver is not the owner, or has not taken over yet.
};

struct GrantReplyFields
{
    GrantStatus status = GrantStatus::NotOwner;
    std::uint32_t tokens = 0;
    core::Duration lifetime{}; ///< Validity of the tokens, counted from the sending of the request.
    core::Duration availableIn{};
    [[nodiscard]] bool operator==(const GrantReplyFields &) const = default;
};
using GrantReply = core::Immutable<GrantReplyFields>;

/** @brief Asks the bucket owner in another data centre to lend a part of its rate and burst. */
struct LoanRequestFields
{
    core::WorkspaceId workspace;
    core::DataCentreId borrower;
    double rate = 0; ///< Tokens per second.
    double capacity = 0; ///< Tokens.
    [[nodiscard]] bool operator==(const LoanRequestFields &) const = default;
};
using LoanRequest = core::Immutable<LoanRequestFields>;

struct LoanReplyFields
{
    bool isGranted = false;
    double rate = 0; ///< Tokens per second.
    double capacity = 0; ///< Tokens.
    double tokens = 0; ///< At most capacity.
    core::Duration duration{}; ///< Term of the loan, counted from the sending of the request.
    [[nodiscard]] bool operator==(const LoanReplyFields &) const = default;
};
using LoanReply = core::Immutable<LoanReplyFields>;

/** @brief An active loan, as transferred between successive owners of a bucket. */
struct LoanRecord
{
    core::DataCentreId dataCentre; ///< Data centre of the other party.
    bool isLent = false; ///< True at the lender, false at the borrower.
    double rate = 0;
    double capacity = 0;
    core::Duration remaining{};
    [[nodiscard]] bool operator==(const LoanRecord &) const = default;
};

/** @brief Asks the previous owner of a workspace's bucket to stop granting tokens and to transfer its state. */
struct HandoverRequestFields
{
    core::WorkspaceId workspace;
    [[nodiscard]] bool operator==(const HandoverRequestFields &) const = default;
};
using HandoverRequest = core::Immutable<HandoverRequestFields>;

struct HandoverReplyFields
{
    bool wasOwner = false; ///< False if the receiver held no bucket, and so has no outstanding grants to wait for.
    double tokens = 0;
    std::vector<LoanRecord> loans;
    [[nodiscard]] bool operator==(const HandoverReplyFields &) const = default;
};
using HandoverReply = core::Immutable<HandoverReplyFields>;

enum class ClaimState : std::uint8_t {
    Claimed, ///< Not dispatched, to the knowledge of the writer.
    Dispatched, ///< The request may have reached an endpoint in part or whole.
    Answered, ///< The response is stored.
    Unknown, ///< The request may have run, but its answer is lost.
    Released, ///< No request with the name has run so far, and a caller was told so.
};

/** @brief State of one idempotency name. */
struct ClaimRecordFields
{
    std::string name;
    core::HostId home; ///< The node that executes the request.
    std::uint64_t boot = 0; ///< Random id of the home's process.
    std::uint64_t attempt = 0; ///< Increases with each claim of one process; keeps delayed messages off later claims.
    core::Digest requestDigest; ///< Digest of method, target, body and workspace.
    ClaimState state = ClaimState::Claimed;
    std::optional<CallResponse> response; ///< Present in state Answered.
    core::Duration age{};
    [[nodiscard]] bool operator==(const ClaimRecordFields &) const = default;
};
using ClaimRecord = core::Immutable<ClaimRecordFields>;

/** @brief Replicates a claim or its new state to the standby. */
struct ClaimRequestFields
{
    ClaimRecord record;
    bool isRelease = false; ///< The request did not run: drop the claim, or keep the record if its state is Released.
    core::Duration uptime{}; ///< How long the sending process has been recording claims.
    [[nodiscard]] bool operator==(const ClaimRequestFields &) const = default;
};
using ClaimRequest = core::Immutable<ClaimRequestFields>;

struct ClaimReplyFields
{
    bool isAccepted = false;
    std::optional<ClaimRecord> existing; ///< The conflicting record, or the Released record that was replaced.
    core::Duration uptime{}; ///< How long the answering process has been recording claims.
    std::uint64_t challenge = 0; ///< In reply to a HomeRequest: resend it at once with this number and an updated age.
    [[nodiscard]] bool operator==(const ClaimReplyFields &) const = default;
};
using ClaimReply = core::Immutable<ClaimReplyFields>;

/** @brief Transfers the claims of a node that shuts down to their next home. */
struct ClaimHandoverFields
{
    std::vector<ClaimRecord> records;
    [[nodiscard]] bool operator==(const ClaimHandoverFields &) const = default;
};
using ClaimHandover = core::Immutable<ClaimHandoverFields>;

/** @brief Requests configuration records, starting at an offset. */
struct RecordPullFields
{
    core::Offset from = 0;
    std::uint32_t limit = 0;
    [[nodiscard]] bool operator==(const RecordPullFields &) const = default;
};
using RecordPull = core::Immutable<RecordPullFields>;

struct LogEntry
{
    core::Offset offset = 0;
    std::string data;
    [[nodiscard]] bool operator==(const LogEntry &) const = default;
};

struct RecordBatchFields
{
    std::optional<std::string> snapshot; ///< Catalogue as JSON, if the requested records are no longer available.
    core::Offset next = 0; ///< First offset that is covered by neither snapshot nor records.
    std::vector<LogEntry> records;
    /** Time since the sender was last known to be in sync with the log, as of the encoding of the message. */
    std::optional<core::Duration> proofAge;
    [[nodiscard]] bool operator==(const RecordBatchFields &) const = default;
};
using RecordBatch = core::Immutable<RecordBatchFields>;

/** @brief Announces the permanent withdrawal of a key. */
struct TombstoneFields
{
    core::KeyId key;
    core::Digest digest; ///< Digest of the key.
    std::string operationId;
    [[nodiscard]] bool operator==(const TombstoneFields &) const = default;
};
using Tombstone = core::Immutable<TombstoneFields>;

/** @brief Announces a request that crashed endpoints and must not run again. */
struct QuarantineNoticeFields
{
    core::Digest requestDigest;
    core::Duration remaining{}; ///< Remaining time of the quarantine. 0: the request ran during a crash and is only
                                ///< suspected; it runs alone next time.
    [[nodiscard]] bool operator==(const QuarantineNoticeFields &) const = default;
};
using QuarantineNotice = core::Immutable<QuarantineNoticeFields>;

/** @brief Notice of an endpoint that it shuts down. */
struct EndpointLeave
{
    std::string id; ///< Empty: the endpoint of the host, regardless of its id.
    /** Incarnations of the id up to this one, and the one that is registered, are never used again. */
    std::uint64_t lastIncarnation = 0;
    [[nodiscard]] bool operator==(const EndpointLeave &) const = default;
};

/** @brief Leaves that the sender has acknowledged, for the receiver to keep. */
struct EndpointLeaveNoticeFields
{
    std::vector<EndpointLeave> leaves;
    [[nodiscard]] bool operator==(const EndpointLeaveNoticeFields &) const = default;
};
using EndpointLeaveNotice = core::Immutable<EndpointLeaveNoticeFields>;

/** @brief Asks for the leaves that the receiver keeps for the sender. */
struct EndpointLeaveQueryFields
{
    [[nodiscard]] bool operator==(const EndpointLeaveQueryFields &) const = default;
};
using EndpointLeaveQuery = core::Immutable<EndpointLeaveQueryFields>;

struct EndpointLeaveReplyFields
{
    std::vector<EndpointLeave> leaves;
    bool isRestored = false; ///< Otherwise the replying process has just started and may lack some.
    [[nodiscard]] bool operator==(const EndpointLeaveReplyFields &) const = default;
};
using EndpointLeaveReply = core::Immutable<EndpointLeaveReplyFields>;

struct AckFields
{
    [[nodiscard]] bool operator==(const AckFields &) const = default;
};
using Ack = core::Immutable<AckFields>;

/** @brief Negative answer: the receiver has no handler for the message, or the handler failed. */
struct RefusedFields
{
    std::string detail;
    [[nodiscard]] bool operator==(const RefusedFields &) const = default;
};
using Refused = core::Immutable<RefusedFields>;

/** @brief Any request or answer on a peer connection. */
using Message = std::variant<Ack,
                             Refused,
                             CallRequest,
                             CallResponse,
                             HomeRequest,
                             GrantRequest,
                             GrantReply,
                             LoanRequest,
                             LoanReply,
                             HandoverRequest,
                             HandoverReply,
                             ClaimRequest,
                             ClaimReply,
                             ClaimHandover,
                             RecordPull,
                             RecordBatch,
                             Tombstone,
                             QuarantineNotice,
                             EndpointLeaveNotice,
                             EndpointLeaveQuery,
                             EndpointLeaveReply>;

}
