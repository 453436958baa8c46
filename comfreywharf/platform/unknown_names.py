"""Report names in the platform's messages that this adapter doesn't know."""

from enum import Enum

__all__ = ["MessageKind", "UnknownNames"]

MAX_REPORTED = 64
"""How many names are reported. A server may send any number of header names."""

MAX_NAME_CHARS = 64


class MessageKind(Enum):
    """The message that a name was found in."""

    SERVER_ANSWER = "server-answer"
    STORE_ANSWER = "store-answer"
    HEARTBEAT = "heartbeat"
    CONFIGURATION = "configuration"


_COMMON_HEADERS = frozenset(
    {
        "accept-ranges",
        "age",
        "allow",
        "cache-control",
        "connection",
        "content-disposition",
        "content-encoding",
        "content-language",
        "content-length",
        "content-range",
        "content-type",
        "date",
        "etag",
        "expires",
        "keep-alive",
        "last-modified",
        "location",
        "retry-after",
        "server",
        "set-cookie",
        "trailer",
        "transfer-encoding",
        "vary",
        "via",
        "www-authenticate",
    }
)

_KNOWN = {
    MessageKind.SERVER_ANSWER: _COMMON_HEADERS
    | {
        "server-leaving",
        "server-limit",
        "x-attempt-id",
        "x-handover",
        "x-instance-id",
        "x-instance-load",
        "x-not-executed",
        "x-response-stamp",
    },
    MessageKind.STORE_ANSWER: _COMMON_HEADERS | {"store-era"},
    MessageKind.HEARTBEAT: frozenset(
        {
            "address",
            "born",
            "coldRemaining",
            "holds",
            "released",
            "sequence",
            "service",
            "slots",
            "state",
            "version",
            "zone",
        }
    ),
    MessageKind.CONFIGURATION: frozenset(
        {"limits", "routes", "services", "version"}
        | {"maxHeaderBytes", "maxBodyBytes", "headerTimeout", "idleTimeout"}
        | {"host", "kind", "maxAttempts", "pathPrefix", "priority", "service"}
        | {"targetLatency", "timeout", "trafficSplit", "weight"}
        | {"coldPerS", "coldStart", "grants", "healthPath", "maxConnections"}
        | {"name", "sharded"}
    ),
}


class UnknownNames:
    """Count the unknown names in messages, and report each of them once.

    An unknown name changes nothing, as the platform's messages may be extended at any
    time. The operator can see from the report that this build lacks a word which the
    platform uses.
    """

    def __init__(self, report, metrics):
        self._report = report
        self._metrics = metrics
        self._reported = set()

    def check(self, kind, names):
        """Check the names in a message of a kind; header names are in lower case."""
        unknown = names - _KNOWN[kind]
        for name in unknown:
            self._metrics.unknown_name_read(kind.value)
            entry = (kind, name)
            if entry not in self._reported and len(self._reported) < MAX_REPORTED:
                self._reported.add(entry)
                self._report(
                    "unknown_name", message=kind.value, name=name[:MAX_NAME_CHARS]
                )
