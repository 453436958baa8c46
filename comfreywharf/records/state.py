"""The state that the fold builds: members, configuration, slices, planner."""

from collections import OrderedDict

import attrs

from comfreywharf.records.services import Configuration
from comfreywharf.records.slices import SliceMap

__all__ = ["ClusterState", "FoldOutcome", "Member"]

MAX_KEPT_OUTCOMES = 4096
"""How many outcomes are kept for writers that read their records back.

A writer gives up after a few seconds, and the log accepts a few hundred appends per
second, so an outcome is kept for longer than any writer may need it.
"""

MAX_KEPT_VERSIONS = 64
"""How many configuration versions are kept, to report the changes since them."""


@attrs.frozen(kw_only=True)
class Member:
    """A node as described by the records of the log.

    ``lease_epoch`` is the offset of its last `LeaseStarted` or `WitnessesReset`.
    ``portfolio_epoch`` is the offset of the last record that changed a slice of
    which it is the owner, the standby or the previous owner.
    ``earlier_witnesses`` are those of the preceding lease epoch, as long as some
    of them may still grant a claim that is based on it. ``reset_pending`` is true
    from a `WitnessesReset` to the next `LeaseStarted`.
    """

    node_id: str
    incarnation: int
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    failure_domain: str
    region: str
    service: str = ""
    checks_fences: bool = False
    slots: int = 0
    connections: int = 0
    announced_offset: int = -1
    lease_epoch: int = -1
    lease_incarnation: int = -1
    portfolio_epoch: int = -1
    witnesses: tuple[str, ...] = ()
    earlier_witnesses: tuple[str, ...] = ()
    draining: bool = False
    reset_pending: bool = False

    @property
    def witness_groups(self):
        """Return the groups of witnesses that each have to grant the node's lease."""
        groups = (self.witnesses, self.earlier_witnesses)
        return [group for group in groups if group]


@attrs.frozen(kw_only=True)
class FoldOutcome:
    """The outcome of a folded record, kept so that its writer can read it back."""

    offset: int
    accepted: bool
    reason: str = ""


@attrs.define(kw_only=True)
class ClusterState:
    """The state after folding every record below ``next_offset``.

    ``snapshot_offset`` is the `next_offset` of the newest snapshot according to the
    folded records; zero is the empty state, which needs no snapshot. ``lineage``
    counts how often the state was restarted after all nodes had lost records.
    """

    next_offset: int = 0
    config: Configuration = attrs.Factory(Configuration)
    config_history: list[Configuration] = attrs.Factory(list)
    members: dict[str, Member] = attrs.Factory(dict)
    slices: dict[str, SliceMap] = attrs.Factory(dict)
    planner_id: str = ""
    planner_term: int = 0
    snapshot_offset: int = 0
    lineage: int = 0
    outcomes: OrderedDict[str, FoldOutcome] = attrs.Factory(OrderedDict)

    def replace_by(self, other):
        """Copy all fields of another state into this object, which others refer to."""
        for field in attrs.fields(ClusterState):
            setattr(self, field.name, getattr(other, field.name))

    def copy(self):
        """Return a copy that later folds of the original don't change.

        Members, slices, configurations and outcomes are frozen, so only the
        containers are copied.
        """
        copied = attrs.evolve(self)
        copied.config_history = list(self.config_history)
        copied.members = dict(self.members)
        copied.slices = {
            name: SliceMap(list(slice_map.slices))
            for name, slice_map in self.slices.items()
        }
        copied.outcomes = OrderedDict(self.outcomes)
        return copied

    def slice_at(self, service, value):
        """Return the slice of a service that contains a hash, or ``None``."""
        slice_map = self.slices.get(service)
        return slice_map.at_hash(value) if slice_map else None

    def owned_by(self, node_id):
        """Yield ``(service, slice)`` for each slice that a node owns."""
        for service, slice_ in self.involving(node_id):
            if slice_.owner == node_id:
                yield service, slice_

    def involving(self, node_id):
        """Yield ``(service, slice)`` of what a node owns, stands by for or releases."""
        for service, slice_map in self.slices.items():
            for slice_ in slice_map.involving(node_id):
                yield service, slice_

    def fence(self, slice_):
        """Return the fence of a slice's owner, which never decreases.

        Offsets are doubled so that a standby that takes over while the log is
        unavailable has a fence of its own (`takeover_fence`), above the owner's
        and below that of any later record.
        """
        return 2 * max(slice_.epoch, self._lease_epoch(slice_.owner))

    def takeover_fence(self, slice_):
        """Return the fence of the standby that took a slice over.

        It increases with the standby's own lease, which is reacquired after each loss
        of its backend server. Otherwise, if the server were lost before the record
        of the takeover is written, the next server would be granted the slice under
        the same fence as the lost one, and late orders to the lost server could not
        be distinguished from orders to the next one.
        """
        own = 2 * self._lease_epoch(slice_.standby)
        return max(self.fence(slice_), own) + 1

    def _lease_epoch(self, node_id):
        member = self.members.get(node_id)
        return member.lease_epoch if member else -1

    def keep_outcome(self, record_id, outcome):
        """Keep a record's outcome for read-back, within bounds."""
        self.outcomes[record_id] = outcome
        while len(self.outcomes) > MAX_KEPT_OUTCOMES:
            self.outcomes.popitem(last=False)

    def keep_version(self, config):
        """Keep a configuration for `changes_since`, within bounds."""
        self.config_history.append(config)
        del self.config_history[:-MAX_KEPT_VERSIONS]
