#include "berylspring/membership/contact_book.h"

#include "berylspring/membership/timing.h"

#include <algorithm>
#include <utility>

namespace berylspring::membership {

ContactBook::ContactBook(PeerAddress own, const std::vector<PeerAddress> &seeds)
    : m_ownAddress(std::move(own))
{
    for (const auto &seed : seeds) {
        Contact contact;
        contact.address = seed;
        contact.isSeed = true;
        m_contacts.insert_or_assign(seed, contact);
    }
    m_contacts.erase(m_ownAddress);
}

void ContactBook::setOwnAddress(PeerAddress own)
{
    const std::scoped_lock lock(m_mutex);
    m_ownAddress = std::move(own);
    m_contacts.erase(m_ownAddress);
}

void ContactBook::add(const wire::MemberUpdate &record, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const PeerAddress address{record->address, record->port};
    const auto found = m_contacts.find(address);
    const bool isSeed = found != m_contacts.end() && found->second.isSeed;
    if (address == m_ownAddress || (record->state == wire::MemberState::Left && !isSeed)) {
        return;
    }
    m_contacts.insert_or_assign(
        address, Contact{address, record->host, record->dataCentre, now, isSeed, false, 0, std::nullopt});
    if (m_contacts.size() > MaxContacts) {
        dropOldest();
    }
}

bool ContactBook::markLive(const Member &member)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_contacts.find(PeerAddress{member.address(), member.port()});
    if (found == m_contacts.end() || found->second.isLive) {
        return false;
    }
    if (!found->second.isSeed) {
        m_contacts.erase(found);
        return true;
    }
    found->second.host = member.host();
    found->second.dataCentre = member.dataCentre();
    found->second.isLive = true;
    return true;
}

std::optional<Contact> ContactBook::takeDue(core::TimePoint now,
                                            const std::function<bool(const core::DataCentreId &)> &isReachable,
                                            bool isAlone,
                                            std::uint64_t randomBits)
{
    const std::scoped_lock lock(m_mutex);
    if (m_lastCheck && now - *m_lastCheck < LocalProbeInterval) {
        return std::nullopt;
    }
    m_lastCheck = now;

    std::erase_if(m_contacts, [&](const auto &entry) {
        return !entry.second.isSeed && now - entry.second.addedAt >= ContactRetention;
    });
    // Of the contacts that may be tried now, those with the shortest interval come first.
    auto shortest = core::Duration::max();
    std::vector<Contact *> candidates;
    for (auto &[address, contact] : m_contacts) {
        const auto wait = interval(contact, isReachable, isAlone);
        const auto lastTry = m_lastTries.find(wait);
        const bool isDue = lastTry == m_lastTries.end() || now - lastTry->second >= wait;
        if (contact.isLive || !isDue || wait > shortest) {
            continue;
        }
        if (wait < shortest) {
            shortest = wait;
            candidates.clear();
        }
        candidates.push_back(&contact);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    m_lastTries.insert_or_assign(shortest, now);
    auto &chosen = *candidates[randomBits % candidates.size()];
    ++chosen.tries;
    chosen.lastTryAt = now;
    return chosen;
}

std::vector<Contact>
ContactBook::takeInitial(const core::DataCentreId &dataCentre, std::size_t limit, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Contact> result;
    for (auto &[address, contact] : m_contacts) {
        const bool isDue = !contact.lastTryAt || now - *contact.lastTryAt >= LocalProbeInterval;
        if (contact.dataCentre != dataCentre || contact.isLive || contact.tries >= InitialContactTries || !isDue) {
            continue;
        }
        if (result.size() == limit) {
            break;
        }
        ++contact.tries;
        contact.lastTryAt = now;
        result.push_back(contact);
    }
    return result;
}

core::Duration ContactBook::interval(const Contact &contact,
                                     const std::function<bool(const core::DataCentreId &)> &isReachable,
                                     bool isAlone)
{
    // Members that start together may reach different seeds first; trying the other seeds merges these groups.
    constexpr int InitialSeedTries = 3;
    if (isAlone || (contact.isSeed && contact.tries < InitialSeedTries)) {
        return LocalProbeInterval;
    }
    const bool isUnreachable = !contact.dataCentre.isEmpty() && !isReachable(contact.dataCentre);
    return isUnreachable ? UrgentContactInterval : ContactInterval;
}

std::size_t ContactBook::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_contacts.size();
}

void ContactBook::dropOldest()
{
    const auto oldest = std::min_element(m_contacts.begin(), m_contacts.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second.isSeed, left.second.addedAt)
               < std::pair(right.second.isSeed, right.second.addedAt);
    });
    m_contacts.erase(oldest);
}

}
