"""Who gets room in a node's memory, and whose connection is closed for it."""

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from comfreywharf.load.callermemory import (
    BODY_SHARE,
    CONNECTION_BYTES,
    MAX_HELD_BODY_BYTES,
    RELIEVED_SHARE,
    REQUEST_BYTES,
    CallerAccount,
    CallerBounds,
    CallerMemory,
)

MEMORY_BYTES = 4 << 20
BODY_BYTES = 200_000


@pytest.fixture
def memory():
    """Return a memory that lists the connections that it closes."""
    made = CallerMemory(
        CallerBounds(memory_bytes=MEMORY_BYTES, connections=40, requests=20)
    )
    made.closed = []
    made.close = made.closed.append
    return made


def connect(memory, now_s=0.0):
    account = CallerAccount()
    assert memory.connect(account, now_s)
    return account


def begin(memory, account, now_s, is_upload=False):
    return memory.begin(account, 200, 4, now_s, is_upload)


def stall(memory, now_s=0.0):
    """Return a connection whose caller doesn't send the rest of a body."""
    account = connect(memory, now_s)
    assert begin(memory, account, now_s, is_upload=True).grow_body(BODY_BYTES, now_s)
    account.begin_reading(now_s)
    return account


def fill_with_bodies(memory, now_s=0.0):
    """Return connections whose bodies leave no room for another one."""
    size_bytes = BODY_BYTES + CONNECTION_BYTES + REQUEST_BYTES
    count = int(MEMORY_BYTES * BODY_SHARE / size_bytes)
    return [stall(memory, now_s) for _ in range(min(count, 10))]


def test_whoever_connects_last_gets_in_and_the_longest_idle_leave(memory):
    """Guards against silent connections that lock ordinary callers out."""
    accounts = [connect(memory, number / 10) for number in range(40)]
    newest = connect(memory, now_s=5.0)
    assert memory.closed == accounts[: len(memory.closed)]
    assert newest.is_open
    assert memory.connections == int(40 * RELIEVED_SHARE)


def test_a_connection_with_a_request_in_service_is_not_closed(memory):
    """Guards against ordinary callers that lose their answers to silent ones."""
    served = connect(memory)
    part = begin(memory, served, 0.0)
    for number in range(100):
        connect(memory, now_s=1.0 + number)
    assert served.is_open
    part.end(now_s=200.0)
    assert served.held_bytes == CONNECTION_BYTES


def test_a_stalled_body_makes_room_for_another_one(memory):
    """Guards against bodies that are never finished and fill the memory."""
    stalled = fill_with_bodies(memory)
    account = connect(memory, now_s=3.0)
    part = begin(memory, account, 3.0)
    assert part.grow_body(MAX_HELD_BODY_BYTES, now_s=3.0)
    assert set(memory.closed) <= set(stalled) and account.is_open


def test_the_stalled_one_gets_no_room_from_those_who_have_just_come(memory):
    """Guards against a caller that displaces others with bytes now and then."""
    account = stall(memory)
    account.end_reading(now_s=60.0)
    others = [stall(memory, now_s=60.0) for _ in range(9)]
    part = begin(memory, account, 60.0, is_upload=True)
    assert part is None or not part.grow_body(MEMORY_BYTES, now_s=60.1)
    assert not set(memory.closed) & set(others)


def test_bodies_leave_room_for_requests_without_one(memory):
    """Guards against uploads in service that lock short requests out."""
    uploads = []
    while True:
        account = connect(memory)
        part = begin(memory, account, 0.0, is_upload=True)
        if part is None or not part.grow_body(BODY_BYTES, 0.0):
            break
        uploads.append(account)
    assert begin(memory, connect(memory), 0.0) is not None
    assert not memory.closed


