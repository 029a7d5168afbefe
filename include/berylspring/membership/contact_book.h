#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/membership/member.h"
#include "berylspring/membership/settings.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace berylspring::membership {

/** @brief An address that may lead to members that are not live here. */
struct Contact
{
    PeerAddress address;
    core::HostId host; ///< Empty for a seed that has not answered yet.
    core::DataCentreId dataCentre; ///< Empty for a seed that has not answered yet.
    core::TimePoint addedAt;
    bool isSeed = false; ///< Kept for ever.
    bool isLive = false; ///< A seed that belongs to a live member.
    int tries = 0;

    [[nodiscard]] auto operator<=>(const Contact &) const = default;
};

/**
 * @brief Addresses to retry: seeds, announced hosts, and dead members, also after the table forgot them.
 *
 * After a partition that lasted longer than the retention, both sides find each other again through them.
 */
class ContactBook
{
public:
    /** @param own Own address, which is never a contact. */
    ContactBook(PeerAddress own, const std::vector<PeerAddress> &seeds);

    void setOwn(PeerAddress own);
    /** @brief Adds a host that is not live; one that left by plan is only tried if it is a seed. The oldest contact
     * gives way beyond MaxContacts. */
    void add(const wire::MemberUpdate &record, core::TimePoint now);
    /** @return Whether the member had been waited for. It is no longer tried. */
    bool heard(const Member &member);

    /**
     * @brief Picks the contact to try next.
     * @param now The current time.
     * @param isReachable Whether a data centre has a live member besides this one.
     * @param isAlone Whether no other member is known.
     * @param randomBits Decide the choice.
     * @return A contact when one is due: each LocalProbeInterval while no member is known and for the first tries of
     * each seed, each UrgentContactInterval while a data centre of the book is unreachable, otherwise each
     * ContactInterval.
     */
    [[nodiscard]] std::optional<Contact> due(core::TimePoint now,
                                             const std::function<bool(const core::DataCentreId &)> &isReachable,
                                             bool isAlone,
                                             std::uint64_t randomBits);

    [[nodiscard]] std::size_t size() const;

private:
    /** How soon a contact may be tried after another. */
    [[nodiscard]] static core::Duration
    interval(const Contact &contact, const std::function<bool(const core::DataCentreId &)> &isReachable, bool isAlone);
    void dropOldest();

    mutable std::mutex m_mutex;
    PeerAddress m_own;
    std::map<PeerAddress, Contact> m_contacts;

    std::optional<core::TimePoint> m_lastSearch;
    std::optional<core::TimePoint> m_lastTry;
};

}
