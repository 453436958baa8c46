"""Adaptations of the HTTP client library: pool, response and client."""

import socket as std_socket
import struct

import gevent
from gevent import socket
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPResponse

from comfreywharf.transport.sockets import is_closed_by_peer, is_open_and_idle

__all__ = [
    "BackendResponse",
    "NodelayPool",
    "SingleSendClient",
    "reset_on_close",
    "shut_down",
]

BLOCK_BYTES = 64 * 1024
NO_LINGER = struct.pack("ii", 1, 0)

HEAD_BLOCK_BYTES = 8 * 1024
MAX_HEAD_BYTES = 64 * 1024
MAX_HEAD_LINES = 256
MAX_INTERIM_RESPONSES = 16
"""Bounds on the head of an answer. A server in trouble may send bytes without end."""

MAX_DROPPED_BYTES = 256 * 1024
"""The longest body of an answer that is read only to use its connection again."""

LONG_BODY_BYTES = 4096
"""Body length from which a server may refuse a request before it has read the body. A
shorter body arrives with the headers, in the first segments of a connection."""


class NodelayPool(ConnectionPool):
    """A connection pool to an IP address, with Nagle's algorithm disabled.

    Nagle's algorithm and delayed acknowledgements otherwise add 40 ms stalls to
    small requests. ``in_use_count`` counts the connections that are in use.
    """

    def __init__(self, *address, **settings):
        super().__init__(*address, **settings)
        self._in_use = set()

    @property
    def in_use_count(self):
        """Return how many connections are in use."""
        return len(self._in_use)

    @property
    def has_open_in_use(self):
        """Return whether a connection is in use that the peer hasn't closed."""
        return any(not is_closed_by_peer(sock) for sock in self._in_use)

    def get_socket(self):
        """Return an idle connection, or a new one."""
        sock = super().get_socket()
        self._in_use.add(sock)
        return sock

    def return_socket(self, sock):
        """Return a reusable connection to the pool."""
        self._in_use.discard(sock)
        super().return_socket(sock)

    def release_socket(self, sock):
        """Close a connection."""
        self._in_use.discard(sock)
        super().release_socket(sock)

    def after_connect(self, sock):
        """Disable Nagle's algorithm on a new connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _resolve(self):
        # The library resolves the address of each connection in a thread, even if
        # it is an IP address.
        address = (self._connection_host, self._connection_port)
        return [(socket.AF_INET, socket.SOCK_STREAM, 0, "", address)]

    def _is_socket_alive(self, sock):
        # The library uses select(), which fails for file descriptors over 1,023. A
        # node with many callers would then open a new connection for each request.
        return is_open_and_idle(sock)


def reset_on_close(sock):
    """Have a connection reset on close, so that a truncated answer isn't accepted.

    An answer to an HTTP/1.0 caller ends where the connection ends. A truncated one
    would look complete if the connection were closed in the usual way.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    except OSError:
        return


