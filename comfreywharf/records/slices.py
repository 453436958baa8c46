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
"""The hash space; 63 bits, so that a hash fits thrift's signed integer."""


NUMBER_KEYS = 1 << 16
"""How many keys a service has that is divided by numbers."""

_NUMBER_SHIFT = 47
_NUMBER_MARK = b"\0number"
"""Begins the key of a number. No header of a caller can hold a NUL, so that no
other key looks like one."""


def number_key(number):
    """Return the key of a number from 0 to 65,535.

    Such keys aren't hashed: neighbours stay neighbours, so that a run of numbers
    lies in one slice and can be granted to a backend server at once.

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
    """Return the hashes of the numbers from first to last: start, and end behind them.

    >>> numbers_in(*range_of_numbers(7, 9))
    (7, 9)
    """
    return first << _NUMBER_SHIFT, (last + 1) << _NUMBER_SHIFT


def key_hash(key):
    """Return where a key (bytes) lies in the hash space.

    A number lies one above the lower end of its part of the space: a hash of
    zero stands for a request without a key.
    """
    if key.startswith(_NUMBER_MARK):
        number = int.from_bytes(key[len(_NUMBER_MARK) :], "big")
        return (number << _NUMBER_SHIFT) + 1
    return xxhash.xxh3_64_intdigest(key) >> 1


@attrs.frozen(kw_only=True)
class Slice:
    """A range of hashes ``start <= hash < end`` and who owns it.

    ``epoch`` is the offset of the record that last changed it. ``previous`` is
    the earlier owner while its release is still awaited: the new owner serves
    only after that release, or after a lapse of the earlier owner's lease.
    """

    start: int
    end: int
    owner: str = ""
    standby: str = ""
    epoch: int = -1
    previous: str = ""


@attrs.define
class SliceMap:
    """All slices of one service, ordered, without gap or overlap."""

    slices: list[Slice]
    _starts: list[int] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self):
        self.index()

    def index(self):
        """Note where each slice starts, after ``slices`` was filled."""
        self._starts = [piece.start for piece in self.slices]

    @classmethod
    def divide(cls, count, epoch):
        """Return ``count`` slices of equal width, owned by nobody."""
        bounds = [index * KEY_SPACE // count for index in range(count + 1)]
        return cls(
            [
                Slice(start=start, end=end, epoch=epoch)
                for start, end in zip(bounds, bounds[1:], strict=False)
            ]
        )

    def at_hash(self, value):
        """Return the slice that holds a hash."""
        return self.slices[bisect_right(self._starts, value) - 1]

    def at_start(self, start):
        """Return the slice that starts exactly there, or ``None``."""
        index = bisect_right(self._starts, start) - 1
        if index < 0 or self._starts[index] != start:
            return None
        return self.slices[index]

    def replace(self, piece):
        """Put a slice in the place of the one with the same start."""
        self.slices[self._index(piece.start)] = piece

    def split(self, start, at, epoch):
        """Divide the slice at ``start``; both parts keep owner and standby."""
        index = self._index(start)
        whole = self.slices[index]
        left = attrs.evolve(whole, end=at, epoch=epoch)
        right = attrs.evolve(whole, start=at, epoch=epoch)
        self.slices[index : index + 1] = [left, right]
        self._starts.insert(index + 1, at)

    def merge(self, start, epoch):
        """Join the slice at ``start`` with the next one."""
        index = self._index(start)
        left, right = self.slices[index : index + 2]
        self.slices[index : index + 2] = [
            attrs.evolve(left, end=right.end, epoch=epoch)
        ]
        del self._starts[index + 1]

    def next_after(self, start):
        """Return the slice behind the one that starts there, or ``None``."""
        index = self._index(start) + 1
        return self.slices[index] if index < len(self.slices) else None

    def _index(self, start):
        return bisect_right(self._starts, start) - 1
