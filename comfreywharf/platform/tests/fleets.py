"""Nodes that aren't started, and whose requests go to a scripted owner."""

import attrs
import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.node import Node
from comfreywharf.daemon.requests.caller_watch import Call
from comfreywharf.daemon.requests.dispatch import Dispatcher
from comfreywharf.daemon.requests.replies import refusal
from comfreywharf.platform.ports import PlatformPorts
from comfreywharf.platform.settings import read_boot_file
from comfreywharf.platform.tests.builders import boot_text
from comfreywharf.records import ServiceConfig, number_key
from comfreywharf.records.tests.builders import make_member
from comfreywharf.routing import Outcome, Ownership, Reason
from comfreywharf.transport.gen.ttypes import ForwardReply, ForwardRequest

__all__ = ["EXTRA", "FRACTION", "Arrivals", "Fleet"]

FRACTION = 0.2
EXTRA = 58
"""What the settings of the fleet's nodes say of retries; see `boot_text`."""

OWNER = "owner"


@attrs.define
class Arrivals:
    """Requests that callers sent, and their arrivals at the owner's server."""

    requests: int = 0
    by_id: dict = attrs.Factory(dict)

    @property
    def repeated(self):
        """Return the arrivals beyond the first of each request."""
        return sum(count - 1 for count in self.by_id.values())

    @property
    def allowed(self):
        """Return how many of them a service may get in a window of these requests."""
        return FRACTION * self.requests + EXTRA


class _ScriptedDispatcher(Dispatcher):
    def __init__(self, node, fleet):
        super().__init__(node, node.ports.route_limits)
        self._fleet = fleet
        self.retry_fraction = node.ports.retry_fraction

    def _ownership(self, request):
        return Ownership(owner=OWNER, standby="standby")

    def _send(self, target, call):
        call.target = target
        return self._fleet.reply(target, call.request), None


class Fleet:
    """Nodes that send requests for one key to the same owner.

    The owner's server answers as ``server`` says: a `Reason` with which it refuses all
    requests, or ``None`` if it runs them. Of these it gets only the next
    ``arrivals_left``, unless that is ``None``; the node beside it refuses the others.

    With ``runs_second_arrivals`` it runs each request that arrives a second time.
    ``repeated_runs`` counts those, each of which makes ``calls`` calls to the service
    ``stock``.
    """

    def __init__(self, path, size):
        path.mkdir(exist_ok=True)
        self.server = None
        self.arrivals_left = None
        self.runs_second_arrivals = False
        self.repeated_runs = 0
        self.calls = 0.0
        self.arrivals = Arrivals()
        self._requests = 0
        names = [f"n{number}" for number in range(size)]
        members = {name: make_member(name) for name in names}
        self._dispatchers = []
        for name in names:
            file = path / f"{name}.conf"
            file.write_text(boot_text(name))
            settings = read_boot_file(file).unwrap()
            node = Node(settings.node, PlatformPorts(settings))
            node.follower.state.members = members
            self._dispatchers.append(_ScriptedDispatcher(node, self))

    @property
    def retry_tokens(self):
        """Return how many retries all nodes together may send now."""
        return sum(sum(d.retries.tokens.values()) for d in self._dispatchers)

    def begin_window(self):
        """Count anew."""
        self.arrivals = Arrivals()

    def reply(self, target, request):
        """Return the reply of a node, and count the request if the server got it."""
        if target != OWNER or self.arrivals_left == 0:
            return refusal(Reason.WRONG_OWNER, owner_hint=OWNER)
        if self.arrivals_left is not None:
            self.arrivals_left -= 1
        by_id = self.arrivals.by_id
        by_id[request.request_id] = by_id.get(request.request_id, 0) + 1
        second = by_id[request.request_id] > 1
        if self.server is None or second and self.runs_second_arrivals:
            self.repeated_runs += second
            return _answer()
        reply = refusal(self.server)
        reply.backend_reached = True
        reply.calls_per_run = {"stock": self.calls} if self.calls else {}
        return reply

    def send(self, per_node):
        """Send requests from each node, all at the same time; wait for the answers."""
        tasks = []
        for dispatcher in self._dispatchers:
            for _ in range(per_node):
                self._requests += 1
                call = _call(dispatcher, f"id-{self._requests}")
                tasks.append(gevent.spawn(dispatcher.dispatch, call))
        self.arrivals.requests += len(tasks)
        gevent.joinall(tasks, raise_error=True)
        return [task.value[0] for task in tasks]


def _call(dispatcher, request_id):
    now_s = boottime_s()
    request = ForwardRequest(
        request_id=request_id,
        service_name="booking",
        key=number_key(7),
        method="GET",
        path="/look/1",
        headers=[],
        body=b"",
        remaining_ms=1000,
        ingress_node_id="n0",
        retries_left=1,
        event_clock=0,
        first_sent_ago_ms=0,
        priority=1,
        repeatable=True,
        target_ms=400,
    )
    return Call(
        request=request,
        service=ServiceConfig(name="booking", retry_fraction=dispatcher.retry_fraction),
        body=b"",
        sock=None,
        began_s=now_s,
        deadline_s=now_s + 1.0,
    )


def _answer():
    return ForwardReply(
        outcome=Outcome.ANSWERED,
        status=200,
        headers=[],
        body=b"done",
        stream_id=0,
        reason="",
        retry_after_ms=0,
        owner_hint="",
        event_clock=0,
        retries_left=0,
    )
