#include "berylspring/admission/notice_outbox.h"

#include <algorithm>

namespace berylspring::admission {

NoticeOutbox::NoticeOutbox(core::Duration retryInterval)
    : m_retryInterval(retryInterval)
{
}

void NoticeOutbox::add(const QuarantineFinding &finding, core::TimePoint now)
{
    m_entries.eraseIf([&](const core::Digest &, const Entry &entry) { return entry.finding.until <= now; });
    if (m_entries.size() >= MaxFindings) {
        m_entries.erase(findings(now).front().requestDigest);
    }
    m_entries.update(finding.requestDigest, [&](std::optional<Entry> &entry) {
        // Acknowledgements of an earlier end do not cover a later one.
        if (!entry || finding.until > entry->finding.until) {
            entry = Entry{.finding = finding, .deliveries = {}};
        }
    });
}

std::vector<QuarantineFinding> NoticeOutbox::findings(core::TimePoint now) const
{
    std::vector<QuarantineFinding> found;
    m_entries.forEach([&](const core::Digest &, const Entry &entry) {
        if (now < entry.finding.until) {
            found.push_back(entry.finding);
        }
    });
    std::sort(found.begin(), found.end(), [](const QuarantineFinding &left, const QuarantineFinding &right) {
        return left.until < right.until;
    });
    return found;
}

bool NoticeOutbox::isDue(const Entry &entry, const NoticeReceiver &receiver, core::TimePoint now) const
{
    const auto delivery = entry.deliveries.find(receiver.host);
    if (delivery == entry.deliveries.end() || delivery->second.incarnation != receiver.incarnation) {
        return true;
    }
    return !delivery->second.isAcknowledged && now - delivery->second.sentAt >= m_retryInterval;
}

std::vector<DueNotice>
NoticeOutbox::due(const core::ServiceId &service, const std::vector<NoticeReceiver> &receivers, core::TimePoint now)
{
    std::vector<DueNotice> notices;
    for (const QuarantineFinding &finding : findings(now)) {
        if (finding.service != service) {
            continue;
        }
        m_entries.update(finding.requestDigest, [&](std::optional<Entry> &entry) {
            if (!entry) {
                return;
            }
            for (const NoticeReceiver &receiver : receivers) {
                if (isDue(*entry, receiver, now)) {
                    entry->deliveries.insert_or_assign(receiver.host, Delivery{receiver.incarnation, now, false});
                    notices.push_back({receiver, finding.requestDigest, entry->finding.until - now});
                }
            }
        });
    }
    return notices;
}

void NoticeOutbox::acknowledged(const core::Digest &requestDigest, const NoticeReceiver &receiver)
{
    m_entries.update(requestDigest, [&](std::optional<Entry> &entry) {
        if (!entry) {
            return;
        }
        const auto delivery = entry->deliveries.find(receiver.host);
        if (delivery != entry->deliveries.end() && delivery->second.incarnation == receiver.incarnation) {
            delivery->second.isAcknowledged = true;
        }
    });
}

}
