"""Where the backend server beside the node says that it lives, or leaves."""

import re

import orjson
from gevent import pywsgi

from comfreywharf.daemon.backend import Announcement
from comfreywharf.daemon.http import NodelayHandler
from comfreywharf.membership.lives import Life

__all__ = ["HeartbeatPort"]

_CALL = re.compile(r"/-/instances/([^/]{1,128})/(heartbeat|deregister)")
MAX_BODY_BYTES = 16 * 1024
SPARE_CONNECTIONS = 8
"""Of the connections that a backend server accepts, those left for orders."""


class HeartbeatPort:
    """Take heartbeats; each is translated and given to the node."""

    def __init__(self, node, life, address):
        self._node = node
        self._life = life
        self._address = address
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
            body = environ["wsgi.input"].read(MAX_BODY_BYTES)
            if call == "deregister":
                self._life.leaves(Life(instance, _born_ms(_said(body))))
            else:
                self._beat(instance, orjson.loads(body))
        except (ValueError, KeyError, TypeError) as error:
            return _respond(start_response, "400 Bad Request", {"error": repr(error)})
        return _respond(start_response, "200 OK", {})

    def _beat(self, instance, fields):
        host, _, port = fields["address"].rpartition(":")
        slots = _whole(fields["slots"], "slots")
        if not host or not 0 < int(port) < 65536 or slots < 1:
            raise ValueError("expected an address IP:PORT and one slot or more")
        self._life.heard(
            Announcement(
                name=instance,
                service=str(fields["service"]),
                host=host,
                port=int(port),
                slots=slots,
                connections=slots + SPARE_CONNECTIONS,
                checks_fences=True,
                instance=instance,
                born_ms=_born_ms(fields),
            ),
            sequence=_whole(fields["sequence"], "sequence"),
            leaving=fields["state"] == "draining",
        )


def _said(body):
    """Return the fields of a word that may have none."""
    fields = orjson.loads(body) if body else {}
    if not isinstance(fields, dict):
        raise TypeError(f"found {fields!r}; expected an object")
    return fields


def _born_ms(fields):
    """Return the server's start, or ``None`` where it doesn't say."""
    born_ms = fields.get("born")
    return None if born_ms is None else _whole(born_ms, "born")


def _whole(value, name):
    """Return a whole number; raises `ValueError` for a text, a truth, a fraction.

    A start or a number that is compared with others of another type would raise with
    each later heartbeat, and the server be silent for its node.
    """
    if type(value) is not int or value < 0:
        raise ValueError(f"{name}: found {value!r}; expected a whole number")
    return value


def _respond(start_response, status, fields):
    body = orjson.dumps(fields)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
