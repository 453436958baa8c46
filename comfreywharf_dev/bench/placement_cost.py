"""Cost of planning: processor time of rounds and reports, message sizes, memory.

Processor time is that of this process, so that other work on the machine has little
influence. Message sizes exclude network headers.
"""

import gc
import time
import tracemalloc

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from comfreywharf.daemon.ownership.load_reports import load_report, node_report
from comfreywharf.placement import (
    NodeReport,
    SliceMeter,
    SliceRate,
    planning,
    rates_per_report,
    report_interval_s,
)
from comfreywharf.placement.planning import (
    LoadReported,
    PlanningState,
    RoundDue,
    round_interval_s,
    to_record,
)
from comfreywharf.records import (
    ClusterState,
    ConfigPatched,
    LeaseStarted,
    NodeAnnounced,
    ServiceConfig,
    fold,
)
from comfreywharf.transport.gen.ttypes import LoadReport
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.slopes import fit_line

__all__ = ["begin_planning", "run"]

SERVICE = "booking"
MEMBERS = 640
SLICES = 10_000
SLICE_COUNTS = (1_000, 4_000, 10_000)
DOMAINS = 6
ROUNDS = 20
REPORTS = 2_000
RATE_PER_S = 50.0
MEBIBYTE = 1 << 20


def begin_planning(cluster, now_s=0.0):
    """Return the state of a planner that has received one report from every member."""
    state = PlanningState.begin(now_s)
    for member in cluster.members.values():
        report = NodeReport(node_id=member.node_id, incarnation=member.incarnation)
        planning.decide(state, LoadReported(report=report), now_s)
    return state


