"""Bounds on the requests that a backend server gets in a time."""

from abc import ABC, abstractmethod

from comfreywharf.routing import Reason

__all__ = ["ArrivalBound", "ArrivalBounds"]


class ArrivalBound(ABC):
    """A bound on the requests to one backend server.

    A request takes a permit when it is admitted, and keeps it until it is sent or ends
    unsent. Only its sending counts against the bound, so that requests which waited for
    a connection can't arrive together beyond it. ``reason`` is the `Reason` for which
    requests beyond the bound are refused.
    """

    reason = Reason.OVERLOADED

    @abstractmethod
    def is_active(self, now_s):
        """Return whether the server's requests are bounded."""

    @abstractmethod
    def is_open(self, now_s):
        """Return whether another request may be admitted."""

    @abstractmethod
    def take(self, permit, now_s):
        """Take a permit for a request that is admitted."""

    @abstractmethod
    def record_sent(self, permit, now_s):
        """Count a request that is sent now."""

    @abstractmethod
    def end(self, permit):
        """Return the permit of a request that ended; it may not have been sent."""

    @abstractmethod
    def wait_s(self, ahead, now_s):
        """Return how long the request at place ``ahead`` of a queue waits at least.

        It is infinite if nothing is admitted at all.
        """

    def retry_after_s(self, ahead, now_s):
        """Return the least delay before a refused caller retries, for this bound.

        ``ahead`` is its place in the queue if it came back at once.
        """
        return 0.0


class ArrivalBounds(ArrivalBound):
    """Several bounds that all hold.

    A server may be cold and name a limit at the same time. The two have different
    spans, and each comes and goes by itself.
    """

    def __init__(self, *bounds):
        self._bounds = bounds

    def is_active(self, now_s):
        """Return whether a bound is active."""
        return any(bound.is_active(now_s) for bound in self._bounds)

    def is_open(self, now_s):
        """Return whether all bounds admit another request."""
        return all(bound.is_open(now_s) for bound in self._bounds)

    def take(self, permit, now_s):
        """Take a permit of each bound."""
        for bound in self._bounds:
            bound.take(permit, now_s)

    def record_sent(self, permit, now_s):
        """Count a request that is sent now."""
        for bound in self._bounds:
            bound.record_sent(permit, now_s)

    def end(self, permit):
        """Return the permits of a request that ended."""
        for bound in self._bounds:
            bound.end(permit)

    def wait_s(self, ahead, now_s):
        """Return the longest wait of all bounds."""
        return max((bound.wait_s(ahead, now_s) for bound in self._bounds), default=0.0)

    def retry_after_s(self, ahead, now_s):
        """Return the longest delay of all bounds."""
        return max(
            (bound.retry_after_s(ahead, now_s) for bound in self._bounds), default=0.0
        )

    def strictest(self, now_s):
        """Return the active bound with the longest wait; ``None`` if none is active."""
        active = [bound for bound in self._bounds if bound.is_active(now_s)]
        return max(active, key=lambda bound: bound.wait_s(1, now_s), default=None)