class BackendResponse(HTTPResponse):
    """A response that is read from a pooled connection, which it then returns.

    The library's own response returns its connection to the pool while it is still
    parsing received bytes. Bytes after the end of an answer then either replace its
    status and extend its body, or remain in the connection for the next request.
    This class returns the connection only after all received bytes were parsed, and
    only if none is left over.

    If ``unframed`` answers are allowed, an answer without a length is complete when
    its connection is closed in the usual way, and truncated when it is reset.
    """

    def __init__(self, method, sock, pool, unframed=False, long_body=False):
        super().__init__(method=method)
        self._unframed = unframed
        self._long_body = long_body
        self._sock = sock
        self._pool = pool
        self._whole = False
        self._other_bytes = 0
        self._interim_responses = 0
        self._receives = 0
        self.keeps_connection = False

    @property
    def whole(self):
        """Return whether the answer was read to its end."""
        return self._whole

    @property
    def header_names(self):
        """Return the names of the answer's headers, in lower case, as a set."""
        return self._headers_index.keys()

    @property
    def buffered_bytes(self):
        """Return how many bytes of the body were received but not returned yet."""
        return len(self._body_buffer)

    def _on_message_begin(self):
        if self._whole:
            raise HTTPParseError("received bytes after the end of the answer")
        super()._on_message_begin()

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.get_code() >= 200:
            self._whole = True
            return
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise HTTPParseError(
                f"received {self._interim_responses} interim responses; "
                f"expected at most {MAX_INTERIM_RESPONSES}"
            )

    def _flush_header(self):
        super()._flush_header()
        if self._header_position > MAX_HEAD_LINES:
            raise HTTPParseError(f"the answer has more than {MAX_HEAD_LINES} headers")

    def _has_length(self):
        return (
            self.method == "HEAD"
            or self.get_code() in (204, 304)
            or "content-length" in self._headers_index
            or "transfer-encoding" in self._headers_index
        )

    def read_head(self):
        """Read until the headers of the final (not 1xx) response are complete."""
        while not self.headers_complete or self.get_code() < 200:
            self._receive()
        if not self._unframed and not self._has_length():
            # Such an answer ends where the connection ends. A truncated one would
            # be forwarded as a shorter, successful answer.
            raise HTTPParseError(
                "the answer has no Content-Length and no Transfer-Encoding"
            )
        if self._whole:
            self.release()

    def read(self, length):
        """Return up to ``length`` bytes of the body; none only at its end.

        Raises `OSError` or `HTTPParseError` if the answer is truncated.
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

    def read_whole(self, max_bytes):
        """Return the whole body; raise `HTTPParseError` if it is longer than a bound.

        Raises `OSError` or `HTTPParseError` if the answer is truncated.
        """
        data = self.read(max_bytes + 1)
        if len(data) > max_bytes:
            raise HTTPParseError(f"the answer's body is longer than {max_bytes} bytes")
        if not self._whole:
            self.read(1)
        return data

    def drop(self):
        """Read the answer to its end, and drop its body.

        Raises `HTTPParseError` if there are more than `MAX_DROPPED_BYTES` left.
        """
        left_bytes = MAX_DROPPED_BYTES
        while not self._whole:
            left_bytes -= len(self.read(min(BLOCK_BYTES, left_bytes + 1)))
            if left_bytes < 0:
                raise HTTPParseError(
                    f"the answer's body is longer than {MAX_DROPPED_BYTES} bytes"
                )

    def _receive(self):
        if self._sock is None:
            raise HTTPParseError("the connection was already released")
        if self._receives:
            # A receive that finds bytes doesn't switch to other greenlets. A server
            # that sends without end would otherwise stop the node, and no timeout
            # would fire.
            gevent.sleep(0)
        self._receives += 1
        block_bytes = BLOCK_BYTES if self.headers_complete else HEAD_BLOCK_BYTES
        data = self._sock.recv(block_bytes)
        if not data and not self.headers_complete:
            raise HTTPParseError(
                "the connection was closed before the end of the answer's headers"
            )
        buffered_bytes = len(self._body_buffer)
        try:
            self.feed(data)
        except HTTPParseError:
            # Bytes follow the complete answer. Its parser has failed, so that
            # `release` closes the connection.
            if not self._whole:
                raise
        self._check_progress(len(data), buffered_bytes)

    def _check_progress(self, received_bytes, buffered_bytes):
        """Bound the bytes of the head, and those in a row that aren't of the body."""
        in_head = not self.headers_complete or self.get_code() < 200
        if not in_head and len(self._body_buffer) > buffered_bytes:
            self._other_bytes = 0
            return
        self._other_bytes += received_bytes
        if self._other_bytes > MAX_HEAD_BYTES:
            raise HTTPParseError(
                f"received {self._other_bytes} bytes that aren't of the answer's body; "
                f"expected at most {MAX_HEAD_BYTES}"
            )

    def abort(self):
        """Shut the connection down; a greenlet that reads from it gets an error."""
        if self._sock is not None:
            shut_down(self._sock)

    def release(self):
        """Return the connection to the pool, or close it if bytes may still arrive.

        Do nothing while ``keeps_connection`` is set.
        """
        if self.keeps_connection:
            return
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if not self._whole or self.should_close() or self._body_may_be_unread():
            self._pool.release_socket(sock)
        else:
            self._pool.return_socket(sock)

    def _body_may_be_unread(self):
        """Return whether the server may have refused the request before its body.

        The server then reads the rest of the body before the next request on the
        connection. That request waits for up to a second without an answer, usually
        past its deadline, and runs long after its caller has disconnected.
        """
        return self._long_body and self.get_code() >= 400

    def next_response(self):
        """Return the response that follows this one on the connection.

        Raises `HTTPParseError` if this one isn't complete or closes the connection.
        """
        if not self._whole or self.should_close():
            raise HTTPParseError(
                "no answer can follow one that is truncated or closes the connection"
            )
        sock, self._sock = self._sock, None
        return BackendResponse(
            self.method, sock, self._pool, self._unframed, self._long_body
        )

    def __del__(self):
        self.keeps_connection = False
        self.release()


