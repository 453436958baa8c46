"""Builders of effects, grants and results, and of clusters for failure tests."""

import contextlib
import threading
import time
import uuid

import cattrs

from comfreywharf_dev.failures.callers import book
from comfreywharf_dev.failures.invariants import (
    AcceptedGrant,
    CallOutcome,
    CallResult,
    Effect,
    find_violations,
)
from comfreywharf_dev.standins.cluster import Cluster
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

__all__ = [
    "KEYS",
    "BackgroundCall",
    "call_result",
    "effect",
    "grant",
    "node_ids_except",
    "owns_any_slice",
    "pairs_safe_to_lose",
    "pick_owner",
    "running_cluster",
    "start_long_booking",
    "violations",
]

MAX_LONG_BOOKINGS = 5
POLL_S = 0.02
KEYS = tuple(f"calendar-{number}" for number in range(12))


def effect(at_s, server, fence, request_id, key_hash="7", arrived_s=None):
    return Effect(
        arrived_s=at_s if arrived_s is None else arrived_s,
        at_s=at_s,
        server=server,
        service="booking",
        key_hash=key_hash,
        fence=fence,
        request_id=request_id,
    )


def grant(server, fence, start=0, end=10):
    return AcceptedGrant(
        at_s=0.0,
        server=server,
        start=start,
        end=end,
        fence=fence,
        expires_monotonic_ms=1000,
    )


def call_result(request_id, outcome, **fields):
    accepted = outcome is CallOutcome.ANSWERED
    fields = {
        "key": "k",
        "echoed_key": "k" if accepted else "",
        "echoed_id": request_id if accepted else "",
        **fields,
    }
    return CallResult(
        request_id=request_id,
        node_id="n",
        outcome=outcome,
        accepted=accepted,
        sent_s=0.0,
        done_s=1.0,
        **fields,
    )


@contextlib.contextmanager
def running_cluster(folder, *, booking=4, slices=12, proxied=False, **fields):
    """Run a booking service in three failure domains, ready to lose any one of them.

    All slices are owned, and no domain has most of the witnesses of any node.
    """
    plans = riga_plans(booking=booking, files=0, **fields)
    with Cluster(folder, plans, proxied=proxied) as cluster:
        cluster.submit(riga_services(slices=slices))
        cluster.wait_owned("booking")
        cluster.wait_witnesses_spread()
        yield cluster


def node_ids_except(cluster, *node_ids):
    """Return the ids of all other nodes."""
    return [node_id for node_id in cluster.plans if node_id not in node_ids]


def pick_owner(cluster):
    """Return an owner, a key that it owns, and the ids of all other nodes."""
    key = KEYS[0]
    owner = cluster.owner_of(next(iter(cluster.plans)), "booking", key)
    return owner, key, node_ids_except(cluster, owner)


def pairs_safe_to_lose(cluster, seen_by):
    """Return the pairs of nodes whose loss leaves every other node its quorum.

    A node that loses two of its three witnesses has no lease until one of them is back
    or replaced. That is a known limit, covered by
    `test_owners_serve_again_after_two_witnesses_are_replaced`.
    """
    members = cluster.state(seen_by)["members"]
    groups = [set(member["witnesses"]) for member in members.values()]
    return [
        (one, other)
        for one in members
        for other in members
        if one != other and not any({one, other} <= group for group in groups)
    ]


def owns_any_slice(cluster, seen_by, node_id):
    """Return whether a node owns any slice in the state of the node ``seen_by``."""
    slices = cluster.state(seen_by)["slices"]["booking"]["slices"]
    return any(slice_["owner"] == node_id for slice_ in slices)


class BackgroundCall:
    """A function call in a background thread."""

    def __init__(self, function, *arguments, **named):
        self._result = None
        self._thread = threading.Thread(
            target=self._run, args=(function, arguments, named), daemon=True
        )
        self._thread.start()

    def _run(self, function, arguments, named):
        self._result = function(*arguments, **named)

    def finished(self):
        """Return whether the call has returned."""
        return not self._thread.is_alive()

    def get(self):
        """Wait for the call and return its result."""
        self._thread.join()
        return self._result


def start_long_booking(cluster, node_id, key, *, work_ms=700):
    """Start a slow booking and return once a backend server runs it.

    A booking may be refused while its key moves to another owner; it is then
    started again. Raises `TimeoutError` if all `MAX_LONG_BOOKINGS` were refused.
    """
    for _ in range(MAX_LONG_BOOKINGS):
        request_id = f"long-{uuid.uuid4().hex}"
        named = {"request_id": request_id, "timeout_ms": 4000, "work_ms": work_ms}
        call = BackgroundCall(book, cluster, node_id, key, **named)
        while not call.finished():
            if _is_running(cluster, request_id):
                return call
            time.sleep(POLL_S)
    raise TimeoutError(f"{MAX_LONG_BOOKINGS} long bookings refused: {call.get()}")


def _is_running(cluster, request_id):
    return any(request_id in cluster.running_requests(one) for one in cluster.plans)


def violations(cluster, results=()):
    """Return the violations of the invariants in the cluster's ledgers."""
    effects = [cattrs.structure(line, Effect) for line in cluster.effects()]
    grants = [cattrs.structure(line, AcceptedGrant) for line in cluster.grants()]
    return find_violations(effects, results, grants)
