#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/refusal.h"
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

/** @brief A request on its way from the entry, or from the home of its claim, to the endpoint's node. */
struct CallRequestFields
{
    core::ServiceId service;
    core::RouteId route;
    std::string method;
    std::string target; ///< Path and query as the caller sent them.
    Headers headers; ///< Without Authorization and without Berylspring-* fields.
    std::string body;
    core::WorkspaceId workspace; ///< Empty on an open route without a key.
    std::optional<core::Digest> keyDigest; ///< Lets a later node refuse work of a key withdrawn meanwhile.
    core::PriorityLevel priority = 0;
    bool isNested = false; ///< Sent by an endpoint on behalf of a request in flight.
    bool isIdempotent = true;
    core::Duration remaining{}; ///< Time that the caller still waits, as seen when the message was made.
    std::uint32_t retryAllowance = 0;
    std::string traceParent; ///< W3C traceparent of the sending span.
    std::string claimName; ///< Name of a non-idempotent request, else empty.
    std::string requestId; ///< Identifies the caller's attempt in logs; may be empty.
    [[nodiscard]] bool operator==(const CallRequestFields &) const = default;
};
using CallRequest = core::Immutable<CallRequestFields>;

/** @brief The endpoint's answer, or the refusal in its place, with feedback for the sender. */
struct CallResponseFields
{
    std::uint16_t status = 0; ///< HTTP status of the endpoint; 0 with a refusal.
    Headers headers;
    std::string body;
    std::optional<core::Refusal> refusal;
    std::uint32_t retriesSpent = 0; ///< By this request and its nested calls.
    core::PriorityLevel admittedLevel = 0; ///< Lowest level that the answering node now admits.
    std::uint32_t inFlight = 0; ///< Requests running on the endpoint when it answered.
    /** Highest on the services that the endpoint calls, for a nested call on its own, too; 1: the target wait. */
    double pressure = 0;
    core::Duration queueTime{};
    core::Duration serviceTime{};
    [[nodiscard]] bool operator==(const CallResponseFields &) const = default;
};
using CallResponse = core::Immutable<CallResponseFields>;

/**
 * @brief A non-idempotent request for the home of its name.
 *
 * Answered by a CallResponse, by a ClaimReply with a challenge, or by Refused if the receiver is not the home.
 */
struct HomeRequestFields
{
    CallRequest call;
    core::Duration age{}; ///< Time since the entry took the request from its caller, as seen when the message was made.
    std::uint64_t challenge = 0; ///< Of the ClaimReply that asked to send the request again, else 0.
    [[nodiscard]] bool operator==(const HomeRequestFields &) const = default;
};
using HomeRequest = core::Immutable<HomeRequestFields>;

/** @brief Asks the owner of a workspace's bucket for tokens. */
struct GrantRequestFields
{
    core::WorkspaceId workspace;
    std::uint32_t tokens = 1;
    [[nodiscard]] bool operator==(const GrantRequestFields &) const = default;
};
using GrantRequest = core::Immutable<GrantRequestFields>;

enum class GrantStatus : std::uint8_t {
    Granted,
    Later, ///< Tokens are there in availableIn.
    NotOwner, ///< The receiver is not, or not yet, the owner.
};

struct GrantReplyFields
{
    GrantStatus status = GrantStatus::NotOwner;
    std::uint32_t tokens = 0;
    core::Duration lifetime{}; ///< From the sending of the request.
    core::Duration availableIn{};
    [[nodiscard]] bool operator==(const GrantReplyFields &) const = default;
};
using GrantReply = core::Immutable<GrantReplyFields>;

/** @brief Asks the owner in another data centre for a part of its rate and burst. */
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
    core::Duration duration{}; ///< From the sending of the request.
    [[nodiscard]] bool operator==(const LoanReplyFields &) const = default;
};
using LoanReply = core::Immutable<LoanReplyFields>;

/** @brief A running loan, as handed from one owner of a bucket to the next. */
struct LoanRecord
{
    core::DataCentreId dataCentre; ///< The other side.
    bool isLent = false; ///< True at the lender, false at the borrower.
    double rate = 0;
    double capacity = 0;
    core::Duration remaining{};
    [[nodiscard]] bool operator==(const LoanRecord &) const = default;
};

/** @brief Asks the previous owner of a workspace's bucket to stop granting and hand it over. */
struct HandoverRequestFields
{
    core::WorkspaceId workspace;
    [[nodiscard]] bool operator==(const HandoverRequestFields &) const = default;
};
using HandoverRequest = core::Immutable<HandoverRequestFields>;

