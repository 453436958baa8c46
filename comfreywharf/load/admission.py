"""Admission at the owner: which requests run now, wait, or are refused at once.

`decide` is the whole of it: the shell tells what happened, and carries out what
is returned. It imports no clock, and chance comes with the state.
"""

import random
from enum import Enum

import attrs

from comfreywharf.load.estimates import ServiceTimes
from comfreywharf.load.fairqueue import FairQueue, RequestQueue, Ticket
from comfreywharf.load.limits import ConcurrencyLimit
from comfreywharf.routing import Reason

__all__ = [
    "AdmissionState",
    "Arrived",
    "Begin",
    "Finished",
    "GaveUp",
    "Result",
    "RetryAfter",
    "Shed",
    "TimePassed",
    "decide",
    "shed_before_body",
]

MAX_ALONE = 16
"""How many suspects may wait for their turn to run alone."""

ALONE_DRAIN_S = 0.25
"""How long the backend server is emptied for a suspect before it is refused."""

ALONE_SHARE = 0.2
"""The part of the backend server's time that suspects may take."""

FLOW_RESERVE = 1
"""Slots that a single flow leaves free for others, where there are enough."""

MIN_SLOTS_FOR_RESERVE = 4
"""From how many slots on one is reserved."""

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3.0
"""Bounds before the spread. Callers who come back much later than an overload
ended keep new callers from being served at their first try."""

RANK_WEIGHT = 0.02
"""The weight of the newest request in the shares of the ranks."""

LEAST_SHARE = 0.1
"""What is left of the slots for the least urgent, at the least, in estimates."""

SHED_WEIGHT = 0.02
"""The weight of the newest request in the fraction of refused ones."""


class Result(Enum):
    """How a begun request ended, as far as admission is concerned.

    ``REFUSED``: by the backend server, which proved that it didn't run it;
    ``UNUSED``: nothing was sent, so that nothing can be learnt from it.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNUSED = "unused"


@attrs.frozen
class Arrived:
    """A request asks to be forwarded."""

    ticket: Ticket


@attrs.frozen
class Finished:
    """A begun request no longer occupies the backend server."""

    ticket: Ticket
    result: Result


@attrs.frozen
class GaveUp:
    """The caller of a waiting request hung up."""

    ticket: Ticket


@attrs.frozen
class TimePassed:
    """Nothing happened for a while, and requests wait."""


@attrs.frozen
class Begin:
    """Forward the request now."""

    ticket: Ticket


@attrs.frozen
class Shed:
    """Refuse the request now, and say when to come back."""

    ticket: Ticket
    reason: Reason
    retry_after_s: float


@attrs.frozen
class RetryAfter:
    """Bounds of when a refused caller is told to come back, before the spread.

    Callers whose own time is short are told to come back sooner: later than their
    latency target, the second attempt is worth little even if it is served.
    """

    least_s: float = MIN_RETRY_AFTER_S
    most_s: float = MAX_RETRY_AFTER_S


@attrs.define
class AdmissionState:
    """What is known of one backend server and of those who wait for it.

    ``fair`` and ``by_deadline`` switch a mechanism off, so that benchmarks and
    tests can show what it is for.
    """

    limit: ConcurrencyLimit
    queue_length: int
    chance: random.Random
    times: ServiceTimes = attrs.Factory(ServiceTimes)
    kind_times: dict[object, ServiceTimes] = attrs.Factory(dict)
    queue: RequestQueue = attrs.Factory(FairQueue)
    in_flight: set[Ticket] = attrs.Factory(set)
    flows_in_flight: dict[object, int] = attrs.Factory(dict)
    fair: bool = True
    by_deadline: bool = True
    shed_fraction: float = 0.0
    last_finish_s: float | None = None
    alone_waiting: list[Ticket] = attrs.Factory(list)
    alone_since_s: float | None = None
    alone_not_before_s: float = float("-inf")
    rank_shares: dict[int, float] = attrs.Factory(dict)
    retry_after: RetryAfter = attrs.Factory(lambda: RetryAfter())

    def urgent_share(self, rank):
        """Return which part of the begun requests was more urgent than a rank."""
        return sum(share for r, share in self.rank_shares.items() if r < rank)

    def typical_s(self, kind, now_s):
        """Return the time that a request of a kind needs once it was begun.

        By the median of all, a short one would look hopeless on a server that is busy
        with uploads.
        """
        return self.kind_times.get(kind, self.times).typical_s(now_s)

    @property
    def waiting(self):
        """Return how many requests wait."""
        return len(self.queue) + len(self.alone_waiting)

    @property
    def runs_alone(self):
        """Return whether the request in flight must stay the only one."""
        return len(self.in_flight) == 1 and next(iter(self.in_flight)).alone


def decide(state, event, now_s):
    """Apply an event and return the `Begin` and `Shed` actions that follow."""
    match event:
        case Arrived(ticket=ticket):
            return _arrive(state, ticket, now_s)
        case Finished(ticket=ticket, result=result):
            _finish(state, ticket, result, now_s)
            return _begin_next(state, now_s)
        case GaveUp(ticket=ticket):
            _forget(state, ticket)
            return _begin_next(state, now_s)
        case TimePassed():
            return _shed_hopeless(state, now_s) + _begin_next(state, now_s)
    raise TypeError(f"expected an admission event, got {event!r}")


def shed_before_body(state, ticket, ahead, now_s):
    """Return the `Shed` of a request whose body isn't worth sending, or ``None``.

    ``ahead`` others wait for their bodies to be sent, and come before it.
    """
    sent_s = now_s + state.times.wait_s(ahead, state.limit.allowed(), now_s)
    if not ahead and not state.queue and _free(state):
        served = not _hopeless(state, ticket, sent_s)
    else:
        served = _fits_in_queue(state, ticket, sent_s)
    return None if served else _shed(state, ticket, Reason.OVERLOADED, now_s)


def _arrive(state, ticket, now_s):
    if not state.fair:
        ticket.flow = None
    if ticket.alone:
        return _arrive_alone(state, ticket, now_s)
    if _free(state) and not state.queue and not _held_back(state, ticket.flow):
        if _hopeless(state, ticket, now_s):
            return [_shed(state, ticket, Reason.DEADLINE_BEFORE_START, now_s)]
        return [_begin(state, ticket, now_s)]
    if not _fits_in_queue(state, ticket, now_s):
        return [_shed(state, ticket, Reason.OVERLOADED, now_s)]
    state.queue.push(ticket)
    actions = []
    if len(state.queue) > state.queue_length:
        dropped = state.queue.drop_from_longest()
        actions.append(_shed(state, dropped, Reason.OVERLOADED, now_s))
    return actions + _begin_next(state, now_s)


def _arrive_alone(state, ticket, now_s):
    if len(state.alone_waiting) >= MAX_ALONE:
        return [_shed(state, ticket, Reason.OVERLOADED, now_s)]
    state.alone_waiting.append(ticket)
    state.alone_waiting.sort()
    return _begin_next(state, now_s)


def _free(state):
    """Return whether a request that needn't run alone may begin."""
    if state.runs_alone or state.alone_since_s is not None:
        return False
    return len(state.in_flight) < state.limit.allowed()


