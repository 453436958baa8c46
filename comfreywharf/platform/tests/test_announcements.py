"""Reports that another writer damaged: none of them names a server to use."""

from types import SimpleNamespace

import orjson
import pytest
from hypothesis import example, given, settings

from comfreywharf.membership.incarnations import ServerIncarnation
from comfreywharf.platform.announcements import (
    DamagedReport,
    read_deregistration,
    read_heartbeat,
)
from comfreywharf.platform.heartbeats import HeartbeatPort
from comfreywharf.platform.tests.reports import GOOD, damaged_reports, report
from comfreywharf.routes import RoutedService, RouteTable
from comfreywharf.settings.model import Address


def test_a_good_heartbeat_is_read():
    """All that is used of it, under the product's words."""
    said = read_heartbeat("i-1", report(state="draining"))
    announced = said.announcement
    assert (said.sequence, said.leaving) == (4, True)
    assert (announced.host, announced.port) == ("10.0.0.9", 8080)
    assert (announced.service, announced.slots) == ("booking", 8)
    assert announced.incarnation == ServerIncarnation("i-1", 1_000)


def test_a_server_that_doesnt_say_when_it_began_is_read():
    """Not each server says it."""
    fields = {name: value for name, value in GOOD.items() if name != "born"}
    said = read_heartbeat("i-1", orjson.dumps(fields))
    assert said.announcement.incarnation == ServerIncarnation("i-1", None)


DAMAGED = [
    *[(name, None) for name in GOOD if name != "born"],
    *[("born", value) for value in ("1", True, 1.0, 1.5, -1, 10**15, [], {})],
    *[("sequence", value) for value in ("4", True, 4.0, -1, 10**10, [4])],
    *[("slots", value) for value in (0, -8, 8.5, True, "8", 10**6)],
    *[("state", value) for value in ("Ready", "dead", "", 1, ["ready"])],
    *[("service", value) for value in ("", 7, True, ["booking"])],
    *[("address", value) for value in (8080, "10.0.0.9", ":8080", "10.0.0.9:0")],
    *[("address", value) for value in ("10.0.0.9:8_0", "h:80", "10.0.0.9:70000")],
    *[("address", value) for value in ("10.0.0.9:٨٠", "10.0.0.9: 80", [1])],
    *[("coldRemaining", value) for value in (0, "0", "soon", [])],
    *[("zone", value) for value in (1, "")],
    *[("version", value) for value in (1, {})],
]


@pytest.mark.parametrize(("name", "value"), DAMAGED)
def test_a_damaged_field_is_told_by_its_name(name, value):
    """Symptom: a server that doesn't exist is used, or a good one's heartbeats are
    refused from then on.
    Sequence: another writer's report has a field of another type, or out of bounds.
    Cause: it was taken as it came, and compared with the next one's."""
    with pytest.raises(DamagedReport) as caught:
        read_heartbeat("i-1", report(**{name: value}))
    assert caught.value.field == name


@pytest.mark.parametrize("name", [name for name in GOOD if name != "born"])
def test_a_missing_field_is_told_by_its_name(name):
    """A report without it may lack more than that."""
    fields = {other: value for other, value in GOOD.items() if other != name}
    with pytest.raises(DamagedReport) as caught:
        read_heartbeat("i-1", orjson.dumps(fields))
    assert caught.value.field == name


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"null",
        b"\x00\xff",
        report()[:-1],
        report().decode().encode("utf-16"),
        b"[" * 5_000,
        report(zone="x" * 20_000)[: 16 * 1024],
    ],
)
def test_bytes_that_cant_be_read_name_no_server(body):
    """Cut, empty, in another encoding, nested too deep, or too long."""
    with pytest.raises(DamagedReport):
        read_heartbeat("i-1", body)


@pytest.mark.parametrize("instance", ["", "i 1", "i\r\nX: 1", "i\x00", "ï", "i" * 129])
def test_an_id_that_no_header_could_carry_is_refused(instance):
    """A server's id goes into a header of each request to it."""
    with pytest.raises(DamagedReport):
        read_heartbeat(instance, report())
    with pytest.raises(DamagedReport):
        read_deregistration(instance, b"")


