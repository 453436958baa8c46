"""Tests of the demonstration's exit status and of its checks of answers."""

import io

import pytest

from comfreywharf_dev.demo.caller import Caller
from comfreywharf_dev.demo.main import has_sole_owners
from comfreywharf_dev.demo.step_printer import StepPrinter


@pytest.mark.parametrize(
    ("held", "status"), [([True, True], 0), ([True, False], 1), ([], 1)]
)
def test_exit_status_is_0_only_if_all_checks_pass(held, status):
    """The demonstration fails if a check fails or if there was no check at all."""
    printer = StepPrinter(io.StringIO())
    for holds in held:
        printer.check(holds, "it holds")
    assert printer.end() == status


class SameAnswerCluster:
    """A cluster whose nodes all give the same answer."""

    plans = {"booking-1": None}

    def __init__(self, **document):
        self._document = {"server": "server-1", "key": "vesta", **document}

    def call(self, node_id, path, key, method, **request_headers):
        document = {
            "request_id": request_headers["Comfreywharf_Request_Id"],
            **self._document,
        }
        return 200, {"Comfreywharf-Outcome": "answered"}, document


@pytest.mark.parametrize(
    ("wrong", "correct"),
    [({}, True), ({"key": "anna"}, False), ({"request_id": "other"}, False)],
)
def test_another_requests_answer_is_not_correct(wrong, correct):
    """An answer to another request or for another key isn't correct."""
    assert Caller(SameAnswerCluster(**wrong)).book("vesta").correct == correct


@pytest.mark.parametrize(
    ("effects", "sole"),
    [
        ([(4, "a"), (4, "a"), (6, "b")], True),
        ([(4, "a"), (6, "b"), (4, "a")], False),
        ([(4, "a"), (4, "b")], False),
    ],
)
def test_two_owners_at_a_time_are_detected_in_the_ledger(effects, sole):
    """An effect with an outdated fence, or two servers with one fence, is detected."""
    ledger = [
        {"at_s": at_s, "key_hash": "7", "fence": fence, "server": server}
        for at_s, (fence, server) in enumerate(effects)
    ]
    assert has_sole_owners(ledger) == sole
