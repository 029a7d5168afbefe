#include "berylspring/node/deployment_bounds.h"

#include <algorithm>

namespace berylspring::node {

namespace {

using namespace std::chrono_literals;

/** Part of the grace in which aborted requests are answered and the process exits. */
constexpr double StopReserveFraction = 0.12;
constexpr core::Duration MinStopReserve = 200ms;
constexpr core::Duration MaxStopReserve = 700ms;
/** The rest of the drain is left to requests that start last, which the endpoint must end before it exits. */
constexpr double DrainStartWindowFraction = 0.5;
/** Callers that learn late of the stop still find the node during this multiple of the drain bound. */
constexpr double LingerFactor = 1.25;
/** The rest of a graceful stop is left to the requests that arrive last. */
constexpr double MaxLingerFraction = 0.5;

/** A relayed change passes a reader's poll and a peer's refresh, so that both together stay below the bound. */
constexpr double RefreshFraction = 0.35;
/** A node that no reader confirms reads the log itself while the bound still leaves time for the answer. */
constexpr double FallbackFraction = 0.8;
/** A denial by a configuration of this age is no older than a configuration may be in force after its successor. */
constexpr double DenialFraction = 1.0;
/** The rest of the bound is left to requests that were accepted with the key and have not reached the endpoint. */
constexpr double KeyStalenessFraction = 0.8;

/** The rest of the tolerated excess is left to requests that queue after their admission and run close together. */
constexpr std::uint32_t LimitExcessDivisor = 2;

/** Whole milliseconds, as the settings have them. */
core::Duration scaled(core::Duration duration, double factor)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(duration).count() * factor;
    return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

core::Duration stopTimeoutOf(core::Duration grace)
{
    return grace - std::clamp(scaled(grace, StopReserveFraction), MinStopReserve, MaxStopReserve);
}

}

DerivedSettings derivedSettings(const DeploymentBounds &bounds)
{
    DerivedSettingsFields settings;
    if (bounds->stopGrace) {
        settings.stopTimeout = stopTimeoutOf(*bounds->stopGrace);
    }
    if (bounds->drain) {
        settings.drainStartWindow = scaled(*bounds->drain, DrainStartWindowFraction);
        settings.stopLinger = scaled(*bounds->drain, LingerFactor);
        if (settings.stopTimeout) {
            settings.stopLinger = std::min(*settings.stopLinger, scaled(*settings.stopTimeout, MaxLingerFraction));
        }
    }
    if (bounds->changeApply) {
        settings.logPoll = scaled(*bounds->changeApply, RefreshFraction);
        settings.proofRefresh = settings.logPoll;
        settings.proofFallback = scaled(*bounds->changeApply, FallbackFraction);
        settings.denialStaleness = scaled(*bounds->changeApply, DenialFraction);
    }
    if (bounds->keyWithdrawal) {
        settings.keyStaleness = scaled(*bounds->keyWithdrawal, KeyStalenessFraction);
    }
    if (bounds->limitExcess) {
        settings.burstTolerance = *bounds->limitExcess / LimitExcessDivisor;
    }
    return DerivedSettings(settings);
}

}
