"""Lines on single requests: what was decided on one, by what, and how old that was.

On-call engineers have only logs and metrics. Each line is one JSON object with the
request's id, so that the lines of all nodes on one request can be put together; see
`explain`. A request that goes well would need a line a hop; only one in
`SAMPLED_ONE_IN` of those has them, the same ones at all nodes, while every refusal,
retry, hold and loss has one, up to a bound.
"""

import attrs
import orjson
import xxhash

from comfreywharf.events.limit import RateLimit

__all__ = ["DECISIONS", "DecisionLog", "is_sampled"]

SAMPLED_ONE_IN = 64
LINES_BURST = 200
LINES_PER_S = 20.0
"""For each kind of decision and node, so that a day of refusals fills nothing."""

DECISIONS = {
    "answered": "the caller got the backend server's answer",
    "refused": "the caller was told that its request didn't run",
    "unknown": "the caller was told that its request may have run",
    "turned_away": "it was refused for what it says, such as an unknown route",
    "held": "the request waits until its key has an owner",
    "sent_again": "a node refused it, and another one is asked",
    "given_up": "nobody else is asked",
    "no_right": "this node may not serve the key now",
    "not_admitted": "admission refused it before it was sent",
    "backend_failed": "the backend server refused it, or was lost with it",
}
"""The kinds of decision; the docs list them, and a test compares."""


def is_sampled(request_id):
    """Return whether the plain lines of a request are written, at all nodes alike."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SAMPLED_ONE_IN == 0


@attrs.define
class DecisionLog:
    """Write lines within a bound, and count those left out.

    ``write`` takes the bytes of a line and returns whether they were taken; it
    must not block. ``stamp`` returns the node's hybrid logical time.
    """

    node_id: str
    write: object
    stamp: object
    dropped: int = 0
    _limit: RateLimit = attrs.Factory(lambda: RateLimit(LINES_BURST, LINES_PER_S))

    def tell(self, now_s, request_id, decision, **facts):
        """Write that something was decided on a request."""
        if decision not in DECISIONS:
            raise KeyError(decision)
        left_out = self._limit.admit(decision, now_s)
        if left_out is None:
            return
        fields = {
            "clock": self.stamp(),
            "node": self.node_id,
            "request": request_id,
            "decision": decision,
            **facts,
        }
        if left_out:
            fields["left_out_before"] = left_out
        if self.dropped:
            fields["dropped_before"] = self.dropped
        if self.write(orjson.dumps(fields) + b"\n"):
            self.dropped = 0
        else:
            self.dropped += 1
