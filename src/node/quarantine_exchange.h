#pragma once

#include "berylspring/admission/crash_report.h"
#include "berylspring/admission/notice_outbox.h"
#include "berylspring/admission/quarantine.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/eventlog/log_hooks.h"
#include "berylspring/wire/messages.h"
#include "node/process_start.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::node::detail {

/** @brief Dependencies of the exchange on the peers and the log. */
struct QuarantineExchangeHooks
{
    eventlog::LogHooks log;
    /** Sends a notice to a host. @return Whether the host has acknowledged it. */
    std::function<boost::asio::awaitable<bool>(core::HostId, wire::QuarantineNotice)> send;
    /** @return The other live hosts whose endpoint provides the service. */
    std::function<std::vector<admission::NoticeReceiver>(const core::ServiceId &)> receivers;
    std::function<std::uint64_t()> logGeneration; ///< Rises when the log has lost its latest records.
    std::function<core::TimePoint()> now;
    std::function<core::WallTime()> wallTime;
    std::function<bool()> isStopping;
};

/**
 * @brief Shares the quarantines of this host with the other hosts that provide the service, and with later processes.
 *
 * Each host of the service gets a notice until it acknowledges. The stream `quarantine` of the log holds one record for
 * each host with all quarantines that it has imposed, which a process reads when it starts. Thread-safe.
 */
class QuarantineExchange
{
public:
    QuarantineExchange(boost::asio::any_io_executor executor,
                       ProcessStart start,
                       std::shared_ptr<admission::Quarantine> quarantine,
                       QuarantineExchangeHooks hooks);

    /** @brief Passes on what this host has concluded from a crash. */
    void report(const admission::CrashReport &report, core::TimePoint now);
    /** @brief Applies a notice of another host. */
    void receive(const core::HostId &from, const wire::QuarantineNotice &notice, core::TimePoint now);
    /** @brief Sends what is due; to be called several times a second. */
    void tick(core::TimePoint now);
    /** @brief Applies the quarantines in the log; returns when all of them are known. */
    [[nodiscard]] boost::asio::awaitable<void> restore();

private:
    void suspect(const admission::CrashReport &report);
    void sendDue(const core::ServiceId &service, core::TimePoint now);
    [[nodiscard]] boost::asio::awaitable<void> deliver(admission::DueNotice notice);
    [[nodiscard]] boost::asio::awaitable<void> deliverOnce(core::HostId host, wire::QuarantineNotice notice);
    void startRecording(core::TimePoint now);
    [[nodiscard]] boost::asio::awaitable<void> appendRecord(std::uint64_t change);
    void applyRecord(const eventlog::LogEntry &entry, core::TimePoint now);

    boost::asio::any_io_executor m_executor;
    ProcessStart m_start;
    std::shared_ptr<admission::Quarantine> m_quarantine;
    QuarantineExchangeHooks m_hooks;
    admission::NoticeOutbox m_outbox;
    /** The own record must not be replaced before it has been read. */
    std::atomic<bool> m_isRestored;
    std::atomic<std::uint64_t> m_changes{0}; ///< Findings of this host so far.
    std::atomic<std::uint64_t> m_recordedChanges{0}; ///< Value of m_changes that the log has.
    std::atomic<std::uint64_t> m_recordedGeneration{0}; ///< Generation of the log that has it.
    std::atomic<bool> m_isRecording{false};
    std::atomic<core::TimePoint> m_nextRecordAt{core::TimePoint::min()};
};

}
