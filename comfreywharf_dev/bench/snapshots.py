"""Cost of a snapshot at the size to design for: 640 nodes with 64 slices each."""

import random
import time

import attrs

from comfreywharf.records import (
    ClusterState,
    Configuration,
    DrainChanged,
    Member,
    ServiceConfig,
    SliceMap,
    decode_record,
    encode_record,
    fold,
)
from comfreywharf.records.snapshots import (
    SnapshotAssembler,
    encode_sections,
    make_parts,
)
from comfreywharf.records.state import FoldOutcome
from comfreywharf_dev.bench.figures import Figure

__all__ = ["run"]

NODES = 640
SERVICES = 10
SLICES = 4096
OUTCOMES = 4096
VERSIONS = 64
FOLDS = 5000


def run():
    """Encode and load the state of a cluster, and fold records into it."""
    state = _make_state()
    began_s = time.perf_counter()
    copied = state.copy()
    steps_s = [time.perf_counter() - began_s]
    chunks = []
    sections = encode_sections(copied)
    while True:
        step_began_s = time.perf_counter()
        chunk = next(sections, None)
        if chunk is None:
            break
        chunks.append(chunk)
        steps_s.append(time.perf_counter() - step_began_s)
    parts = make_parts(b"".join(chunks), "bench", state.next_offset)
    encoded_s = time.perf_counter() - began_s
    began_s = time.perf_counter()
    assembler = SnapshotAssembler()
    for part in parts:
        assembler.add(part)
    loaded_s = time.perf_counter() - began_s
    if assembler.newest != state:
        raise ValueError("the loaded state differs from the state that was written")
    return [
        Figure(name="encode", value=1000 * encoded_s, unit="ms"),
        Figure(name="longest_step", value=1000 * max(steps_s), unit="ms"),
        Figure(name="load", value=1000 * loaded_s, unit="ms"),
        Figure(name="parts", value=len(parts), unit="records"),
        Figure(name="bytes", value=sum(map(len, parts)), unit="bytes"),
        Figure(name="largest_part", value=max(map(len, parts)), unit="bytes"),
        Figure(name="fold", value=1e6 * _fold_s(state), unit="us a record"),
    ]


def _make_state():
    rng = random.Random(1)
    state = ClusterState(next_offset=50_000)
    names = [f"node-{number}" for number in range(NODES)]
    for number, name in enumerate(names):
        state.members[name] = Member(
            node_id=name,
            incarnation=1_796_000_000_000 + number,
            host=f"10.0.{number // 250}.{number % 250}",
            caller_port=8000,
            peer_port=8001,
            operator_port=8002,
            failure_domain=f"domain-{number % 6}",
            region=f"region-{number % 2}",
            lease_epoch=number,
            witnesses=tuple(rng.sample(names, 3)),
        )
    services = {
        f"service-{number}": ServiceConfig(name=f"service-{number}", slices=SLICES)
        for number in range(SERVICES)
    }
    state.config = Configuration(version=VERSIONS, offset=9, services=services)
    state.config_history = [
        attrs.evolve(state.config, version=version) for version in range(VERSIONS)
    ]
    for name in services:
        slice_map = SliceMap.divide(SLICES, 10)
        slice_map.slices = [
            attrs.evolve(
                slice_,
                owner=rng.choice(names),
                standby=rng.choice(names),
                epoch=rng.randrange(50_000),
            )
            for slice_ in slice_map.slices
        ]
        state.slices[name] = slice_map
    for number in range(OUTCOMES):
        record_id = f"{rng.getrandbits(128):032x}"
        state.outcomes[record_id] = FoldOutcome(offset=40_000 + number, accepted=True)
    return state


def _fold_s(state):
    records = [
        encode_record(
            DrainChanged(
                record_id=f"r{n}", node_id="node-1", draining=n % 2 == 0, author="x"
            )
        )
        for n in range(FOLDS)
    ]
    began_s = time.perf_counter()
    for data in records:
        fold(state, state.next_offset, decode_record(data).unwrap())
    return (time.perf_counter() - began_s) / FOLDS
