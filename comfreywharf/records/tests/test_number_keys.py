"""Tests that keys which are numbers keep their order in the hash space."""

from hypothesis import given, strategies as st

from comfreywharf.records import (
    KEY_SPACE,
    NUMBER_KEYS,
    SliceMap,
    key_hash,
    number_key,
    numbers_in,
)

NUMBERS = st.integers(0, NUMBER_KEYS - 1)


@given(st.integers(1, 300), NUMBERS)
def test_each_number_is_in_the_range_of_its_slice(count, number):
    """A grant of a slice's range covers exactly the keys that are routed to it."""
    slice_ = SliceMap.divide(count, 0).at_hash(key_hash(number_key(number)))
    first, last = numbers_in(slice_.start, slice_.end)
    assert first <= number <= last


@given(st.lists(st.integers(1, KEY_SPACE - 1), max_size=20, unique=True))
def test_ranges_of_any_division_neither_overlap_nor_leave_a_gap(bounds):
    """However the hash space is split, no two slices grant the same number."""
    bounds = [0, *sorted(bounds), KEY_SPACE]
    ranges = [
        found
        for start, end in zip(bounds, bounds[1:], strict=False)
        if (found := numbers_in(start, end)) is not None
    ]
    numbers = [n for first, last in ranges for n in (first, last + 1)]
    assert numbers[0] == 0 and numbers[-1] == NUMBER_KEYS
    assert numbers[1:-1:2] == numbers[2::2]


@given(NUMBERS)
def test_a_slice_of_width_one_contains_a_single_number(number):
    """The planner isolates a hot key in a slice of width one."""
    value = key_hash(number_key(number))
    assert numbers_in(value, value + 1) == (number, number)
    assert value > 0
