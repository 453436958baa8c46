"""What the HTTP libraries need to be told before they can be used here."""

import socket as std_socket
import struct
import sys

from gevent import pywsgi, socket
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPResponse

from comfreywharf.transport.sockets import has_ended, is_quiet

__all__ = [
    "BackendResponse",
    "NodelayHandler",
    "NodelayPool",
    "SingleSendClient",
    "cut_connection",
    "shut_down",
]

BLOCK_BYTES = 64 * 1024
NO_LINGER = struct.pack("ii", 1, 0)

LONG_BODY_BYTES = 4096
"""From which length on a server may refuse a request before it has its body: a
shorter one comes with the headers, in the first segments of a connection."""


class NodelayPool(ConnectionPool):
    """A pool whose connections send at once, to an IP number.

    Nagle's algorithm and delayed acknowledgements otherwise add 40 ms stalls to
    small requests. ``lent`` counts the connections that are in use.
    """

    def __init__(self, *address, **settings):
        super().__init__(*address, **settings)
        self._lent = set()

    @property
    def lent(self):
        """Return how many connections are in use."""
        return len(self._lent)

    @property
    def lends_open(self):
        """Return whether a connection is in use that its other end keeps open."""
        return any(not has_ended(sock) for sock in self._lent)

    def get_socket(self):
        """Return an idle connection, or a new one."""
        sock = super().get_socket()
        self._lent.add(sock)
        return sock

    def return_socket(self, sock):
        """Take back a connection that may be used again."""
        self._lent.discard(sock)
        super().return_socket(sock)

    def release_socket(self, sock):
        """Close a connection."""
        self._lent.discard(sock)
        super().release_socket(sock)

    def after_connect(self, sock):
        """Switch Nagle's algorithm off on a new connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _resolve(self):
        # The library looks each connection's address up in a thread, also
        # where it is an IP number.
        address = (self._connection_host, self._connection_port)
        return [(socket.AF_INET, socket.SOCK_STREAM, 0, "", address)]

    def _is_socket_alive(self, sock):
        # The library uses select(), which fails for file numbers over 1,023:
        # a node with many callers would then open a connection a request.
        return is_quiet(sock)


class NodelayHandler(pywsgi.WSGIHandler):
    """A WSGI handler that sends at once and gives the socket to the request."""

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def log_request(self):
        """Do nothing: the library writes an access line also where nobody reads it."""

    def get_environ(self):
        """Return the WSGI environment, with the caller's socket in it.

        ``PATH_INFO`` is unquoted, and a quoted space or line end in it would
        break the request to the backend server; the target is passed as sent.
        """
        environ = super().get_environ()
        environ["comfreywharf.socket"] = self.socket
        environ["comfreywharf.target"] = self.path
        return environ


def cut_connection(sock):
    """Reset a connection, so that its other end can't take a part for the whole.

    An answer to a caller that speaks HTTP/1.0 ends where the connection ends; a
    cut one would look whole if the connection were closed in the usual way.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    except OSError:
        return


class BackendResponse(HTTPResponse):
    """A response that is read from a connection, which it then gives back.

    The library's own response gives its connection back in the middle of the
    bytes that it parses. Bytes behind the end of an answer then either replace
    its status and add to its body, or stay in the connection for the next
    request. Here the connection is given back only after the bytes were parsed,
    and only if none was left over.

    Where ``unframed`` answers are allowed, one without a length is whole when its
    connection is closed in the usual way, and cut when that is reset.
    """

    def __init__(self, method, sock, pool, unframed=False, long_body=False):
        super().__init__(method=method)
        self._unframed = unframed
        self._long_body = long_body
        self._sock = sock
        self._pool = pool
        self._whole = False
        self.held = False

    @property
    def whole(self):
        """Return whether the answer's end was read."""
        return self._whole

    @property
    def buffered_bytes(self):
        """Return how much of the body was read and not yet taken."""
        return len(self._body_buffer)

    def _on_message_begin(self):
        if self._whole:
            raise HTTPParseError("bytes after the answer")
        super()._on_message_begin()

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.get_code() >= 200:
            self._whole = True

    def _has_length(self):
        return (
            self.method == "HEAD"
            or self.get_code() in (204, 304)
            or "content-length" in self._headers_index
            or "transfer-encoding" in self._headers_index
        )

    def read_head(self):
        """Read until the headers of the final response are there."""
        while not self.headers_complete or self.get_code() < 200:
            self._receive()
        if not self._unframed and not self._has_length():
            # Such an answer ends where the connection ends, and a cut one
            # would be passed on as a short success.
            raise HTTPParseError("an answer without a length")
        if self._whole:
            self.release()

    def read(self, length=sys.maxsize):
        """Return up to ``length`` bytes of the body; none only at its end.

        Raises `OSError` or `HTTPParseError` where the answer is cut.
        """
        while not self._whole and len(self._body_buffer) < length:
            self._receive()
        if self._whole:
            self.release()
        if len(self._body_buffer) <= length:
            data, self._body_buffer = bytes(self._body_buffer), bytearray()
            return data
        data = bytes(memoryview(self._body_buffer)[:length])
        del self._body_buffer[:length]
        return data

    def _receive(self):
        if self._sock is None:
            raise HTTPParseError("connection closed")
        data = self._sock.recv(BLOCK_BYTES)
        if not data and not self.headers_complete:
            raise HTTPParseError("connection closed before the answer")
        try:
            self.feed(data)
        except HTTPParseError:
            # Bytes behind the answer: it is whole, and its parser has failed, so
            # that `release` closes the connection.
            if not self._whole:
                raise

    def abort(self):
        """End the connection; a greenlet that waits for it gets an error."""
        if self._sock is not None:
            shut_down(self._sock)

    def release(self):
        """Give the connection back, or close it if an answer may still come.

        While the response is ``held`` it keeps the connection.
        """
        if self.held:
            return
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if not self._whole or self.should_close() or self._body_may_be_unread():
            self._pool.release_socket(sock)
        else:
            self._pool.return_socket(sock)

    def _body_may_be_unread(self):
        """Return whether the server may have refused the request halfway.

        It then reads on before it looks at the next request. That one waits for up
        to a second without an answer, most often past its deadline, and reaches the
        server long after its caller has left.
        """
        return self._long_body and self.get_code() >= 400

    def following(self):
        """Return the response behind this one on the connection.

        Raises `HTTPParseError` where this one's end can't be told from its start.
        """
        if not self._whole or self.should_close():
            raise HTTPParseError("nothing can follow this answer")
        sock, self._sock = self._sock, None
        return BackendResponse(
            self.method, sock, self._pool, self._unframed, self._long_body
        )

    def __del__(self):
        self.held = False
        self.release()


