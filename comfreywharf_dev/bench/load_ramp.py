"""A backend server just after its start, with and without the ramp of slots.

The server is cold until it has given 400 answers: each request in flight slows down
the others, as with empty caches and pools. The load is 60% of its warm capacity.
"""

import random

from comfreywharf.load.limits import WARM_ANSWERS_PER_SLOT
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.load_model import Clock, ModelServer, schedule_arrivals

__all__ = ["run"]

LOAD = 0.6
SECONDS = 5.0
TIMEOUT_S = 0.2
COLD_ANSWERS = 400
CONTENTION = 1.0


def _good_answers(ramp):
    clock, rng = Clock(), random.Random(5)
    server = ModelServer(clock, rng)
    server.cold_answers = COLD_ANSWERS
    server.contention = CONTENTION
    if not ramp:
        for _ in range(server.state.limit.slots * WARM_ANSWERS_PER_SLOT):
            server.state.limit.record_answer()
    good = []

    def send():
        server.send(rng.randrange(50), TIMEOUT_S, lambda o: good.append(o.good))

    schedule_arrivals(clock, rng, LOAD * server.capacity_per_s, 0.0, SECONDS, send)
    clock.run(SECONDS + 1.0)
    return sum(good)


def run():
    """Return the figures."""
    with_ramp, without = _good_answers(True), _good_answers(False)
    note = f"{with_ramp} over {without} good answers in {SECONDS:.0f} s"
    ratio = with_ramp / without
    return [
        Figure(name="good_answers_over_without", value=ratio, unit="ratio", note=note)
    ]


if __name__ == "__main__":
    for figure in run():
        print(figure.name, figure.value, figure.unit, figure.note)
