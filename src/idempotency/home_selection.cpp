#include "berylspring/idempotency/home_selection.h"

#include "berylspring/core/rendezvous.h"
#include "berylspring/idempotency/claim_name.h"

#include <algorithm>
#include <string>

namespace berylspring::idempotency {

HomeSelection::HomeSelection(std::vector<core::DataCentreId> declared)
    : m_declared(std::move(declared))
{
    std::sort(m_declared.begin(), m_declared.end());
    m_declared.erase(std::unique(m_declared.begin(), m_declared.end()), m_declared.end());
}

core::DataCentreId HomeSelection::dataCentreOf(std::string_view claimName) const
{
    const std::string_view key = keyOf(claimName);
    const auto end = key.find('/');
    if (end != std::string_view::npos) {
        core::DataCentreId prefix{std::string(key.substr(0, end))};
        if (std::binary_search(m_declared.begin(), m_declared.end(), prefix)) {
            return prefix;
        }
    }
    return m_declared.empty() ? core::DataCentreId() : m_declared[core::stableHash(claimName) % m_declared.size()];
}

}
