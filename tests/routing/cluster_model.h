#pragma once

#include "berylspring/routing/router.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief Parameters of the endpoints of one service and the entry nodes that route to them; times in seconds. */
struct ClusterSettings
{
    routing::RouterSettings router;
    int endpoints = 6;
    int entries = 6;
    std::uint32_t slots = 30;
    double serviceTime = 0.020; ///< Mean.
    double load = 0.9; ///< Offered requests relative to the capacity of all slots.
    double reportInterval = 0.2;
    bool isFirstSlow = false; ///< The first endpoint runs at a tenth of the speed.
    bool isFirstStuckAtIdle = false; ///< The first endpoint reports no load; its responses report the correct one.
    std::vector<double> speeds{1}; ///< Relative speeds of the endpoints, repeated in this order.
    double heavyShare = 0; ///< Share of the requests on a second route that needs five times the time.
    double rareShare = 0; ///< Share of the requests of each route that take five times their mean by chance.
    double paceInterval = 0; ///< Time after which each endpoint draws its pace from 0.6 to 2 anew; 0: constant.
    bool isPaceReported = false;
    bool isPaceFalse = false; ///< The reported pace is unrelated to the real one.
    bool isFirstIdleInAll = false; ///< The first endpoint and its node report no load, no work and a pace of 1.
    double length = 20;
    std::uint64_t seed = 1;
};

/** @brief Discrete-event simulation without real time. Each endpoint runs as many requests as slots and queues others.
 */
class ClusterModel
{
public:
    explicit ClusterModel(const ClusterSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_servers(static_cast<std::size_t>(settings.endpoints))
    {
        for (int i = 0; i < settings.entries; ++i) {
            auto generator = std::make_shared<std::mt19937_64>(settings.seed * 1000 + static_cast<std::uint64_t>(i));
            m_routers.push_back(std::make_unique<routing::Router>(
                routing::RouterHooks{[generator] { return (*generator)(); }}, settings.router));
        }
        for (int i = 0; i < settings.endpoints; ++i) {
            routing::EndpointViewFields fields;
            fields.host = core::HostId("h" + std::to_string(i));
            fields.service = m_service;
            fields.slots = settings.slots;
            fields.reportedAt = at(0);
            fields.firstSeen = at(0) - std::chrono::hours(1);
            m_views.emplace_back(fields);
        }
    }

    void run()
    {
        double nextArrival = 0;
        double nextReport = 0;
        double speed = 0;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            speed += speedOf(i);
        }
        const double meanFactor =
            (1 + m_settings.heavyShare * (LongFactor - 1)) * (1 + m_settings.rareShare * (LongFactor - 1));
        const double rate = m_settings.load * speed * m_settings.slots / m_settings.serviceTime / meanFactor;
        while (m_now < m_settings.length) {
            const double nextEnd = m_ends.empty() ? m_settings.length : m_ends.top().at;
            m_now = std::min({nextArrival, nextReport, nextEnd});
            if (m_settings.paceInterval > 0 && m_now >= m_nextPace) {
                changePaces();
                m_nextPace = m_now + m_settings.paceInterval;
            }
            if (m_now == nextReport) {
                report();
                nextReport += m_settings.reportInterval;
            } else if (m_now == nextArrival) {
                arrive();
                nextArrival += exponential() / rate;
            } else {
                end();
            }
        }
        std::sort(m_latencies.begin(), m_latencies.end());
    }
    [[nodiscard]] double meanLatency() const
    {
        return std::accumulate(m_latencies.begin(), m_latencies.end(), 0.0) / static_cast<double>(m_latencies.size());
    }
    /** @return Highest mean of the requests at one endpoint, relative to the mean of all. */
    [[nodiscard]] double busiestToMean() const
    {
        double sum = 0;
        double highest = 0;
        for (const Server &server : m_servers) {
            sum += server.load;
            highest = std::max(highest, server.load);
        }
        return highest * static_cast<double>(m_servers.size()) / sum;
    }
    /** @return Requests that were sent to the endpoint. */
    [[nodiscard]] std::uint64_t sentTo(std::size_t server) const
    {
        return m_servers[server].sent;
    }
    /** @return Latency in seconds that this share of the finished requests did not exceed, 0 to 1. */
    [[nodiscard]] double latencyQuantile(double share) const
    {
        return m_latencies[static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1))];
    }
    /** @return Share of all requests that were sent to the first endpoint, 0 to 1. */
    [[nodiscard]] double shareOfFirst() const
    {
        return static_cast<double>(m_sentToFirst) / static_cast<double>(m_sent);
    }

