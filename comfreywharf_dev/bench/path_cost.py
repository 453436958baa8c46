"""Cost of one routed request, compared with the bare chain.

Routed: caller, ingress node, owner's node, backend server. Bare: caller, WSGI
server with geventhttpclient, backend server. Both use the same caller, body and
backend server. The cost of a request is the slope of processor time over several
request rates.
"""

import tempfile
from contextlib import contextmanager

import attrs
from hdrh.histogram import HdrHistogram

from comfreywharf.clock import boottime_s
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.generator import (
    HIGHEST_US,
    LOWEST_US,
    SIGNIFICANT_DIGITS,
    Load,
)
from comfreywharf_dev.bench.processes import (
    PlainCluster,
    Processes,
    free_port,
    generate_load,
    processor_s,
)
from comfreywharf_dev.bench.slopes import fit_line
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

__all__ = ["run"]

ROUNDS = 2
RATES_PER_S = (100.0, 300.0, 500.0)
RATE_SECONDS = 2.5
PEAK_SECONDS = 2.0
PEAK_CONCURRENCY = 32
HALF_PEAK_CONCURRENCY = 64
STALL_MS = 40.0
"""The delay that Nagle's algorithm and delayed acknowledgements cause together."""

KEYS = 64
INGRESS, OWNER = "files-2", "booking-1"


@attrs.frozen(kw_only=True)
class Chain:
    """A running chain: its entry, and the ids of the measured processes by role."""

    port: int
    path: str
    keys: tuple[str, ...]
    pids: dict[str, int]


@contextmanager
def bare_chain():
    """Run the bare chain."""
    server_port, proxy_port = free_port(), free_port()
    with Processes() as processes:
        package = "comfreywharf_dev.bench"
        server = processes.start(
            f"{package}.plain_server", "--port", str(server_port), port=server_port
        )
        proxy = processes.start(
            f"{package}.plain_proxy",
            *("--port", str(proxy_port), "--to-port", str(server_port)),
            port=proxy_port,
        )
        yield Chain(
            port=proxy_port,
            path="/book",
            keys=tuple(f"key-{index}" for index in range(KEYS)),
            pids={"proxy": proxy, "server": server},
        )


@contextmanager
def routed_chain():
    """Run four nodes; yield the chain through an ingress node and the direct chain.

    One node owns every key. With several owners, the planner would move load during
    the measurement, and three owners at a third of the rate would wake up more often
    than the one server of the bare chain. The other nodes, one of them the ingress
    node, serve another service. The direct chain is that of a caller who sends to the
    owner's node, without the ingress node.
    """
    plans = riga_plans(booking=1, files=3, slots=64)
    with (
        tempfile.TemporaryDirectory() as folder,
        PlainCluster(folder, plans) as cluster,
    ):
        cluster.submit(riga_services(slices=24))
        cluster.wait_owned("booking")
        owner, ingress = cluster.plans[OWNER], cluster.plans[INGRESS]
        direct_pids = {
            "owner": owner.node_process.pid,
            "server": owner.server_process.pid,
        }
        routed = Chain(
            port=ingress.caller_port,
            path="/booking/book",
            keys=tuple(f"key-{index}" for index in range(KEYS)),
            pids={"ingress": ingress.node_process.pid, **direct_pids},
        )
        yield routed, attrs.evolve(routed, port=owner.caller_port, pids=direct_pids)


def run():
    """Measure the chains alternately and return the figures."""
    with bare_chain() as bare_entry, routed_chain() as (routed_entry, direct_entry):
        bare, routed = ChainMeasurements(bare_entry), ChainMeasurements(routed_entry)
        direct = ChainMeasurements(direct_entry)
        for step in (_warm_up, _measure_rates, _measure_single, _measure_peak):
            for _ in range(ROUNDS):
                step(bare)
                step(routed)
                step(direct)
        for _ in range(ROUNDS):
            _measure_half_peak(bare)
            _measure_half_peak(routed)
    yield from _cost_figures(bare, routed, direct)
    yield from _time_figures(bare, routed)


