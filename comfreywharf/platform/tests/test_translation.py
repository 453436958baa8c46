"""Translation of the platform's configuration and settings, and errors in them."""

import json

import orjson
import pytest
from returns.result import Failure

from comfreywharf.load import ByReportedLoad
from comfreywharf.platform.configuration import route_table
from comfreywharf.platform.durations import duration_s, duration_text
from comfreywharf.platform.ports import PlatformPorts
from comfreywharf.platform.settings import read_boot_file
from comfreywharf.platform.tests.builders import boot_text, configuration
from comfreywharf.routes import GrantWay, decode_table, encode_table


def read(tmp_path, text):
    path = tmp_path / "boot.conf"
    path.write_text(text)
    return read_boot_file(path)


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    """The platform may add fields at any time."""
    settings = read(tmp_path, boot_text(name="n7", zone="z2")).unwrap()
    assert settings.node.node_id == "n7"
    assert settings.node.failure_domain == "z2"
    assert settings.heartbeat_interval_s == 0.2
    assert settings.drain_s == 2.0
    assert settings.longest_hold_s == 10.0


@pytest.mark.parametrize(
    ("line", "by_work"),
    [("", False), ("terms.contracts=health\n", False)]
    + [("terms.contracts=pressure,health\n", True)],
)
def test_the_contract_of_competing_callers_enables_placement_by_work(
    tmp_path, line, by_work
):
    """Guards against a deployment that is placed in another way without being asked."""
    settings = read(tmp_path, boot_text() + line).unwrap()
    ports = PlatformPorts(settings)
    assert ports.placement.by_work is by_work
    assert (ports.placement == PlatformPorts.placement) is not by_work


def test_all_findings_are_reported_together_with_their_positions(tmp_path):
    """An operator can correct all errors of a file at once."""
    text = boot_text().replace("drain=2000ms", "drain=soon")
    text = text.replace("network.listen.ready=127.0.0.1:1003", "network.listen.ready=x")
    found = read(tmp_path, text)
    assert isinstance(found, Failure)
    drain, ready = sorted(found.failure(), key=lambda f: "ready" in f)
    assert "boot.conf:" in drain and "'soon'" in drain
    assert "network.listen.ready" in ready and "IP:PORT" in ready


def test_a_missing_file_is_a_finding():
    """The environment may name no file, or one that doesn't exist."""
    assert isinstance(read_boot_file("/nonexistent"), Failure)


@pytest.mark.parametrize("text", ["", "5", "1m", "-1s", "1.s", None, 5])
def test_an_invalid_duration_is_refused(text):
    """A number without a unit could be wrong by a factor of 1,000."""
    with pytest.raises(ValueError, match="ms or s"):
        duration_s(text)


def test_durations_are_rounded_down():
    """The server must not be given a longer hold than it has."""
    assert duration_text(0.0019) == "1ms"


def test_a_configuration_becomes_routes():
    """Kinds, splits and limits are translated to the product's types."""
    table = route_table(orjson.dumps(configuration(version=4)))
    look = table.find("a.example", "/look/1")
    book = table.find("a.example", "/book/1")
    assert (look.repeatable, book.repeatable) == (True, False)
    assert (look.timeout_ms, look.latency_target_ms, look.max_sends) == (1000, 400, 2)
    assert table.find("a.example", "/stock/").parts[0].service == "stock"
    assert table.service("booking").divided_by_number
    assert not table.service("stock").divided_by_number
    assert table.limits.idle_timeout_ms == 2000
    assert table.version == 4


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"[]",
        orjson.dumps(configuration(routes=[])),
        orjson.dumps(configuration(limits={})),
        orjson.dumps(configuration(services={"a": {}})),
        orjson.dumps(configuration(version=None)),
    ],
)
def test_a_broken_configuration_raises_value_error(document):
    """Any fault raises `ValueError`, and no other error."""
    with pytest.raises(ValueError):
        route_table(document)


def test_each_service_has_a_way_of_granting():
    """Keys are granted by orders unless the configuration names another way."""
    document = configuration()
    document["services"]["booking"]["grants"] = "heartbeat"
    table = route_table(orjson.dumps(document))
    assert table.service("booking").grant_way is GrantWay.HEARTBEATS
    assert table.service("stock").grant_way is GrantWay.ORDERS
    assert decode_table(encode_table(table)) == table


