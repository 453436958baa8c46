"""Which connections lead to one process: each test is a way to take two for one."""

from hypothesis import given, settings, strategies as st

from comfreywharf.ownership.process_tracker import ProcessTracker


def test_a_new_connection_is_unknown_until_an_older_one_vouches_for_it():
    """Symptom: a server that has just begun gets orders that were meant for the one
    that crashed. Sequence: crash, restart, a new connection beside one whose end hasn't
    been noticed yet. Cause: all connections to an address counted as alike."""
    tracker = ProcessTracker()
    tracker.opened("old")
    tracker.opened("new")
    assert not tracker.leads_to_process("new")
    tracker.answered("old", tracker.asked())
    assert tracker.leads_to_process("new")


def test_an_answer_to_an_earlier_question_vouches_for_nothing_later():
    """Symptom as above. Sequence: a question, the crash, the restart, a new connection;
    then the answer is read that had been sent before the crash.
    Cause: the moment counted at which the answer was read."""
    tracker = ProcessTracker()
    tracker.opened("old")
    asked = tracker.asked()
    tracker.opened("new")
    tracker.answered("old", asked)
    assert not tracker.leads_to_process("new")


def test_a_connection_of_an_earlier_process_is_never_vouched_for_by_a_later_one():
    """One that was opened before the last known one ended may lead to either."""
    tracker = ProcessTracker()
    tracker.opened("first")
    tracker.opened("between")
    tracker.closed("first")
    tracker.opened("second")
    tracker.answered("second", tracker.asked())
    assert tracker.process == 2
    assert not tracker.leads_to_process("between")


def test_an_unknown_connection_vouches_for_nobody():
    """It may lead to another process itself."""
    tracker = ProcessTracker()
    for name in ("known", "unknown", "third"):
        tracker.opened(name)
    tracker.answered("unknown", tracker.asked())
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
    """Whatever is opened, asked, answered late, closed late, and however often the
    server crashes, what is known under one number leads to one process."""
    world = _World()
    for event, choice in events:
        getattr(world, event)(choice)
        world.check()


class _World:
    """A server that crashes, and connections whose ends are noticed later."""

    def __init__(self):
        self.tracker = ProcessTracker()
        self.process = 0
        self.accepted_by = {}
        self.questions = []
        self.seen = {}

    def open(self, _):
        connection = f"c{len(self.accepted_by)}-{self.process}"
        self.accepted_by[connection] = self.process
        self.tracker.opened(connection)

    def ask(self, choice):
        """Send a question; the process answers it if it lives when that arrives."""
        known = [c for c in self.accepted_by if self.tracker.leads_to_process(c)]
        if known:
            connection = known[choice % len(known)]
            if self.accepted_by[connection] == self.process:
                self.questions.append((connection, self.tracker.asked()))

    def answer(self, choice):
        """Read an answer, perhaps long after it was sent."""
        if self.questions:
            connection, asked = self.questions.pop(choice % len(self.questions))
            self.tracker.answered(connection, asked)

    def close(self, choice):
        """Notice that a connection has ended, or give one up."""
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
