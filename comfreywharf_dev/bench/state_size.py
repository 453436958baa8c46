"""Memory and time of a node's state: per slice, member, record and connection.

Sizes are measured with tracemalloc, for objects built by decoding and folding records
as a node does. Connections are measured as resident memory of a running node.
"""

import gc
import tempfile
import time
import tracemalloc
from contextlib import closing

import psutil
from gevent import socket

from comfreywharf.placement import NodeReport, SliceRate, planning
from comfreywharf.placement.planning import LoadReported, PlanningState, RoundDue
from comfreywharf.records import (
    ClusterState,
    ConfigPatched,
    NodeAnnounced,
    PlannerTermStarted,
    ServiceConfig,
    SliceMove,
    SlicesMoved,
    decode_record,
    encode_record,
    fold,
    key_hash,
)
from comfreywharf.routing import Outcome
from comfreywharf.routing.memory import Answer, AnswerMemory, MemoryLimits, RequestKey
from comfreywharf.transport.gen.ttypes import Header
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.processes import PlainCluster
from comfreywharf_dev.bench.slopes import fit_line
from comfreywharf_dev.standins.deployments import riga_plans

__all__ = ["build_state", "run"]

SLICE_COUNTS = (1_000, 4_000, 10_000)
MEMBER_COUNTS = (160, 320, 640)
ANSWER_COUNTS = (2_000, 8_000, 20_000)
CONNECTION_COUNTS = (0, 200, 400, 800)
MOVES_PER_RECORD = 500
LOOKUPS = 20_000
SERVICE = "booking"
SETTLE_S = 0.5


class Log:
    """A log that encodes, decodes and folds each record, as a node does."""

    def __init__(self):
        self.state = ClusterState()

    def append(self, record):
        """Encode, decode and fold a record; raises `ValueError` if it is refused."""
        decoded = decode_record(encode_record(record)).unwrap()
        result = fold(self.state, self.state.next_offset, decoded)
        if not result.accepted:
            raise ValueError(f"{type(record).__name__} refused: {result.refusal}")


def make_announcement(index, incarnation=1):
    """Return the announcement of the node with an index."""
    return NodeAnnounced(
        record_id=f"{index:032x}-{incarnation}",
        node_id=f"node-{index:03d}",
        incarnation=incarnation,
        host="10.0.0.1",
        caller_port=8000,
        peer_port=8001,
        operator_port=8002,
        failure_domain=f"domain-{index % 6}",
        region=f"region-{index % 2}",
        service=SERVICE,
        checks_fences=False,
        slots=12,
        connections=110,
    )


def build_state(members, slices):
    """Return the state after all nodes have joined and all slices are assigned."""
    log = Log()
    service = ServiceConfig(name=SERVICE, slices=slices)
    log.append(
        ConfigPatched(
            record_id="patch", base_version=0, services={SERVICE: service}, author="op"
        )
    )
    for index in range(members):
        log.append(make_announcement(index))
    log.append(PlannerTermStarted(record_id="term", node_id="node-000", base_term=0))
    moves = _even_moves(log.state)
    for first in range(0, len(moves), MOVES_PER_RECORD):
        log.append(
            SlicesMoved(
                record_id=f"moves-{first}",
                term=1,
                moves=tuple(moves[first : first + MOVES_PER_RECORD]),
            )
        )
    return log.state


def _even_moves(state):
    """Return a move for each slice that together spread them evenly over members."""
    members = sorted(state.members)
    return [
        SliceMove(
            service=SERVICE,
            start=slice_.start,
            base_epoch=slice_.epoch,
            owner=members[index % len(members)],
            standby=members[(index + 1) % len(members)],
        )
        for index, slice_ in enumerate(state.slices[SERVICE].slices)
    ]


def build_answer_memory(count):
    """Return an `AnswerMemory` that holds ``count`` answered requests."""
    memory = AnswerMemory(MemoryLimits(entries=count, total_bytes=1 << 40))
    for index in range(count):
        key = RequestKey(SERVICE, key_hash(b"%d" % index), f"{index:032x}")
        memory.begin(
            key, mark=1, first_sent_s=None, memory_complete_since_s=0.0, now_s=1.0
        )
        answer = Answer(
            outcome=Outcome.ANSWERED,
            status=200,
            headers=[
                Header(name=str(b"Content-Type", "ascii"), value=f"text/{index}"),
                Header(name=str(b"Date", "ascii"), value=f"{index}"),
            ],
            body=b"%064d" % index,
        )
        memory.finish(key, answer, now_s=1.0)
    return memory


