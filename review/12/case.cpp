// An upstream that crashed starts again under its id; it leaves before its first heartbeat, which is late, has arrived.
#include "../support-3/drain.h"

using namespace rig;

int main(int, char **argv)
{
    const bool hasCrashed = trouble() != "0";
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

    Upstream second;
    Upstream *present = &first;
    if (hasCrashed) {
        first.sendsHeartbeats = false;
        const int port = first.server().port();
        first.server().stop(true);
        record.line("upstream i-1: crashes");
        pause(1.5);
        second.sendsHeartbeats = false;
        second.start(m1.machine.ip, m1, "i-1", unixMs(), port);
        record.line("upstream i-1: starts again under its id");
        present = &second;
    } else {
        first.sendsHeartbeats = false;
    }
    const std::string lateHeartbeat = present->heartbeatText("ready", present->takeSequence());
    record.line("upstream i-1: sends a heartbeat that is held up");
    pause(1.2); // Before the next heartbeat is due.
    const int status = present->leave();
    const double acknowledgedAt = now();
    record.line("upstream i-1: DELETE answered %d", status);
    if (status != 200) {
        finish(deployment, 2, "the leave was not acknowledged");
    }
    pause(1.5);
    record.line("upstream i-1: the heartbeat arrives, answered %d", present->send(lateHeartbeat));
    pause(4);
    present->server().stop(true);
    const int served = traffic.stop();
    const int late = lateRuns("i-1", acknowledgedAt, 0, "");
    if (served < 50) {
        finish(deployment, 2, "too few requests were served");
    }
    finish(deployment,
           late > 0 ? 1 : 0,
           std::string("DRAIN ") + (late > 0 ? "broken: " : "held: ") + std::to_string(late)
               + " requests reached i-1 later than 2 s after its leave was acknowledged; served in all "
               + std::to_string(served));
}
