"""Measure the members of services that aren't divided by key, and choose among them.

The decisions are those of `comfreywharf.load`, which does no I/O.
"""

import random

import attrs

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.servers.server_load import (
    passed_load_message,
    snapshot_from_message,
)
from comfreywharf.load import Absences, Ejector, MemberLoad
from comfreywharf.load.choice import within_bounds
from comfreywharf.load.passedloads import MAX_PASSED_LOADS, freshest_loads
from comfreywharf.routing import Outcome, Reason

__all__ = ["Members", "SentRequest"]

LIST_AGE_S = 0.1
"""Maximum age of the list of a service's members. With hundreds of members, listing
them for each request would cost more than the request itself."""

_ABSENT = frozenset({Reason.NO_BACKEND, Reason.PEER_UNREACHABLE, Reason.DRAINING})
"""Refusals that show that a member or its backend server is absent."""

LIMIT_KEPT_S = 2.0
"""How long a member's limit counts without another reply of it. A member that takes
nothing is then asked again, and its node refuses the request if the limit holds."""

_NO_ROOM = frozenset(
    reason.value
    for reason in (Reason.OVERLOADED, Reason.BACKEND_COLD, Reason.BACKEND_LIMITED)
)
"""Refusals for lack of room at the backend server."""

_FAILURES = frozenset(
    {
        Reason.REFUSED_BY_BACKEND,
        Reason.PEER_LOST,
        Reason.BACKEND_LOST,
        Reason.ANSWER_CUT,
        Reason.DEADLINE_PASSED,
    }
)
"""Refusals that count as failures of the backend server or the node beside it."""


@attrs.frozen
class SentRequest:
    """A request in flight to a member; ``probe`` is true if the member was ejected.

    ``announced_offset`` identifies the start of its server that was known then.
    """

    service: str
    member: MemberLoad
    sent_s: float
    probe: bool
    announced_offset: int


class _ServiceMembers:
    """The members of one service, with this node's measurements.

    ``present`` are those that accept new work, as of ``listed_s``. ``cold_terms`` are
    the `ColdTerms` of the service, if it states any.
    """

    def __init__(self, chooser):
        self.members = {}
        self.present = []
        self.listed_s = float("-inf")
        self.ejector = Ejector()
        self.absences = Absences()
        self.chooser = chooser
        self.cold_terms = None


