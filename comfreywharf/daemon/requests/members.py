"""The shell around the choice among backend servers that aren't divided by key."""

import random

import attrs

from comfreywharf.clock import boottime_s
from comfreywharf.load import Absences, Ejector, MemberLoad
from comfreywharf.routing import Outcome, Reason

__all__ = ["Members", "Sent"]

LIST_AGE_S = 0.1
"""How old the list of a service's members may be. Going through all members for
each request would cost more than the request where there are hundreds."""

_ABSENT = frozenset({Reason.NO_BACKEND, Reason.PEER_UNREACHABLE, Reason.DRAINING})
"""Refusals of a member that isn't there, or whose server isn't."""

_FAILURES = frozenset(
    {
        Reason.REFUSED_BY_BACKEND,
        Reason.PEER_LOST,
        Reason.BACKEND_LOST,
        Reason.ANSWER_CUT,
        Reason.DEADLINE_PASSED,
    }
)
"""Refusals that speak against the backend server or the node beside it."""


@attrs.frozen
class Sent:
    """A request on its way to a member; ``probe`` if the member was out."""

    service: str
    member: MemberLoad
    sent_s: float
    probe: bool


class _Service:
    """The members of one service, as this node measured them.

    ``present`` are those that take new work, as of ``listed_s``.
    """

    def __init__(self, chooser):
        self.members = {}
        self.present = []
        self.listed_s = float("-inf")
        self.ejector = Ejector()
        self.absences = Absences()
        self.chooser = chooser


class Members:
    """Measure the members of each service, and choose among them."""

    def __init__(self, node):
        self._node = node
        self._services = {}
        self._chance = random.Random(f"{node.settings.node_id} {node.incarnation}")

    def choose(self, service, excluded=(), idempotent=True):
        """Return the node id of a member, or nothing if there is none."""
        now_s = boottime_s()
        known = self._listed(service, now_s)
        present = known.present
        if excluded:
            present = [m for m in present if m.node_id not in excluded]
        present = known.absences.usable(present, now_s)
        if not present:
            return ""
        usable = known.ejector.usable(present, now_s, idempotent)
        return known.chooser.choose(usable, self._chance).node_id

    def designated(self, service, name):
        """Return the one member that runs a suspect, the same at all nodes."""
        known = self._listed(service, boottime_s())
        return min(
            (m.node_id for m in known.present),
            key=lambda node_id: random.Random(f"{name} {node_id}").random(),
            default="",
        )

    def sent(self, service, node_id):
        """Note that a request is sent; end it with `ended`."""
        known = self._services.get(service)
        member = known.members.get(node_id) if known else None
        if member is None:
            return None
        now_s = boottime_s()
        sent = Sent(service, member, now_s, known.ejector.is_ejected(node_id))
        member.begin()
        known.absences.record_sent(node_id)
        known.ejector.record_sent(member, now_s)
        return sent

    def ended(self, sent, reply):
        """Weigh the outcome of a request; ``reply`` is ``None`` if it broke off."""
        if sent is None:
            return
        known = self._services[sent.service]
        self._note_presence(known, sent, reply)
        failed = _failed(reply)
        if failed is None:
            if reply is not None and reply.reason == Reason.OVERLOADED:
                sent.member.finish_refused()
            else:
                sent.member.drop()
            known.ejector.record_no_outcome(sent.member, sent.probe)
            return
        now_s = boottime_s()
        latency_s = now_s - sent.sent_s
        sent.member.finish(latency_s, failed)
        changed = known.ejector.record_outcome(
            sent.member,
            list(known.members.values()),
            latency_s,
            failed,
            now_s,
            sent.probe,
        )
        if changed is not None:
            self._tell(sent, *changed)

    @staticmethod
    def _note_presence(known, sent, reply):
        if reply is None:
            known.absences.record_no_outcome(sent.member.node_id)
        elif reply.reason and Reason(reply.reason) in _ABSENT:
            known.absences.record_absent(sent.member.node_id, boottime_s())
        else:
            known.absences.record_present(sent.member.node_id, boottime_s())

    def _tell(self, sent, node_id, out):
        if not out:
            self._node.report("member_returned", service=sent.service, member=node_id)
            return
        self._node.report(
            "member_ejected",
            service=sent.service,
            member=node_id,
            failure_fraction=round(sent.member.failure_fraction, 3),
            latency_ms=round(sent.member.mean_latency_s * 1000, 1),
        )

    def _listed(self, service, now_s):
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _Service(self._node.ports.make_chooser())
        if now_s - known.listed_s > LIST_AGE_S:
            known.listed_s = now_s
            self._list_members(service, known)
        return known

    def _list_members(self, service, known):
        everyone = self._node.follower.state.members.values()
        latest = _latest_at_address(everyone)
        entries = [
            entry
            for entry in everyone
            if entry.service == service and latest[_address(entry)] is entry
        ]
        members = {}
        own_domain = self._node.settings.failure_domain
        for entry in entries:
            member = known.members.get(entry.node_id) or MemberLoad(entry.node_id)
            if member.announced_offset != entry.announced_offset:
                member.reset_measurements(entry.announced_offset)
            member.near = entry.failure_domain == own_domain
            members[entry.node_id] = member
        known.members = members
        known.present = [members[e.node_id] for e in entries if not e.draining]


def _address(entry):
    return entry.host, entry.peer_port


def _latest_at_address(members):
    """Return the member at each address: the one that announced itself last.

    An address may be given to another machine before the lost one is forgotten. For
    ten seconds half of the requests then went to a node beside a server of another
    service, which could only refuse them.
    """
    latest = {}
    for entry in members:
        known = latest.get(_address(entry))
        if known is None or entry.announced_offset > known.announced_offset:
            latest[_address(entry)] = entry
    return latest


def _failed(reply):
    """Return whether a reply speaks against its member; ``None`` if for neither."""
    if reply is None:
        return None
    if reply.outcome == Outcome.ANSWERED and not reply.reason:
        return reply.status >= 500
    return True if Reason(reply.reason) in _FAILURES else None
