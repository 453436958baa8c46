"""The frame of the picture of a time line: lanes, times of day, quiet stretches."""

from html import escape
from itertools import groupby

import attrs

from comfreywharf.events.timeline.scale import TimeScale
from comfreywharf.events.timeline.text import format_time

__all__ = [
    "LABEL_PX",
    "WIDTH",
    "Scale",
    "axis",
    "make_layout",
    "node_names",
    "quiet_columns",
]

WIDTH = 1280
LEFT = 130
RIGHT = 24
TOP = 74
DOMAIN_HEIGHT = 20
LABEL_PX = 34
"""The width of the narrowest bar with its count written inside, in px."""

_TICKS_MS = [
    factor * power for power in (1, 10, 100, 1000, 10_000) for factor in (1, 2, 5)
] + [60_000, 120_000, 300_000, 600_000, 1_800_000, 3_600_000, 21_600_000, 86_400_000]


@attrs.define(kw_only=True)
class Scale:
    """The positions of times and nodes in the picture, in px."""

    time: TimeScale
    rows: dict[str, float]
    row_height: float

    def x(self, at_ms):
        """Return the position of a time."""
        return self.time.x(at_ms)


def make_layout(lanes, times_ms):
    """Return the `Scale`, the bands of the failure domains, and the height in px."""
    row_height = 38 if len(lanes) <= 16 else 24 if len(lanes) <= 40 else 15
    rows, bands, y = {}, [], TOP
    grouped = groupby(lanes, key=lambda lane: lane.failure_domain)
    for index, (domain, members) in enumerate(grouped):
        members = list(members)
        height = DOMAIN_HEIGHT + len(members) * row_height + 6
        fill = "#f5f7fa" if index % 2 == 0 else "#fbfcfd"
        name = escape(domain or "failure domain unknown")
        bands.append(
            f'<rect x="0" y="{y}" width="{WIDTH}" height="{height}" fill="{fill}"/>'
            f'<text class="domain" x="8" y="{y + 14}">{name}</text>'
        )
        y += DOMAIN_HEIGHT
        for lane in members:
            rows[lane.node_id] = y
            y += row_height
        y += 6
    time = TimeScale(times_ms, LEFT, WIDTH - RIGHT)
    scale = Scale(time=time, rows=rows, row_height=row_height)
    return scale, bands, y + 8


def node_names(scale, lanes):
    """Yield the name of each lane's node."""
    for lane in lanes:
        y = scale.rows[lane.node_id]
        middle = round(y + scale.row_height / 2 + 4, 1)
        yield (
            f'<text x="{LEFT - 12}" y="{middle}" text-anchor="end">'
            f"{escape(lane.node_id)}</text>"
        )


def axis(scale, height):
    """Yield vertical lines and their times of day, but none in quiet stretches."""
    time = scale.time
    step_ms = next((t for t in _TICKS_MS if time.shown_ms / t <= 11), _TICKS_MS[-1])
    first_ms = -(-time.start_ms // step_ms) * step_ms
    for at_ms in range(first_ms, time.end_ms + 1, step_ms):
        if time.is_quiet(at_ms):
            continue
        x = scale.x(at_ms)
        yield f'<path d="M{x} {TOP - 6}V{height - 8}" stroke="#d9dfe5"/>'
        if not _overlaps_quiet_label(scale, x):
            text = format_time(at_ms)
            text = text if step_ms < 1000 else text[:-4]
            yield _label(x, text)
    yield f'<text class="faint" x="8" y="{TOP - 11}">UTC</text>'


def _overlaps_quiet_label(scale, x):
    """Return whether a label at ``x`` would overlap that of a quiet stretch."""
    return any(
        scale.x(quiet.start_ms) - LABEL_PX < x < scale.x(quiet.end_ms) + LABEL_PX
        for quiet in scale.time.quiet_stretches
    )


def _label(x, text):
    """Return a label above the lanes."""
    return (
        f'<text class="faint" x="{x}" y="{TOP - 11}" text-anchor="middle">{text}</text>'
    )


def quiet_columns(scale, height):
    """Yield a pale column, labelled with its duration, for each quiet stretch."""
    for quiet in scale.time.quiet_stretches:
        start, end = scale.x(quiet.start_ms), scale.x(quiet.end_ms)
        length_s = (quiet.end_ms - quiet.start_ms) / 1000
        yield (
            f'<rect x="{start}" y="{TOP - 4}" width="{round(end - start, 1)}" '
            f'height="{height - TOP}" fill="#fff" fill-opacity=".78">'
            f"<title>{length_s:.1f} s without events, drawn short</title></rect>"
            + _label(round((start + end) / 2, 1), f"~ {length_s:.0f} s ~")
        )
