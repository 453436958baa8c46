"""When a node looks for a newer snapshot than the one it began with."""

from types import SimpleNamespace

import gevent
import pytest

from comfreywharf.daemon.records.follower import Follower, ReadOptions
from comfreywharf.daemon.records.logclient import Batch, LogError

READ_S = 0.005
TIMEOUT_S = 30.0


class EmptyLog:
    """A log without records that keeps its newest snapshot, and can be down."""

    takes_batches = False
    keeps_newest = True

    def __init__(self):
        self.down = False
        self.snapshot_reads = 0
        self.reads = 0

    def newest_parts(self, stream):
        self._raise_if_down()
        self.snapshot_reads += 1
        return (), 0

    def read(self, stream, start, limit=200, wait_ms=0):
        self._raise_if_down()
        self.reads += 1
        gevent.sleep(READ_S)
        return Batch(first=0, next=0, records=())

    def _raise_if_down(self):
        if self.down:
            raise LogError("down")


def wait_for(condition):
    """Let greenlets run until a condition holds; raises `gevent.Timeout`."""
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(READ_S)


@pytest.fixture
def started():
    """Yield a ``log`` and the ``follower`` that has begun to follow it."""
    client = EmptyLog()
    options = ReadOptions(wait_s=0.0, pause_s=0.0)
    follower = Follower(client, "s", lambda *args, **fields: None, read_options=options)
    greenlet = gevent.spawn(follower.run)
    wait_for(lambda: client.reads > 1)
    yield SimpleNamespace(log=client, follower=follower)
    greenlet.kill()


def test_a_node_that_starts_reads_the_snapshot_once(started):
    """Guards against a call to the log by each start that tells nothing new."""
    assert started.log.snapshot_reads == 1


def test_a_node_looks_for_a_snapshot_after_an_outage(started):
    """Guards against a node that keeps records which the others gave up."""
    started.log.down = True
    wait_for(lambda: not started.follower.reachable)
    started.log.down = False
    wait_for(lambda: started.log.snapshot_reads == 2)
