"""Which loads of other servers a reply passes on.

A node of a large fleet sends each server a request every few seconds, and knows few
loads from their own replies. The present time is an argument.
"""

import heapq

__all__ = ["MAX_PASSED_LOADS", "freshest_loads"]

MAX_PASSED_LOADS = 4
"""Loads in one reply. With 66 senders and 23 servers, more of them no longer change how
many answers are in time."""

MAX_PASSED_AGE_S = 0.5
"""Age from which on a load isn't passed on. It would soon be too old to be used."""


def freshest_loads(members, now_s, count=MAX_PASSED_LOADS):
    """Return the members whose loads came last in replies of their own nodes.

    A load that was itself passed on isn't: its age leaves out the time on the way, and
    the error would grow with each node.

    >>> from comfreywharf.load.members import MemberLoad
    >>> from comfreywharf.load.serverload import LoadSnapshot
    >>> members = [MemberLoad("a"), MemberLoad("b"), MemberLoad("c")]
    >>> load = LoadSnapshot(running=1, waiting=0, slots=3, work_s=0.1)
    >>> members[0].record_load(load, now_s=5.0)
    >>> members[1].record_passed_load(load, age_s=0.1, now_s=5.0)
    >>> [member.node_id for member in freshest_loads(members, now_s=5.2)]
    ['a']
    """
    earliest_s = now_s - MAX_PASSED_AGE_S
    own = [
        member
        for member in members
        if member.load is not None
        and not member.load_passed_on
        and member.load_received_s >= earliest_s
    ]
    return heapq.nlargest(count, own, key=lambda member: member.load_received_s)
