"""Admission at the owner: which requests run now, wait, or are refused at once.

The caller reports events to `decide` and carries out the actions it returns.
The module reads no clock; its source of randomness is part of the state.
"""

import random
from collections import Counter
from enum import Enum

import attrs

from comfreywharf.load.bounds import ArrivalBounds
from comfreywharf.load.estimates import ServiceTimes
from comfreywharf.load.fairqueue import FairQueue, RequestQueue, Ticket
from comfreywharf.load.limits import ConcurrencyLimit
from comfreywharf.load.minimums import MinimumShares
from comfreywharf.routing import Reason

__all__ = [
    "AdmissionState",
    "Arrived",
    "Begin",
    "CallerDisconnected",
    "Finished",
    "Result",
    "Shed",
    "TimePassed",
    "decide",
    "shed_before_body",
]

MAX_WAITING_SUSPECTS = 16
"""Limit on the suspects that wait to run alone."""

SUSPECT_DRAIN_S = 0.25
"""Time that the backend server is drained for a suspect before the suspect is
refused."""

SUSPECT_TIME_SHARE = 0.2
"""Limit on the fraction of the backend server's time that suspects take."""

SLOTS_LEFT_TO_OTHER_FLOWS = 1
"""Slots that a single flow leaves to other flows."""

MIN_SLOTS_FOR_RESERVE = 4
"""Number of slots from which on `SLOTS_LEFT_TO_OTHER_FLOWS` applies."""

UNKNOWN_RETRY_SHARE = 1 / 3
"""Share of a refused caller's remaining time after which it should return, if nothing
is known of the server's pace. Callers wait no longer."""

MAX_RETURNS = 10
"""Highest number of callers per served one that a retry delay allows for."""

RANK_WEIGHT = 0.02
"""Weight of the newest request in the moving shares of the ranks."""

MIN_SLOT_SHARE = 0.1
"""Lower bound on the share of the slots that an estimate of the waiting time leaves
to a rank."""

SHED_WEIGHT = 0.02
"""Weight of the newest request in the moving fraction of refused requests."""


MAX_PACE_ERROR = 0.25
"""Relative error of the estimated pace that is allowed for before a waiting request is
refused. The estimate varies, and is looked at often while a request waits: each one
would else be refused by the worst estimate of its wait."""


