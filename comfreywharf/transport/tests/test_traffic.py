"""Bytes of calls are counted by direction, distance and kind, also of failed calls."""

import gevent
import pytest

from comfreywharf.transport import CallError, PeerClient, PeerServer, PeerTraffic
from comfreywharf.transport.gen import Node
from comfreywharf.transport.gen.ttypes import BodyChunk
from comfreywharf.transport.traffic import KINDS


class Handler:
    """Answer each call with as many bytes as it requests, or too late."""

    def read_body(self, stream_id, size_bytes):
        gevent.sleep(stream_id)
        return BodyChunk(data=bytes(size_bytes), last=True, failed=False)


@pytest.fixture
def server():
    server = PeerServer("127.0.0.1", 0, Handler(), lambda address, error: None)
    server.start()
    yield server
    server.stop()


def test_each_call_of_the_interface_has_a_kind():
    """Guards against a new call whose bytes can't be counted."""
    assert set(KINDS) == {name for name in vars(Node.Iface) if not name.startswith("_")}


def test_bytes_of_calls_are_counted_by_distance(server):
    """Guards against traffic that an operator can't attribute to a domain."""
    traffic = PeerTraffic()
    near = PeerClient("127.0.0.1", server.port, count_bytes=traffic.counter(near=True))
    far = PeerClient("127.0.0.1", server.port, count_bytes=traffic.counter(near=False))
    near.call("read_body", 0, 1000, timeout_s=5)
    near.call("read_body", 0, 1000, timeout_s=5)
    far.call("read_body", 0, 50_000, timeout_s=5)
    sizes = traffic.size_bytes
    assert sizes["sent", "near", "requests"] == 2 * sizes["sent", "far", "requests"]
    assert 2000 < sizes["received", "near", "requests"] < 2200
    assert 50_000 < sizes["received", "far", "requests"] < 50_100


def test_bytes_of_a_call_without_an_answer_are_counted(server):
    """Guards against the traffic of an outage, which no counter would show."""
    traffic = PeerTraffic()
    client = PeerClient(
        "127.0.0.1", server.port, count_bytes=traffic.counter(near=False)
    )
    client.call("read_body", 0, 0, timeout_s=5)
    sent_bytes = traffic.size_bytes["sent", "far", "requests"]
    with pytest.raises(CallError):
        client.call("read_body", 1, 0, timeout_s=0.02)
    assert traffic.size_bytes["sent", "far", "requests"] == 2 * sent_bytes