private:
    struct Job
    {
        std::size_t entry = 0;
        double sentAt = 0;
        bool isHeavy = false;
        double expectedCost = 0; ///< To the entry.
        double startedAt = 0;
    };
    struct Server
    {
        std::uint32_t running = 0;
        std::deque<Job> waiting;
        double pace = 1;
        double work = 0; ///< Mean time of all requests at the server, in its own time.
        double load = 0; ///< Sum of the requests at the server, as seen by each arrival.
        std::uint64_t sent = 0;
    };
    struct End
    {
        double at = 0;
        std::size_t server = 0;
        Job job;
        [[nodiscard]] bool operator<(const End &other) const
        {
            return at > other.at;
        }
    };

    static constexpr double LongFactor = 5;

    [[nodiscard]] double speedOf(std::size_t server) const
    {
        constexpr double SlowFactor = 10;
        const bool isSlow = server == 0 && m_settings.isFirstSlow;
        return m_settings.speeds[server % m_settings.speeds.size()] / (isSlow ? SlowFactor : 1);
    }
    [[nodiscard]] double meanTime(std::size_t server, const Job &job) const
    {
        return m_settings.serviceTime * (job.isHeavy ? LongFactor : 1) / speedOf(server);
    }
    static routing::CostClass classOf(const Job &job)
    {
        return routing::costClassOf(core::RouteId(job.isHeavy ? "heavy" : "light"), "GET");
    }
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    void changePaces()
    {
        for (Server &server : m_servers) {
            server.pace = std::exp2(uniform(-0.74, 1));
        }
    }
    double reportedPace(std::size_t server)
    {
        if (!m_settings.isPaceReported) {
            return 0;
        }
        if (server == 0 && m_settings.isFirstIdleInAll) {
            return 1;
        }
        return m_settings.isPaceFalse ? std::exp2(uniform(-0.74, 1)) : m_servers[server].pace;
    }
    static core::TimePoint at(double seconds)
    {
        return core::TimePoint{std::chrono::hours(2)}
               + std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
    }
    double exponential()
    {
        return std::exponential_distribution<double>(1)(m_random);
    }
    [[nodiscard]] std::uint32_t loadOf(std::size_t server) const
    {
        return m_servers[server].running + static_cast<std::uint32_t>(m_servers[server].waiting.size());
    }
    void report()
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            const bool isStuck = i == 0 && (m_settings.isFirstStuckAtIdle || m_settings.isFirstIdleInAll);
            m_views[i] = m_views[i]
                             .with(&routing::EndpointViewFields::reportedLoad, isStuck ? 0.0 : double(loadOf(i)))
                             .with(&routing::EndpointViewFields::reportedAt, at(m_now));
        }
    }
    void arrive()
    {
        const std::size_t entry = m_random() % m_routers.size();
        Job job{entry, m_now, m_settings.heavyShare > 0 && uniform(0, 1) < m_settings.heavyShare};
        routing::RoutingRequest request{m_service, {}, 0, {}};
        request.costClass = classOf(job);
        const auto decision = m_routers[entry]->choose(request, m_views, at(m_now));
        const std::size_t server = std::stoul(decision.host->value().substr(1));
        job.expectedCost = m_routers[entry]->started(m_service, *decision.host, at(m_now), request.costClass);
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            m_servers[i].load += loadOf(i);
        }
        ++m_servers[server].sent;
        m_servers[server].work += meanTime(server, job);
        ++m_sent;
        m_sentToFirst += server == 0 ? 1 : 0;
        if (m_servers[server].running < m_settings.slots) {
            start(server, job);
        } else {
            m_servers[server].waiting.push_back(job);
        }
    }
    void start(std::size_t server, const Job &job)
    {
        const bool isRare = m_settings.rareShare > 0 && uniform(0, 1) < m_settings.rareShare;
        const double factor = m_servers[server].pace * (isRare ? LongFactor : 1);
        ++m_servers[server].running;
        End end{m_now + factor * meanTime(server, job) * (0.3 + 0.7 * exponential()), server, job};
        end.job.startedAt = m_now;
        m_ends.push(end);
    }
    void end()
    {
        const End ended = m_ends.top();
        m_ends.pop();
        Server &server = m_servers[ended.server];
        --server.running;
        const double latency = m_now - ended.job.sentAt;
        m_latencies.push_back(latency);
        server.work = std::max(0.0, server.work - meanTime(ended.server, ended.job));
        const bool isIdle = ended.server == 0 && m_settings.isFirstIdleInAll;
        const routing::WorkReport report{.costClass = classOf(ended.job),
                                         .expectedCost = ended.job.expectedCost,
                                         .serviceTime = at(m_now - ended.job.startedAt) - at(0),
                                         .waitTime = at(ended.job.startedAt) - at(ended.job.sentAt),
                                         .hasAnswer = true,
                                         .outstandingWork = isIdle ? 0 : server.work,
                                         .pace = reportedPace(ended.server)};
        m_routers[ended.job.entry]->finished(m_service,
                                             m_views[ended.server]->host,
                                             routing::RoutingResult::Ok,
                                             at(latency) - at(0),
                                             isIdle ? 0 : loadOf(ended.server),
                                             at(m_now),
                                             report);
        if (!server.waiting.empty()) {
            const Job next = server.waiting.front();
            server.waiting.pop_front();
            start(ended.server, next);
        }
    }

    ClusterSettings m_settings;
    core::ServiceId m_service{"visits"};
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<routing::Router>> m_routers;
    std::vector<routing::EndpointView> m_views;
    std::vector<Server> m_servers;
    std::priority_queue<End> m_ends;
    std::vector<double> m_latencies;
    double m_now = 0;
    double m_nextPace = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_sentToFirst = 0;
};

}
