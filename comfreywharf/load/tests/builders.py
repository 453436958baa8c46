"""Builders of admission states, tickets and measured members."""

import random

from comfreywharf.load.admission import AdmissionState
from comfreywharf.load.fairqueue import Ticket
from comfreywharf.load.limits import WARM_ANSWERS_PER_SLOT, ConcurrencyLimit
from comfreywharf.load.members import MemberLoad
from comfreywharf.load.serverload import LoadSnapshot

__all__ = ["admission_state", "load_snapshot", "make_ticket", "member", "warm_limit"]


def warm_limit(slots):
    """Return the limit of a backend server that is warm."""
    limit = ConcurrencyLimit(slots)
    for _ in range(slots * WARM_ANSWERS_PER_SLOT):
        limit.record_answer()
    return limit


def admission_state(slots=4, queue_length=8, **fields):
    """Return a state whose backend server is warm and idle."""
    return AdmissionState(
        limit=warm_limit(slots),
        queue_length=queue_length,
        rng=random.Random(0),
        **fields,
    )


def make_ticket(flow="key", now_s=0.0, patience_s=1.0, alone=False):
    """Return a ticket whose deadline is ``patience_s`` after ``now_s``."""
    return Ticket(
        flow=flow, deadline_s=now_s + patience_s, arrived_s=now_s, alone=alone
    )


def member(node_id, latency_s=0.01, failed=False, samples=10):
    """Return a member with ``samples`` equal outcomes."""
    measured = MemberLoad(node_id)
    for _ in range(samples):
        measured.begin()
        measured.finish(latency_s, failed)
    return measured


def load_snapshot(running=0, waiting=0, slots=3, work_s=0.1):
    """Return the load of a server with three slots."""
    return LoadSnapshot(running=running, waiting=waiting, slots=slots, work_s=work_s)
