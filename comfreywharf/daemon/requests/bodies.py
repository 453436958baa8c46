"""Large bodies, read in parts and buffered between two hops in bounded memory."""

import itertools
from abc import ABC, abstractmethod

import gevent
import gevent.event
from gevent.queue import Empty, Full, Queue

from comfreywharf.load.callermemory import NoRoom
from comfreywharf.routing import Reason

__all__ = [
    "PART_BYTES",
    "WHOLE_BODY_BYTES",
    "BodyError",
    "CallerBody",
    "StreamTable",
    "StreamedBody",
    "Upload",
    "split_body",
]

PART_BYTES = 64 * 1024
WHOLE_BODY_BYTES = 256 * 1024
"""A body up to this length is kept in memory as a whole; a longer one is streamed."""

IDLE_LIMIT_S = 30.0

STALL_S = 1.0
"""After this silence, a body is given up if its slot at the server is wanted."""


def split_body(body):
    """Yield a body in parts of `PART_BYTES`, of which the last may be shorter.

    >>> [len(part) for part in split_body(bytes(70_000))]
    [65536, 4464]
    """
    for start in range(0, len(body), PART_BYTES):
        yield body[start : start + PART_BYTES]


class NoPartYet(Exception):
    """The next part of a body hasn't arrived yet."""


class BodyError(Exception):
    """A body that can't be read completely; ``reason`` is the `Reason` for it."""

    def __init__(self, reason):
        super().__init__(reason.value)
        self.reason = reason


class StreamedBody(ABC):
    """A body that is passed on to the server while it arrives.

    ``is_slot_wanted()``, if it is set, tells whether another request waits for a slot
    of the server. A caller that stalls then loses its own.
    """

    is_slot_wanted = None

    def _await_part(self):
        """Return the next part; raises `BodyError` for a caller that stalls."""
        while True:
            try:
                return self._next_part(STALL_S)
            except NoPartYet:
                if self.is_slot_wanted is not None and self.is_slot_wanted():
                    raise BodyError(Reason.BODY_TOO_SLOW) from None

    @abstractmethod
    def _next_part(self, timeout_s):
        """Return the next part; raises `NoPartYet` if none comes in time."""


class CallerBody(StreamedBody):
    """A caller's body in parts, which can be sent again until a part was consumed.

    ``length`` is -1 for a chunked body. Iterating raises `BodyError` if the body is
    truncated, or longer than the service allows. ``reading`` is true while a read
    waits for the caller; `CallerWatch` sets ``too_slow`` before it ends that read, and
    no other one is begun then.
    """

    def __init__(self, stream, length, limit_bytes):
        self._stream = stream
        self._length = length
        self._limit_bytes = limit_bytes
        self._total = 0
        self._pushed_back = []
        self._consumed_count = 0
        self.reading = False
        self.too_slow = False

    @property
    def replayable(self):
        """Return whether no part was consumed yet."""
        return not self._consumed_count

    def push_back(self, part):
        """Put back a part that was taken but not used."""
        self._pushed_back.insert(0, part)
        self._consumed_count -= 1

    def __iter__(self):
        while True:
            part = self._pushed_back.pop(0) if self._pushed_back else self._read()
            if not part:
                return
            self._consumed_count += 1
            yield part

    def first_part(self):
        """Return the first part without consuming it; ``b""`` for an empty body."""
        if not self._pushed_back:
            part = self._read()
            if not part:
                return b""
            self._pushed_back.append(part)
        return self._pushed_back[0]

    def read_up_to(self, size_bytes):
        """Return the whole body, or ``None`` if it is longer than ``size_bytes``."""
        # A body that arrives a few bytes at a time would take more memory as a list.
        data = bytearray()
        while len(data) <= size_bytes:
            part = self._read()
            if not part:
                return bytes(data)
            data += part
        self._pushed_back = list(split_body(bytes(data)))
        return None

    def _read(self):
        if self.too_slow:
            # Bytes that were already received can still be read from a connection that
            # was shut down, and a fast caller sends more of them all the time.
            raise BodyError(Reason.BODY_TOO_SLOW)
        self.reading = True
        try:
            part = self._await_part()
        except NoRoom as error:
            raise BodyError(Reason.ROUTER_FULL) from error
        except OSError as error:
            raise BodyError(self._truncation_reason()) from error
        finally:
            self.reading = False
        self._total += len(part)
        if self._total > self._limit_bytes:
            raise BodyError(Reason.BODY_TOO_LARGE)
        if not part and 0 <= self._length != self._total:
            raise BodyError(self._truncation_reason())
        return part

    def _next_part(self, timeout_s):
        if self.is_slot_wanted is None:
            return self._stream.read(PART_BYTES)
        with gevent.Timeout(timeout_s, NoPartYet()):
            return self._stream.read(PART_BYTES)

    def _truncation_reason(self):
        return Reason.BODY_TOO_SLOW if self.too_slow else Reason.BAD_REQUEST


class Upload(StreamedBody):
    """A body in transit from the ingress node to the backend server.

    Its queue holds one part. The ingress node can send the next part only once the
    previous one was consumed, which provides backpressure. It sends none before the
    first part is requested.
    """

    def __init__(self):
        self._parts = Queue(maxsize=1)
        self._first = []
        self._wanted_or_finished = gevent.event.Event()
        self.finished = gevent.event.AsyncResult()

    def await_demand(self):
        """Wait until the body is wanted; return false if the reply came without it."""
        self._wanted_or_finished.wait()
        return not self.finished.ready()

    def put(self, part):
        """Queue a part, or ``None`` for the end; return false if it isn't wanted.

        A part also isn't wanted if the previous one isn't consumed in time.
        """
        if self.finished.ready():
            return False
        try:
            self._parts.put(part, timeout=IDLE_LIMIT_S)
        except Full:
            return False
        return True

    def finish(self, served):
        """Set the result, and discard a queued part so that `put` doesn't block."""
        self.finished.set(served)
        self._wanted_or_finished.set()
        while not self._parts.empty():
            self._parts.get_nowait()

    def first_part(self):
        """Return the first part without consuming it; ``b""`` for an empty body."""
        if not self._first:
            self._first.append(self._next())
        return self._first[0] or b""

    def __iter__(self):
        while (part := self._take()) is not None:
            yield part

    def read_whole(self, size_bytes):
        """Return a body of known length; raises `BodyError` if its length differs."""
        data = b"".join(self)
        if len(data) != size_bytes:
            raise BodyError(Reason.CALLER_GONE)
        return data

    def _take(self):
        return self._first.pop() if self._first else self._next()

    def _next(self):
        self._wanted_or_finished.set()
        late = BodyError(Reason.CALLER_GONE)
        with gevent.Timeout(IDLE_LIMIT_S, late):
            return self._await_part()

    def _next_part(self, timeout_s):
        try:
            return self._parts.get(timeout=timeout_s)
        except Empty as error:
            raise NoPartYet from error


class StreamTable:
    """A table of the state kept between the calls that transfer one large body."""

    def __init__(self):
        self._stream_ids = itertools.count(1)
        self._items = {}

    def add(self, item):
        """Store an item and return its stream id."""
        stream_id = next(self._stream_ids)
        self._items[stream_id] = item
        return stream_id

    def get(self, stream_id):
        """Return the item with a stream id, or ``None`` if there is none."""
        return self._items.get(stream_id)

    def remove(self, stream_id):
        """Remove the item with a stream id and return it, or ``None``."""
        return self._items.pop(stream_id, None)