struct HandoverReplyFields
{
    bool wasOwner = false; ///< False: the receiver held no bucket, so there is nothing to wait for from it.
    double tokens = 0;
    std::vector<LoanRecord> loans;
    [[nodiscard]] bool operator==(const HandoverReplyFields &) const = default;
};
using HandoverReply = core::Immutable<HandoverReplyFields>;

enum class ClaimState : std::uint8_t {
    Claimed, ///< Nothing was dispatched as far as the writer knows.
    Dispatched, ///< Bytes may have reached an endpoint.
    Answered, ///< The response is stored.
    Unknown, ///< It may have run; no answer will come.
    Released, ///< No send of the name has run up to now, and a caller was told so.
};

/** @brief What is known about one name of a non-idempotent request. */
struct ClaimRecordFields
{
    std::string name;
    core::HostId home; ///< The node that runs it.
    std::uint64_t boot = 0; ///< Random number of the home's process.
    std::uint64_t attempt = 0; ///< Grows with each claim of one process, so that an old message changes no later claim.
    core::Digest requestDigest; ///< Of method, target, body and workspace.
    ClaimState state = ClaimState::Claimed;
    std::optional<CallResponse> response; ///< With state Answered.
    core::Duration age{};
    [[nodiscard]] bool operator==(const ClaimRecordFields &) const = default;
};
using ClaimRecord = core::Immutable<ClaimRecordFields>;

/** @brief Writes a claim, or its new state, to the standby. */
struct ClaimRequestFields
{
    ClaimRecord record;
    bool isRelease = false; ///< Nothing was run: forget the claim, and with state Released keep that as a record.
    core::Duration memory{}; ///< How long the sending process has kept claims.
    [[nodiscard]] bool operator==(const ClaimRequestFields &) const = default;
};
using ClaimRequest = core::Immutable<ClaimRequestFields>;

struct ClaimReplyFields
{
    bool isAccepted = false;
    std::optional<ClaimRecord> existing; ///< The record that stands in the way, or the release that was replaced.
    core::Duration memory{}; ///< How long the answering process has kept claims.
    std::uint64_t challenge = 0; ///< To a HomeRequest: send it again at once with this number and its age as of then.
    [[nodiscard]] bool operator==(const ClaimReplyFields &) const = default;
};
using ClaimReply = core::Immutable<ClaimReplyFields>;

/** @brief Claims of a node that stops, for their next home. */
struct ClaimHandoverFields
{
    std::vector<ClaimRecord> records;
    [[nodiscard]] bool operator==(const ClaimHandoverFields &) const = default;
};
using ClaimHandover = core::Immutable<ClaimHandoverFields>;

/** @brief Asks for configuration records at and after an offset. */
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
    std::optional<std::string> snapshot; ///< Catalogue as JSON when the records asked for are gone.
    core::Offset next = 0; ///< First offset that neither snapshot nor records contain.
    std::vector<LogEntry> records;
    /** Time since the sender's records were known to be all that the log had, when the message was made. */
    std::optional<core::Duration> proofAge;
    [[nodiscard]] bool operator==(const RecordBatchFields &) const = default;
};
using RecordBatch = core::Immutable<RecordBatchFields>;

/** @brief A key is withdrawn for good. */
struct TombstoneFields
{
    core::KeyId key;
    core::Digest digest; ///< Of the key.
    std::string operationId;
    [[nodiscard]] bool operator==(const TombstoneFields &) const = default;
};
using Tombstone = core::Immutable<TombstoneFields>;

/** @brief A request that crashed endpoints and must not run. */
struct QuarantineNoticeFields
{
    core::Digest requestDigest;
    core::Duration remaining{}; ///< 0: it ran during a crash and is only suspected, so it runs alone next time.
    [[nodiscard]] bool operator==(const QuarantineNoticeFields &) const = default;
};
using QuarantineNotice = core::Immutable<QuarantineNoticeFields>;

struct AckFields
{
    [[nodiscard]] bool operator==(const AckFields &) const = default;
};
using Ack = core::Immutable<AckFields>;

/** @brief The receiver has no handler for the message, or its handler failed. */
struct RefusedFields
{
    std::string detail;
    [[nodiscard]] bool operator==(const RefusedFields &) const = default;
};
using Refused = core::Immutable<RefusedFields>;

/** @brief Everything that travels as request or answer on a peer connection. */
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
                             QuarantineNotice>;

}
