"""Goodput in an overload and recovery after it, with and without admission control.

One server has 12 slots, and a request takes 10 ms on average; callers time out after
0.8 s. The variant without admission control has the same slots and an unbounded queue,
and it starts requests even if they can't meet their deadlines.
"""

import random

import attrs

from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.load_model import Clock, ModelServer, schedule_arrivals

__all__ = ["run"]

SECONDS = 10.0
TIMEOUT_S = 0.8
KEYS = 200
UNBOUNDED = 10**9

SPIKE_START_S = 10.0
SPIKE_END_S = 20.0
RECOVERY_END_S = 40.0
BASE_LOAD = 0.7
MAX_TRIES = 3
HASTY_RETRY_PAUSE_S = 0.1
RECOVERED_FRACTION = 0.9


def _server(clock, rng, admission):
    server = ModelServer(clock, rng)
    if not admission:
        server.state.by_deadline = False
        server.state.fair = False
        server.state.queue_length = UNBOUNDED
    return server


def _goodput(load, admission):
    """Return the good answers per second at a load in multiples of the capacity."""
    clock, rng = Clock(), random.Random(1)
    server = _server(clock, rng, admission)
    good = []

    def send():
        server.send(rng.randrange(KEYS), TIMEOUT_S, lambda o: good.append(o.good))

    schedule_arrivals(clock, rng, load * server.capacity_per_s, 0.0, SECONDS, send)
    clock.run(SECONDS)
    return sum(good) / SECONDS


@attrs.define
class _Caller:
    """A caller that retries a few times; a hasty one ignores Retry-After."""

    clock: Clock
    server: ModelServer
    key: int
    hasty: bool
    done: object
    tries: int = 0

    def send(self):
        self.tries += 1
        self.server.send(self.key, TIMEOUT_S, self.on_outcome)

    def on_outcome(self, outcome):
        if outcome.good or self.tries >= MAX_TRIES:
            self.done(outcome.good)
            return
        pause_s = HASTY_RETRY_PAUSE_S if self.hasty else max(outcome.retry_after_s, 0.1)
        self.clock.call_at(self.clock.now_s + pause_s, self.send)


def _recovery_s(admission, hasty):
    """Return two recovery times after a spike, in seconds.

    Each is the time after which no second falls below `RECOVERED_FRACTION`. The first
    is for the good answers, divided by the mean number of new callers; the second for
    the new callers with a good answer to their first try, divided by all new callers.
    """
    clock, rng = Clock(), random.Random(2)
    server = _server(clock, rng, admission)
    seconds = int(RECOVERY_END_S)
    new_callers, good_first_tries, good_answers = (
        [0] * seconds,
        [0] * seconds,
        [0] * seconds,
    )

    def send_new_caller():
        second = int(clock.now_s)
        new_callers[second] += 1
        caller = _Caller(clock, server, rng.randrange(KEYS), hasty, None)

        def done(good):
            good_answers[int(clock.now_s)] += good
            good_first_tries[second] += good and caller.tries == 1

        caller.done = done
        caller.send()

    base = BASE_LOAD * server.capacity_per_s
    schedule_arrivals(clock, rng, base, 0.0, RECOVERY_END_S - 2, send_new_caller)
    spike = (3.0 - BASE_LOAD) * server.capacity_per_s
    schedule_arrivals(clock, rng, spike, SPIKE_START_S, SPIKE_END_S, send_new_caller)
    clock.run(RECOVERY_END_S)
    base_count = [base] * seconds
    return _recovered_after_s(good_answers, base_count), _recovered_after_s(
        good_first_tries, new_callers
    )


def _recovered_after_s(counts, expected):
    """Return the time from the spike's end until the counts stay high, in seconds.

    A count is high from `RECOVERED_FRACTION` of the expected one. The last two seconds
    are left out, since no new callers start in them.
    """
    last = len(expected) - 3
    second = last
    while (
        second >= SPIKE_END_S
        and counts[second] >= RECOVERED_FRACTION * expected[second]
    ):
        second -= 1
    return second + 1 - SPIKE_END_S


def run():
    """Return the figures."""
    figures = []
    for admission, name in ((True, ""), (False, "_without")):
        at_capacity = _goodput(1.0, admission)
        at_twice = _goodput(2.0, admission)
        figures.append(
            Figure(
                name=f"goodput_twice_over_capacity{name}",
                value=at_twice / at_capacity,
                unit="ratio",
                note=f"{at_twice:.0f} over {at_capacity:.0f} good answers a second",
            )
        )
        for hasty, kind in ((False, "heeding"), (True, "hasty")):
            goodput_s, first_try_s = _recovery_s(admission, hasty)
            figures.append(
                Figure(
                    name=f"recovery_{kind}_callers{name}",
                    value=goodput_s,
                    unit="s",
                    note="after 10 s at 3 times the capacity, three tries a caller",
                )
            )
            figures.append(
                Figure(
                    name=f"first_try_{kind}_callers{name}",
                    value=first_try_s,
                    unit="s",
                    note="until 90% of new callers are served at once again",
                )
            )
    return figures


if __name__ == "__main__":
    for figure in run():
        print(figure.name, figure.value, figure.unit, figure.note)
