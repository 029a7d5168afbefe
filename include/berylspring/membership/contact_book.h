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

/** @brief An address to try in order to reach members that are not live in the local table. */
struct Contact
{
    PeerAddress address;
    core::HostId host; ///< Empty for a seed that has not answered yet.
    core::DataCentreId dataCentre; ///< Empty for a seed that has not answered yet.
    core::TimePoint addedAt;
    bool isSeed = false; ///< Does not expire.
    bool isLive = false; ///< A seed that belongs to a live member.
    int tries = 0;
    std::optional<core::TimePoint> lastTryAt;

    [[nodiscard]] auto operator<=>(const Contact &) const = default;
};

/**
 * @brief Addresses to retry: seeds, announced hosts and dead members, even when the table has removed them.
 *
 * Through them both sides rejoin after a partition that lasted longer than DeadRetention.
 */
class ContactBook
{
public:
    /** @param own Own address, which is never a contact. */
    ContactBook(PeerAddress own, const std::vector<PeerAddress> &seeds);

    void setOwnAddress(PeerAddress own);
    /** @brief Adds a host that is not live; one that left gracefully is tried only if it is a seed. Beyond
     * MaxContacts the oldest contact is evicted. */
    void add(const wire::MemberUpdate &record, core::TimePoint now);
    /**
     * @brief Stops trying the address of a member that is live.
     * @return Whether its address was being tried.
     */
    bool markLive(const Member &member);

    /**
     * @brief Picks the contact to try next.
     * @param now The current time.
     * @param isReachable Whether a data centre has a live member besides this one.
     * @param isAlone Whether no other member is live.
     * @param randomBits Select among the contacts that are due.
     * @return A contact when one is due: each LocalProbeInterval while isAlone and for the first tries of
     * each seed, each UrgentContactInterval while a data centre of the book is unreachable, otherwise each
     * ContactInterval.
     */
    [[nodiscard]] std::optional<Contact> takeDue(core::TimePoint now,
                                                 const std::function<bool(const core::DataCentreId &)> &isReachable,
                                                 bool isAlone,
                                                 std::uint64_t randomBits);

    /**
     * @brief Picks contacts that have hardly been tried, so that processes that start together know each other at once.
     * @param dataCentre Only contacts of this data centre are picked.
     * @param limit Maximum number of contacts.
     * @param now The current time.
     * @return Contacts with less than InitialContactTries, each at most once per LocalProbeInterval.
     */
    [[nodiscard]] std::vector<Contact>
    takeInitial(const core::DataCentreId &dataCentre, std::size_t limit, core::TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    /** Minimum time between the tries of any two contacts with this interval. */
    [[nodiscard]] static core::Duration
    interval(const Contact &contact, const std::function<bool(const core::DataCentreId &)> &isReachable, bool isAlone);
    void dropOldest();

    mutable std::mutex m_mutex;
    PeerAddress m_ownAddress;
    std::map<PeerAddress, Contact> m_contacts;

    std::optional<core::TimePoint> m_lastCheck;
    /** Last try of a contact with an interval. One that is never reached must not hold up those with a longer one. */
    std::map<core::Duration, core::TimePoint> m_lastTries;
};

}
