"""A backend server that only answers, for measuring the path in front of it.

It announces itself to the nodes given on its command line, and accepts every
request that a node makes to a backend server.
"""

from cyclopts import App
from gevent import pywsgi, socket, spawn

from comfreywharf_dev.standins.backend import Profile, announce_forever

__all__ = ["PlainHandler", "answer", "serve"]

ANSWER = b'{"booked": true, "slot": "2026-05-02T10:30"}'
CONTROL_ANSWER = b'{"healthy": true, "draining": false, "busy_fraction": 0.0}'
_CONTROL_PATHS = frozenset({"/health", "/load", "/grants", "/cancel", "/drain"})


class PlainHandler(pywsgi.WSGIHandler):
    """gevent's WSGI handler with Nagle's algorithm disabled.

    It is separate from the product's handler, so that a change there doesn't change
    the baseline.
    """

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)


def answer(environ, start_response):
    """Read the body and return a short answer."""
    environ["wsgi.input"].read()
    control = environ["PATH_INFO"] in _CONTROL_PATHS
    body = CONTROL_ANSWER if control else ANSWER
    headers = [("Content-Length", str(len(body))), ("Content-Type", "application/json")]
    start_response("200 OK", headers)
    return [body]


app = App(name="bench-plain-server", help="A backend server that only answers.")


@app.default
def serve(
    *,
    port: int,
    node_ports: str = "",
    name: str = "plain",
    service: str = "booking",
    slots: int = 64,
    connections: int = 110,
):
    """Serve until the process is stopped.

    Parameters
    ----------
    node_ports
        The ports of the nodes to which it announces itself, separated by commas.
    """
    for text in filter(None, node_ports.split(",")):
        profile = Profile(
            name=name, service=service, port=port, slots=slots, connections=connections
        )
        spawn(announce_forever, profile, int(text), text)
    pywsgi.WSGIServer(
        ("127.0.0.1", port),
        answer,
        log=None,
        handler_class=PlainHandler,
        backlog=1024,
    ).serve_forever()


if __name__ == "__main__":
    app()
