"""Handlers of the calls between nodes for leases, claims and releases."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.ownership.handover import ReleaseDecision
from comfreywharf.transport.gen.ttypes import ReleaseReply

__all__ = ["LeaseCalls"]

RELEASE_WAIT_S = 0.5
"""How long a release call is held before the reply that the slice isn't released."""

UNRELEASED_RETRY_S = 0.02
"""Time until the next check while the backend server may still hold the slice."""


class LeaseCalls:
    """Implement the calls of the thrift interface ``Node`` for leases."""

    def __init__(self, node):
        self._node = node

    def renew(self, request):
        """Answer an owner's renewal as its witness."""
        return self._node.witnessing.renew(request)

    def claim(self, request):
        """Answer a taker's claim as a witness of the expired lease."""
        return self._node.witnessing.claim(request)

    def unclaim(self, request):
        """Withdraw the share that a taker claimed."""
        self._node.witnessing.unclaim(request)

    def lapsed(self, notice):
        """Receive a witness's notice that an owner's lease expired."""
        self._node.leases.receive_lapse_notice(notice.owner_id)

    def release(self, request):
        """Release a slice that moved away, and return its remembered answers.

        Wait up to `RELEASE_WAIT_S` for the release; otherwise reply with a time to
        retry after.
        """
        end_s = boottime_s() + RELEASE_WAIT_S
        while True:
            now_s = boottime_s()
            decision = self._decide_release(request, now_s)
            if decision.released:
                handover = self._node.grants.release(
                    request.service_name, request.slice_start, end_s - now_s
                )
                if handover is not None:
                    return self._hand_over(request, handover, now_s)
                decision = ReleaseDecision(
                    released=False, retry_after_s=UNRELEASED_RETRY_S
                )
            if now_s + decision.retry_after_s > end_s:
                return _not_released(decision)
            if self._node.follower.state.next_offset <= request.slice_epoch:
                self._node.follower.request_read()
            if decision.notify_witnesses:
                self._node.leases.force_round()
            gevent.sleep(decision.retry_after_s / 4)

    def _decide_release(self, request, now_s):
        return self._node.leases.agent.decide_release(
            self._node.follower.state,
            request.service_name,
            request.slice_start,
            request.slice_epoch,
            now_s,
        )

    def _hand_over(self, request, handover, now_s):
        node = self._node
        service, start = request.service_name, request.slice_start
        slice_ = node.follower.state.slices[service].at_start(start)
        answers, more = node.memory.export_answers(
            service, slice_.start, slice_.end, request.skip, now_s
        )
        since_s = node.leases.table.memory_complete_since_s(service, start)
        if not more:
            node.report("slice_released", service=service, start=start)
        return ReleaseReply(
            released=True,
            retry_after_ms=0,
            answers=answers,
            more=more,
            vouched=since_s == float("-inf"),
            event_clock=0,
            handover=handover,
        )


def _not_released(decision):
    return ReleaseReply(
        released=False,
        retry_after_ms=int(decision.retry_after_s * 1000),
        answers=[],
        more=False,
        vouched=False,
        event_clock=0,
        handover="",
    )