@settings(derandomize=True, max_examples=400, deadline=None)
@given(damaged_reports())
@example(report(address=8080))
@example(report(address="10.0.0.9:8_0"))
@example(report(sequence=2**63))
def test_whatever_is_said_is_read_whole_or_refused(body):
    """No other error, and nothing of it that isn't in bounds."""
    try:
        said = read_heartbeat("i-1", body)
    except DamagedReport:
        return
    announced = said.announcement
    assert 0 < announced.port < 65536
    assert announced.slots > 0
    assert type(said.sequence) is int
    assert type(announced.born_ms) in (int, type(None))
    assert announced.service and isinstance(announced.service, str)


def make_port():
    """Return a port for heartbeats, what it told of life, and its events."""
    told, events = [], []
    life = SimpleNamespace(
        receive_heartbeat=lambda *said: told.append(said),
        receive_deregistration=lambda life: told.append(life),
    )
    table = RouteTable(
        version=1,
        services=(RoutedService(name="stock", divided_by_number=False, connections=9),),
    )
    node = SimpleNamespace(
        routes=SimpleNamespace(table=table),
        report=lambda name, /, **fields: events.append((name, fields["field"])),
    )
    return HeartbeatPort(node, life, Address("127.0.0.1", 0), "booking"), told, events


def post(port, body, call="heartbeat"):
    """Return the status with which a port answers."""
    answers = []
    environ = {
        "PATH_INFO": f"/-/instances/i-1/{call}",
        "REQUEST_METHOD": "POST",
        "wsgi.input": SimpleNamespace(read=lambda size: body[:size]),
    }
    port._answer(environ, lambda status, headers: answers.append(int(status[:3])))
    return answers[0]


def test_a_damaged_report_changes_nothing_and_is_told():
    """Symptom: a living server is lost, or nobody knows why it is silent.
    Sequence: a damaged report comes between two good ones.
    Cause: its error ended the answer without a word."""
    port, told, events = make_port()
    assert post(port, report()) == 200
    assert post(port, report(address=8080)) == 400
    assert post(port, b"{", call="deregister") == 400
    assert post(port, report(sequence=5)) == 200
    assert [said[1] for said in told] == [4, 5]
    assert events == [("damaged_report", "address"), ("damaged_report", "body")]


def test_a_service_that_nobody_named_has_no_servers():
    """Its own service and those of the configuration are known; no other is."""
    port, told, events = make_port()
    assert post(port, report(service="stock")) == 200
    assert post(port, report(service="nobody")) == 400
    assert len(told) == 1
    assert events == [("damaged_report", "service")]


def test_a_writer_that_ends_in_the_middle_is_no_error_of_the_node():
    """Its connection ends before the body does."""
    port, told, _ = make_port()

    class Cut:
        def __getitem__(self, part):
            raise OSError("unexpected end")

    assert post(port, Cut()) == 400
    assert told == []


DAMAGED_RANGES = [
    ("holds", None, "holds"),
    ("holds", {}, "holds"),
    ("holds", [[0, 1]], "holds[0]"),
    ("holds", [[0, 1, 2, 3]], "holds[0]"),
    ("holds", [[5, 4, 1]], "holds[0]"),
    ("holds", [[0, 65536, 1]], "holds[0]"),
    ("holds", [[-1, 5, 1]], "holds[0]"),
    ("holds", [[True, 5, 1]], "holds[0]"),
    ("holds", [[0, 5, 1], [6, 7, 2**63]], "holds[1]"),
    ("holds", [[0, 5, "1"]], "holds[0]"),
    ("holds", [[0, 0, 1]] * 100_000, "holds"),
    ("released", [[0, 5, 7]], "released[0]"),
    ("released", [[0, 5, "a b"]], "released[0]"),
    ("released", "all", "released"),
]


@pytest.mark.parametrize(("name", "value", "place"), DAMAGED_RANGES)
def test_a_damaged_range_is_told_by_its_place(name, value, place):
    """Symptom: a node releases keys that nobody released, or grants under a fence that
    no server may have.
    Events: a report's lists have rows of another shape, out of range or without end."""
    with pytest.raises(DamagedReport) as caught:
        read_heartbeat("i-1", report(**{name: value}))
    assert caught.value.field == place
    assert len(str(caught.value)) < 300


def test_what_a_server_holds_is_read():
    """Rows overlap while it works on under an earlier grant; both count."""
    rows = [[0, 99, 4], [0, 49, 6]]
    said = read_heartbeat("i-1", report(holds=rows, released=[[100, 199, "5c0e"]]))
    assert [(h.first, h.last, h.fence) for h in said.held] == [(0, 99, 4), (0, 49, 6)]
    assert said.released[0].handover == "5c0e"
    assert read_heartbeat("i-1", report()).held is None
