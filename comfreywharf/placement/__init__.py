"""Placement of slices on backend servers, and election of the planner.

The planner is the node that decides which backend server owns each slice of a
service. `planning.decide` turns load reports and the cluster state that was folded
from the log into moves, splits and merges; `terms.decide` determines when a node
starts a planner's term; `SliceMeter` measures the rates that a node reports.
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
from comfreywharf.placement.planning import (
    LoadReported,
    Move,
    PlanningState,
    RoundDue,
    Switches,
    TakeoverFolded,
    round_interval_s,
    to_record,
)
from comfreywharf.placement.rebalance import (
    BoundedRebalance,
    OverloadRebalance,
    RebalancePolicy,
    policy_for,
)
from comfreywharf.placement.resize import Merge, Split, slice_limit
from comfreywharf.placement.tuning import PlacementTuning

__all__ = [
    "PlacementTuning",
    "BoundedRebalance",
    "HotKeyRate",
    "LoadReported",
    "LoadTable",
    "Merge",
    "Move",
    "NodeReport",
    "OverloadRebalance",
    "PlanningState",
    "RebalancePolicy",
    "RoundDue",
    "SliceMeter",
    "SliceRate",
    "Split",
    "Switches",
    "TakeoverFolded",
    "policy_for",
    "rates_per_report",
    "report_delay_s",
    "report_interval_s",
    "round_interval_s",
    "slice_limit",
    "to_record",
]
