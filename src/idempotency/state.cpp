#include "idempotency/state.h"

#include <algorithm>
#include <utility>

namespace berylspring::idempotency::detail {

State::State(boost::asio::any_io_executor usedExecutor, IdempotencySettings usedSettings, IdempotencyHooks usedHooks)
    : executor(std::move(usedExecutor))
    , settings(std::move(usedSettings))
    , hooks(std::move(usedHooks))
    , selection(settings.declared)
    , started(hooks.now())
    , table(settings.self, hooks.random(), {settings.retention, settings.storedBytes, settings.records})
{
}

HomeOrder State::orderOf(const std::string &name) const
{
    const auto dataCentre = selection.dataCentreOf(name);
    return {name, hooks.liveHosts(dataCentre), hooks.recentHosts(dataCentre), settings.retention};
}

bool State::isOwnDataCentre(const std::string &name) const
{
    return selection.dataCentreOf(name) == settings.dataCentre;
}

core::Duration State::uptime() const
{
    return hooks.now() - started;
}

void State::notePeerUptime(const core::HostId &host, core::Duration hostUptime)
{
    const core::TimePoint since = hooks.now() - hostUptime;
    peerStarts.update(host,
                      [&](std::optional<core::TimePoint> &known) { known = std::min(known.value_or(since), since); });
}

wire::CallResponse refusalOf(core::RefusalReason reason, core::Outcome outcome, std::string detail)
{
    wire::CallResponseFields fields;
    fields.refusal = core::Refusal(reason, outcome, std::move(detail));
    return wire::CallResponse(std::move(fields));
}

}
