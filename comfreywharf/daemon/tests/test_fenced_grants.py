"""Grants that one message renews: what a new process may say of those before it."""

from types import SimpleNamespace

import orjson
import pytest

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.fenced_grants import FencedGrants


class FakeBackend:
    """A backend server that notes the messages it is sent, and may not answer."""

    def __init__(self, checks_fences, answers):
        self.announcement = SimpleNamespace(checks_fences=checks_fences)
        self.answers = answers
        self.messages = []

    def grant(self, message):
        self.messages.append(message)
        return self.answers


def grants_beside(backend, earlier_until_s=float("-inf"), served=()):
    table = SimpleNamespace(serving=lambda state, now_s: list(served))
    node = SimpleNamespace(
        backend=backend,
        leases=SimpleNamespace(table=table),
        follower=SimpleNamespace(state=None),
    )
    grants = FencedGrants(node)
    grants.earlier_process_granted(earlier_until_s)
    return grants


def test_a_release_ends_the_grants_of_the_process_before():
    """Guards against a server that runs old requests beside the next owner's server."""
    backend = FakeBackend(checks_fences=True, answers=True)
    grants = grants_beside(backend, boottime_s() + 60.0)
    assert grants.release("booking", 0, 0.1) == ""
    assert backend.messages == [b"[]"]
    assert grants.release("booking", 0, 0.1) == ""
    assert len(backend.messages) == 1


def test_a_release_waits_while_the_server_may_hold_earlier_grants():
    """Guards against a release on the word of a server that hasn't answered."""
    grants = grants_beside(FakeBackend(True, answers=False), boottime_s() + 60.0)
    assert grants.release("booking", 0, 0.1) is None


@pytest.mark.parametrize(("checks_fences", "left_s"), [(True, -1.0), (False, 60.0)])
def test_nothing_is_sent_where_no_earlier_grant_counts(checks_fences, left_s):
    """An earlier grant has ended by itself, or the server goes by none."""
    backend = FakeBackend(checks_fences, answers=False)
    grants = grants_beside(backend, boottime_s() + left_s)
    assert grants.release("booking", 0, 0.1) == ""
    assert backend.messages == []


@pytest.mark.parametrize("answers", [True, False])
def test_what_a_server_may_hold_lasts_until_its_grants_end(answers):
    """Guards against a standby that serves a key while the server of a node that gave
    its lease up runs requests for it, such as one that was frozen with them."""
    now_s = boottime_s()
    slice_ = SimpleNamespace(start=0, end=9)
    served = [("booking", slice_, 5, now_s + 0.7), ("booking", slice_, 5, now_s + 0.9)]
    backend = FakeBackend(checks_fences=True, answers=answers)
    grants = grants_beside(backend, served=served)
    assert grants.held_until_s(now_s) is None
    grants.push()
    assert len(orjson.loads(backend.messages[0])) == 2
    assert grants.held_until_s(now_s) == now_s + 0.9
    served.clear()
    backend.answers = True
    grants.push()
    # The message with the grants may still be applied unless it was answered.
    assert grants.held_until_s(now_s) == (now_s if answers else now_s + 0.9)
    grants.backend_ended()
    assert grants.held_until_s(now_s) == now_s
