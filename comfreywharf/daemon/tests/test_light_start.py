"""What a node doesn't load or look up at its start."""

import subprocess
import sys
from contextlib import closing
from unittest import mock

import pytest
from gevent import socket

from comfreywharf.daemon.connections.wsgi import NodelayServer

UNNEEDED_MODULES = (
    "aioprometheus",
    "asyncio",
    "comfreywharf.placement.planning",
    "prometheus_client",
)


@pytest.mark.parametrize(
    "entry_point", ["comfreywharf.platform.main", "comfreywharf.daemon.main"]
)
def test_a_node_imports_no_module_that_few_nodes_need(entry_point):
    """Guards against hundreds of starts that pay for what one node uses."""
    code = f"import sys, {entry_point}; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    ).stdout.split()
    assert entry_point in loaded
    assert not set(UNNEEDED_MODULES) & set(loaded)


def test_a_server_starts_without_a_look_up_of_its_name():
    """Guards against a start that waits for a name server, and loads its threads."""

    def answer(environ, start_response):
        start_response("200 OK", [])
        return [environ["SERVER_NAME"].encode()]

    with mock.patch("gevent.pywsgi.socket.getfqdn", side_effect=AssertionError):
        server = NodelayServer("127.0.0.1", 0, answer)
        server.start()
    try:
        address = ("127.0.0.1", server.server_port)
        with closing(socket.create_connection(address)) as sock:
            sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
            assert sock.makefile("rb").read().endswith(b"127.0.0.1")
    finally:
        server.stop(timeout=0)