def run():
    """Measure and return the figures."""
    points = []
    for slices in SLICE_COUNTS:
        cluster, first_s = _cluster_after_first_round(MEMBERS, slices)
        state = _state_with_rates(cluster)
        points.append((slices, 1e6 * _round_s(state, cluster)))
    yield Figure(name="first_round_ms", value=1e3 * first_s, unit="ms")
    yield Figure(
        name="round_ms",
        value=points[-1][1] / 1e3,
        unit="ms",
        note=f"where nothing is to be moved, {MEMBERS} nodes, {SLICES} slices",
        points=tuple(points),
    )
    yield Figure(
        name="round_us_per_slice",
        value=fit_line(points).slope,
        unit="us",
        points=tuple(points),
    )
    yield Figure(name="loss_round_ms", value=1e3 * _loss_round_s(cluster), unit="ms")
    yield Figure(
        name="state_mib",
        value=_allocated_mib(lambda: _state_with_rates(cluster)),
        unit="MiB",
    )
    rates = rates_per_report(MEMBERS)
    usual, full = _encoded(_report(rates)), _encoded(_report(SLICES // MEMBERS))
    report_s = _apply_report_s(state, usual)
    yield Figure(name="report_us", value=1e6 * report_s, unit="us", note="to take one")
    yield Figure(
        name="full_report_us", value=1e6 * _apply_report_s(state, full), unit="us"
    )
    yield Figure(name="report_bytes", value=len(usual), unit="bytes")
    yield Figure(name="full_report_bytes", value=len(full), unit="bytes")
    reports_per_s = MEMBERS / report_interval_s(MEMBERS)
    yield Figure(
        name="planner_received_bytes_per_s",
        value=reports_per_s * len(usual),
        unit="bytes/s",
    )
    yield Figure(
        name="planner_core",
        value=points[-1][1] / 1e6 / round_interval_s(SLICES) + reports_per_s * report_s,
        unit="cores",
        note="rounds and reports together",
    )
    yield Figure(name="make_report_us", value=1e6 * _make_report_s(cluster), unit="us")


def _cluster_after_first_round(members, slices):
    """Return a cluster after its first planning round, and the round's time in s."""
    cluster = ClusterState()

    def append(kind, **fields):
        record = kind(record_id=str(cluster.next_offset), **fields)
        result = fold(cluster, cluster.next_offset, record)
        if not result.accepted:
            raise ValueError(f"{record} refused: {result.refusal}")

    service = ServiceConfig(name=SERVICE, slices=slices)
    append(ConfigPatched, base_version=0, services={SERVICE: service}, author="bench")
    for index in range(members):
        node_id = f"node-{index:03d}"
        append(
            NodeAnnounced,
            node_id=node_id,
            incarnation=1,
            host="10.0.0.1",
            caller_port=8000,
            peer_port=8001,
            operator_port=8002,
            failure_domain=f"domain-{index % DOMAINS}",
            region=f"region-{index % 2}",
            service=SERVICE,
            slots=12,
        )
        append(
            LeaseStarted,
            node_id=node_id,
            incarnation=1,
            base_lease_epoch=-1,
            witnesses=(),
        )
    state = begin_planning(cluster)
    start_s = time.process_time()
    _, actions = planning.decide(state, RoundDue(cluster=cluster), 0.0)
    first_s = time.process_time() - start_s
    for action in actions:
        record = to_record(action, str(cluster.next_offset), cluster.planner_term)
        fold(cluster, cluster.next_offset, record)
    return cluster, first_s


def _state_with_rates(cluster):
    """Return a planner's state that has a reported rate for each slice."""
    state = PlanningState.begin(0.0)
    owned = {}
    for _, slice_ in _slices(cluster):
        owned.setdefault(slice_.owner, []).append(slice_.start)
    for node_id, starts in owned.items():
        rates = tuple(
            SliceRate(service=SERVICE, start=start, requests_per_s=RATE_PER_S)
            for start in starts
        )
        report = NodeReport(node_id=node_id, incarnation=1, slices=rates)
        planning.decide(state, LoadReported(report=report), 0.0)
    return state


def _slices(cluster):
    return [(SERVICE, slice_) for slice_ in cluster.slices[SERVICE].slices]


def _round_s(state, cluster):
    """Return the processor time of a round, in seconds."""
    planning.decide(state, RoundDue(cluster=cluster), 0.0)
    start_s = time.process_time()
    for _ in range(ROUNDS):
        planning.decide(state, RoundDue(cluster=cluster), 0.0)
    return (time.process_time() - start_s) / ROUNDS


def _loss_round_s(cluster):
    """Return the processor time of the round after the loss of a domain, in seconds.

    This round replaces the standbys in the lost domain.
    """
    state = _state_with_rates(cluster)
    for member in cluster.members.values():
        if member.failure_domain == "domain-0":
            event = planning.TakeoverFolded(owner_id=member.node_id)
            planning.decide(state, event, 0.0)
    start_s = time.process_time()
    planning.decide(state, RoundDue(cluster=cluster), 0.0)
    return time.process_time() - start_s


def _allocated_mib(build):
    """Return the memory that the result of ``build()`` takes, in MiB."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held / MEBIBYTE


def _report(rates):
    return NodeReport(
        node_id="node-001",
        incarnation=1,
        slices=tuple(
            SliceRate(service=SERVICE, start=number << 48, requests_per_s=RATE_PER_S)
            for number in range(rates)
        ),
    )


def _encoded(report):
    buffer = TMemoryBuffer()
    load_report(report).write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def _apply_report_s(state, data):
    """Return the processor time to decode and apply one report, in seconds."""
    start_s = time.process_time()
    for _ in range(REPORTS):
        message = LoadReport()
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
        planning.decide(state, LoadReported(report=node_report(message)), 0.0)
    return (time.process_time() - start_s) / REPORTS


def _make_report_s(cluster):
    """Return the processor time a node needs to make its report, in seconds."""
    meter = SliceMeter()
    start_s = time.process_time()
    for number in range(ROUNDS):
        meter.set_owned(cluster.owned_by("node-001"))
        meter.close_window(float(number))
        meter.changed_rates(rates_per_report(MEMBERS))
    return (time.process_time() - start_s) / ROUNDS
