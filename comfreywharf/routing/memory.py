"""The answers that a key's owner remembers, so that a resend isn't run again.

A request is identified by its service, the hash of its key and its request id.
While it runs, a resend has to wait; afterwards a resend gets the remembered
answer. The memory is bounded in entries, bytes and age. It records since when
it is complete: if a request may have been sent before that time and its id isn't
remembered, it can't be ruled out that the request ran already.
"""

import itertools
from collections import OrderedDict
from enum import Enum, auto

import attrs
import xxhash

from comfreywharf.routing.outcomes import Outcome

__all__ = [
    "Answer",
    "AnswerMemory",
    "BeginResult",
    "BeginStatus",
    "KeptAnswer",
    "MemoryLimits",
    "RequestKey",
    "resend_fingerprint",
]

ENTRY_BYTES = 400
HEADER_BYTES = 200
"""Approximate memory in bytes of an entry and of each header, without the body."""

_ALWAYS = float("-inf")

_BUCKET_SHIFT = 53
"""Divides the 63-bit hashes into 1,024 buckets, so that the entries of a slice are
found without a scan of the whole memory."""


@attrs.frozen(kw_only=True)
class MemoryLimits:
    """Bounds of an `AnswerMemory`.

    ``age_s`` is for how long after its completion a request can be resent. A longer
    body than ``body_bytes`` isn't kept. ``page_bytes`` is the size of the pages in
    which the answers are transferred to another owner.
    """

    entries: int = 100_000
    total_bytes: int = 48 << 20
    body_bytes: int = 64 << 10
    age_s: float = 30.0
    page_bytes: int = 200 << 10


@attrs.frozen(cache_hash=True)
class RequestKey:
    """The identity of a request, which a resend shares."""

    service: str
    key_hash: int
    request_id: str


@attrs.frozen(kw_only=True)
class Answer:
    """The result of a request; ``headers`` are those of the IDL, in their order."""

    outcome: Outcome
    status: int
    headers: list
    body: bytes
    reason: str = ""
    body_kept: bool = True


@attrs.frozen
class KeptAnswer:
    """A remembered request, as it is transferred to another owner of its key.

    An entry with an empty ``request_id`` describes the list itself: the sender's
    memory is complete only for the last ``age_s`` seconds.
    """

    request_id: str
    key_hash: int
    fingerprint: int
    answer: Answer
    age_s: float


@attrs.define
class _Entry:
    fingerprint: int
    answer: Answer
    finished_s: float
    size_bytes: int


class BeginStatus(Enum):
    """Whether a request that arrives may run, and if not, why.

    ``FIRST``: it may run; ``RUNNING``: the same request is running; ``KNOWN``: its
    answer is remembered; ``NOT_VOUCHED``: it may have run before the memory was
    complete; ``REUSED``: another request has the same id.
    """

    FIRST = auto()
    RUNNING = auto()
    KNOWN = auto()
    NOT_VOUCHED = auto()
    REUSED = auto()


@attrs.frozen
class BeginResult:
    """A `BeginStatus`, and the answer if it is `BeginStatus.KNOWN`."""

    begin_status: BeginStatus
    answer: Answer | None = None


_FIRST = BeginResult(BeginStatus.FIRST)
_RUNNING = BeginResult(BeginStatus.RUNNING)
_NOT_VOUCHED = BeginResult(BeginStatus.NOT_VOUCHED)
_REUSED = BeginResult(BeginStatus.REUSED)


def resend_fingerprint(method, path, body):
    """Return a 63-bit digest of a request's method, path and body.

    A request id that is used with another fingerprint is a caller's mistake, and
    the remembered answer doesn't belong to that request. ``body`` is empty for a
    streamed body.
    """
    digest = xxhash.xxh3_64(f"{method} {path}\n".encode("latin-1"))
    digest.update(body)
    return digest.intdigest() >> 1


