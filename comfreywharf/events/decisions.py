"""Log lines about the decisions on single requests.

A line says what was decided on a request, based on which data, and how old the data
was. On-call engineers have only logs and metrics. Each line is one JSON object with
the request's id, so that the lines of all nodes about one request can be combined;
see `explain`. Every refusal, retry, hold and loss is logged, up to a rate limit.
Successful requests would need one line per hop; only one in `SAMPLED_ONE_IN` of them
is logged, and all nodes choose the same ones.
"""

import attrs
import orjson
import xxhash

from comfreywharf.events.limit import RateLimit

__all__ = ["DECISIONS", "DecisionLog", "is_sampled"]

SAMPLED_ONE_IN = 64
LINES_BURST = 200
LINES_PER_S = 20.0
"""Lines per second for each kind of decision at a node, above a burst.

The limit keeps a day of refusals from filling the log.
"""

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
"""The kinds of decision; a test checks that the docs list the same ones."""


def is_sampled(request_id):
    """Return whether a request's decisions are logged even if it succeeds.

    The result depends on the request's id alone, so all nodes agree on it.
    """
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SAMPLED_ONE_IN == 0


@attrs.define
class DecisionLog:
    """Write decision lines within a rate limit, and count those left out.

    ``write`` gets the bytes of a line and returns whether it wrote them; it must
    not block. ``stamp`` returns the node's hybrid logical time. ``dropped`` counts
    the lines that ``write`` has rejected since the last written one.
    """

    node_id: str
    write: object
    stamp: object
    dropped: int = 0
    _limit: RateLimit = attrs.Factory(lambda: RateLimit(LINES_BURST, LINES_PER_S))

    def add(self, now_s, request_id, decision, **facts):
        """Write a line about a decision on a request.

        Raises `KeyError` if the decision isn't one of `DECISIONS`.
        """
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