def allocated_bytes(build):
    """Return the memory that the result of ``build()`` takes, in bytes.

    ``build()`` is called once before, so that memory which libraries allocate at
    their first use isn't counted.
    """
    build()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return after - before


def run():
    """Measure and return the figures."""
    yield _slope(
        "slice_bytes",
        [(n, allocated_bytes(lambda n=n: build_state(16, n))) for n in SLICE_COUNTS],
        "bytes",
    )
    yield _slope(
        "member_bytes",
        [(n, allocated_bytes(lambda n=n: build_state(n, 64))) for n in MEMBER_COUNTS],
        "bytes",
    )
    yield _slope(
        "remembered_bytes",
        [
            (n, allocated_bytes(lambda n=n: build_answer_memory(n)))
            for n in ANSWER_COUNTS
        ],
        "bytes",
        "a request id with two headers and a body of 64 bytes",
    )
    yield from _times()
    yield from _connections()


def _slope(name, points, unit, note=""):
    return Figure(
        name=name,
        value=fit_line(points).slope,
        unit=unit,
        points=tuple(points),
        note=note,
    )


def _times():
    state = build_state(640, 10_000)
    keys = [f"key-{index}".encode() for index in range(LOOKUPS)]
    yield Figure(
        name="owner_lookup_us",
        value=_processor_us(
            lambda: [state.slice_at(SERVICE, key_hash(k)) for k in keys]
        )
        / LOOKUPS,
        unit="us",
        note="of processor time, 10,000 slices",
    )
    record = encode_record(make_announcement(0, incarnation=2))
    yield Figure(
        name="announcement_bytes", value=len(record), unit="bytes", note="encoded"
    )
    yield Figure(
        name="announcement_fold_us",
        value=_fold_us([make_announcement(i, 2) for i in range(640)], state) / 640,
        unit="us",
        note="to decode and fold one",
    )
    yield from _planner_times(state)


def _planner_times(state):
    """Yield the planner's processor times at 640 nodes and 10,000 slices."""
    planning_state = PlanningState.begin(0.0)
    reports = _reports(state)

    def apply_reports():
        for report in reports:
            planning.decide(planning_state, LoadReported(report=report), 1.0)

    yield Figure(
        name="load_report_us",
        value=_processor_us(apply_reports) / len(reports),
        unit="us",
        note="for the planner to take one, all of a node's slices in it",
    )
    due = RoundDue(cluster=state)
    planning.decide(planning_state, due, 1.5)
    yield Figure(
        name="plan_round_ms",
        value=_processor_us(lambda: planning.decide(planning_state, due, 2.0)) / 1000,
        unit="ms",
        note="of the planner at 640 nodes and 10,000 slices",
    )


def _reports(state):
    owned = {node_id: [] for node_id in state.members}
    for slice_ in state.slices[SERVICE].slices:
        rate = SliceRate(service=SERVICE, start=slice_.start, requests_per_s=700.0)
        owned[slice_.owner].append(rate)
    return [
        NodeReport(node_id=node_id, incarnation=1, slices=tuple(rates))
        for node_id, rates in owned.items()
    ]


def _processor_us(function):
    start_s = time.process_time()
    function()
    return (time.process_time() - start_s) * 1e6


def _fold_us(records, state):
    encoded = [encode_record(record) for record in records]

    def replay():
        for data in encoded:
            fold(state, state.next_offset, decode_record(data).unwrap())

    return _processor_us(replay)


def _connections():
    plans = riga_plans(booking=1, files=0)
    with (
        tempfile.TemporaryDirectory() as folder,
        PlainCluster(folder, plans),
    ):
        plan = plans[0]
        process = psutil.Process(plan.node_process.pid)
        yield Figure(name="idle_rss_bytes", value=_rss(process), unit="bytes")
        for name, port in (
            ("caller_connection_bytes", plan.caller_port),
            ("peer_connection_bytes", plan.peer_port),
        ):
            yield _slope(
                name, _rss_by_connections(process, port), "bytes", "of resident memory"
            )


def _rss_by_connections(process, port):
    sockets, points = [], []
    for count in CONNECTION_COUNTS:
        while len(sockets) < count:
            sockets.append(socket.create_connection(("127.0.0.1", port)))
        time.sleep(SETTLE_S)
        points.append((count, _rss(process)))
    for sock in sockets:
        with closing(sock):
            pass
    return points


def _rss(process):
    return process.memory_info().rss
