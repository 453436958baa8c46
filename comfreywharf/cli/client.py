"""A client of a node's operators' port, which returns typed documents."""

from typing import Any
from urllib.parse import urlencode

import attrs
import cattrs
import gevent
import orjson
from cattrs.preconf.orjson import make_converter
from gevent.pool import Pool
from geventhttpclient.response import HTTPParseError

from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.daemon.connections.http import SingleSendClient
from comfreywharf.daemon.operating.documents import ErrorDocument, NodeDocument

__all__ = ["AnswerLost", "NodeClient", "converter", "other_nodes", "query_all"]

CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 64 << 20
CONCURRENT_NODES = 32
JSON_BODY = "Content-Type: application/json\r\n"

converter = make_converter()


class AnswerLost(CommandError):
    """No complete answer was received.

    The node may be down, or may have carried out the request and then crashed.
    """

    def __init__(self, message):
        super().__init__(ExitCode.UNREACHABLE, message)


@attrs.frozen
class NodeClient:
    """A client of the operators' port of one node.

    All methods raise `CommandError` if the node answers with an error, and its
    subclass `AnswerLost` if no complete and valid answer is received.
    """

    host: str
    port: int
    timeout_s: float = 10.0

    def get(self, path, cls, **query):
        """Return the answer to a GET request as ``cls``."""
        uri = f"{path}?{urlencode(query)}" if query else path
        return self._parse(self._call_checked("GET", uri, b"", (200,)), cls)

    def get_text(self, path):
        """Return the answer to a GET request as text."""
        data = self._call_checked("GET", path, b"", (200,))
        return data.decode("utf-8", "replace")

    def get_json(self, path, **query):
        """Return the answer to a GET request as plain JSON values."""
        return self.get(path, Any, **query)

    def post(self, path, order, cls):
        """Post an order and return its outcome as ``cls``.

        Answers with status 200, 202 and 409 have the same kind of document,
        which says what the outcome is.
        """
        body = orjson.dumps(converter.unstructure(order))
        return self._parse(self._call_checked("POST", path, body, (200, 202, 409)), cls)

    def _call_checked(self, method, uri, body, accepted_statuses):
        status, data = self._call(method, uri, body)
        if status in accepted_statuses:
            return data
        raise CommandError(_exit_code(status), _error_text(status, data))

    def _parse(self, data, cls):
        try:
            return converter.structure(orjson.loads(data), cls)
        except (orjson.JSONDecodeError, cattrs.BaseValidationError, TypeError) as error:
            raise AnswerLost(
                f"{self.host}:{self.port} answered what isn't a {cls}; "
                "is that a node's operators' port, of this version?"
            ) from error

    def _call(self, method, uri, body):
        header_lines = JSON_BODY if body else ""
        client = SingleSendClient(
            self.host, self.port, concurrency=1, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        try:
            with gevent.Timeout(self.timeout_s):
                response = client.request(method, uri, body, header_lines)
                data = response.read(MAX_ANSWER_BYTES)
            return response.status_code, data
        except gevent.Timeout as error:
            raise AnswerLost(
                f"{self.host}:{self.port}: no answer in {self.timeout_s} s"
            ) from error
        except (OSError, HTTPParseError) as error:
            raise AnswerLost(f"{self.host}:{self.port}: {error}") from error
        finally:
            client.close()


def other_nodes(client):
    """Return ``(node id, client)`` for each node in the queried node's list."""
    return [
        (node.node_id, attrs.evolve(client, host=node.host, port=node.operator_port))
        for node in client.get("/nodes", list[NodeDocument])
    ]


def query_all(clients, get_answer):
    """Query nodes concurrently and return ``(node id, answer)`` for each of them.

    ``clients`` are pairs as those of `other_nodes`; ``get_answer`` is called with
    each client. An answer is a `CommandError` if the call raised it.
    """

    def query_one(node):
        node_id, client = node
        try:
            return node_id, get_answer(client)
        except CommandError as error:
            return node_id, error

    return Pool(CONCURRENT_NODES).map(query_one, clients)


def _exit_code(status):
    if status in (400, 404, 405, 411, 413, 415):
        return ExitCode.BAD_INPUT
    return ExitCode.REFUSED


def _error_text(status, data):
    try:
        document = converter.structure(orjson.loads(data), ErrorDocument)
    except (orjson.JSONDecodeError, cattrs.BaseValidationError, TypeError):
        return f"the node answered {status}"
    return "\n  ".join([document.error, *document.wrong])
