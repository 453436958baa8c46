"""Placement of slices on backend servers, and election of the planner.

The planner is the node that decides which backend server owns each slice of a
service. `planning.decide` turns load reports and the cluster state that was folded
from the log into moves, splits and merges; `terms.decide` determines when a node
starts a planner's term; `SliceMeter` measures the rates that a node reports.

What only the planner uses isn't imported here: a fleet has one planner, and each node
would load `planning`, `rebalance`, `resize`, `standbys` and `view` at its start.
"""

from comfreywharf.placement.loads import (
    HotKeyRate,
    LoadTable,
    NodeReport,
    SliceRate,
    rates_per_report,
    report_delay_s,
    report_interval_s,
)
from comfreywharf.placement.meter import SliceMeter
from comfreywharf.placement.tuning import PlacementTuning

__all__ = [
    "HotKeyRate",
    "LoadTable",
    "NodeReport",
    "PlacementTuning",
    "SliceMeter",
    "SliceRate",
    "rates_per_report",
    "report_delay_s",
    "report_interval_s",
]
