"""Which connections lead to one process.

Each test guards against two processes that are taken for one.
"""

from hypothesis import given, settings, strategies as st

from comfreywharf.ownership.process_tracker import ProcessTracker


def test_new_connection_is_unconfirmed_until_an_older_one_gets_an_answer():
    """Guards against orders that reach a restarted server although they were meant for
    its crashed incarnation.

    After the restart, a new connection is opened while the end of an older one hasn't
    been noticed yet. Connections to one address may lead to different processes."""
    tracker = ProcessTracker()
    tracker.opened("old")
    tracker.opened("new")
    assert not tracker.leads_to_process("new")
    tracker.answered("old", tracker.request_sent())
    assert tracker.leads_to_process("new")


def test_answer_to_an_earlier_request_confirms_no_later_connection():
    """Guards against the same fault by a late answer.

    The order is: a request, the crash, the restart, a new connection, and then the
    reading of an answer that was sent before the crash. The time at which the request
    was sent has to count, not the time at which its answer is read."""
    tracker = ProcessTracker()
    tracker.opened("old")
    request_number = tracker.request_sent()
    tracker.opened("new")
    tracker.answered("old", request_number)
    assert not tracker.leads_to_process("new")


def test_connection_of_an_earlier_process_is_never_confirmed_by_a_later_one():
    """A connection that was opened before the last confirmed one ended may lead to the
    earlier or to the later process."""
    tracker = ProcessTracker()
    tracker.opened("first")
    tracker.opened("between")
    tracker.closed("first")
    tracker.opened("second")
    tracker.answered("second", tracker.request_sent())
    assert tracker.process == 2
    assert not tracker.leads_to_process("between")


def test_unconfirmed_connection_confirms_no_other():
    """An unconfirmed connection may itself lead to another process."""
    tracker = ProcessTracker()
    for name in ("known", "unknown", "third"):
        tracker.opened(name)
    tracker.answered("unknown", tracker.request_sent())
    assert not tracker.leads_to_process("third")


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["open", "ask", "answer", "close", "crash"]),
        st.integers(0, 5),
    ),
    max_size=60,
)


@given(EVENTS)
@settings(derandomize=True, deadline=None, max_examples=400)
def test_no_number_is_ever_given_to_two_processes(events):
    """All connections that are confirmed under one number lead to one process, for any
    order of opened connections, requests, late answers, late closes and crashes."""
    world = _World()
    for event, choice in events:
        getattr(world, event)(choice)
        world.check()


class _World:
    """A server that crashes, and connections whose ends are detected later."""

    def __init__(self):
        self.tracker = ProcessTracker()
        self.process = 0
        self.accepted_by = {}
        self.open_requests = []
        self.seen = {}

    def open(self, _):
        connection = f"c{len(self.accepted_by)}-{self.process}"
        self.accepted_by[connection] = self.process
        self.tracker.opened(connection)

    def ask(self, choice):
        """Send a request; the process answers it if it still runs at the arrival."""
        known = [c for c in self.accepted_by if self.tracker.leads_to_process(c)]
        if known:
            connection = known[choice % len(known)]
            if self.accepted_by[connection] == self.process:
                self.open_requests.append((connection, self.tracker.request_sent()))

    def answer(self, choice):
        """Read an answer, possibly long after it was sent."""
        if self.open_requests:
            connection, request_number = self.open_requests.pop(
                choice % len(self.open_requests)
            )
            self.tracker.answered(connection, request_number)

    def close(self, choice):
        """Detect that a connection has ended, or close one."""
        if self.accepted_by:
            names = list(self.accepted_by)
            self.tracker.closed(names[choice % len(names)])

    def crash(self, _):
        self.process += 1

    def check(self):
        for connection, process in self.accepted_by.items():
            if self.tracker.leads_to_process(connection):
                number = self.tracker.process
                assert self.seen.setdefault(number, process) == process
