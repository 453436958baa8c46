"""A thrift transport over a gevent socket, and the protocol that uses it."""

import select

from gevent import socket
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TApplicationException
from thrift.transport.TTransport import (
    TFramedTransport,
    TTransportBase,
    TTransportException,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "CheckedProtocol",
    "SocketTransport",
    "is_closed_by_peer",
    "is_open_and_idle",
    "not_open_and_idle",
    "protocol_on",
    "protocol_over",
]

MAX_FRAME_BYTES = 4 << 20
"""The longest thrift frame that is read; a longer one closes the connection."""

_RECEIVE_BYTES = 64 * 1024
VERSION_MASK = TBinaryProtocolAccelerated.VERSION_MASK
VERSION_1 = TBinaryProtocolAccelerated.VERSION_1
TYPE_MASK = TBinaryProtocolAccelerated.TYPE_MASK


def is_open_and_idle(sock):
    """Return whether an idle connection is open and has nothing to read.

    Anything to read while no call is running is either the end of the stream or
    an answer to an earlier call.
    """
    # select() fails for file descriptors above 1,023; poll() doesn't.
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return not poll.poll(0)


def not_open_and_idle(socks):
    """Return those of some connections of which `is_open_and_idle` is false.

    One system call looks at all of them.
    """
    poll = select.poll()
    numbers = [sock.fileno() for sock in socks]
    for number in numbers:
        if number >= 0:
            poll.register(number, select.POLLIN)
    readable = {number for number, _ in poll.poll(0)}
    pairs = zip(socks, numbers, strict=True)
    return [sock for sock, number in pairs if number < 0 or number in readable]


def is_closed_by_peer(sock):
    """Return whether the peer of a connection has closed or reset it.

    Unread bytes make no difference, unlike in `is_open_and_idle`.
    """
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class SocketTransport(TTransportBase):
    """Bytes to and from a gevent socket, read ahead to save system calls.

    ``sent_bytes`` and ``received_bytes`` are the totals since it was connected.
    """

    def __init__(self, sock):
        self.sent_bytes = 0
        self.received_bytes = 0
        self._sock = sock
        self._buffer = b""
        # Nagle's algorithm delays a small answer until the peer's delayed
        # acknowledgement: the median time of a hop is then 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def isOpen(self):  # noqa: N802 - thrift's name
        """Return whether the socket is open."""
        return self._sock is not None

    def close(self):
        """Close the socket; further calls do nothing."""
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()

    def read(self, size):
        """Return up to ``size`` bytes; raises `TTransportException` at the end."""
        if not self._buffer:
            self._buffer = self._receive()
        if len(self._buffer) <= size:
            data, self._buffer = self._buffer, b""
            return data
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data

    def _receive(self):
        if self._sock is None:
            raise TTransportException(TTransportException.NOT_OPEN, "closed")
        data = self._sock.recv(_RECEIVE_BYTES)
        if not data:
            raise TTransportException(TTransportException.END_OF_FILE, "peer closed")
        self.received_bytes += len(data)
        return data

    def write(self, data):
        """Send all of the bytes."""
        if self._sock is None:
            raise TTransportException(TTransportException.NOT_OPEN, "closed")
        self._sock.sendall(data)
        self.sent_bytes += len(data)

    def flush(self):
        """Do nothing: `write` sends at once, and frames are written in one call."""


class CheckedProtocol(TBinaryProtocolAccelerated):
    """The binary protocol, with a check that an answer belongs to its call.

    Generated clients ignore the sequence number of an answer. A late answer would
    be taken for the answer to the next call, and a caller would receive the answer
    to another caller's request.
    """

    expected_seqid = None

    def readMessageBegin(self):  # noqa: N802 - thrift's name
        """Return name, type and sequence number, and check the sequence number.

        A message is in one frame, so its head is read from the frame's buffer. Read
        through the transport, each of the four fields could wait for another frame:
        a peer that sent half a head would keep its connection open forever. Each
        call would also cost further reads through the transport.
        """
        version = self.readI32()
        if version & VERSION_MASK != VERSION_1:
            raise TProtocolException(
                TProtocolException.BAD_VERSION,
                f"version {version & 0xFFFFFFFF:#x} at the start of a message",
            )
        name, seqid = self._read_name_and_seqid(self.trans.cstringio_buf)
        kind = version & TYPE_MASK
        if self.expected_seqid is not None and seqid != self.expected_seqid:
            raise TApplicationException(
                TApplicationException.BAD_SEQUENCE_ID,
                f"answer has number {seqid}; expected {self.expected_seqid}",
            )
        return name, kind, seqid

    def _read_name_and_seqid(self, frame):
        length = int.from_bytes(frame.read(4), "big")
        self._check_string_length(length)
        name = frame.read(length)
        seqid = frame.read(4)
        if len(name) != length or len(seqid) != 4:
            raise TProtocolException(
                TProtocolException.INVALID_DATA,
                "the frame ends within a message's head",
            )
        return name.decode("utf-8"), int.from_bytes(seqid, "big", signed=True)


def protocol_over(sock, max_frame_bytes=MAX_FRAME_BYTES):
    """Return the framed `CheckedProtocol` over a connected socket."""
    return protocol_on(SocketTransport(sock), max_frame_bytes)


def protocol_on(transport, max_frame_bytes=MAX_FRAME_BYTES):
    """Return the framed `CheckedProtocol` over a `SocketTransport`."""
    framed = TFramedTransport(transport, max_frame_bytes)
    return CheckedProtocol(framed, string_length_limit=max_frame_bytes)
