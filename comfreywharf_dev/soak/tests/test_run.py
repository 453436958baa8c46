"""The order in which a run injects and lifts its faults."""

from comfreywharf_dev.soak.faults import NodeKilled, VmKilled
from comfreywharf_dev.soak.plan import ScheduledFault
from comfreywharf_dev.soak.run import actions_in_order


def test_a_fault_ends_before_the_next_one_of_its_vm_begins():
    """Guards against a process that is started twice and keeps running."""
    first = ScheduledFault(1.0, 2.0, VmKilled("a"))
    second = ScheduledFault(2.0, 3.0, NodeKilled("a"))
    actions = [action for _, action in actions_in_order([first, second])]
    assert actions == [
        first.fault.begin,
        first.fault.end,
        second.fault.begin,
        second.fault.end,
    ]
