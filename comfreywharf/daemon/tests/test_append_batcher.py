"""Appends at nearly the same time share one call to the log."""

import gevent
import pytest

from comfreywharf.daemon.records.append_batcher import AppendBatcher
from comfreywharf.daemon.records.logclient import LogError


class FakeLog:
    """Assigns offsets from 100 on, or fails every call."""

    def __init__(self, fails=False):
        self.calls = []
        self.fails = fails

    def append_all(self, records):
        self.calls.append(list(records))
        if self.fails:
            raise LogError("down")
        return 100 + sum(map(len, self.calls[:-1]))


def test_concurrent_appends_share_one_call_in_order():
    """Each writer gets its own record's offset, and the fold gets all records."""
    log, folded = FakeLog(), []
    batcher = AppendBatcher(
        log.append_all, lambda offset, data: folded.append((offset, data))
    )
    tasks = [gevent.spawn(batcher.append, data) for data in (b"a", b"b", b"c")]
    gevent.joinall(tasks)
    assert log.calls == [[b"a", b"b", b"c"]]
    assert [task.value for task in tasks] == [100, 101, 102]
    assert folded == [(100, b"a"), (101, b"b"), (102, b"c")]
    assert batcher.append(b"d") == 103


def test_failed_call_fails_all_its_records():
    """Guards against a record that counts as appended though its call failed."""
    folded = []
    batcher = AppendBatcher(
        FakeLog(fails=True).append_all, lambda *args: folded.append(args)
    )
    tasks = [gevent.spawn(batcher.append, data) for data in (b"a", b"b")]
    gevent.joinall(tasks)
    for task in tasks:
        with pytest.raises(LogError):
            task.get()
    assert not folded
