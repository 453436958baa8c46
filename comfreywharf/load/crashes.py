"""Distinguish a crash of the backend server from a lost connection."""

import attrs

__all__ = ["CrashWatch", "Loss"]

CONFIRM_S = 2.0
"""Time after a lost connection within which a crash can be confirmed as its cause."""

SAME_LOSS_S = 0.1
"""Time within which lost connections are attributed to the same crash."""


@attrs.frozen
class Loss:
    """The runs in flight when a backend server crashed.

    ``alone`` is true if there was a single run, which ran alone as a suspect.
    """

    runs: tuple[object, ...]
    alone: bool


@attrs.define
class CrashWatch:
    """The runs in flight at one backend server, now and at the last loss.

    A connection may be lost although the server still runs. The runs in flight
    are therefore only recorded; they are returned as a `Loss` once the crash is
    confirmed: the server's port refuses connections, or the server announces
    itself as a new instance.
    """

    _in_flight: dict[object, bool] = attrs.Factory(dict)
    _at_loss: dict[object, bool] = attrs.Factory(dict)
    _lost_s: float = float("-inf")

    def run_started(self, run, alone):
        """Record the start of a run; ``run`` is any hashable object that identifies it.

        ``alone`` is true if it was started as a suspect with no other beside it.
        """
        self._in_flight[run] = alone

    def run_ended(self, run):
        """Record the end of a run."""
        self._in_flight.pop(run, None)

    def connection_lost(self, run, now_s):
        """Record a lost connection; return whether to check if the server is up.

        Call it before `run_ended` for the run that lost its connection.
        All runs of a crash lose their connections one after another; at the first
        loss the others are still in flight.
        """
        if now_s - self._lost_s <= SAME_LOSS_S and run in self._at_loss:
            return False
        if run not in self._in_flight:
            return False
        self._lost_s = now_s
        self._at_loss = dict(self._in_flight)
        return True

    def confirm_crash(self, now_s):
        """Return the `Loss` of a confirmed crash, or ``None`` without a recent loss.

        The runs of a crashed server are removed from those in flight, even if it
        is still unknown whether they took effect: they can't crash the next
        instance.
        """
        if now_s - self._lost_s > CONFIRM_S:
            return None
        lost, self._at_loss = self._at_loss, {}
        self._lost_s = float("-inf")
        for run in lost:
            self.run_ended(run)
        return Loss(tuple(lost), alone=list(lost.values()) == [True])
