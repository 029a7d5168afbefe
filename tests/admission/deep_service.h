#pragma once

#include "berylspring/admission/return_schedule.h"
#include "berylspring/admission/root_admission.h"
#include "berylspring/core/digest.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace berylspring::test {

using namespace std::chrono_literals;

/** @brief When callers that are refused come back. */
enum class ReturnRule {
    Never,
    Constant, ///< After 0.7 s to 1.4 s.
    Promised, ///< As admission::ReturnSchedule tells them.
};

struct ReturnCounts
{
    double returned = 0;
    double refusedAgain = 0;
    double gaveUp = 0; ///< The told time was more than a third of the time that they had left.
};

/**
 * @brief Model of a deep service with limited capacity, and of the entry nodes in front of the services that call it.
 *
 * Time advances in steps. Calls beyond the capacity are queued, and responses report the queue time as pressure.
 * Callers that are refused give up, unless letCallersReturn() makes them come back to the same entry.
 */
class DeepService
{
public:
    explicit DeepService(double capacityPerSecond, int entries = 1)
        : m_capacity(capacityPerSecond)
    {
        for (int i = 0; i < entries; ++i) {
            m_entries.push_back(std::make_unique<admission::RootAdmission>([this] { return random(); }));
            m_schedules.push_back(std::make_unique<admission::ReturnSchedule>([this] { return random(); }));
        }
    }

    void setCapacity(double perSecond)
    {
        m_capacity = perSecond;
    }
    /** @return Share of the root requests sent since the last call of this function whose calls did not time out. */
    double succeeded()
    {
        const double sent = std::exchange(m_sent, 0);
        return 1 - std::exchange(m_failed, 0) / sent;
    }

    /** @brief Sets the rate at which requests of one class arrive, and how often each one calls the deep service. */
    void offer(const admission::RootClass &root, double perSecond, double calls)
    {
        m_offered[root.route.value()] = {root, perSecond, calls, 0};
    }
    /** @brief As above, for the requests of one workspace. */
    void offer(const admission::RootClass &root, double perSecond, double calls, const core::WorkspaceId &workspace)
    {
        m_offered[workspace.value()] = {root, perSecond, calls, 0, workspace};
    }
    /** @brief From now on entries shed requests by the fair shares of their workspaces. */
    void shareAmongWorkspaces()
    {
        m_isShared = true;
    }

    /** @return Share of the requests of each route or workspace that were sent, by its name. */
    std::map<std::string, double> run(core::Duration time)
    {
        std::map<std::string, double> asked;
        std::map<std::string, double> sent;
        for (core::Duration passed{}; passed < time; passed += Step) {
            m_now += Step;
            learnEnded();
            m_backlog = std::max(0.0, m_backlog - m_capacity * seconds(Step));
            sendReturned();
            for (auto &[name, offer] : m_offered) {
                offer.due += offer.perSecond * seconds(Step);
                for (; offer.due >= 1; offer.due -= 1) {
                    asked[name] += 1;
                    sent[name] += send(offer) ? 1 : 0;
                }
            }
        }
        for (auto &[name, count] : sent) {
            count /= asked[name];
        }
        return sent;
    }

    /** @brief From now on an entry learns of a queue time only when the root request that observed it has ended. */
    void delayFeedback()
    {
        m_isFeedbackLate = true;
    }
    /** @brief Makes refused callers come back at the told time while it is within a third of the time that they have.
     */
    void letCallersReturn(ReturnRule rule, core::Duration deadline)
    {
        m_returnRule = rule;
        m_callerDeadline = deadline;
    }
    /** @return What became of the callers that came back since the last call of this function. */
    ReturnCounts returns()
    {
        return std::exchange(m_returns, {});
    }
    /** @return The longest queue time since the last call of this function. */
    double longestWaitSeconds()
    {
        return std::exchange(m_longestWait, 0);
    }
    [[nodiscard]] double waitSeconds() const
    {
        return m_backlog / m_capacity;
    }

private:
    struct Offer
    {
        admission::RootClass root;
        double perSecond = 0;
        double calls = 0;
        double due = 0;
        core::WorkspaceId workspace{};
    };
    struct Caller
    {
        admission::RootClass root;
        double calls = 0;
        std::size_t entry = 0;
        core::TimePoint deadline;
        std::uint64_t number = 0;
        core::WorkspaceId workspace{};
    };
    static constexpr core::Duration Step = 5ms;
    static constexpr double PressureWaitSeconds = 0.040;
    /** Timeout of a call at the endpoint that makes it. */
    static constexpr double PatienceSeconds = 0.7;

