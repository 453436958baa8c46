"""A consumer: one request on a connection of its own."""

import attrs
import gevent
from gevent import socket

from review.harness.upstream import read_message

__all__ = ["Answer", "send"]


@attrs.define
class Answer:
    """What a consumer got; ``status`` 0 means no complete answer."""

    status: int
    headers: dict
    body: bytes

    @property
    def id(self):
        """Return the id that the answer echoes."""
        return self.headers.get("x-attempt-id", "")

    @property
    def stamp(self):
        """Return the receipt of the upstream."""
        return self.headers.get("x-response-stamp", "")


def send(address, method, host, target, headers, parts=(), length=None, read=None):
    """Send one request, its body in parts, and return the `Answer`.

    A part that is a number is a pause in seconds. ``read(size)``, if given, replaces
    the reading from the socket's file, for a consumer that reads slowly.
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.settimeout(30.0)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if read is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
            sock.sendall(head)
            sending = gevent.spawn(_send_parts, sock, parts)
            file = sock.makefile("rb", buffering=8192)
            try:
                line, fields, body = read_message(
                    file.readline, read(file) if read else file.read
                )
            finally:
                sending.kill()
            return Answer(int(line.split()[1]), fields, body)
    except (OSError, EOFError, ValueError):
        return Answer(0, {}, b"")


def _send_parts(sock, parts):
    try:
        for part in parts:
            if isinstance(part, bytes):
                sock.sendall(part)
            else:
                gevent.sleep(part)
    except OSError:
        return