class Result(Enum):
    """How a started request ended, as far as admission is concerned.

    ``REFUSED``: the backend server refused it and provably didn't run it;
    ``UNUSED``: nothing was sent, so that the result says nothing about the server.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNUSED = "unused"


@attrs.frozen
class Arrived:
    """A request has arrived."""

    ticket: Ticket


@attrs.frozen
class Finished:
    """A started request no longer occupies the backend server."""

    ticket: Ticket
    result: Result


@attrs.frozen
class CallerDisconnected:
    """The caller of a waiting request disconnected."""

    ticket: Ticket


@attrs.frozen
class TimePassed:
    """Time has passed without another event while requests wait."""


@attrs.frozen
class Begin:
    """Forward the request now."""

    ticket: Ticket


@attrs.frozen
class Shed:
    """Refuse the request now; ``retry_after_s`` is the delay before a retry."""

    ticket: Ticket
    reason: Reason
    retry_after_s: float


@attrs.define
class AdmissionState:
    """State of one backend server and of the requests that wait for it.

    ``bounds`` bound the requests while the server is cold or names a limit. ``times``
    are the service times of all requests, ``kind_times`` those of each kind.
    The backlog's last request finished at ``last_finish_s``, or it began then; ``None``
    without a backlog. ``shed_fraction`` is the moving fraction of refused requests,
    ``rank_shares`` the moving shares of the ranks in the started ones. ``minimums``
    keep some of the slots for each rank while the server is overloaded. The server has
    been drained for a suspect since ``suspect_drain_since_s``; no further suspect is
    started before ``suspect_not_before_s``. Benchmarks and tests set ``fair`` or
    ``by_deadline`` to false to show the effect of the mechanism.
    """

    limit: ConcurrencyLimit
    queue_length: int
    rng: random.Random
    bounds: ArrivalBounds = attrs.Factory(ArrivalBounds)
    times: ServiceTimes = attrs.Factory(ServiceTimes)
    kind_times: dict[object, ServiceTimes] = attrs.Factory(dict)
    queue: RequestQueue = attrs.Factory(FairQueue)
    in_flight: set[Ticket] = attrs.Factory(set)
    flows_in_flight: dict[object, int] = attrs.Factory(dict)
    fair: bool = True
    by_deadline: bool = True
    shed_fraction: float = 0.0
    last_finish_s: float | None = None
    waiting_suspects: list[Ticket] = attrs.Factory(list)
    suspect_drain_since_s: float | None = None
    suspect_not_before_s: float = float("-inf")
    rank_shares: dict[int, float] = attrs.Factory(dict)
    minimums: MinimumShares = attrs.Factory(MinimumShares)

    def more_urgent_share(self, rank):
        """Return the fraction of started requests that were more urgent than a rank."""
        return sum(share for r, share in self.rank_shares.items() if r < rank)

    def typical_s(self, kind, now_s):
        """Return the typical service time of a kind of request, in seconds.

        By the median of all kinds, a short request would seem unable to meet its
        deadline on a server that is busy with uploads.
        """
        return self.kind_times.get(kind, self.times).typical_s(now_s)

    def wait_s(self, ahead, now_s):
        """Return the wait in seconds of the request at place ``ahead`` of a queue."""
        slots_wait_s = self.times.wait_s(ahead, self.limit.max_in_flight(), now_s)
        return max(slots_wait_s, self.bounds.wait_s(ahead, now_s))

    @property
    def waiting(self):
        """Return how many requests wait."""
        return len(self.queue) + len(self.waiting_suspects)

    @property
    def suspect_running(self):
        """Return whether the only request in flight has to run alone."""
        return len(self.in_flight) == 1 and next(iter(self.in_flight)).alone


def decide(state, event, now_s):
    """Apply an event and return the resulting `Begin` and `Shed` actions.

    The state is changed in place. Raise a `TypeError` if ``event`` isn't an
    admission event.
    """
    match event:
        case Arrived(ticket=ticket):
            return _arrive(state, ticket, now_s)
        case Finished(ticket=ticket, result=result):
            _finish(state, ticket, result, now_s)
            return _begin_next(state, now_s)
        case CallerDisconnected(ticket=ticket):
            _remove_waiting(state, ticket)
            return _begin_next(state, now_s)
        case TimePassed():
            return _shed_unservable(state, now_s) + _begin_next(state, now_s)
    raise TypeError(f"expected an admission event, got {event!r}")


def shed_before_body(state, ticket, ahead, now_s):
    """Return a `Shed` if a request isn't worth sending its body, or ``None``.

    ``ahead`` is the number of earlier requests that wait to send their bodies.
    """
    sent_s = now_s + state.wait_s(ahead, now_s)
    if not ahead and not state.queue and _slot_available(state, now_s):
        served = not _misses_deadline(state, ticket, sent_s)
    else:
        served = not _waits_too_long(
            state, ticket, now_s, ahead
        ) and _meets_deadline_queued(state, ticket, sent_s)
    return None if served else _shed_for_lack_of_room(state, ticket, now_s)


def _arrive(state, ticket, now_s):
    if not state.fair:
        ticket.flow = None
    if ticket.alone:
        return _arrive_suspect(state, ticket, now_s)
    if (
        _slot_available(state, now_s)
        and not state.queue
        and not _is_flow_at_limit(state, ticket.flow)
    ):
        if _misses_deadline(state, ticket, now_s):
            return [_shed(state, ticket, Reason.DEADLINE_BEFORE_START, now_s)]
        return [_begin(state, ticket, now_s)]
    if _waits_too_long(state, ticket, now_s) or not _meets_deadline_queued(
        state, ticket, now_s
    ):
        return [_shed_for_lack_of_room(state, ticket, now_s)]
    state.queue.push(ticket)
    slots = state.limit.max_in_flight()
    if state.last_finish_s is None and not state.times.has_pace(slots, now_s):
        state.last_finish_s = now_s
    actions = []
    if len(state.queue) > state.queue_length:
        evicted = state.queue.evict()
        actions.append(_shed_for_lack_of_room(state, evicted, now_s))
    return actions + _begin_next(state, now_s)


def _waits_too_long(state, ticket, now_s, bodies_ahead=0):
    """Return whether a request may find a slot sooner at another server."""
    if ticket.max_wait_s is None:
        return False
    ahead = state.queue.ahead_of(ticket) + bodies_ahead + 1
    place_in_rank = state.queue.ahead_in_rank(ticket) + 1
    minimum_wait_s = _minimum_wait_s(state, ticket, place_in_rank, now_s)
    return min(state.wait_s(ahead, now_s), minimum_wait_s) > ticket.max_wait_s


def _arrive_suspect(state, ticket, now_s):
    if len(state.waiting_suspects) >= MAX_WAITING_SUSPECTS:
        return [_shed(state, ticket, Reason.OVERLOADED, now_s)]
    state.waiting_suspects.append(ticket)
    state.waiting_suspects.sort()
    return _shed_unservable_suspects(state, now_s) + _begin_next(state, now_s)


def _slot_available(state, now_s):
    """Return whether a slot is available for a request that needn't run alone."""
    if state.suspect_running or state.suspect_drain_since_s is not None:
        return False
    if len(state.in_flight) >= state.limit.max_in_flight():
        return False
    return state.bounds.is_open(now_s)