class AnswerMemory:
    """Remember request ids and answers, within bounds.

    >>> memory = AnswerMemory(MemoryLimits())
    >>> key = RequestKey("booking", 7, "a")
    >>> begin = dict(mark=1, first_sent_s=0.0, memory_complete_since_s=-1.0, now_s=0.0)
    >>> memory.begin(key, **begin).begin_status
    <BeginStatus.FIRST: 1>
    >>> memory.begin(key, **begin).begin_status
    <BeginStatus.RUNNING: 2>
    """

    def __init__(self, limits):
        self._limits = limits
        self._running = {}
        self._done = OrderedDict()
        self._buckets = {}
        self._size_bytes = 0
        self._complete_since_s = {}
        self._snapshots = {}

    @property
    def limits(self):
        """Return the bounds."""
        return self._limits

    def __len__(self):
        return len(self._done) + len(self._running)

    @property
    def size_bytes(self):
        """Return the approximate size of the finished entries in bytes."""
        return self._size_bytes

    def begin(self, key, *, mark, first_sent_s, memory_complete_since_s, now_s):
        """Return whether a request may run, and record it as running if so.

        ``mark`` is its `resend_fingerprint`, by which it is compared with an earlier
        request of the same id. ``first_sent_s`` is the earliest time at which its
        caller may have sent it for the first time, or ``None`` if this is the
        first send, so that nothing can have run. ``memory_complete_since_s``
        is the time since when this node, as the key's owner, is known to
        remember all requests for the key.
        """
        self._expire(now_s)
        running_mark = self._running.get(key)
        if running_mark is not None:
            return _RUNNING if running_mark == mark else _REUSED
        entry = self._done.get(key)
        if entry is not None:
            if entry.fingerprint != mark:
                return _REUSED
            return BeginResult(BeginStatus.KNOWN, entry.answer)
        if first_sent_s is not None:
            complete_since_s = self._complete_since_s.get(key.service, _ALWAYS)
            # A resend of a request that ran before entries were lost looks
            # like a new request. Running it again would cause two effects
            # under one request id, for instance two bookings.
            if first_sent_s <= max(complete_since_s, memory_complete_since_s):
                return _NOT_VOUCHED
        self._running[key] = mark
        return _FIRST

    def finish(self, key, answer, now_s):
        """Remember the answer of a running request."""
        mark = self._running.pop(key, None)
        if mark is not None:
            self._keep(key, mark, answer, now_s)
            self._shrink()

    def forget(self, key):
        """Remove a request that is proven not to have run and not to run later."""
        self._running.pop(key, None)
        if key in self._done:
            self._drop(key)

    def export_answers(self, service, start, end, skip, now_s):
        """Return ``(answers, more)``: one page of the answers in a range of hashes.

        They are transferred to another owner, and remain in this memory as well.
        ``skip`` is how many answers earlier pages had; ``more`` is whether others
        follow. The first page (``skip`` of zero) fixes the list, so that later
        pages neither miss nor repeat an entry while others expire.
        """
        self._expire(now_s)
        if skip == 0:
            self._snapshots[service, start] = self._range(service, start, end, now_s)
        whole = self._snapshots.get((service, start), [])
        page = []
        size_bytes = 0
        for answer in itertools.islice(whole, skip, None):
            size_bytes += _size_bytes(answer.answer)
            if page and size_bytes > self._limits.page_bytes:
                break
            page.append(answer)
        more = skip + len(page) < len(whole)
        if not more:
            self._snapshots.pop((service, start), None)
        return page, more

    def import_answers(self, service, answers, now_s):
        """Add the answers that another owner remembered."""
        for kept in answers:
            finished_s = now_s - kept.age_s
            if not kept.request_id:
                self._mark_incomplete_until(service, finished_s)
                continue
            key = RequestKey(service, kept.key_hash, kept.request_id)
            if key not in self._done:
                self._keep(key, kept.fingerprint, kept.answer, finished_s)
        self._shrink()

    def _range(self, service, start, end, now_s):
        found = []
        if service in self._complete_since_s:
            age_s = now_s - self._complete_since_s[service]
            found.append(KeptAnswer("", start, 0, _NO_ANSWER, age_s))
        for bucket in range(start >> _BUCKET_SHIFT, ((end - 1) >> _BUCKET_SHIFT) + 1):
            for key, entry in self._buckets.get((service, bucket), {}).items():
                if start <= key.key_hash < end:
                    found.append(_to_kept_answer(key, entry, now_s))
        return found

    def _keep(self, key, mark, answer, finished_s):
        if len(answer.body) > self._limits.body_bytes:
            answer = attrs.evolve(answer, body=b"", body_kept=False)
        size_bytes = _size_bytes(answer)
        entry = _Entry(mark, answer, finished_s, size_bytes)
        self._done[key] = entry
        self._buckets.setdefault(_bucket(key), {})[key] = entry
        self._size_bytes += size_bytes

    def _drop(self, key):
        entry = self._done.pop(key)
        bucket_id = _bucket(key)
        bucket = self._buckets[bucket_id]
        del bucket[key]
        if not bucket:
            del self._buckets[bucket_id]
        self._size_bytes -= entry.size_bytes
        return entry

    def _expire(self, now_s):
        oldest_s = now_s - self._limits.age_s
        while self._done:
            key = next(iter(self._done))
            if self._done[key].finished_s >= oldest_s:
                return
            self._evict(key)

    def _shrink(self):
        limits = self._limits
        while len(self._done) > limits.entries or self._size_bytes > limits.total_bytes:
            self._evict(next(iter(self._done)))

    def _evict(self, key):
        # An evicted id can't be distinguished from a new one. The memory is
        # therefore no longer complete for requests of this service that may be
        # as old as the evicted one.
        entry = self._drop(key)
        self._mark_incomplete_until(key.service, entry.finished_s)

    def _mark_incomplete_until(self, service, finished_s):
        before_s = self._complete_since_s.get(service, finished_s)
        self._complete_since_s[service] = max(before_s, finished_s)


def _size_bytes(answer):
    return ENTRY_BYTES + HEADER_BYTES * len(answer.headers) + len(answer.body)


def _bucket(key):
    return key.service, key.key_hash >> _BUCKET_SHIFT


_NO_ANSWER = Answer(outcome=Outcome.UNKNOWN, status=0, headers=[], body=b"")


def _to_kept_answer(key, entry, now_s):
    return KeptAnswer(
        request_id=key.request_id,
        key_hash=key.key_hash,
        fingerprint=entry.fingerprint,
        answer=entry.answer,
        age_s=now_s - entry.finished_s,
    )