def _held_back(state, flow):
    """Return whether a flow has all the slots that one flow may have."""
    allowed = state.limit.allowed()
    if not state.fair or flow is None or allowed < MIN_SLOTS_FOR_RESERVE:
        return False
    return state.flows_in_flight.get(flow, 0) >= allowed - FLOW_RESERVE


def _hopeless(state, ticket, now_s):
    """Return whether a request can't be done by its deadline if begun now.

    Begun all the same, it would take a slot from one that can be done, and its
    caller would learn nothing: in an overload each slot would be busy with work
    whose caller is gone, and goodput would fall to nothing.
    """
    if not state.by_deadline:
        return False
    return now_s + state.typical_s(ticket.kind, now_s) > ticket.deadline_s


def _fits_in_queue(state, ticket, now_s):
    """Return whether a request that waits can probably be done by its deadline.

    One that can't be done by its target waits behind those that can, for a slot that
    they leave. Refused for the target's sake, it would come back with less of its time
    left, and a late answer is worth more to its caller than none.
    """
    if not state.by_deadline:
        return True
    done_s = _done_s(state, ticket, now_s)
    if ticket.target_s is not None and done_s > ticket.target_s:
        ticket.make_late()
        done_s = _done_s(state, ticket, now_s)
    return done_s <= ticket.deadline_s


def _done_s(state, ticket, now_s):
    """Return when a request is probably done that waits from now on."""
    ahead = state.queue.ahead_of(ticket) + 1
    wait_s = state.times.wait_s(ahead, state.limit.allowed(), now_s)
    # More urgent requests that come later go before this one all the same.
    wait_s /= max(1 - state.urgent_share(ticket.turn), LEAST_SHARE)
    return now_s + wait_s + state.typical_s(ticket.kind, now_s)


def _begin_next(state, now_s):
    actions = _begin_alone(state, now_s)
    while state.queue and _free(state):
        ticket = state.queue.pop(skip=_flows_held_back(state))
        if ticket is None:
            break
        if _hopeless(state, ticket, now_s):
            shed = _shed(state, ticket, Reason.DEADLINE_BEFORE_START, now_s)
            actions.append(shed)
        elif state.queue and _misses_target(state, ticket, now_s):
            # It would be late, and make the next one late as well: in a steady
            # overload every answer then misses its target by a little.
            ticket.make_late()
            if _fits_in_queue(state, ticket, now_s):
                state.queue.push(ticket)
            else:
                actions.append(_shed(state, ticket, Reason.OVERLOADED, now_s))
        else:
            actions.append(_begin(state, ticket, now_s))
    return actions


