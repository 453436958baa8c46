"""Positions in a log that may come back from an older copy.

Such a log gives offsets out again, and two records of different eras may have the same
one. A position is a number that holds the era and the offset, so that positions only
grow, and so does whatever is derived from them, such as a fence. In the first era,
which is 0, a position is the offset itself.
"""

__all__ = ["MAX_ERA", "era_of", "offset_of", "position"]

OFFSET_BITS = 40
_OFFSET_MASK = (1 << OFFSET_BITS) - 1

MAX_ERA = (1 << 20) - 1
"""With a higher era, a fence would not fit into 63 bits."""


def position(era, offset):
    """Return the position of an offset in an era.

    >>> position(0, 7), position(1, 7) > position(0, 1_000_000)
    (7, True)
    """
    return (era << OFFSET_BITS) + offset


def era_of(position):
    """Return the era of a position."""
    return position >> OFFSET_BITS


def offset_of(position):
    """Return the offset of a position, as the log counts it in that era."""
    return position & _OFFSET_MASK
