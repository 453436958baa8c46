"""Strategies for services, for tests of declarations."""

from hypothesis import strategies as st

from comfreywharf.records import ServiceConfig
from comfreywharf.records.validation import MAX_BODY_BYTES, MAX_SLICES

__all__ = ["configurations", "services"]

names = st.from_regex(r"[a-z][a-z0-9_.-]{0,10}", fullmatch=True)


@st.composite
def services(draw, name=names):
    """Draw a valid service."""
    longest_ms = draw(st.integers(1, 3_600_000))
    return ServiceConfig(
        name=draw(name),
        divided_by_key=draw(st.booleans()),
        slices=draw(st.integers(1, MAX_SLICES)),
        default_timeout_ms=draw(st.integers(1, longest_ms)),
        longest_request_ms=longest_ms,
        unavailable_weight=draw(st.floats(0, 1000)),
        churn_weight=draw(st.floats(0.001, 1000)),
        queue_length=draw(st.integers(0, 100_000)),
        retry_fraction=draw(st.floats(0, 1)),
        max_body_bytes=draw(st.integers(0, MAX_BODY_BYTES)),
    )


def configurations(min_size=0):
    """Return a strategy for the services of a configuration, by name."""
    listed = st.lists(
        services(), min_size=min_size, max_size=4, unique_by=lambda s: s.name
    )
    return listed.map(lambda found: {service.name: service for service in found})
