"""A rate limit for each kind of event, so that an outage doesn't fill logs and ring."""

import attrs

__all__ = ["RateLimit"]


@attrs.define
class _Bucket:
    tokens: float
    refilled_s: float
    withheld: int = 0


class RateLimit:
    """A token bucket for each kind of event, which counts the withheld events.

    During an outage, every node reports the same event many times a second.
    Without a limit, this would fill the console of a VM without disks, and the
    consequences of the outage would push its cause out of the ring. Each kind has
    its own bucket, so that a frequent kind can't suppress a rare one.

    >>> limit = RateLimit(burst=1, per_s=0.5)
    >>> [limit.admit("log_unreachable", now_s) for now_s in (0.0, 0.1, 0.2, 9.0)]
    [0, None, None, 2]
    """

    def __init__(self, burst, per_s):
        self._burst = burst
        self._per_s = per_s
        self._buckets = {}

    def admit(self, name, now_s):
        """Admit an event, or withhold it.

        Returns how many events of its kind were withheld since the last admitted
        one, or ``None`` if this event has to be withheld as well.
        """
        bucket = self._refill(name, now_s)
        if bucket.tokens < 1:
            bucket.withheld += 1
            return None
        bucket.tokens -= 1
        withheld, bucket.withheld = bucket.withheld, 0
        return withheld

    def withhold(self, name, now_s):
        """Count an event that is withheld for another reason than the rate limit."""
        self._refill(name, now_s).withheld += 1

    def _refill(self, name, now_s):
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(float(self._burst), now_s)
        gained = (now_s - bucket.refilled_s) * self._per_s
        bucket.tokens = min(self._burst, bucket.tokens + max(gained, 0.0))
        bucket.refilled_s = now_s
        return bucket

    def take_withheld(self, now_s, quiet_s):
        """Return and reset the counts of kinds without an event for ``quiet_s``.

        The result is a list of ``(name, count)`` for the kinds of which events
        were withheld. Without this, the last count of an outage would be reported
        only when the next outage begins.
        """
        counts = []
        for name, bucket in self._buckets.items():
            if bucket.withheld and now_s - bucket.refilled_s >= quiet_s:
                counts.append((name, bucket.withheld))
                bucket.withheld = 0
        return counts
