"""The life cycles of nodes and backend servers, and the gossip between nodes.

The life cycle of a node is the state chart in ``node.toml``, which `NodeLifecycle`
interprets.
"""

from comfreywharf.membership.charts import Chart, load_chart
from comfreywharf.membership.gossip import (
    GossipInterval,
    PartnerChooser,
    choose_partners,
    push_count,
)
from comfreywharf.membership.lifecycle import NodeFacts, NodeLifecycle, PauseDetector
from comfreywharf.membership.notices import Notice, NoticeBoard

__all__ = [
    "Chart",
    "GossipInterval",
    "NodeFacts",
    "NodeLifecycle",
    "Notice",
    "NoticeBoard",
    "PartnerChooser",
    "PauseDetector",
    "choose_partners",
    "load_chart",
    "push_count",
]