    static double seconds(core::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    std::uint64_t random()
    {
        return m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL;
    }

    bool send(const Offer &offer)
    {
        const std::size_t entry = (random() >> 32U) % m_entries.size();
        return attempt(
            Caller{offer.root, offer.calls, entry, m_now + m_callerDeadline, m_nextCaller++, offer.workspace});
    }

    /** Sends the requests of callers whose time to return has come. */
    void sendReturned()
    {
        while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
            const Caller caller = m_returning.extract(m_returning.begin()).mapped();
            m_returns.returned += 1;
            m_returns.refusedAgain += attempt(caller) ? 0 : 1;
        }
    }

    void refuse(const Caller &caller, const admission::ReturningRequest &request)
    {
        const core::Duration remaining = caller.deadline - m_now;
        core::Duration wait = 700ms + core::Duration((random() >> 16U) % core::Duration(700ms).count());
        if (m_returnRule == ReturnRule::Promised) {
            const bool canPromise = !m_entries[caller.entry]->shedsMoreImportant(caller.root, m_now);
            admission::ReturnSchedule &schedule = *m_schedules[caller.entry];
            wait = (canPromise ? schedule.promise(request, remaining, m_now) : schedule.withoutPromise(remaining)).wait;
        }
        if (wait <= remaining / 3) {
            m_returning.emplace(m_now + wait, caller);
        } else {
            m_returns.gaveUp += 1;
        }
    }

    bool attempt(const Caller &caller)
    {
        admission::RootAdmission &entry = *m_entries[caller.entry];
        const admission::ReturningRequest request{.digest = core::sha256(std::to_string(caller.number)),
                                                  .service = caller.root.service,
                                                  .rank = admission::RootAdmission::rankOf(caller.root)};
        const bool hasPromise =
            m_returnRule == ReturnRule::Promised && m_schedules[caller.entry]->takePromise(request, m_now);
        const std::optional<admission::WorkspaceLoad> load =
            m_isShared ? std::optional(admission::WorkspaceLoad{.workspace = caller.workspace}) : std::nullopt;
        if (!entry.decide({.root = caller.root, .hasPromise = hasPromise, .load = load}, m_now).isAdmitted) {
            if (m_returnRule != ReturnRule::Never) {
                refuse(caller, request);
            }
            return false;
        }
        // Calls that would wait for longer than their timeout leave the queue.
        m_backlog = std::min(m_backlog + caller.calls, std::max(m_backlog, 1.02 * m_capacity * PatienceSeconds));
        const double wait = waitSeconds();
        const double latency = 0.200 + (caller.calls > 0 ? wait : 0);
        m_longestWait = std::max(m_longestWait, wait);
        m_sent += 1;
        m_failed += wait > PatienceSeconds ? 1 : 0;
        const auto duration = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(latency));
        m_running.emplace(m_now + (m_isFeedbackLate ? duration : core::Duration::zero()),
                          std::tuple(caller.entry,
                                     caller.root,
                                     admission::RootResult{.pressure = wait / PressureWaitSeconds,
                                                           .latency = duration,
                                                           .isFailed = wait > PatienceSeconds}));
        return true;
    }

    /** Passes the results of root requests that have ended to their entry nodes. */
    void learnEnded()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            const auto &[entry, root, result] = m_running.begin()->second;
            m_entries[entry]->recordResult(root, result, m_now);
            if (!result.isFailed && m_returnRule == ReturnRule::Promised) {
                m_schedules[entry]->recordAdmitted(root.service, m_now);
            }
            m_running.erase(m_running.begin());
        }
    }

    double m_capacity;
    double m_backlog = 0; ///< Calls queued at the deep service.
    std::map<std::string, Offer> m_offered;
    std::multimap<core::TimePoint, std::tuple<std::size_t, admission::RootClass, admission::RootResult>>
        m_running; ///< By the time at which they end.
    bool m_isFeedbackLate = false;
    bool m_isShared = false;
    double m_longestWait = 0;
    double m_sent = 0;
    double m_failed = 0;
    std::uint64_t m_state = 1;
    std::vector<std::unique_ptr<admission::RootAdmission>> m_entries;
    std::vector<std::unique_ptr<admission::ReturnSchedule>> m_schedules;
    std::multimap<core::TimePoint, Caller> m_returning; ///< By the time at which they come back.
    ReturnRule m_returnRule = ReturnRule::Never;
    core::Duration m_callerDeadline{};
    std::uint64_t m_nextCaller = 0;
    ReturnCounts m_returns;
    core::TimePoint m_now{1h};
};

}