def _is_flow_at_limit(state, flow):
    """Return whether a flow occupies all the slots that one flow may have."""
    allowed = state.limit.max_in_flight()
    if not state.fair or flow is None or allowed < MIN_SLOTS_FOR_RESERVE:
        return False
    return state.flows_in_flight.get(flow, 0) >= allowed - SLOTS_LEFT_TO_OTHER_FLOWS


def _misses_deadline(state, ticket, now_s):
    """Return whether a request started now would probably miss its deadline.

    If it were started anyway, it would take a slot from a request that can meet
    its deadline. In an overload every slot would be busy with requests whose
    callers have given up, and goodput would drop to zero.
    """
    if not state.by_deadline:
        return False
    return now_s + state.typical_s(ticket.kind, now_s) > ticket.deadline_s


def _meets_deadline_queued(state, ticket, now_s):
    """Return whether a request that waits probably meets its deadline.

    A request that would miss its latency target is marked as late, and waits
    behind those that can meet theirs. It isn't refused because of the target: its
    caller has time until the deadline.
    """
    if not state.by_deadline:
        return True
    completion_s = _completion_s(state, ticket, now_s)
    if ticket.target_s is not None and completion_s > ticket.target_s:
        ticket.mark_late()
        completion_s = _completion_s(state, ticket, now_s)
    return completion_s <= ticket.deadline_s


def _completion_s(state, ticket, now_s):
    """Return the estimated completion time of a request that starts to wait now."""
    place = state.queue.ahead_of(ticket) + 1
    place_in_rank = state.queue.ahead_in_rank(ticket) + 1
    wait_s = state.wait_s(place, now_s)
    # More urgent requests that arrive later still run before this one.
    wait_s /= max(1 - state.more_urgent_share(ticket.effective_rank), MIN_SLOT_SHARE)
    wait_s = min(wait_s, _minimum_wait_s(state, ticket, place_in_rank, now_s))
    return now_s + wait_s + state.typical_s(ticket.kind, now_s)


def _earliest_completion_s(state, ticket, place, place_in_rank, now_s):
    """Return when a request at a place of the queue is completed at the earliest.

    That is if nothing more urgent arrives, and the server is as fast as its estimated
    pace may mean.
    """
    wait_s = state.wait_s(place, now_s) * (1 - MAX_PACE_ERROR)
    wait_s = min(wait_s, _minimum_wait_s(state, ticket, place_in_rank, now_s))
    return now_s + wait_s + state.typical_s(ticket.kind, now_s)


def _minimum_wait_s(state, ticket, place_in_rank, now_s):
    """Return within what time the minimum share of a request's rank serves it."""
    if ticket.nested or not state.minimums.shares:
        return float("inf")
    slots_wait_s = state.minimums.wait_s(
        ticket.rank,
        place_in_rank,
        state.typical_s(ticket.kind, now_s),
        state.limit.max_in_flight(),
    )
    return max(slots_wait_s, state.bounds.wait_s(1, now_s))


