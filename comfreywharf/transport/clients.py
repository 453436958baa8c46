"""Calls to other nodes, each with exclusive use of a connection."""

import gevent
from gevent import socket
from thrift.Thrift import TException

from comfreywharf.transport.gen import Node
from comfreywharf.transport.sockets import (
    SocketTransport,
    is_open_and_idle,
    protocol_on,
)
from comfreywharf.transport.stamps import NoStamps
from comfreywharf.transport.traffic import ignore_bytes

__all__ = ["CallError", "PeerClient"]

MAX_IDLE_CONNECTIONS = 32
CONNECT_TIMEOUT_S = 0.5


class CallError(Exception):
    """A call without an answer.

    ``sent`` is false only if no byte of the call can have been sent, so that the
    callee can't have run it.
    """

    def __init__(self, message, sent):
        super().__init__(message)
        self.sent = sent


class _Connection:
    """A connected thrift client that numbers its calls and counts their bytes."""

    def __init__(self, sock, count_bytes):
        self._sock = sock
        self._count_bytes = count_bytes
        self._transport = SocketTransport(sock)
        self._protocol = protocol_on(self._transport)
        self._client = Node.Client(self._protocol)
        self._seqid = 0

    def call(self, method, arguments):
        self._seqid += 1
        self._client._seqid = self._seqid
        self._protocol.expected_seqid = self._seqid
        transport = self._transport
        sent_bytes, received_bytes = transport.sent_bytes, transport.received_bytes
        try:
            return getattr(self._client, method)(*arguments)
        finally:
            self._count_bytes(
                method,
                transport.sent_bytes - sent_bytes,
                transport.received_bytes - received_bytes,
            )

    def is_open_and_idle(self):
        return is_open_and_idle(self._sock)

    def close(self):
        self._protocol.trans.close()


class PeerClient:
    """A pool of connections to one node.

    ``call`` either returns the answer or raises `CallError`. It never sends a
    call twice: `comfreywharf.routing` decides whether a request may be retried.

    ``count_bytes(method, sent_bytes, received_bytes)`` is called after each call that
    was sent, also if it failed.
    """

    def __init__(self, host, port, stamps=None, count_bytes=ignore_bytes):
        self.host = host
        self.port = port
        self._stamps = stamps or NoStamps()
        self._count_bytes = count_bytes
        self._idle = []

    def call(self, method, *arguments, timeout_s):
        """Call a method of the thrift interface and return its result."""
        for argument in arguments:
            self._stamps.set_on(argument)
        sent = False
        connection = None
        try:
            with gevent.Timeout(timeout_s):
                connection = self._borrow()
                sent = True
                answer = connection.call(method, arguments)
        except (OSError, TException, EOFError, gevent.Timeout) as error:
            # The answer may still arrive, and the next call on this connection
            # would read it as its own. Closing the connection prevents that.
            self._discard(connection)
            message = f"{method} to {self.host}:{self.port}: {error or 'timeout'}"
            raise CallError(message, sent) from error
        except BaseException:
            self._discard(connection)
            raise
        self._give_back(connection)
        self._stamps.read_from(answer, f"{self.host}:{self.port}")
        return answer

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _borrow(self):
        # A node that restarted has closed all connections. A call on one of them
        # would end without an answer, and would count as possibly run.
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open_and_idle():
                return connection
            connection.close()
        return self._connect()

    def _connect(self):
        sock = socket.create_connection(
            (self.host, self.port), timeout=CONNECT_TIMEOUT_S
        )
        sock.settimeout(None)
        return _Connection(sock, self._count_bytes)

    def _discard(self, connection):
        if connection is not None:
            connection.close()

    def _give_back(self, connection):
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
