#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/membership/member.h"
#include "berylspring/wire/datagrams.h"
#include "berylspring/wire/error.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace berylspring::membership {

/** @brief Functions that MembershipService calls. No hook is called under a lock. */
struct MembershipHooks
{
    /** Encodes and authenticates a datagram. */
    std::function<wire::Result<std::string>(const wire::Datagram &)> seal;
    /** Verifies and decodes a datagram; returns its sender with it. */
    std::function<wire::Result<std::pair<core::HostId, wire::Datagram>>(std::string_view)> open;
    /** Default: core::systemRandom(). */
    core::RandomSource random;
    /** Default: the steady clock. */
    std::function<core::TimePoint()> now;
    /** A member reported its applied offset, changed or not. May be empty. */
    std::function<void(const core::HostId &, core::Offset)> offsetReported;
    /** A member is new or changed its state, incarnation, address or service. May be empty. */
    std::function<void(const Member &)> changed;
    /** A datagram of this size was sent, to another data centre or not. May be empty. */
    std::function<void(bool isRemote, std::size_t bytes)> sent;
};

}
