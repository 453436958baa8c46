"""The time line: order, gaps, spans, and pages for any events."""

import json
from html.parser import HTMLParser
from itertools import pairwise

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf.events import EventClock
from comfreywharf.events.tests.builders import NodeEvents, incident_events, make_event
from comfreywharf.events.timeline import (
    MISSING,
    SpanState,
    from_json,
    merge,
    ownership_spans,
    render_html,
    render_json,
    render_text,
)

# Steps of three nodes: (sender, receiver) is a message, (node, node) a local event.
STEPS = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=40)
OFFSETS = st.tuples(*[st.integers(-2000, 2000)] * 3)


@settings(derandomize=True, deadline=None)
@given(steps=STEPS, offsets_ms=OFFSETS, data=st.data())
def test_no_event_precedes_its_cause(steps, offsets_ms, data):
    """The receipt of a message follows its sending for any offsets of wall clocks."""
    clocks = [EventClock() for _ in offsets_ms]
    rings = [[], [], []]
    causes = []

    def add_event(node, at_ms):
        sequence = len(rings[node]) + 1
        clock = clocks[node].tick(10_000 + at_ms + offsets_ms[node])
        event = make_event("lease_healed", node_id=f"n-{node}", sequence=sequence)
        rings[node].append(attrs.evolve(event, clock=clock))
        return rings[node][-1]

    for at_ms, (sender, receiver) in enumerate(steps):
        sent = add_event(sender, at_ms)
        if sender != receiver:
            now_ms = 10_000 + at_ms + offsets_ms[receiver]
            clocks[receiver].merge(sent.clock, now_ms)
            causes.append((sent, add_event(receiver, at_ms)))
    merged = merge(data.draw(st.permutations(rings + [rings[0][:3]])))
    assert len(merged) == sum(len(ring) for ring in rings)
    for cause, effect in causes:
        assert merged.index(cause) < merged.index(effect)
    for ring in rings:
        positions = [merged.index(event) for event in ring]
        assert positions == sorted(positions)


def test_a_corrected_clock_keeps_the_order_of_a_node():
    """The order of a node's own events is kept when its clock steps back.

    The machine's clock is an hour ahead and is corrected. Sorted by their times
    alone, a lease would expire before it started.
    """
    ring = NodeEvents("booking-1")
    ring.add("lease_started", at_ms=3_600_000, offset=4)
    ring.add("lease_lapsed", at_ms=20)
    other = NodeEvents("booking-2")
    other.add("lease_healed", at_ms=500)
    names = [event.name for event in merge([ring.events, other.events])]
    assert names == ["lease_started", "lease_lapsed", "lease_healed"]


def test_dropped_events_are_shown_as_a_gap():
    """The time line shows how many events a ring dropped."""
    events = incident_events(4)[0]
    kept = [events[0], *events[3:]]
    gaps = [event for event in merge([kept]) if event.name == MISSING]
    assert [gap.fields["count"] for gap in gaps] == [2]
    assert "2 events fell out" in render_text(merge([kept]))
    assert "events missing" in render_html(merge([kept]))


def test_events_of_two_incarnations_are_kept():
    """A restarted node numbers its events from 1 again, and none is lost by that."""
    runs = [NodeEvents("booking-1", incarnation=number) for number in (1, 2)]
    for run in runs:
        run.add("lease_healed", at_ms=run.incarnation)
    assert len(merge([run.events for run in runs])) == 2


def test_a_takeover_ends_the_span_of_a_killed_owner():
    """A takeover ends the span of a killed owner, which can't report its loss.

    If only the owner's own events ended its spans, the picture would show two
    nodes that serve the same keys after the standby took over.
    """
    spans = ownership_spans(merge(incident_events(4)))
    killed = [span for span in spans if span.node_id == "booking-2"]
    assert [span.state for span in killed][1:] == [
        SpanState.SERVING,
        SpanState.WAITING,
    ]
    taken = next(span for span in spans if span.state == SpanState.CLAIMED)
    assert (taken.node_id, taken.count) == ("booking-1", 5)
    assert killed[1].end_ms <= taken.start_ms
    for earlier, later in pairwise(killed):
        assert earlier.end_ms <= later.start_ms


class _TagChecker(HTMLParser):
    """Track the open tags, and collect those that load resources or run scripts."""

    VOID = frozenset({"meta", "tr", "td", "th"})

    def __init__(self):
        super().__init__()
        self.open = []
        self.external = []

    def handle_starttag(self, tag, attributes):
        if tag not in self.VOID:
            self.open.append(tag)
        names = {name for name, _ in attributes}
        if tag in ("script", "img", "link") or names & {"src", "href", "onclick"}:
            self.external.append(tag)

    def handle_endtag(self, tag):
        if tag not in self.VOID:
            assert self.open.pop() == tag


@pytest.mark.parametrize("nodes", [3, 10, 100])
def test_the_page_is_self_contained_and_complete(nodes):
    """The page is well-formed, needs no network, and has all nodes and events."""
    events = merge(incident_events(nodes))
    page = render_html(events)
    checker = _TagChecker()
    checker.feed(page)
    assert (checker.open, checker.external) == ([], [])
    assert f"{len(events)} events of {nodes} nodes in 3 failure domains" in page
    assert all(f">booking-{number + 1}</text>" in page for number in range(nodes))


def test_markup_in_events_is_escaped():
    """Markup in node ids, failure domains and fields is escaped."""
    markup_event = make_event(
        "lease_surrendered", node_id="<script>", reason="</pre><b>"
    )
    page = render_html(merge([[markup_event]]), domains={"<script>": "<i>"})
    assert "<script" not in page
    assert "<i>" not in page
    assert "</pre><b>" not in page


def test_events_round_trip_through_json():
    """Events survive the round trip through JSON; an empty list is no error.

    Documents that aren't events raise `ValueError`.
    """
    events = merge(incident_events(5))
    assert from_json(json.loads(render_json(events))) == events
    assert render_text([]) == "no events\n"
    assert render_html([]).endswith("</html>\n")
    with pytest.raises(ValueError, match="no events"):
        from_json([{"name": "lease_lapsed"}])
