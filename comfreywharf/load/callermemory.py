"""Bound what the connections of all callers take from a node, and choose whom to close.

A caller may hold memory and a descriptor without doing anything: it doesn't finish its
request, doesn't read its answers, or just stays connected. When a bound is reached,
those who have kept most for longest are disconnected first, and requests for which
there is no room are refused. The present time is an argument.
"""

import attrs

__all__ = ["CallerAccount", "CallerBounds", "CallerMemory", "NoRoom", "Part"]

CONNECTION_BYTES = 24 * 1024
"""Memory of a connection without a request: its greenlet, parser and buffers."""

REQUEST_BYTES = 48 * 1024
"""Memory of a request without its headers and body, until it is answered."""

HEADER_BYTES = 256
"""Memory of one header field beside its text."""

HEAD_COPIES = 3
"""A head is kept as received, as text and in the message to the owner's node."""

MAX_HELD_BODY_BYTES = 320 * 1024
"""How much of a body is kept at a time; a longer one is passed on in parts."""

BODY_SHARE = 0.75
"""The part of the memory that bodies may fill. The rest is left to short requests."""

UPLOAD_SHARE = 0.5
"""The part of the requests that may have been begun without their whole body."""

RELIEVED_SHARE = 0.9
STALLED_S = 1.0
"""Callers that were waited for this long are disconnected until this part of a bound is
in use. Each new connection would otherwise look for another one to close."""

MEAN_WEIGHT = 1 / 16
FIRST_MEAN_S = 0.1


class NoRoom(OSError):
    """The node has no memory for the rest of a body."""


@attrs.frozen(kw_only=True)
class CallerBounds:
    """What the connections of all callers may take together.

    ``memory_bytes`` counts requests, answers and connections as estimated here,
    ``connections`` are those that are open, and ``requests`` those that are served.
    """

    memory_bytes: int = 128 << 20
    connections: int = 4096
    requests: int = 2048


@attrs.define(eq=False)
class CallerAccount:
    """What one connection holds, and since when it waits for its caller.

    A connection waits for its caller while it is idle, while it reads a request, and
    while an answer is unsent. ``read_wait_s`` is how long it has waited for the bytes
    of the present request before ``reading_since_s``. ``sum_since_s`` is the sum of the
    times at which its requests began.
    """

    held_bytes: int = 0
    requests: int = 0
    uploads: int = 0
    sum_since_s: float = 0.0
    idle_since_s: float | None = None
    reading_since_s: float | None = None
    unsent_since_s: float | None = None
    read_wait_s: float = 0.0
    is_open: bool = False

    def waits_s(self, now_s):
        """Return how long the caller has been waited for; ``None`` if it isn't.

        >>> CallerAccount(reading_since_s=2.0, read_wait_s=0.5).waits_s(3.0)
        1.5
        """
        waits = []
        if self.idle_since_s is not None:
            waits.append(now_s - self.idle_since_s)
        if self.reading_since_s is not None:
            waits.append(now_s - self.reading_since_s + self.read_wait_s)
        if self.unsent_since_s is not None:
            waits.append(now_s - self.unsent_since_s)
        return max(waits, default=None)

    def begin_reading(self, now_s):
        """Record that the bytes of a request are waited for."""
        self.reading_since_s = now_s

    def end_reading(self, now_s):
        """Record that bytes came; the next wait for the same request adds to this."""
        self.read_wait_s += now_s - self.reading_since_s
        self.reading_since_s = None


@attrs.define(eq=False)
class Part:
    """What one request takes of a `CallerMemory`, on the account of its connection.

    ``since_s`` is when it began to take it. An upload's body hadn't arrived whole then.
    """

    memory: "CallerMemory"
    account: CallerAccount
    since_s: float
    is_upload: bool = False
    held_bytes: int = 0
    body_bytes: int = 0

    def grow_body(self, size_bytes, now_s):
        """Return whether the request may keep so many more bytes of its body.

        Beyond `MAX_HELD_BODY_BYTES`, earlier bytes were passed on.
        """
        kept_bytes = min(size_bytes, MAX_HELD_BODY_BYTES - self.body_bytes)
        self.body_bytes += kept_bytes
        return self.memory.grow_body(self, kept_bytes, now_s)

    def keep_answer(self, size_bytes, now_s):
        """Add the answer, which is kept until the caller has read it."""
        self.memory.keep_answer(self, size_bytes, now_s)

    def end(self, now_s):
        """Free what the request took."""
        self.memory.end(self, now_s)


