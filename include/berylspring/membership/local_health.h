#pragma once

#include "berylspring/core/time.h"

#include <mutex>

namespace berylspring::membership {

/**
 * @brief Estimate of how far this process can trust its own timers and network.
 *
 * The score grows with late ticks and with acks that are missing from several members in a row, and shrinks with each
 * ack. It multiplies the timeouts, so that an overloaded process blames others later.
 */
class LocalHealth
{
public:
    static constexpr int MaxScore = 8;
    /** Fewer missing acks in a row say more about their senders, also when a third of the members died at once. */
    static constexpr int TrustedMissesInARow = 3;

    void tickWasLate();
    void probeAnswered();
    void probeMissed();

    /** @return 0 (healthy) to MaxScore. */
    [[nodiscard]] int score() const;
    /** @return Factor for the timeouts of acks, 1 to 1 + MaxScore. */
    [[nodiscard]] int ackStretch() const;
    /**
     * @return Time that a suspect has to refute: a quarter of SuspicionTime more for each point of the score. It grows
     * less than the wait for acks, since a dead member must be out of use in 5 s also where many die at once.
     */
    [[nodiscard]] core::Duration suspicionTime() const;

private:
    mutable std::mutex m_mutex;
    int m_score = 0;
    int m_missesInARow = 0;
};

}
