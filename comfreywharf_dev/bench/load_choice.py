"""Choice of a server for a service that isn't divided by key, with one slow server.

Four ingress nodes, each with its own measurements, send to three servers at 40% of
the three servers' capacity; one server is ten times slower. The choosers are compared
with and without ejection of slow servers. The ratio is the p99 latency with a slow
server over that without one.
"""

import random

from comfreywharf.load import Ejector, LeastInFlight, MemberLoad, RoundRobin, TwoChoices
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.load_model import (
    Clock,
    ModelServer,
    percentile,
    schedule_arrivals,
)

__all__ = ["run"]

SERVERS = 3
INGRESS_NODES = 4
LOAD = 0.4
SECONDS = 10.0
WARM_UP_S = 1.0
SLOW_FACTOR = 10.0
TIMEOUT_S = 0.8
CHOOSERS = (RoundRobin, LeastInFlight, TwoChoices)


class _Ingress:
    """An ingress node that chooses servers by its own measurements only."""

    def __init__(self, clock, rng, servers, chooser, ejects):
        self._clock = clock
        self._rng = rng
        self._servers = servers
        self._members = [MemberLoad(f"m{index}") for index in range(len(servers))]
        self._chooser = chooser()
        self._ejector = Ejector()
        self._ejects = ejects
        self.latencies_s = []

    def send(self):
        now_s = self._clock.now_s
        usable = self._members
        if self._ejects:
            usable = self._ejector.usable(self._members, now_s)
        member = self._chooser.choose(usable, self._rng)
        probe = self._ejector.is_ejected(member.node_id)
        member.begin()
        self._ejector.record_sent(member, now_s)
        server = self._servers[self._members.index(member)]
        server.send(
            None, TIMEOUT_S, lambda o: self._on_outcome(member, probe, now_s, o)
        )

    def _on_outcome(self, member, probe, sent_s, outcome):
        now_s = self._clock.now_s
        latency_s = now_s - sent_s
        if sent_s >= WARM_UP_S:
            self.latencies_s.append(latency_s if outcome.good else TIMEOUT_S)
        if outcome.refused:
            member.drop()
            self._ejector.record_no_outcome(member, probe)
            return
        failed = not outcome.good
        member.finish(latency_s, failed)
        if self._ejects:
            self._ejector.record_outcome(
                member, self._members, latency_s, failed, now_s, probe
            )


def _p99_s(chooser, ejects, slow):
    clock, rng = Clock(), random.Random(3)
    servers = [ModelServer(clock, rng) for _ in range(SERVERS)]
    if slow:
        servers[0].slow_factor = SLOW_FACTOR
    rate = LOAD * SERVERS * servers[0].capacity_per_s / INGRESS_NODES
    nodes = []
    for _ in range(INGRESS_NODES):
        node = _Ingress(clock, rng, servers, chooser, ejects)
        nodes.append(node)
        schedule_arrivals(clock, rng, rate, 0.0, SECONDS, node.send)
    clock.run(SECONDS + 5.0)
    return percentile([s for node in nodes for s in node.latencies_s], 0.99)


def run():
    """Return the figures."""
    figures = []
    for chooser in CHOOSERS:
        for ejects in (True, False):
            healthy_s = _p99_s(chooser, ejects, slow=False)
            slow_s = _p99_s(chooser, ejects, slow=True)
            name = "" if ejects else "_no_ejection"
            figures.append(
                Figure(
                    name=f"p99_ratio_{chooser.__name__.lower()}{name}",
                    value=slow_s / healthy_s,
                    unit="ratio",
                    note=f"{slow_s * 1000:.1f} ms over {healthy_s * 1000:.1f} ms",
                )
            )
    return figures


if __name__ == "__main__":
    for figure in run():
        print(figure.name, figure.value, figure.unit, figure.note)
