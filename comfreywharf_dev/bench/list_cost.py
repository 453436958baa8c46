"""Cost of a heartbeat and of the list of ranges in its answer, by number of ranges.

Adjacent ranges have different fences, so that each has its own row of the list. For the
figures with ``_alike`` all ranges have the same fence and are adjacent.
"""

import time

import orjson

from comfreywharf.ownership.hold_lists import HoldLists, HoldReport, Serving
from comfreywharf.ownership.holds import HoldTerms
from comfreywharf.ownership.listed_holds import ListedHoldBook
from comfreywharf.platform.announcements import read_heartbeat
from comfreywharf.platform.heartbeats import HOLD_LIST_LIMIT, hold_list_fields
from comfreywharf.records import Slice, range_of_numbers
from comfreywharf_dev.bench.figures import Figure

__all__ = ["run"]

SIZES = (20, 200, 2000)
RANGE_WIDTH = 32
HEARTBEATS = 20
LEASE_S = 2.0
INTERVAL_S = 0.87
HEARTBEAT = {
    "service": "booking",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemaining": "0ms",
    "sequence": 4,
    "born": 1_000,
    "released": [],
}


def run():
    """Answer heartbeats of servers for each number of ranges; return the figures."""
    figures = []
    for size in SIZES:
        for name, fences in (("", 2), ("_alike", 1)):
            spent_s, length = _measure(size, fences)
            label = f"{size}{name}"
            value = 1000 * spent_s / HEARTBEATS
            figures.append(Figure(name=f"answer_{label}", value=value, unit="ms"))
            figures.append(Figure(name=f"bytes_{label}", value=length, unit="bytes"))
    return figures


def _measure(size, fences):
    """Return the processor time of all heartbeats, and the size of the last answer."""
    lists = HoldLists(ListedHoldBook(HoldTerms(lease_s=LEASE_S, longest_s=10.0)))
    lists.capacity = HOLD_LIST_LIMIT
    held, answer = [], b""
    began_s = time.process_time()
    for number in range(HEARTBEATS):
        now_s = number * INTERVAL_S
        body = orjson.dumps({**HEARTBEAT, "holds": held})
        heartbeat = read_heartbeat("i-1", body)
        report = HoldReport(
            service="booking", connection="c", arrived_s=now_s, held=heartbeat.held
        )
        lists.receive(report, now_s)
        serving = _serving(size, fences, now_s + LEASE_S)
        fields = hold_list_fields(lists.decide(report, serving, now_s))
        held = [row[:3] for row in fields["holds"]]
        answer = orjson.dumps(fields)
    return time.process_time() - began_s, len(answer)


def _serving(size, fences, until_s):
    served = []
    for index in range(size):
        start, end = range_of_numbers(
            index * RANGE_WIDTH, (index + 1) * RANGE_WIDTH - 1
        )
        slice_ = Slice(start=start, end=end, owner="a")
        served.append(("booking", slice_, 10 + index % fences, until_s))
    return Serving(served=tuple(served), pending=(), lease_until_s=until_s)
