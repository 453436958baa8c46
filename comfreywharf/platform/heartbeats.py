"""The port for heartbeats and deregistrations of the backend server beside the node."""

import re

import orjson

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.wsgi import NodelayServer
from comfreywharf.ownership.hold_lists import HoldReport, ListCapacity
from comfreywharf.platform.announcements import (
    DamagedReport,
    read_deregistration,
    read_heartbeat,
)
from comfreywharf.platform.durations import duration_text
from comfreywharf.platform.unknown_names import MessageKind

__all__ = ["HOLD_LIST_LIMIT", "HeartbeatPort", "hold_list_fields"]

_CALL = re.compile(r"/-/instances/([^/]{1,128})/(heartbeat|deregister)")
MAX_BODY_BYTES = 256 * 1024
"""Enough for about 4,000 ranges that a server holds or has released."""

HOLD_LIST_LIMIT = ListCapacity(
    max_bytes=4000, row_bytes=len('[65535,65535,1234567890123456,""],')
)
"""A server doesn't accept an answer of more than 4 KiB as an acknowledgement."""


class HeartbeatPort:
    """Receive heartbeats, decode them and pass them to the node.

    ``service`` is the service whose servers run beside this node. Heartbeats of other
    services are accepted if the configuration has the service.
    """

    def __init__(self, node, lifecycle, address, service, unknown_names):
        self._node = node
        self._unknown_names = unknown_names
        self._lifecycle = lifecycle
        self._service = service
        self._server = NodelayServer(address.host, address.port, self._answer)

    def start(self):
        """Listen; raises `OSError` if the address is taken."""
        self._server.start()

    def stop(self):
        """Stop listening."""
        self._server.stop(timeout=0)

    def _answer(self, environ, start_response):
        found = _CALL.fullmatch(environ["PATH_INFO"])
        if found is None or environ["REQUEST_METHOD"] != "POST":
            return _respond(start_response, "404 Not Found", {})
        instance, call = found.groups()
        arrived_s = boottime_s()
        connection = environ.get("comfreywharf.socket")
        try:
            body = environ["wsgi.input"].read(MAX_BODY_BYTES)
            fields = self._handle(instance, call, body, connection, arrived_s)
        except DamagedReport as error:
            self._node.report(
                "damaged_report", name=instance, field=error.field, why=str(error)
            )
            return _respond(start_response, "400 Bad Request", {"error": str(error)})
        except OSError as error:
            # The sender closed the connection within its report.
            return _respond(start_response, "400 Bad Request", {"error": str(error)})
        return _respond(start_response, "200 OK", fields)

    def _handle(self, instance, call, body, connection, arrived_s):
        """Pass a report to the node and return the fields of the answer."""
        if call == "deregister":
            self._lifecycle.receive_deregistration(read_deregistration(instance, body))
            return {}
        heartbeat = read_heartbeat(instance, body)
        self._unknown_names.check(MessageKind.HEARTBEAT, heartbeat.field_names)
        service = heartbeat.announcement.service
        self._check_service(service)
        is_current = self._lifecycle.receive_heartbeat(
            heartbeat.announcement,
            heartbeat.sequence,
            heartbeat.leaving,
            heartbeat.cold_s,
        )
        if not is_current or heartbeat.held is None:
            return {}
        report = HoldReport(
            service=service,
            connection=connection,
            arrived_s=arrived_s,
            held=heartbeat.held,
            released=heartbeat.released,
        )
        return hold_list_fields(self._node.grants.answer(report))

    def _check_service(self, name):
        if name != self._service and self._node.routes.table.service(name) is None:
            raise DamagedReport("service", name, "a service that is configured")


def hold_list_fields(hold_list):
    """Return the fields of the answer that carries a `HoldList`; empty for ``None``."""
    if hold_list is None:
        return {}
    rows = [[row.first, row.last, row.fence, row.handover] for row in hold_list.rows]
    return {"holds": rows, "hold_time": duration_text(hold_list.hold_s)}


def _respond(start_response, status, fields):
    body = orjson.dumps(fields)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