def _begin_next(state, now_s):
    actions = _begin_suspect(state, now_s)
    while state.queue and _slot_available(state, now_s):
        owed = _owed_ticket(state, now_s)
        ticket = owed or state.queue.pop(skip=_flows_at_limit(state))
        if ticket is None:
            break
        if _misses_deadline(state, ticket, now_s):
            shed = _shed(state, ticket, Reason.DEADLINE_BEFORE_START, now_s)
            actions.append(shed)
        elif state.queue and _misses_target(state, ticket, now_s):
            # It would miss its target and delay the next request: in a steady
            # overload every answer would then miss its target by a little.
            ticket.mark_late()
            if _meets_deadline_queued(state, ticket, now_s):
                state.queue.push(ticket)
            else:
                actions.append(_shed_for_lack_of_room(state, ticket, now_s))
        else:
            if owed:
                state.minimums.record_owed_start(ticket.rank)
            actions.append(_begin(state, ticket, now_s))
    return actions


def _owed_ticket(state, now_s):
    """Remove and return the next request of a rank that is owed a slot, or ``None``."""
    if not state.minimums.shares:
        return None
    first = state.queue.first_by_rank()
    work_s = {rank: state.typical_s(t.kind, now_s) for rank, t in first.items()}
    rank = state.minimums.owed(work_s)
    if rank is None:
        return None
    state.queue.remove(first[rank])
    return first[rank]


def _misses_target(state, ticket, now_s):
    if ticket.target_s is None:
        return False
    return now_s + state.typical_s(ticket.kind, now_s) > ticket.target_s


def _flows_at_limit(state):
    if not state.fair:
        return frozenset()
    return {flow for flow in state.flows_in_flight if _is_flow_at_limit(state, flow)}


def _begin_suspect(state, now_s):
    """Drain the backend server for a suspect, start the suspect, or refuse it.

    Other requests wait meanwhile, so that a caller who keeps sending suspects
    could block the server. The drain is therefore bounded in length, and the
    suspects' runs in their share of the time.
    """
    if not state.waiting_suspects or now_s < state.suspect_not_before_s:
        return []
    if not state.in_flight and state.bounds.is_open(now_s):
        state.suspect_drain_since_s = None
        ticket = state.waiting_suspects.pop(0)
        if _misses_deadline(state, ticket, now_s):
            return [_shed(state, ticket, Reason.DEADLINE_BEFORE_START, now_s)]
        return [_begin(state, ticket, now_s)]
    if state.suspect_running:
        return []
    if state.suspect_drain_since_s is None:
        state.suspect_drain_since_s = now_s
    if now_s - state.suspect_drain_since_s < SUSPECT_DRAIN_S:
        return []
    ticket = state.waiting_suspects.pop(0)
    _pause_suspects(state, state.suspect_drain_since_s, now_s)
    return [_shed(state, ticket, Reason.OVERLOADED, now_s)]


def _pause_suspects(state, since_s, now_s):
    state.suspect_drain_since_s = None
    state.suspect_not_before_s = now_s + (now_s - since_s) * (
        1 / SUSPECT_TIME_SHARE - 1
    )


def _begin(state, ticket, now_s):
    ticket.started_s = now_s
    state.in_flight.add(ticket)
    state.bounds.take(ticket, now_s)
    flows = state.flows_in_flight
    flows[ticket.flow] = flows.get(ticket.flow, 0) + 1
    state.shed_fraction *= 1 - SHED_WEIGHT
    if state.minimums.shares:
        state.minimums.record_started(
            None if ticket.nested else ticket.rank,
            state.typical_s(ticket.kind, now_s),
            [*state.queue.first_by_rank()],
        )
    shares = state.rank_shares
    for rank in shares:
        shares[rank] *= 1 - RANK_WEIGHT
    # Nested calls are short and many. If their lead made them more urgent here, new
    # requests of their rank would seem to wait too long, and be marked late.
    rank = ticket.rank if ticket.nested else ticket.effective_rank
    shares[rank] = shares.get(rank, 0.0) + RANK_WEIGHT
    return Begin(ticket)


