"""Tests that no request runs twice, despite resends, evictions and moves."""

import attrs
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from comfreywharf.routing import (
    Answer,
    AnswerMemory,
    BeginStatus,
    MemoryLimits,
    Outcome,
    RequestKey,
    resend_fingerprint,
)

SERVICE = "booking"
LIMITS = MemoryLimits(
    entries=6, total_bytes=4000, body_bytes=1000, age_s=30.0, page_bytes=700
)
MARK = 7


def answer(size_bytes=10):
    return Answer(
        outcome=Outcome.ANSWERED, status=200, headers=[], body=b"x" * size_bytes
    )


def request_key(number):
    return RequestKey(SERVICE, number << 56, f"id-{number}")


class AtMostOnce(RuleBasedStateMachine):
    """Callers that send and resend while the owner's memory is moved and lost."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.memory = AnswerMemory(LIMITS)
        self.memory_complete_since_s = float("-inf")
        self.first_sent_s = {}
        self.running = set()
        self.may_have_run = set()

    @rule(number=st.integers(0, 20), reports_first_send=st.booleans())
    def send(self, number, reports_first_send):
        """Send or resend a request as docs/interfaces-callers.md requires."""
        first_sent_s = None
        if number in self.first_sent_s:
            age_s = self.now_s - self.first_sent_s[number]
            reports_first_send = reports_first_send or age_s > LIMITS.age_s
            first_sent_s = self.first_sent_s[number]
        if not reports_first_send:
            first_sent_s = self.now_s - LIMITS.age_s
        self.first_sent_s.setdefault(number, self.now_s)
        found = self.memory.begin(
            request_key(number),
            mark=MARK,
            first_sent_s=first_sent_s,
            memory_complete_since_s=self.memory_complete_since_s,
            now_s=self.now_s,
        )
        if found.begin_status == BeginStatus.FIRST:
            assert number not in self.may_have_run, "ran twice"
            self.running.add(number)
            self.may_have_run.add(number)
        elif found.begin_status == BeginStatus.KNOWN:
            assert number in self.may_have_run
        elif found.begin_status == BeginStatus.RUNNING:
            assert number in self.running

    @precondition(lambda self: self.running)
    @rule(data=st.data(), size_bytes=st.sampled_from([0, 900, 5000]))
    def answered(self, data, size_bytes):
        number = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(number)
        self.memory.finish(request_key(number), answer(size_bytes), self.now_s)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def proven_not_run(self, data):
        number = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(number)
        self.may_have_run.discard(number)
        self.memory.forget(request_key(number))

    @rule(passed_s=st.sampled_from([0.5, 10.0, 31.0]))
    def time_passes(self, passed_s):
        self.now_s += passed_s

    @precondition(lambda self: not self.running)
    @rule(passed_s=st.sampled_from([0.0, 12.0]))
    def move_to_another_owner(self, passed_s):
        """Transfer the memory page by page while its entries age."""
        receiver = AnswerMemory(LIMITS)
        received, more = 0, True
        while more:
            page, more = self.memory.export_answers(
                SERVICE, 0, 1 << 63, received, self.now_s
            )
            received += len(page)
            receiver.import_answers(SERVICE, page, self.now_s)
            self.now_s += passed_s
        self.memory = receiver

    @rule()
    def lose_the_owner(self):
        self.memory = AnswerMemory(LIMITS)
        self.memory_complete_since_s = self.now_s
        self.running.clear()

    def teardown(self):
        assert self.memory.size_bytes <= LIMITS.total_bytes
        assert len(self.memory) - len(self.running) <= LIMITS.entries


AtMostOnce.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestAtMostOnce = AtMostOnce.TestCase


def begin(memory, key, mark=MARK, first_sent_s=None):
    return memory.begin(
        key,
        mark=mark,
        first_sent_s=first_sent_s,
        memory_complete_since_s=float("-inf"),
        now_s=0.0,
    )


def test_a_reused_request_id_gets_no_remembered_answer():
    """Guard against a caller that gets the answer to another caller's request.

    Two callers choose the same request id for the same key, so that the id
    alone doesn't identify a request.
    """
    memory = AnswerMemory(LIMITS)
    key = request_key(1)
    first = resend_fingerprint("POST", "/book", b"monday")
    begin(memory, key, first)
    memory.finish(key, answer(), 0.0)
    other = resend_fingerprint("POST", "/book", b"tuesday")
    assert begin(memory, key, other).begin_status == BeginStatus.REUSED
    assert begin(memory, key, first).answer.body == answer().body


def test_a_long_answer_is_remembered_without_its_body():
    """The answer to a resend shows that the request ran, but has no body."""
    memory = AnswerMemory(LIMITS)
    begin(memory, request_key(1))
    memory.finish(request_key(1), answer(LIMITS.body_bytes + 1), 0.0)
    known = begin(memory, request_key(1)).answer
    assert known == attrs.evolve(answer(0), body_kept=False)


def test_a_page_holds_only_the_slice_that_moves():
    """Answers of adjacent slices aren't transferred to the new owner."""
    memory = AnswerMemory(LIMITS)
    for key_hash in (1, 2, 3):
        key = RequestKey(SERVICE, key_hash, "id")
        begin(memory, key)
        memory.finish(key, answer(), 0.0)
    page, more = memory.export_answers(SERVICE, 2, 3, 0, 0.0)
    assert ([kept.key_hash for kept in page], more) == ([2], False)
