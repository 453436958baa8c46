"""Calls to the platform's store for a fleet that starts, and one at rest.

The nodes run as greenlets of this process, against the stand-ins for the store and
for the backend servers.
"""

import tempfile
from pathlib import Path

import gevent

from comfreywharf.platform.tests.builders import Deployment
from comfreywharf_dev.bench.figures import Figure

__all__ = ["run"]

SIZES = (10, 20, 40)
REST_S = 5.0
OTHER_SERVICE_EVERY = 5


def run(sizes=SIZES):
    """Return the calls a node until all keys are held, and a second after that."""
    starts, rests = [], []
    for size in sizes:
        start, rest_per_s = _calls(size)
        starts.append((size, start / size))
        rests.append((size, rest_per_s))
    return [
        Figure(
            name="start_calls",
            value=starts[-1][1],
            unit="calls/node",
            points=tuple(starts),
        ),
        Figure(
            name="rest_calls", value=rests[-1][1], unit="calls/s", points=tuple(rests)
        ),
    ]


def _calls(size):
    services = [
        "stock" if number % OTHER_SERVICE_EVERY == 0 else "booking"
        for number in range(size)
    ]
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder), services=services) as deployment,
    ):
        start = deployment.store.calls
        gevent.sleep(REST_S)
        return start, (deployment.store.calls - start) / REST_S
