#pragma once

#include "berylspring/admission/notice_outbox.h"
#include "berylspring/core/name.h"
#include "berylspring/membership/member_snapshot.h"

#include <cstddef>
#include <vector>

namespace berylspring::node::detail {

/** @brief Numbers of hosts in and outside the own data centre. */
struct HolderCounts
{
    std::size_t local = 0;
    std::size_t remote = 0;
    [[nodiscard]] bool operator==(const HolderCounts &) const = default;
};

/** Hosts that a host has its leaves kept by: they outlive single hosts, and a data centre that is lost. */
inline constexpr HolderCounts LeaveHolders{.local = 2, .remote = 1};
/** Hosts that a process asks when it starts; more, since members may have joined or died since a leave. */
inline constexpr HolderCounts LeaveWitnesses{.local = 4, .remote = 4};

/** @return The live hosts that come first for the leaves of the host, by rendezvous hashing. */
[[nodiscard]] std::vector<admission::NoticeReceiver>
leaveHolders(const membership::MemberSnapshot &members, const membership::Member &self, HolderCounts counts);

}
