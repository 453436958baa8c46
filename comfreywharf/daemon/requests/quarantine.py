"""The shell around the quarantine: crashes of the backend server, notices."""

import itertools

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.load import Crash, CrashWatch, Quarantine, fingerprint
from comfreywharf.load.quarantine import CONDEMNED_S, LIFTED, SUSPECT
from comfreywharf.records import NodeAnnounced

__all__ = ["QuarantineShell", "request_fingerprint"]

PROBE_WAIT_S = 0.1
"""How long a lost request's answer waits until the server was tried, and peers
were told."""

PROBE_PAUSES_S = (0.002, 0.01, 0.03, 0.1)
"""Between tries of a port: a dying process may close its listening socket last."""

TOLD_DIRECTLY = 64
"""How many members of the service are told of a crash by the node itself."""


def request_fingerprint(request, body):
    """Return the fingerprint of a `ForwardRequest`.

    Where the body follows its request, the ingress node has made it. Of another
    body in parts the first one is waited for; `BodyError` if it can't be had.
    """
    if request.fingerprint:
        return request.fingerprint
    known = body if isinstance(body, bytes) else body.first_part()
    return fingerprint(
        request.service_name, request.key, request.method, request.path, known
    )


class QuarantineShell:
    """Suspects and condemned requests, as this node and its peers know them."""

    def __init__(self, node):
        self._node = node
        self._known = Quarantine()
        self._watch = CrashWatch()
        self._numbers = itertools.count(1)
        self._crashed_s = float("-inf")
        for kind in (SUSPECT, LIFTED):
            node.notices.subscribe(kind, self._learn)
        node.follower.subscribe(self._on_folded)

    def is_empty(self):
        """Return whether no request is under suspicion, so that none need be tried."""
        return not len(self._known)

    def standing(self, name, now_s):
        """Return the `Standing` of a fingerprint."""
        return self._known.standing(name, now_s)

    def retry_after_ms(self, name, now_s):
        """Return when a condemned request may come back."""
        return int(self._known.retry_after_s(name, now_s) * 1000)

    def list(self, now_s):
        """Return a `QuarantineEntry` for each request under suspicion."""
        return self._known.list(now_s)

    def lift(self, name):
        """Let a request run again, at all nodes; false if it isn't known."""
        notices = self._known.lift(name, boottime_s())
        if notices:
            self._node.report("quarantine_lifted", fingerprint=name)
        self._publish(notices)
        return bool(notices)

    def suspect(self, name, service):
        """Guard a request whose server was lost, before a crash is confirmed."""
        self._known.suspect(name, service, boottime_s())

    def cleared(self, name):
        """Take the answer to a suspect that another node ran alone."""
        self._known.answered(name, boottime_s())

    def begun(self, slot):
        """Note a request that is about to be forwarded."""
        self._watch.run_started(slot, slot.ticket.alone)

    def ended(self, slot, answered):
        """Note the end of a request; a suspect that was answered is cleared."""
        self._watch.run_ended(slot)
        if answered and slot.ticket.alone:
            self._publish(self._known.answered(slot.fingerprint, boottime_s()))

    def lost(self, slot, backend, wait_s=PROBE_WAIT_S):
        """Take a lost connection; find out whether the backend server died.

        The caller may send its request again as soon as it has its answer. The
        answer therefore waits for a moment, so that the peers are told first.
        """
        if self._watch.connection_lost(slot, boottime_s()):
            gevent.spawn(self._probe, backend).join(wait_s)

    def _probe(self, backend):
        for pause_s in (*PROBE_PAUSES_S, 0):
            if backend.refuses():
                self.confirm()
                return
            gevent.sleep(pause_s)

    def confirm(self):
        """Take the word that the backend server died or was started anew."""
        now_s = boottime_s()
        loss = self._watch.confirm_crash(now_s)
        if loss is None or not loss.runs:
            return
        node = self._node
        number = next(self._numbers)
        crash_id = f"{node.settings.node_id}.{node.incarnation:x}.{number:x}"
        crash = Crash(tuple(slot.fingerprint for slot in loss.runs), loss.alone)
        service = loss.runs[0].request.service_name
        self._crashed_s = now_s
        node.report(
            "backend_crashed",
            crash=crash_id,
            in_flight=len(loss.runs),
            alone=crash.alone,
        )
        self._publish(self._known.record_crash(crash_id, service, crash, now_s))
        if crash.alone:
            node.report("request_condemned", fingerprint=crash.fingerprints[0])
        node.load.backend_died()
        self._tell_directly(service)

    def _tell_directly(self, service):
        """Tell the servers that may get a suspect next, before its caller can.

        Gossip reaches a node within seconds, and most at once. Where the next
        server of a suspect is among the others, it runs it beside all else: one
        would see a crash more for each node that wasn't told.
        """
        node = self._node
        others = [
            member.node_id
            for member in node.follower.state.members.values()
            if member.service == service and member.node_id != node.settings.node_id
        ]
        gevent.joinall(node.gossip.push_to(others[:TOLD_DIRECTLY]), PROBE_WAIT_S)

    def _on_folded(self, record, result):
        """Tell a newcomer of this node's crash: it wasn't there to be told."""
        if boottime_s() - self._crashed_s > CONDEMNED_S:
            return
        if isinstance(record, NodeAnnounced) and result.accepted:
            self._node.gossip.push_to([record.node_id])

    def _learn(self, notice):
        try:
            self._known.apply_notice(
                notice.kind, notice.subject, notice.value, boottime_s()
            )
        except ValueError:
            self._node.report("bad_notice", kind=notice.kind)

    def _publish(self, notices):
        for notice in notices:
            self._node.notices.publish(
                notice.kind, notice.subject, notice.value, notice.ttl_s
            )
