"""The HTTP client of geventhttpclient, with Nagle's algorithm disabled."""

from geventhttpclient import HTTPClient

from comfreywharf.daemon.connections.http import NodelayPool

__all__ = ["PlainClient"]


class PlainClient(HTTPClient):
    """The HTTP client of the bare chain and of the load generator.

    It is separate from the product's client, so that a change there doesn't change
    the baseline.
    """

    def __init__(self, host, port, *, concurrency, timeout_s=30.0):
        super().__init__(host, port)
        self._connection_pool = NodelayPool(
            host,
            port,
            host,
            port,
            size=concurrency,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )
