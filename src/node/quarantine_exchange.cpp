#include "node/quarantine_exchange.h"

#include "berylspring/telemetry/log.h"
#include "node/background.h"
#include "node/log_reader.h"
#include "node/milliseconds.h"
#include "node/quarantine_record.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

// g++ 12 reports the allocation of Asio's coroutine frames, whose operator new and delete do match.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace berylspring::node::detail {

namespace {

namespace asio = boost::asio;

const std::string Stream = "quarantine";
/** A host that was cut off learns of a quarantine within this time of its return. */
constexpr core::Duration NoticeRetryInterval = std::chrono::seconds(1);
/** Bounds the calls to a log that fails. */
constexpr core::Duration LogRetryInterval = std::chrono::seconds(2);

/** @brief Lets the next record be appended, also when the coroutine is destroyed. */
class RecordingScope
{
public:
    explicit RecordingScope(std::atomic<bool> &isRecording) noexcept
        : m_isRecording(isRecording)
    {
    }
    ~RecordingScope()
    {
        m_isRecording = false;
    }
    RecordingScope(const RecordingScope &) = delete;
    RecordingScope &operator=(const RecordingScope &) = delete;

private:
    std::atomic<bool> &m_isRecording;
};

}

QuarantineExchange::QuarantineExchange(asio::any_io_executor executor,
                                       ProcessStart start,
                                       std::shared_ptr<admission::Quarantine> quarantine,
                                       QuarantineExchangeHooks hooks)
    : m_executor(std::move(executor))
    , m_start(std::move(start))
    , m_quarantine(std::move(quarantine))
    , m_hooks(std::move(hooks))
    , m_outbox(NoticeRetryInterval)
    , m_isRestored(m_start.isFirstStart)
{
}

void QuarantineExchange::report(const admission::CrashReport &report, core::TimePoint now)
{
    const std::vector<telemetry::LogField> fields{
        {"request", report->requestId}, {"digest", report->requestDigest.toHex()}, {"ran_alone", report->ranAlone}};
    switch (report->state) {
    case admission::QuarantineState::Quarantined:
        telemetry::log(telemetry::Severity::Warning, "request quarantined", fields);
        m_outbox.add({report->requestDigest, report->service, now + report->remaining}, now);
        ++m_changes;
        sendDue(report->service, now);
        startRecording(now);
        return;
    case admission::QuarantineState::Suspect:
        telemetry::logRequestEvent("request ran during a crash", fields, now);
        suspect(report);
        return;
    case admission::QuarantineState::Clear:
        telemetry::logRequestEvent("request ran during a crash", fields, now);
        return;
    }
}

void QuarantineExchange::suspect(const admission::CrashReport &report)
{
    // Sent once: most suspects are innocent, and a host that misses the notice suspects the request after a crash.
    const wire::QuarantineNotice notice({.requestDigest = report->requestDigest});
    for (const admission::NoticeReceiver &receiver : m_hooks.receivers(report->service)) {
        asio::co_spawn(m_executor, deliverOnce(receiver.host, notice), logFailure("quarantine notice"));
    }
}

void QuarantineExchange::receive(const core::HostId &from, const wire::QuarantineNotice &notice, core::TimePoint now)
{
    telemetry::logRequestEvent("quarantine notice received",
                               {{"from", from.value()},
                                {"digest", notice->requestDigest.toHex()},
                                {"remaining_ms", milliseconds(notice->remaining)}},
                               now);
    if (notice->remaining > core::Duration::zero()) {
        m_quarantine->quarantine(notice->requestDigest, notice->remaining, now);
    } else {
        m_quarantine->suspect(notice->requestDigest, now);
    }
}

void QuarantineExchange::tick(core::TimePoint now)
{
    if (m_outbox.isEmpty()) {
        return;
    }
    std::set<core::ServiceId> services;
    for (const admission::QuarantineFinding &finding : m_outbox.findings(now)) {
        services.insert(finding.service);
    }
    for (const core::ServiceId &service : services) {
        sendDue(service, now);
    }
    startRecording(now);
}

void QuarantineExchange::sendDue(const core::ServiceId &service, core::TimePoint now)
{
    for (const admission::DueNotice &notice : m_outbox.due(service, m_hooks.receivers(service), now)) {
        asio::co_spawn(m_executor, deliver(notice), logFailure("quarantine notice"));
    }
}

