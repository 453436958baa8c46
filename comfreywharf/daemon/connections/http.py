"""Adaptations of the HTTP client library: its pool and its client."""

from gevent import socket
from geventhttpclient.connectionpool import ConnectionPool

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.response import BackendResponse
from comfreywharf.daemon.connections.sent_ids import SentIds
from comfreywharf.transport.sockets import is_closed_by_peer, is_open_and_idle

__all__ = ["NodelayPool", "RequestClient", "SingleSendClient"]

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


class _RequestPool(NodelayPool):
    """A connection pool that gives no connection to the same request twice."""

    def __init__(self, *address, **settings):
        super().__init__(*address, **settings)
        self._sent_ids = SentIds()
        self._waiting = 0

    def get_socket_for(self, request_id, until_s):
        """Return a connection that hasn't carried a request's id.

        The request may be sent again before ``until_s``. Idle connections that carried
        it are passed over. One is closed if no other could be opened beside it.
        """
        passed_over = []
        try:
            while True:
                sock = self._get_counted()
                now_s = boottime_s()
                if not self._sent_ids.was_sent(sock, request_id, now_s):
                    self._sent_ids.add(sock, request_id, until_s, now_s)
                    return sock
                # If every greenlet kept one and waited for another, none would
                # get any.
                if len(self._in_use) + self._waiting < self.size:
                    passed_over.append(sock)
                else:
                    self.release_socket(sock)
        finally:
            for sock in passed_over:
                self.return_socket(sock)

    def _get_counted(self):
        self._waiting += 1
        try:
            return self.get_socket()
        finally:
            self._waiting -= 1


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

    def exchange(
        self,
        sock,
        method,
        target,
        header_lines,
        body,
        *,
        answered=None,
        is_reusable=None,
    ):
        """Send as `send` does; read the answer to its end, drop its body, return it.

        The connection is closed after the answer if ``is_reusable(answer)`` is false.
        ``answered()`` is called while the connection still counts as open. One that
        the server closes with its answer couldn't confirm others afterwards.
        """
        response = self.send(sock, method, target, header_lines, body)
        response.keeps_connection = True
        try:
            response.read_head()
            response.drop()
            if is_reusable is not None:
                response.reusable = is_reusable(response)
            if answered is not None:
                answered()
        finally:
            response.keeps_connection = False
            response.release()
        return response

    def close(self):
        """Close idle connections."""
        self._pool.close()


class RequestClient(SingleSendClient):
    """An HTTP client whose connections carry each request once at most.

    An answer names its request by the id only, and a server may repeat one late.
    """

    pool_type = _RequestPool

    def connect_for(self, request_id, until_s):
        """Return a connection as `connect` does, but none that carried this id.

        ``until_s`` is until when the request may be sent again.
        """
        return self._pool.get_socket_for(request_id, until_s)


def _needs_length(method, body):
    return body or method not in ("GET", "HEAD", "DELETE", "OPTIONS")


def _send_chunks(sock, parts):
    for part in parts:
        if part:
            sock.sendall(b"%x\r\n%s\r\n" % (len(part), part))
    sock.sendall(b"0\r\n\r\n")
