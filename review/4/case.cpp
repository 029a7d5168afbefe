// LOST: a stopping process takes calls of its upstream that it cuts at the end of the grace.
#include "../support/rig.h"

using namespace review;

namespace {

constexpr milliseconds StableWindow(3000);
constexpr milliseconds Grace(6000);

bool isRuleBroken(Record &record)
{
    Deployment deployment({{"zone-a", "front"}, {"zone-a", "back"}}, record);
    deployment.store->put("keyed.op",
                          "config",
                          configuration(1,
                                        {{.name = "r-root", .prefix = "/root/", .service = "front", .timeoutMs = 8000},
                                         {.name = "r-inner", .prefix = "/inner/", .service = "back", .isPublic = true}},
                                        R"([{"Name":"garden","ApiKeys":["key-of-garden"],"Priority":1}])"));
    deployment.startAll();
    const Machine &first = deployment.machine(0);
    Endpoint front(first, "i-front", 8, record);
    Endpoint back(deployment.machine(1), "i-back", 8, record);
    front.startHeartbeats(milliseconds(1500));
    back.startHeartbeats(milliseconds(1500));
    deployment.waitUntilReady();
    sleepFor(StableWindow + milliseconds(500));
    if (send(first.outbound(), {.target = "/root/x?calls=1&call_ms=5", .id = "first", .key = "key-of-garden"}).status
        != 200) {
        throw std::runtime_error("the routes are not served");
    }
    std::thread client([&] {
        const Answer answer =
            send(first.outbound(),
                 {.target = "/root/x?calls=16&call_ms=400", .id = "long", .deadlineMs = 8000, .key = "key-of-garden"});
        record.line("the client of the root request got " + std::to_string(answer.status));
    });
    sleepFor(milliseconds(200));
    const TimePoint signalAt = Clock::now();
    if (isTroubleOn()) {
        deployment.signal(first, SIGTERM);
        if (!deployment.waitForEnd(first, Grace)) {
            deployment.signal(first, SIGKILL);
        }
    }
    client.join();
    sleepFor(milliseconds(600));
    std::map<std::string, Run> runs;
    for (const Run &run : back.runs()) {
        runs[run.id] = run;
    }
    int broken = 0;
    for (const auto &[id, answer] : front.calls()) {
        const auto run = runs.find(id);
        const bool isAtWork = run != runs.end() && run->second.isStarted
                              && (run->second.isDropped || run->second.endedAt > answer.endedAt);
        const bool isLateInGrace = answer.sentAt > signalAt + milliseconds(3000);
        const bool isInTime = answer.endedAt < answer.sentAt + milliseconds(2000);
        if (answer.status != 200 && isAtWork && isLateInGrace && isInTime) {
            record.line("CUT " + id + ", sent " + std::to_string(seconds(answer.sentAt) - seconds(signalAt))
                        + " s after SIGTERM, ended " + std::to_string(seconds(answer.endedAt) - seconds(signalAt))
                        + " s after it with status " + std::to_string(answer.status)
                        + " while its upstream was at work");
            ++broken;
        }
    }
    record.line(std::to_string(broken) + " calls were cut");
    return broken > 0;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, isRuleBroken);
}
