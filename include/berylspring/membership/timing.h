#pragma once

#include "berylspring/core/time.h"

#include <chrono>
#include <cstddef>

namespace berylspring::membership {

using namespace std::chrono_literals;

/** @brief Interval of SwimProtocol::tick(). */
inline constexpr core::Duration TickInterval = 50ms;

inline constexpr core::Duration LocalProbeInterval = 300ms;
inline constexpr core::Duration RemoteProbeInterval = 1s;

/** @brief Wait for the ack of a direct probe before others are asked, and for theirs, inside the data centre. */
inline constexpr core::Duration LocalAckTimeout = 200ms;
/** @brief The same across data centres, where a round trip between regions may take 300 ms. */
inline constexpr core::Duration RemoteAckTimeout = 500ms;
inline constexpr std::size_t IndirectProbeCount = 3;

inline constexpr core::Duration SuspicionTime = 1500ms;
/**
 * @brief How long dead and left members are remembered, so that late updates do not revive them. Claims are kept for
 * 10 min from requests that may run for 1 min, and their homes must know who may have held them.
 */
inline constexpr core::Duration DeadRetention = 11min;

/** @brief A tick that is later than this counts against the local health and moves the open deadlines. */
inline constexpr core::Duration LateTickTolerance = 50ms;
/** @brief A tick that is later than this means that the process was paused. */
inline constexpr core::Duration PauseThreshold = 1s;

/** @brief Limits of the datagram: 1400 bytes pass every common path without fragmentation. */
inline constexpr std::size_t MaxDatagramBytes = 1400;
inline constexpr std::size_t MaxUpdatesPerDatagram = 8;

/** @brief Members that a refutation is sent to at once, and holders of a suspicion that check it themselves. */
inline constexpr std::size_t RefutationFanout = 32;

/** @brief Datagrams per tick while a push to all members runs: 15,000 members take 1.2 s. */
inline constexpr std::size_t PushesPerTick = 640;
/** @brief Datagrams per tick and receiver while the table is sent; 64 x 1400 bytes fit the usual socket buffer. */
inline constexpr std::size_t SyncDatagramsPerTick = 64;
/** @brief A second request for the table follows after this time, since datagrams of the first may be lost. */
inline constexpr core::Duration SyncInterval = 2s;
/** @brief The third follows when members that started at the same time have settled. */
inline constexpr core::Duration LastSyncInterval = 8s;

/** @brief Members that are learned from a transfer are passed on up to this size of the table. */
inline constexpr std::size_t MaxPassedOnTransfer = 256;

/** @brief Contacts are tried this often when a data centre has no live member, or no other member is known. */
inline constexpr core::Duration UrgentContactInterval = 1s;
inline constexpr core::Duration ContactInterval = 5s;
/** @brief Longer than the longest expected partition (an hour); after it, the log announces a host anew. */
inline constexpr core::Duration ContactRetention = 24h;
inline constexpr std::size_t MaxContacts = 4096;

}
