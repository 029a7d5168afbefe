#pragma once

#include "berylspring/core/time.h"

#include <mutex>

namespace berylspring::membership {

/**
 * @brief Local health score as in Lifeguard: how likely delays are caused by this process and its network.
 *
 * The score grows with late ticks and with acks that are missing from several members in a row, and shrinks with each
 * ack. It multiplies the timeouts, so that an overloaded process suspects others later.
 */
class LocalHealth
{
public:
    static constexpr int MaxScore = 8;
    /** Fewer consecutive missed acks point to the probed members, even if a third of all members died at once. */
    static constexpr int MissThreshold = 3;

    void recordLateTick();
    void recordAck();
    void recordMissedAck();

    /** @return 0 (healthy) to MaxScore. */
    [[nodiscard]] int score() const;
    /** @return Factor for the ack timeouts, 1 to 1 + MaxScore. */
    [[nodiscard]] int ackTimeoutFactor() const;
    /**
     * @return Time for a suspect to refute: SuspicionTime plus a quarter of it for each point of the score. It grows
     * more slowly than the ack timeouts, since a dead member must be out of use in 5 s even if many die at once.
     */
    [[nodiscard]] core::Duration suspicionTime() const;

private:
    mutable std::mutex m_mutex;
    int m_score = 0;
    int m_consecutiveMisses = 0;
};

}