class Members:
    """Measure the members of each service, and choose one for each request."""

    def __init__(self, node):
        self._node = node
        self._services = {}
        self._random = random.Random(f"{node.settings.node_id} {node.incarnation}")

    def choose(self, service, excluded=(), idempotent=True, terms=None):
        """Return the node id of a member, or an empty text if there is none.

        ``terms`` are the `ChoiceTerms` of the request, if the chooser needs them.
        """
        now_s = boottime_s()
        group = self._current_members(service, now_s)
        present = group.present
        if excluded:
            present = [m for m in present if m.node_id not in excluded]
        present = group.absences.usable(present, now_s)
        if not present:
            return ""
        usable = group.ejector.usable(present, now_s, idempotent)
        cold = group.cold_terms
        cold_per_s = cold.sustained_per_s if cold is not None else None
        usable = within_bounds(usable, cold_per_s, now_s, self._random)
        return group.chooser.choose(usable, self._random, terms).node_id

    def designated(self, service, fingerprint):
        """Return the member that runs a suspect, which is the same on all nodes."""
        group = self._current_members(service, boottime_s())
        return min(
            (m.node_id for m in group.present),
            key=lambda node_id: random.Random(f"{fingerprint} {node_id}").random(),
            default="",
        )

    def record_sent(self, service, node_id):
        """Record a sent request; pass the result to `record_outcome` later."""
        group = self._services.get(service)
        member = group.members.get(node_id) if group else None
        if member is None:
            return None
        now_s = boottime_s()
        probe = group.ejector.is_ejected(node_id)
        sent = SentRequest(service, member, now_s, probe, member.announced_offset)
        member.begin()
        group.absences.record_sent(node_id)
        group.ejector.record_sent(member, now_s)
        return sent

    def record_outcome(self, sent, reply):
        """Record the outcome of a request; ``reply`` is ``None`` after an exception."""
        if sent is None:
            return
        group = self._services[sent.service]
        self._update_absences(group, sent, reply)
        _update_bounds(sent.member, reply, boottime_s())
        _update_load(sent, reply, boottime_s())
        _update_passed_loads(group, reply, boottime_s())
        failed = _failed(reply)
        if failed is None:
            if reply is not None and reply.reason in _NO_ROOM:
                sent.member.finish_refused()
            else:
                sent.member.drop()
            group.ejector.record_no_outcome(sent.member, sent.probe)
            return
        now_s = boottime_s()
        latency_s = now_s - sent.sent_s
        sent.member.finish(latency_s, failed)
        changed = group.ejector.record_outcome(
            sent.member,
            list(group.members.values()),
            latency_s,
            failed,
            now_s,
            sent.probe,
        )
        if changed is not None:
            self._report_ejection(sent, *changed)

    def passed_loads(self, service, now_s):
        """Return the `PassedLoad` messages for a reply of this node; ``None`` for none.

        The load of this node's own server is a field of the reply.
        """
        group = self._services.get(service)
        if group is None or not self._node.ports.chooses_by_load:
            return None
        own_id = self._node.settings.node_id
        others = [m for m in group.members.values() if m.node_id != own_id]
        found = freshest_loads(others, now_s)
        return [passed_load_message(each, now_s) for each in found] or None

    def known_loads(self, now_s):
        """Return how many recent loads are known, by ``(service, source)``.

        The source is ``own``, a reply of the server's own node, or ``passed``.
        """
        known = {}
        for service, group in self._services.items():
            for member in group.members.values():
                if member.has_load(now_s):
                    source = "passed" if member.load_passed_on else "own"
                    known[service, source] = known.get((service, source), 0) + 1
        return known

    @staticmethod
    def _update_absences(group, sent, reply):
        if reply is None:
            group.absences.record_no_outcome(sent.member.node_id)
        elif reply.reason and Reason(reply.reason) in _ABSENT:
            group.absences.record_absent(sent.member.node_id, boottime_s())
        else:
            group.absences.record_present(sent.member.node_id, boottime_s())

    def _report_ejection(self, sent, node_id, ejected):
        if not ejected:
            self._node.report("member_returned", service=sent.service, member=node_id)
            return
        self._node.report(
            "member_ejected",
            service=sent.service,
            member=node_id,
            failure_fraction=round(sent.member.failure_fraction, 3),
            latency_ms=round(sent.member.mean_latency_s * 1000, 1),
        )

    def _current_members(self, service, now_s):
        group = self._services.get(service)
        if group is None:
            group = self._services[service] = _ServiceMembers(
                self._node.ports.make_chooser()
            )
        if now_s - group.listed_s > LIST_AGE_S:
            group.listed_s = now_s
            self._list_members(service, group, now_s)
        return group

    def _list_members(self, service, group, now_s):
        routed = self._node.routes.table.service(service)
        group.cold_terms = self._node.ports.cold_terms(routed)
        cold_start_s = routed.cold_start_s if group.cold_terms and group.members else 0
        all_members = self._node.follower.state.members.values()
        latest = _latest_at_address(all_members)
        entries = [
            entry
            for entry in all_members
            if entry.service == service and latest[_address(entry)] is entry
        ]
        members = {}
        own_domain = self._node.settings.failure_domain
        for entry in entries:
            member = group.members.get(entry.node_id) or MemberLoad(entry.node_id)
            if member.announced_offset != entry.announced_offset:
                member.reset_measurements(entry.announced_offset)
                member.cold_until_s = now_s + cold_start_s
                # Loads of the earlier start may still be passed on.
                member.load_received_s = now_s
            member.slots = entry.slots
            member.near = entry.failure_domain == own_domain
            members[entry.node_id] = member
        group.members = members
        evacuated = self._node.evacuations.domains
        group.present = [
            members[entry.node_id]
            for entry in entries
            if not entry.draining and entry.failure_domain not in evacuated
        ]


def _address(entry):
    return entry.host, entry.peer_port


def _latest_at_address(members):
    """Return the member that announced itself last at each address.

    An address may be reassigned to another machine before the lost one is removed. If
    both were used, half of the requests would for ten seconds go to a node beside a
    server of another service, which can only refuse them.
    """
    latest = {}
    for entry in members:
        other = latest.get(_address(entry))
        if other is None or entry.announced_offset > other.announced_offset:
            latest[_address(entry)] = entry
    return latest


def _update_bounds(member, reply, now_s):
    """Update the bounds of a member's requests, as its node tells in each reply.

    A refusal without them may be this node's own, after a call that failed.
    """
    if reply is None:
        return
    if reply.cold_ms:
        member.cold_until_s = now_s + reply.cold_ms / 1000
    elif not reply.reason:
        member.cold_until_s = float("-inf")
    if reply.limit_per_s is not None:
        member.limit_per_s = reply.limit_per_s
        member.limited_until_s = now_s + LIMIT_KEPT_S
    elif not reply.reason:
        member.limited_until_s = float("-inf")


def _update_load(sent, reply, now_s):
    """Update a member's load, unless the reply is of an earlier start of its server."""
    if reply is None or reply.load is None:
        return
    load = snapshot_from_message(reply.load)
    if load is not None and sent.announced_offset == sent.member.announced_offset:
        sent.member.record_load(load, now_s)


def _update_passed_loads(group, reply, now_s):
    """Update the loads of other members that a reply passes on."""
    if reply is None or not reply.passed_loads:
        return
    for passed in reply.passed_loads[:MAX_PASSED_LOADS]:
        member = group.members.get(passed.node_id)
        load = snapshot_from_message(passed.load)
        if member is not None and load is not None:
            member.record_passed_load(load, passed.age_ms / 1000, now_s)


def _failed(reply):
    """Return whether a reply is a failure of its member; ``None`` if it isn't known."""
    if reply is None:
        return None
    if reply.outcome == Outcome.ANSWERED and not reply.reason:
        return reply.status >= 500
    return True if Reason(reply.reason) in _FAILURES else None
