// The store does a write of leaves late, over a newer one; then all processes are killed, and a late heartbeat arrives.
#include "../support-3/drain.h"

using namespace rig;

int main(int, char **argv)
{
    const bool isKilled = trouble() != "0";
    const bool isWriteLost = isKilled && trouble() != "kill";
    record.open(argv[1]);
    Deployment deployment;
    startThree(deployment);
    const Node &m1 = *deployment.nodes[0];
    Upstream first;
    first.start(m1.machine.ip, m1, "i-1a", unixMs());
    if (!deployment.waitReady(30)) {
        finish(deployment, 2, "the nodes are not ready");
    }
    Traffic traffic(deployment);
    pause(6);

    // The first upstream of m1 leaves. The answer to the write that m1 makes for it is lost, and the write is done
    // late.
    std::atomic<int> writes = 0;
    deployment.store.setLateness(6);
    deployment.store.onAppend = [&](const std::string &topic, const std::string &key, const std::string &value) {
        if (key != "m1" || value.find("i-1a") == std::string::npos) {
            return StoreMode::Serves;
        }
        const bool isLost = isWriteLost && ++writes == 1;
        record.line(
            "store: write to %s of %s%s: %s", topic.c_str(), key.c_str(), isLost ? " (lost)" : "", value.c_str());
        return isLost ? StoreMode::LateWrites : StoreMode::Serves;
    };
    first.sendsHeartbeats = false;
    const int port = first.server().port();
    const double start = now();
    int status = first.leave();
    record.line("upstream i-1a: DELETE answered %d", status);
    pause(start + DrainSeconds + 0.3 - now());
    first.server().stop(true);

    // The next one starts at the same address, and leaves too; one of its heartbeats is held up in the network.
    Upstream second;
    second.start(m1.machine.ip, m1, "i-1b", unixMs(), port);
    pause(start + 5 - now());
    second.sendsHeartbeats = false;
    const std::string lateHeartbeat = second.heartbeatText("ready", second.takeSequence());
    record.line("upstream i-1b: sends a heartbeat that is held up");
    pause(start + 5.2 - now());
    status = second.leave();
    const double acknowledgedAt = now();
    record.line("upstream i-1b: DELETE answered %d", status);
    if (status != 200) {
        finish(deployment, 2, "the leave was not acknowledged");
    }

    pause(start + 6.3 - now());
    if (isKilled) {
        killAll(deployment);
        pause(0.5);
        for (const auto &node : deployment.nodes) {
            node->launch(false);
        }
    }
    const double inTouchFrom = now() + 3; // StableWindowMs
    pause(3.1);
    record.line("upstream i-1b: the heartbeat arrives, answered %d", second.send(lateHeartbeat));
    pause(3);
    second.server().stop(true);
    const int served = traffic.stop();
    const int late = lateRuns("i-1b", acknowledgedAt, inTouchFrom, "");
    if (served < 50) {
        finish(deployment, 2, "too few requests were served");
    }
    finish(deployment,
           late > 0 ? 1 : 0,
           std::string("DRAIN ") + (late > 0 ? "broken: " : "held: ") + std::to_string(late)
               + " requests reached i-1b later than 2 s after its leave was acknowledged; served in all "
               + std::to_string(served));
}