def test_an_unknown_way_of_granting_is_reported_with_its_position():
    """Guards against a service whose keys are never held, without any error.

    A configuration names a way of granting that this version doesn't have.
    """
    document = configuration()
    document["services"]["booking"]["grants"] = "post"
    with pytest.raises(ValueError, match=r"services\.booking\.grants: found 'post'"):
        route_table(orjson.dumps(document))


def test_a_hold_outlasts_a_lost_heartbeat(tmp_path):
    """Guards against keys that are briefly unavailable every few minutes.

    One heartbeat or its answer is lost. The lease has to last until the heartbeat after
    the next.
    """
    text = boot_text(grants="heartbeat").replace("heartbeat=200ms", "heartbeat=870ms")
    settings = read(tmp_path, text).unwrap()
    lease_s = settings.node.lease_ms / 1000
    held_s = lease_s * (1 - settings.node.drift_per_mille / 1000) / 1.02
    assert held_s > 2 * settings.heartbeat_interval_s
    orders = read(tmp_path, boot_text()).unwrap()
    assert orders.node.lease_ms == 1500


def test_what_a_cold_server_bears_is_read(tmp_path):
    """The configuration has the rate, and the settings by how much it is exceeded."""
    document = configuration()
    document["services"]["stock"].update({"coldPerS": 4.05, "coldStart": "3s"})
    table = route_table(orjson.dumps(document))
    stock = table.service("stock")
    assert (stock.cold_requests_per_s, stock.cold_start_s) == (4.05, 3.0)
    assert decode_table(encode_table(table)) == table
    bounds = "terms.bounds.coldOverage=1.5\nterms.bounds.coldExtra=8\n"
    ports = PlatformPorts(read(tmp_path, boot_text() + bounds).unwrap())
    assert ports.cold_terms(stock).max_requests == 14
    assert ports.cold_terms(table.service("booking")) is None


@pytest.mark.parametrize("value", ["4", -1, True, None, float("inf"), [4]])
def test_a_damaged_rate_of_cold_servers_is_reported_with_its_position(value):
    """Guards against a bound that keeps a server from all requests, or from none."""
    document = configuration()
    document["services"]["stock"]["coldPerS"] = value
    text = json.dumps(document).encode()
    with pytest.raises(ValueError, match=r"services\.stock\.coldPerS|JSONDecodeError"):
        route_table(text)


@pytest.mark.parametrize("text", ["0", "-1", "nan", "inf", "much"])
def test_a_damaged_overage_is_a_finding(tmp_path, text):
    """The node doesn't start with a bound that can't be meant."""
    found = read(tmp_path, boot_text() + f"terms.bounds.coldOverage={text}\n")
    assert "coldOverage" in found.failure()[0]


@pytest.mark.parametrize(
    ("line", "by_load"),
    [
        ("", False),
        ("terms.contracts=\n", False),
        ("terms.contracts=health\n", False),
        ("terms.contracts=pressures\n", False),
        ("terms.contracts=pressure\n", True),
        ("terms.contracts=pressure, health\n", True),
    ],
)
def test_servers_are_chosen_by_load_where_the_contracts_name_it(
    tmp_path, line, by_load
):
    """Guards against a change for deployments whose servers report no load."""
    ports = PlatformPorts(read(tmp_path, boot_text() + line).unwrap())
    assert ports.chooses_by_load == by_load
    assert isinstance(ports.make_chooser(), ByReportedLoad) == by_load


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("", False),
        ("terms.contracts=health\n", False),
        ("terms.contracts=health,pressure\n", True),
        ("terms.contracts=pressure\n", True),
        ("terms.contracts=pressures\n", False),
    ],
)
def test_the_contract_of_competing_callers_enables_levels(tmp_path, line, expected):
    """Guards against a change for deployments without the contract."""
    ports = PlatformPorts(read(tmp_path, boot_text() + line).unwrap())
    assert ports.fleet_admission is expected
