"""Keep the load of the backend server beside this node, and tell it in replies.

The decisions are those of `comfreywharf.load.serverload`, which does no I/O.
"""

from comfreywharf.daemon.servers.statements import AnswerKind
from comfreywharf.load.serverload import LoadSnapshot, ServerLoadState
from comfreywharf.transport.gen.ttypes import PassedLoad, ServerLoad

__all__ = ["ServerLoadWatch", "passed_load_message", "snapshot_from_message"]

SETTLED_S = 0.05
"""Time after which the server must have counted a request that was sent to it."""

MAX_WORK_MS = 2**31 - 1


class ServerLoadWatch:
    """The load of the backend server beside this node, and reports of damaged ones.

    Nothing is kept or told unless the ports choose by load.
    """

    def __init__(self, node):
        self._node = node
        self._state = ServerLoadState()
        self._damage_reported = False

    def reset(self):
        """Begin anew, for another start of the server."""
        self._state = ServerLoadState()
        self._damage_reported = False

    @property
    def believed(self):
        """Return whether the loads that the server reports are believed."""
        return self._state.believed

    def record_statement(self, kind, statement, now_s):
        """Apply the load that an answer of the server reports, if it reports one."""
        if not self._node.ports.chooses_by_load:
            return
        if statement.damaged_load is not None:
            self._report_damaged(statement.damaged_load)
        admission = self._node.load.admission_state
        if statement.load is None or admission is None:
            return
        settled = self._node.forwarder.awaited_since(now_s - SETTLED_S)
        if kind is AnswerKind.REQUEST:
            # The server may no longer count the request that it has just answered.
            settled -= 1
        in_flight = len(admission.in_flight)
        changed = self._state.record_report(
            statement.load, in_flight, max(0, settled), now_s
        )
        if changed is not None:
            self._report_belief(changed, statement.load, settled)

    def record_answer(self, started_s, now_s):
        """Record an answer to a request that the server got at ``started_s``."""
        if self._node.ports.chooses_by_load:
            self._state.record_work(now_s - started_s, now_s)

    def message(self, now_s):
        """Return the `ServerLoad` for a reply; ``None`` if there is none to tell."""
        admission = self._node.load.admission_state
        if not self._node.ports.chooses_by_load or admission is None:
            return None
        load = self._state.snapshot(
            len(admission.in_flight),
            self._node.load.waiting(),
            admission.limit.max_in_flight(),
            now_s,
        )
        return _message(load)

    def _report_damaged(self, text):
        self._node.metrics.damaged_load_read()
        if not self._damage_reported:
            self._damage_reported = True
            self._node.report("damaged_load", found=text)

    def _report_belief(self, believed, load, in_flight):
        reported, report = load.running + load.waiting, self._node.report
        if believed:
            report("load_believed", reported=reported, in_flight=in_flight)
        else:
            report("load_doubted", reported=reported, in_flight=in_flight)


def passed_load_message(member, now_s):
    """Return the `PassedLoad` of a `MemberLoad` whose load is known."""
    return PassedLoad(
        node_id=member.node_id,
        load=_message(member.load),
        age_ms=round((now_s - member.load_received_s) * 1000),
    )


def _message(load):
    return ServerLoad(
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        work_ms=min(round(load.work_s * 1000), MAX_WORK_MS),
    )


def snapshot_from_message(message):
    """Return the `LoadSnapshot` of a `ServerLoad`; ``None`` if it says what can't be.

    A node of another build may send anything.
    """
    if message.slots < 1 or min(message.running, message.waiting, message.work_ms) < 0:
        return None
    return LoadSnapshot(
        running=message.running,
        waiting=message.waiting,
        slots=message.slots,
        work_s=message.work_ms / 1000,
    )
