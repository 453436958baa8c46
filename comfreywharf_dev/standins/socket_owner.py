"""Find the process that holds the other end of a connection on loopback.

Linux reports the inode of a connected socket through the socket diagnostics of
netlink (sock_diag(7)), and the open files of a process name the inodes of its
sockets. Reading /proc/net/tcp would give the same result, but takes 65 ms with
7,000 lingering closed connections and blocks the proxy meanwhile.
"""

import os
import socket
import struct

__all__ = ["holds_inode", "inode_of_connection"]

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ANY = 0xFFFFFFFF
"""All connection states, or any cookie of a socket."""

HEADER = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBBI")
PORTS = struct.Struct(">HH")
REST_OF_ID = struct.Struct("=III")
"""The interface and the two halves of the cookie, after a socket's addresses."""

INODE_OFFSET = HEADER.size + 68
"""The offset of ``idiag_inode`` in an answer (``struct inet_diag_msg``)."""

LOOPBACK = socket.inet_aton("127.0.0.1") + bytes(12)


def inode_of_connection(local_port, remote_port):
    """Return the inode of a connected socket on loopback, or 0 if there is none."""
    socket_id = PORTS.pack(local_port, remote_port) + LOOPBACK + LOOPBACK
    request = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY)
    body = request + socket_id + REST_OF_ID.pack(0, ANY, ANY)
    length = HEADER.size + len(body)
    header = HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as link:
        link.send(header + body)
        answer = link.recv(8192)
    _, message_type, _, _, _ = HEADER.unpack_from(answer)
    if message_type != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]


def holds_inode(pid, inode):
    """Return whether a process has the socket with this inode open."""
    wanted = f"socket:[{inode}]"
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    return any(_link(f"{folder}/{name}") == wanted for name in names)


def _link(path):
    try:
        return os.readlink(path)
    except OSError:
        return ""
