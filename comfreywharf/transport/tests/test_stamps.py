"""Messages between nodes carry event clocks, whatever values the callers set."""

from comfreywharf.events import EventClock
from comfreywharf.transport import PeerClient, PeerServer, Stamps
from comfreywharf.transport.gen.ttypes import GrantReply, RenewRequest


class FixedClock(Stamps):
    """An event clock on a machine whose wall clock stands still."""

    def __init__(self, now_ms):
        self.clock = EventClock()
        self.now_ms = now_ms
        self.refused = []

    def stamp(self):
        return self.clock.tick(self.now_ms)

    def receive(self, peer, received):
        if self.clock.merge(received, self.now_ms):
            self.refused.append(peer)


class Witness:
    """A handler that sets no event clock, as callers do."""

    def renew(self, request):
        return GrantReply(
            granted=True, term=1, retry_after_ms=0, reason="", event_clock=0
        )


def renew_over_tcp(caller, callee):
    server = PeerServer("127.0.0.1", 0, Witness(), None, callee)
    server.start()
    client = PeerClient("127.0.0.1", server.port, caller)
    request = RenewRequest(
        node_id="booking-1",
        incarnation=1,
        lease_epoch=1,
        portfolio_epoch=1,
        lease_ms=1000,
        reach_ms=0,
        event_clock=0,
    )
    try:
        client.call("renew", request, timeout_s=5.0)
    finally:
        client.close()
        server.stop()


def test_events_after_a_call_are_ordered_after_it():
    """Guards against a timeline with a grant before the renewal that requested it.

    A node calls a witness whose wall clock is four seconds behind. Wall clocks would
    put the witness's events first.
    """
    caller, callee = FixedClock(now_ms=104_000), FixedClock(now_ms=100_000)
    before = caller.stamp()
    renew_over_tcp(caller, callee)
    granted = callee.stamp()
    assert before < granted
    assert caller.stamp() > before
    renew_over_tcp(callee, caller)
    assert caller.stamp() > granted
    assert caller.refused == callee.refused == []


def test_a_clock_far_ahead_is_reported_and_not_merged():
    """Guards against events of all nodes that are dated an hour ahead.

    One machine's clock jumps an hour, and its next call carries the time. Such a time
    has to be reported and not merged.
    """
    jumped, correct = FixedClock(now_ms=3_700_000), FixedClock(now_ms=100_000)
    renew_over_tcp(jumped, correct)
    assert correct.refused == ["booking-1"]
    assert EventClock.milliseconds(correct.stamp()) == 100_000
    jumped.now_ms = 100_050
    renew_over_tcp(jumped, correct)
    assert len(correct.refused) == 1
