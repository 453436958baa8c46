"""The library's own HTTP client, with Nagle's algorithm switched off."""

from geventhttpclient import HTTPClient

from comfreywharf.daemon.connections.http import NodelayPool

__all__ = ["PlainClient"]


class PlainClient(HTTPClient):
    """What the bare chain and the load generator send by.

    Kept apart from the product's client, so that a change there doesn't move
    what it is compared with.
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
