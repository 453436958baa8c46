"""Effect of a failed append on the log's reachability, with and without a relay."""

import pytest

from comfreywharf.daemon.records.follower import Follower
from comfreywharf.daemon.records.logclient import LogError


class UncalledClient:
    """A log client that isn't called."""

    takes_batches = False
    keeps_newest = False


@pytest.mark.parametrize(("relay", "reachable"), [(None, True), (object(), False)])
def test_failed_append_marks_the_log_unreachable_only_with_a_relay(relay, reachable):
    """Guards against a planner that pauses for five seconds after one busy answer.

    The log is busy for one append while a read waits for new records. Without a relay,
    the append must not mark the log as unreachable until that read returns.
    """
    follower = Follower(UncalledClient(), "stream", lambda *args, **fields: None)
    follower.reachable = True
    follower.relay = relay
    follower.handle_failed_append(LogError("busy"))
    assert follower.reachable is reachable
