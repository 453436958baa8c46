"""Colours and shapes of the picture of a time line."""

from comfreywharf.events.catalogue import Severity

__all__ = [
    "CLAIM_COLOUR",
    "CROSS",
    "MARKER_COLOURS",
    "box",
    "patterns",
    "service_colour",
    "severity_shape",
]

PALETTE = ("#2f6f9f", "#4d8b57", "#7a5ea8", "#b0702a", "#2f8f8f", "#9c4f6f")
MARKER_COLOURS = {
    Severity.INFO: "#829ab1",
    Severity.WARNING: "#f0a30a",
    Severity.ERROR: "#d0312d",
}
CLAIM_COLOUR = "#e0662f"

CROSS = (
    f'<path d="M2 -5l9 10m0 -10l-9 10" stroke="{MARKER_COLOURS[Severity.ERROR]}" '
    'stroke-width="2.5"/>'
)


def patterns(services):
    """Return the hatched fills, one for each service and one for gaps."""
    colours = {f"wait{i}": service_colour(i) for i in range(len(services))}
    colours |= {"gap": "#52606d", "wait": "#52606d"}
    hatches = "".join(
        f'<pattern id="{name}" width="6" height="6" patternUnits="userSpaceOnUse" '
        f'patternTransform="rotate(45)"><rect width="6" height="6" fill="#fff" '
        f'fill-opacity=".6"/><rect width="2" height="6" fill="{colour}" '
        f'fill-opacity=".55"/></pattern>'
        for name, colour in colours.items()
    )
    arrow = (
        '<marker id="arrow" viewBox="0 0 6 6" refX="5" refY="3" markerWidth="5" '
        'markerHeight="5" orient="auto"><path d="M0 0L6 3L0 6z" fill="#52606d"/>'
        "</marker>"
    )
    return f"<defs>{hatches}{arrow}</defs>"


def service_colour(index):
    """Return the colour of a service, by its number."""
    return PALETTE[index % len(PALETTE)]


def box(fill):
    """Return the symbol of a bar for the legend."""
    return f'<rect x="0" y="-6" width="13" height="12" rx="2" fill="{fill}"/>'


def severity_shape(severity, x, y, size):
    """Return a dot, a triangle or a diamond.

    The shapes make severities distinguishable without their colours.
    """
    colour = MARKER_COLOURS[severity]
    if severity == Severity.INFO:
        return f'<circle cx="{x}" cy="{y}" r="{size}" fill="{colour}"/>'
    if severity == Severity.WARNING:
        path = f"M{x} {y - size}l{size} {size * 1.7}h{-2 * size}z"
    else:
        path = f"M{x} {y - size}l{size} {size}l{-size} {size}l{-size} {-size}z"
    return f'<path d="{path}" fill="{colour}" stroke="#fff" stroke-width=".7"/>'
