"""When a node looks for a newer snapshot than the one it began with."""

import gevent
import pytest

from comfreywharf.daemon.records.follower import Follower, ReadOptions
from comfreywharf.daemon.records.logclient import Batch, LogError

SETTLE_S = 0.05


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
        gevent.sleep(SETTLE_S / 10)
        return Batch(first=0, next=0, records=())

    def _raise_if_down(self):
        if self.down:
            raise LogError("down")


@pytest.fixture
def log():
    """Yield a log that a follower has begun to follow."""
    client = EmptyLog()
    options = ReadOptions(wait_s=0.0, pause_s=0.0)
    follower = Follower(client, "s", lambda *args, **fields: None, read_options=options)
    greenlet = gevent.spawn(follower.run)
    gevent.sleep(SETTLE_S)
    yield client
    greenlet.kill()


def test_a_node_that_starts_reads_the_snapshot_once(log):
    """Guards against a call to the log by each start that tells nothing new."""
    assert log.reads > 1
    assert log.snapshot_reads == 1


def test_a_node_looks_for_a_snapshot_after_an_outage(log):
    """Guards against a node that keeps records which the others gave up."""
    log.down = True
    gevent.sleep(SETTLE_S)
    log.down = False
    with gevent.Timeout(10):
        while log.snapshot_reads < 2:
            gevent.sleep(SETTLE_S)
