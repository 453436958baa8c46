"""The order in which a run injects and lifts its faults."""

from comfreywharf_dev.soak.faults import NodeKilled, VmKilled
from comfreywharf_dev.soak.plan import Timed
from comfreywharf_dev.soak.run import acts_in_order


def test_a_fault_ends_before_the_next_one_at_its_vm_begins():
    """Guards against a process that is started twice and keeps running."""
    first = Timed(1.0, 2.0, VmKilled("a"))
    second = Timed(2.0, 3.0, NodeKilled("a"))
    acts = [act for _, act in acts_in_order([first, second])]
    assert acts == [
        first.fault.begin,
        first.fault.end,
        second.fault.begin,
        second.fault.end,
    ]
