#pragma once

#include "berylspring/core/time.h"

#include <algorithm>
#include <chrono>

namespace berylspring::node {

/** @brief Times of a graceful stop, fixed when it begins. */
class StopSchedule
{
public:
    /**
     * @param begin Time of the request to stop.
     * @param linger Time for which requests are accepted unconditionally.
     * @param timeout Time after which running requests are aborted; at least the linger time.
     */
    StopSchedule(core::TimePoint begin, core::Duration linger, core::Duration timeout) noexcept
        : m_lingerUntil(begin + linger)
        , m_abortAt(begin + timeout)
        , m_answerGrace(std::min<core::Duration>(MaxAnswerGrace, timeout / AnswerGraceDivisor))
    {
    }

    [[nodiscard]] core::TimePoint lingerUntil() const noexcept
    {
        return m_lingerUntil;
    }
    [[nodiscard]] core::TimePoint abortAt() const noexcept
    {
        return m_abortAt;
    }
    /**
     * @param timeout Time that is left for the request.
     * @param now Arrival of the request.
     * @return Whether a new root request is accepted: callers are still leaving, or it ends by itself before the abort.
     */
    [[nodiscard]] bool accepts(core::Duration timeout, core::TimePoint now) const noexcept
    {
        return now < m_lingerUntil || now + timeout <= m_abortAt;
    }
    /** @return Time after which the endpoint of a nested call must stop its work; negative when none is left. */
    [[nodiscard]] core::Duration timeForNested(core::TimePoint now) const noexcept
    {
        return m_abortAt - AnswerReserve - m_answerGrace - now;
    }
    /**
     * @return Time for which the answer of an endpoint is awaited after timeForNested(). An endpoint that has run out
     * of time says so itself; without this time, the abort would overtake its answer.
     */
    [[nodiscard]] core::Duration answerGrace() const noexcept
    {
        return m_answerGrace;
    }
    [[nodiscard]] bool operator==(const StopSchedule &) const = default;

private:
    /** In which the answer of a nested call reaches its caller. */
    static constexpr core::Duration AnswerReserve = std::chrono::milliseconds(50);

    /** Covers the answer of an endpoint on a busy host. */
    static constexpr core::Duration MaxAnswerGrace = std::chrono::milliseconds(300);
    /** Leaves most of a short stop to the calls themselves. */
    static constexpr int AnswerGraceDivisor = 10;

    core::TimePoint m_lingerUntil;
    core::TimePoint m_abortAt;
    core::Duration m_answerGrace;
};

}
