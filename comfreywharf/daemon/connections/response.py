"""Answers of backend servers and of the store, read within bounds."""

import gevent
from geventhttpclient.response import HTTPParseError, HTTPResponse

from comfreywharf.daemon.connections.closing import shut_down

__all__ = ["BackendResponse"]

BLOCK_BYTES = 64 * 1024
HEAD_BLOCK_BYTES = 8 * 1024
MAX_HEAD_BYTES = 64 * 1024
MAX_HEAD_LINES = 256
MAX_INTERIM_RESPONSES = 16
"""Bounds on the head of an answer. A server in trouble may send bytes without end."""

SWITCHING_PROTOCOLS = 101
"""The status of an answer that begins another protocol; nobody asks for one."""

MAX_DROPPED_BYTES = 256 * 1024
"""The longest body of an answer that is read only to use its connection again."""


class BackendResponse(HTTPResponse):
    """A response that is read from a pooled connection, which it then returns.

    The library's own response returns its connection to the pool while it is still
    parsing received bytes. Bytes after the end of an answer then either replace its
    status and extend its body, or remain in the connection for the next request.
    This class returns the connection only after all received bytes were parsed, and
    only if none is left over.

    If ``unframed`` answers are allowed, an answer without a length is complete when
    its connection is closed in the usual way, and truncated when it is reset.

    A connection that isn't ``reusable`` is closed after its answer.
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
        self._aborted = False
        self.keeps_connection = False
        self.reusable = True

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

    def _on_headers_complete(self):
        status = self.get_code()
        if not 100 <= status <= 599 or status == SWITCHING_PROTOCOLS:
            raise HTTPParseError(f"the answer has the status {status:03}")
        return super()._on_headers_complete()

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
            or self._is_chunked()
        )

    def _is_chunked(self):
        """Return whether the last chunk ends the body (RFC 9112, 6.3).

        With any other last transfer coding it ends with its connection.
        """
        value = self.get("transfer-encoding", "")
        codings = ",".join(value) if isinstance(value, list) else value
        return codings.rpartition(",")[2].strip().lower() == "chunked"

    def read_head(self):
        """Read until the headers of the final (not 1xx) response are complete."""
        while not self.headers_complete or self.get_code() < 200:
            self._receive()
        if not self._unframed and not self._has_length():
            # Such an answer ends where the connection ends. A truncated one would
            # be forwarded as a shorter, successful answer.
            raise HTTPParseError("the answer has no Content-Length and is not chunked")
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
        if self._aborted:
            # The connection was shut down here. Its end doesn't complete an answer.
            raise HTTPParseError("the connection was shut down")
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
        self._aborted = True
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
        if self._may_be_used_again():
            self._pool.return_socket(sock)
        else:
            self._pool.release_socket(sock)

    def _may_be_used_again(self):
        answered = self.reusable and self._whole and not self.should_close()
        return answered and not self._body_may_be_unread()

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
