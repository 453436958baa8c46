"""A hot key and other keys on one server, with and without fair queueing.

The other keys ("neighbours") together send requests for 40% of the server's capacity,
the hot key for ten times as much. The ratio is the neighbours' p99 latency with the
hot key over that without it. A refused request counts with the full timeout.
"""

import random

from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.load_model import (
    Clock,
    ModelServer,
    percentile,
    schedule_arrivals,
)

__all__ = ["run"]

NEIGHBOURS_LOAD = 0.4
HOT_LOAD_FACTOR = 10.0
NEIGHBOURS = 20
SECONDS = 10.0
WARM_UP_S = 1.0
TIMEOUT_S = 0.8


def _measure_neighbours(hot, fair):
    """Return the p99 latency in seconds and the refused fraction of the neighbours."""
    clock, rng = Clock(), random.Random(4)
    server = ModelServer(clock, rng)
    server.state.fair = fair
    latencies_s, refused = [], []

    def send_neighbour():
        sent_s = clock.now_s

        def on_outcome(outcome):
            if sent_s >= WARM_UP_S:
                latencies_s.append(outcome.latency_s if outcome.good else TIMEOUT_S)
                refused.append(not outcome.good)

        server.send(rng.randrange(NEIGHBOURS), TIMEOUT_S, on_outcome)

    rate = NEIGHBOURS_LOAD * server.capacity_per_s
    schedule_arrivals(clock, rng, rate, 0.0, SECONDS, send_neighbour)
    if hot:
        schedule_arrivals(
            clock,
            rng,
            HOT_LOAD_FACTOR * rate,
            0.0,
            SECONDS,
            lambda: server.send("hot", TIMEOUT_S, lambda outcome: None),
        )
    clock.run(SECONDS + 5.0)
    return percentile(latencies_s, 0.99), sum(refused) / len(refused)


def run():
    """Return the figures."""
    figures = []
    for fair, name in ((True, ""), (False, "_without")):
        alone_s, _ = _measure_neighbours(hot=False, fair=fair)
        with_hot_key_s, refused = _measure_neighbours(hot=True, fair=fair)
        figures.append(
            Figure(
                name=f"neighbours_p99_ratio{name}",
                value=with_hot_key_s / alone_s,
                unit="ratio",
                note=f"{with_hot_key_s * 1000:.1f} ms over {alone_s * 1000:.1f} ms",
            )
        )
        figures.append(
            Figure(
                name=f"neighbours_refused{name}",
                value=refused,
                unit="part",
                note="beside the hot key",
            )
        )
    return figures


if __name__ == "__main__":
    for figure in run():
        print(figure.name, figure.value, figure.unit, figure.note)
