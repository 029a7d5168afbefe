#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace berylspring::admission {

/** @brief A quarantine that this host has imposed. */
struct QuarantineFinding
{
    core::Digest requestDigest;
    core::ServiceId service; ///< Whose endpoints the request ends.
    core::TimePoint until; ///< End of the quarantine.
    [[nodiscard]] bool operator==(const QuarantineFinding &) const = default;
};

/** @brief One start of a host's process, which knows what it was told since then. */
struct NoticeReceiver
{
    core::HostId host;
    std::uint64_t incarnation = 0;
    [[nodiscard]] bool operator==(const NoticeReceiver &) const = default;
};

/** @brief A notice that must be sent now. */
struct DueNotice
{
    NoticeReceiver receiver;
    core::Digest requestDigest;
    core::Duration remaining{}; ///< Remaining time of the quarantine.
    [[nodiscard]] bool operator==(const DueNotice &) const = default;
};

/**
 * @brief Decides which hosts still have to be told of the quarantines that this host has imposed. Thread-safe.
 *
 * A host is told until it acknowledges, for as long as the quarantine lasts: one that was cut off, or whose endpoint
 * starts later, would run the request once more. A host that has restarted is told again.
 */
class NoticeOutbox
{
public:
    /** Bounds the quarantines of one host; a new one replaces the one that ends first. */
    static constexpr std::size_t MaxFindings = 256;

    /** @param retryInterval Time after which a notice without acknowledgement is sent again. */
    explicit NoticeOutbox(core::Duration retryInterval);

    /** @brief Adds a finding, or extends one. */
    void add(const QuarantineFinding &finding, core::TimePoint now);
    /** @return The findings in force, the one that ends first at the front. */
    [[nodiscard]] std::vector<QuarantineFinding> findings(core::TimePoint now) const;
    /**
     * @param receivers Other hosts that provide the service.
     * @return The notices about the service that are due; none of them is due again before the retry interval.
     */
    [[nodiscard]] std::vector<DueNotice>
    due(const core::ServiceId &service, const std::vector<NoticeReceiver> &receivers, core::TimePoint now);
    void acknowledged(const core::Digest &requestDigest, const NoticeReceiver &receiver);
    [[nodiscard]] bool isEmpty() const
    {
        return m_entries.size() == 0;
    }

private:
    struct Delivery
    {
        std::uint64_t incarnation = 0;
        core::TimePoint sentAt;
        bool isAcknowledged = false;
    };
    struct Entry
    {
        QuarantineFinding finding;
        std::unordered_map<core::HostId, Delivery> deliveries;
    };

    [[nodiscard]] bool isDue(const Entry &entry, const NoticeReceiver &receiver, core::TimePoint now) const;

    core::Duration m_retryInterval;
    core::ShardedMap<core::Digest, Entry> m_entries;
};

}
