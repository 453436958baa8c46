"""Callers that send, hold open and leave unread without end."""

import contextlib
import socket
import threading
from pathlib import Path

import gevent

__all__ = ["Crowd", "peak_memory_mb"]

BLOCK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 60.0
SETTLED_SAMPLES = 20
RECEIVE_BUFFER_BYTES = 4096
SAMPLE_INTERVAL_S = 0.1


def peak_memory_mb(process):
    """Return the largest resident memory that a running process has had, in MB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith("VmHWM")]
    return int(line.split()[1]) / 1024


class Crowd:
    """Callers of a process, whose connections stay open until the context ends."""

    def __init__(self, process):
        self._process = process
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self._stack.close()

    def _connect(self, port):
        sock = self._stack.enter_context(contextlib.closing(socket.socket()))
        # Answers that aren't read stay in the process instead of the socket.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(("127.0.0.1", port))
        return sock

    def hold(self, port, data, count, settled_samples=SETTLED_SAMPLES):
        """Open connections that send ``data``, and then neither send nor read.

        Return once the process takes no more memory for them, in so many samples.
        """
        left = {self._connect(port): data for _ in range(count)}
        for sock in left:
            sock.setblocking(False)
        last_mb, unchanged = 0, 0
        while self._process.poll() is None and unchanged < settled_samples:
            for sock, unsent in left.items():
                with contextlib.suppress(OSError):
                    left[sock] = unsent[sock.send(unsent) :]
            gevent.sleep(SAMPLE_INTERVAL_S)
            peak_mb = peak_memory_mb(self._process)
            unchanged = unchanged + 1 if peak_mb == last_mb else 0
            last_mb = peak_mb

    @contextlib.contextmanager
    def flood(self, port, start, block, count, size_bytes):
        """Send ``start``, and ``block`` again and again, on each of some connections.

        The context begins once each has sent ``size_bytes``, was closed or can't send
        more. They go on until it ends.
        """
        stopping = threading.Event()
        senders = [
            _EndlessSender(self._connect(port), start, block, stopping)
            for _ in range(count)
        ]
        for sender in senders:
            sender.start()
        try:
            while any(sender.sends_on(size_bytes) for sender in senders):
                gevent.sleep(SAMPLE_INTERVAL_S)
            yield
        finally:
            stopping.set()
            for sender in senders:
                sender.join()


class _EndlessSender(threading.Thread):
    """A caller with a thread of its own, which the loop under test can't slow down."""

    def __init__(self, sock, start, block, stopping):
        super().__init__(daemon=True)
        self.sent_bytes = 0
        self._sock = sock
        self._start_data = start
        self._block = block * max(1, BLOCK_BYTES // len(block))
        self._stopping = stopping
        self._refused_sends = 0
        sock.settimeout(SAMPLE_INTERVAL_S)

    def sends_on(self, size_bytes):
        """Return whether it still sends, and hasn't sent a number of bytes yet."""
        stuck = self._refused_sends >= SETTLED_SAMPLES
        return self.is_alive() and not stuck and self.sent_bytes < size_bytes

    def run(self):
        """Send until the connection is closed, or the flood is stopped."""
        unsent = self._start_data
        while not self._stopping.is_set():
            try:
                sent_bytes = self._sock.send(unsent or self._block)
            except TimeoutError:
                self._refused_sends += 1
                continue
            except OSError:
                return
            self._refused_sends = 0
            self.sent_bytes += sent_bytes
            # A block may have been sent in part: the next one completes it.
            unsent = (unsent or self._block)[sent_bytes:]
