"""Tests of the quarantine over several nodes, and of the crash watch."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from comfreywharf.load.crashes import CONFIRM_S, CrashWatch, Loss
from comfreywharf.load.fingerprints import fingerprint
from comfreywharf.load.quarantine import (
    CONDEMNED_S,
    MAX_ENTRIES,
    SUSPECT,
    SUSPECT_S,
    Crash,
    Quarantine,
    Standing,
)

NODES = 4
POISON = "poison"
HARMLESS = ("a", "b", "c")


class QuarantineMachine(RuleBasedStateMachine):
    """One request crashes servers, others don't; notices are late or repeated.

    Notices are also reordered, and backend servers crash for other reasons while
    several requests are in flight. Each node decides on a run from its own
    quarantine only.
    """

    def __init__(self):
        super().__init__()
        self.nodes = [Quarantine() for _ in range(NODES)]
        self.in_transit = []
        self.crashes = 0
        self.now_s = 0.0
        self.crashes_alone = 0

    def crash(self, node, names, alone=False):
        self.crashes += 1
        crash_id = f"crash-{self.crashes}"
        crash = Crash(tuple(names), alone)
        notices = self.nodes[node].record_crash(crash_id, "files", crash, self.now_s)
        self.spread(notices)

    def spread(self, notices):
        self.in_transit += [(n, node) for n in notices for node in range(NODES)]

    @rule(
        node=st.integers(0, NODES - 1),
        name=st.sampled_from((POISON, *HARMLESS)),
        beside=st.sets(st.sampled_from(HARMLESS), max_size=2),
    )
    def send(self, node, name, beside):
        quarantine = self.nodes[node]
        standing = quarantine.standing(name, self.now_s)
        if standing is Standing.CONDEMNED:
            return
        if standing is Standing.SUSPECT and name == POISON:
            self.crashes_alone += 1
            self.crash(node, [name], alone=True)
        elif standing is Standing.SUSPECT:
            self.spread(quarantine.clear_suspect(name, self.now_s))
        elif name == POISON:
            trusted = Standing.TRUSTED
            beside_trusted = [
                b for b in beside if quarantine.standing(b, self.now_s) is trusted
            ]
            self.crash(node, [name, *sorted(beside_trusted)])

    @rule(node=st.integers(0, NODES - 1), names=st.sets(st.sampled_from(HARMLESS)))
    def server_crashes_for_another_reason(self, node, names):
        """The requests in flight may have started before they became suspects."""
        self.crash(node, sorted(names))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data, again):
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        notice, node = self.in_transit[index]
        if not again:
            del self.in_transit[index]
        self.nodes[node].apply_notice(
            notice.kind, notice.subject, notice.value, self.now_s
        )

    @rule(elapsed_s=st.floats(0.0, 5.0))
    def wait(self, elapsed_s):
        self.now_s += elapsed_s

    @invariant()
    def only_what_crashed_alone_is_condemned(self):
        for node in self.nodes:
            for name in HARMLESS:
                assert node.standing(name, self.now_s) is not Standing.CONDEMNED
        assert self.crashes_alone <= NODES

    def teardown(self):
        """All nodes agree after all notices, and all entries expire in the end."""
        for notice, node in self.in_transit:
            self.nodes[node].apply_notice(
                notice.kind, notice.subject, notice.value, self.now_s
            )
        standings = {node.standing(POISON, self.now_s) for node in self.nodes}
        if self.crashes_alone:
            assert standings == {Standing.CONDEMNED}
        end_s = self.now_s + CONDEMNED_S + 1
        assert not any(node.list(end_s) for node in self.nodes)


TestQuarantineMachine = QuarantineMachine.TestCase
TestQuarantineMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)


def _crashes_of_resends(count, with_notices):
    nodes = [Quarantine() for _ in range(7)]
    crashes = 0
    for number in range(count):
        node = nodes[number % len(nodes)]
        if node.standing(POISON, 1.0) is Standing.CONDEMNED:
            continue
        crashes += 1
        alone = node.standing(POISON, 1.0) is Standing.SUSPECT
        crash = Crash((POISON,) if alone else (POISON, "innocent"), alone)
        notices = node.record_crash(f"crash-{number}", "files", crash, 1.0)
        for peer in nodes if with_notices else []:
            for notice in notices:
                peer.apply_notice(notice.kind, notice.subject, notice.value, 1.0)
    return crashes


def test_repeated_poison_request_crashes_few_servers():
    """Fifty resends through seven nodes crash two servers, not fourteen.

    Guards against a request that crashes one server after another: its caller gets
    no answer and sends it again through another node. Without notices, each node
    knows only of the crashes of its own server.
    """
    assert _crashes_of_resends(50, with_notices=True) == 2
    assert _crashes_of_resends(50, with_notices=False) == 14


def test_lone_request_is_not_condemned_on_one_crash():
    """A crash during a single request makes it a suspect, but doesn't condemn it."""
    node = Quarantine()
    node.record_crash("crash-1", "files", Crash(("only",), alone=False), 0.0)
    assert node.standing("only", 1.0) is Standing.SUSPECT
    assert node.standing("only", SUSPECT_S + 1) is Standing.TRUSTED


def test_lifted_request_stays_lifted_when_old_notices_arrive():
    """A notice that is received late doesn't undo an operator's order."""
    first, second = Quarantine(), Quarantine()
    notices = first.record_crash("c1", "files", Crash((POISON, "x"), False), 0.0)
    notices += first.record_crash("c2", "files", Crash((POISON,), True), 1.0)
    assert first.list(2.0)[0].standing is Standing.CONDEMNED
    assert first.retry_after_s(POISON, 2.0) == CONDEMNED_S - 1
    for notice in first.lift(POISON, 2.0) + notices:
        second.apply_notice(notice.kind, notice.subject, notice.value, 3.0)
    for node in (first, second):
        assert node.standing(POISON, 4.0) is Standing.TRUSTED


def test_memory_is_bounded_and_keeps_the_condemned():
    """A large number of suspects doesn't evict a condemned request."""
    node = Quarantine()
    node.apply_notice(SUSPECT, "bad c0 files", 2.0, 0.0)
    for number in range(2 * MAX_ENTRIES):
        node.apply_notice(SUSPECT, f"f{number} c{number} files", 1.0, CONDEMNED_S - 5)
    assert len(node) <= MAX_ENTRIES
    assert node.standing("bad", CONDEMNED_S - 4) is Standing.CONDEMNED


def test_lost_connection_is_a_crash_only_once_confirmed():
    """The loss is returned only for a confirmed crash, and only once."""
    watch = CrashWatch()
    for name in ("a", "b"):
        watch.run_started(name, alone=False)
    assert watch.connection_lost("a", 1.0)
    watch.run_ended("a")
    assert not watch.connection_lost("b", 1.01)
    assert watch.confirm_crash(1.0 + CONFIRM_S + 1) is None
    assert watch.confirm_crash(1.1) == Loss(("a", "b"), alone=False)
    assert watch.confirm_crash(1.2) is None


def test_only_a_run_started_as_a_suspect_counts_as_alone():
    """A loss is ``alone`` only if its run was started as one that runs alone."""
    for as_suspect in (True, False):
        watch = CrashWatch()
        watch.run_started("a", alone=as_suspect)
        watch.connection_lost("a", 1.0)
        assert watch.confirm_crash(1.0).alone is as_suspect


def test_fingerprint_separates_its_parts():
    """Moving a byte from one part to the next changes the fingerprint."""
    assert fingerprint("s", b"ab", "GET", "/c", b"") != fingerprint(
        "s", b"a", "GET", "b/c", b""
    )
