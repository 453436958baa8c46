"""An HTTP server for JSON documents, with errors that name each invalid value."""

from collections import defaultdict
from urllib.parse import parse_qsl

import attrs
import cattrs
import orjson
from absl import logging
from cattrs.preconf.orjson import make_converter
from cattrs.v import format_exception

from comfreywharf.daemon.connections.wsgi import NodelayServer
from comfreywharf.daemon.operating.documents import ErrorDocument
from comfreywharf.records.codec import converter
from comfreywharf.settings import suggest

__all__ = ["BadInput", "JsonPort", "JsonRequest", "Reply", "TextReply", "structure"]

MAX_BODY_BYTES = 1 << 20
MAX_CONNECTIONS = 256

_TYPE_NAMES = {int: "a whole number", str: "a text", bool: "true or false"}

_strict = make_converter(forbid_extra_keys=True)
_lenient = make_converter()


class _WrongType(ValueError):
    """A value has the wrong type; the message says which type was expected."""


def _describe(error, cls):
    return str(error) if isinstance(error, _WrongType) else format_exception(error, cls)


def _require_type(kind):
    def read(value, _):
        # By default, cattrs converts the text "no" to true, and 7.9 to 7.
        if type(value) is not kind:
            raise _WrongType(f"found {value!r:.80}; expected {_TYPE_NAMES[kind]}")
        return value

    return read


for _kind in _TYPE_NAMES:
    _strict.register_structure_hook(_kind, _require_type(_kind))
    _lenient.register_structure_hook(_kind, _require_type(_kind))


class BadInput(Exception):
    """A request that is invalid, or can't be answered now.

    ``status`` is the HTTP status and ``document`` the `ErrorDocument` of the answer.
    """

    def __init__(self, status, error, wrong=()):
        super().__init__(error)
        self.status = status
        self.document = ErrorDocument(error=error, wrong=tuple(wrong))


@attrs.frozen
class Reply:
    """An answer: an HTTP status and a document that is sent as JSON."""

    status: int
    document: object


@attrs.frozen
class TextReply:
    """An answer that isn't JSON: an HTTP status and a text."""

    status: int
    text: bytes
    content_type: str


class JsonRequest:
    """One HTTP request to a `JsonPort`."""

    def __init__(self, environ):
        self._environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self._query = dict(parse_qsl(environ.get("QUERY_STRING", "")))

    def text(self, name):
        """Return a value of the query; raise `BadInput` if it is missing."""
        if name not in self._query:
            raise BadInput(400, f"query: found no {name}; expected {name}=...")
        return self._query[name]

    def integer(self, name, default=None):
        """Return a whole number of the query, or ``default`` if it is missing.

        Raises `BadInput` if the value isn't a whole number, or if it is missing and
        there is no default.
        """
        if default is not None and name not in self._query:
            return default
        text = self.text(name)
        if not text.isascii() or not text.isdecimal() or len(text) > 20:
            raise BadInput(
                400, f"query: {name}: found {text[:40]!r}; expected a whole number"
            )
        return int(text)

    def document(self, cls, lenient=False):
        """Return the body as a message of a class; raise `BadInput` if it is invalid.

        Any page in an operator's browser could post a form to this port. A page can
        set the content type ``application/json`` only after a CORS preflight request,
        which this port doesn't answer.
        """
        if not lenient and self._environ.get("CONTENT_TYPE") != "application/json":
            raise BadInput(415, "Content-Type: expected application/json")
        return structure(self._read_json(), cls, lenient)

    def _read_json(self):
        declared = self._environ.get("CONTENT_LENGTH")
        if not declared:
            raise BadInput(411, "body: found no Content-Length; expected one")
        if not declared.isdecimal() or int(declared) > MAX_BODY_BYTES:
            raise BadInput(
                413, f"body: found {declared} bytes; expected <= {MAX_BODY_BYTES}"
            )
        data = self._environ["wsgi.input"].read(int(declared))
        if len(data) != int(declared):
            raise BadInput(400, f"body: found {len(data)} bytes of {declared}")
        try:
            return orjson.loads(data)
        except orjson.JSONDecodeError as error:
            raise BadInput(400, f"body: expected JSON: {error}") from error


def structure(fields, cls, lenient=False):
    """Return parsed JSON as a message; raise one `BadInput` for all invalid values."""
    try:
        return (_lenient if lenient else _strict).structure(fields, cls)
    except Exception as error:
        wrong = cattrs.transform_error(error, path="body", format_exception=_describe)
        raise BadInput(400, f"not a {cls.__name__}", wrong) from error


class JsonPort:
    """A WSGI application that calls a handler for each method and path.

    A handler takes a `JsonRequest` and returns a `Reply` or a `TextReply`. An
    unexpected exception is logged and answered with status 500; the process continues.
    """

    def __init__(self, routes):
        self._routes = defaultdict(dict)
        for (method, path), handler in routes.items():
            self._routes[path][method] = handler

    def make_server(self, host, port):
        """Return the server; it isn't started yet."""
        return NodelayServer(host, port, self, MAX_CONNECTIONS)

    def __call__(self, environ, start_response):
        """Answer one request."""
        reply = self.answer(JsonRequest(environ))
        if isinstance(reply, TextReply):
            body, content_type = reply.text, reply.content_type
        else:
            body = orjson.dumps(
                converter.unstructure(reply.document), option=orjson.OPT_NON_STR_KEYS
            )
            content_type = "application/json"
        headers = [("Content-Length", str(len(body))), ("Content-Type", content_type)]
        start_response(f"{reply.status} Answer", headers)
        return [body]

    def answer(self, request):
        """Return the reply to a request; all exceptions become error replies."""
        try:
            return self._find_handler(request)(request)
        except BadInput as error:
            return Reply(error.status, error.document)
        except Exception:
            logging.exception(
                "internal error in the HTTP request %s %s", request.method, request.path
            )
            return Reply(500, ErrorDocument(error="internal; see the node's log"))

    def _find_handler(self, request):
        if request.path not in self._routes:
            known = sorted(self._routes)
            raise BadInput(
                404,
                f"path: found {request.path[:80]!r}; "
                f"expected one of {', '.join(known)}{suggest(request.path, known)}",
            )
        handlers = self._routes[request.path]
        if request.method not in handlers:
            raise BadInput(
                405,
                f"method: found {request.method}; "
                f"expected {' or '.join(sorted(handlers))}",
            )
        return handlers[request.method]
