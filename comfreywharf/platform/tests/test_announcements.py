"""Damaged reports of backend servers are refused and change nothing."""

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
from comfreywharf.platform.tests.builders import unreported_names
from comfreywharf.platform.tests.reports import VALID_FIELDS, damaged_reports, report
from comfreywharf.routes import RoutedService, RouteTable
from comfreywharf.settings.model import Address


def test_a_valid_heartbeat_is_decoded():
    """All fields that are used are decoded into the product's types."""
    heartbeat = read_heartbeat("i-1", report(state="draining"))
    announced = heartbeat.announcement
    assert (heartbeat.sequence, heartbeat.leaving) == (4, True)
    assert (announced.host, announced.port) == ("10.0.0.9", 8080)
    assert (announced.service, announced.slots) == ("booking", 8)
    assert announced.incarnation == ServerIncarnation("i-1", 1_000)


def test_the_time_until_a_server_is_warm_is_decoded():
    """A server reports with each heartbeat for how long it stays cold."""
    assert read_heartbeat("i-1", report(coldRemaining="1500ms")).cold_s == 1.5
    assert read_heartbeat("i-1", report()).cold_s == 0.0


def test_the_start_time_is_optional():
    """The start time is optional."""
    fields = {name: value for name, value in VALID_FIELDS.items() if name != "born"}
    heartbeat = read_heartbeat("i-1", orjson.dumps(fields))
    assert heartbeat.announcement.incarnation == ServerIncarnation("i-1", None)


DAMAGED = [
    *[(name, None) for name in VALID_FIELDS if name != "born"],
    *[("born", value) for value in ("1", True, 1.0, 1.5, -1, 10**15, [], {})],
    *[("sequence", value) for value in ("4", True, 4.0, -1, 10**10, [4])],
    *[("slots", value) for value in (0, -8, 8.5, True, "8", 10**6)],
    *[("state", value) for value in ("Ready", "dead", "", 1, ["ready"])],
    *[("service", value) for value in ("", 7, True, ["booking"])],
    *[("address", value) for value in (8080, "10.0.0.9", ":8080", "10.0.0.9:0")],
    *[("address", value) for value in ("10.0.0.9:8_0", "h:80", "10.0.0.9:70000")],
    *[("address", value) for value in ("10.0.0.9:٨٠", "10.0.0.9: 80", [1])],
    *[("coldRemaining", value) for value in (0, "0", "soon", [], "-1s", "99999s")],
    *[("zone", value) for value in (1, "")],
    *[("version", value) for value in (1, {})],
]


@pytest.mark.parametrize(("name", "value"), DAMAGED)
def test_a_damaged_field_is_reported_by_name(name, value):
    """Guards against use of a server that doesn't exist, or against refused heartbeats.

    A report has a field of a wrong type or out of bounds. If the value were stored, it
    would be compared with that of the next heartbeat.
    """
    with pytest.raises(DamagedReport) as caught:
        read_heartbeat("i-1", report(**{name: value}))
    assert caught.value.field == name


@pytest.mark.parametrize("name", [name for name in VALID_FIELDS if name != "born"])
def test_a_missing_field_is_reported_by_name(name):
    """A report without one field may lack others as well."""
    fields = {other: value for other, value in VALID_FIELDS.items() if other != name}
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
def test_undecodable_bytes_are_refused(body):
    """The bytes are cut, empty, badly encoded, nested too deep, or too long."""
    with pytest.raises(DamagedReport):
        read_heartbeat("i-1", body)


@pytest.mark.parametrize("instance", ["", "i 1", "i\r\nX: 1", "i\x00", "ï", "i" * 129])
def test_an_id_that_is_invalid_in_a_header_is_refused(instance):
    """The server's id is sent in a header of each request to it."""
    with pytest.raises(DamagedReport):
        read_heartbeat(instance, report())
    with pytest.raises(DamagedReport):
        read_deregistration(instance, b"")


@settings(derandomize=True, max_examples=400, deadline=None)
@given(damaged_reports())
@example(report(address=8080))
@example(report(address="10.0.0.9:8_0"))
@example(report(sequence=2**63))
def test_any_report_is_decoded_within_bounds_or_refused(body):
    """No other error is raised, and all decoded values are within bounds."""
    try:
        heartbeat = read_heartbeat("i-1", body)
    except DamagedReport:
        return
    announced = heartbeat.announcement
    assert 0 < announced.port < 65536
    assert announced.slots > 0
    assert type(heartbeat.sequence) is int
    assert type(announced.born_ms) in (int, type(None))
    assert announced.service and isinstance(announced.service, str)


def make_port():
    """Return a heartbeat port, the calls to its lifecycle, and its events."""
    received, events = [], []
    lifecycle = SimpleNamespace(
        receive_heartbeat=lambda *call: received.append(call),
        receive_deregistration=lambda incarnation: received.append(incarnation),
    )
    table = RouteTable(
        version=1,
        services=(RoutedService(name="stock", divided_by_number=False, connections=9),),
    )
    node = SimpleNamespace(
        routes=SimpleNamespace(table=table),
        report=lambda name, /, **fields: events.append((name, fields["field"])),
    )
    return (
        HeartbeatPort(
            node,
            lifecycle,
            Address("127.0.0.1", 0),
            "booking",
            unreported_names(),
        ),
        received,
        events,
    )


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


def test_a_damaged_report_changes_nothing_and_is_reported():
    """Guards against a live server that is lost, or is silent without any event.

    A damaged report arrives between two valid ones. Its error has to be answered and
    reported as an event.
    """
    port, received, events = make_port()
    assert post(port, report()) == 200
    assert post(port, report(address=8080)) == 400
    assert post(port, b"{", call="deregister") == 400
    assert post(port, report(sequence=5)) == 200
    assert [call[1] for call in received] == [4, 5]
    assert events == [("damaged_report", "address"), ("damaged_report", "body")]


def test_a_heartbeat_of_an_unknown_service_is_refused():
    """A heartbeat may name the node's own service or a configured one."""
    port, received, events = make_port()
    assert post(port, report(service="stock")) == 200
    assert post(port, report(service="nobody")) == 400
    assert len(received) == 1
    assert events == [("damaged_report", "service")]


def test_a_report_that_its_sender_cuts_off_is_refused():
    """The connection closes before the end of the body."""
    port, received, _ = make_port()

    class Cut:
        def __getitem__(self, part):
            raise OSError("unexpected end")

    assert post(port, Cut()) == 400
    assert received == []


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


@pytest.mark.parametrize(("name", "value", "position"), DAMAGED_RANGES)
def test_a_damaged_range_is_reported_by_position(name, value, position):
    """Guards against releases that didn't happen, and grants with an invalid fence.

    The lists of a report have rows of another shape, out of bounds, or too many rows.
    """
    with pytest.raises(DamagedReport) as caught:
        read_heartbeat("i-1", report(**{name: value}))
    assert caught.value.field == position
    assert len(str(caught.value)) < 300


def test_overlapping_held_ranges_are_decoded():
    """Ranges overlap while work under an earlier grant goes on; both count."""
    rows = [[0, 99, 4], [0, 49, 6]]
    heartbeat = read_heartbeat("i-1", report(holds=rows, released=[[100, 199, "5c0e"]]))
    assert [(h.first, h.last, h.fence) for h in heartbeat.held] == [
        (0, 99, 4),
        (0, 49, 6),
    ]
    assert heartbeat.released[0].handover == "5c0e"
    assert read_heartbeat("i-1", report()).held is None