def test_nobody_is_disconnected_if_that_makes_no_room(memory):
    """Guards against idle callers that lose their connections for nothing."""
    idle = [connect(memory) for _ in range(5)]
    served = connect(memory)
    part = begin(memory, served, 0.0)
    assert not memory.grow_body(part, MEMORY_BYTES, now_s=60.0)
    assert all(account.is_open for account in idle)


def test_an_answer_that_nobody_reads_makes_room_for_the_next(memory):
    """Guards against unread answers that fill the memory."""
    for number in range(100):
        account = connect(memory, now_s=number)
        part = begin(memory, account, now_s=number)
        part.keep_answer(BODY_BYTES, now_s=number)
        account.unsent_since_s = number
        assert memory.held_bytes <= MEMORY_BYTES
    assert account.is_open


def test_a_refused_caller_is_told_how_long_requests_take(memory):
    """Guards against a Retry-After of nothing while the room is taken for seconds."""
    assert memory.retry_after_s(now_s=0.0) < 1.0
    begin(memory, connect(memory), now_s=0.0)
    assert memory.retry_after_s(now_s=8.0) == 8.0


class Memory(RuleBasedStateMachine):
    """Connections, requests and answers in any order, within small bounds."""

    def __init__(self):
        super().__init__()
        bounds = CallerBounds(memory_bytes=1 << 20, connections=6, requests=4)
        self.memory = CallerMemory(bounds)
        self.memory.close = self.record_closed
        self.now_s = 0.0
        self.accounts = []
        self.parts = []

    def record_closed(self, account):
        assert account.waits_s(self.now_s) is not None
        self.accounts.remove(account)

    @rule(later_s=st.floats(0, 10))
    def wait(self, later_s):
        self.now_s += later_s

    @rule()
    def connect(self):
        account = CallerAccount()
        if self.memory.connect(account, self.now_s):
            self.accounts.append(account)

    @precondition(lambda self: self.accounts)
    @rule(number=st.integers(0), headers=st.integers(0, 800), is_upload=st.booleans())
    def begin(self, number, headers, is_upload):
        account = self.accounts[number % len(self.accounts)]
        size_bytes = 10 * headers
        part = self.memory.begin(account, size_bytes, headers, self.now_s, is_upload)
        if part is not None:
            self.parts.append(part)

    @precondition(lambda self: self.parts)
    @rule(number=st.integers(0), size_bytes=st.integers(0, 400_000))
    def receive(self, number, size_bytes):
        part = self.parts[number % len(self.parts)]
        part.account.begin_reading(self.now_s)
        self.now_s += 0.1
        part.account.end_reading(self.now_s)
        part.grow_body(size_bytes, self.now_s)

    @precondition(lambda self: self.parts)
    @rule(number=st.integers(0))
    def stall(self, number):
        account = self.parts[number % len(self.parts)].account
        if account.reading_since_s is None:
            account.begin_reading(self.now_s)

    @precondition(lambda self: self.parts)
    @rule(number=st.integers(0))
    def end(self, number):
        part = self.parts.pop(number % len(self.parts))
        part.account.reading_since_s = None
        part.end(self.now_s)

    @precondition(lambda self: self.accounts)
    @rule(number=st.integers(0))
    def disconnect(self, number):
        account = self.accounts.pop(number % len(self.accounts))
        self.memory.disconnect(account)

    @invariant()
    def bounds_hold(self):
        memory, bounds = self.memory, self.memory.bounds
        assert 0 <= memory.held_bytes <= bounds.memory_bytes
        assert 0 <= memory.requests <= bounds.requests
        assert 0 <= memory.uploads <= memory.requests
        assert memory.connections <= bounds.connections

    @invariant()
    def what_is_held_belongs_to_open_connections(self):
        memory = self.memory
        assert memory.held_bytes == sum(a.held_bytes for a in self.accounts)
        assert memory.requests == sum(a.requests for a in self.accounts)
        assert memory.connections == len(self.accounts)
        assert memory.retry_after_s(self.now_s) >= 0


TestMemory = Memory.TestCase
TestMemory.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)
