"""What a failed append says of the log, with and without a relay."""

import pytest

from comfreywharf.daemon.recording.follower import Follower
from comfreywharf.daemon.recording.logclient import LogError


class SilentClient:
    """Stands where nothing is asked."""

    takes_batches = False
    keeps_newest = False


@pytest.mark.parametrize(("relay", "reachable"), [(None, True), (object(), False)])
def test_only_who_hears_from_a_relay_goes_by_its_appends(relay, reachable):
    """Symptom: a planner stands still for five seconds after one busy answer.
    Sequence: the log is busy for one append; reads of it wait for news as ever.
    Cause: the append was taken for the loss of the log, until the read returned."""
    follower = Follower(SilentClient(), "stream", lambda *args, **fields: None)
    follower.reachable = True
    follower.relay = relay
    follower.refused(LogError("busy"))
    assert follower.reachable is reachable