def shut_down(sock):
    """End a connection in both directions, also under a greenlet that waits."""
    try:
        sock.shutdown(std_socket.SHUT_RDWR)
    except OSError:
        return


class SingleSendClient:
    """An HTTP client that sends each request at most once.

    The library's own client sends a request with an idempotent method again, up
    to the pool's size plus one times, when the connection closed. A GET that
    crashes the backend server would crash it again each time, and nobody would
    have decided so. Only `routing` decides on a retry. Of the library, its pool
    of connections and its parser are used.
    """

    pool_type = NodelayPool

    def __init__(self, host, port, *, concurrency, connect_timeout_s):
        self.host_line = f"Host: {host}:{port}\r\n"
        self.unframed = False
        self._pool = self.pool_type(
            host,
            port,
            host,
            port,
            size=concurrency,
            connection_timeout=connect_timeout_s,
            network_timeout=None,
        )

    @property
    def awaits(self):
        """Return whether an answer is awaited on a connection that is open.

        While a slow caller is waited for nobody reads there, so that the end of the
        stream is looked for.
        """
        return self._pool.lends_open

    def connect(self):
        """Return a connection: an idle one, or a new one.

        Waits while as many as allowed are in use. Raises `OSError`, or
        `RuntimeError` after `close`.
        """
        return self._pool.get_socket()

    def give_back(self, sock):
        """Return a connection that nothing was sent on."""
        self._pool.return_socket(sock)

    def request(self, method, target, body=b"", header_lines=""):
        """Send on a connection of the pool; return the response, its head read.

        Raises `OSError`, `RuntimeError` or the library's `HTTPParseError`; a
        `gevent.Timeout` passes through. In each case the connection is closed.
        """
        response = self.send(self.connect(), method, target, header_lines, body)
        try:
            response.read_head()
        except BaseException:
            response.release()
            raise
        return response

    def send(self, sock, method, target, header_lines, body):
        """Send the request and return the response, nothing of it read yet.

        ``body`` is bytes, or an iterator of bytes that is sent chunked.
        ``header_lines`` is text, each line with its end. In case of an error
        the connection is closed: a request that was sent in part is answered
        with an error, if at all; that answer must not meet the next request.
        """
        try:
            head = f"{method} {target} HTTP/1.1\r\n{self.host_line}{header_lines}"
            if isinstance(body, bytes):
                length = (
                    f"Content-Length: {len(body)}\r\n" if _sized(method, body) else ""
                )
                sock.sendall(f"{head}{length}\r\n".encode("latin-1") + body)
            else:
                start = f"{head}Transfer-Encoding: chunked\r\n\r\n"
                sock.sendall(start.encode("latin-1"))
                _send_chunks(sock, body)
        except BaseException:
            self._pool.release_socket(sock)
            raise
        long_body = not isinstance(body, bytes) or len(body) >= LONG_BODY_BYTES
        return BackendResponse(method, sock, self._pool, self.unframed, long_body)

    def exchange(self, sock, method, target, header_lines, body, *, answered=None):
        """Send as `send` does; return the answer, its body read to its end and dropped.

        ``answered`` is called while the connection still counts as open: one that the
        server closes with its answer could vouch for no other afterwards.
        """
        response = self.send(sock, method, target, header_lines, body)
        response.held = True
        try:
            response.read_head()
            while not response.whole:
                response.read(BLOCK_BYTES)
            if answered is not None:
                answered()
        finally:
            response.held = False
            response.release()
        return response

    def close(self):
        """Close idle connections."""
        self._pool.close()


def _sized(method, body):
    return body or method not in ("GET", "HEAD", "DELETE", "OPTIONS")


def _send_chunks(sock, parts):
    for part in parts:
        if part:
            sock.sendall(b"%x\r\n%s\r\n" % (len(part), part))
    sock.sendall(b"0\r\n\r\n")
