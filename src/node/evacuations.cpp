#include "node/evacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylspring::node::detail {

namespace {

std::vector<core::DataCentreId> difference(const std::vector<core::DataCentreId> &left,
                                           const std::vector<core::DataCentreId> &right)
{
    std::vector<core::DataCentreId> result;
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(result));
    return result;
}

}

EvacuationChange Evacuations::apply(const config::Catalogue &catalogue)
{
    std::vector<core::DataCentreId> names;
    for (const config::ResourceView &evacuation : catalogue.list(config::ResourceType::Evacuation)) {
        names.emplace_back(evacuation.name);
    }
    const std::scoped_lock lock(m_mutex);
    if (catalogue.appliedOffset() < m_appliedOffset) {
        return {};
    }
    m_appliedOffset = catalogue.appliedOffset();
    if (names == *m_dataCentres) {
        return {};
    }
    EvacuationChange change{.evacuated = difference(names, *m_dataCentres),
                            .returned = difference(*m_dataCentres, names)};
    m_dataCentres = std::make_shared<const std::vector<core::DataCentreId>>(std::move(names));
    return change;
}

bool Evacuations::isBehind(core::Offset appliedOffset) const
{
    const std::scoped_lock lock(m_mutex);
    return m_appliedOffset < appliedOffset;
}

std::shared_ptr<const std::vector<core::DataCentreId>> Evacuations::dataCentres() const
{
    const std::scoped_lock lock(m_mutex);
    return m_dataCentres;
}

bool Evacuations::isEvacuated(const core::DataCentreId &dataCentre) const
{
    const auto names = dataCentres();
    return std::find(names->begin(), names->end(), dataCentre) != names->end();
}

}
