"""Decision lines are rate limited, never block, and can be combined per request."""

import itertools
import os

import orjson
import pytest

from comfreywharf.daemon.operating.decisions import StdoutLineWriter
from comfreywharf.events.decisions import LINES_BURST, DecisionLog, is_sampled
from comfreywharf.events.explain import format_steps, read_steps


class Lines(list):
    """A writer that keeps the decoded lines, and rejects them if it is ``full``."""

    full = False

    def __call__(self, line):
        if not self.full:
            self.append(orjson.loads(line))
        return not self.full


def make_log(lines, node="n1", clocks=None):
    clocks = clocks or itertools.count(1 << 16, 1 << 16)
    return DecisionLog(node, lines, lambda: next(clocks))


def test_lines_are_limited_and_the_withheld_ones_counted():
    """A day of refusals must not fill the log of every node.

    Without a limit, a thousand refusals within a second would have a line each.
    """
    lines = Lines()
    log = make_log(lines)
    for number in range(1000):
        log.add(0.0, f"r{number}", "refused", reason="overloaded")
    assert len(lines) == LINES_BURST
    log.add(60.0, "last", "refused", reason="overloaded")
    assert lines[-1]["left_out_before"] == 1000 - LINES_BURST


def test_a_dropped_line_is_counted_in_the_next_line():
    """The next written line reports how many were dropped before it."""
    lines = Lines()
    log = make_log(lines)
    lines.full = True
    log.add(0.0, "a", "held")
    lines.full = False
    log.add(0.0, "b", "held")
    log.add(0.0, "c", "held")
    assert [line.get("dropped_before") for line in lines] == [1, None]


def test_an_unknown_kind_of_decision_raises_key_error():
    """Every kind of decision in the code has to be in `DECISIONS`."""
    with pytest.raises(KeyError):
        make_log(Lines()).add(0.0, "a", "improvised")


def test_a_full_pipe_does_not_block_the_process():
    """A full pipe must not block the node and with it all of its callers.

    The pipe fills up if the reader of the node's output hangs. A blocking write
    would then wait for the reader.
    """
    reader, writer = os.pipe()
    try:
        write = StdoutLineWriter(writer)
        line = b"x" * 4000 + b"\n"
        written = [write(line) for _ in range(100)]
        assert written[0] and not written[-1]
    finally:
        os.close(reader)
        os.close(writer)


def test_lines_of_one_request_are_sorted_in_causal_order():
    """Lines may come from several nodes, in any order, and with a prefix.

    Other lines and invalid JSON are skipped.
    """
    clocks = itertools.count(1 << 16, 1 << 16)
    first, second = Lines(), Lines()
    one, two = make_log(first, "ingress", clocks), make_log(second, "owner", clocks)
    one.add(0.0, "id", "held", after="not-yet-owner")
    two.add(0.0, "id", "not_admitted", reason="overloaded")
    two.add(0.0, "other", "not_admitted", reason="overloaded")
    one.add(0.0, "id", "refused", reason="overloaded")
    texts = [f"12.5 node {orjson.dumps(f).decode()}" for f in (*second, *first)]
    steps = read_steps(["", "noise id", "{id", *texts], "id")
    assert [(s.node, s.decision) for s in steps] == [
        ("ingress", "held"),
        ("owner", "not_admitted"),
        ("ingress", "refused"),
    ]
    explanation = "\n".join(format_steps(steps))
    assert "+0 ms" in explanation and "reason=overloaded" in explanation


def test_one_in_64_successful_requests_is_sampled():
    """The sampling depends on the id alone, so all nodes choose the same ones."""
    sampled = sum(is_sampled(f"id-{number}") for number in range(6400))
    assert 60 <= sampled <= 140
