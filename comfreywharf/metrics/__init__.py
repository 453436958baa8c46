"""The metrics of a node, and their exposition for Prometheus.

On the request path, metrics are updated by plain arithmetic; only a scrape builds
the collectors of aioprometheus. `render`, which imports that library, is therefore
imported by the first scrape. `families` defines the names; each has a page under
docs/operations/metrics/.
"""

from comfreywharf.metrics.families import FAMILIES, Family, Kind
from comfreywharf.metrics.registry import Gauges, Metrics
from comfreywharf.metrics.unavailable import Outages

__all__ = [
    "FAMILIES",
    "Family",
    "Gauges",
    "Kind",
    "Metrics",
    "Outages",
]