asio::awaitable<void> QuarantineExchange::deliver(admission::DueNotice notice)
{
    const wire::QuarantineNotice message({.requestDigest = notice.requestDigest, .remaining = notice.remaining});
    if (co_await m_hooks.send(notice.receiver.host, message)) {
        m_outbox.acknowledged(notice.requestDigest, notice.receiver);
    }
}

asio::awaitable<void> QuarantineExchange::deliverOnce(core::HostId host, wire::QuarantineNotice notice)
{
    [[maybe_unused]] const bool ignored = co_await m_hooks.send(std::move(host), notice);
}

void QuarantineExchange::startRecording(core::TimePoint now)
{
    const std::uint64_t change = m_changes;
    const bool isRecorded = m_recordedChanges >= change && m_recordedGeneration >= m_hooks.logGeneration();
    if (isRecorded || !m_isRestored || now < m_nextRecordAt.load() || m_isRecording.exchange(true)) {
        return;
    }
    asio::co_spawn(m_executor, appendRecord(change), logFailure("quarantine record"));
}

asio::awaitable<void> QuarantineExchange::appendRecord(std::uint64_t change)
{
    const RecordingScope scope(m_isRecording);
    const core::TimePoint now = m_hooks.now();
    const core::WallTime wallTime = m_hooks.wallTime();
    const std::uint64_t generation = m_hooks.logGeneration();
    QuarantineRecordFields fields{.host = m_start.host, .quarantines = {}};
    for (const admission::QuarantineFinding &finding : m_outbox.findings(now)) {
        const auto until = wallTime + std::chrono::duration_cast<core::WallTime::duration>(finding.until - now);
        fields.quarantines.push_back({finding.requestDigest, finding.service, until});
    }
    const auto appended = co_await m_hooks.log.append(Stream, toJson(QuarantineRecord(std::move(fields))));
    if (appended) {
        m_recordedChanges = change;
        m_recordedGeneration = generation;
    } else {
        telemetry::log(
            telemetry::Severity::Warning, "quarantines not recorded", {{"error", appended.error().detail()}});
        m_nextRecordAt = m_hooks.now() + LogRetryInterval;
    }
}

asio::awaitable<void> QuarantineExchange::restore()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    StreamPosition position;
    while (!m_isRestored && !m_hooks.isStopping()) {
        const bool hasRead = co_await readToEnd(m_hooks.log, Stream, position, [this](const eventlog::LogEntry &entry) {
            applyRecord(entry, m_hooks.now());
        });
        if (hasRead) {
            m_isRestored = true;
            co_return;
        }
        telemetry::log(telemetry::Severity::Warning, "quarantines not read");
        timer.expires_after(LogRetryInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void QuarantineExchange::applyRecord(const eventlog::LogEntry &entry, core::TimePoint now)
{
    const auto record = parseQuarantineRecord(entry.data);
    if (!record && entry.data.empty()) {
        return; // The key of a keyed log was deleted.
    }
    if (!record) {
        telemetry::log(telemetry::Severity::Warning,
                       "invalid quarantine record ignored",
                       {{"offset", static_cast<std::int64_t>(entry.offset)}, {"error", record.error()}});
        return;
    }
    const core::WallTime wallTime = m_hooks.wallTime();
    for (const RecordedQuarantine &quarantine : (*record)->quarantines) {
        const core::Duration remaining = quarantine.until - wallTime;
        if (remaining <= core::Duration::zero()) {
            continue;
        }
        m_quarantine->quarantine(quarantine.requestDigest, remaining, now);
        telemetry::log(telemetry::Severity::Info,
                       "quarantine restored",
                       {{"digest", quarantine.requestDigest.toHex()},
                        {"from", (*record)->host.value()},
                        {"remaining_ms", milliseconds(remaining)}});
        if ((*record)->host == m_start.host) {
            // Ends no later than what was applied, also if the clock of this host was set back since.
            const core::Duration bounded = m_quarantine->remaining(quarantine.requestDigest, now);
            m_outbox.add({quarantine.requestDigest, quarantine.service, now + bounded}, now);
        }
    }
}

}
