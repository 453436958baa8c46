"""Eject failing and slow backend servers from the choice, and probe them later."""

import attrs

__all__ = ["Ejector"]

FAILURE_LIMIT = 0.5
"""Failure fraction above which a server may be ejected."""

SLOW_FACTOR = 3.0
"""Ratio to the median latency of the others above which a server may be ejected."""

MIN_SAMPLES = 5
"""Number of outcomes that a decision needs."""

MAX_OUT_FRACTION = 0.5
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

    _out: dict[str, _Ejection] = attrs.Factory(dict)
    _returned: dict[str, tuple[float, float]] = attrs.Factory(dict)

    def usable(self, members, now_s, idempotent=True):
        """Return the members to choose from; only one if its probe is due.

        ``members`` is a list of `MemberLoad`; the result is empty only if it is. A
        request that isn't idempotent is used as a probe only if no idempotent one
        arrived for another whole pause, since a failed probe would leave its caller
        with an unknown outcome.
        """
        if not self._out:
            return list(members)
        self._forget_departed(members)
        for member in members:
            ejection = self._out.get(member.node_id)
            if ejection and ejection.is_due(now_s, idempotent):
                return [member]
        return [m for m in members if m.node_id not in self._out] or list(members)

    def begun(self, member, now_s):
        """Record that a request was sent to a member."""
        ejection = self._out.get(member.node_id)
        if ejection and now_s >= ejection.until_s:
            ejection.probing = True

    def finished(self, member, members, latency_s, failed, now_s, probe):
        """Record an outcome; return the changed ``(node_id, ejected)``, or ``None``.

        ``probe`` tells whether the member was ejected when the request was sent. A
        late answer to a request from before the ejection says nothing about the
        server's present state, and is ignored.
        """
        ejection = self._out.get(member.node_id)
        if ejection is not None:
            if not probe:
                return None
            return self._probed(ejection, member, members, latency_s, failed, now_s)
        if not self._is_bad(member, members) or not self._room(members):
            return None
        pause_s = self._first_pause_s(member.node_id, now_s)
        self._out[member.node_id] = _Ejection(now_s + pause_s, pause_s)
        return member.node_id, True

    def dropped(self, member, probe):
        """Record that a request ended without an outcome that concerns the server."""
        ejection = self._out.get(member.node_id)
        if ejection is not None and probe:
            ejection.probing = False

    def is_out(self, node_id):
        """Return whether a member is ejected."""
        return node_id in self._out

    def _probed(self, ejection, member, members, latency_s, failed, now_s):
        ejection.probing = False
        limit_s = self._slow_limit_s(member, members)
        if failed or (limit_s and latency_s > limit_s):
            ejection.pause_s = min(ejection.pause_s * 2, MAX_PAUSE_S)
            ejection.until_s = now_s + ejection.pause_s
            return None
        del self._out[member.node_id]
        self._returned[member.node_id] = (now_s, ejection.pause_s)
        member.started_again(member.announced_offset)
        return member.node_id, False

    def _is_bad(self, member, members):
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
            and other.node_id not in self._out
        )
        if not others:
            return None
        return SLOW_FACTOR * others[(len(others) - 1) // 2]

    def _room(self, members):
        return len(self._out) < int(len(members) * MAX_OUT_FRACTION)

    def _first_pause_s(self, node_id, now_s):
        """Return the first pause; longer if the server was reinstated recently."""
        returned_s, pause_s = self._returned.get(node_id, (float("-inf"), 0.0))
        if now_s - returned_s > 2 * MAX_PAUSE_S:
            return FIRST_PAUSE_S
        return pause_s

    def _forget_departed(self, members):
        """Drop members that left, and reinstate members beyond the allowed fraction."""
        present = {member.node_id for member in members}
        for node_id in [n for n in self._out if n not in present]:
            del self._out[node_id]
        for node_id in [n for n in self._returned if n not in present]:
            del self._returned[node_id]
        while len(self._out) > int(len(members) * MAX_OUT_FRACTION):
            del self._out[min(self._out, key=lambda n: self._out[n].until_s)]
