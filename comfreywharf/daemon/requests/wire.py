"""Header fields of requests to backend servers, and of their answers to callers."""

from abc import ABC, abstractmethod
from functools import lru_cache

from comfreywharf.routing import Reason
from comfreywharf.transport.gen.ttypes import Header

__all__ = [
    "OWN_PREFIX",
    "Dialect",
    "OwnDialect",
    "answer_headers",
    "caller_headers",
    "join_lines",
    "request_lines",
]

OWN_PREFIX = "comfreywharf-"

_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers (RFC 9110, 7.6.1), and headers that each hop sets itself."""


@lru_cache(maxsize=1024)
def _forwarded_name(name):
    """Return the name that a caller's header is sent on with; ``None`` drops it."""
    if name in _HOP_HEADERS or name.startswith(OWN_PREFIX):
        return None
    return name.title()


def caller_headers(head):
    """Return the headers to send to the backend server, and their length in bytes.

    Headers that the connection names are for one hop only (RFC 9110, 7.6.1).
    """
    named = head.get("connection", "").lower().split(",")
    hop_names = {name.strip() for name in named}
    headers = []
    size_bytes = 0
    for received_name, value in head.headers:
        name = _forwarded_name(received_name)
        if name is not None and received_name not in hop_names:
            headers.append(Header(name=name, value=value))
            size_bytes += len(name) + len(value)
    return headers, size_bytes


def request_lines(request, running):
    """Return the header lines for the backend server; see `join_lines`."""
    lines = [f"{header.name}: {header.value}" for header in request.headers]
    lines.append(f"Comfreywharf-Request-Id: {request.request_id}")
    lines.append(f"Comfreywharf-Attempt: {running.attempt_id}")
    lines.append(f"Comfreywharf-Deadline-Ms: {int(running.deadline_s * 1000)}")
    if request.key:
        right = running.right
        lines.append(f"Comfreywharf-Key: {request.key.decode('latin-1')}")
        lines.append(f"Comfreywharf-Key-Hash: {right.key_hash}")
        lines.append(f"Comfreywharf-Fence: {right.fence}")
    return join_lines(lines)


def join_lines(lines):
    """Return header lines as one text, or ``None`` if one contains a line end.

    A caller could otherwise inject header lines that only the router may set, such as
    a fence.
    """
    text = "\r\n".join(lines)
    ends = len(lines) - 1
    if text.count("\n") != ends or text.count("\r") != ends or "\0" in text:
        return None
    return text + "\r\n"


@lru_cache(maxsize=1024)
def _is_returned(name):
    lower = name.lower()
    return lower not in _HOP_HEADERS and not lower.startswith(OWN_PREFIX)


def answer_headers(response):
    """Return the headers of a backend server's answer to send to the caller."""
    headers = []
    for name, value in response.items():
        if not _is_returned(name):
            continue
        for item in value if isinstance(value, list) else (value,):
            headers.append(Header(name=name, value=item))
    return headers


class Dialect(ABC):
    """The HTTP conventions of requests to, and answers of, a backend server."""

    @abstractmethod
    def request_lines(self, request, running, instance):
        """Return the header lines of a request as one text, or ``None``.

        ``None`` means that a value contains a line end. ``instance`` is the
        `Announcement.instance` that the request is for.
        """

    @abstractmethod
    def refused(self, response, request_id):
        """Return the `Reason` if an answer proves a request "not run", else ``None``.

        An answer that names another request proves nothing.
        """

    @abstractmethod
    def answers_request(self, response, request_id):
        """Return whether an answer may be forwarded as the answer to a request."""


class OwnDialect(Dialect):
    """The project's own headers; see docs/interfaces-backend-servers.md."""

    def request_lines(self, request, running, instance):
        """Return the header lines."""
        return request_lines(request, running)

    def refused(self, response, request_id):
        """Return the reason if the server states that it didn't run the request."""
        if response.status_code < 400 or response.get("comfreywharf-not-run") != "1":
            return None
        if not self.answers_request(response, request_id):
            return None
        return Reason.REFUSED_BY_BACKEND

    def answers_request(self, response, request_id):
        """Return false for an answer that names another request.

        It was sent on the wrong connection, or for an earlier request on this one.
        """
        echoed = response.get("comfreywharf-request-id")
        return echoed is None or echoed == request_id
