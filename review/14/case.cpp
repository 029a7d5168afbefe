// All processes are killed, and the store turns one machine away while they start; then a late heartbeat arrives there.
#include "../support-3/drain.h"

using namespace rig;

int main(int, char **argv)
{
    const bool isKilled = trouble() != "0";
    const bool isTurnedAway = isKilled && trouble() != "kill";
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

    upstream.sendsHeartbeats = false;
    const std::string lateHeartbeat = upstream.heartbeatText("ready", upstream.takeSequence());
    record.line("upstream i-1: sends a heartbeat that is held up");
    pause(0.2);
    const int status = upstream.leave();
    const double acknowledgedAt = now();
    record.line("upstream i-1: DELETE answered %d; in the store: %s",
                status,
                deployment.store.newestOf("keyed.leaves", "m1").c_str());
    if (status != 200) {
        finish(deployment, 2, "the leave was not acknowledged");
    }
    pause(0.5);
    if (isTurnedAway) {
        deployment.store.setMode(0, StoreMode::Busy);
        record.line("store: turns m1 away with 503");
    }
    if (isKilled) {
        killAll(deployment);
        pause(0.5);
        for (const auto &node : deployment.nodes) {
            node->launch(false);
        }
    }
    const double inTouchFrom = now() + 3; // StableWindowMs
    pause(3.1);
    record.line("upstream i-1: the heartbeat arrives, answered %d", upstream.send(lateHeartbeat));
    pause(3);
    upstream.server().stop(true);
    const int served = traffic.stop();
    const int late = lateRuns("i-1", acknowledgedAt, inTouchFrom, "m1-");
    if (served < 50) {
        finish(deployment, 2, "too few requests were served");
    }
    finish(deployment,
           late > 0 ? 1 : 0,
           std::string("DRAIN ") + (late > 0 ? "broken: " : "held: ") + std::to_string(late)
               + " requests that m1 took reached i-1 later than 2 s after its leave was acknowledged; served in all "
               + std::to_string(served));
}
