"""Eject failing and slow backend servers from the choice, and probe them later."""

import attrs

__all__ = ["Ejector"]

FAILURE_LIMIT = 0.5
"""Failure fraction above which a server may be ejected."""

SLOW_FACTOR = 3.0
"""Ratio to the median latency of the others above which a server may be ejected."""

MIN_SAMPLES = 5
"""Number of outcomes that a decision needs."""

MAX_EJECTED_FRACTION = 0.5
"""Limit on the fraction of a service's servers that are ejected, rounded down."""

FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 30.0
"""Bounds of the time that a server stays ejected before one request probes it."""


@attrs.define
class _Ejection:
    """An ejected server: when its probe is due, and whether one is in flight."""

    until_s: float
    pause_s: float
    probing: bool = False

    def is_due(self, now_s, idempotent):
        """Return whether a request may be used to probe the server."""
        if self.probing:
            return False
        wait_s = 0.0 if idempotent else self.pause_s
        return now_s >= self.until_s + wait_s


@attrs.define
class Ejector:
    """The ejected members of one service, from this node's own measurements.

    The fraction of ejected members is bounded: if all are slow or failing, the
    cause lies elsewhere, and sending every request to the last one would overload
    that one as well. An ejected server gets one request as a probe after a pause.
    An answer as good as the others' reinstates it; any other outcome doubles the
    pause.
    """

    _ejected: dict[str, _Ejection] = attrs.Factory(dict)
    _reinstated: dict[str, tuple[float, float]] = attrs.Factory(dict)

    def usable(self, members, now_s, idempotent=True):
        """Return the members to choose from; only one if its probe is due.

        ``members`` is a list of `MemberLoad`; the result is empty only if it is. A
        request that isn't idempotent is used as a probe only if no idempotent one
        arrived for another whole pause, since a failed probe would leave its caller
        with an unknown outcome.
        """
        if not self._ejected:
            return list(members)
        self._drop_departed_and_excess(members)
        for member in members:
            ejection = self._ejected.get(member.node_id)
            if ejection and ejection.is_due(now_s, idempotent):
                return [member]
        return [m for m in members if m.node_id not in self._ejected] or list(members)

    def record_sent(self, member, now_s):
        """Record that a request was sent to a member."""
        ejection = self._ejected.get(member.node_id)
        if ejection and now_s >= ejection.until_s:
            ejection.probing = True

    def record_outcome(self, member, members, latency_s, failed, now_s, probe):
        """Record an outcome; return the changed ``(node_id, ejected)``, or ``None``.

        ``probe`` tells whether the member was ejected when the request was sent. A
        late answer to a request from before the ejection says nothing about the
        server's present state, and is ignored.
        """
        ejection = self._ejected.get(member.node_id)
        if ejection is not None:
            if not probe:
                return None
            return self._record_probe(
                ejection, member, members, latency_s, failed, now_s
            )
        if not self._should_eject(member, members) or not self._may_eject(members):
            return None
        pause_s = self._first_pause_s(member.node_id, now_s)
        self._ejected[member.node_id] = _Ejection(now_s + pause_s, pause_s)
        return member.node_id, True

    def record_no_outcome(self, member, probe):
        """Record that a request ended without an outcome that concerns the server."""
        ejection = self._ejected.get(member.node_id)
        if ejection is not None and probe:
            ejection.probing = False

    def is_ejected(self, node_id):
        """Return whether a member is ejected."""
        return node_id in self._ejected

    def _record_probe(self, ejection, member, members, latency_s, failed, now_s):
        ejection.probing = False
        limit_s = self._slow_limit_s(member, members)
        if failed or (limit_s and latency_s > limit_s):
            ejection.pause_s = min(ejection.pause_s * 2, MAX_PAUSE_S)
            ejection.until_s = now_s + ejection.pause_s
            return None
        del self._ejected[member.node_id]
        self._reinstated[member.node_id] = (now_s, ejection.pause_s)
        member.reset_measurements(member.announced_offset)
        return member.node_id, False

    def _should_eject(self, member, members):
        if member.samples < MIN_SAMPLES:
            return False
        if member.failure_fraction > FAILURE_LIMIT:
            return True
        limit_s = self._slow_limit_s(member, members)
        return bool(limit_s) and member.mean_latency_s > limit_s

    def _slow_limit_s(self, member, members):
        """Return the latency above which a member counts as slow, or ``None``."""
        others = sorted(
            other.mean_latency_s
            for other in members
            if other is not member
            and other.answers >= MIN_SAMPLES
            and other.node_id not in self._ejected
        )
        if not others:
            return None
        return SLOW_FACTOR * others[(len(others) - 1) // 2]

    def _may_eject(self, members):
        return len(self._ejected) < int(len(members) * MAX_EJECTED_FRACTION)

    def _first_pause_s(self, node_id, now_s):
        """Return the first pause; longer if the server was reinstated recently."""
        returned_s, pause_s = self._reinstated.get(node_id, (float("-inf"), 0.0))
        if now_s - returned_s > 2 * MAX_PAUSE_S:
            return FIRST_PAUSE_S
        return pause_s

    def _drop_departed_and_excess(self, members):
        """Drop members that left, and reinstate members beyond the allowed fraction."""
        present = {member.node_id for member in members}
        for node_id in [n for n in self._ejected if n not in present]:
            del self._ejected[node_id]
        for node_id in [n for n in self._reinstated if n not in present]:
            del self._reinstated[node_id]
        while len(self._ejected) > int(len(members) * MAX_EJECTED_FRACTION):
            del self._ejected[
                min(self._ejected, key=lambda n: self._ejected[n].until_s)
            ]
