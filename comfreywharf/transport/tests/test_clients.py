"""Connections between nodes: no call gets another's answer, none is lost idly."""

import gevent
import pytest

from comfreywharf.transport import CallError, PeerClient, PeerServer
from comfreywharf.transport.gen.ttypes import BodyChunk


class Handler:
    """Answer each call with its own number, some of them late."""

    def read_body(self, stream_id, wait_ms):
        gevent.sleep(wait_ms / 1000)
        return BodyChunk(data=str(stream_id).encode(), last=True, failed=False)


def start_server(port=0):
    server = PeerServer("127.0.0.1", port, Handler(), lambda address, error: None)
    server.start()
    return server, server._server.server_port


def test_a_late_answer_is_not_the_next_calls():
    """Symptom: a caller reads a stranger's answer.

    Sequence: a call times out, the next follows, the late answer arrives.
    Cause: both used one connection.
    """
    server, port = start_server()
    client = PeerClient("127.0.0.1", port)
    # The connection is there by then: where opening it takes all of the time, the
    # call wasn't sent.
    client.call("read_body", 0, 0, timeout_s=5)
    with pytest.raises(CallError) as caught:
        client.call("read_body", 1, 100, timeout_s=0.02)
    assert caught.value.sent
    assert client.call("read_body", 2, 200, timeout_s=5).data == b"2"
    server.stop()


def test_a_restarted_peer_costs_no_call():
    """Symptom: after a node's restart, requests to it end as unknown.

    Sequence: the peer restarts; the next calls use connections from before.
    Cause: an idle connection was used without a look whether it was closed.
    """
    server, port = start_server()
    client = PeerClient("127.0.0.1", port)
    client.call("read_body", 1, 0, timeout_s=5)
    server.stop()
    server, _ = start_server(port)
    assert client.call("read_body", 2, 0, timeout_s=5).data == b"2"
    server.stop()
