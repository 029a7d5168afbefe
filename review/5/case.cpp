// DRAIN: requests that wait for a slot reach an upstream that has left.
#include "../support/rig.h"

using namespace review;

namespace {

constexpr milliseconds DrainBound(2000);
constexpr milliseconds StableWindow(3000);
constexpr int Slots = 4;
constexpr int Calls = 24;
constexpr int WarmUpCalls = 30;

bool isRuleBroken(Record &record)
{
    Deployment deployment({{"zone-a", "front"}, {"zone-a", "back"}}, record);
    deployment.store->put(
        "keyed.op",
        "config",
        configuration(1, {{.name = "r-inner", .prefix = "/inner/", .service = "back", .isPublic = true}}));
    deployment.startAll();
    Endpoint front(deployment.machine(0), "i-front", 8, record);
    Endpoint back(deployment.machine(1), "i-back", Slots, record);
    front.startHeartbeats(milliseconds(1500));
    back.startHeartbeats(milliseconds(1500));
    deployment.waitUntilReady();
    sleepFor(StableWindow + milliseconds(500));
    const Address outbound = deployment.machine(0).outbound();
    // Ordinary calls, so that the node knows how long its upstream takes.
    for (int number = 0; number < WarmUpCalls; ++number) {
        const std::string id = "ordinary-" + std::to_string(number);
        if (send(outbound, {.target = "/inner/x?work_ms=100", .id = id}).status != 200) {
            throw std::runtime_error("the route is not served");
        }
    }
    // The upstream of the first machine makes many calls at once.
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::map<int, int> statuses;
    for (int number = 0; number < Calls; ++number) {
        callers.emplace_back([&, number] {
            const Answer answer =
                send(outbound, {.target = "/inner/x?work_ms=800", .id = "call-" + std::to_string(number)});
            record.line("call-" + std::to_string(number) + " answered " + std::to_string(answer.status));
            const std::scoped_lock lock(mutex);
            ++statuses[answer.status];
        });
    }
    sleepFor(milliseconds(300));
    std::optional<TimePoint> acknowledgedAt;
    if (isTroubleOn()) {
        acknowledgedAt = back.drain();
        if (!acknowledgedAt) {
            throw std::runtime_error("draining was not acknowledged");
        }
        record.line("i-back drains, acknowledged");
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const auto &[status, count] : statuses) {
        record.line(std::to_string(count) + " calls were answered " + std::to_string(status));
    }
    int late = 0;
    for (const Run &run : back.runs()) {
        if (acknowledgedAt && run.arrivedAt > *acknowledgedAt + DrainBound) {
            record.line("LATE " + run.id + " reached i-back "
                        + std::to_string(seconds(run.arrivedAt) - seconds(*acknowledgedAt))
                        + " s after the acknowledgement");
            ++late;
        }
    }
    record.line(std::to_string(late) + " requests reached a leaving upstream after the bound");
    return late > 0;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, isRuleBroken);
}
