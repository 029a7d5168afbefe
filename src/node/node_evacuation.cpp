#include "node/node_implementation.h"

#include "berylspring/telemetry/log.h"

#include <algorithm>

namespace berylspring::node {

void Node::Implementation::applyEvacuations()
{
    const std::shared_ptr<const config::Catalogue> catalogue = m_config.catalogue();
    const detail::EvacuationChange change = m_evacuations.apply(*catalogue);
    const auto names = [&](const std::vector<core::DataCentreId> &changed) {
        return std::find(changed.begin(), changed.end(), m_settings->dataCentre) != changed.end();
    };
    if (names(change.returned)) {
        // The endpoint may be cold now. Its cold state begins before the node publishes that it takes requests.
        m_endpoint.takenBack(now());
    }
    if (names(change.evacuated) || names(change.returned)) {
        publishEndpoint();
    }
    const auto offset = static_cast<std::int64_t>(catalogue->appliedOffset());
    for (const core::DataCentreId &dataCentre : change.evacuated) {
        telemetry::log(telemetry::Severity::Warning,
                       "data centre is evacuated",
                       {{"data_centre", dataCentre.value()}, {"offset", offset}});
    }
    for (const core::DataCentreId &dataCentre : change.returned) {
        telemetry::log(telemetry::Severity::Warning,
                       "data centre was taken back",
                       {{"data_centre", dataCentre.value()}, {"offset", offset}});
    }
}

void Node::Implementation::enforceEvacuation(admission::AdmissionService &service) const
{
    service.setEvacuated(m_evacuations.isEvacuated(m_settings->dataCentre));
}

}
