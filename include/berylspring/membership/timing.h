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
/** @brief The same in a data centre that has a suspect member, since a failure often takes many of its hosts. */
inline constexpr core::Duration SuspectProbeInterval = 100ms;

/** @brief Timeout of a direct probe, and again of the indirect probes, inside the data centre. */
inline constexpr core::Duration LocalAckTimeout = 200ms;
/** @brief The same across data centres, where a round trip between regions may take 300 ms. */
inline constexpr core::Duration RemoteAckTimeout = 500ms;
inline constexpr std::size_t IndirectProbeCount = 3;

inline constexpr core::Duration SuspicionTime = 1500ms;
/**
 * @brief How long dead and left members are kept, so that late updates do not bring them back. Claims are kept for 10
 * min after requests that may run for 1 min, and their home hosts must know which hosts may have held them.
 */
inline constexpr core::Duration DeadRetention = 11min;

/** @brief A tick that is later than this lowers the local health and extends the open deadlines. */
inline constexpr core::Duration LateTickTolerance = 50ms;
/** @brief A tick that is later than this means that the process was paused. */
inline constexpr core::Duration PauseThreshold = 1s;

/** @brief Limit of a datagram; 1400 bytes pass every common path without fragmentation. */
inline constexpr std::size_t MaxDatagramBytes = 1400;
inline constexpr std::size_t MaxUpdatesPerDatagram = 8;

/** @brief Members that a refutation is sent to at once; also the mean number of members that ping a suspect. */
inline constexpr std::size_t RefutationFanout = 32;

/** @brief Datagrams per tick while a push to all members runs: 15,000 members take 1.2 s. */
inline constexpr std::size_t PushesPerTick = 640;
/** @brief Datagrams per tick and receiver while the table is sent; 64 x 1400 bytes fit the usual socket buffer. */
inline constexpr std::size_t SyncDatagramsPerTick = 64;
/** @brief A second request for the table follows after this time, since datagrams of the first may be lost. */
inline constexpr core::Duration SyncInterval = 2s;
/** @brief The third request follows when members that started at the same time have converged. */
inline constexpr core::Duration LastSyncInterval = 8s;

/** @brief Members that are learned from a transfer are gossiped up to this size of the table. */
inline constexpr std::size_t MaxGossipedTableSize = 256;

/** @brief Immediate tries of each contact in the own data centre; the second one covers the loss of the first. */
inline constexpr int InitialContactTries = 2;
/** @brief Limit of immediate tries per tick: 1,667 hosts of a data centre take 0.7 s. */
inline constexpr std::size_t InitialContactsPerTick = 128;
/** @brief Interval of contacts in a data centre without a live member. */
inline constexpr core::Duration UrgentContactInterval = 1s;
inline constexpr core::Duration ContactInterval = 5s;
/** @brief Longer than the longest expected partition (an hour); after it, the log announces a host again. */
inline constexpr core::Duration ContactRetention = 24h;
inline constexpr std::size_t MaxContacts = 4096;

}
