"""Clock offsets are estimated within their stated uncertainty."""

from hypothesis import given, settings, strategies as st

from comfreywharf.cli.clocks import ClockReading, clock_offsets

delays = st.floats(0, 1000)


@given(
    st.lists(
        st.tuples(st.integers(-5000, 5000), delays, delays), min_size=1, max_size=5
    )
)
@settings(derandomize=True, deadline=None)
def test_true_offsets_lie_within_the_uncertainty(clocks):
    """The bounds hold even if query and answer take different times."""
    readings = [
        ClockReading(
            node_id=str(number),
            sent_ms=100.0,
            received_ms=100.0 + query_delay_ms + answer_delay_ms,
            clock_ms=100.0 + query_delay_ms + ahead,
        )
        for number, (ahead, query_delay_ms, answer_delay_ms) in enumerate(clocks)
    ]
    estimates = clock_offsets(readings)
    for (ahead, *_), estimate in zip(clocks, estimates, strict=True):
        for (other_ahead, *_), other in zip(clocks, estimates, strict=True):
            error = (estimate.offset_ms - other.offset_ms) - (ahead - other_ahead)
            bound = estimate.uncertainty_ms + other.uncertainty_ms
            assert abs(error) <= bound + 1e-6
