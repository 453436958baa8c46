"""The routes in force at this node, which are only replaced by newer versions."""

from absl import logging

from comfreywharf.records import DEFAULT_RETRY_FRACTION, ServiceConfig
from comfreywharf.routes import (
    RouteTable,
    RouteTableError,
    Splitter,
    decode_table,
    encode_table,
    longest_lease_ms,
)

__all__ = ["Routes"]


class Routes:
    """Keep the newest `RouteTable` that this node received from the store or a peer.

    A version that isn't higher than the one in force is dropped. Otherwise a slow read
    of the store could replace a newer table that a peer sent in the meantime.
    """

    def __init__(self, retry_fraction=DEFAULT_RETRY_FRACTION):
        self._retry_fraction = retry_fraction
        self.table = RouteTable()
        self.splitter = Splitter()
        self._document = b""
        self._services = {}
        self._listeners = []
        self._confirmed_s = float("-inf")

    @property
    def version(self):
        """Return the version in force; 0 while none is known."""
        return self.table.version

    def confirm(self, confirmed_s):
        """Record that these routes were the operator's newest at ``confirmed_s``."""
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def age_s(self, now_s):
        """Return for how long these routes may have been outdated."""
        return max(0.0, now_s - self._confirmed_s)

    def subscribe(self, listener):
        """Call ``listener(table)`` after each change."""
        self._listeners.append(listener)

    def document_after(self, version):
        """Return the table as bytes if it is newer than ``version``, else ``b""``."""
        return self._document if self.version > version else b""

    def apply_document(self, document):
        """Decode and apply a peer's table; return whether it was newer."""
        try:
            table = decode_table(document)
        except RouteTableError as error:
            logging.warning(
                "ignoring a peer's route table that can't be decoded: %s", error
            )
            return False
        return self.apply(table)

    def apply(self, table):
        """Put a table in force if it is newer; return whether it was."""
        if table.version <= self.version:
            return False
        self.table = table
        self.splitter.keep(route.name for route in table.routes)
        self._document = encode_table(table)
        self._services = {
            service.name: ServiceConfig(
                name=service.name,
                divided_by_key=service.divided_by_number,
                max_body_bytes=table.limits.body_bytes,
                retry_fraction=self._retry_fraction,
                longest_lease_ms=longest_lease_ms(table, service.name),
            )
            for service in table.services
        }
        for listener in self._listeners:
            listener(table)
        return True

    def service(self, name):
        """Return the `ServiceConfig` of a service in the table, or ``None``."""
        return self._services.get(name)

    @property
    def services(self):
        """Return the `ServiceConfig` of each service, by name."""
        return self._services
