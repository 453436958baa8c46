"""Lines on single requests: bounded, never blocking, and put together again."""

import itertools
import os

import orjson
import pytest

from comfreywharf.daemon.operating.decisions import StdoutLineWriter
from comfreywharf.events.decisions import LINES_BURST, DecisionLog, is_sampled
from comfreywharf.events.explain import read_steps, tell_story


class Lines(list):
    """Keeps what is written; ``full`` takes nothing."""

    full = False

    def __call__(self, line):
        if not self.full:
            self.append(orjson.loads(line))
        return not self.full


def make_log(lines, node="n1", clocks=None):
    clocks = clocks or itertools.count(1 << 16, 1 << 16)
    return DecisionLog(node, lines, lambda: next(clocks))


def test_lines_are_bounded_and_the_rest_is_counted():
    """Symptom: a day of refusals fills the log of every node.
    Sequence: a thousand refusals within a second. Cause: a line for each."""
    lines = Lines()
    log = make_log(lines)
    for number in range(1000):
        log.tell(0.0, f"r{number}", "refused", reason="overloaded")
    assert len(lines) == LINES_BURST
    log.tell(60.0, "last", "refused", reason="overloaded")
    assert lines[-1]["left_out_before"] == 1000 - LINES_BURST


def test_a_line_that_isnt_taken_is_counted_in_the_next():
    """Nobody learns of a dropped line but by the next one."""
    lines = Lines()
    log = make_log(lines)
    lines.full = True
    log.tell(0.0, "a", "held")
    lines.full = False
    log.tell(0.0, "b", "held")
    log.tell(0.0, "c", "held")
    assert [line.get("dropped_before") for line in lines] == [1, None]


def test_an_unknown_kind_of_decision_is_an_error():
    """The catalogue and the code can't drift apart."""
    with pytest.raises(KeyError):
        make_log(Lines()).tell(0.0, "a", "improvised")


def test_a_pipe_that_nobody_reads_doesnt_stop_the_process():
    """Symptom: a node stands still, and all its callers with it.
    Sequence: the reader of its output is stuck; the pipe fills up.
    Cause: a write that waits."""
    reader, writer = os.pipe()
    try:
        write = StdoutLineWriter(writer)
        line = b"x" * 4000 + b"\n"
        taken = [write(line) for _ in range(100)]
        assert taken[0] and not taken[-1]
    finally:
        os.close(reader)
        os.close(writer)


def test_one_requests_lines_come_together_in_causal_order():
    """From several nodes, in any order, with a collector's prefix and noise."""
    clocks = itertools.count(1 << 16, 1 << 16)
    first, second = Lines(), Lines()
    one, two = make_log(first, "ingress", clocks), make_log(second, "owner", clocks)
    one.tell(0.0, "id", "held", after="not-yet-owner")
    two.tell(0.0, "id", "not_admitted", reason="overloaded")
    two.tell(0.0, "other", "not_admitted", reason="overloaded")
    one.tell(0.0, "id", "refused", reason="overloaded")
    texts = [f"12.5 node {orjson.dumps(f).decode()}" for f in (*second, *first)]
    steps = read_steps(["", "noise id", "{id", *texts], "id")
    assert [(s.node, s.decision) for s in steps] == [
        ("ingress", "held"),
        ("owner", "not_admitted"),
        ("ingress", "refused"),
    ]
    story = "\n".join(tell_story(steps))
    assert "+0 ms" in story and "reason=overloaded" in story


def test_one_in_64_plain_requests_has_lines():
    """The same ones at all nodes, since it hangs on the id alone."""
    sampled = sum(is_sampled(f"id-{number}") for number in range(6400))
    assert 60 <= sampled <= 140
