"""Test of a server that refuses part of its requests regardless of its load."""

import random

import pytest

from comfreywharf.load import ConcurrencyLimit, Ticket
from comfreywharf.load.admission import (
    AdmissionState,
    Arrived,
    Begin,
    Finished,
    Result,
    decide,
)
from comfreywharf.load.fairqueue import RankedQueue

SLOTS = 12
ARRIVALS_PER_S = 80
SERVICE_S = 0.13
REFUSAL_S = 0.002
REFUSED_SHARE = 0.55
SECONDS = 8


def forwarded_fraction(limit):
    """Return the fraction of requests that are forwarded to the server.

    80 requests per second arrive for 12 slots of 130 ms each, so that nine tenths of
    the slots would be in use if nothing were refused.
    """
    rng = random.Random(7)
    state = AdmissionState(limit, 256, random.Random(1), queue=RankedQueue())
    ends, forwarded, arrivals = [], 0, ARRIVALS_PER_S * SECONDS
    now_s = 0.0
    for number in range(arrivals):
        arrives_s = number / ARRIVALS_PER_S
        while ends and min(ends, key=lambda end: end[0])[0] <= arrives_s:
            end = min(ends, key=lambda end: end[0])
            ends.remove(end)
            forwarded += _begin(
                decide(state, Finished(end[1], end[2]), end[0]), ends, rng
            )
        now_s = arrives_s
        ticket = Ticket(
            flow=None,
            deadline_s=now_s + 1.0,
            arrived_s=now_s,
            target_s=now_s + 0.4,
        )
        forwarded += _begin(decide(state, Arrived(ticket), now_s), ends, rng)
    return forwarded / arrivals


def _begin(actions, ends, rng):
    begun = [action.ticket for action in actions if isinstance(action, Begin)]
    for ticket in begun:
        refused = rng.random() < REFUSED_SHARE
        lasts_s = REFUSAL_S if refused else SERVICE_S
        result = Result.REFUSED if refused else Result.ANSWERED
        ends.append((ticket.started_s + lasts_s, ticket, result))
    return len(begun)


@pytest.mark.parametrize(
    ("cut_on_refusal", "min_share", "max_share"), [(True, 0, 0.6), (False, 0.99, 1)]
)
def test_a_server_that_refuses_at_any_load_still_gets_requests(
    cut_on_refusal, min_share, max_share
):
    """Without cuts, refusals at any load don't stop requests from being forwarded.

    Guards against a node that refuses most of what its server would run. The server
    refuses 55 of 100 requests at any load; with ``cut_on_refusal`` each refusal
    lowers the limit, down to a single slot. Only a third of the requests was served
    then, although the servers refused about half.
    """
    share = forwarded_fraction(
        ConcurrencyLimit(SLOTS, ramp_up=False, cut_on_refusal=cut_on_refusal)
    )
    assert min_share <= share <= max_share
