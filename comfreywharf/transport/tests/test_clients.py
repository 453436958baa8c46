"""Connections between nodes: each call receives its own answer, or none."""

import gevent
import pytest

from comfreywharf.transport import CallError, PeerClient, PeerServer
from comfreywharf.transport.gen.ttypes import BodyChunk


class Handler:
    """Answer each call with its own number, after the time that it requests."""

    def read_body(self, stream_id, wait_ms):
        gevent.sleep(wait_ms / 1000)
        return BodyChunk(data=str(stream_id).encode(), last=True, failed=False)


def start_server(port=0):
    server = PeerServer("127.0.0.1", port, Handler(), lambda address, error: None)
    server.start()
    return server, server._server.server_port


def test_a_late_answer_isnt_taken_for_that_of_the_next_call():
    """Guards against a caller that receives the answer to another call.

    A call times out, the next one follows, and the late answer arrives. The two
    calls must not use the same connection.
    """
    server, port = start_server()
    client = PeerClient("127.0.0.1", port)
    # Opens the connection in advance: if the connect used up the timeout, the call
    # wouldn't be sent.
    client.call("read_body", 0, 0, timeout_s=5)
    with pytest.raises(CallError) as caught:
        client.call("read_body", 1, 100, timeout_s=0.02)
    assert caught.value.sent
    assert client.call("read_body", 2, 200, timeout_s=5).data == b"2"
    server.stop()


def test_no_call_is_lost_after_a_peer_restarted():
    """Guards against requests that end as unknown after the restart of a node.

    The peer restarts, and the next calls find connections from before in the pool.
    Whether an idle connection is closed has to be checked before its use.
    """
    server, port = start_server()
    client = PeerClient("127.0.0.1", port)
    client.call("read_body", 1, 0, timeout_s=5)
    server.stop()
    server, _ = start_server(port)
    assert client.call("read_body", 2, 0, timeout_s=5).data == b"2"
    server.stop()