def _misses_target(state, ticket, now_s):
    if ticket.target_s is None:
        return False
    return now_s + state.typical_s(ticket.kind, now_s) > ticket.target_s


def _flows_held_back(state):
    if not state.fair:
        return frozenset()
    return {flow for flow in state.flows_in_flight if _held_back(state, flow)}


def _begin_alone(state, now_s):
    """Empty the backend server for a suspect, begin it, or refuse it.

    The server stands still for the others meanwhile; a caller who sends
    suspects again and again could bring it to a halt. Their turns are therefore
    bounded in length and in their share of the time.
    """
    if not state.alone_waiting or now_s < state.alone_not_before_s:
        return []
    if not state.in_flight:
        state.alone_since_s = None
        ticket = state.alone_waiting.pop(0)
        if _hopeless(state, ticket, now_s):
            return [_shed(state, ticket, Reason.DEADLINE_BEFORE_START, now_s)]
        return [_begin(state, ticket, now_s)]
    if state.runs_alone:
        return []
    if state.alone_since_s is None:
        state.alone_since_s = now_s
    if now_s - state.alone_since_s < ALONE_DRAIN_S:
        return []
    ticket = state.alone_waiting.pop(0)
    _pause_alone(state, state.alone_since_s, now_s)
    return [_shed(state, ticket, Reason.OVERLOADED, now_s)]


def _pause_alone(state, since_s, now_s):
    state.alone_since_s = None
    state.alone_not_before_s = now_s + (now_s - since_s) * (1 / ALONE_SHARE - 1)


def _begin(state, ticket, now_s):
    ticket.begun_s = now_s
    state.in_flight.add(ticket)
    flows = state.flows_in_flight
    flows[ticket.flow] = flows.get(ticket.flow, 0) + 1
    state.shed_fraction *= 1 - SHED_WEIGHT
    shares = state.rank_shares
    for rank in shares:
        shares[rank] *= 1 - RANK_WEIGHT
    shares[ticket.turn] = shares.get(ticket.turn, 0.0) + RANK_WEIGHT
    return Begin(ticket)


def _finish(state, ticket, result, now_s):
    state.in_flight.remove(ticket)
    flows = state.flows_in_flight
    flows[ticket.flow] -= 1
    if not flows[ticket.flow]:
        del flows[ticket.flow]
    if ticket.alone:
        _pause_alone(state, ticket.begun_s, now_s)
    if state.queue and state.last_finish_s is not None:
        state.times.add_gap(now_s - state.last_finish_s, now_s)
    state.last_finish_s = now_s if state.queue else None
    if result is Result.REFUSED:
        state.limit.refused(now_s)
    if result in (Result.REFUSED, Result.UNUSED):
        return
    own_times = state.kind_times.setdefault(ticket.kind, ServiceTimes())
    for times in (state.times, own_times):
        times.add(now_s - ticket.begun_s, now_s)
    if result is Result.ANSWERED:
        state.limit.answered()


def _forget(state, ticket):
    if ticket in state.alone_waiting:
        state.alone_waiting.remove(ticket)
    else:
        state.queue.remove(ticket)
    _end_drain_for_none(state)


def _end_drain_for_none(state):
    if not state.alone_waiting:
        state.alone_since_s = None


def _shed_hopeless(state, now_s):
    hopeless = [ticket for ticket in state.queue if _hopeless(state, ticket, now_s)]
    hopeless += [t for t in state.alone_waiting if _hopeless(state, t, now_s)]
    for ticket in hopeless:
        _forget(state, ticket)
    reason = Reason.DEADLINE_BEFORE_START
    return [_shed(state, ticket, reason, now_s) for ticket in hopeless]


def _shed(state, ticket, reason, now_s):
    state.shed_fraction += SHED_WEIGHT * (1 - state.shed_fraction)
    return Shed(ticket, reason, _retry_after_s(state, now_s))


def _retry_after_s(state, now_s):
    """Return when to come back: later the more is refused, and spread out.

    Callers that come back all together, or sooner than the backend server can
    take them, keep an overload alive after its cause has gone.
    """
    drain_s = state.times.wait_s(state.waiting, state.limit.allowed(), now_s)
    least_s, most_s = state.retry_after.least_s, state.retry_after.most_s
    served = max(1 - state.shed_fraction, least_s / most_s)
    wanted_s = min(max(least_s, drain_s) / served, most_s)
    return max(wanted_s * state.chance.uniform(0.5, 1.5), least_s)