class ChainMeasurements:
    """The measurements of one chain so far."""

    def __init__(self, chain):
        self.chain = chain
        self.load = Load(port=chain.port, path=chain.path, keys=chain.keys)
        self.points = {name: [] for name in chain.pids}
        self.peaks_per_s = []
        self.half_peak = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.single = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.not_answered = 0

    def generate_load(self, processes=1, **fields):
        """Run a load on the chain and return the result documents."""
        documents = generate_load(attrs.evolve(self.load, **fields), processes)
        self.not_answered += sum(_not_answered(document) for document in documents)
        return documents

    @property
    def request_us(self):
        """Return the processor time of one request by role of the process, in us."""
        return {name: fit_line(points).slope for name, points in self.points.items()}

    @property
    def total_us(self):
        """Return the processor time of one request over all processes, in us."""
        return sum(self.request_us.values())

    @property
    def peak_per_s(self):
        """Return the highest rate over all rounds, in requests per second."""
        return max(self.peaks_per_s)


def _warm_up(measured):
    (document,) = measured.generate_load(seconds=0.5, rate_per_s=200.0)
    if not document["statuses"].get("200"):
        raise ValueError(
            f"no status 200 from port {measured.chain.port} in the warm-up: "
            f"{document['statuses']}"
        )


def _measure_rates(measured):
    pids = measured.chain.pids
    for rate_per_s in RATES_PER_S:
        before_s = {name: processor_s(pid) for name, pid in pids.items()}
        start_s = boottime_s()
        (document,) = measured.generate_load(
            seconds=RATE_SECONDS, rate_per_s=rate_per_s
        )
        elapsed_s = boottime_s() - start_s
        done_per_s = document["statuses"].get("200", 0) / elapsed_s
        for name, pid in pids.items():
            used_s = processor_s(pid) - before_s[name]
            measured.points[name].append((done_per_s, used_s / elapsed_s * 1e6))


def _measure_single(measured):
    _add_histograms(measured.single, measured.generate_load(seconds=1.0, concurrency=1))


def _measure_peak(measured):
    documents = measured.generate_load(
        processes=2, seconds=PEAK_SECONDS, concurrency=PEAK_CONCURRENCY
    )
    measured.peaks_per_s.append(sum(one["rate_per_s"] for one in documents))


def _measure_half_peak(measured):
    documents = measured.generate_load(
        processes=2,
        seconds=RATE_SECONDS,
        rate_per_s=measured.peak_per_s / 2,
        concurrency=HALF_PEAK_CONCURRENCY,
    )
    _add_histograms(measured.half_peak, documents)


def _add_histograms(histogram, documents):
    for document in documents:
        histogram.decode_and_add(document["histogram"])


def _not_answered(document):
    return document["sent"] - document["statuses"].get("200", 0)


def _cost_figures(bare, routed, direct):
    yield Figure(
        name="cost_ratio",
        value=routed.total_us / bare.total_us,
        unit="ratio",
        note="ingress + owner + backend server over proxy + backend server",
    )
    yield Figure(
        name="direct_cost_ratio",
        value=direct.total_us / bare.total_us,
        unit="ratio",
        note="a caller who goes to the owner at once",
    )
    yield Figure(name="direct_peak", value=direct.peak_per_s, unit="requests/s")
    chains = (("", routed), ("bare_", bare), ("direct_", direct))
    for prefix, chain in chains:
        for name, value in chain.request_us.items():
            yield Figure(
                name=f"{prefix}{name}_us",
                value=value,
                unit="us/request",
                points=tuple(chain.points[name]),
            )


def _time_figures(bare, routed):
    p99_us = [one.half_peak.get_value_at_percentile(99) for one in (bare, routed)]
    yield Figure(
        name="p99_ratio",
        value=p99_us[1] / p99_us[0],
        unit="ratio",
        note="routed over bare, each at half of its own peak",
    )
    yield Figure(
        name="peak_ratio", value=routed.peak_per_s / bare.peak_per_s, unit="ratio"
    )
    for name, chain in (("bare", bare), ("routed", routed)):
        yield Figure(name=f"{name}_peak", value=chain.peak_per_s, unit="requests/s")
        for level in (50, 99):
            value_ms = chain.half_peak.get_value_at_percentile(level) / 1000
            yield Figure(name=f"{name}_p{level}_half_peak", value=value_ms, unit="ms")
        yield Figure(
            name=f"{name}_single_p50",
            value=chain.single.get_value_at_percentile(50) / 1000,
            unit="ms",
            note="one caller, one request at a time",
        )
        yield Figure(
            name=f"{name}_stalled",
            value=_fraction_over(chain.single, STALL_MS * 0.9),
            unit="fraction",
            note="of single requests that took 36 ms or longer",
        )
        yield Figure(
            name=f"{name}_not_answered", value=chain.not_answered, unit="requests"
        )


def _fraction_over(histogram, limit_ms):
    total = histogram.get_total_count()
    within = sum(
        item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= limit_ms * 1000
    )
    return (total - within) / total
