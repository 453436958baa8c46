"""The minimum share of a backend server's slots that each rank keeps under overload.

A queue that is ordered by rank alone serves nothing of the least urgent rank while more
urgent requests ask for all slots. This module reads no clock.
"""

import attrs

__all__ = ["MinimumShares"]


@attrs.define
class MinimumShares:
    """Tell which rank is owed the next slot, ahead of more urgent ones.

    ``shares`` are the fractions of the slot time that are kept for each rank, empty
    while the server isn't overloaded. While requests of a rank wait, the rank is
    credited its share of the time that each started request takes. Once the credit
    covers one of its own requests, the rank is owed a slot. A rank that doesn't wait
    saves up nothing. ``started`` counts the slots that ranks got by their credit.

    >>> minimums = MinimumShares(shares={1: 0.2})
    >>> for _ in range(5):
    ...     minimums.record_started(0, work_s=0.1, waiting=[1])
    >>> minimums.owed({1: 0.1})
    1
    """

    shares: dict = attrs.Factory(dict)
    started: dict = attrs.Factory(dict)
    _credit_s: dict = attrs.Factory(dict)

    def record_started(self, rank, work_s, waiting):
        """Record that a request began to occupy a slot.

        ``rank`` is ``None`` for nested calls, which have no minimum. ``work_s`` is the
        time that the request will probably take, and ``waiting`` are the ranks of
        which other requests wait.
        """
        credits = {}
        for waiting_rank in waiting:
            share = self.shares.get(waiting_rank, 0.0)
            known_s = self._credit_s.get(waiting_rank, 0.0)
            credits[waiting_rank] = known_s + share * work_s
        if rank in credits:
            # What a rank gets beyond its minimum isn't held against it later.
            credits[rank] = max(credits[rank] - work_s, 0.0)
        self._credit_s = credits

    def record_owed_start(self, rank):
        """Count a slot that a rank was given because it was owed one."""
        self.started[rank] = self.started.get(rank, 0) + 1

    def owed(self, next_work_s):
        """Return the rank that is owed the next slot, or ``None``.

        ``next_work_s`` holds the time that the next request of each waiting rank takes.
        """
        owed = [
            rank
            for rank, work_s in next_work_s.items()
            if rank in self.shares and self._credit_s.get(rank, 0.0) >= work_s - 1e-9
        ]
        return min(owed, default=None)

    def wait_s(self, rank, ahead, work_s, slots):
        """Return within what time the minimum of a rank serves its request.

        ``ahead`` is the place of the request among those of its rank, from 1 on.
        Without a minimum, the time is infinite.
        """
        share = self.shares.get(rank, 0.0)
        return ahead * work_s / (share * slots) if share > 0 else float("inf")
