#include "limit/fleet.h"
#include "support/section.h"

#include <chrono>
#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::Fleet;
using test::FleetPlan;
using test::section;

namespace {

/** The buckets of a new fleet are empty at first and full when this and burst / rate have passed. */
constexpr core::Duration WarmUp = 3s;

/** @brief Sends requests that one bucket with the whole limit would admit. */
class ConformingTraffic
{
public:
    /**
     * @param fleet Where to send them.
     * @param limit The limit.
     * @param utilisation Attempts per second, as a part of the rate.
     * @param hostAt Host for a request at a time.
     */
    ConformingTraffic(Fleet &fleet,
                      limit::WorkspaceLimit limit,
                      double utilisation,
                      std::function<int(core::Duration)> hostAt)
        : m_fleet(fleet)
        , m_limit(limit)
        , m_utilisation(utilisation)
        , m_hostAt(std::move(hostAt))
        , m_tokens(limit.burst())
    {
    }

    void sendBetween(core::Duration from, core::Duration to)
    {
        const core::Duration interval = limit::durationOf(1 / (m_limit.rate() * m_utilisation));
        for (core::Duration time = from; time < to; time += interval) {
            send(time);
        }
    }
    void send(core::Duration time)
    {
        m_tokens = std::min(m_limit.burst(), m_tokens + m_limit.rate() * limit::seconds(time - m_last));
        m_last = time;
        if (m_tokens >= 1) {
            m_tokens -= 1;
            ++m_sent;
            const int host = m_hostAt(time);
            m_fleet.at(time, [this, host] { m_fleet.request(host); });
        }
    }
    [[nodiscard]] int sent() const
    {
        return m_sent;
    }

private:
    Fleet &m_fleet;
    limit::WorkspaceLimit m_limit;
    double m_utilisation;
    std::function<int(core::Duration)> m_hostAt;
    double m_tokens;
    core::Duration m_last{};
    int m_sent = 0;
};

}

TEST_GROUP(ConformingTraffic){};

TEST(ConformingTraffic, probe)
{
    for (double burstSeconds : {0.02, 0.1, 1.0}) {
        for (double rate : {300.0, 3000.0}) {
            for (double utilisation : {0.3, 0.8, 1.0}) {
                for (int pattern = 0; pattern < 4; ++pattern) {
                    FleetPlan plan;
                    plan.limit = limit::WorkspaceLimit(rate, rate * burstSeconds);
                    Fleet fleet(plan);
                    fleet.run(14s);
                    int next = 0;
                    const auto hostAt = [&](core::Duration time) {
                        switch (pattern) {
                        case 0:
                            return next++ % 6;
                        case 1:
                            return next++ % 2;
                        case 2:
                            return static_cast<int>(time / 700ms) % 3 * 2 + next++ % 2;
                        default:
                            return next++ % 2;
                        }
                    };
                    ConformingTraffic traffic(fleet, plan.limit, utilisation, hostAt);
                    // needs the bucket warm
                    fleet.at(14s, [&] { fleet.request(0); });
                    for (core::Duration t = 20s; t < 30s; t += 500ms) {
                        if (pattern == 3) {
                            for (int i = 0; i < plan.limit.burst(); ++i) {
                                traffic.send(t);
                            }
                        }
                        traffic.sendBetween(t, t + 500ms);
                    }
                    fleet.run(19s);
                    const auto m0 = fleet.messages();
                    const int r0 = fleet.refusals();
                    fleet.run(31s);
                    std::printf("B=%.2fs R=%.0f u=%.1f pattern=%d sent=%d refused=%d messages=%lu excess=%.2f\n",
                                burstSeconds, rate, utilisation, pattern, traffic.sent(), fleet.refusals() - r0,
                                fleet.messages() - m0, test::excess(fleet.admissions(), plan.limit, 0ms, 100s));
                }
            }
        }
    }
}
