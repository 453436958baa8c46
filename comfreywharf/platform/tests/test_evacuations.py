"""Evacuations of a zone, from the operator's record to the servers."""

import gevent

from comfreywharf.platform.tests.builders import wait_for
from comfreywharf.platform.tests.test_relaying import store_reader
from comfreywharf.records import NUMBER_KEYS

KEYS = range(0, NUMBER_KEYS, 4096)


def evacuate(deployment, zone):
    deployment.store.put("keyed.op", f"evacuate/{zone}", {})


def take_back(deployment, zone):
    deployment.store.remove("keyed.op", f"evacuate/{zone}")


def knows(deployment, *zones):
    """Return whether each node knows just these evacuated zones."""
    nodes = deployment.nodes.values()
    return all(set(node.evacuations.domains) == set(zones) for node in nodes)


def holders_in(deployment, zone):
    """Return the nodes of a zone whose servers hold keys."""
    return {
        name
        for name, node in deployment.nodes.items()
        if node.settings.failure_domain == zone
        and any(deployment.servers[name].holds(key) for key in KEYS)
    }


def is_closed(deployment, zone):
    """Return whether no node of a zone sends its server anything."""
    return not any(
        node.accepts_requests
        for node in deployment.nodes.values()
        if node.settings.failure_domain == zone
    )


def test_the_keys_of_an_evacuated_zone_are_handed_over_and_served_elsewhere(
    deployment,
):
    """Guards against requests that reach servers of a zone that was evacuated."""
    evacuate(deployment, "z1")
    wait_for(lambda: knows(deployment, "z1"))
    wait_for(lambda: not holders_in(deployment, "z1"))
    wait_for(lambda: deployment.each_key_has_one_holder())
    wait_for(lambda: is_closed(deployment, "z1"))
    before = len(deployment.ledger)
    for key in KEYS:
        for name in deployment.nodes:
            assert deployment.send_request(name, key=key).status == 200
    ran = deployment.ledger[before:]
    assert len(ran) == len(KEYS) * len(deployment.nodes)
    assert not {run.instance for run in ran} & {"i-n1"}


def test_a_zone_is_used_again_once_its_evacuation_is_taken_back(deployment):
    """Guards against a zone that stays empty."""
    evacuate(deployment, "z2")
    wait_for(lambda: is_closed(deployment, "z2"))
    wait_for(lambda: not holders_in(deployment, "z2"))
    take_back(deployment, "z2")
    wait_for(lambda: knows(deployment))
    wait_for(lambda: not is_closed(deployment, "z2"))
    wait_for(lambda: holders_in(deployment, "z2"))


def test_a_service_without_keys_is_served_by_other_zones_or_refused(deployment):
    """The only server of a service is evacuated: nothing else can serve, and at once.

    Guards against callers who wait for a server that may get nothing."""
    assert deployment.send_request("n1", "/stock/1", None).status == 200
    evacuate(deployment, "z0")
    wait_for(lambda: is_closed(deployment, "z0"))
    before = len(deployment.ledger)
    answer = deployment.send_request("n1", "/stock/1", None)
    assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
    assert len(deployment.ledger) == before


def test_nodes_that_hear_from_a_peer_know_an_evacuation_that_the_store_forgot(
    deployment,
):
    """Guards against orders that only the nodes which read the store know."""
    wait_for(lambda: store_reader(deployment))
    evacuate(deployment, "z1")
    wait_for(lambda: knows(deployment, "z1"))
    deployment.store.expire_records("keyed.op")
    take_back(deployment, "z1")
    evacuate(deployment, "z2")
    wait_for(lambda: knows(deployment, "z2"))


def test_a_node_that_restarts_knows_an_evacuation_before_it_serves(deployment):
    """Guards against requests to its server until it hears of the order."""
    evacuate(deployment, "z1")
    wait_for(lambda: not holders_in(deployment, "z1"))
    wait_for(lambda: is_closed(deployment, "z1"))
    deployment.nodes.pop("n1").kill()
    deployment.start("n1", "z1", "booking")
    node = deployment.nodes["n1"]
    seen = []
    node.routes.subscribe(lambda table: seen.append(node.accepts_requests))
    wait_for(lambda: node.routes.version > 0)
    assert seen and not any(seen)


def test_an_evacuation_is_known_though_the_store_goes_down_behind_it(deployment):
    """Standbys take the keys over where the planner can't record their moves."""
    evacuate(deployment, "z1")
    wait_for(lambda: knows(deployment, "z1"))
    deployment.store.fault = "busy"
    wait_for(lambda: is_closed(deployment, "z1"))
    wait_for(lambda: not holders_in(deployment, "z1"))
    deployment.store.fault = ""
    wait_for(lambda: deployment.each_key_has_one_holder())


def test_damaged_orders_are_reported_once_and_change_nothing(deployment):
    """Guards against an order that can't be read and stops the reading of others."""
    wait_for(lambda: store_reader(deployment))
    reader = deployment.nodes[store_reader(deployment)]
    topic = deployment.store.topic("keyed.op")
    for value in (b"{", b"[]", b"\xff"):
        topic.append([bytes([11]) + b"evacuate/z1" + value])
    topic.append([bytes([16]) + b"evacuate/nowhere"[:16] + b"{}"])
    evacuate(deployment, "z2")
    wait_for(lambda: "z2" in reader.evacuations.domains)
    gevent.sleep(0)
    assert "z1" not in reader.evacuations.domains
    damaged = [e for e in reader.events.since(0) if e.name == "damaged_evacuation"]
    assert len(damaged) == 4
    assert reader.metrics.damaged_evacuations == 4
    assert "nowhere" in damaged[-1].fields["order"]
