"""The division of a service's keys into slices of the hash space."""

from bisect import bisect_right

import attrs
import xxhash

__all__ = [
    "KEY_SPACE",
    "NUMBER_KEYS",
    "Slice",
    "SliceMap",
    "key_hash",
    "number_key",
    "numbers_in",
    "range_of_numbers",
]

KEY_SPACE = 1 << 63
"""The size of the hash space: 63 bits, so that a hash fits thrift's signed i64."""


NUMBER_KEYS = 1 << 16
"""How many keys a service has that is divided by number."""

_NUMBER_SHIFT = 47
_NUMBER_MARK = b"\0number"
"""The prefix of the key of a number. It has a NUL, which no caller's header can
contain, so no other key has this prefix."""


def number_key(number):
    """Return the key of a number from 0 to 65,535.

    Such keys aren't hashed: adjacent numbers are adjacent in the hash space, so
    that a range of numbers is in one slice and can be granted to a backend server
    by a single grant.

    >>> numbers_in(key_hash(number_key(7)), key_hash(number_key(9)))
    (7, 8)
    """
    return _NUMBER_MARK + number.to_bytes(2, "big")


def numbers_in(start, end):
    """Return the first and last number in a range of hashes, or ``None``."""
    first = max(0, -((1 - start) >> _NUMBER_SHIFT))
    last = -((1 - end) >> _NUMBER_SHIFT) - 1
    return (first, last) if first <= last else None


def range_of_numbers(first, last):
    """Return the range of hashes, ``(start, end)``, of the numbers first to last.

    >>> numbers_in(*range_of_numbers(7, 9))
    (7, 9)
    """
    return first << _NUMBER_SHIFT, (last + 1) << _NUMBER_SHIFT


def key_hash(key):
    """Return the position of a key (bytes) in the hash space.

    The position of a number is one above the start of its part of the space,
    since a hash of zero means a request without a key.
    """
    if key.startswith(_NUMBER_MARK):
        number = int.from_bytes(key[len(_NUMBER_MARK) :], "big")
        return (number << _NUMBER_SHIFT) + 1
    return xxhash.xxh3_64_intdigest(key) >> 1


@attrs.frozen(kw_only=True)
class Slice:
    """A range of hashes ``start <= hash < end`` and its owner.

    ``epoch`` is the offset of the record that last changed it. ``previous`` is
    the earlier owner while its release is still awaited: the new owner serves
    only after that release, or after the earlier owner's lease has expired.
    """

    start: int
    end: int
    owner: str = ""
    standby: str = ""
    epoch: int = -1
    previous: str = ""


@attrs.define
class SliceMap:
    """All slices of one service, in order, without gaps or overlaps."""

    slices: list[Slice]
    _starts: list[int] = attrs.field(init=False, eq=False, repr=False)
    _by_node: dict | None = attrs.field(init=False, eq=False, repr=False, default=None)

    def __attrs_post_init__(self):
        self.index()

    def index(self):
        """Rebuild the index of starts after ``slices`` was filled."""
        self._starts = [slice_.start for slice_ in self.slices]
        self._by_node = None

    @classmethod
    def divide(cls, count, epoch):
        """Return ``count`` slices of equal width, without owners."""
        bounds = [index * KEY_SPACE // count for index in range(count + 1)]
        return cls(
            [
                Slice(start=start, end=end, epoch=epoch)
                for start, end in zip(bounds, bounds[1:], strict=False)
            ]
        )

    def at_hash(self, value):
        """Return the slice that contains a hash."""
        return self.slices[bisect_right(self._starts, value) - 1]

    def at_start(self, start):
        """Return the slice that starts exactly at ``start``, or ``None``."""
        index = bisect_right(self._starts, start) - 1
        if index < 0 or self._starts[index] != start:
            return None
        return self.slices[index]

    def involving(self, node_id):
        """Return, in order, the slices that a node owns, stands by for or releases.

        The cost follows their number, and not that of all slices of the service.
        """
        if self._by_node is None:
            self._by_node = {}
            self._add_to_index(*self.slices)
        starts = sorted(self._by_node.get(node_id, ()))
        return [self.slices[self._index(start)] for start in starts]

    def _add_to_index(self, *slices):
        if self._by_node is None:
            return
        for slice_ in slices:
            for node_id in (slice_.owner, slice_.standby, slice_.previous):
                if node_id:
                    self._by_node.setdefault(node_id, set()).add(slice_.start)

    def _drop_from_index(self, *slices):
        if self._by_node is None:
            return
        for slice_ in slices:
            for node_id in (slice_.owner, slice_.standby, slice_.previous):
                if node_id:
                    self._by_node[node_id].discard(slice_.start)

    def replace(self, slice_):
        """Replace the slice that has the same start."""
        index = self._index(slice_.start)
        self._drop_from_index(self.slices[index])
        self._add_to_index(slice_)
        self.slices[index] = slice_

    def split(self, start, at, epoch):
        """Split the slice at ``start``; both parts keep its owner and standby."""
        index = self._index(start)
        whole = self.slices[index]
        left = attrs.evolve(whole, end=at, epoch=epoch)
        right = attrs.evolve(whole, start=at, epoch=epoch)
        self.slices[index : index + 1] = [left, right]
        self._starts.insert(index + 1, at)
        self._add_to_index(right)

    def merge(self, start, epoch):
        """Merge the slice at ``start`` with the next one."""
        index = self._index(start)
        left, right = self.slices[index : index + 2]
        self._drop_from_index(right)
        self.slices[index : index + 2] = [
            attrs.evolve(left, end=right.end, epoch=epoch)
        ]
        del self._starts[index + 1]

    def next_after(self, start):
        """Return the slice after the one that starts at ``start``, or ``None``."""
        index = self._index(start) + 1
        return self.slices[index] if index < len(self.slices) else None

    def _index(self, start):
        return bisect_right(self._starts, start) - 1
