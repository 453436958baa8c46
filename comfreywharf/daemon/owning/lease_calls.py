"""The calls between nodes that carry leases, claims and releases."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.ownership.handover import ReleaseDecision
from comfreywharf.transport.gen.ttypes import ReleaseReply

__all__ = ["LeaseCalls"]

RELEASE_WAIT_S = 0.5
UNRELEASED_RETRY_S = 0.02


class LeaseCalls:
    """Each method is one call of the thrift interface ``Node``."""

    def __init__(self, node):
        self._node = node

    def renew(self, request):
        """Answer an owner as its witness."""
        return self._node.witnessing.renew(request)

    def claim(self, request):
        """Answer a taker as the witness of the lapsed lease."""
        return self._node.witnessing.claim(request)

    def unclaim(self, request):
        """Take a share back from a taker."""
        self._node.witnessing.unclaim(request)

    def lapsed(self, notice):
        """Hear from a witness that an owner let its lease lapse."""
        self._node.leases.hear_lapse(notice.owner_id)

    def release(self, request):
        """Release a slice that moved away, with the memory of its requests."""
        end_s = boottime_s() + RELEASE_WAIT_S
        while True:
            now_s = boottime_s()
            decision = self._decide(request, now_s)
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
                self._node.follower.hurry()
            if decision.notify_witnesses:
                self._node.leases.force_round()
            gevent.sleep(decision.retry_after_s / 4)

    def _decide(self, request, now_s):
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
        piece = node.follower.state.slices[service].at_start(start)
        answers, more = node.memory.take_out(
            service, piece.start, piece.end, request.skip, now_s
        )
        since_s = node.leases.table.vouched_since_s(service, start)
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
