"""The proxy of the bare chain, the baseline for routed requests.

gevent's WSGI server receives a request and geventhttpclient forwards it, without
any routing, parsing or stored state in between.
"""

from cyclopts import App
from gevent import pywsgi

from comfreywharf_dev.bench.plain_client import PlainClient
from comfreywharf_dev.bench.plain_server import PlainHandler

__all__ = ["PlainProxy", "serve"]


class PlainProxy:
    """A WSGI application that forwards each request to one backend server."""

    def __init__(self, host, port, connections):
        self._client = PlainClient(host, port, concurrency=connections)

    def __call__(self, environ, start_response):
        """Forward one request and return its answer."""
        body = environ["wsgi.input"].read()
        headers = {
            name[5:].replace("_", "-").title(): value
            for name, value in environ.items()
            if name.startswith("HTTP_") and name != "HTTP_HOST"
        }
        response = self._client.request(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], body, headers
        )
        data = response.read()
        start_response(f"{response.status_code} OK", list(response.items()))
        return [data]


app = App(name="bench-plain-proxy", help="A WSGI server before geventhttpclient.")


@app.default
def serve(*, port: int, to_port: int, connections: int = 110):
    """Serve until the process is stopped."""
    pywsgi.WSGIServer(
        ("127.0.0.1", port),
        PlainProxy("127.0.0.1", to_port, connections),
        log=None,
        handler_class=PlainHandler,
        backlog=1024,
    ).serve_forever()


if __name__ == "__main__":
    app()
