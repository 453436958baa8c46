"""What a server states in the headers of its answers."""

import pytest

from comfreywharf.daemon.servers.statements import Statement
from comfreywharf.load.serverload import ReportedLoad
from comfreywharf.platform.statements import read_statement


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [("14.4", 14.4), ("24", 24.0), ("0", 0.0), (".25", 0.25), ("7.", 7.0)],
)
def test_a_decimal_limit_is_read(text, limit_per_s):
    """A limit is a decimal number of requests per second."""
    assert read_statement({"server-limit": text}) == Statement(limit_per_s=limit_per_s)


@pytest.mark.parametrize(
    "text",
    ["", "nan", "inf", "-1", "+3", "1,5", "1e3", "0x10", "9" * 30, ["3", "4"], "3 4"],
)
def test_a_limit_that_cant_be_read_is_damaged(text):
    """Guards against a limit that is taken for none, or for another one."""
    statement = read_statement({"server-limit": text})
    assert statement.limit_per_s is None
    assert statement.damaged_limit is not None


def test_an_answer_without_the_headers_states_nothing():
    """Most answers state nothing."""
    assert read_statement({}) == Statement()


def test_a_server_that_leaves_is_read_beside_any_limit():
    """Guards against a leaving server whose limit can't be read."""
    assert read_statement({"server-leaving": "1"}).leaving
    assert read_statement({"server-leaving": "1", "server-limit": "x"}).leaving
    assert not read_statement({"server-leaving": "0"}).leaving


@pytest.mark.parametrize(
    ("text", "percent"), [("2,0,7", 100), ("2,0,7,100", 100), ("2,0,7,315", 315)]
)
def test_a_load_is_read(text, percent):
    """A load has three or four whole numbers."""
    load = ReportedLoad(running=2, waiting=0, slots=7, work_percent=percent)
    assert read_statement({"x-instance-load": text}) == Statement(load=load)


@pytest.mark.parametrize(
    "text",
    [
        *("", "2", "2,0", "2,0,7,", "2,0,7,100,1", "2;0;7", "2, 0, 7", "-1,0,7"),
        *("2,0,0", "2,0,7,0", "2,0,7,1.5", "9999999,0,7", "2,0,x", ["2,0,7", "2,0,7"]),
    ],
)
def test_a_load_that_cant_be_read_is_damaged(text):
    """Guards against a damaged load that is taken for an idle server's."""
    statement = read_statement({"x-instance-load": text, "server-limit": "3"})
    assert statement.load is None
    assert statement.damaged_load is not None
    assert statement.limit_per_s == 3.0