def _finish(state, ticket, result, now_s):
    state.in_flight.remove(ticket)
    state.bounds.end(ticket)
    flows = state.flows_in_flight
    flows[ticket.flow] -= 1
    if not flows[ticket.flow]:
        del flows[ticket.flow]
    if ticket.alone:
        _pause_suspects(state, ticket.started_s, now_s)
    if state.queue and state.last_finish_s is not None:
        slots = state.limit.max_in_flight()
        state.times.add_gap(now_s - state.last_finish_s, slots, now_s)
    state.last_finish_s = now_s if state.queue else None
    if result is Result.REFUSED:
        state.limit.record_refusal(now_s)
    if result in (Result.REFUSED, Result.UNUSED):
        return
    own_times = state.kind_times.setdefault(ticket.kind, ServiceTimes())
    for times in (state.times, own_times):
        times.add(now_s - ticket.started_s, now_s)
    if result is Result.ANSWERED:
        state.limit.record_answer()


def _remove_waiting(state, ticket):
    if ticket in state.waiting_suspects:
        state.waiting_suspects.remove(ticket)
    else:
        state.queue.remove(ticket)
    _stop_unneeded_drain(state)


def _stop_unneeded_drain(state):
    if not state.waiting_suspects:
        state.suspect_drain_since_s = None


def _shed_unservable(state, now_s):
    """Refuse the waiting requests that probably miss their deadlines at their places.

    The server may have become slower, or colder, since they were queued. Their callers
    can still go elsewhere, or return in time.
    """
    if not state.by_deadline:
        return []
    place, places_in_rank, to_shed = 1, Counter(), []
    for ticket in state.queue.in_service_order():
        place_in_rank = places_in_rank[ticket.rank] + 1
        earliest_s = _earliest_completion_s(state, ticket, place, place_in_rank, now_s)
        if earliest_s > ticket.deadline_s:
            to_shed.append(ticket)
            continue
        place += 1
        places_in_rank[ticket.rank] += not ticket.nested
    for ticket in to_shed:
        state.queue.remove(ticket)
    actions = [_shed_for_lack_of_room(state, ticket, now_s) for ticket in to_shed]
    return actions + _shed_unservable_suspects(state, now_s)


def _shed_unservable_suspects(state, now_s):
    """Refuse the suspects that miss their deadlines by the runs and pauses before."""
    if not state.by_deadline:
        return []
    start_s = max(now_s, state.suspect_not_before_s)
    kept, actions = [], []
    for ticket in state.waiting_suspects:
        work_s = state.typical_s(ticket.kind, now_s)
        if start_s + work_s > ticket.deadline_s:
            actions.append(_shed(state, ticket, Reason.OVERLOADED, now_s))
        else:
            kept.append(ticket)
            start_s += work_s / SUSPECT_TIME_SHARE
    state.waiting_suspects = kept
    _stop_unneeded_drain(state)
    return actions


def _shed_for_lack_of_room(state, ticket, now_s):
    bound = state.bounds.strictest(now_s)
    return _shed(state, ticket, bound.reason if bound else Reason.OVERLOADED, now_s)


def _shed(state, ticket, reason, now_s):
    state.shed_fraction += SHED_WEIGHT * (1 - state.shed_fraction)
    return Shed(ticket, reason, _retry_after_s(state, ticket, now_s))


def _retry_after_s(state, ticket, now_s):
    """Return after what time a refused caller should retry, in seconds.

    There is room once those that wait have been started, and for as many of the refused
    callers as the server serves; the delay grows with the fraction that is refused. At
    the last deadline of those that wait, none of them waits any more. The delay has
    jitter, since callers that retry all at once prolong an overload.
    """
    remaining_s = max(ticket.deadline_s - now_s, 0.0)
    work_s = state.times.mean_s
    if not work_s:
        return max(remaining_s * UNKNOWN_RETRY_SHARE, _bounds_retry_s(state, now_s))
    drain_s = max(state.wait_s(state.waiting, now_s), work_s)
    served = max(1 - state.shed_fraction, 1 / MAX_RETURNS)
    wanted_s = drain_s / served * state.rng.uniform(0.5, 1.5)
    last_s = max((other.deadline_s for other in state.queue), default=now_s) - now_s
    latest_s = max(last_s, remaining_s, work_s)
    return max(min(wanted_s, latest_s), _bounds_retry_s(state, now_s))


def _bounds_retry_s(state, now_s):
    """Return the time before which the server's bounds admit no further request."""
    return state.bounds.retry_after_s(state.waiting + 1, now_s)
