"""The HTTP server of a node's ports for short calls."""

import io

from gevent import pywsgi, sleep, socket

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.closing import shut_down
from comfreywharf.load.callermemory import CallerAccount, CallerBounds, CallerMemory

__all__ = ["NodelayServer"]

MAX_CONNECTIONS = 64
"""Connections of one port. Beyond it, those that were idle for longest are closed."""

MAX_CALL_BYTES = 2 << 20
"""The longest call, with its head, and with what isn't of its body."""

CALL_TIMEOUT_S = 10.0
"""The longest time in which a call may arrive, from its first byte."""

IDLE_TIMEOUT_S = 120.0
WRITE_TIMEOUT_S = 10.0
BUFFER_BYTES = 8192


class NodelayServer(pywsgi.WSGIServer):
    """Serve a WSGI application at an IP address, without Nagle delay and without a log.

    Calls have a bounded length, and their connections a bounded number. ``options`` are
    those of `gevent.pywsgi.WSGIServer`.
    """

    def __init__(
        self, host, port, application, max_connections=MAX_CONNECTIONS, **options
    ):
        # Without a name, the library looks the address up at its start, in a thread
        # of a pool that nothing else needs.
        super().__init__(
            (host, port),
            application,
            log=None,
            handler_class=NodelayHandler,
            environ={"SERVER_NAME": host},
            **options,
        )
        self._socks = {}
        self._memory = CallerMemory(CallerBounds(connections=max_connections))
        self._memory.close = lambda account: shut_down(self._socks[account])

    def handle(self, sock, address):
        """Serve the calls on one connection."""
        account = CallerAccount()
        if not self._memory.connect(account, boottime_s()):
            sock.close()
            return
        self._socks[account] = sock
        try:
            handler = self.handler_class(sock, address, self)
            handler.bound(account)
            handler.handle()
        finally:
            del self._socks[account]
            self._memory.disconnect(account)


class _BoundedReader(io.RawIOBase):
    """Read calls from a socket, each within a time and a number of bytes.

    Beyond these, the stream ends. The `CallerAccount` tells since when the node waits
    for the caller.
    """

    def __init__(self, sock, account):
        super().__init__()
        self._sock = sock
        self._account = account
        self._left_bytes = 0
        self._until_s = None

    def begin_call(self):
        """Allow the bytes of one more call."""
        self._left_bytes = MAX_CALL_BYTES
        self._until_s = None
        self._account.idle_since_s = boottime_s()
        self._account.read_wait_s = 0.0

    def readable(self):
        """Return true, as the base class asks."""
        return True

    def readinto(self, buffer):
        """Receive into a buffer; return how many bytes came, 0 at the end."""
        if self._until_s is None:
            size_bytes = self._receive(buffer, IDLE_TIMEOUT_S)
            now_s = boottime_s()
            self._account.idle_since_s = None
            self._until_s = now_s + CALL_TIMEOUT_S
        else:
            size_bytes = self._receive_more(buffer)
        self._left_bytes -= size_bytes
        return size_bytes

    def _receive_more(self, buffer):
        # A receive that finds bytes doesn't switch to other greenlets. A caller that
        # sends without end would otherwise stop the node.
        sleep(0)
        begun_s = boottime_s()
        if self._left_bytes <= 0 or begun_s >= self._until_s:
            return 0
        self._account.begin_reading(begun_s)
        try:
            return self._receive(buffer, self._until_s - begun_s)
        finally:
            self._account.end_reading(boottime_s())

    def _receive(self, buffer, timeout_s):
        self._sock.settimeout(timeout_s)
        try:
            return self._sock.recv_into(buffer)
        finally:
            self._sock.settimeout(WRITE_TIMEOUT_S)


class NodelayHandler(pywsgi.WSGIHandler):
    """A WSGI handler without Nagle delay that passes the socket to the application."""

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def bound(self, account):
        """Read calls within bounds; ``account`` is the `CallerAccount` to keep."""
        self._reader = _BoundedReader(self.socket, account)
        self.rfile = io.BufferedReader(self._reader, BUFFER_BYTES)

    def handle_one_request(self):
        """Handle one call; the result is that of the library."""
        # Neither a read that finds bytes nor a write that finds room switches to other
        # greenlets, so that pipelined calls could stop the node.
        sleep(0)
        self._reader.begin_call()
        return super().handle_one_request()

    def log_request(self):
        """Do nothing; the library formats an access log line even without a log."""

    def get_environ(self):
        """Return the WSGI environment, with the caller's socket in it.

        ``PATH_INFO`` is percent-decoded, and an encoded space or line end in it would
        break the request to the backend server. The request target is therefore
        passed as the caller sent it.
        """
        environ = super().get_environ()
        environ["comfreywharf.socket"] = self.socket
        environ["comfreywharf.target"] = self.path
        return environ
