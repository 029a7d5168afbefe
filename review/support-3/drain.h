// What the cases about acknowledged leaves have in common: three machines, traffic, and the check of DRAIN.
#pragma once

#include "rig.h"

namespace rig {

constexpr double DrainSeconds = 2; // DrainMs

// TROUBLE=0: none; TROUBLE=kill: the processes are killed, but the store serves all; else both.
inline std::string trouble()
{
    const char *setting = std::getenv("TROUBLE");
    return setting == nullptr ? "1" : setting;
}

[[noreturn]] inline void finish(Deployment &deployment, int status, const std::string &text)
{
    std::puts(text.c_str());
    std::fflush(stdout);
    record.line("%s", text.c_str());
    deployment.stop();
    std::_Exit(status);
}

inline void startThree(Deployment &deployment)
{
    deployment.start({"front", "front", "front"}, 1, "target/berylspringd");
    for (std::size_t i = 1; i < deployment.nodes.size(); ++i) {
        deployment.upstreams.push_back(std::make_unique<Upstream>());
        deployment.upstreams.back()->start(
            deployment.nodes[i]->machine.ip, *deployment.nodes[i], "i-" + std::to_string(i + 1), unixMs());
    }
    deployment.configure(tenant("t1", "\"key-1\""), route("r1", "/u/", "front", "unsafe", 2));
}

// Requests of clients at all machines until told to stop.
class Traffic
{
public:
    explicit Traffic(Deployment &deployment)
    {
        for (std::size_t i = 0; i < 6; ++i) {
            m_threads.emplace_back([this, &deployment, i] {
                const std::size_t node = i % deployment.nodes.size();
                Client client = deployment.client(node);
                while (m_isOn) {
                    Call call;
                    call.id = "m" + std::to_string(node + 1) + "-" + std::to_string(++m_next);
                    call.method = "POST";
                    call.host = "shop.example";
                    call.target = "/u/x";
                    call.key = "key-1";
                    const double sentAt = now();
                    const Answer answer = client.call(call);
                    record.line("client at m%zu: %s sent at %.3f, answered %d",
                                node + 1,
                                call.id.c_str(),
                                sentAt,
                                answer.status);
                    ++(answer.status == 200 ? m_served : m_others);
                    pause(0.05);
                }
            });
        }
    }
    int stop()
    {
        m_isOn = false;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        return m_served;
    }

private:
    std::atomic<bool> m_isOn = true;
    std::atomic<int> m_next = 0;
    std::atomic<int> m_served = 0;
    std::atomic<int> m_others = 0;
    std::vector<std::thread> m_threads;
};

// @param inTouchFrom Requests that reach the upstream before are not counted.
// @param taker Begin of the ids of the requests that are counted; empty for all.
inline int lateRuns(const std::string &instance, double acknowledgedAt, double inTouchFrom, const std::string &taker)
{
    int late = 0;
    for (const Run &run : runs.all()) {
        late += run.id.rfind(taker, 0) == 0 && run.instance == instance && run.at > acknowledgedAt + DrainSeconds
                        && run.at >= inTouchFrom
                    ? 1
                    : 0;
    }
    return late;
}

inline void killAll(Deployment &deployment)
{
    for (const auto &node : deployment.nodes) {
        node->signal(SIGKILL, "SIGKILL");
    }
    for (const auto &node : deployment.nodes) {
        node->wait(2);
    }
}

}
