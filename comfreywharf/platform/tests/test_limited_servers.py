"""Requests to a server that names the number of requests a second that it takes."""

import time

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.platform.tests.builders import wait_for

LIMIT_PER_S = 10.0
CALLER_PAUSE_S = 0.15
WINDOW_S = 4.0
SLACK_REQUESTS = 5
NODES_KNOW_S = 0.5
PAUSE_S = 0.1
"""Delay of the loop from which on the process counts as paused."""
USED_PART = 0.9
KEY = 7


class Callers:
    """Callers at every node that send requests one after the other until stopped."""

    def __init__(self, deployment, path, key, per_node=3):
        self.answers = []
        self._tasks = [
            gevent.spawn(self._call, deployment, name, path, key)
            for name in deployment.nodes
            for _ in range(per_node)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *error):
        gevent.killall(self._tasks)

    def _call(self, deployment, name, path, key):
        while True:
            self.answers.append(deployment.send_request(name, path, key))
            gevent.sleep(CALLER_PAUSE_S)


class LoopPauses:
    """Measure for how long the test's process, nodes and callers alike, didn't run.

    Time in which the process itself used a processor doesn't count, so that a node that
    blocks the loop isn't excused.
    """

    def __init__(self):
        self.paused_s = 0.0
        self._task = gevent.spawn(self._measure)

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self._task.kill()

    def _measure(self):
        while True:
            began_s, used_s = boottime_s(), time.process_time()
            gevent.sleep(PAUSE_S / 5)
            late_s = boottime_s() - began_s - PAUSE_S / 5
            if late_s > PAUSE_S:
                self.paused_s += max(late_s - (time.process_time() - used_s), 0.0)


def begin_limit(deployment, name, limit):
    """Have a server name a limit in all its answers; return when all nodes know it."""
    deployment.servers[name].limit = str(limit)
    gevent.sleep(NODES_KNOW_S)
    return boottime_s()


def run_times_s(deployment, name, since_s):
    """Return when a server began requests, from a time on."""
    instance = f"i-{name}"
    runs = [run.began_s for run in deployment.ledger if run.instance == instance]
    return sorted(began_s for began_s in runs if began_s >= since_s)


def most_in_window(times_s):
    """Return the most requests in any window of `WINDOW_S`."""
    return max(
        sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
        for start_s in times_s
    )


def test_an_owner_gets_no_more_than_the_limit_that_its_server_names(deployment):
    """Guards against a server in need that gets requests at the rate of its keys."""
    owner = deployment.holder(KEY)
    with Callers(deployment, "/look/1", KEY) as callers:
        gevent.sleep(0.5)
        since_s = begin_limit(deployment, owner, LIMIT_PER_S)
        gevent.sleep(WINDOW_S + 1.5)
    times_s = run_times_s(deployment, owner, since_s)
    assert most_in_window(times_s) <= LIMIT_PER_S * WINDOW_S + SLACK_REQUESTS
    if deployment.holder(KEY) == owner:
        assert len(times_s) >= USED_PART * LIMIT_PER_S * (boottime_s() - since_s)
    else:
        # The planner has moved the key to a server that has room.
        assert all(answer.status == 200 for answer in callers.answers[-10:])


def test_a_limited_server_without_keys_gets_no_more_than_its_limit(deployment):
    """Guards against the same at a service where any server may serve.

    A limit isn't made up for after a pause, so that the time in which the whole process
    was paused doesn't count.
    """
    with Callers(deployment, "/stock/1", None):
        gevent.sleep(0.5)
        since_s = begin_limit(deployment, "n3", LIMIT_PER_S)
        with LoopPauses() as pauses:
            gevent.sleep(WINDOW_S + 1.5)
    times_s = run_times_s(deployment, "n3", since_s)
    assert most_in_window(times_s) <= LIMIT_PER_S * WINDOW_S + SLACK_REQUESTS
    ran_s = boottime_s() - since_s - pauses.paused_s
    assert len(times_s) >= USED_PART * LIMIT_PER_S * ran_s


def test_a_refusal_beyond_the_limit_says_when_to_come_back(deployment):
    """Guards against callers who are held, or come back too soon."""
    owner = deployment.holder(KEY)
    deployment.send_request(owner)
    begin_limit(deployment, owner, 0.5)
    with Callers(deployment, "/look/1", KEY) as callers:
        gevent.sleep(1.0)
    refused = [answer for answer in callers.answers if answer.status == 503]
    assert refused
    assert all(float(answer.headers["retry-after"]) >= 0.3 for answer in refused)
    assert {answer.body for answer in refused} == {b"backend-limited\n"}


def test_a_limit_of_zero_is_lifted_though_no_request_is_sent(deployment):
    """Guards against a server that gets nothing for good once it took nothing."""
    owner = deployment.holder(KEY)
    node = deployment.nodes[owner]
    deployment.servers[owner].limit = "0"
    wait_for(lambda: deployment.send_request(owner).status == 503)
    assert node.load.rate_limit.limit_per_s == 0
    deployment.servers[owner].limit = None
    wait_for(lambda: node.load.rate_limit.limit_per_s is None)
    wait_for(lambda: deployment.send_request(owner).status == 200)
    names = {event.name for event in node.events.since(0)}
    assert {"backend_limited", "limit_lifted"} <= names


def test_a_limit_in_a_grants_answer_is_known_before_the_first_request(deployment):
    """Guards against a node that restarts beside a limited server with many keys."""
    owner = deployment.holder(KEY)
    deployment.servers[owner].limit = "3"
    node = deployment.nodes[owner]
    wait_for(lambda: node.load.rate_limit.limit_per_s == 3)


def test_a_damaged_limit_is_reported_once_and_changes_nothing(deployment):
    """Guards against a limit that is silently ignored, or taken for another one."""
    owner = deployment.holder(KEY)
    node = deployment.nodes[owner]
    deployment.servers[owner].limit = "plenty"
    for _ in range(5):
        assert deployment.send_request(owner).status == 200
    assert node.load.rate_limit.limit_per_s is None
    assert node.metrics.damaged_limits >= 5
    reported = [e for e in node.events.since(0) if e.name == "damaged_limit"]
    assert len(reported) == 1
