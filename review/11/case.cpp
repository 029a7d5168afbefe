// An upstream leaves, starts again under its id and leaves again, before its first heartbeat, which is late, has
// arrived.
#include "../support-3/drain.h"

using namespace rig;

int main(int, char **argv)
{
    // Without trouble, the next start has a new id, as is usual.
    const std::string nextId = trouble() == "0" ? "i-1b" : "i-1";
    record.open(argv[1]);
    Deployment deployment;
    startThree(deployment);
    const Node &m1 = *deployment.nodes[0];
    Upstream first;
    first.start(m1.machine.ip, m1, "i-1", unixMs());
    if (!deployment.waitReady(30)) {
        finish(deployment, 2, "the nodes are not ready");
    }
    Traffic traffic(deployment);
    pause(8); // Longer than StableWindowMs after the start; all machines are in touch from here on.

    first.sendsHeartbeats = false;
    int status = first.leave();
    record.line("upstream i-1: DELETE answered %d", status);
    pause(DrainSeconds + 0.3);
    const int port = first.server().port();
    first.server().stop(true);
    record.line("upstream i-1: exits");
    pause(1);

    Upstream second;
    second.sendsHeartbeats = false;
    second.start(m1.machine.ip, m1, nextId, unixMs(), port);
    const std::string lateHeartbeat = second.heartbeatText("ready", second.takeSequence());
    record.line("upstream %s: starts, and sends a heartbeat that is held up", nextId.c_str());
    pause(1.2); // Before the next heartbeat is due.
    status = second.leave();
    const double acknowledgedAt = now();
    record.line("upstream %s: DELETE answered %d; in the store: %s",
                nextId.c_str(),
                status,
                deployment.store.newestOf("keyed.leaves", "m1").c_str());
    if (status != 200) {
        finish(deployment, 2, "the leave was not acknowledged");
    }
    pause(1.5);
    record.line("upstream %s: the heartbeat arrives, answered %d", nextId.c_str(), second.send(lateHeartbeat));
    pause(4);
    second.server().stop(true);
    const int served = traffic.stop();
    const int late = lateRuns(nextId, acknowledgedAt, 0, "");
    if (served < 50) {
        finish(deployment, 2, "too few requests were served");
    }
    finish(deployment,
           late > 0 ? 1 : 0,
           std::string("DRAIN ") + (late > 0 ? "broken: " : "held: ") + std::to_string(late) + " requests reached "
               + nextId + " later than 2 s after its leave was acknowledged; served in all " + std::to_string(served));
}
