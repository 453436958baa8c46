"""The routes in force at this node, which are only replaced by newer versions."""

from absl import logging

from comfreywharf.records import DEFAULT_RETRY_FRACTION, ServiceConfig
from comfreywharf.routes import (
    RouteTable,
    RouteTableError,
    Splitter,
    TableHistory,
    UpdateForm,
    apply_update,
    decode_table,
    decode_update,
    encode_table,
    longest_leases_ms,
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
        self._document = None
        self._history = TableHistory()
        self._form = UpdateForm.DELTA
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

    @property
    def confirmed_s(self):
        """Return when these routes were last known to be the operator's newest."""
        return self._confirmed_s

    def age_s(self, now_s):
        """Return for how long these routes may have been outdated."""
        return max(0.0, now_s - self._confirmed_s)

    def subscribe(self, listener):
        """Call ``listener(table)`` after each change."""
        self._listeners.append(listener)

    @property
    def form(self):
        """Return the `UpdateForm` to ask peers for."""
        return self._form

    def document_after(self, version):
        """Return the table for a peer that reads no updates.

        ``b""`` means that its ``version`` is not older.
        """
        if self.version <= version:
            return b""
        if self._document is None:
            self._document = encode_table(self.table)
        return self._document

    def update_after(self, version, form):
        """Return an update for a peer; ``b""`` if its ``version`` is not older."""
        return self._history.update_for(version, form)

    def apply_update(self, data):
        """Apply a peer's update; return whether it was newer.

        Raises `RouteTableError` if it can't be applied, and then asks for whole tables
        until one was. The routes in force stay.
        """
        try:
            update = decode_update(data)
            if update.version <= self.version:
                return False
            table = apply_update(update, self._history.table(update.base_version))
        except RouteTableError:
            self._form = UpdateForm.WHOLE
            raise
        self._form = UpdateForm.DELTA
        return self.apply(table)

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
        self._document = None
        self._history.add(table)
        longest_ms = longest_leases_ms(table)
        self._services = {
            service.name: ServiceConfig(
                name=service.name,
                divided_by_key=service.divided_by_number,
                max_body_bytes=table.limits.body_bytes,
                retry_fraction=self._retry_fraction,
                longest_lease_ms=longest_ms.get(service.name, 0),
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
