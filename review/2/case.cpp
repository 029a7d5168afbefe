// QUOTA: processes that start while the store is down each take themselves for the only node of their zone.
#include "../support/rig.h"

using namespace review;

namespace {

constexpr milliseconds StableWindow(3000);
constexpr int Rate = 100;
constexpr int Burst = 100;
constexpr double WindowS = 5;
constexpr double Excess = 0.1;
constexpr double Slack = 20;
constexpr milliseconds Outage(4500);
constexpr std::size_t Machines = 6;

bool isRuleBroken(Record &record)
{
    std::vector<std::pair<std::string, std::string>> places;
    const std::array<std::string, 3> zones{"zone-a", "zone-b", "zone-c"};
    for (std::size_t number = 0; number < Machines; ++number) {
        places.emplace_back(zones[number % 3], "visits");
    }
    Deployment deployment(places, record);
    deployment.store->put("keyed.op",
                          "config",
                          configuration(1,
                                        {{.name = "r-visits", .prefix = "/visits/", .service = "visits"}},
                                        R"([{"Name":"garden","ApiKeys":["key-of-garden"],"Priority":1,"RatePerS":)"
                                            + std::to_string(Rate) + R"(,"Burst":)" + std::to_string(Burst) + "}]"));
    deployment.startAll();
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (std::size_t number = 0; number < Machines; ++number) {
        endpoints.push_back(
            std::make_unique<Endpoint>(deployment.machine(number), "i-" + std::to_string(number + 1), 60, record));
        endpoints.back()->startHeartbeats(milliseconds(1500));
    }
    deployment.waitUntilReady();
    sleepFor(StableWindow);
    std::atomic<bool> isOver{false};
    std::mutex mutex;
    std::map<std::string, TimePoint> sentAt;
    std::map<int, int> statuses;
    std::vector<std::thread> clients;
    constexpr int ClientsPerMachine = 8;
    for (std::size_t number = 0; number < Machines; ++number) {
        for (int client = 0; client < ClientsPerMachine; ++client) {
            clients.emplace_back([&, number, client] {
                int count = 0;
                while (!isOver) {
                    const std::string id =
                        "m" + std::to_string(number + 1) + "c" + std::to_string(client) + "-" + std::to_string(++count);
                    {
                        const std::scoped_lock lock(mutex);
                        sentAt[id] = Clock::now();
                    }
                    const Answer answer =
                        send(deployment.machine(number).outbound(),
                             {.target = "/visits/x?work_ms=5", .id = id, .deadlineMs = 2000, .key = "key-of-garden"});
                    {
                        const std::scoped_lock lock(mutex);
                        ++statuses[answer.status];
                    }
                    sleepFor(milliseconds(40));
                }
            });
        }
    }
    sleepFor(milliseconds(6000));
    const TimePoint troubleAt = Clock::now();
    if (isTroubleOn()) {
        deployment.store->setBusy(true);
        record.line("the store is busy");
        for (std::size_t number = 0; number < Machines; ++number) {
            deployment.signal(deployment.machine(number), SIGKILL);
        }
        for (std::size_t number = 0; number < Machines; ++number) {
            deployment.waitForEnd(deployment.machine(number), milliseconds(1000));
        }
        std::this_thread::sleep_until(troubleAt + milliseconds(300));
        for (std::size_t number = 0; number < Machines; ++number) {
            deployment.start(deployment.machine(number), false);
        }
        std::this_thread::sleep_until(troubleAt + Outage);
        deployment.store->setBusy(false);
        record.line("the store serves again");
    }
    std::this_thread::sleep_until(troubleAt + milliseconds(14000));
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    // Requests that were sent and arrived in the window.
    std::vector<std::pair<TimePoint, TimePoint>> arrivals;
    for (const auto &endpoint : endpoints) {
        for (const Run &run : endpoint->runs()) {
            if (run.isStarted && run.workspace == "garden") {
                arrivals.emplace_back(run.arrivedAt, sentAt.at(run.id));
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    const auto length = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(WindowS));
    int most = 0;
    TimePoint mostAt;
    for (const auto &[end, sentOfEnd] : arrivals) {
        int count = 0;
        for (const auto &[arrivedAt, sent] : arrivals) {
            count += arrivedAt <= end && arrivedAt > end - length && sent > end - length ? 1 : 0;
        }
        if (count > most) {
            most = count;
            mostAt = end;
        }
    }
    const double allowed = (Rate * WindowS + Burst) * (1 + Excess) + Slack;
    for (const auto &[status, count] : statuses) {
        record.line(std::to_string(count) + " requests were answered " + std::to_string(status));
    }
    record.line("most requests of the tenant that were sent and run in 5 s: " + std::to_string(most) + ", until "
                + std::to_string(seconds(mostAt)) + "; allowed: " + std::to_string(allowed));
    return most > allowed;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, isRuleBroken);
}
