// A leave is acknowledged while the store is down, so that only other nodes keep it; then all processes are killed.
#include "../support-3/drain.h"

using namespace rig;

int main(int, char **argv)
{
    const bool isKilled = trouble() != "0";
    const bool isStoreDown = isKilled && trouble() != "kill";
    record.open(argv[1]);
    Deployment deployment;
    startThree(deployment);
    const Node &m1 = *deployment.nodes[0];
    Upstream upstream;
    upstream.start(m1.machine.ip, m1, "i-1", unixMs());
    if (!deployment.waitReady(30)) {
        finish(deployment, 2, "the nodes are not ready");
    }
    Traffic traffic(deployment);
    pause(6);

    if (isStoreDown) {
        deployment.store.setMode(StoreMode::Silent);
        record.line("store: silent");
    }
    upstream.sendsHeartbeats = false;
    const std::string lateHeartbeat = upstream.heartbeatText("ready", upstream.takeSequence());
    record.line("upstream i-1: sends a heartbeat that is held up");
    pause(0.2);
    const int status = upstream.leave();
    const double acknowledgedAt = now();
    record.line("upstream i-1: DELETE answered %d", status);
    if (status != 200) {
        finish(deployment, 2, "the leave was not acknowledged");
    }
    pause(0.5);
    if (isKilled) {
        killAll(deployment);
        deployment.store.setMode(StoreMode::Serves);
        record.line("store: serves all");
        pause(0.5);
        for (const auto &node : deployment.nodes) {
            node->launch(false);
        }
    }
    const double inTouchFrom = now() + 3; // StableWindowMs; the store is longer without disruption.
    pause(3.1);
    record.line("upstream i-1: the heartbeat arrives, answered %d", upstream.send(lateHeartbeat));
    pause(3);
    upstream.server().stop(true);
    const int served = traffic.stop();
    const int late = lateRuns("i-1", acknowledgedAt, inTouchFrom, "");
    if (served < 50) {
        finish(deployment, 2, "too few requests were served");
    }
    finish(deployment,
           late > 0 ? 1 : 0,
           std::string("DRAIN ") + (late > 0 ? "broken: " : "held: ") + std::to_string(late)
               + " requests reached i-1 later than 2 s after its leave was acknowledged; served in all "
               + std::to_string(served));
}
