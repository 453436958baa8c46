"""Where the backend server beside the node says that it lives, or leaves."""

import re

import orjson
from gevent import pywsgi

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.http import NodelayHandler
from comfreywharf.ownership.hold_lists import HoldReport, ListRoom
from comfreywharf.platform.announcements import (
    DamagedReport,
    read_deregistration,
    read_heartbeat,
)
from comfreywharf.platform.durations import duration_text

__all__ = ["LIST_ROOM", "HeartbeatPort", "list_fields"]

_CALL = re.compile(r"/-/instances/([^/]{1,128})/(heartbeat|deregister)")
MAX_BODY_BYTES = 256 * 1024
"""Room for some 4,000 ranges that a server holds or released."""

LIST_ROOM = ListRoom(most_bytes=4000, row_bytes=len('[65535,65535,1234567,""],'))
"""An answer is no acknowledgement if it has more than 4 KiB."""


class HeartbeatPort:
    """Take heartbeats; each is translated and given to the node.

    ``service`` is the one whose servers stand beside this node. Another one's name is
    taken as well where the configuration knows it.
    """

    def __init__(self, node, life, address, service):
        self._node = node
        self._life = life
        self._service = service
        self._server = pywsgi.WSGIServer(
            (address.host, address.port),
            self._answer,
            log=None,
            handler_class=NodelayHandler,
        )

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
            fields = self._take(instance, call, body, connection, arrived_s)
        except DamagedReport as error:
            self._node.report(
                "damaged_report", name=instance, field=error.field, why=str(error)
            )
            return _respond(start_response, "400 Bad Request", {"error": str(error)})
        except OSError as error:
            # The writer ended in the middle of its report.
            return _respond(start_response, "400 Bad Request", {"error": str(error)})
        return _respond(start_response, "200 OK", fields)

    def _take(self, instance, call, body, connection, arrived_s):
        """Give a report to the node; return the fields of the answer."""
        if call == "deregister":
            self._life.receive_deregistration(read_deregistration(instance, body))
            return {}
        said = read_heartbeat(instance, body)
        service = said.announcement.service
        self._check_service(service)
        living = self._life.receive_heartbeat(
            said.announcement, said.sequence, said.leaving
        )
        if not living or said.held is None:
            return {}
        report = HoldReport(
            service=service,
            connection=connection,
            arrived_s=arrived_s,
            held=said.held,
            released=said.released,
        )
        return list_fields(self._node.grants.answer(report))

    def _check_service(self, name):
        if name != self._service and self._node.routes.table.service(name) is None:
            raise DamagedReport("service", name, "a service that is configured")


def list_fields(hold_list):
    """Return the fields of the answer that carries a `HoldList`, or none of them."""
    if hold_list is None:
        return {}
    rows = [[row.first, row.last, row.fence, row.handover] for row in hold_list.rows]
    return {"holds": rows, "hold_time": duration_text(hold_list.hold_s)}


def _respond(start_response, status, fields):
    body = orjson.dumps(fields)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