def shut_down(sock):
    """Shut a connection down in both directions, even while a greenlet reads it."""
    try:
        sock.shutdown(std_socket.SHUT_RDWR)
    except OSError:
        return


class SingleSendClient:
    """An HTTP client that sends each request at most once.

    The library's own client sends a request with an idempotent method again, up
    to the pool's size plus one times, when the connection closed. A GET that
    crashes the backend server would crash it again each time, without any retry
    decision by the router. Only the package `routing` decides on retries. Of the
    library, the connection pool and the parser are used.
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
    def awaits_answer(self):
        """Return whether an answer is pending on an open connection.

        While the router waits for a slow caller, no greenlet reads the connection. A
        close by the server is therefore checked for explicitly.
        """
        return self._pool.has_open_in_use

    def connect(self):
        """Return an idle connection, or a new one.

        Wait while the maximum number of connections is in use. Raises `OSError`, or
        `RuntimeError` after `close`.
        """
        return self._pool.get_socket()

    def give_back(self, sock):
        """Return a connection to the pool that nothing was sent on."""
        self._pool.return_socket(sock)

    def request(self, method, target, body=b"", header_lines=""):
        """Send on a pooled connection; return the response with its headers read.

        Raises `OSError`, `RuntimeError` or the library's `HTTPParseError`; a
        `gevent.Timeout` propagates. In each case the connection is closed.
        """
        response = self.send(self.connect(), method, target, header_lines, body)
        try:
            response.read_head()
        except BaseException:
            response.release()
            raise
        return response

    def send(self, sock, method, target, header_lines, body):
        """Send the request and return the response, of which nothing is read yet.

        ``body`` is bytes, or an iterator of bytes that is sent chunked.
        ``header_lines`` is text, each line with its line end. In case of an error
        the connection is closed: a partially sent request is answered with an error
        at most, and that answer must not be taken for that to the next request.
        """
        try:
            head = f"{method} {target} HTTP/1.1\r\n{self.host_line}{header_lines}"
            if isinstance(body, bytes):
                length = (
                    f"Content-Length: {len(body)}\r\n"
                    if _needs_length(method, body)
                    else ""
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
        """Send as `send` does; read the answer to its end, drop its body, return it.

        ``answered()`` is called while the connection still counts as open. One that
        the server closes with its answer couldn't confirm others afterwards.
        """
        response = self.send(sock, method, target, header_lines, body)
        response.keeps_connection = True
        try:
            response.read_head()
            response.drop()
            if answered is not None:
                answered()
        finally:
            response.keeps_connection = False
            response.release()
        return response

    def close(self):
        """Close idle connections."""
        self._pool.close()


def _needs_length(method, body):
    return body or method not in ("GET", "HEAD", "DELETE", "OPTIONS")


def _send_chunks(sock, parts):
    for part in parts:
        if part:
            sock.sendall(b"%x\r\n%s\r\n" % (len(part), part))
    sock.sendall(b"0\r\n\r\n")
