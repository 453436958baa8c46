"""Build records for the tests of the fold: valid, stale and invalid ones."""

import random

import attrs

from comfreywharf.records import (
    KEY_SPACE,
    ClusterState,
    ConfigPatched,
    DrainChanged,
    LeaseStarted,
    Member,
    MoveCompleted,
    NodeAnnounced,
    NodeRemoved,
    PlannerTermStarted,
    ServiceConfig,
    SliceMove,
    SlicesMerged,
    SlicesMoved,
    SliceSplit,
    SlicesTaken,
    SliceTake,
    UnknownRecord,
)

__all__ = [
    "NODES",
    "initial_records",
    "make_announcement",
    "make_member",
    "make_record",
    "make_service",
]

NODES = ("a", "b", "c")
SERVICES = ("booking", "files")


def make_service(name="booking", **fields):
    """Return a declaration with two slices."""
    return ServiceConfig(name=name, **{"slices": 2, **fields})


def make_member(node_id, **fields):
    """Return a member in a failure domain of its own."""
    values = {
        "incarnation": 1,
        "host": "h",
        "caller_port": 1,
        "peer_port": 2,
        "operator_port": 3,
        "failure_domain": f"domain of {node_id}",
        "region": "r",
        **fields,
    }
    return Member(node_id=node_id, **values)


def make_announcement(node_id, **fields):
    """Return the record by which a node becomes a member, or begins anew."""
    values = {
        "record_id": f"announce-{node_id}",
        "incarnation": 1,
        "host": "127.0.0.1",
        "caller_port": 1,
        "peer_port": 2,
        "operator_port": 3,
        "failure_domain": "teika",
        "region": "riga",
        **fields,
    }
    return NodeAnnounced(node_id=node_id, **values)


def make_record(rng, state, record_id):
    """Return a random record that is based on a state or sometimes on a stale one."""
    builder = rng.choice(_BUILDERS)
    return builder(rng, state, record_id)


def initial_records():
    """Return the first records of a small deployment that has started."""
    state = ClusterState()
    rng = random.Random(0)
    announced = [
        attrs.evolve(_announce(rng, state, f"opening-{node_id}"), node_id=node_id)
        for node_id in NODES
    ]
    patch = ConfigPatched(
        record_id="opening-config",
        base_version=0,
        services={name: make_service(name) for name in SERVICES},
        author="operator",
    )
    term = PlannerTermStarted(record_id="opening-term", node_id="a", base_term=0)
    moves = SlicesMoved(
        record_id="opening-moves",
        term=1,
        moves=tuple(
            SliceMove(service=name, start=start, base_epoch=3, owner="a", standby="b")
            for name in SERVICES
            for start in (0, KEY_SPACE // 2)
        ),
    )
    return [*announced, patch, term, moves]


def _maybe_stale(rng, number):
    """Return a number or sometimes, as a stale one, the number before it."""
    return number - rng.choice([0, 0, 0, 0, 1])


def _node(rng):
    return rng.choice(NODES)


def _random_slice(rng, state):
    """Return a service and one of its slices, or ``None`` if it has no slices."""
    service = rng.choice(SERVICES)
    slice_map = state.slices.get(service)
    if slice_map is None:
        return service, None
    return service, rng.choice(slice_map.slices)


def _incarnation(rng, state, node_id):
    member = state.members.get(node_id)
    return _maybe_stale(rng, member.incarnation if member else 1)


def _patch(rng, state, record_id):
    name = rng.choice(SERVICES)
    service = make_service(name, slices=rng.randint(0, 3))
    return ConfigPatched(
        record_id=record_id,
        base_version=_maybe_stale(rng, state.config.version),
        services={name: rng.choice([service, service, None])},
        author="operator",
    )


def _announce(rng, state, record_id):
    incarnation = rng.randint(1, 3)
    return make_announcement(_node(rng), record_id=record_id, incarnation=incarnation)


def _lease(rng, state, record_id):
    node_id = _node(rng)
    member = state.members.get(node_id)
    return LeaseStarted(
        record_id=record_id,
        node_id=node_id,
        incarnation=_incarnation(rng, state, node_id),
        base_lease_epoch=_maybe_stale(rng, member.lease_epoch if member else -1),
        witnesses=NODES,
    )


def _move(rng, state, record_id):
    service, slice_ = _random_slice(rng, state)
    move = SliceMove(
        service=service,
        start=slice_.start if slice_ else 0,
        base_epoch=_maybe_stale(rng, slice_.epoch if slice_ else 0),
        owner=_node(rng),
        standby=_node(rng),
    )
    term = _maybe_stale(rng, state.planner_term)
    return SlicesMoved(record_id=record_id, term=term, moves=(move,))


def _take(rng, state, record_id):
    service, slice_ = _random_slice(rng, state)
    owner = slice_.owner if slice_ else "a"
    member = state.members.get(owner)
    take = SliceTake(
        service=service,
        start=slice_.start if slice_ else 0,
        base_epoch=_maybe_stale(rng, slice_.epoch if slice_ else 0),
    )
    return SlicesTaken(
        record_id=record_id,
        owner_id=owner,
        lease_epoch=_maybe_stale(rng, member.lease_epoch if member else -1),
        taker_id=slice_.standby if slice_ else "b",
        taker_incarnation=1,
        slices=(take,),
    )


def _complete(rng, state, record_id):
    service, slice_ = _random_slice(rng, state)
    return MoveCompleted(
        record_id=record_id,
        service=service,
        start=slice_.start if slice_ else 0,
        epoch=_maybe_stale(rng, slice_.epoch if slice_ else 0),
    )


def _split(rng, state, record_id):
    service, slice_ = _random_slice(rng, state)
    return SliceSplit(
        record_id=record_id,
        service=service,
        start=slice_.start if slice_ else 0,
        base_epoch=_maybe_stale(rng, slice_.epoch if slice_ else 0),
        at=rng.randint(0, KEY_SPACE),
    )


def _merge(rng, state, record_id):
    service, slice_ = _random_slice(rng, state)
    right = state.slices[service].next_after(slice_.start) if slice_ else None
    return SlicesMerged(
        record_id=record_id,
        service=service,
        start=slice_.start if slice_ else 0,
        base_epoch=_maybe_stale(rng, slice_.epoch if slice_ else 0),
        next_base_epoch=right.epoch if right else 0,
    )


def _drain(rng, state, record_id):
    return DrainChanged(
        record_id=record_id,
        node_id=_node(rng),
        draining=rng.random() < 0.5,
        author="operator",
    )


def _remove(rng, state, record_id):
    node_id = _node(rng)
    return NodeRemoved(
        record_id=record_id,
        node_id=node_id,
        incarnation=_incarnation(rng, state, node_id),
    )


def _plan(rng, state, record_id):
    return PlannerTermStarted(
        record_id=record_id,
        node_id=_node(rng),
        base_term=_maybe_stale(rng, state.planner_term),
    )


def _unknown(rng, state, record_id):
    return UnknownRecord(record_id=record_id, kind="FromTheFuture")


_BUILDERS = (
    _patch,
    _patch,
    _announce,
    _announce,
    _lease,
    _move,
    _move,
    _take,
    _complete,
    _split,
    _merge,
    _drain,
    _remove,
    _plan,
    _unknown,
)
