"""A node's quarantine: detect crashes of its backend server, and notify its peers.

The decisions are those of `comfreywharf.load.quarantine`, which does no I/O.
"""

import itertools

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.load import Crash, CrashWatch, Quarantine, fingerprint
from comfreywharf.load.quarantine import CONDEMNED_S, LIFTED, SUSPECT
from comfreywharf.records import NodeAnnounced

__all__ = ["NodeQuarantine", "request_fingerprint"]

PROBE_WAIT_S = 0.1
"""How long the reply to a lost request is delayed while the server's port is probed and
peers are notified."""

PROBE_PAUSES_S = (0.002, 0.01, 0.03, 0.1)
"""Pauses between probes of a port. A crashing process may close its listening socket
last."""

MAX_DIRECT_NOTICES = 64
"""How many members of the service the node itself notifies of a crash."""


def request_fingerprint(request, body):
    """Return the fingerprint of a `ForwardRequest`.

    If the body is sent after its request, the ingress node has set the fingerprint.
    For another streamed body, wait for its first part; raises `BodyError` if that
    can't be read.
    """
    if request.fingerprint:
        return request.fingerprint
    known_part = body if isinstance(body, bytes) else body.first_part()
    return fingerprint(
        request.service_name, request.key, request.method, request.path, known_part
    )


class NodeQuarantine:
    """Suspect and condemned requests that this node or a peer has recorded."""

    def __init__(self, node):
        self._node = node
        self._quarantine = Quarantine()
        self._crash_watch = CrashWatch()
        self._numbers = itertools.count(1)
        self._crashed_s = float("-inf")
        for kind in (SUSPECT, LIFTED):
            node.notices.subscribe(kind, self._receive_notice)
        node.follower.subscribe(self._on_folded)

    def is_empty(self):
        """Return whether no request is suspect or condemned."""
        return not len(self._quarantine)

    def standing(self, fingerprint, now_s):
        """Return the `Standing` of a fingerprint."""
        return self._quarantine.standing(fingerprint, now_s)

    def retry_after_ms(self, fingerprint, now_s):
        """Return after how many ms a condemned request may be sent again."""
        return int(self._quarantine.retry_after_s(fingerprint, now_s) * 1000)

    def list(self, now_s):
        """Return a `QuarantineEntry` for each suspect or condemned request."""
        return self._quarantine.list(now_s)

    def lift(self, fingerprint):
        """Let a request run again on all nodes; return false if it is unknown."""
        notices = self._quarantine.lift(fingerprint, boottime_s())
        if notices:
            self._node.report("quarantine_lifted", fingerprint=fingerprint)
        self._publish(notices)
        return bool(notices)

    def mark_suspect(self, fingerprint, service):
        """Mark a request as suspect before the crash of its server is confirmed."""
        self._quarantine.mark_suspect(fingerprint, service, boottime_s())

    def clear_suspect(self, fingerprint):
        """Clear a suspect that another node ran alone and got an answer to."""
        self._quarantine.clear_suspect(fingerprint, boottime_s())

    def record_start(self, slot):
        """Record a request that is about to be forwarded."""
        self._crash_watch.run_started(slot, slot.ticket.alone)

    def record_end(self, slot, answered):
        """Record the end of a request; a suspect that was answered is cleared."""
        self._crash_watch.run_ended(slot)
        if answered and slot.ticket.alone:
            self._publish(
                self._quarantine.clear_suspect(slot.fingerprint, boottime_s())
            )

    def connection_lost(self, slot, backend, wait_s=PROBE_WAIT_S):
        """Record a lost connection, and probe whether the backend server crashed.

        The caller may send its request again as soon as it has a reply. The reply is
        therefore delayed by up to ``wait_s``, so that the peers are notified first.
        """
        if self._crash_watch.connection_lost(slot, boottime_s()):
            gevent.spawn(self._probe, backend).join(wait_s)

    def _probe(self, backend):
        for pause_s in (*PROBE_PAUSES_S, 0):
            if backend.refuses_connections():
                self.confirm_crash()
                return
            gevent.sleep(pause_s)

    def confirm_crash(self):
        """Handle the confirmation that the backend server crashed or was restarted."""
        now_s = boottime_s()
        loss = self._crash_watch.confirm_crash(now_s)
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
        self._publish(self._quarantine.record_crash(crash_id, service, crash, now_s))
        if crash.alone:
            node.report("request_condemned", fingerprint=crash.fingerprints[0])
        node.load.reset_admission()
        self._notify_directly(service)

    def _notify_directly(self, service):
        """Notify the nodes that may get a suspect next, before its caller resends it.

        Gossip reaches most nodes at once, and the others within seconds. A node that
        hasn't been notified runs a suspect beside other requests, so that each such
        node can cause another crash.
        """
        node = self._node
        others = [
            member.node_id
            for member in node.follower.state.members.values()
            if member.service == service and member.node_id != node.settings.node_id
        ]
        gevent.joinall(node.gossip.push_to(others[:MAX_DIRECT_NOTICES]), PROBE_WAIT_S)

    def _on_folded(self, record, result):
        """Notify a node that joined after this node's notices of a crash."""
        if boottime_s() - self._crashed_s > CONDEMNED_S:
            return
        if isinstance(record, NodeAnnounced) and result.accepted:
            self._node.gossip.push_to([record.node_id])

    def _receive_notice(self, notice):
        try:
            self._quarantine.apply_notice(
                notice.kind, notice.subject, notice.value, boottime_s()
            )
        except ValueError:
            self._node.report("bad_notice", kind=notice.kind)

    def _publish(self, notices):
        for notice in notices:
            self._node.notices.publish(
                notice.kind, notice.subject, notice.value, notice.ttl_s
            )