class CallerMemory:
    """Give connections and requests room within `CallerBounds`.

    ``close(account)`` is called for each connection that has to be closed to make
    room; what it held counts as free at once.

    >>> memory = CallerMemory(CallerBounds(memory_bytes=250_000))
    >>> closed = []
    >>> memory.close = closed.append
    >>> silent, other = CallerAccount(), CallerAccount()
    >>> memory.connect(silent, now_s=0.0), memory.connect(other, now_s=1.0)
    (True, True)
    >>> part = memory.begin(other, head_bytes=100, headers=3, now_s=2.0)
    >>> part.grow_body(90_000, now_s=2.0), closed == [silent]
    (True, True)
    """

    def __init__(self, bounds=None):
        self.bounds = bounds or CallerBounds()
        self.close = lambda account: None
        self.held_bytes = 0
        self.requests = 0
        self.uploads = 0
        self.closed_count = 0
        self._accounts = set()
        self._sum_since_s = 0.0
        self._mean_request_s = FIRST_MEAN_S

    @property
    def connections(self):
        """Return how many connections are open."""
        return len(self._accounts)

    def connect(self, account, now_s):
        """Return whether a new connection may stay open; it begins idle."""
        bound = self.bounds.connections

        def is_one_left(usage, share):
            return usage.connections < bound * share

        if not self._relieve(is_one_left, None, now_s):
            return False
        if not self._make_room(None, CONNECTION_BYTES, self.bounds.memory_bytes, now_s):
            return False
        self._accounts.add(account)
        account.is_open = True
        account.idle_since_s = now_s
        self._add(account, CONNECTION_BYTES)
        return True

    def disconnect(self, account):
        """Free what a connection holds; does nothing if it was closed to make room."""
        if account.is_open:
            account.is_open = False
            self._accounts.discard(account)
            self.held_bytes -= account.held_bytes
            self.requests -= account.requests
            self.uploads -= account.uploads
            self._sum_since_s -= account.sum_since_s

    def begin(self, account, head_bytes, headers, now_s, is_upload=False):
        """Return the `Part` of a request whose head was read; ``None`` without room.

        The rest of an upload's body has yet to come.
        """
        account.idle_since_s = None
        if not account.is_open or not self._may_begin(account, is_upload, now_s):
            return None
        size_bytes = REQUEST_BYTES + HEAD_COPIES * head_bytes + HEADER_BYTES * headers
        if not self._make_room(account, size_bytes, self.bounds.memory_bytes, now_s):
            return None
        part = Part(self, account, now_s, is_upload)
        self._count(part, 1)
        self._add_to(part, size_bytes)
        return part

    def grow_body(self, part, size_bytes, now_s):
        """Return whether a request may keep so many more bytes of its body."""
        limit_bytes = int(self.bounds.memory_bytes * BODY_SHARE)
        if not part.account.is_open:
            return False
        if not self._make_room(part.account, size_bytes, limit_bytes, now_s):
            return False
        self._add_to(part, size_bytes)
        return True

    def keep_answer(self, part, size_bytes, now_s):
        """Add the answer to a request, which is kept until its caller has read it.

        It always finds room, since it was made already.
        """
        if part.account.is_open:
            self._make_room(part.account, size_bytes, self.bounds.memory_bytes, now_s)
            self._add_to(part, size_bytes)

    def end(self, part, now_s):
        """Free what a request took."""
        held_s = now_s - part.since_s
        self._mean_request_s += MEAN_WEIGHT * (held_s - self._mean_request_s)
        if part.account.is_open:
            self._count(part, -1)
            self._add_to(part, -part.held_bytes)

    def retry_after_s(self, now_s):
        """Return after which time a refused caller probably finds room.

        By then, the requests that take the room now have ended, if they take as long
        as those that ended lately, or as long again as they have taken by now.
        """
        mean_age_s = now_s - self._sum_since_s / self.requests if self.requests else 0.0
        return max(self._mean_request_s, mean_age_s)

    def _count(self, part, change):
        account = part.account
        account.requests += change
        self.requests += change
        account.sum_since_s += change * part.since_s
        self._sum_since_s += change * part.since_s
        if part.is_upload:
            account.uploads += change
            self.uploads += change

    def _add_to(self, part, size_bytes):
        part.held_bytes += size_bytes
        self._add(part.account, size_bytes)

    def _add(self, account, size_bytes):
        account.held_bytes += size_bytes
        self.held_bytes += size_bytes

    def _may_begin(self, account, is_upload, now_s):
        """Return whether another request may begin; others may be closed for it."""
        bound = self.bounds.requests

        def is_one_left(usage, share):
            uploads_fit = usage.uploads < bound * UPLOAD_SHARE * share
            return usage.requests < bound * share and (uploads_fit or not is_upload)

        return self._relieve(is_one_left, account, now_s, lambda other: other.requests)

    def _make_room(self, account, size_bytes, limit_bytes, now_s):
        """Return whether an account may grow; others may be closed for it."""

        def fits(usage, share):
            return usage.held_bytes + size_bytes <= limit_bytes * share

        return self._relieve(fits, account, now_s)

    def _relieve(self, is_within, growing, now_s, may_help=lambda account: True):
        """Return whether a bound is kept, after closing what it takes to keep it.

        ``is_within(usage, share)`` tells whether a part of the bound is kept.
        Connections that wait for their callers are closed, the most costly ones first:
        the cost is the product of memory and time. Those that cost less than the
        growing account, which may wait for its caller as well, are left alone. If
        closing all others wouldn't do, none is closed.
        """
        if is_within(self, 1.0):
            return True
        own_cost = _cost(growing, now_s) if growing is not None else 0.0
        costs = {
            account: _cost(account, now_s)
            for account in self._accounts
            if account is not growing
            and account.waits_s(now_s) is not None
            and may_help(account)
        }
        usage = _Usage(self.held_bytes, self.connections, self.requests, self.uploads)
        chosen = []
        for account in sorted(costs, key=costs.get, reverse=True):
            is_stalled = account.waits_s(now_s) >= STALLED_S
            enough_share = RELIEVED_SHARE if is_stalled else 1.0
            if costs[account] < own_cost or is_within(usage, enough_share):
                break
            chosen.append(account)
            usage = usage.without(account)
        if not is_within(usage, 1.0):
            return False
        for account in chosen:
            self.disconnect(account)
            self.closed_count += 1
            self.close(account)
        return True


@attrs.frozen
class _Usage:
    """How much of the bounds is in use."""

    held_bytes: int
    connections: int
    requests: int
    uploads: int

    def without(self, account):
        """Return the usage after a connection was closed."""
        return _Usage(
            self.held_bytes - account.held_bytes,
            self.connections - 1,
            self.requests - account.requests,
            self.uploads - account.uploads,
        )


def _cost(account, now_s):
    waits_s = account.waits_s(now_s)
    return account.held_bytes * (account.read_wait_s if waits_s is None else waits_s)
