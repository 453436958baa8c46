"""A node that restarts beside a leaving server gives it work again.

See claim.txt. With ``TROUBLE=0`` the node isn't killed.
"""

import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools-2"))

from standins import Caller, Deployment, finish, wait_for  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
LATE_S = 5.0
OBSERVED_S = 8.0


def main():
    """Run the case; exit with 1 if the rule was broken, 0 if it held, 2 on failure."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(["files"] * 3, {"files": False})
    record = deployment.record
    code, verdict = 2, "the deployment didn't start"
    try:
        if deployment.start():
            code, verdict = play(deployment, record, trouble)
    finally:
        deployment.end(HERE, verdict)
    print(verdict)
    finish(code)


def play(deployment, record, trouble):
    """Play the case; return the exit code and a line that says why."""
    machine, upstream = deployment.machines[0], deployment.upstreams[0]
    time.sleep(5.0)
    callers = [Caller(record, m, "/look-files/") for m in deployment.machines]
    time.sleep(3.0)
    if not record.find("run", at=upstream.instance):
        return 2, "the upstream got no requests before it left"

    # One heartbeat is held up on its way. It was sent before the server leaves.
    upstream.held_back = []
    if not wait_for(lambda: upstream.held_back, 3.0):
        return 2, "no heartbeat was sent"
    sent_s = record.now_s()
    upstream.silent = True
    upstream.state = "draining"
    if upstream.deregister() != 200:
        return 2, "the leaving wasn't acknowledged"
    acknowledged_s = record.now_s()

    if trouble:
        time.sleep(0.3)
        machine.signal(signal.SIGKILL)
        machine.process.wait()
        time.sleep(0.5)
        machine.start()
    started_s = record.now_s()
    if not wait_for(machine.is_ready, 10.0):
        return 2, "the node wasn't ready again"
    time.sleep(max(0.0, sent_s + LATE_S - 0.5 - record.now_s()))
    upstream.deliver(upstream.held_back[0])
    time.sleep(OBSERVED_S)
    for caller in callers:
        caller.stopped.set()
    time.sleep(1.5)

    # Machines are in touch again `contact` after the start of the process.
    since_s = max(acknowledged_s + DRAIN_S, started_s + CONTACT_S)
    late = [at_s for at_s, _ in record.find("run", at=upstream.instance)]
    late = [at_s for at_s in late if at_s > since_s]
    found = f"{len(late)} requests reached {upstream.instance} later than drain"
    if late:
        last_s = late[-1] - acknowledged_s
        return 1, f"{found} after its leaving was acknowledged, up to {last_s:.1f} s"
    return 0, found


if __name__ == "__main__":
    main()
