"""Where the backend server beside the node says that it lives, or leaves."""

import re

import orjson
from gevent import pywsgi

from comfreywharf.daemon.http import NodelayHandler
from comfreywharf.platform.announcements import (
    DamagedReport,
    read_deregistration,
    read_heartbeat,
)

__all__ = ["HeartbeatPort"]

_CALL = re.compile(r"/-/instances/([^/]{1,128})/(heartbeat|deregister)")
MAX_BODY_BYTES = 16 * 1024


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
        try:
            self._take(instance, call, environ["wsgi.input"].read(MAX_BODY_BYTES))
        except DamagedReport as error:
            self._node.report(
                "damaged_report", name=instance, field=error.field, why=str(error)
            )
            return _respond(start_response, "400 Bad Request", {"error": str(error)})
        except OSError as error:
            # The writer ended in the middle of its report.
            return _respond(start_response, "400 Bad Request", {"error": str(error)})
        return _respond(start_response, "200 OK", {})

    def _take(self, instance, call, body):
        if call == "deregister":
            self._life.leaves(read_deregistration(instance, body))
            return
        said = read_heartbeat(instance, body)
        self._check_service(said.announcement.service)
        self._life.heard(said.announcement, said.sequence, said.leaving)

    def _check_service(self, name):
        if name != self._service and self._node.routes.table.service(name) is None:
            raise DamagedReport("service", name, "a service that is configured")


def _respond(start_response, status, fields):
    body = orjson.dumps(fields)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
